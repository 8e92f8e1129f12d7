//! The replicas that vote.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Identifies a disk for as long as it keeps its content. A disk that is wiped comes back under another id, so that it has
/// no vote for what it has forgotten.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(Arc<str>);

impl DiskId {
    /// The id as text, as it stands in messages and logs.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for DiskId {
    fn from(id: &str) -> Self {
        DiskId(id.into())
    }
}

impl From<String> for DiskId {
    fn from(id: String) -> Self {
        DiskId(id.into())
    }
}

impl Borrow<str> for DiskId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

/// A replica that votes, and where the process that has its disk is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica's disk.
    pub disk: DiskId,
    /// Address for messages between processes, `host:port`.
    pub address: String,
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
