//! What a disk keeps: its content after a loss of power, with either store torn, spoilt or gone.

use std::path::{Path, PathBuf};

use ashvane_node::disk::{Disk, Found};
use ashvane_quorum::{Accepted, Ballot, Membership, ReplicaState, StoredConfig, TextDigest, Value};

fn folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn stored(version: u64) -> StoredConfig {
    let text = "x".repeat(2000 * version as usize);
    StoredConfig { version, digest: TextDigest::of(text.as_bytes()), text: text.into() }
}

/// A replica that holds this version.
fn state(version: u64) -> ReplicaState {
    let ballot = Ballot { round: version, by: "d/1/1".into() };
    let value = Value::default().with(&stored(version)).into();
    ReplicaState {
        disk: "d".into(),
        membership: Membership::default(),
        promised: ballot.clone(),
        accepted: Accepted { ballot, value, next: None },
    }
}

/// The configuration that was found.
fn held(found: &Found) -> Option<StoredConfig> {
    found.replica.as_ref().and_then(|replica| replica.accepted.value.config.clone())
}

/// Opens a disk once the one before has let go of it.
fn open(dir: &Path) -> (Disk, Found) {
    for _ in 0..100_000 {
        if let Ok(opened) = Disk::open(&dir.to_string_lossy()) {
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
        disk.keep(Some(state(version))).blocking_recv().expect("kept");
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
    assert!(held(&found) == Some(stored(5)) && found.spoilt.is_empty());
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
        disk.keep(Some(state(9))).blocking_recv().expect("it goes on");
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
    disk.hint(vec![server.clone()]);
    disk.keep(Some(state(3))).blocking_recv().expect("kept");
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
    assert!(held(&found).map(|f| f.version) == Some(3) && found.spoilt.is_empty());
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
