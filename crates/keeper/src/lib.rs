//! A keeper: one of three or five processes that replicate the leases of a fleet's roles.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`messages`] | the messages between gatherers and keepers |
//! | [`keeper_server`] | serves gatherers and the other keepers, over HTTP/1.1 with JSON |
//! | [`keeper_network`] | sends Raft messages (openraft) to other keepers |
//! | [`keeper_store`] | stores the Raft log, vote and latest snapshot on disk (redb), and applies the log |
//! | [`clock`] | the monotonic clock that includes suspended time |
//!
//! The record and its rules are defined in `ashvane-fleet`. This crate is independent of what a role is for.

pub mod clock;
pub mod keeper_network;
pub mod keeper_server;
pub mod keeper_store;
pub mod messages;

use std::io::Cursor;

openraft::declare_raft_types!(
    /// Type configuration of openraft, with the record's commands and replies.
    pub Types:
        D = ashvane_fleet::Command,
        R = ashvane_fleet::Reply,
        Node = openraft::BasicNode,
        NodeId = u64,
        Entry = openraft::Entry<Types>,
        SnapshotData = Cursor<Vec<u8>>,
        AsyncRuntime = openraft::TokioRuntime,
);

/// Raft instance of one keeper.
pub type Raft = openraft::Raft<Types>;
