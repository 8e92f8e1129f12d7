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
const IDLE_SHARE: f64 = 0.75;
/// How often idle connections are looked for, as a share of the same time.
const IDLE_LOOK_SHARE: f64 = 0.1;
/// Given-up parts a connection remembers, times what it carries at once: their answers may come late.
const LATE_TIMES: usize = 16;
/// Pause before a frame that found no room is tried again: others are written meanwhile.
const ROOM_LOOK: Duration = Duration::from_millis(10);
/// Ended calls that are told in one turn: a list, or a server, may end hundreds at once, each of which costs the
/// decisions a look at all parts of its query. The rest is told in the next turns, and other work between.
const ENDED_A_TURN: usize = 100;

/// A part and the number of its leaf call.
pub(in crate::routing) type Key = (u64, u32);

pub(in crate::routing) struct Ended {
    pub(in crate::routing) key: Key,
    pub(in crate::routing) server: Rc<str>,
    pub(in crate::routing) outcome: Outcome,
}

pub(in crate::routing) struct Pool {
    servers: BTreeMap<Rc<str>, Server>,
    /// Servers for which something may wait.
    asked: BTreeSet<Rc<str>>,
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<Key, Call>,
    /// When calls run out of time, or out of patience for a connection.
    limits: BTreeSet<(Instant, Key)>,
    ended: Vec<Ended>,
    events: mpsc::Sender<Event>,
    ledger: Ledger,
    /// A frame found no room: it is tried again soon.
    short: bool,
    now: Instant,
    idle_look: Instant,
    next_lane: u64,
    most_lanes: usize,
    parts_a_call: usize,
    multiplex: usize,
    /// By vertical, whether a part must not run twice.
    runs_once: Vec<bool>,
    dial_limit: Duration,
    idle_limit: Duration,
}

impl Pool {
    pub(in crate::routing) fn new(
        network: &Network, most_lanes: usize, events: mpsc::Sender<Event>, ledger: Ledger,
    ) -> Self {
        let now = Instant::now();
        Pool {
            servers: BTreeMap::new(),
            asked: BTreeSet::new(),
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            limits: BTreeSet::new(),
            ended: Vec::new(),
            events,
            ledger,
            short: false,
            now,
            idle_look: now,
            next_lane: 0,
            most_lanes,
            parts_a_call: network.parts_a_call.min(network.multiplex),
            multiplex: network.multiplex,
            runs_once: network.runs_once.clone(),
            dial_limit: network.dial_limit,
            idle_limit: network.idle_limit,
        }
    }

    pub(in crate::routing) fn at(&mut self, now: Instant) {
        self.now = now;
    }

    pub(in crate::routing) fn due(&self) -> Option<Instant> {
        let limit = self.limits.first().map(|(at, _)| *at);
        let ended = Some(self.now).filter(|_| !self.ended.is_empty());
        let idle = Some(self.idle_look).filter(|_| !self.connections.is_empty());
        let short = Some(self.now + ROOM_LOOK).filter(|_| self.short);
        limit.into_iter().chain(ended).chain(idle).chain(short).min()
    }

    pub(in crate::routing) fn take_ended(&mut self) -> Vec<Ended> {
        let most = self.ended.len().min(ENDED_A_TURN);
        self.ended.drain(..most).collect()
    }

    /// Each connection, whether it is up, and the parts out on it.
    #[cfg(test)]
    pub(in crate::routing) fn seen(&self) -> Vec<(u64, bool, Vec<std::sync::Arc<str>>)> {
        let seen = |(lane, c): (&u64, &Connection)| (*lane, c.up, c.out.keys().cloned().collect());
        self.connections.iter().map(seen).collect()
    }
}
