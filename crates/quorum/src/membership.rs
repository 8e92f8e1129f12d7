//! Which disks vote.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Names a disk for as long as it keeps its content: one that is wiped comes back under another name, so that it has
/// no vote for what it has forgotten.
pub type DiskId = Arc<str>;

/// A disk that votes, and where the process that has it is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The disk's own name.
    pub disk: DiskId,
    /// Address for messages between processes.
    pub address: String,
}

/// The members of one epoch. Epoch 0 has none: whoever holds it waits to be let in.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Rises by one with each change.
    pub epoch: u64,
    /// In the order of their disks' names.
    pub members: Vec<Member>,
}

impl Membership {
    /// The members of an epoch, in order; of two with one disk the first is taken.
    pub fn new(epoch: u64, mut members: Vec<Member>) -> Self {
        members.sort();
        members.dedup_by(|a, b| a.disk == b.disk);
        Membership { epoch, members }
    }

    /// How many members decide.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Whether a disk votes in this epoch.
    pub fn has(&self, disk: &str) -> bool {
        self.members.iter().any(|m| &*m.disk == disk)
    }

    /// The member with this disk.
    pub fn member(&self, disk: &str) -> Option<&Member> {
        self.members.iter().find(|m| &*m.disk == disk)
    }
}
