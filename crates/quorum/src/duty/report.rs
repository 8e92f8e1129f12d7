//! What processes say of their own disks.

use serde::{Deserialize, Serialize};

use crate::Member;

/// What a replica holds on its own disk. Of two, the greater one has all that was chosen in the lesser one: an epoch
/// begins with what the one before it chose, and within an epoch versions only rise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Held {
    /// The epoch whose state it holds.
    pub epoch: u64,
    /// The version of the configuration that it has accepted there, 0 before the first one.
    pub version: u64,
}

/// What a process says of its own disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DiskReport {
    /// What is synced there.
    pub held: Held,
    /// Whether the process was told to end.
    pub leaving: bool,
}

/// A disk whose process is in sight, and what that process has said of it, if it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LiveDisk {
    /// The disk and where its process is reached.
    pub member: Member,
    /// None: its process has not said anything of it yet.
    pub report: Option<DiskReport>,
}

impl LiveDisk {
    pub(crate) fn is_leaving(&self) -> bool {
        self.report.is_some_and(|report| report.leaving)
    }
}
