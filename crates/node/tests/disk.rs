//! What a disk keeps: its content after a loss of power, with either store torn, spoilt or gone.

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

fn folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn stored(version: u64) -> VersionedConfig {
    let text = "x".repeat(2000 * version as usize);
    VersionedConfig { version, digest: ContentDigest::of(text.as_bytes()), compressed_text: text.into() }
}

/// A replica that holds this version.
fn state(version: u64) -> ReplicaState {
    holding(stored(version))
}

fn holding(config: VersionedConfig) -> ReplicaState {
    let number = ProposalNumber { round: config.version, operation: "d/1/1".into() };
    let value = RegisterValue::default().with_config(&config).into();
    ReplicaState {
        disk: "d".into(),
        membership: Membership::default(),
        promised: number.clone(),
        accepted: AcceptedProposal { number, value, next_membership: None },
    }
}

/// The configuration that was found.
fn held(found: &RecoveredState) -> Option<VersionedConfig> {
    found.replica.as_ref().and_then(|replica| replica.accepted.value.config.clone())
}

/// Opens a disk once the one before has let go of it.
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
    panic!("the disk is never free");
}

/// Writes versions up to this one, each kept before the next.
fn fill(dir: &Path, versions: u64) {
    let (disk, _) = open(dir);
    for version in 1..=versions {
        disk.save_replica(Some(state(version))).blocking_recv().expect("kept");
    }
    disk.close();
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("entries").flatten() {
        let (path, to) = (entry.path(), to.join(entry.file_name()));
        if path.is_dir() { copy(&path, &to) } else { drop(std::fs::copy(path, to)) }
    }
}

#[test]
fn what_was_kept_is_found_again() {
    let dir = folder("kept");
    fill(&dir, 5);
    let (disk, found) = open(&dir);
    assert!(held(&found) == Some(stored(5)) && found.unreadable.is_empty());
    assert_eq!(found.replica.map(|replica| replica.disk.to_string()), Some("d".to_owned()));
    disk.close();
}

/// The store that was being written is torn at any place: the other one has all that was answered before.
#[test]
fn a_torn_store_takes_nothing_that_was_kept_before() {
    let dir = folder("torn");
    fill(&dir, 4);
    let bytes = std::fs::read(dir.join("cells-a/db")).expect("the store that was written last");
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let torn = folder(&format!("torn-{seed}"));
        copy(&dir, &torn);
        let mut spoilt = bytes.clone();
        match seed % 3 {
            0 => spoilt.truncate(rng.usize(0..bytes.len())),
            1 => {
                let at = rng.usize(0..bytes.len());
                let end = (at + rng.usize(1..8192)).min(bytes.len());
                spoilt[at..end].fill(0);
            }
            _ => (0..64).for_each(|_| spoilt[rng.usize(0..bytes.len())] ^= rng.u8(1..)),
        }
        std::fs::write(torn.join("cells-a/db"), &spoilt).expect("written");
        let (disk, found) = open(&torn);
        let version = held(&found).map_or(0, |f| f.version);
        assert!(version == 3 || version == 4, "seed {seed}: {version}");
        disk.save_replica(Some(state(9))).blocking_recv().expect("it goes on");
        disk.close();
        let (disk, found) = open(&torn);
        assert_eq!(held(&found).map(|f| f.version), Some(9), "seed {seed}");
        disk.close();
        let _ = std::fs::remove_dir_all(&torn);
    }
}

#[test]
fn servers_are_kept_beside_what_is_acknowledged() {
    let dir = folder("hint");
    fill(&dir, 2);
    let (disk, _) = open(&dir);
    let text = r#"{"id":"i-1","service":"s","address":"x:1","zone":"z","capacity":2,"state":"draining",
        "seq":4,"silent":false,"keeper":"n"}"#;
    let server: ashvane_gossip::Server = serde_json::from_str(text).expect("a server");
    disk.save_servers(vec![server.clone()]);
    disk.save_replica(Some(state(3))).blocking_recv().expect("kept");
    disk.close();
    let (disk, found) = open(&dir);
    assert!(found.servers == vec![server] && held(&found) == Some(stored(3)) && found.replica.is_some());
    disk.close();
}

#[test]
fn a_second_process_on_the_disk_is_turned_away_and_spoils_nothing() {
    let dir = folder("twice");
    fill(&dir, 3);
    let (disk, _) = open(&dir);
    assert!(Disk::open(&dir.to_string_lossy()).is_err());
    disk.close();
    let (disk, found) = open(&dir);
    assert!(held(&found).map(|f| f.version) == Some(3) && found.unreadable.is_empty());
    disk.close();
}

#[test]
fn with_both_stores_gone_it_is_a_wiped_disk_and_says_so() {
    let dir = folder("wiped");
    fill(&dir, 2);
    for store in ["cells-a", "cells-b"] {
        std::fs::write(dir.join(store).join("db"), b"no store").expect("written");
    }
    let (disk, found) = open(&dir);
    assert!(found.replica.is_none());
    disk.close();
}

/// A replica that holds this version of a large configuration: it is stored packed, so nothing makes it shorter.
fn large(version: u64, bytes: usize) -> ReplicaState {
    holding(VersionedConfig {
        version,
        digest: ContentDigest::of(&version.to_le_bytes()),
        compressed_text: "x".repeat(bytes).into(),
    })
}

/// The version that was found; 0 where none was.
fn version_held(found: &RecoveredState) -> u64 {
    held(found).map_or(0, |config| config.version)
}

fn size(dir: &Path) -> u64 {
    let entries = std::fs::read_dir(dir).into_iter().flatten().flatten();
    let bytes = |path: PathBuf| match path.is_dir() {
        true => size(&path),
        false => path.metadata().map_or(0, |about| about.len()),
    };
    entries.map(|entry| bytes(entry.path())).sum()
}

/// A medium that counts what it is asked, syncs nothing and takes all.
#[derive(Default)]
struct Counting {
    syncs: AtomicU64,
    written: AtomicU64,
}

impl Medium for Counting {
    fn check_write(&self, _store: &Path, bytes: u64) -> io::Result<()> {
        self.written.fetch_add(bytes, Ordering::Relaxed);
        Ok(())
    }

    fn sync(&self, _path: &Path) -> io::Result<()> {
        self.syncs.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

/// What a machine of the core has as its disk, in bytes.
const DISK: u64 = 128 << 20;

/// Hundreds of changes, in several lives, leave the disk as small as a few of them. By hand, with its figures:
/// `DISK_CHANGES=1000 cargo test --release -p ashvane-node --test disk -- --nocapture bounded`.
#[test]
fn state_on_disk_is_bounded_however_often_it_changes() {
    let by_hand = std::env::var("DISK_CHANGES").ok().and_then(|n| n.parse::<u64>().ok());
    let changes = by_hand.unwrap_or(80);
    for bytes in [20_000, 300_000] {
        let dir = folder(&format!("bounded-{bytes}"));
        let medium = Arc::new(Counting::default());
        let (mut most, mut version) = (0, 0);
        for _life in 0..2 {
            let (disk, found) = open_on(&dir, medium.clone());
            assert_eq!(version_held(&found), version);
            for _ in 0..changes / 2 {
                version += 1;
                disk.save_replica(Some(large(version, bytes))).blocking_recv().expect("kept");
                most = most.max(size(&dir));
            }
            disk.close();
        }
        let each = |sum: &AtomicU64| sum.load(Ordering::Relaxed) as f64 / version as f64;
        println!(
            "{version} changes of {bytes} bytes: {most} bytes on disk at most, {:.0} written and {:.2} syncs a change",
            each(&medium.written),
            each(&medium.syncs)
        );
        assert!(most < DISK / 16, "{most} bytes on disk after {version} changes of {bytes}");
        assert!(each(&medium.syncs) < 5.0, "{} syncs a change of {bytes}", each(&medium.syncs));
        let _ = std::fs::remove_dir_all(&dir);
    }
}

/// A medium that remembers what a loss of power would leave: of each file what its last sync covered, of each folder
/// the names at its last sync. What was made or removed since is lost or kept as `unsynced` has it.
struct Shadow {
    files: Mutex<BTreeMap<PathBuf, Vec<u8>>>,
    names: Mutex<BTreeMap<PathBuf, BTreeSet<PathBuf>>>,
}

impl Medium for Shadow {
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

impl Shadow {
    /// Lays out what is left of one folder in another.
    fn left_of(&self, from: &Path, to: &Path) {
        std::fs::create_dir_all(to).expect("a folder");
        let names = self.names.lock().get(from).cloned().unwrap_or_default();
        for path in names {
            let to = to.join(path.file_name().expect("a name"));
            let content = self.files.lock().get(&path).cloned();
            match content {
                Some(bytes) => std::fs::write(to, bytes).expect("written"),
                None if path.is_dir() => self.left_of(&path, &to),
                // It was made and never synced.
                None => {}
            }
        }
    }
}

/// After each answer, power is lost: what was answered is there, in small states and in large ones, which sled keeps in
/// files of their own, and while a store is made anew.
#[test]
fn what_was_answered_outlasts_a_loss_of_power() {
    for bytes in [3_000, 300_000] {
        let dir = folder(&format!("power-{bytes}"));
        let shadow = Arc::new(Shadow { files: Mutex::default(), names: Mutex::default() });
        let mut version = 0;
        for _life in 0..2 {
            let (disk, _) = open_on(&dir, shadow.clone());
            for _ in 0..20 {
                version += 1;
                disk.save_replica(Some(large(version, bytes))).blocking_recv().expect("kept");
                if version % 5 < 2 {
                    let left = folder(&format!("power-left-{bytes}"));
                    shadow.left_of(&dir, &left);
                    let (after, found) = open(&left);
                    assert_eq!(version_held(&found), version, "of {bytes} bytes");
                    after.close();
                }
            }
            disk.close();
        }
        let _ = std::fs::remove_dir_all(&dir);
    }
}

/// A medium that takes nothing while it is full, and counts how often it was tried in vain.
#[derive(Default)]
struct Filling {
    full: AtomicBool,
    in_vain: AtomicU64,
}

impl Medium for Filling {
    fn check_write(&self, _store: &Path, _bytes: u64) -> io::Result<()> {
        if self.full.load(Ordering::SeqCst) { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&self, _path: &Path) -> io::Result<()> {
        Ok(())
    }

    fn wait_before_retry(&self) {
        self.in_vain.fetch_add(1, Ordering::SeqCst);
        std::thread::yield_now();
    }
}

/// Nothing is answered while the disk is full, what was answered before is still there, and what was held up is answered
/// by itself once there is room.
#[test]
fn writes_that_a_full_disk_holds_up_come_back() {
    let dir = folder("full");
    let medium = Arc::new(Filling::default());
    let (disk, _) = open_on(&dir, medium.clone());
    disk.save_replica(Some(state(1))).blocking_recv().expect("kept");
    disk.save_replica(Some(state(2))).blocking_recv().expect("kept");
    medium.full.store(true, Ordering::SeqCst);
    let mut held_up = disk.save_replica(Some(state(3)));
    while medium.in_vain.load(Ordering::SeqCst) < 3 {
        std::thread::yield_now();
    }
    assert!(held_up.try_recv().is_err(), "answered though it is not on disk");
    let left = folder("full-left");
    copy(&dir, &left);
    let (after, found) = open(&left);
    assert_eq!(version_held(&found), 2, "what was answered has gone with the full disk");
    after.close();
    let later = disk.save_replica(Some(state(4)));
    medium.full.store(false, Ordering::SeqCst);
    held_up.blocking_recv().expect("kept at last");
    later.blocking_recv().expect("and what came meanwhile");
    disk.close();
    let (disk, found) = open(&dir);
    assert_eq!(version_held(&found), 4);
    disk.close();
}

/// Sled renames and removes its snapshots as it opens, and syncs no folder: a loss of power may leave none. A store that
/// needs them for what it holds would be found empty, without a word.
#[test]
fn stores_are_found_without_their_snapshots() {
    for bytes in [20_000, 100_000] {
        let dir = folder(&format!("snapshots-{bytes}"));
        let mut version = 0;
        for _life in 0..2 {
            let (disk, found) = open(&dir);
            assert_eq!(version_held(&found), version, "of {bytes} bytes");
            for _ in 0..60 {
                version += 1;
                disk.save_replica(Some(large(version, bytes))).blocking_recv().expect("kept");
            }
            disk.close();
            // Read, and read again: each time sled leaves another snapshot.
            (0..3).for_each(|_| open(&dir).0.close());
            let left = folder(&format!("snapshots-left-{bytes}"));
            copy(&dir, &left);
            for store in ["cells-a", "cells-b"] {
                let entries = std::fs::read_dir(left.join(store)).expect("a store").flatten();
                let snapshots = entries.filter(|e| e.file_name().to_string_lossy().starts_with("snap."));
                snapshots.for_each(|e| std::fs::remove_file(e.path()).expect("removed"));
            }
            let (after, found) = open(&left);
            assert_eq!(version_held(&found), version, "of {bytes} bytes");
            after.close();
        }
    }
}

/// What a process leaves that ended as it opened its stores: a snapshot that was begun.
#[test]
fn a_snapshot_that_was_begun_spoils_no_store() {
    let dir = folder("begun");
    fill(&dir, 4);
    open(&dir).0.close();
    for store in ["cells-a", "cells-b"] {
        std::fs::write(dir.join(store).join("snap.00000000FFFFFFFF.generating"), b"half").expect("written");
    }
    let (disk, found) = open(&dir);
    assert!(found.unreadable.is_empty() && held(&found) == Some(stored(4)));
    disk.close();
}

/// Sled writes as it opens. A disk that refuses that is waited for; a store must not be given up for it.
#[test]
fn a_disk_that_refuses_at_start_is_waited_for_and_gives_up_no_store() {
    let dir = folder("refuses");
    fill(&dir, 4);
    open(&dir).0.close();
    // What the system refuses to read as a file.
    let refusals = ["cells-a", "cells-b"].map(|store| dir.join(store).join("snap.FFFFFFFFFFFFFFFF"));
    refusals.iter().for_each(|path| std::fs::create_dir(path).expect("a folder"));
    let medium = Arc::new(Filling::default());
    let opening = std::thread::spawn({
        let (dir, medium) = (dir.clone(), medium.clone());
        move || open_on(&dir, medium)
    });
    while medium.in_vain.load(Ordering::SeqCst) < 3 {
        assert!(!opening.is_finished(), "it has opened what it can't read");
        std::thread::yield_now();
    }
    refusals.iter().for_each(|path| std::fs::remove_dir(path).expect("removed"));
    let (disk, found) = opening.join().expect("opened");
    assert!(found.unreadable.is_empty() && held(&found) == Some(stored(4)));
    disk.close();
}
