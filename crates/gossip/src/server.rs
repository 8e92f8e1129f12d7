//! A server of a service.

use ashvane_identifiers::{Address, NodeName, ServerId, ServiceName, Zone};
use serde::{Deserialize, Serialize};

use crate::Liveness;
use crate::stable_hash::stable_hash;

/// What a server has said of its own state. It only rises: each start is a new server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Takes requests.
    #[default]
    Ready,
    /// Is shutting down: it serves what it has, and is to get nothing new.
    Draining,
    /// Has ended.
    #[serde(rename = "gone")]
    Terminated,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// A new one with each start.
    pub id: ServerId,
    /// Empty where only the id is known, and that it has terminated.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: Address,
    /// The zone of its machine.
    pub zone: Zone,
    /// How many requests it takes at once, as it says.
    pub capacity: u32,
    /// What it has said of itself.
    pub state: ServerState,
    /// The sequence number of the heartbeat that this entry stems from.
    #[serde(rename = "seq")]
    pub heartbeat_sequence: u64,
    /// Whether it has missed heartbeats since, and who says so.
    #[serde(rename = "silence", default, skip_serializing_if = "Liveness::is_alive")]
    pub liveness: Liveness,
    /// The control node that received that heartbeat: it monitors the server.
    #[serde(rename = "keeper")]
    pub monitor: NodeName,
}

impl Server {
    /// The rank of this entry.
    #[must_use]
    pub fn rank(&self) -> ServerRank {
        ServerRank {
            state: self.state,
            heartbeat_sequence: self.heartbeat_sequence,
            liveness: self.liveness.clone(),
        }
    }

    /// Whether it has missed its heartbeats, as far as anyone knows.
    #[must_use]
    pub fn has_timed_out(&self) -> bool {
        !self.liveness.is_alive()
    }

    /// Whether it has ended.
    #[must_use]
    pub fn is_terminated(&self) -> bool {
        self.state == ServerState::Terminated
    }

    /// Whether it is to get requests.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.state == ServerState::Ready && !self.has_timed_out()
    }

    /// Its part of the digests. A server that has terminated is left out: some have forgotten it, and others have not.
    pub(crate) fn digest(&self) -> u64 {
        if self.is_terminated() {
            return 0;
        }
        let (sequence, liveness) = (self.heartbeat_sequence.to_le_bytes(), self.liveness.digest_bytes());
        stable_hash(&[self.id.as_str().as_bytes(), &sequence, &[self.state as u8], &liveness])
    }
}

/// Tells which of two entries of a server is the newer one. A server's own heartbeat, by its number, stands above whatever
/// was said of its liveness before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerRank {
    /// See [`Server::state`].
    pub state: ServerState,
    /// See [`Server::heartbeat_sequence`].
    #[serde(rename = "seq")]
    pub heartbeat_sequence: u64,
    /// See [`Server::liveness`].
    #[serde(rename = "silence", default, skip_serializing_if = "Liveness::is_alive")]
    pub liveness: Liveness,
}
