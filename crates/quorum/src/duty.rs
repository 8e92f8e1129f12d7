//! The duty of the first live one with a seat: the set of disks is that of disks that live.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{DiskId, Seat, Seats};

/// A disk that is gone for this long gives its place to one that waits for a place: longer than a restart, much
/// shorter than the time after which the next loss has to be borne.
const GIVEN_UP: Duration = Duration::from_millis(2500);
/// Time after which it loses its place where none waits, if the number of seats is even: one less then takes as
/// many losses.
const DROPPED: Duration = Duration::from_secs(10);

/// Whose duty it is: the first seat whose disk lives.
pub fn holder<'a>(seats: &'a Seats, live: &[Seat]) -> Option<&'a Seat> {
    seats.seats.iter().find(|s| live.iter().any(|l| l.disk == s.disk))
}

/// Which seats' disks are out of sight, and since when.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    lost: BTreeMap<DiskId, Duration>,
}

impl Watch {
    /// Looks at which disks live now, each at its address.
    pub fn look(&mut self, now: Duration, seats: &Seats, live: &[Seat]) {
        let lives = |disk: &str| live.iter().any(|l| &*l.disk == disk);
        self.lost.retain(|disk, _| seats.has(disk) && !lives(disk));
        for seat in seats.seats.iter().filter(|s| !lives(&s.disk)) {
            self.lost.entry(seat.disk.clone()).or_insert(now);
        }
    }

    /// The seats that there should be next, for the one whose disk this is; none if all is well, if the duty is
    /// another's, or if no majority is in sight to decide it.
    pub fn next(&self, now: Duration, me: &str, seats: &Seats, live: &[Seat]) -> Option<Vec<Seat>> {
        let lives = |disk: &str| live.iter().any(|l| &*l.disk == disk);
        let sighted = seats.seats.iter().filter(|s| lives(&s.disk)).count();
        if sighted < seats.majority() || holder(seats, live).is_none_or(|s| &*s.disk != me) {
            return None;
        }
        // Another disk at its address: it was wiped, or replaced.
        let renewed = |s: &Seat| live.iter().any(|l| l.address == s.address && l.disk != s.disk);
        let gone_for =
            |s: &Seat, least: Duration| self.lost.get(&s.disk).is_some_and(|at| *at + least <= now);
        let lost = |least: Duration| {
            seats.seats.iter().find(|s| !lives(&s.disk) && (renewed(s) || gone_for(s, least)))
        };
        let without = |gone: Option<&Seat>| {
            seats.seats.iter().filter(|s| Some(*s) != gone).cloned().collect::<Vec<_>>()
        };
        match live.iter().find(|l| !seats.has(&l.disk)) {
            Some(waiting) => {
                let mut next = without(lost(GIVEN_UP));
                next.push(waiting.clone());
                Some(next)
            }
            None if seats.seats.len().is_multiple_of(2) => lost(DROPPED).map(|gone| without(Some(gone))),
            None => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seat(disk: &str, address: &str) -> Seat {
        Seat { disk: disk.into(), address: address.to_owned() }
    }

    fn five() -> Vec<Seat> {
        ["a", "b", "c", "d", "e"].map(|d| seat(d, d)).to_vec()
    }

    const NOW: Duration = Duration::from_secs(100);

    #[test]
    fn a_wiped_disk_is_replaced_at_once_and_a_lost_one_after_a_while() {
        let seats = Seats::new(3, five());
        let mut live = five();
        live[4] = seat("new", "e");
        let mut watch = Watch::default();
        watch.look(NOW, &seats, &live);
        let next = watch.next(NOW, "a", &seats, &live).expect("the wiped one is replaced");
        assert!(next.len() == 5 && next.contains(&seat("new", "e")) && !next.contains(&seat("e", "e")));
        live[4] = seat("new", "elsewhere");
        let mut watch = Watch::default();
        watch.look(NOW, &seats, &live);
        assert_eq!(watch.next(NOW, "a", &seats, &live).expect("it is added first").len(), 6);
        let later = NOW + GIVEN_UP;
        watch.look(later, &seats, &live);
        assert_eq!(watch.next(later, "a", &seats, &live).expect("in its place").len(), 5);
    }

    #[test]
    fn only_the_first_in_sight_acts_and_only_with_a_majority() {
        let seats = Seats::new(3, five());
        let mut live = five();
        live.push(seat("f", "f"));
        let mut watch = Watch::default();
        watch.look(NOW, &seats, &live);
        assert!(watch.next(NOW, "b", &seats, &live).is_none());
        assert!(watch.next(NOW, "a", &seats, &live).is_some());
        let few = [live[1].clone(), live[2].clone(), live[5].clone()];
        watch.look(NOW, &seats, &few);
        assert!(watch.next(NOW, "b", &seats, &few).is_none(), "two of five decide nothing");
    }

    #[test]
    fn an_even_set_drops_what_is_lost_and_an_odd_one_keeps_it() {
        let mut six = five();
        six.push(seat("f", "f"));
        for (all, dropped) in [(six, true), (five(), false)] {
            let seats = Seats::new(3, all.clone());
            let live: Vec<Seat> = all[1..].to_vec();
            let mut watch = Watch::default();
            watch.look(NOW, &seats, &live);
            assert!(watch.next(NOW + DROPPED / 2, "b", &seats, &live).is_none());
            assert_eq!(watch.next(NOW + DROPPED, "b", &seats, &live).is_some(), dropped);
        }
    }
}
