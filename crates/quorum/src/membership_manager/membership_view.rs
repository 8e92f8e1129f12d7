//! The membership and the live replicas, as one process knows them.

use std::time::Duration;

use super::LiveReplica;
use crate::{DiskId, Member, Membership};

/// A process counts as alive for this long after it was heard last: digests are compared each second.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1400);

/// The membership as it is known, and the replicas that are alive.
#[derive(Clone, Copy, Debug)]
pub struct MembershipView<'a> {
    /// The newest membership that is known.
    pub membership: &'a Membership,
    /// Each disk once.
    pub live: &'a [LiveReplica],
}

impl<'a> MembershipView<'a> {
    pub(crate) fn live_replica(&self, disk: &DiskId) -> Option<&'a LiveReplica> {
        self.live.iter().find(|live| live.member.disk == *disk)
    }

    /// Members that are alive.
    pub(crate) fn live_members(&self) -> impl Iterator<Item = &'a LiveReplica> {
        self.live.iter().filter(|live| self.membership.contains(&live.member.disk))
    }

    /// Whether a process has reported that its disk holds the state of the epoch that is known here.
    pub(crate) fn holds_epoch(&self, live: &LiveReplica) -> bool {
        live.report.is_some_and(|report| report.progress.epoch >= self.membership.epoch)
    }

    /// The member that changes the membership: the first one, by disk id, that is alive and not shutting down.
    #[must_use]
    pub fn coordinator(&self) -> Option<&'a Member> {
        let is_available =
            |member: &&Member| self.live_replica(&member.disk).is_some_and(|live| !live.is_shutting_down());
        self.membership.members.iter().find(is_available)
    }

    /// A disk that could take a member's place: its process has reported, and is not shutting down.
    pub(crate) fn standby(&self) -> Option<&'a Member> {
        let is_ready = |live: &LiveReplica| live.report.is_some_and(|report| !report.is_shutting_down);
        let is_standby = |live: &&LiveReplica| !self.membership.contains(&live.member.disk) && is_ready(live);
        self.live.iter().find(is_standby).map(|live| &live.member)
    }

    /// Members whose processes are shutting down.
    pub(crate) fn members_shutting_down(&self) -> impl Iterator<Item = &'a Member> {
        let is_shutting_down =
            |member: &&Member| self.live_replica(&member.disk).is_some_and(LiveReplica::is_shutting_down);
        self.membership.members.iter().filter(is_shutting_down)
    }

    /// Another disk is at a member's address: the member's own was wiped.
    pub(crate) fn was_wiped(&self, member: &Member) -> bool {
        let has_taken_address =
            |live: &LiveReplica| live.member.address == member.address && live.member.disk != member.disk;
        self.live.iter().any(has_taken_address)
    }
}
