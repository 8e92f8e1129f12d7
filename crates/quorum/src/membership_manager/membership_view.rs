//! The membership and the live replicas as known to one process.

use std::time::Duration;

use super::LiveReplica;
use crate::{DiskId, Member, Membership};

/// Time after the last message of a process during which it counts as alive. Peers exchange digests every
/// second.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1400);

/// The membership and the live replicas as known to one process.
#[derive(Clone, Copy, Debug)]
pub struct MembershipView<'a> {
    /// The newest known membership.
    pub membership: &'a Membership,
    /// The live replicas, one entry for each disk.
    pub live: &'a [LiveReplica],
}

impl<'a> MembershipView<'a> {
    pub(crate) fn live_replica(&self, disk: &DiskId) -> Option<&'a LiveReplica> {
        self.live.iter().find(|live| live.member.disk == *disk)
    }

    /// Returns the members that are alive.
    pub(crate) fn live_members(&self) -> impl Iterator<Item = &'a LiveReplica> {
        self.live.iter().filter(|live| self.membership.contains(&live.member.disk))
    }

    /// Whether a replica is reported to have the state of the known epoch, or a later one, on disk.
    pub(crate) fn holds_epoch(&self, live: &LiveReplica) -> bool {
        live.report.is_some_and(|report| report.progress.epoch >= self.membership.epoch)
    }

    /// Returns the member that coordinates membership changes: the first one, by disk identifier, that is
    /// alive and not shutting down.
    #[must_use]
    pub fn coordinator(&self) -> Option<&'a Member> {
        let is_available =
            |member: &&Member| self.live_replica(&member.disk).is_some_and(|live| !live.is_shutting_down());
        self.membership.members.iter().find(is_available)
    }

    /// Returns a live replica that may become a member: its process has sent a report and is not shutting
    /// down.
    pub(crate) fn standby(&self) -> Option<&'a Member> {
        let is_ready = |live: &LiveReplica| live.report.is_some_and(|report| !report.is_shutting_down);
        let is_standby = |live: &&LiveReplica| !self.membership.contains(&live.member.disk) && is_ready(live);
        self.live.iter().find(is_standby).map(|live| &live.member)
    }

    /// Returns the members whose processes are shutting down.
    pub(crate) fn members_shutting_down(&self) -> impl Iterator<Item = &'a Member> {
        let is_shutting_down =
            |member: &&Member| self.live_replica(&member.disk).is_some_and(LiveReplica::is_shutting_down);
        self.membership.members.iter().filter(is_shutting_down)
    }

    /// Whether a member's disk was wiped: another disk is live at the member's address.
    pub(crate) fn was_wiped(&self, member: &Member) -> bool {
        let has_taken_address =
            |live: &LiveReplica| live.member.address == member.address && live.member.disk != member.disk;
        self.live.iter().any(has_taken_address)
    }
}
