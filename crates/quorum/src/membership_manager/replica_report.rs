//! What processes report of their own disks.

use serde::{Deserialize, Serialize};

use crate::Member;

/// What a replica holds on its own disk. Of two, the greater one has all that was chosen in the lesser one: an epoch
/// begins with what the one before it chose, and within an epoch versions only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaProgress {
    /// The epoch whose state it holds.
    pub epoch: u64,
    /// The version of the configuration that it has accepted there, 0 before the first one.
    pub version: u64,
}

/// What a process reports of its own disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// What is synced there.
    #[serde(rename = "held")]
    pub progress: ReplicaProgress,
    /// Whether the process is shutting down.
    #[serde(rename = "leaving")]
    pub is_shutting_down: bool,
}

/// A replica whose process is alive, and what that process has reported of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveReplica {
    /// The disk and where its process is reached.
    pub member: Member,
    /// None: its process has not reported yet.
    pub report: Option<ReplicaReport>,
}

impl LiveReplica {
    /// Whether its process has reported that it is shutting down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.report.is_some_and(|report| report.is_shutting_down)
    }
}
