//! Connections to shard servers: dialled for what waits, shared out evenly, closed when they stand idle or
//! fall silent.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane::{Health, Outcome};
use ashvane_memory::{Charge, Purpose};
use tokio::time::Instant;

use super::{CallKey, Pool};
use crate::transport::lane::{LANE_BYTES, Lane};

pub(super) struct Connection {
    pub(super) lane: Rc<Lane>,
    pub(super) server: Rc<str>,
    pub(super) connected: bool,
    /// Takes no more calls, and is closed once none is out.
    pub(super) draining: bool,
    pub(super) in_flight: BTreeMap<Arc<str>, CallKey>,
    /// Parts given up here, and until when they may still take room.
    pub(super) cancelled: VecDeque<(Arc<str>, Instant)>,
    /// The part answered last: a second copy of its answer is one that nobody waits for.
    pub(super) last_answered: Option<Arc<str>>,
    pub(super) last_used: Instant,
    /// Since when it has been asked and has said nothing.
    pub(super) unanswered_since: Option<Instant>,
    _charge: Charge,
}

impl Connection {
    pub(super) fn free_capacity(&self, max_parts: usize, now: Instant) -> usize {
        let cancelled = self.cancelled.iter().filter(|(_, until)| *until > now).count();
        max_parts.saturating_sub(self.in_flight.len() + cancelled)
    }

    /// Whether an answer to this part could be taken for another leaf call's.
    pub(super) fn is_tracking(&self, id: &str) -> bool {
        self.in_flight.contains_key(id) || self.cancelled.iter().any(|(cancelled, _)| &**cancelled == id)
    }

    /// Whether it has said nothing for longer than a dial may take although it was asked: perhaps nothing
    /// comes through it any more, while the server is well.
    pub(super) fn is_unresponsive(&self, now: Instant, dial_timeout: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + dial_timeout)
    }

    /// Whether calls may go out on it once it is up.
    pub(super) fn is_dialling(&self) -> bool {
        !self.connected && !self.draining
    }

    /// Is of no more use: ends at once, and with it what is out on it.
    pub(super) fn close_now(&mut self) {
        self.draining = true;
        self.lane.close();
    }

    pub(super) fn close_if_drained(&self) {
        if self.draining && self.in_flight.is_empty() {
            self.lane.close();
        }
    }
}

pub(super) fn drain_connections(connections: &mut BTreeMap<u64, Connection>, numbers: &[u64]) {
    for number in numbers {
        let Some(c) = connections.get_mut(number) else { continue };
        c.draining = true;
        c.close_if_drained();
    }
}

impl Pool {
    pub(in crate::routing) fn connection_up(&mut self, connection: u64) {
        if let Some(c) = self.connections.get_mut(&connection) {
            (c.connected, c.last_used) = (true, self.now);
            self.servers.get_mut(&c.server).into_iter().for_each(|s| s.dial_failed = false);
        }
    }

    pub(in crate::routing) fn connection_down(&mut self, connection: u64) {
        let Some(c) = self.connections.remove(&connection) else { return };
        for (id, key) in &c.in_flight {
            let unwritten = c.lane.unwritten(id);
            self.end_call(*key, if unwritten { Outcome::Unreachable } else { Outcome::ConnectionLost });
        }
        let Some(s) = self.servers.get_mut(&c.server) else { return };
        s.connections.retain(|known| *known != connection);
        if s.health == Health::Gone && s.connections.is_empty() && s.pending.is_empty() {
            self.servers.remove(&c.server);
            return;
        }
        // A dial that failed fails what waits, unless another connection is there or on its way.
        let is_usable = |connection: &u64| self.connections.get(connection).is_some_and(|c| !c.draining);
        s.dial_failed = c.is_dialling();
        if c.is_dialling() && !s.connections.iter().any(is_usable) {
            for key in std::mem::take(&mut s.pending) {
                self.end_call(key, Outcome::Unreachable);
            }
        }
    }

    /// Every server has its even share of the connections.
    pub(super) fn connections_per_server(&self) -> usize {
        (self.max_connections / self.servers.len().max(1)).max(1)
    }

    /// Closes the connection that has stood idle for longest, where there is one.
    pub(super) fn close_longest_idle(&mut self) {
        let idle = |c: &&mut Connection| c.connected && !c.draining && c.in_flight.is_empty();
        if let Some(c) = self.connections.values_mut().filter(idle).min_by_key(|c| c.last_used) {
            c.close_now();
        }
    }

    /// Dials for what still waits.
    pub(super) fn dial_for(&mut self, id: &Rc<str>) -> bool {
        let max_connections = self.connections_per_server();
        let Some(s) = self.servers.get_mut(id) else { return false };
        let is_dialling =
            |connection: &&u64| self.connections.get(connection).is_some_and(Connection::is_dialling);
        let dialling = s.connections.iter().filter(is_dialling).count();
        let refused = s.dial_failed && !s.connections.is_empty();
        if s.pending.len() <= dialling * self.max_parts_per_connection
            || s.connections.len() >= max_connections
            || refused
        {
            return false;
        }
        if self.connections.len() >= self.max_connections {
            self.close_longest_idle();
            return false;
        }
        // The number of connections follows from the room for them: only a lowered cap leaves none.
        let Ok(charge) = self.ledger.take(Purpose::Connections, None, LANE_BYTES) else { return false };
        let number = self.next_connection;
        self.next_connection += 1;
        let lane = Rc::new(Lane::default());
        s.connections.push(number);
        let connection = Connection {
            lane: lane.clone(),
            server: id.clone(),
            connected: false,
            draining: false,
            in_flight: BTreeMap::new(),
            cancelled: VecDeque::new(),
            last_answered: None,
            last_used: self.now,
            unanswered_since: None,
            _charge: charge,
        };
        self.connections.insert(number, connection);
        let (events, ledger) = (self.events.clone(), self.ledger.clone());
        tokio::task::spawn_local(lane.run(number, s.address, self.dial_timeout, events, ledger));
        true
    }
}
