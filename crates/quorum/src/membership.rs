//! The replicas that vote in an epoch.

use ashvane_identifiers::{Address, DiskId};
use serde::{Deserialize, Serialize};

/// A voting replica, and the address of the process that runs it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the replica's disk.
    pub disk: DiskId,
    /// Address of the process for messages between processes.
    pub address: Address,
}

/// The members of one epoch. Epoch 0 has none: a replica in epoch 0 waits to become a member.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Epoch number. It increases by one with each change of the membership.
    pub epoch: u64,
    /// The members, sorted by disk identifier, without duplicate disks.
    pub members: Vec<Member>,
}

impl Membership {
    /// Creates the membership of an epoch. Sorts the members, and keeps the first of several with the same
    /// disk.
    #[must_use]
    pub fn new(epoch: u64, mut members: Vec<Member>) -> Self {
        members.sort();
        members.dedup_by(|a, b| a.disk == b.disk);
        Membership { epoch, members }
    }

    /// Number of members in a quorum, which is a majority.
    #[must_use]
    pub fn quorum_size(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether a disk is a member of this epoch.
    #[must_use]
    pub fn contains(&self, disk: &DiskId) -> bool {
        self.member(disk).is_some()
    }

    /// Returns the member with this disk.
    #[must_use]
    pub fn member(&self, disk: &DiskId) -> Option<&Member> {
        self.members.iter().find(|member| member.disk == *disk)
    }
}
