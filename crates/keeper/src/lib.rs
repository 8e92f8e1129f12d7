//! A keeper: one of three or five processes that keep, together, who owns which role of a fleet.
//!
//! | module | its one job |
//! | --- | --- |
//! | [`messages`] | what gatherers and keepers exchange |
//! | [`keeper_server`] | answers gatherers and the other keepers, over HTTP/1.1 with JSON |
//! | [`keeper_network`] | the messages of Raft (openraft) between keepers |
//! | [`keeper_store`] | the log, the vote and the latest snapshot on disk (redb), and the record that the log makes |
//! | [`clock`] | the machine's clock that also runs while it sleeps |
//!
//! The record and its rules are `ashvane-fleet`'s. Nothing here knows what a role is for.

pub mod clock;
pub mod keeper_network;
pub mod keeper_server;
pub mod keeper_store;
pub mod messages;

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

/// The Raft of one keeper.
pub type Raft = openraft::Raft<Types>;
