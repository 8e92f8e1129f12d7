//! The replicas that vote.

use ashvane_identifiers::{Address, DiskId};
use serde::{Deserialize, Serialize};

/// A replica that votes, and where the process that has its disk is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica's disk.
    pub disk: DiskId,
    /// Where messages between processes are sent.
    pub address: Address,
}

/// The members of one epoch. Epoch 0 has none: a replica that holds it waits to be admitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Rises by one with each change.
    pub epoch: u64,
    /// In the order of their disk ids, each disk once.
    pub members: Vec<Member>,
}

impl Membership {
    /// The members of an epoch, sorted; of two with the same disk the first is taken.
    #[must_use]
    pub fn new(epoch: u64, mut members: Vec<Member>) -> Self {
        members.sort();
        members.dedup_by(|a, b| a.disk == b.disk);
        Membership { epoch, members }
    }

    /// How many members make a quorum: a majority.
    #[must_use]
    pub fn quorum_size(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether a disk votes in this epoch.
    #[must_use]
    pub fn contains(&self, disk: &DiskId) -> bool {
        self.member(disk).is_some()
    }

    /// The member with this disk.
    #[must_use]
    pub fn member(&self, disk: &DiskId) -> Option<&Member> {
        self.members.iter().find(|member| member.disk == *disk)
    }
}
