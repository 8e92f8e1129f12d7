//! Which members are lost, and what the membership should be next.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LiveReplica, MembershipPolicy, MembershipView};
use crate::{DiskId, Member};

/// The most members that a membership grows to. Each operation sends requests to all members, and each change names them
/// all to all: with a hundred of them a start takes longer than its membership changes come. Eleven bear five failures;
/// other control nodes stand by and send their operations to the members.
pub const MAX_MEMBERS: usize = 11;

/// Since when members have been lost, or alive and behind. Times are since the start of the process.
#[derive(Clone, Debug, Default)]
pub struct MembershipPlanner {
    policy: MembershipPolicy,
    lost_since: BTreeMap<DiskId, Duration>,
    behind_since: BTreeMap<DiskId, Duration>,
}

impl MembershipPlanner {
    /// A planner that has observed nothing yet.
    #[must_use]
    pub fn new(policy: MembershipPolicy) -> Self {
        MembershipPlanner { policy, ..MembershipPlanner::default() }
    }

    /// What the settings require.
    #[must_use]
    pub fn policy(&self) -> MembershipPolicy {
        self.policy
    }

    /// Records which members are lost, and which are behind, at this time.
    pub fn observe(&mut self, now: Duration, view: MembershipView<'_>) {
        let is_lost = |member: &Member| view.live_replica(&member.disk).is_none();
        let is_behind =
            |member: &Member| view.live_replica(&member.disk).is_some_and(|live| !view.holds_epoch(live));
        update_start_times(&mut self.lost_since, now, view, is_lost);
        update_start_times(&mut self.behind_since, now, view, is_behind);
    }

    /// Whether the last change is complete: a quorum of the members, and each one that is alive, has reported that its disk
    /// holds the state of the epoch. A member that is alive and does not get there within `catch_up` counts as lost for
    /// this: it must not keep the others from being replaced.
    #[must_use]
    pub fn is_last_change_complete(&self, now: Duration, view: MembershipView<'_>) -> bool {
        let holding = view.live_members().filter(|live| view.holds_epoch(live)).count();
        let is_overdue = |live: &LiveReplica| {
            let since = self.behind_since.get(&live.member.disk);
            since.is_some_and(|since| *since + self.policy.catch_up <= now)
        };
        let is_settled =
            |live: &LiveReplica| view.holds_epoch(live) || live.is_shutting_down() || is_overdue(live);
        holding >= view.membership.quorum_size() && view.live_members().all(is_settled)
    }

    /// Members to replace: first those that were wiped, then those that have been lost for too long.
    fn failed_members<'a>(&self, now: Duration, view: MembershipView<'a>) -> Vec<&'a Member> {
        let is_overdue = |member: &Member| {
            let since = self.lost_since.get(&member.disk);
            since.is_some_and(|since| *since + self.policy.replacement_timeout() <= now)
        };
        let lost = view.membership.members.iter().filter(|member| view.live_replica(&member.disk).is_none());
        let (wiped, others): (Vec<_>, Vec<_>) = lost.partition(|member| view.was_wiped(member));
        wiped.into_iter().chain(others.into_iter().filter(|member| is_overdue(member))).collect()
    }

    /// The members that there should be next, for the process whose disk is `own`. None if no change is due, if another
    /// process is the coordinator, or while the last change is not complete.
    #[must_use]
    pub fn plan_change(&self, now: Duration, own: &DiskId, view: MembershipView<'_>) -> Option<Vec<Member>> {
        let is_coordinator = view.coordinator().is_some_and(|coordinator| coordinator.disk == *own);
        if !is_coordinator || !self.is_last_change_complete(now, view) {
            return None;
        }
        let removed = self.members_to_remove(now, view)?;
        let remaining = view.membership.members.iter().filter(|member| !removed.contains(member));
        Some(remaining.chain(view.standby()).cloned().collect())
    }

    /// The members that the next change removes; none if no change is due.
    fn members_to_remove<'a>(&self, now: Duration, view: MembershipView<'a>) -> Option<Vec<&'a Member>> {
        let failed = self.failed_members(now, view);
        let replaceable: Vec<&Member> = failed.iter().copied().chain(view.members_shutting_down()).collect();
        if view.standby().is_some() {
            let all_alive = view.live_members().count() == view.membership.members.len();
            return match replaceable.first() {
                Some(first) => Some(vec![*first]),
                None if all_alive && view.membership.members.len() < MAX_MEMBERS => Some(Vec::new()),
                // A member that has been lost for less comes back, or its place is free: more members than live disks
                // would be more votes to wait for.
                None => None,
            };
        }
        if let Some(first) = replaceable.first()
            && self.policy.can_remove(view.membership, 1)
        {
            return Some(vec![*first]);
        }
        if failed.len() > 1 && self.policy.can_remove(view.membership, 2) {
            return Some(failed[..2].to_vec());
        }
        None
    }
}

/// Keeps since when each member has been in a state.
fn update_start_times(
    since: &mut BTreeMap<DiskId, Duration>, now: Duration, view: MembershipView<'_>,
    is_in_state: impl Fn(&Member) -> bool,
) {
    since.retain(|disk, _| view.membership.member(disk).is_some_and(&is_in_state));
    for member in view.membership.members.iter().filter(|member| is_in_state(member)) {
        since.entry(member.disk.clone()).or_insert(now);
    }
}
