//! Detects failed members and plans membership changes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{LiveReplica, MembershipPolicy, MembershipView};
use crate::{DiskId, Member};

/// Maximum size to which the membership grows. Each operation sends requests to all members, and each change
/// sends the list of all members to all of them: with a hundred members, a start-up would take longer than
/// the interval between its membership changes. Eleven members tolerate five failures. The other control
/// nodes are standbys, and send their operations to the members.
pub const MAX_MEMBERS: usize = 11;

/// Plans membership changes. Records when members became unreachable, and when live members fell behind the
/// epoch. All times are relative to the start of the process.
#[derive(Clone, Debug, Default)]
pub struct MembershipPlanner {
    policy: MembershipPolicy,
    unreachable_since: BTreeMap<DiskId, Duration>,
    behind_since: BTreeMap<DiskId, Duration>,
}

impl MembershipPlanner {
    /// Creates a planner without observations.
    #[must_use]
    pub fn new(policy: MembershipPolicy) -> Self {
        MembershipPlanner { policy, ..MembershipPlanner::default() }
    }

    /// Returns the membership policy.
    #[must_use]
    pub fn policy(&self) -> MembershipPolicy {
        self.policy
    }

    /// Records which members are unreachable or behind at this time.
    pub fn observe(&mut self, now: Duration, view: MembershipView<'_>) {
        let is_unreachable = |member: &Member| view.live_replica(&member.disk).is_none();
        let is_behind =
            |member: &Member| view.live_replica(&member.disk).is_some_and(|live| !view.holds_epoch(live));
        update_start_times(&mut self.unreachable_since, now, view, is_unreachable);
        update_start_times(&mut self.behind_since, now, view, is_behind);
    }

    /// Whether the last change is complete: a quorum of the members, and every live member, have reported
    /// that the state of the epoch is on disk. Live members that are shutting down, or that stay behind for
    /// longer than `catch_up`, are ignored in the second condition, so that they cannot block the replacement
    /// of other members.
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

    /// Returns the members to replace: first those whose disks were wiped, then those that have been
    /// unreachable for longer than the replacement time-out.
    fn failed_members<'a>(&self, now: Duration, view: MembershipView<'a>) -> Vec<&'a Member> {
        let is_overdue = |member: &Member| {
            let since = self.unreachable_since.get(&member.disk);
            since.is_some_and(|since| *since + self.policy.replacement_timeout() <= now)
        };
        let unreachable =
            view.membership.members.iter().filter(|member| view.live_replica(&member.disk).is_none());
        let (wiped, others): (Vec<_>, Vec<_>) = unreachable.partition(|member| view.was_wiped(member));
        wiped.into_iter().chain(others.into_iter().filter(|member| is_overdue(member))).collect()
    }

    /// Returns the members of the next epoch, for the process whose disk is `own`. Returns `None` if no
    /// change is due, if another process is the coordinator, or while the last change is incomplete.
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

    /// Returns the members that the next change removes, or `None` if no change is due. The list is empty if
    /// the change only adds a member.
    fn members_to_remove<'a>(&self, now: Duration, view: MembershipView<'a>) -> Option<Vec<&'a Member>> {
        let failed = self.failed_members(now, view);
        let replaceable: Vec<&Member> = failed.iter().copied().chain(view.members_shutting_down()).collect();
        if view.standby().is_some() {
            let all_alive = view.live_members().count() == view.membership.members.len();
            return match replaceable.first() {
                Some(first) => Some(vec![*first]),
                None if all_alive && view.membership.members.len() < MAX_MEMBERS => Some(Vec::new()),
                // A member that is unreachable for a shorter time either returns or is replaced later. Adding
                // a standby in the meantime would make the quorum larger without a further live disk to vote.
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

/// Records when each member entered a state, and removes the members that are no longer in it.
fn update_start_times(
    since: &mut BTreeMap<DiskId, Duration>, now: Duration, view: MembershipView<'_>,
    is_in_state: impl Fn(&Member) -> bool,
) {
    since.retain(|disk, _| view.membership.member(disk).is_some_and(&is_in_state));
    for member in view.membership.members.iter().filter(|member| is_in_state(member)) {
        since.entry(member.disk.clone()).or_insert(now);
    }
}
