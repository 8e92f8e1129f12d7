//! One sled store with one value in it, and what it takes for that value to outlast a loss of power.

use std::collections::BTreeMap;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use derive_more::{Display, Error};

use super::Medium;

/// The key of the one value.
const VALUE_KEY: &[u8] = b"cell";
/// The file that sled writes in place; all others it writes once, under a name of their own.
const SLED_DATA_FILE: &str = "db";
/// How the name of a snapshot ends while it is written.
const UNFINISHED_SNAPSHOT_EXTENSION: &str = "generating";
/// What sled may hold of a store in memory, in bytes: the whole state is smaller.
const CACHE_CAPACITY_BYTES: u64 = 1 << 20;
/// The pieces that sled sets its file up in, in bytes: a few states fit into one.
const SEGMENT_BYTES: usize = 512 << 10;
/// What is written to a store before it is made anew, in bytes: with its own heads it stays within its first segment.
/// Sled uses a segment again once all in it is replaced, and from then on finds nothing without its newest snapshot, a
/// file that it renames and removes as it opens and that a loss of power may take.
const MAX_WRITTEN_BYTES: u64 = (SEGMENT_BYTES - (64 << 10)) as u64;
/// A value that sled keeps in a file of its own, of which it removes none, fills no segment: after so many the store is
/// made anew all the same.
const MAX_LARGE_VALUES: u32 = 8;
/// The least value of that kind, in bytes: half a segment.
const MIN_LARGE_VALUE_BYTES: u64 = (SEGMENT_BYTES / 2) as u64;
/// What sled writes around a value, in bytes; in fact it is some ten.
const VALUE_OVERHEAD_BYTES: u64 = 256;

/// Why a store could not be read or written.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The disk takes nothing, or gives nothing, for now: what the store holds may be intact.
    #[display("the disk refuses: {reason}")]
    Refused {
        /// What the system says.
        reason: io::Error,
    },
    /// What the store holds means nothing, and stays so however often it is read.
    #[display("the store is not sound: {reason}")]
    Corrupt {
        /// What sled says.
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
        // A file that is cut off, or whose bytes mean nothing, stays so however often it is read.
        let is_corrupt = matches!(
            reason.kind(),
            io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        );
        if is_corrupt { StoreError::corrupt(&reason.to_string()) } else { StoreError::Refused { reason } }
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

/// Runs what may panic on bytes that it did not expect.
fn catch_panic<T>(run: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| Err(StoreError::corrupt("a panic within")))
}

/// A folder's names and the lengths of its files.
type DirListing = BTreeMap<PathBuf, u64>;

/// What has been synced of a folder, by its path.
type SyncedListings = BTreeMap<PathBuf, DirListing>;

/// A store; its handle is none while it has to be opened anew.
pub(super) struct Store {
    dir: PathBuf,
    medium: Arc<dyn Medium>,
    db: Option<sled::Db>,
    /// What its folders held when they were synced last, since it was opened.
    synced_listings: SyncedListings,
    /// What was written to it since it was made anew; none where that was not by this process.
    written: Option<WrittenAmount>,
    /// Whether its own name is known to outlast a loss of power.
    is_name_synced: bool,
}

/// What a store has taken since it was made anew.
#[derive(Clone, Copy, Default)]
struct WrittenAmount {
    large_values: u32,
    /// Bytes of its first segment.
    bytes: u64,
}

impl WrittenAmount {
    /// With one value more; none if that is too much.
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

    /// The value that it holds.
    pub(super) fn read(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        catch_panic(|| Ok(self.db()?.get(VALUE_KEY)?.map(|bytes| bytes.to_vec())))
    }

    /// Puts a value in place of the one before; it is safe once this has returned. Whatever the store held may be gone
    /// from the moment this is called.
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
        // Sled's own flush leaves bytes to the system that a loss of power takes, and does not sync what it renames.
        self.sync(&self.dir.clone())?;
        if let Some(parent) = self.dir.parent().filter(|_| !self.is_name_synced) {
            self.medium.sync(parent)?;
            self.is_name_synced = true;
        }
        self.written = Some(written);
        Ok(())
    }

    /// Empties it.
    pub(super) fn clear(&mut self) -> Result<(), StoreError> {
        self.drop_handle();
        (self.written, self.is_name_synced) = (None, false);
        match std::fs::remove_dir_all(&self.dir) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e.into()),
            _ => Ok(()),
        }
    }

    /// Drops the handle: one that has failed once may panic at its end too.
    pub(super) fn drop_handle(&mut self) {
        let db = self.db.take();
        self.synced_listings.clear();
        let _ = catch_panic(|| {
            drop(db);
            Ok(())
        });
    }

    fn db(&mut self) -> Result<&sled::Db, StoreError> {
        if self.db.is_none() {
            std::fs::create_dir_all(&self.dir)?;
            self.remove_unfinished_snapshots()?;
            let config = sled::Config::new().path(&self.dir).cache_capacity(CACHE_CAPACITY_BYTES);
            let config = config.segment_size(SEGMENT_BYTES).flush_every_ms(None);
            self.db = Some(config.open()?);
        }
        self.db.as_ref().ok_or_else(|| StoreError::corrupt("not open"))
    }

    /// Removes the snapshots that sled had begun when its process ended: it takes one of them for its newest.
    fn remove_unfinished_snapshots(&self) -> io::Result<()> {
        for entry in std::fs::read_dir(&self.dir)? {
            let path = entry?.path();
            if path.extension().is_some_and(|e| e == UNFINISHED_SNAPSHOT_EXTENSION) {
                std::fs::remove_file(path)?;
            }
        }
        Ok(())
    }

    /// Syncs what may have changed within a folder of the store: of its files those that are new or of another length,
    /// and sled's own file, which is written in place; the folder itself where its names have changed.
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
