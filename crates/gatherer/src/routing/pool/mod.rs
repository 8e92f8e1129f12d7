//! Stage 4: leaf calls are sent in shared frames, over a bounded number of connections to each shard server.
//! Every leaf call ends exactly once.

mod calls;
mod connections;
mod frames;
mod servers;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ashvane::Outcome;
use ashvane_memory::Ledger;
use ashvane_settings::Network;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::protocol::event::Event;
use calls::Call;
use connections::Connection;
use servers::Server;

/// Ratio of the servers' idle timeout after which the gatherer closes an idle connection. Below 1, so that
/// the server does not close it while a call is on its way.
const IDLE_CLOSE_RATIO: f64 = 0.75;
/// Interval of the check for idle connections, as a ratio of the servers' idle timeout.
const IDLE_CHECK_RATIO: f64 = 0.1;
/// Maximum number of cancelled parts that a connection remembers, as a multiple of the parts that it carries
/// at once. Their answers may still arrive.
const CANCELLED_HISTORY_RATIO: usize = 16;
/// Delay before sending is retried after there was no memory for a frame. Frames that are written meanwhile
/// release memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of ended calls that are reported to the decision module in one turn. A server list or the
/// loss of a server may end hundreds at once, and for each the module reviews all parts of its query. The
/// rest is reported in the next turns, so that other work can run between them.
const MAX_ENDED_CALLS_PER_TURN: usize = 100;

/// The number of a part, and that of the leaf call among those of the part.
pub(in crate::routing) type CallKey = (u64, u32);

/// A leaf call that has ended, and how.
pub(in crate::routing) struct EndedCall {
    pub(in crate::routing) key: CallKey,
    pub(in crate::routing) server: Rc<str>,
    pub(in crate::routing) outcome: Outcome,
}

/// The known shard servers, the connections to them, and the leaf calls that have not ended.
pub(in crate::routing) struct Pool {
    servers: BTreeMap<Rc<str>, Server>,
    /// Servers that may have pending calls.
    pending_servers: BTreeSet<Rc<str>>,
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<CallKey, Call>,
    /// When each call expires, see [`Call::expires_at`].
    expiries: BTreeSet<(Instant, CallKey)>,
    /// Ended calls that are not yet reported, the oldest first.
    ended_calls: Vec<EndedCall>,
    events: mpsc::Sender<Event>,
    ledger: Ledger,
    /// Whether there was no memory for a frame in the latest flush. It is retried after
    /// [`MEMORY_RETRY_DELAY`].
    no_memory: bool,
    /// Start of the current turn.
    now: Instant,
    next_idle_check: Instant,
    /// Number of the next connection.
    next_connection: u64,
    max_connections: usize,
    max_parts_per_frame: usize,
    max_parts_per_connection: usize,
    /// Whether a part must not run twice, by vertical.
    non_idempotent: Vec<bool>,
    dial_timeout: Duration,
    /// Time after which servers close an idle connection.
    idle_timeout: Duration,
}

impl Pool {
    pub(in crate::routing) fn new(
        network: &Network, max_connections: usize, events: mpsc::Sender<Event>, ledger: Ledger,
    ) -> Self {
        let now = Instant::now();
        Pool {
            servers: BTreeMap::new(),
            pending_servers: BTreeSet::new(),
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            expiries: BTreeSet::new(),
            ended_calls: Vec::new(),
            events,
            ledger,
            no_memory: false,
            now,
            next_idle_check: now,
            next_connection: 0,
            max_connections,
            max_parts_per_frame: network.parts_a_call.min(network.multiplex),
            max_parts_per_connection: network.multiplex,
            non_idempotent: network.runs_once.clone(),
            dial_timeout: network.dial_limit,
            idle_timeout: network.idle_limit,
        }
    }

    pub(in crate::routing) fn set_now(&mut self, now: Instant) {
        self.now = now;
    }

    /// Returns the earliest time at which the pool has something to do, if any.
    pub(in crate::routing) fn next_deadline(&self) -> Option<Instant> {
        let deadline = self.expiries.first().map(|(at, _)| *at);
        let ended = Some(self.now).filter(|_| !self.ended_calls.is_empty());
        let idle = Some(self.next_idle_check).filter(|_| !self.connections.is_empty());
        let retry = Some(self.now + MEMORY_RETRY_DELAY).filter(|_| self.no_memory);
        deadline.into_iter().chain(ended).chain(idle).chain(retry).min()
    }

    /// Returns the oldest ended calls, as many as may be reported in one turn.
    pub(in crate::routing) fn take_ended(&mut self) -> Vec<EndedCall> {
        let count = self.ended_calls.len().min(MAX_ENDED_CALLS_PER_TURN);
        self.ended_calls.drain(..count).collect()
    }

    /// Returns the number of each connection, whether it is established, and the ids in flight on it.
    #[cfg(test)]
    pub(in crate::routing) fn connection_states(&self) -> Vec<(u64, bool, Vec<std::sync::Arc<str>>)> {
        let state =
            |(number, c): (&u64, &Connection)| (*number, c.connected, c.in_flight.keys().cloned().collect());
        self.connections.iter().map(state).collect()
    }
}
