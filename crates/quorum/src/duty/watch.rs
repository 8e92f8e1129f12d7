//! Which members are lost, and what the membership should be next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Limits, LiveDisk, View};
use crate::{DiskId, Member};

/// The most members that a membership grows to. Each operation asks all members, and each change names them all to
/// all: with a hundred of them a start takes longer than its changes of the membership come. Eleven bear five losses;
/// other control nodes wait for a place and ask the members.
pub const MEMBERS_MOST: usize = 11;

/// Since when members are out of sight, or in sight and behind.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    limits: Limits,
    lost: BTreeMap<DiskId, Duration>,
    behind: BTreeMap<DiskId, Duration>,
}

impl Watch {
    /// A watch that has seen nothing yet.
    pub fn new(limits: Limits) -> Self {
        Watch { limits, ..Watch::default() }
    }

    /// The bounds that it goes by.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Looks at which disks are in sight now.
    pub fn look(&mut self, now: Duration, view: View<'_>) {
        let note = |since: &mut BTreeMap<DiskId, Duration>, noted: &dyn Fn(&Member) -> bool| {
            since.retain(|disk, _| view.membership.member(disk).is_some_and(noted));
            for member in view.membership.members.iter().filter(|m| noted(m)) {
                since.entry(member.disk.clone()).or_insert(now);
            }
        };
        note(&mut self.lost, &|m| view.live(&m.disk).is_none());
        note(&mut self.behind, &|m| view.live(&m.disk).is_some_and(|live| !view.holds_epoch(live)));
    }

    /// Whether the last change is settled: a majority of the members, and each one that is in sight, has said that
    /// its disk holds the state of the epoch. A member that is in sight and does not get there within `catch-up-s`
    /// counts as lost for this: it must not keep the others from being replaced.
    pub fn is_settled(&self, now: Duration, view: View<'_>) -> bool {
        let holding = view.sighted().filter(|live| view.holds_epoch(live)).count();
        let patient = |live: &LiveDisk| {
            let since = self.behind.get(&live.member.disk);
            since.is_some_and(|since| *since + self.limits.catch_up <= now)
        };
        let settled = |live: &LiveDisk| view.holds_epoch(live) || live.is_leaving() || patient(live);
        holding >= view.membership.majority() && view.sighted().all(settled)
    }

    /// Members that are lost as far as anyone can tell: first those that were wiped, then those that have been out of
    /// sight for too long.
    fn given_up<'a>(&self, now: Duration, view: View<'a>) -> Vec<&'a Member> {
        let gone =
            |m: &Member| self.lost.get(&m.disk).is_some_and(|since| *since + self.limits.given_up() <= now);
        let lost = view.membership.members.iter().filter(|m| view.live(&m.disk).is_none());
        let (renewed, rest): (Vec<_>, Vec<_>) = lost.partition(|m| view.is_renewed(m));
        renewed.into_iter().chain(rest.into_iter().filter(|m| gone(m))).collect()
    }

    /// The members that there should be next, for the process whose disk this is: none if all is well, if the duty
    /// is another's, or while the last change is not settled.
    pub fn next(&self, now: Duration, me: &str, view: View<'_>) -> Option<Vec<Member>> {
        if view.holder().is_none_or(|holder| &*holder.disk != me) || !self.is_settled(now, view) {
            return None;
        }
        let given_up = self.given_up(now, view);
        let replaced: Vec<&Member> = given_up.iter().copied().chain(view.leaving()).collect();
        let complete = view.sighted().count() == view.membership.members.len();
        let gone: &[&Member] = match view.waiting() {
            Some(_) if !replaced.is_empty() => &replaced[..1],
            Some(_) if complete && view.membership.members.len() < MEMBERS_MOST => &[],
            // A member that is out of sight for less comes back, or its place is free: more members than disks that
            // live would be more votes to wait for.
            Some(_) => return None,
            None if !replaced.is_empty() && self.limits.has_to_spare(view.membership, 1) => &replaced[..1],
            None if given_up.len() > 1 && self.limits.has_to_spare(view.membership, 2) => &given_up[..2],
            None => return None,
        };
        let rest = view.membership.members.iter().filter(|m| !gone.contains(m));
        Some(rest.chain(view.waiting()).cloned().collect())
    }
}
