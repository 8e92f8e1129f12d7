//! Content of a store.

use std::sync::Arc;

use ashvane_gossip::Server;
use ashvane_quorum::ReplicaState;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::StoreError;

/// Complete durable state of a process, as it is written to a store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoredState {
    /// Sequence number, which increases with each write. The store with the higher number is the newer one.
    #[serde(rename = "number")]
    pub(super) sequence: u64,
    /// State of the replica; `None` before the first write.
    pub replica: Option<ReplicaState>,
    /// Servers that were known at the time of the write. Only a hint that may be outdated; what servers
    /// have reported of their departure is in a log of its own.
    #[serde(default)]
    pub servers: Arc<Vec<Server>>,
}

/// Reason why the content of a store cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum UnreadableStore {
    /// The content does not match its checksum, or cannot be decoded.
    #[display("the content does not match its checksum or cannot be decoded")]
    Checksum,
    /// The store cannot be read.
    Store(StoreError),
}

/// State found on a disk at the start of a process.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// State of the replica; `None` on an empty disk.
    pub replica: Option<ReplicaState>,
    /// Servers that were known when the state was written.
    pub servers: Vec<Server>,
    /// Records of the log of departures, in the order in which they were written.
    pub departures: Vec<Server>,
    /// Reasons why stores could not be used, one for each such store.
    pub unreadable: Vec<UnreadableStore>,
}

impl StoredState {
    /// Returns the state that a process recovers when it starts on a disk with this content.
    #[must_use]
    pub fn recovered(&self) -> RecoveredState {
        RecoveredState {
            replica: self.replica.clone(),
            servers: self.servers.to_vec(),
            departures: Vec::new(),
            unreadable: Vec::new(),
        }
    }

    /// Encodes the state as a checksum followed by JSON.
    pub(super) fn encode(&self) -> Vec<u8> {
        // Encoding cannot fail: all fields can be represented in JSON.
        let json = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = crc32fast::hash(&json).to_le_bytes().to_vec();
        bytes.extend(json);
        bytes
    }

    /// Decodes an encoded state. Returns `None` if the checksum or the JSON is not valid.
    pub(super) fn decode(bytes: &[u8]) -> Option<StoredState> {
        let (checksum, json) = bytes.split_first_chunk::<4>()?;
        if crc32fast::hash(json) != u32::from_le_bytes(*checksum) {
            return None;
        }
        serde_json::from_slice(json).ok()
    }
}
