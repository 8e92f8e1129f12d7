//! Counts of the operations on a disk, for operators.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::Medium;

/// Counts since the disk was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskCounters {
    /// Writes that were started, including repeated ones.
    pub writes: u64,
    /// Syncs of a file or a folder that were started, including repeated ones.
    pub syncs: u64,
}

/// Counters that the writer of a disk increments and other threads read.
#[derive(Debug, Default)]
pub(super) struct SharedCounters {
    writes: AtomicU64,
    syncs: AtomicU64,
}

impl SharedCounters {
    pub(super) fn snapshot(&self) -> DiskCounters {
        DiskCounters {
            writes: self.writes.load(Ordering::Relaxed),
            syncs: self.syncs.load(Ordering::Relaxed),
        }
    }
}

/// Medium that counts the operations on another one.
pub(super) struct CountingMedium {
    medium: Arc<dyn Medium>,
    counters: Arc<SharedCounters>,
}

impl CountingMedium {
    pub(super) fn new(medium: Arc<dyn Medium>, counters: Arc<SharedCounters>) -> Self {
        CountingMedium { medium, counters }
    }
}

impl Medium for CountingMedium {
    fn check_write(&self, file: &Path, bytes: u64) -> io::Result<()> {
        self.counters.writes.fetch_add(1, Ordering::Relaxed);
        self.medium.check_write(file, bytes)
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        self.counters.syncs.fetch_add(1, Ordering::Relaxed);
        self.medium.sync(path)
    }

    fn wait_before_retry(&self) {
        self.medium.wait_before_retry();
    }
}
