//! What lies below a store.

use std::fs::File;
use std::io;
use std::path::Path;
use std::time::Duration;

/// Pause before a disk that refused is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// What a disk does that a test may want to refuse, or to remember.
pub trait Medium: Send + Sync {
    /// Whether so many more bytes may be written to a store.
    ///
    /// # Errors
    ///
    /// Where the disk takes none for now.
    fn check_write(&self, store: &Path, bytes: u64) -> io::Result<()>;

    /// Makes a file's content, or a folder's names, outlast a loss of power.
    ///
    /// # Errors
    ///
    /// Where the disk does not say that they will.
    fn sync(&self, path: &Path) -> io::Result<()>;

    /// Passes the time until a disk that refused is tried again.
    fn wait_before_retry(&self) {
        std::thread::sleep(RETRY_DELAY);
    }
}

/// The machine's own file system.
pub struct FileSystem;

impl Medium for FileSystem {
    fn check_write(&self, _store: &Path, _bytes: u64) -> io::Result<()> {
        Ok(())
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}
