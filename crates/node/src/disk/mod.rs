//! Durable state of a process. A separate thread writes it with sled, so that a disk that hangs blocks
//! nothing else. State counts as stored only after it has been synced.
//!
//! The complete state is written with a sequence number to two stores in turn. A power failure can only
//! corrupt the store that is being written; the other one was synced before and is intact.
//! Departures of servers are appended to a log of their own.

mod counters;
mod departure_log;
mod medium;
mod store;
mod stored_state;
mod write_queue;
mod writer;

use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use ashvane_gossip::Server;
use ashvane_quorum::ReplicaState;
use derive_more::{Display, Error, From};
use tokio::sync::oneshot;

pub use counters::DiskCounters;
pub use departure_log::DepartureWrite;
pub use medium::{FileSystem, Medium};
pub use store::StoreError;
pub use stored_state::{RecoveredState, StoredState, UnreadableStore};
pub use write_queue::{DiskQueue, PendingDepartures, PendingWrite};

use counters::{CountingMedium, SharedCounters};
use departure_log::DepartureLog;
use store::Store;
use write_queue::SharedQueue;

/// Folders of the two stores.
const STORE_DIRS: [&str; 2] = ["cells-a", "cells-b"];
/// File that is locked so that no second process uses the disk.
const LOCK_FILE: &str = "lock";

/// Reason why a disk cannot be opened.
#[derive(Debug, Display, Error, From)]
pub enum OpenDiskError {
    /// The folder, the lock file or the thread cannot be created.
    #[display("{_0}")]
    Io(io::Error),
    /// The lock file is locked by another process. Two processes on one disk would find each other's stores
    /// corrupt.
    #[display("another process is using this disk: {_0}")]
    InUse(TryLockError),
}

/// Handle to the thread that writes a disk.
#[derive(Clone)]
pub struct Disk {
    queue: Arc<SharedQueue>,
    counters: Arc<SharedCounters>,
}

impl Disk {
    /// Creates a disk without a thread. The owner of the returned queue performs the writes.
    #[must_use]
    pub fn new() -> (Disk, DiskQueue) {
        Disk::with_counters(Arc::default())
    }

    fn with_counters(counters: Arc<SharedCounters>) -> (Disk, DiskQueue) {
        let queue = Arc::new(SharedQueue::default());
        (Disk { queue: queue.clone(), counters }, DiskQueue::new(queue))
    }

    /// Opens the disk in a folder, reads the stored state and starts the writer thread. Blocks until the
    /// state is read, for as long as the disk fails temporarily.
    ///
    /// # Errors
    ///
    /// If the folder cannot be used or another process is using it.
    pub fn open(dir: &str) -> Result<(Disk, RecoveredState), OpenDiskError> {
        Disk::open_on(dir, Arc::new(FileSystem))
    }

    /// Opens a disk on the given medium; see [`Disk::open`].
    ///
    /// # Errors
    ///
    /// The same as for [`Disk::open`].
    pub fn open_on(dir: &str, medium: Arc<dyn Medium>) -> Result<(Disk, RecoveredState), OpenDiskError> {
        let dir = PathBuf::from(dir);
        std::fs::create_dir_all(&dir)?;
        let lock = acquire_lock(&dir)?;
        let counters = Arc::<SharedCounters>::default();
        let medium: Arc<dyn Medium> = Arc::new(CountingMedium::new(medium, counters.clone()));
        let stores = STORE_DIRS.map(|name| Store::new(dir.join(name), medium.clone()));
        let departures = DepartureLog::new(dir.clone(), medium.clone());
        let mut writer = writer::DiskWriter::new(stores, departures, medium);
        let recovered = writer.recover();
        let (disk, queue) = Disk::with_counters(counters);
        let write = move || {
            writer.run(&queue);
            drop(lock);
        };
        std::thread::Builder::new().name("disk".to_owned()).spawn(write)?;
        Ok((disk, recovered))
    }

    /// Queues the replica's state to be stored. The receiver is notified once the state is synced, which
    /// does not happen while the disk fails. With `None`, it is notified once all state queued before is
    /// synced.
    #[must_use]
    pub fn save_replica(&self, replica: Option<ReplicaState>) -> oneshot::Receiver<()> {
        let (done, synced) = oneshot::channel();
        self.queue.update(|pending| pending.add_replica(replica, done));
        synced
    }

    /// Queues the list of servers to be stored, without a notification.
    pub fn save_servers(&self, servers: Vec<Server>) {
        self.queue.update(|pending| pending.add_servers(servers));
    }

    /// Queues a change of the log of departures. The receiver is notified once the change is synced, which does
    /// not happen while the disk fails.
    #[must_use]
    pub fn save_departures(&self, write: DepartureWrite) -> oneshot::Receiver<()> {
        let (done, synced) = oneshot::channel();
        self.queue.update(|pending| pending.add_departures(write, done));
        synced
    }

    /// Returns the number of operations since the disk was opened.
    #[must_use]
    pub fn counters(&self) -> DiskCounters {
        self.counters.snapshot()
    }

    /// Stops the thread once all queued state is synced.
    pub fn close(&self) {
        self.queue.close();
    }
}

/// Locks the disk for this process; the lock is released when the file is dropped.
fn acquire_lock(dir: &Path) -> Result<File, OpenDiskError> {
    let lock = File::options().create(true).append(true).open(dir.join(LOCK_FILE))?;
    lock.try_lock()?;
    Ok(lock)
}
