//! Durability of a disk: its content after a power loss, and with one of its two stores torn, damaged or
//! missing.

#[path = "disk/departures.rs"]
mod departures;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ashvane_node::disk::{Disk, FileSystem, Medium, RecoveredState};
use ashvane_quorum::{
    AcceptedProposal, ContentDigest, Membership, ProposalNumber, RegisterValue, ReplicaState, VersionedConfig,
};
use parking_lot::Mutex;

fn scratch_folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn config(version: u64) -> VersionedConfig {
    let text = "x".repeat(2000 * version as usize);
    VersionedConfig { version, digest: ContentDigest::of(text.as_bytes()), compressed_text: text.into() }
}

/// Returns a replica that has accepted a small configuration with a given version.
fn replica(version: u64) -> ReplicaState {
    replica_with(config(version))
}

fn replica_with(config: VersionedConfig) -> ReplicaState {
    let number = ProposalNumber { round: config.version, operation: "d/1/1".into() };
    let value = RegisterValue::default().with_config(&config).into();
    ReplicaState {
        disk: "d".into(),
        membership: Membership::default(),
        promised: number.clone(),
        accepted: AcceptedProposal { number, value, next_membership: None },
    }
}

/// Configuration that was recovered from a disk.
fn recovered_config(found: &RecoveredState) -> Option<VersionedConfig> {
    found.replica.as_ref().and_then(|replica| replica.accepted.value.config.clone())
}

/// Opens a disk, waiting until its previous user has released the lock.
fn open(dir: &Path) -> (Disk, RecoveredState) {
    open_on(dir, Arc::new(FileSystem))
}

fn open_on(dir: &Path, medium: Arc<dyn Medium>) -> (Disk, RecoveredState) {
    for _ in 0..1_000_000 {
        if let Ok(opened) = Disk::open_on(&dir.to_string_lossy(), medium.clone()) {
            return opened;
        }
        std::thread::yield_now();
    }
    panic!("the lock of the disk is not released");
}

/// Writes the versions from 1 to `versions`, each one after the previous one is on disk.
fn write_versions(dir: &Path, versions: u64) {
    let (disk, _) = open(dir);
    for version in 1..=versions {
        disk.save_replica(Some(replica(version))).blocking_recv().expect("the disk confirms the write");
    }
    disk.close();
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("the target folder can be created");
    for entry in std::fs::read_dir(from).expect("the source folder can be read").flatten() {
        let (path, to) = (entry.path(), to.join(entry.file_name()));
        if path.is_dir() { copy_folder(&path, &to) } else { drop(std::fs::copy(path, to)) }
    }
}

#[test]
fn stored_state_is_recovered() {
    let dir = scratch_folder("kept");
    write_versions(&dir, 5);
    let (disk, found) = open(&dir);
    assert!(recovered_config(&found) == Some(config(5)) && found.unreadable.is_empty());
    assert_eq!(found.replica.map(|replica| replica.disk.to_string()), Some("d".to_owned()));
    disk.close();
}

/// The store that was written last is truncated, zeroed or corrupted at random places: the other store still
/// has every earlier write.
#[test]
fn a_torn_store_loses_at_most_the_last_write() {
    let dir = scratch_folder("torn");
    write_versions(&dir, 4);
    let bytes = std::fs::read(dir.join("cells-a/db")).expect("the store written last can be read");
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let torn = scratch_folder(&format!("torn-{seed}"));
        copy_folder(&dir, &torn);
        let mut damaged = bytes.clone();
        match seed % 3 {
            0 => damaged.truncate(rng.usize(0..bytes.len())),
            1 => {
                let at = rng.usize(0..bytes.len());
                let end = (at + rng.usize(1..8192)).min(bytes.len());
                damaged[at..end].fill(0);
            }
            _ => (0..64).for_each(|_| damaged[rng.usize(0..bytes.len())] ^= rng.u8(1..)),
        }
        std::fs::write(torn.join("cells-a/db"), &damaged).expect("the store can be overwritten");
        let (disk, found) = open(&torn);
        let version = recovered_config(&found).map_or(0, |f| f.version);
        assert!(version == 3 || version == 4, "seed {seed}: recovered version {version}");
        disk.save_replica(Some(replica(9))).blocking_recv().expect("a disk accepts writes after recovery");
        disk.close();
        let (disk, found) = open(&torn);
        assert_eq!(recovered_config(&found).map(|f| f.version), Some(9), "seed {seed}");
        disk.close();
        let _ = std::fs::remove_dir_all(&torn);
    }
}

#[test]
fn servers_are_stored_beside_the_replica() {
    let dir = scratch_folder("hint");
    write_versions(&dir, 2);
    let (disk, _) = open(&dir);
    let text = r#"{"id":"i-1","service":"s","address":"x:1","zone":"z","capacity":2,"state":"draining",
        "seq":4,"silent":false,"keeper":"n"}"#;
    let server: ashvane_gossip::Server = serde_json::from_str(text).expect("the text describes a server");
    disk.save_servers(vec![server.clone()]);
    disk.save_replica(Some(replica(3))).blocking_recv().expect("the disk confirms the write");
    disk.close();
    let (disk, found) = open(&dir);
    assert!(
        found.servers == vec![server]
            && recovered_config(&found) == Some(config(3))
            && found.replica.is_some()
    );
    disk.close();
}

#[test]
fn a_second_process_cannot_open_the_disk_and_damages_nothing() {
    let dir = scratch_folder("twice");
    write_versions(&dir, 3);
    let (disk, _) = open(&dir);
    assert!(Disk::open(&dir.to_string_lossy()).is_err());
    disk.close();
    let (disk, found) = open(&dir);
    assert!(recovered_config(&found).map(|f| f.version) == Some(3) && found.unreadable.is_empty());
    disk.close();
}

#[test]
fn a_disk_with_two_unreadable_stores_counts_as_wiped() {
    let dir = scratch_folder("wiped");
    write_versions(&dir, 2);
    for store in ["cells-a", "cells-b"] {
        std::fs::write(dir.join(store).join("db"), b"no store").expect("the store can be overwritten");
    }
    let (disk, found) = open(&dir);
    assert!(found.replica.is_none());
    disk.close();
}

/// Returns a replica that has accepted a configuration of a given size. Its text counts as compressed
/// already, so that the disk stores it at this size.
fn replica_of_size(version: u64, bytes: usize) -> ReplicaState {
    replica_with(VersionedConfig {
        version,
        digest: ContentDigest::of(&version.to_le_bytes()),
        compressed_text: "x".repeat(bytes).into(),
    })
}

/// Version of the configuration that was recovered, or 0 if there is none.
fn recovered_version(found: &RecoveredState) -> u64 {
    recovered_config(found).map_or(0, |config| config.version)
}

fn folder_size(dir: &Path) -> u64 {
    let entries = std::fs::read_dir(dir).into_iter().flatten().flatten();
    let bytes = |path: PathBuf| match path.is_dir() {
        true => folder_size(&path),
        false => path.metadata().map_or(0, |about| about.len()),
    };
    entries.map(|entry| bytes(entry.path())).sum()
}

/// Medium that counts syncs and bytes written. It admits every write and syncs nothing.
#[derive(Default)]
struct CountingMedium {
    syncs: AtomicU64,
    written_bytes: AtomicU64,
}

impl Medium for CountingMedium {
    fn check_write(&self, _store: &Path, bytes: u64) -> io::Result<()> {
        self.written_bytes.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    fn sync(&self, _path: &Path) -> io::Result<()> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// Disk space of a control node.
const DISK_BYTES: u64 = 128 << 20;

/// Hundreds of changes, in two runs of the process, need no more disk space than a few. To print the figures:
/// `DISK_CHANGES=1000 cargo test --release -p ashvane-node --test disk -- --nocapture bounded`.
#[test]
fn state_on_disk_is_bounded_however_often_it_changes() {
    let requested_changes = std::env::var("DISK_CHANGES").ok().and_then(|n| n.parse::<u64>().ok());
    let changes = requested_changes.unwrap_or(80);
    for bytes in [20_000, 300_000] {
        let dir = scratch_folder(&format!("bounded-{bytes}"));
        let medium = Arc::new(CountingMedium::default());
        let (mut max_bytes, mut version) = (0, 0);
        for _run in 0..2 {
            let (disk, found) = open_on(&dir, medium.clone());
            assert_eq!(recovered_version(&found), version);
            for _ in 0..changes / 2 {
                version += 1;
                disk.save_replica(Some(replica_of_size(version, bytes)))
                    .blocking_recv()
                    .expect("the disk confirms the write");
                max_bytes = max_bytes.max(folder_size(&dir));
            }
            disk.close();
        }
        let per_change = |sum: &AtomicU64| sum.load(Ordering::Relaxed) as f64 / version as f64;
        println!(
            "{version} changes of {bytes} bytes: at most {max_bytes} bytes on disk; per change {:.0} bytes written, {:.2} syncs",
            per_change(&medium.written_bytes),
            per_change(&medium.syncs)
        );
        assert!(
            max_bytes < DISK_BYTES / 16,
            "{max_bytes} bytes on disk after {version} changes of {bytes} bytes"
        );
        assert!(
            per_change(&medium.syncs) < 5.0,
            "{} syncs per change of {bytes} bytes",
            per_change(&medium.syncs)
        );
        let _ = std::fs::remove_dir_all(&dir);
    }
}

/// Medium that records what a power loss would leave: the content of each file and the entries of each folder
/// as of their last sync.
struct PowerLossMedium {
    files: Mutex<BTreeMap<PathBuf, Vec<u8>>>,
    names: Mutex<BTreeMap<PathBuf, BTreeSet<PathBuf>>>,
}

impl Medium for PowerLossMedium {
    fn check_write(&self, _store: &Path, _bytes: u64) -> io::Result<()> {
        Ok(())
    }

    fn sync(&self, path: &Path) -> io::Result<()> {
        if path.is_dir() {
            let names = std::fs::read_dir(path)?.map(|e| e.map(|e| e.path())).collect::<io::Result<_>>()?;
            self.names.lock().insert(path.to_owned(), names);
        } else {
            self.files.lock().insert(path.to_owned(), std::fs::read(path)?);
        }
        Ok(())
    }
}

impl PowerLossMedium {
    /// Writes to a folder what a power loss would leave of another one.
    fn restore_synced(&self, from: &Path, to: &Path) {
        std::fs::create_dir_all(to).expect("the target folder can be created");
        let names = self.names.lock().get(from).cloned().unwrap_or_default();
        for path in names {
            let to = to.join(path.file_name().expect("an entry of a folder has a name"));
            let content = self.files.lock().get(&path).cloned();
            match content {
                Some(bytes) => std::fs::write(to, bytes).expect("the target file can be written"),
                None if path.is_dir() => self.restore_synced(&path, &to),
                // The file was created and never synced.
                None => {}
            }
        }
    }
}

/// After a confirmed write the power fails: the write is recovered, for small states, for large states, which
/// sled stores in separate files, and while a store is being rewritten.
#[test]
fn confirmed_writes_survive_a_power_loss() {
    for bytes in [3_000, 300_000] {
        let dir = scratch_folder(&format!("power-{bytes}"));
        let medium = Arc::new(PowerLossMedium { files: Mutex::default(), names: Mutex::default() });
        let mut version = 0;
        for _run in 0..2 {
            let (disk, _) = open_on(&dir, medium.clone());
            for _ in 0..20 {
                version += 1;
                disk.save_replica(Some(replica_of_size(version, bytes)))
                    .blocking_recv()
                    .expect("the disk confirms the write");
                if version % 5 < 2 {
                    let restored = scratch_folder(&format!("power-left-{bytes}"));
                    medium.restore_synced(&dir, &restored);
                    let (after, found) = open(&restored);
                    assert_eq!(
                        recovered_version(&found),
                        version,
                        "recovered version with configurations of {bytes} bytes"
                    );
                    after.close();
                }
            }
            disk.close();
        }
        let _ = std::fs::remove_dir_all(&dir);
    }
}

/// Medium that rejects every write while it is full, and counts the pauses after rejected writes.
#[derive(Default)]
struct FillableMedium {
    is_full: AtomicBool,
    rejections: AtomicU64,
}

impl Medium for FillableMedium {
    fn check_write(&self, _store: &Path, _bytes: u64) -> io::Result<()> {
        if self.is_full.load(Ordering::SeqCst) { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&self, _path: &Path) -> io::Result<()> {
        Ok(())
    }

    fn wait_before_retry(&self) {
        self.rejections.fetch_add(1, Ordering::SeqCst);
        std::thread::yield_now();
    }
}

/// No write is confirmed while the disk is full, earlier writes stay readable, and blocked writes are
/// confirmed without another request once there is room.
#[test]
fn writes_blocked_by_a_full_disk_complete_once_there_is_room() {
    let dir = scratch_folder("full");
    let medium = Arc::new(FillableMedium::default());
    let (disk, _) = open_on(&dir, medium.clone());
    disk.save_replica(Some(replica(1))).blocking_recv().expect("the disk confirms the write");
    disk.save_replica(Some(replica(2))).blocking_recv().expect("the disk confirms the write");
    medium.is_full.store(true, Ordering::SeqCst);
    let mut blocked = disk.save_replica(Some(replica(3)));
    while medium.rejections.load(Ordering::SeqCst) < 3 {
        std::thread::yield_now();
    }
    assert!(blocked.try_recv().is_err(), "a write is confirmed only once it is on disk");
    let restored = scratch_folder("full-left");
    copy_folder(&dir, &restored);
    let (after, found) = open(&restored);
    assert_eq!(recovered_version(&found), 2, "a full disk loses no confirmed write");
    after.close();
    let later = disk.save_replica(Some(replica(4)));
    medium.is_full.store(false, Ordering::SeqCst);
    blocked.blocking_recv().expect("the blocked write completes once there is room");
    later.blocking_recv().expect("a write submitted while the disk was full completes");
    disk.close();
    let (disk, found) = open(&dir);
    assert_eq!(recovered_version(&found), 4);
    disk.close();
}

/// Sled renames and removes its snapshots when it opens a store, and syncs no folder, so that a power loss
/// may leave none of them. A store that depended on its snapshots would be recovered as empty without an
/// error.
#[test]
fn stores_are_recovered_without_their_snapshots() {
    for bytes in [20_000, 100_000] {
        let dir = scratch_folder(&format!("snapshots-{bytes}"));
        let mut version = 0;
        for _run in 0..2 {
            let (disk, found) = open(&dir);
            assert_eq!(
                recovered_version(&found),
                version,
                "recovered version with configurations of {bytes} bytes"
            );
            for _ in 0..60 {
                version += 1;
                disk.save_replica(Some(replica_of_size(version, bytes)))
                    .blocking_recv()
                    .expect("the disk confirms the write");
            }
            disk.close();
            // Sled writes another snapshot each time a store is opened.
            (0..3).for_each(|_| open(&dir).0.close());
            let restored = scratch_folder(&format!("snapshots-left-{bytes}"));
            copy_folder(&dir, &restored);
            for store in ["cells-a", "cells-b"] {
                let entries = std::fs::read_dir(restored.join(store))
                    .expect("the folder of the store can be read")
                    .flatten();
                let snapshots = entries.filter(|e| e.file_name().to_string_lossy().starts_with("snap."));
                snapshots.for_each(|e| std::fs::remove_file(e.path()).expect("the snapshot can be removed"));
            }
            let (after, found) = open(&restored);
            assert_eq!(
                recovered_version(&found),
                version,
                "recovered version with configurations of {bytes} bytes"
            );
            after.close();
        }
    }
}

/// A process that is killed while it opens its stores leaves an unfinished snapshot.
#[test]
fn an_unfinished_snapshot_damages_no_store() {
    let dir = scratch_folder("begun");
    write_versions(&dir, 4);
    open(&dir).0.close();
    for store in ["cells-a", "cells-b"] {
        std::fs::write(dir.join(store).join("snap.00000000FFFFFFFF.generating"), b"half")
            .expect("the snapshot can be written");
    }
    let (disk, found) = open(&dir);
    assert!(found.unreadable.is_empty() && recovered_config(&found) == Some(config(4)));
    disk.close();
}

/// Sled writes when it opens a store. If the disk fails these writes, opening must retry instead of treating
/// the store as unreadable.
#[test]
fn opening_waits_for_a_disk_that_reports_errors_and_discards_no_store() {
    let dir = scratch_folder("refuses");
    write_versions(&dir, 4);
    open(&dir).0.close();
    // A folder in place of a snapshot file makes sled fail with an I/O error.
    let obstacles = ["cells-a", "cells-b"].map(|store| dir.join(store).join("snap.FFFFFFFFFFFFFFFF"));
    obstacles.iter().for_each(|path| std::fs::create_dir(path).expect("the folder can be created"));
    let medium = Arc::new(FillableMedium::default());
    let opener = std::thread::spawn({
        let (dir, medium) = (dir.clone(), medium.clone());
        move || open_on(&dir, medium)
    });
    while medium.rejections.load(Ordering::SeqCst) < 3 {
        assert!(!opener.is_finished(), "a store that cannot be read is not opened");
        std::thread::yield_now();
    }
    obstacles.iter().for_each(|path| std::fs::remove_dir(path).expect("the folder can be removed"));
    let (disk, found) = opener.join().expect("the disk opens without a panic");
    assert!(found.unreadable.is_empty() && recovered_config(&found) == Some(config(4)));
    disk.close();
}
