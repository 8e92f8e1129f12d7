//! Reports of processes about their own replicas.

use serde::{Deserialize, Serialize};

use crate::Member;

/// The epoch and version that a replica has on disk. A replica with greater progress contains every version
/// chosen in a replica with smaller progress: an epoch starts with the value chosen in the previous one, and
/// versions only increase within an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaProgress {
    /// The epoch whose state is on disk.
    pub epoch: u64,
    /// The version of the accepted configuration, or 0 before the first one.
    pub version: u64,
}

/// The report of a process about its own replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// The progress that is synced to disk.
    #[serde(rename = "held")]
    pub progress: ReplicaProgress,
    /// Whether the process is shutting down.
    #[serde(rename = "leaving")]
    pub is_shutting_down: bool,
}

/// A replica whose process is alive, and the last report of that process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveReplica {
    /// The disk of the replica and the address of its process.
    pub member: Member,
    /// The last report, or `None` if the process has not reported yet.
    pub report: Option<ReplicaReport>,
}

impl LiveReplica {
    /// Whether the process has reported that it is shutting down.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.report.is_some_and(|report| report.is_shutting_down)
    }
}
