//! What stands in a store.

use std::sync::Arc;

use ashvane_gossip::Server;
use ashvane_quorum::ReplicaState;
use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};

use super::StoreError;

/// All that is kept, as it stands in a store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StoredState {
    /// Rises with each write; of two stores the higher one is the newer.
    #[serde(rename = "number")]
    pub(super) sequence: u64,
    /// The state of the replica; none before the first write.
    pub replica: Option<ReplicaState>,
    /// Servers that were known. A hint: nothing is acknowledged on it, and it may be old.
    #[serde(default)]
    pub servers: Arc<Vec<Server>>,
}

/// Why what stands in a store cannot be used.
#[derive(Debug, Display, Error, From)]
pub enum UnreadableStore {
    /// The content is not what was written.
    #[display("a checksum is wrong")]
    Checksum,
    /// The store itself cannot be read.
    Store(StoreError),
}

/// What was found on a disk at start.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// The state of the replica; none on an empty disk.
    pub replica: Option<ReplicaState>,
    /// Servers that were known.
    pub servers: Vec<Server>,
    /// Why the stores that cannot be used cannot be.
    pub unreadable: Vec<UnreadableStore>,
}

impl StoredState {
    /// What a process finds that starts on it.
    #[must_use]
    pub fn recovered(&self) -> RecoveredState {
        RecoveredState {
            replica: self.replica.clone(),
            servers: self.servers.to_vec(),
            unreadable: Vec::new(),
        }
    }

    /// As it is written: a checksum, then JSON.
    pub(super) fn encode(&self) -> Vec<u8> {
        // All of its fields have a form in JSON.
        let json = serde_json::to_vec(self).unwrap_or_default();
        let mut bytes = crc32fast::hash(&json).to_le_bytes().to_vec();
        bytes.extend(json);
        bytes
    }

    /// What was written; none if that cannot be told.
    pub(super) fn decode(bytes: &[u8]) -> Option<StoredState> {
        let (checksum, json) = bytes.split_first_chunk::<4>()?;
        if crc32fast::hash(json) != u32::from_le_bytes(*checksum) {
            return None;
        }
        serde_json::from_slice(json).ok()
    }
}
