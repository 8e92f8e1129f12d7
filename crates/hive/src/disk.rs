//! A disk's content, kept by sled on a thread of its own: a disk that hangs holds up nothing else. What was
//! handed over counts as kept only once a sync has covered it.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;

use ashvane_comb::{Filed, Kept};
use parking_lot::{Condvar, Mutex};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::oneshot;

const KEPT: &[u8] = b"kept";
const FILED: &[u8] = b"filed";
/// What sled may hold of the disk in memory, in bytes: the whole state is smaller.
const CACHE: u64 = 2 << 20;
/// Pause before a disk that refused is tried again.
const AGAIN: std::time::Duration = std::time::Duration::from_millis(200);

/// Content that has to be on disk; each later one replaces the one before.
#[derive(Default)]
struct Wanted {
    kept: Option<Vec<u8>>,
    filed: Option<Vec<u8>>,
    waiting: VecDeque<oneshot::Sender<()>>,
    closed: bool,
}

/// A handle to the thread that keeps a disk.
#[derive(Clone)]
pub struct Disk {
    shared: Arc<(Mutex<Wanted>, Condvar)>,
}

/// What was found on a disk at start.
#[derive(Default)]
pub struct Found {
    pub kept: Option<Kept>,
    pub filed: Option<Filed>,
    /// Why what is there cannot be used, where it cannot.
    pub spoilt: Option<String>,
}

fn seal<T: Serialize>(value: &T) -> Vec<u8> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut bytes = crc32fast::hash(&text).to_le_bytes().to_vec();
    bytes.extend(text);
    bytes
}

fn unseal<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (sum, text) = bytes.split_first_chunk::<4>()?;
    if crc32fast::hash(text) != u32::from_le_bytes(*sum) {
        return None;
    }
    serde_json::from_slice(text).ok()
}

fn open(dir: &PathBuf) -> sled::Result<sled::Db> {
    let config = sled::Config::new().path(dir).cache_capacity(CACHE).flush_every_ms(None);
    config.mode(sled::Mode::LowSpace).open()
}

fn read<T: DeserializeOwned>(db: &sled::Db, key: &[u8]) -> Result<Option<T>, String> {
    match db.get(key).map_err(|e| e.to_string())? {
        None => Ok(None),
        Some(bytes) => unseal(&bytes).map(Some).ok_or_else(|| "a checksum is wrong".to_owned()),
    }
}

fn find(db: &sled::Db) -> Result<Found, String> {
    Ok(Found { kept: read(db, KEPT)?, filed: read(db, FILED)?, spoilt: None })
}

/// Opens the disk, or a new one beside it where what is there cannot be read: such a disk counts as wiped.
fn open_or_renew(dir: &PathBuf) -> Result<(sled::Db, Found), String> {
    let opened = open(dir).map_err(|e| e.to_string());
    let spoilt = match opened.and_then(|db| find(&db).map(|found| (db, found))) {
        Ok(opened) => return Ok(opened),
        Err(why) => why,
    };
    std::fs::remove_dir_all(dir).map_err(|e| format!("{spoilt}; then {e}"))?;
    let db = open(dir).map_err(|e| format!("{spoilt}; then {e}"))?;
    Ok((db, Found { spoilt: Some(spoilt), ..Found::default() }))
}

impl Disk {
    /// Opens the disk in a folder and starts its thread. Waits until it is read.
    pub fn open(dir: &str) -> Result<(Disk, Found), String> {
        let dir = PathBuf::from(dir).join("cells");
        std::fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let (db, found) = open_or_renew(&dir)?;
        let shared: Arc<(Mutex<Wanted>, Condvar)> = Arc::default();
        let disk = Disk { shared: shared.clone() };
        let thread = std::thread::Builder::new().name("disk".to_owned());
        thread.spawn(move || keep(&shared, &dir, db)).map_err(|e| e.to_string())?;
        Ok((disk, found))
    }

    /// Keeps this content; the answer comes once it is safe, and never where the disk goes on refusing.
    pub fn keep(&self, kept: Option<&Kept>, filed: Option<&Filed>) -> oneshot::Receiver<()> {
        let (done, safe) = oneshot::channel();
        let (wanted, woken) = &*self.shared;
        let mut wanted = wanted.lock();
        if let Some(kept) = kept {
            wanted.kept = Some(seal(kept));
        }
        if let Some(filed) = filed {
            wanted.filed = Some(seal(filed));
        }
        wanted.waiting.push_back(done);
        woken.notify_one();
        safe
    }

    /// Ends the thread once what it was handed is safe.
    pub fn close(&self) {
        self.shared.0.lock().closed = true;
        self.shared.1.notify_one();
    }
}

fn write(db: &sled::Db, kept: Option<&Vec<u8>>, filed: Option<&Vec<u8>>) -> sled::Result<()> {
    for (key, value) in [(KEPT, kept), (FILED, filed)] {
        if let Some(value) = value {
            db.insert(key, value.as_slice())?;
        }
    }
    db.flush().map(|_| ())
}

fn keep(shared: &(Mutex<Wanted>, Condvar), dir: &PathBuf, db: sled::Db) {
    let mut db = Some(db);
    loop {
        let (kept, filed, waiting) = {
            let mut wanted = shared.0.lock();
            while wanted.waiting.is_empty() && !wanted.closed {
                shared.1.wait(&mut wanted);
            }
            if wanted.waiting.is_empty() {
                return;
            }
            (wanted.kept.take(), wanted.filed.take(), std::mem::take(&mut wanted.waiting))
        };
        // A disk that refused once keeps refusing in the same handle: it is opened anew.
        loop {
            if db.is_none() {
                db = open(dir).ok();
            }
            let written = db.as_ref().map(|db| write(db, kept.as_ref(), filed.as_ref()));
            if matches!(written, Some(Ok(()))) {
                break;
            }
            db = None;
            std::thread::sleep(AGAIN);
        }
        for done in waiting {
            let _ = done.send(());
        }
    }
}
