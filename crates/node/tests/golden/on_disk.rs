//! A data folder as an earlier release left it: two stores, the newer one and the one before it.

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

fn state(versions: &[u64]) -> ReplicaState {
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

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a folder");
    for entry in std::fs::read_dir(from).expect("a folder").flatten() {
        let (from, to) = (entry.path(), to.join(entry.file_name()));
        match from.is_dir() {
            true => copy(&from, &to),
            false => assert!(std::fs::copy(from, to).is_ok(), "copied"),
        }
    }
}

fn scratch(name: &str) -> PathBuf {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// Opens a folder once the process's thread that had it before has let go of it.
fn open(dir: &Path) -> (Disk, RecoveredState) {
    for _ in 0..1_000_000 {
        if let Ok(opened) = Disk::open(&dir.to_string_lossy()) {
            return opened;
        }
        std::thread::yield_now();
    }
    panic!("the folder is never free");
}

fn write_once() {
    if !is_writing() || path("data-folder").exists() {
        return;
    }
    let dir = scratch("golden-written");
    let (disk, _) = open(&dir);
    disk.save_replica(Some(state(&[5]))).blocking_recv().expect("kept");
    disk.save_servers(servers());
    disk.save_replica(Some(state(&[5, 9]))).blocking_recv().expect("kept");
    disk.close();
    drop(open(&dir));
    copy(&dir, &path("data-folder"));
}

#[test]
fn a_data_folder_of_an_earlier_release_is_read_whole() {
    write_once();
    let dir = scratch("golden-read");
    copy(&path("data-folder"), &dir);
    let (disk, found) = open(&dir);
    assert!(found.unreadable.is_empty(), "{:?}", found.unreadable);
    assert_eq!(found.replica, Some(state(&[5, 9])));
    assert_eq!(found.servers, servers());
    disk.close();
}

/// Each store alone: the newer one has all, the other one what was safe before it.
#[test]
fn either_store_of_an_earlier_release_is_read_alone() {
    let mut versions = Vec::new();
    for missing in ["cells-a", "cells-b"] {
        let dir = scratch(&format!("golden-without-{missing}"));
        copy(&path("data-folder"), &dir);
        std::fs::remove_dir_all(dir.join(missing)).expect("a store");
        let (disk, found) = open(&dir);
        assert!(found.unreadable.is_empty(), "{:?}", found.unreadable);
        let replica = found.replica.expect("a replica");
        versions.push(replica.accepted.value.config.as_ref().map(|config| config.version));
        disk.close();
    }
    versions.sort_unstable();
    assert_eq!(versions, [Some(5), Some(9)]);
}

/// The text within a store: an earlier release reads what this one writes only if it has this form.
#[test]
fn the_state_is_written_in_the_form_that_earlier_releases_read() {
    let mut whole = StoredState::default();
    whole.replica = Some(state(&[5, 9]));
    whole.servers = servers().into();
    let text = serde_json::to_string(&whole).expect("a state") + "\n";
    super::assert_golden("stored-state.json", &text);
    let read: StoredState = serde_json::from_str(&text).expect("a state");
    assert_eq!((read.replica, read.servers), (whole.replica, whole.servers));
}
