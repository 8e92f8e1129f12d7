//! Whether a member may shut down.

use super::{LiveReplica, MembershipPolicy, MembershipView, ReplicaProgress};
use crate::DiskId;

/// Whether a process that is shutting down may end now. `own` is its disk, `progress` what that holds.
///
/// The process leaves the membership first where that takes nothing from the others: where another disk stands by, or
/// where one member less bears as many failures. Elsewhere it stays a member and ends, for it may be a restart. Either way
/// it waits until a quorum of the members that remain has reported that they hold what it holds.
#[must_use]
pub fn may_shut_down(
    own: &DiskId, progress: ReplicaProgress, view: MembershipView<'_>, policy: MembershipPolicy,
) -> bool {
    let is_member = view.membership.contains(own);
    let was_never_member = !is_member && progress.epoch == 0;
    if was_never_member {
        return true;
    }
    let is_replaceable = view.standby().is_some() || policy.can_remove(view.membership, 1);
    let has_quorum = view.live_members().count() >= view.membership.quorum_size();
    if is_member && is_replaceable && has_quorum && view.coordinator().is_some() {
        return false;
    }
    let remaining = view.membership.members.iter().filter(|member| member.disk != *own).count();
    let holds_at_least_as_much =
        |live: &&LiveReplica| live.report.is_some_and(|report| report.progress >= progress);
    let others = view.live_members().filter(|live| live.member.disk != *own);
    let holding = others.filter(|live| view.holds_epoch(live)).filter(holds_at_least_as_much).count();
    remaining == 0 || holding > remaining / 2
}
