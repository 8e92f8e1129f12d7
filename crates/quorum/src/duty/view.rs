//! The membership and the disks in sight, as one process knows them.

use std::time::Duration;

use super::LiveDisk;
use crate::{Member, Membership};

/// A process that was heard of within this time is in sight: digests are compared each second.
pub const FRESH: Duration = Duration::from_millis(1400);

/// The membership as it is known, and the disks that are in sight.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The newest membership that is known.
    pub membership: &'a Membership,
    /// Each disk once.
    pub live: &'a [LiveDisk],
}

impl<'a> View<'a> {
    pub(crate) fn live(&self, disk: &str) -> Option<&'a LiveDisk> {
        self.live.iter().find(|live| &*live.member.disk == disk)
    }

    /// Members that are in sight.
    pub(crate) fn sighted(&self) -> impl Iterator<Item = &'a LiveDisk> {
        self.live.iter().filter(|live| self.membership.has(&live.member.disk))
    }

    /// Whether a process has said that its disk holds the state of the epoch that is known here.
    pub(crate) fn holds_epoch(&self, live: &LiveDisk) -> bool {
        live.report.is_some_and(|report| report.held.epoch >= self.membership.epoch)
    }

    /// Whose duty it is: the first member in sight that does not leave.
    pub fn holder(&self) -> Option<&'a Member> {
        let stays = |m: &&Member| self.live(&m.disk).is_some_and(|live| !live.is_leaving());
        self.membership.members.iter().find(stays)
    }

    /// A disk that could take a member's place: its process has said something of it, and does not leave.
    pub(crate) fn waiting(&self) -> Option<&'a Member> {
        let ready = |live: &LiveDisk| live.report.is_some_and(|report| !report.leaving);
        let waits = |live: &&LiveDisk| !self.membership.has(&live.member.disk) && ready(live);
        self.live.iter().find(waits).map(|live| &live.member)
    }

    /// Members whose processes were told to end.
    pub(crate) fn leaving(&self) -> impl Iterator<Item = &'a Member> {
        let leaves = |m: &&Member| self.live(&m.disk).is_some_and(LiveDisk::is_leaving);
        self.membership.members.iter().filter(leaves)
    }

    /// Another disk is at a member's address: its own was wiped.
    pub(crate) fn is_renewed(&self, member: &Member) -> bool {
        self.live.iter().any(|l| l.member.address == member.address && l.member.disk != member.disk)
    }
}
