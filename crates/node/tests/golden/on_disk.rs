//! A data folder written by an earlier release: two stores, of which one holds the newest state and the other
//! one the state before it.

use std::path::{Path, PathBuf};

use ashvane_gossip::{Liveness, ServerState};
use ashvane_node::disk::{Disk, RecoveredState, StoredState};
use ashvane_quorum::{
    AcceptedProposal, ContentDigest, Member, Membership, ProposalNumber, RegisterValue, ReplicaState,
    VersionedConfig,
};

use super::messages::server;
use super::{is_writing, path};

fn config(version: u64) -> VersionedConfig {
    let text = format!("packed text {version}");
    VersionedConfig { version, digest: ContentDigest::of(text.as_bytes()), compressed_text: text.into() }
}

fn replica(versions: &[u64]) -> ReplicaState {
    let member =
        |n: u32| Member { disk: format!("d-{n}").into(), address: format!("10.1.0.{n}:7080").into() };
    let value =
        versions.iter().fold(RegisterValue::default(), |value, version| value.with_config(&config(*version)));
    let number = ProposalNumber { round: versions.len() as u64, operation: "d-1/11/2".into() };
    ReplicaState {
        disk: "d-1".into(),
        membership: Membership::new(4, (1..=3).map(member).collect()),
        promised: ProposalNumber { round: 9, operation: "d-2/12/3".into() },
        accepted: AcceptedProposal {
            number,
            value: value.into(),
            next_membership: Some(Membership::new(5, vec![member(7)])),
        },
    }
}

fn servers() -> Vec<ashvane_gossip::Server> {
    vec![server(ServerState::Ready, Liveness::Alive), server(ServerState::Draining, Liveness::TimedOut)]
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("the target folder can be created");
    for entry in std::fs::read_dir(from).expect("the source folder can be read").flatten() {
        let (from, to) = (entry.path(), to.join(entry.file_name()));
        match from.is_dir() {
            true => copy_folder(&from, &to),
            false => assert!(std::fs::copy(from, to).is_ok(), "the file can be copied"),
        }
    }
}

fn scratch_folder(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// Opens a data folder, waiting until the thread that used it before has released its lock.
fn open(dir: &Path) -> (Disk, RecoveredState) {
    for _ in 0..1_000_000 {
        if let Ok(opened) = Disk::open(&dir.to_string_lossy()) {
            return opened;
        }
        std::thread::yield_now();
    }
    panic!("the lock of the folder is not released");
}

fn write_missing_golden_folder() {
    if !is_writing() || path("data-folder").exists() {
        return;
    }
    let dir = scratch_folder("golden-written");
    let (disk, _) = open(&dir);
    disk.save_replica(Some(replica(&[5]))).blocking_recv().expect("the disk confirms the write");
    disk.save_servers(servers());
    disk.save_replica(Some(replica(&[5, 9]))).blocking_recv().expect("the disk confirms the write");
    disk.close();
    drop(open(&dir));
    copy_folder(&dir, &path("data-folder"));
}

#[test]
fn a_data_folder_of_an_earlier_release_is_read_completely() {
    write_missing_golden_folder();
    let dir = scratch_folder("golden-read");
    copy_folder(&path("data-folder"), &dir);
    let (disk, found) = open(&dir);
    assert!(found.unreadable.is_empty(), "{:?}", found.unreadable);
    assert_eq!(found.replica, Some(replica(&[5, 9])));
    assert_eq!(found.servers, servers());
    disk.close();
}

/// Reads each store without the other one: one holds the newest state, the other one the state before it.
#[test]
fn either_store_of_an_earlier_release_is_read_without_the_other() {
    let mut versions = Vec::new();
    for missing in ["cells-a", "cells-b"] {
        let dir = scratch_folder(&format!("golden-without-{missing}"));
        copy_folder(&path("data-folder"), &dir);
        std::fs::remove_dir_all(dir.join(missing)).expect("the store can be removed");
        let (disk, found) = open(&dir);
        assert!(found.unreadable.is_empty(), "{:?}", found.unreadable);
        let replica = found.replica.expect("the store holds a replica");
        versions.push(replica.accepted.value.config.as_ref().map(|config| config.version));
        disk.close();
    }
    versions.sort_unstable();
    assert_eq!(versions, [Some(5), Some(9)]);
}

/// Checks the text within a store: earlier releases can read what this release writes only in this form.
#[test]
fn the_state_is_written_in_the_form_that_earlier_releases_read() {
    let mut stored = StoredState::default();
    stored.replica = Some(replica(&[5, 9]));
    stored.servers = servers().into();
    let text = serde_json::to_string(&stored).expect("a state can be serialized") + "\n";
    super::assert_golden("stored-state.json", &text);
    let read: StoredState = serde_json::from_str(&text).expect("a serialized state can be read");
    assert_eq!((read.replica, read.servers), (stored.replica, stored.servers));
}
