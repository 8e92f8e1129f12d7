//! File system operations below a store, replaceable in tests.

use std::fs::File;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Delay before a failed disk operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Disk operations that tests can make fail, or record.
pub trait Medium: Send + Sync {
    /// Checks whether this number of bytes may be written to a store.
    ///
    /// # Errors
    ///
    /// If the disk does not accept the write at present.
    fn check_write(&self, store: &Path, bytes: u64) -> io::Result<()>;

    /// Syncs the content of a file, or the entries of a folder, so that they survive a power failure.
    ///
    /// # Errors
    ///
    /// If the disk does not confirm the sync.
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Blocks until a failed disk operation should be retried.
    fn wait_before_retry(&self) {
        std::thread::sleep(RETRY_DELAY);
    }
}

/// File system of the machine.
pub struct FileSystem;

impl Medium for FileSystem {
    fn check_write(&self, _store: &Path, _bytes: u64) -> io::Result<()> {
        Ok(())
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}
