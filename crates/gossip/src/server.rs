//! Directory entries of servers.

use std::cmp::Ordering;

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
    /// State as reported by the server, or terminated if its termination is inferred.
    pub state: ServerState,
    /// The state that the server reported last, if its termination is only inferred: another server has its
    /// address, or it has been timed out for too long. Its next heartbeat refutes the inference.
    #[serde(rename = "inferred-from", default, skip_serializing_if = "Option::is_none")]
    pub inferred_from: Option<ServerState>,
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
            inferred_from: self.inferred_from,
            heartbeat_sequence: self.heartbeat_sequence,
            liveness: self.liveness.clone(),
        }
    }

    /// Whether the server is known to have missed its heartbeats.
    #[must_use]
    pub fn has_timed_out(&self) -> bool {
        !self.liveness.is_alive()
    }

    /// Whether the server has terminated, as reported or as inferred.
    #[must_use]
    pub fn is_terminated(&self) -> bool {
        self.state == ServerState::Terminated
    }

    /// Whether the server itself has reported that it has terminated. Such a server never returns.
    #[must_use]
    pub fn has_reported_termination(&self) -> bool {
        self.is_terminated() && self.inferred_from.is_none()
    }

    /// Returns the state that the server reported last.
    #[must_use]
    pub fn reported_state(&self) -> ServerState {
        self.inferred_from.unwrap_or(self.state)
    }

    /// Whether the server itself has reported that it is draining or has terminated.
    #[must_use]
    pub fn has_reported_departure(&self) -> bool {
        self.reported_state() > ServerState::Ready
    }

    /// Returns the entry of this server without what other processes have inferred.
    #[must_use]
    pub(crate) fn as_reported(&self) -> Server {
        Server {
            state: self.reported_state(),
            inferred_from: None,
            liveness: Liveness::Alive,
            ..self.clone()
        }
    }

    /// Returns the entry of this server, which has not terminated, after its termination was inferred.
    #[must_use]
    pub(crate) fn with_inferred_termination(&self) -> Server {
        let inferred_from = Some(self.reported_state());
        Server { state: ServerState::Terminated, inferred_from, ..self.clone() }
    }

    /// Returns the entry of this server after it reported its termination.
    #[must_use]
    pub(crate) fn with_reported_termination(&self) -> Server {
        let state = ServerState::Terminated;
        Server { state, inferred_from: None, liveness: Liveness::Alive, ..self.clone() }
    }

    /// Sets the state before an inferred termination, which earlier releases do not send. There, the entry
    /// of a server that has terminated and timed out was inferred.
    #[must_use]
    pub(crate) fn with_inference_of_earlier_release(self) -> Server {
        if self.has_reported_termination() && self.has_timed_out() {
            Server { inferred_from: Some(ServerState::Ready), ..self }
        } else {
            self
        }
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

/// Determines which of two entries of a server is newer. What the server reports ranks first: a state ranks
/// above all earlier ones, and a heartbeat with a higher sequence number ranks above everything that other
/// processes infer from an earlier one, be it a time-out or a termination.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRank {
    /// See [`Server::state`].
    pub state: ServerState,
    /// See [`Server::inferred_from`].
    #[serde(rename = "inferred-from", default, skip_serializing_if = "Option::is_none")]
    pub inferred_from: Option<ServerState>,
    /// See [`Server::heartbeat_sequence`].
    #[serde(rename = "seq")]
    pub heartbeat_sequence: u64,
    /// See [`Server::liveness`].
    #[serde(rename = "silence", default, skip_serializing_if = "Liveness::is_alive")]
    pub liveness: Liveness,
}

impl Ord for ServerRank {
    fn cmp(&self, other: &Self) -> Ordering {
        let reported = |rank: &Self| rank.inferred_from.unwrap_or(rank.state);
        let by_report =
            reported(self).cmp(&reported(other)).then(self.heartbeat_sequence.cmp(&other.heartbeat_sequence));
        let by_inference = self
            .inferred_from
            .is_some()
            .cmp(&other.inferred_from.is_some())
            .then_with(|| self.liveness.cmp(&other.liveness));
        by_report.then(by_inference)
    }
}

impl PartialOrd for ServerRank {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
