//! The pool: leaf calls go out in shared frames, over a bounded number of connections to each shard
//! server, and every one of them ends exactly once.

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

/// Share of the idle time after which a connection is closed here, before the server closes it.
const IDLE_CLOSE_RATIO: f64 = 0.75;
/// How often idle connections are looked for, as a share of the same time.
const IDLE_CHECK_RATIO: f64 = 0.1;
/// Given-up parts a connection remembers, times what it carries at once: their answers may come late.
const CANCELLED_HISTORY_RATIO: usize = 16;
/// Pause before a frame that found no room is tried again: others are written meanwhile.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Ended calls that are told in one turn: a list, or a server, may end hundreds at once, each of which costs the
/// decisions a look at all parts of its query. The rest is told in the next turns, and other work between.
const MAX_ENDED_CALLS_PER_TURN: usize = 100;

/// A part and the number of its leaf call.
pub(in crate::routing) type CallKey = (u64, u32);

pub(in crate::routing) struct EndedCall {
    pub(in crate::routing) key: CallKey,
    pub(in crate::routing) server: Rc<str>,
    pub(in crate::routing) outcome: Outcome,
}

pub(in crate::routing) struct Pool {
    servers: BTreeMap<Rc<str>, Server>,
    /// Servers for which something may wait.
    pending_servers: BTreeSet<Rc<str>>,
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<CallKey, Call>,
    /// When calls run out of time, or out of patience for a connection.
    deadlines: BTreeSet<(Instant, CallKey)>,
    ended_calls: Vec<EndedCall>,
    events: mpsc::Sender<Event>,
    ledger: Ledger,
    /// A frame found no room: it is tried again soon.
    memory_short: bool,
    now: Instant,
    next_idle_check: Instant,
    next_connection: u64,
    max_connections: usize,
    max_parts_per_frame: usize,
    max_parts_per_connection: usize,
    /// By vertical, whether a part must not run twice.
    non_idempotent: Vec<bool>,
    dial_timeout: Duration,
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
            deadlines: BTreeSet::new(),
            ended_calls: Vec::new(),
            events,
            ledger,
            memory_short: false,
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

    pub(in crate::routing) fn next_deadline(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let ended = Some(self.now).filter(|_| !self.ended_calls.is_empty());
        let idle = Some(self.next_idle_check).filter(|_| !self.connections.is_empty());
        let retry = Some(self.now + MEMORY_RETRY_DELAY).filter(|_| self.memory_short);
        deadline.into_iter().chain(ended).chain(idle).chain(retry).min()
    }

    pub(in crate::routing) fn take_ended(&mut self) -> Vec<EndedCall> {
        let count = self.ended_calls.len().min(MAX_ENDED_CALLS_PER_TURN);
        self.ended_calls.drain(..count).collect()
    }

    /// Each connection, whether it is up, and the parts out on it.
    #[cfg(test)]
    pub(in crate::routing) fn connection_states(&self) -> Vec<(u64, bool, Vec<std::sync::Arc<str>>)> {
        let state =
            |(number, c): (&u64, &Connection)| (*number, c.connected, c.in_flight.keys().cloned().collect());
        self.connections.iter().map(state).collect()
    }
}
