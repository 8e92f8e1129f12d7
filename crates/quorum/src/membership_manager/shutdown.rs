//! Decides whether a process may complete its graceful shutdown.

use super::{LiveReplica, MembershipPolicy, MembershipView, ReplicaProgress};
use crate::DiskId;

/// Whether a process that is shutting down may exit. `own` is its disk, and `progress` is what is on that
/// disk.
///
/// The process first leaves the membership if that does not weaken it: if a standby can take its place, or if
/// the membership tolerates as many failures with one member less. Otherwise it exits as a member, since it
/// may be restarting. In both cases it waits until a majority of the remaining members have reported at least
/// the same progress.
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
