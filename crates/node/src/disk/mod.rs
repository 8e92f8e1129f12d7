//! What a process keeps on its disk, written by sled on a thread of its own: a disk that hangs holds up nothing else. What
//! was handed over counts as kept only once a sync has covered it.
//!
//! There are two stores, written in turn, each with the complete state under a sequence number. What a loss of power tears
//! is the one that was being written; the other one was synced before and is intact.

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

pub use medium::{FileSystem, Medium};
pub use store::StoreError;
pub use stored_state::{RecoveredState, StoredState, UnreadableStore};
pub use write_queue::{DiskQueue, PendingWrite};

use store::Store;
use write_queue::SharedQueue;

/// The folders of the two stores.
const STORE_DIRS: [&str; 2] = ["cells-a", "cells-b"];
/// The file whose lock keeps a second process off the disk.
const LOCK_FILE: &str = "lock";

/// Why a disk cannot be opened.
#[derive(Debug, Display, Error, From)]
pub enum OpenDiskError {
    /// The folder, the lock file or the thread cannot be made.
    #[display("{_0}")]
    Io(io::Error),
    /// Two processes on one disk would take each other's stores for unreadable.
    #[display("another process has this disk: {_0}")]
    InUse(TryLockError),
}

/// A handle to the thread that writes a disk.
#[derive(Clone)]
pub struct Disk {
    queue: Arc<SharedQueue>,
}

impl Disk {
    /// A disk that is written by whoever has the other side.
    #[must_use]
    pub fn new() -> (Disk, DiskQueue) {
        let queue = Arc::new(SharedQueue::default());
        (Disk { queue: queue.clone() }, DiskQueue::new(queue))
    }

    /// Opens the disk in a folder and starts its thread. Waits until it is read, and as long as the disk refuses.
    ///
    /// # Errors
    ///
    /// Where the folder cannot be used, or another process has it.
    pub fn open(dir: &str) -> Result<(Disk, RecoveredState), OpenDiskError> {
        Disk::open_on(dir, Arc::new(FileSystem))
    }

    /// As [`Disk::open`], on a medium of the caller's.
    ///
    /// # Errors
    ///
    /// As [`Disk::open`].
    pub fn open_on(dir: &str, medium: Arc<dyn Medium>) -> Result<(Disk, RecoveredState), OpenDiskError> {
        let dir = PathBuf::from(dir);
        std::fs::create_dir_all(&dir)?;
        let lock = acquire_lock(&dir)?;
        let stores = STORE_DIRS.map(|name| Store::new(dir.join(name), medium.clone()));
        let mut writer = writer::DiskWriter::new(stores, medium);
        let recovered = writer.recover();
        let (disk, queue) = Disk::new();
        let write = move || {
            writer.run(&queue);
            drop(lock);
        };
        std::thread::Builder::new().name("disk".to_owned()).spawn(write)?;
        Ok((disk, recovered))
    }

    /// Keeps the replica's state; the receiver is notified once it is safe, and never while the disk goes on refusing. With
    /// none, it is notified once all that was handed over before is safe.
    #[must_use]
    pub fn save_replica(&self, replica: Option<ReplicaState>) -> oneshot::Receiver<()> {
        let (done, synced) = oneshot::channel();
        self.queue.update(|pending| pending.add_replica(replica, done));
        synced
    }

    /// Keeps the servers that are known, when there is time.
    pub fn save_servers(&self, servers: Vec<Server>) {
        self.queue.update(|pending| pending.add_servers(servers));
    }

    /// Ends the thread once what it was handed is safe.
    pub fn close(&self) {
        self.queue.close();
    }
}

fn acquire_lock(dir: &Path) -> Result<File, OpenDiskError> {
    let lock = File::options().create(true).append(true).open(dir.join(LOCK_FILE))?;
    lock.try_lock()?;
    Ok(lock)
}
