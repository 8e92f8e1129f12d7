//! A disk's content, kept by sled on a thread of its own: a disk that hangs holds up nothing else. What was
//! handed over counts as kept only once a sync has covered it.
//!
//! There are two stores, written in turn, each with the whole state under a number that rises. What a loss of
//! power tears is the one that was being written; the other one was synced before and is whole.

mod store;

use std::collections::VecDeque;
use std::fs::File;
use std::path::PathBuf;
use std::sync::Arc;

use ashvane_gossip::Server;
use ashvane_quorum::ReplicaState;
use parking_lot::{Condvar, Mutex};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

pub use store::{FileSystem, Medium};
use store::{Store, StoreError};

const STORES: [&str; 2] = ["cells-a", "cells-b"];

/// All that is kept, as it stands in a store.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Whole {
    number: u64,
    pub replica: Option<ReplicaState>,
    /// Servers that were known. A hint: nothing is acknowledged on it, and it may be old.
    #[serde(default)]
    pub servers: Arc<Vec<Server>>,
}

/// Content that has to be on disk; each later one replaces the one before.
#[derive(Default)]
pub struct Wanted {
    replica: Option<ReplicaState>,
    servers: Option<Arc<Vec<Server>>>,
    waiting: VecDeque<oneshot::Sender<()>>,
    closed: bool,
}

impl Wanted {
    fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.servers.is_none()
    }

    /// Puts it into what a disk holds; says whether that has changed.
    pub fn onto(&mut self, whole: &mut Whole) -> bool {
        let changed = self.replica.is_some() || self.servers.is_some();
        whole.number += u64::from(changed);
        whole.replica = self.replica.take().or(whole.replica.take());
        whole.servers = self.servers.take().unwrap_or(std::mem::take(&mut whole.servers));
        changed
    }

    /// It is on disk: whoever waits for it is told.
    pub fn is_safe(self) {
        for done in self.waiting {
            let _ = done.send(());
        }
    }
}

/// The side of whoever writes the disk.
pub struct Inbox(Arc<(Mutex<Wanted>, Condvar)>);

impl Inbox {
    /// What has come since; none if nothing has.
    pub fn take(&self) -> Option<Wanted> {
        let mut wanted = self.0.0.lock();
        let closed = wanted.closed;
        let taken = (!wanted.is_empty()).then(|| std::mem::take(&mut *wanted));
        wanted.closed = closed;
        taken
    }

    /// Waits until something has come; none at the end.
    fn wait(&self) -> Option<Wanted> {
        let (wanted, woken) = &*self.0;
        let mut wanted = wanted.lock();
        while wanted.is_empty() && !wanted.closed {
            woken.wait(&mut wanted);
        }
        drop(wanted);
        self.take()
    }
}

/// A handle to the thread that keeps a disk.
#[derive(Clone)]
pub struct Disk {
    shared: Arc<(Mutex<Wanted>, Condvar)>,
}

/// What was found on a disk at start.
#[derive(Default)]
pub struct Found {
    pub replica: Option<ReplicaState>,
    pub servers: Vec<Server>,
    /// Why the stores that cannot be read cannot be.
    pub spoilt: Vec<String>,
}

impl Whole {
    /// What a process finds that starts on it.
    pub fn found(&self) -> Found {
        Found { replica: self.replica.clone(), servers: self.servers.to_vec(), spoilt: Vec::new() }
    }
}

fn seal(whole: &Whole) -> Vec<u8> {
    let text = serde_json::to_vec(whole).unwrap_or_default();
    let mut bytes = crc32fast::hash(&text).to_le_bytes().to_vec();
    bytes.extend(text);
    bytes
}

fn unseal(bytes: &[u8]) -> Option<Whole> {
    let (sum, text) = bytes.split_first_chunk::<4>()?;
    if crc32fast::hash(text) != u32::from_le_bytes(*sum) {
        return None;
    }
    serde_json::from_slice(text).ok()
}

impl Disk {
    /// A disk that whoever has the other side writes.
    pub fn new() -> (Disk, Inbox) {
        let shared: Arc<(Mutex<Wanted>, Condvar)> = Arc::default();
        (Disk { shared: shared.clone() }, Inbox(shared))
    }

    /// Opens the disk in a folder and starts its thread. Waits until it is read.
    pub fn open(dir: &str) -> Result<(Disk, Found), String> {
        Disk::open_on(dir, Arc::new(FileSystem))
    }

    /// As [`Disk::open`], on a medium of the caller's.
    pub fn open_on(dir: &str, medium: Arc<dyn Medium>) -> Result<(Disk, Found), String> {
        let dir = PathBuf::from(dir);
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        // Two processes on one disk would take each other's stores for spoilt.
        let lock = File::options().create(true).append(true).open(dir.join("lock"));
        let lock = lock.map_err(|e| e.to_string())?;
        lock.try_lock().map_err(|e| format!("another process has this disk: {e}"))?;
        let (mut stores, mut newest, mut spoilt) = (Vec::new(), Whole::default(), Vec::new());
        for name in STORES {
            let mut store = Store::new(dir.join(name), medium.clone());
            let (whole, fault) = first_read(&mut store, &*medium);
            stores.push(store);
            spoilt.extend(fault);
            if let Some(whole) = whole.filter(|w| w.number >= newest.number) {
                newest = whole;
            }
        }
        let found = Found { spoilt, ..newest.found() };
        let (disk, inbox) = Disk::new();
        let thread = std::thread::Builder::new().name("disk".to_owned());
        let kept = move || {
            keep(&inbox, &*medium, stores, newest);
            drop(lock);
        };
        thread.spawn(kept).map_err(|e| e.to_string())?;
        Ok((disk, found))
    }

    /// Keeps this content; the answer comes once it is safe, and never while the disk goes on refusing. With
    /// none, it comes once all that was handed over before is safe.
    pub fn keep(&self, replica: Option<ReplicaState>) -> oneshot::Receiver<()> {
        let (done, safe) = oneshot::channel();
        let (wanted, woken) = &*self.shared;
        let mut wanted = wanted.lock();
        if replica.is_some() {
            wanted.replica = replica;
        }
        wanted.waiting.push_back(done);
        woken.notify_one();
        safe
    }

    /// Keeps the servers that are known, when there is time.
    pub fn hint(&self, servers: Vec<Server>) {
        self.shared.0.lock().servers = Some(Arc::new(servers));
        self.shared.1.notify_one();
    }

    /// Ends the thread once what it was handed is safe.
    pub fn close(&self) {
        self.shared.0.lock().closed = true;
        self.shared.1.notify_one();
    }
}

/// What a store holds at start, or why it cannot be read; then it begins anew, empty. A disk that refuses is waited for:
/// sled writes as it opens, and a store that is whole must not be given up because the disk is full.
fn first_read(store: &mut Store, medium: &dyn Medium) -> (Option<Whole>, Option<String>) {
    loop {
        let why = match store.read() {
            Ok(None) => return (None, None),
            Ok(Some(bytes)) => match unseal(&bytes) {
                Some(whole) => return (Some(whole), None),
                None => "a checksum is wrong".to_owned(),
            },
            Err(StoreError::Refused { .. }) => {
                store.let_go();
                medium.pause();
                continue;
            }
            Err(e) => e.to_string(),
        };
        while store.renew().is_err() {
            medium.pause();
        }
        return (None, Some(why));
    }
}

fn keep(inbox: &Inbox, medium: &dyn Medium, mut stores: Vec<Store>, mut whole: Whole) {
    while let Some(mut wanted) = inbox.wait() {
        if wanted.onto(&mut whole) {
            let store = &mut stores[(whole.number % 2) as usize];
            let sealed = seal(&whole);
            // The other store holds what is safe so far: this one is made anew, lest what fills it keep it from being
            // written, until it holds the new state.
            while store.write(&sealed).is_err() {
                let _ = store.renew();
                medium.pause();
            }
        }
        wanted.is_safe();
    }
}
