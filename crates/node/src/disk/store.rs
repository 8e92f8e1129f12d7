//! Sled store with a single value that survives a power failure.

use std::collections::BTreeMap;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};

use super::Medium;

/// Key of the single value.
const VALUE_KEY: &[u8] = b"cell";
/// File that sled writes in place. All its other files are written once, each under a new name.
const SLED_DATA_FILE: &str = "db";
/// Extension of a sled snapshot that is still being written.
const UNFINISHED_SNAPSHOT_EXTENSION: &str = "generating";
/// Memory that sled may use as a cache for a store; larger than the complete state.
const CACHE_CAPACITY_BYTES: u64 = 1 << 20;
/// Size of the segments in sled's file. A segment holds several versions of the state.
const SEGMENT_BYTES: usize = 512 << 10;
/// Bytes that may be written to a store before it is cleared, so that its content and sled's headers stay
/// within the first segment. Sled reuses a segment once all of its content is replaced. From then on it
/// cannot recover the content without its newest snapshot, a file that it renames and removes while opening
/// and that a power failure may destroy.
const MAX_WRITTEN_BYTES: u64 = (SEGMENT_BYTES - (64 << 10)) as u64;
/// Large values that may be written to a store before it is cleared. Sled writes each of them to a separate
/// file that it never removes, so they do not fill the segment.
const MAX_LARGE_VALUES: u32 = 8;
/// Size from which sled writes a value to a separate file: half a segment.
const MIN_LARGE_VALUE_BYTES: u64 = (SEGMENT_BYTES / 2) as u64;
/// Upper bound for the bytes that sled adds to a value; it adds about ten.
const VALUE_OVERHEAD_BYTES: u64 = 256;

/// Reason why a store could not be read or written.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The disk cannot be read or written at present. The content of the store may be intact.
    #[display("the disk cannot be read or written at present: {reason}")]
    Unavailable {
        /// Error of the operating system.
        reason: io::Error,
    },
    /// The content of the store is corrupt; reading it again cannot succeed.
    #[display("the store is corrupt: {reason}")]
    Corrupt {
        /// Error of sled.
        #[error(not(source))]
        reason: String,
    },
}

impl StoreError {
    fn corrupt(reason: &str) -> Self {
        StoreError::Corrupt { reason: reason.to_owned() }
    }
}

impl From<io::Error> for StoreError {
    fn from(reason: io::Error) -> Self {
        // Truncated or invalid files cannot be read on a retry either.
        let is_corrupt = matches!(
            reason.kind(),
            io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        );
        if is_corrupt { StoreError::corrupt(&reason.to_string()) } else { StoreError::Unavailable { reason } }
    }
}

impl From<sled::Error> for StoreError {
    fn from(reason: sled::Error) -> Self {
        match reason {
            sled::Error::Io(reason) => reason.into(),
            reason => StoreError::corrupt(&reason.to_string()),
        }
    }
}

/// Runs an operation of sled, which may panic on corrupt files, and returns a panic as an error.
fn catch_panic<T>(run: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| Err(StoreError::corrupt("sled panicked")))
}

/// Entries of a folder, with the lengths of files.
type DirListing = BTreeMap<PathBuf, u64>;

/// Listing of each folder at its last sync, by path.
type SyncedListings = BTreeMap<PathBuf, DirListing>;

/// Store with a single value.
pub(super) struct Store {
    dir: PathBuf,
    medium: Arc<dyn Medium>,
    /// Open database; `None` if it has to be opened first.
    db: Option<sled::Db>,
    /// Folders synced since the database was opened, as they were at their last sync.
    synced_listings: SyncedListings,
    /// Amount written since the store was cleared; `None` if this process has not cleared it.
    written: Option<WrittenAmount>,
    /// Whether the folder entry of the store itself is synced in the parent folder.
    is_name_synced: bool,
}

/// Amount written to a store since it was cleared.
#[derive(Clone, Copy, Default)]
struct WrittenAmount {
    large_values: u32,
    /// Bytes used in the first segment.
    bytes: u64,
}

impl WrittenAmount {
    /// Returns the amount after one more write, or `None` if it exceeds a limit.
    fn after_write(self, value: &[u8]) -> Option<WrittenAmount> {
        let len = value.len() as u64;
        let is_large = len + VALUE_OVERHEAD_BYTES >= MIN_LARGE_VALUE_BYTES;
        let large_values = self.large_values + u32::from(is_large);
        let bytes = self.bytes + VALUE_OVERHEAD_BYTES + if is_large { 0 } else { len };
        (large_values <= MAX_LARGE_VALUES && bytes <= MAX_WRITTEN_BYTES)
            .then_some(WrittenAmount { large_values, bytes })
    }
}

impl Store {
    pub(super) fn new(dir: PathBuf, medium: Arc<dyn Medium>) -> Self {
        Store {
            dir,
            medium,
            db: None,
            synced_listings: SyncedListings::new(),
            written: None,
            is_name_synced: false,
        }
    }

    /// Returns the stored value.
    pub(super) fn read(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        catch_panic(|| Ok(self.db()?.get(VALUE_KEY)?.map(|bytes| bytes.to_vec())))
    }

    /// Replaces the value. The new value is synced when this returns; the previous value may be lost from
    /// the start of the call.
    pub(super) fn write(&mut self, value: &[u8]) -> Result<(), StoreError> {
        let written = match self.written.and_then(|written| written.after_write(value)) {
            Some(written) => written,
            None => {
                self.clear()?;
                WrittenAmount::default().after_write(value).unwrap_or_default()
            }
        };
        self.medium.check_write(&self.dir, value.len() as u64)?;
        catch_panic(|| {
            let db = self.db()?;
            db.insert(VALUE_KEY, value)?;
            db.flush()?;
            Ok(())
        })?;
        // Sled's flush may leave data in the page cache, which a power failure destroys, and does not sync
        // renames.
        self.sync(&self.dir.clone())?;
        if let Some(parent) = self.dir.parent().filter(|_| !self.is_name_synced) {
            self.medium.sync(parent)?;
            self.is_name_synced = true;
        }
        self.written = Some(written);
        Ok(())
    }

    /// Removes the store with its content. It is created again when it is next opened.
    pub(super) fn clear(&mut self) -> Result<(), StoreError> {
        self.drop_handle();
        (self.written, self.is_name_synced) = (None, false);
        match std::fs::remove_dir_all(&self.dir) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e.into()),
            _ => Ok(()),
        }
    }

    /// Closes the database. After a failure sled may also panic while it is closed, so panics are ignored.
    pub(super) fn drop_handle(&mut self) {
        let db = self.db.take();
        self.synced_listings.clear();
        let _ = catch_panic(|| {
            drop(db);
            Ok(())
        });
    }

    /// Returns the database, and opens it if necessary.
    fn db(&mut self) -> Result<&sled::Db, StoreError> {
        if self.db.is_none() {
            std::fs::create_dir_all(&self.dir)?;
            self.remove_unfinished_snapshots()?;
            let config = sled::Config::new().path(&self.dir).cache_capacity(CACHE_CAPACITY_BYTES);
            let config = config.segment_size(SEGMENT_BYTES).flush_every_ms(None);
            self.db = Some(config.open()?);
        }
        self.db.as_ref().ok_or_else(|| StoreError::corrupt("the database is not open"))
    }

    /// Removes snapshots that were unfinished when the previous process ended. Sled would take one of them
    /// for its newest snapshot.
    fn remove_unfinished_snapshots(&self) -> io::Result<()> {
        for entry in std::fs::read_dir(&self.dir)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == UNFINISHED_SNAPSHOT_EXTENSION) {
                std::fs::remove_file(path)?;
            }
        }
        Ok(())
    }

    /// Syncs everything in a folder of the store that may have changed since the last sync: files that are
    /// new or whose length differs, the file that sled writes in place, and the folder itself if its
    /// entries differ.
    fn sync(&mut self, dir: &Path) -> Result<(), StoreError> {
        let previous = self.synced_listings.remove(dir);
        let mut current = DirListing::new();
        for entry in std::fs::read_dir(dir)? {
            let (path, metadata) = {
                let entry = entry?;
                (entry.path(), entry.metadata()?)
            };
            let length = if metadata.is_dir() { 0 } else { metadata.len() };
            let is_changed = previous.as_ref().and_then(|listing| listing.get(&path)) != Some(&length);
            if metadata.is_dir() {
                self.sync(&path)?;
            } else if is_changed || path.ends_with(SLED_DATA_FILE) {
                self.medium.sync(&path)?;
            }
            current.insert(path, length);
        }
        if previous.is_none_or(|previous| !previous.keys().eq(current.keys())) {
            self.medium.sync(dir)?;
        }
        self.synced_listings.insert(dir.to_owned(), current);
        Ok(())
    }
}
