//! Directory entries of servers.

use ashvane_identifiers::{Address, NodeName, ServerId, ServiceName, Zone};
use serde::{Deserialize, Serialize};

use crate::Liveness;
use crate::stable_hash::stable_hash;

/// The state of a server, as reported by itself. It only increases, since each start creates a new server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Is shutting down: completes the requests in flight, and must not receive new ones.
    Draining,
    /// Has terminated.
    #[serde(rename = "gone")]
    Terminated,
}

/// The directory entry of a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identifier of the server, which changes with each start.
    pub id: ServerId,
    /// The service to which the server belongs. It is empty if only the identifier of a terminated server is
    /// known.
    pub service: ServiceName,
    /// Address at which the server accepts requests.
    pub address: Address,
    /// Zone of the server's machine.
    pub zone: Zone,
    /// Maximum number of concurrent requests, as reported by the server.
    pub capacity: u32,
    /// State as reported by the server. Also set to terminated when its termination is inferred.
    pub state: ServerState,
    /// Sequence number of the last heartbeat on which this entry is based.
    #[serde(rename = "seq")]
    pub heartbeat_sequence: u64,
    /// Whether the server has timed out since that heartbeat, and which process declared it.
    #[serde(rename = "silence", default, skip_serializing_if = "Liveness::is_alive")]
    pub liveness: Liveness,
    /// The control node that received that heartbeat and therefore monitors the server.
    #[serde(rename = "keeper")]
    pub monitor: NodeName,
}

impl Server {
    /// Returns the rank of this entry.
    #[must_use]
    pub fn rank(&self) -> ServerRank {
        ServerRank {
            state: self.state,
            heartbeat_sequence: self.heartbeat_sequence,
            liveness: self.liveness.clone(),
        }
    }

    /// Whether the server is known to have missed its heartbeats.
    #[must_use]
    pub fn has_timed_out(&self) -> bool {
        !self.liveness.is_alive()
    }

    /// Whether the server has terminated.
    #[must_use]
    pub fn is_terminated(&self) -> bool {
        self.state == ServerState::Terminated
    }

    /// Whether the server may receive new requests.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.state == ServerState::Ready && !self.has_timed_out()
    }

    /// Returns the digest of this entry. It is 0 for a server that has terminated, because only some peers
    /// still store its entry.
    pub(crate) fn digest(&self) -> u64 {
        if self.is_terminated() {
            return 0;
        }
        let (sequence, liveness) = (self.heartbeat_sequence.to_le_bytes(), self.liveness.digest_bytes());
        stable_hash(&[self.id.as_str().as_bytes(), &sequence, &[self.state as u8], &liveness])
    }
}

/// Determines which of two entries of a server is newer. A heartbeat with a higher sequence number ranks
/// above every statement about the liveness of the server that is based on an earlier heartbeat.
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
