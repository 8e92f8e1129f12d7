//! The duty of the first live one with a member: the set of disks is that of disks that live.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{DiskId, Member, Membership};

/// A disk that is gone for this long gives its place to one that waits for a place: longer than a restart, much
/// shorter than the time after which the next loss has to be borne.
const GIVEN_UP: Duration = Duration::from_millis(2500);
/// Time after which it loses its place where none waits, if the number of membership is even: one less then takes as
/// many losses.
const DROPPED: Duration = Duration::from_secs(10);

/// Whose duty it is: the first member whose disk lives.
pub fn holder<'a>(membership: &'a Membership, live: &[Member]) -> Option<&'a Member> {
    membership.members.iter().find(|s| live.iter().any(|l| l.disk == s.disk))
}

/// Which membership' disks are out of sight, and since when.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    lost: BTreeMap<DiskId, Duration>,
}

impl Watch {
    /// Looks at which disks live now, each at its address.
    pub fn look(&mut self, now: Duration, membership: &Membership, live: &[Member]) {
        let lives = |disk: &str| live.iter().any(|l| &*l.disk == disk);
        self.lost.retain(|disk, _| membership.has(disk) && !lives(disk));
        for member in membership.members.iter().filter(|s| !lives(&s.disk)) {
            self.lost.entry(member.disk.clone()).or_insert(now);
        }
    }

    /// The membership that there should be next, for the one whose disk this is; none if all is well, if the duty is
    /// another's, or if no majority is in sight to decide it.
    pub fn next(
        &self, now: Duration, me: &str, membership: &Membership, live: &[Member],
    ) -> Option<Vec<Member>> {
        let lives = |disk: &str| live.iter().any(|l| &*l.disk == disk);
        let sighted = membership.members.iter().filter(|s| lives(&s.disk)).count();
        if sighted < membership.majority() || holder(membership, live).is_none_or(|s| &*s.disk != me) {
            return None;
        }
        // Another disk at its address: it was wiped, or replaced.
        let renewed = |s: &Member| live.iter().any(|l| l.address == s.address && l.disk != s.disk);
        let gone_for =
            |s: &Member, least: Duration| self.lost.get(&s.disk).is_some_and(|at| *at + least <= now);
        let lost = |least: Duration| {
            membership.members.iter().find(|s| !lives(&s.disk) && (renewed(s) || gone_for(s, least)))
        };
        let without = |gone: Option<&Member>| {
            membership.members.iter().filter(|s| Some(*s) != gone).cloned().collect::<Vec<_>>()
        };
        match live.iter().find(|l| !membership.has(&l.disk)) {
            Some(waiting) => {
                let mut next = without(lost(GIVEN_UP));
                next.push(waiting.clone());
                Some(next)
            }
            None if membership.members.len().is_multiple_of(2) => {
                lost(DROPPED).map(|gone| without(Some(gone)))
            }
            None => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn member(disk: &str, address: &str) -> Member {
        Member { disk: disk.into(), address: address.to_owned() }
    }

    fn five() -> Vec<Member> {
        ["a", "b", "c", "d", "e"].map(|d| member(d, d)).to_vec()
    }

    const NOW: Duration = Duration::from_secs(100);

    #[test]
    fn a_wiped_disk_is_replaced_at_once_and_a_lost_one_after_a_while() {
        let membership = Membership::new(3, five());
        let mut live = five();
        live[4] = member("new", "e");
        let mut watch = Watch::default();
        watch.look(NOW, &membership, &live);
        let next = watch.next(NOW, "a", &membership, &live).expect("the wiped one is replaced");
        assert!(next.len() == 5 && next.contains(&member("new", "e")) && !next.contains(&member("e", "e")));
        live[4] = member("new", "elsewhere");
        let mut watch = Watch::default();
        watch.look(NOW, &membership, &live);
        assert_eq!(watch.next(NOW, "a", &membership, &live).expect("it is added first").len(), 6);
        let later = NOW + GIVEN_UP;
        watch.look(later, &membership, &live);
        assert_eq!(watch.next(later, "a", &membership, &live).expect("in its place").len(), 5);
    }

    #[test]
    fn only_the_first_in_sight_acts_and_only_with_a_majority() {
        let membership = Membership::new(3, five());
        let mut live = five();
        live.push(member("f", "f"));
        let mut watch = Watch::default();
        watch.look(NOW, &membership, &live);
        assert!(watch.next(NOW, "b", &membership, &live).is_none());
        assert!(watch.next(NOW, "a", &membership, &live).is_some());
        let few = [live[1].clone(), live[2].clone(), live[5].clone()];
        watch.look(NOW, &membership, &few);
        assert!(watch.next(NOW, "b", &membership, &few).is_none(), "two of five decide nothing");
    }

    #[test]
    fn an_even_set_drops_what_is_lost_and_an_odd_one_keeps_it() {
        let mut six = five();
        six.push(member("f", "f"));
        for (all, dropped) in [(six, true), (five(), false)] {
            let membership = Membership::new(3, all.clone());
            let live: Vec<Member> = all[1..].to_vec();
            let mut watch = Watch::default();
            watch.look(NOW, &membership, &live);
            assert!(watch.next(NOW + DROPPED / 2, "b", &membership, &live).is_none());
            assert_eq!(watch.next(NOW + DROPPED, "b", &membership, &live).is_some(), dropped);
        }
    }
}
