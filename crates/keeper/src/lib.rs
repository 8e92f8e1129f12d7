//! A keeper: one of three or five processes that keep, together, who owns which duty of a fleet.
//!
//! Job: to replicate the record of `ashvane-fleet` by Raft (openraft), keep it on a disk (redb), and answer
//! gatherers over HTTP/1.1 with JSON. May know: the record and its judge, openraft, redb, sockets. Must not know:
//! what a duty is for, queries, gatherers' insides.

#![expect(
    missing_docs,
    clippy::missing_errors_doc,
    reason = "not done yet: The control and state code reads as well as it works"
)]

pub mod clock;
pub mod network;
pub mod server;
pub mod store;

use std::io::Cursor;

openraft::declare_raft_types!(
    /// What openraft is used with: the record's commands and replies.
    pub Types:
        D = ashvane_fleet::Command,
        R = ashvane_fleet::Reply,
        Node = openraft::BasicNode,
        NodeId = u64,
        Entry = openraft::Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);

pub type Raft = openraft::Raft<Types>;
