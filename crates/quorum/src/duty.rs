//! The duty over the membership: that the disks which vote are disks that live. One process does it at a time, under
//! the epoch that its change ends; two that both take it for theirs are kept apart by the ballots.
//!
//! What the holder goes by is what each process has said of its own disk ([`DiskReport`]), over a connection that is
//! alive now. Nothing here reads a clock or a socket.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DiskId, Member, Membership};

/// What a change of the membership takes at worst: the silence after which a process counts as out of sight
/// ([`FRESH`]), a look at the duties, and the rounds of the change itself.
const CHANGE_TAKES: Duration = Duration::from_millis(2500);
/// The shortest absence after which a member is given up: a process that is restarted is back sooner.
const GIVEN_UP_LEAST: Duration = Duration::from_millis(1000);
/// A process that was heard of within this time is in sight: digests are compared each second.
pub const FRESH: Duration = Duration::from_millis(1400);

/// The most members that a membership grows to. Each operation asks all members, and each change names them all to
/// all: with a hundred of them a start takes longer than its changes of the membership come. Eleven bear five losses;
/// other control nodes wait for a place and ask the members.
pub const MEMBERS_MOST: usize = 11;

/// What a replica holds on its own disk. Of two, the greater one has all that was chosen in the lesser one: an epoch
/// begins with what the one before it chose, and within an epoch versions only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The epoch whose state it holds.
    pub epoch: u64,
    /// The version of the configuration that it has accepted there, 0 before the first one.
    pub version: u64,
}

/// What a process says of its own disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DiskReport {
    /// What is synced there.
    pub held: Held,
    /// Whether the process was told to end.
    pub leaving: bool,
}

/// A disk whose process is in sight, and what that process has said of it, if it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveDisk {
    /// The disk and where its process is reached.
    pub member: Member,
    /// None: its process has not said anything of it yet.
    pub report: Option<DiskReport>,
}

impl LiveDisk {
    fn is_leaving(&self) -> bool {
        self.report.is_some_and(|report| report.leaving)
    }
}

/// The membership as it is known, and the disks that are in sight.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The newest membership that is known.
    pub membership: &'a Membership,
    /// Each disk once.
    pub live: &'a [LiveDisk],
}

impl<'a> View<'a> {
    fn live(&self, disk: &str) -> Option<&'a LiveDisk> {
        self.live.iter().find(|live| &*live.member.disk == disk)
    }

    /// Members that are in sight.
    fn sighted(&self) -> impl Iterator<Item = &'a LiveDisk> {
        self.live.iter().filter(|live| self.membership.has(&live.member.disk))
    }

    /// Whether a process has said that its disk holds the state of the epoch that is known here.
    fn holds_epoch(&self, live: &LiveDisk) -> bool {
        live.report.is_some_and(|report| report.held.epoch >= self.membership.epoch)
    }

    /// Whose duty it is: the first member in sight that does not leave.
    pub fn holder(&self) -> Option<&'a Member> {
        let stays = |m: &&Member| self.live(&m.disk).is_some_and(|live| !live.is_leaving());
        self.membership.members.iter().find(stays)
    }

    /// A disk that could take a member's place: its process has said something of it, and does not leave.
    fn waiting(&self) -> Option<&'a Member> {
        let ready = |live: &LiveDisk| live.report.is_some_and(|report| !report.leaving);
        let waits = |live: &&LiveDisk| !self.membership.has(&live.member.disk) && ready(live);
        self.live.iter().find(waits).map(|live| &live.member)
    }

    /// Members whose processes were told to end.
    fn leaving(&self) -> impl Iterator<Item = &'a Member> {
        let leaves = |m: &&Member| self.live(&m.disk).is_some_and(LiveDisk::is_leaving);
        self.membership.members.iter().filter(leaves)
    }

    /// Another disk is at a member's address: its own was wiped.
    fn is_renewed(&self, member: &Member) -> bool {
        self.live.iter().any(|l| l.member.address == member.address && l.member.disk != member.disk)
    }
}

/// What the settings bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The next loss may come this long after a lost machine is back, or after its successor has started.
    pub catch_up: Duration,
    /// How many members may be lost at once.
    pub losses: usize,
}

impl Limits {
    /// Time out of sight after which a member's place is given up: as long as there is time to put another disk in
    /// its place before the next loss may come.
    pub fn given_up(&self) -> Duration {
        self.catch_up.saturating_sub(CHANGE_TAKES).max(GIVEN_UP_LEAST)
    }

    /// Whether a membership that is so many smaller takes one vote less to decide, and still bears as many losses as
    /// have to be borne. Without that a member that is gone is no burden, and its place is there when it is back.
    fn has_to_spare(&self, membership: &Membership, fewer: usize) -> bool {
        let rest = membership.members.len().saturating_sub(fewer);
        rest / 2 + 1 < membership.majority() && rest > 2 * self.losses
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits { catch_up: Duration::from_secs(4), losses: 1 }
    }
}

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

/// Whether a process that was told to end may do so now. `mine` is what its disk holds.
///
/// It leaves the membership first where that takes nothing from the others: where another disk waits for its place,
/// or where one member less bears as many losses. Elsewhere it stays a member and just ends, for it may be a restart.
/// Either way it waits until a majority of the members that remain has said that they hold what it holds.
pub fn may_end(me: &str, mine: Held, view: View<'_>, limits: Limits) -> bool {
    let member = view.membership.has(me);
    if !member && mine.epoch == 0 {
        // A disk that never had a place holds nothing.
        return true;
    }
    let replaceable = view.waiting().is_some() || limits.has_to_spare(view.membership, 1);
    let decided = view.sighted().count() >= view.membership.majority();
    if member && replaceable && decided && view.holder().is_some() {
        return false;
    }
    let remaining = view.membership.members.iter().filter(|m| &*m.disk != me).count();
    let others = view.sighted().filter(|live| &*live.member.disk != me);
    let hold = others.filter(|live| view.holds_epoch(live) && live.report.is_some_and(|r| r.held >= mine));
    remaining == 0 || hold.count() > remaining / 2
}
