//! Connections to shard servers: dialled when calls are pending, limited to an even share for each server,
//! and closed when they are idle or unresponsive.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane::{Health, Outcome};
use ashvane_memory::{Charge, Purpose};
use tokio::time::Instant;

use super::{CallKey, Pool};
use crate::transport::lane::{ConnectionTask, SERVER_CONNECTION_BYTES};

/// A connection to a shard server, from the dial on.
pub(super) struct Connection {
    /// Queue to the task that reads and writes the socket.
    pub(super) task: Rc<ConnectionTask>,
    pub(super) server: Rc<str>,
    /// Whether the dial has succeeded.
    pub(super) connected: bool,
    /// Whether the connection takes no more calls, and is closed once none is in flight.
    pub(super) draining: bool,
    /// Calls assigned to the connection that have not ended, by the ids of their parts.
    pub(super) in_flight: BTreeMap<Arc<str>, CallKey>,
    /// Parts whose calls were cancelled after sending. Until its deadline, each still counts towards the
    /// capacity.
    pub(super) cancelled: VecDeque<(Arc<str>, Instant)>,
    /// The part answered last, to recognize a duplicate of its answer.
    pub(super) last_answered: Option<Arc<str>>,
    pub(super) last_used: Instant,
    /// Since when calls have been in flight without any answer.
    pub(super) unanswered_since: Option<Instant>,
    _charge: Charge,
}

impl Connection {
    /// Returns how many more parts the connection can take, of at most `max_parts` at once.
    pub(super) fn free_capacity(&self, max_parts: usize, now: Instant) -> usize {
        let cancelled = self.cancelled.iter().filter(|(_, until)| *until > now).count();
        max_parts.saturating_sub(self.in_flight.len() + cancelled)
    }

    /// Whether a leaf call of this part is in flight or was cancelled here. Answers name only the part, so
    /// the answer to another leaf call of it would be ambiguous.
    pub(super) fn is_tracking(&self, id: &str) -> bool {
        self.in_flight.contains_key(id) || self.cancelled.iter().any(|(cancelled, _)| &**cancelled == id)
    }

    /// Whether calls have been in flight for longer than the dial timeout without any answer. The connection
    /// may be dead although the server is healthy.
    pub(super) fn is_unresponsive(&self, now: Instant, dial_timeout: Duration) -> bool {
        self.unanswered_since.is_some_and(|since| now >= since + dial_timeout)
    }

    /// Whether the connection is being established and will then take calls.
    pub(super) fn is_dialling(&self) -> bool {
        !self.connected && !self.draining
    }

    /// Closes the connection at once. The calls in flight on it end with it.
    pub(super) fn close_now(&mut self) {
        self.draining = true;
        self.task.close();
    }

    /// Closes the connection if it is draining and no call is in flight.
    pub(super) fn close_if_drained(&self) {
        if self.draining && self.in_flight.is_empty() {
            self.task.close();
        }
    }
}

/// Drains the connections of these numbers.
pub(super) fn drain_connections(connections: &mut BTreeMap<u64, Connection>, numbers: &[u64]) {
    for number in numbers {
        let Some(connection) = connections.get_mut(number) else { continue };
        connection.draining = true;
        connection.close_if_drained();
    }
}

impl Pool {
    /// Handles a connection that has been established.
    pub(in crate::routing) fn connection_up(&mut self, number: u64) {
        if let Some(connection) = self.connections.get_mut(&number) {
            (connection.connected, connection.last_used) = (true, self.now);
            self.servers
                .get_mut(&connection.server)
                .into_iter()
                .for_each(|server| server.dial_failed = false);
        }
    }

    /// Handles a connection that was closed or could not be established, and ends the calls in flight on it.
    pub(in crate::routing) fn connection_down(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else { return };
        for (id, key) in &connection.in_flight {
            let unwritten = connection.task.is_unwritten(id);
            self.end_call(*key, if unwritten { Outcome::Unreachable } else { Outcome::ConnectionLost });
        }
        let Some(server) = self.servers.get_mut(&connection.server) else { return };
        server.connections.retain(|other| *other != number);
        if server.health == Health::Gone && server.connections.is_empty() && server.pending.is_empty() {
            self.servers.remove(&connection.server);
            return;
        }
        // A failed dial ends the pending calls unless another connection is established or being dialled.
        let is_usable = |number: &u64| self.connections.get(number).is_some_and(|c| !c.draining);
        server.dial_failed = connection.is_dialling();
        if connection.is_dialling() && !server.connections.iter().any(is_usable) {
            for key in std::mem::take(&mut server.pending) {
                self.end_call(key, Outcome::Unreachable);
            }
        }
    }

    /// Returns the maximum number of connections to one server: an even share of all.
    pub(super) fn connections_per_server(&self) -> usize {
        (self.max_connections / self.servers.len().max(1)).max(1)
    }

    /// Closes the connection that has been idle for longest, if any is idle.
    pub(super) fn close_longest_idle(&mut self) {
        let is_idle = |c: &&mut Connection| c.connected && !c.draining && c.in_flight.is_empty();
        if let Some(connection) = self.connections.values_mut().filter(is_idle).min_by_key(|c| c.last_used) {
            connection.close_now();
        }
    }

    /// Dials one more connection to a server if its pending calls need it and its share allows it. Returns
    /// whether a dial was started.
    pub(super) fn dial_for(&mut self, id: &Rc<str>) -> bool {
        let max_for_server = self.connections_per_server();
        let Some(server) = self.servers.get_mut(id) else { return false };
        let is_dialling = |number: &&u64| self.connections.get(number).is_some_and(Connection::is_dialling);
        let dialling = server.connections.iter().filter(is_dialling).count();
        let is_refusing = server.dial_failed && !server.connections.is_empty();
        if server.pending.len() <= dialling * self.max_parts_per_connection
            || server.connections.len() >= max_for_server
            || is_refusing
        {
            return false;
        }
        if self.connections.len() >= self.max_connections {
            self.close_longest_idle();
            return false;
        }
        // `max_connections` is derived from the memory limit, so this fails only after the limit was lowered.
        let Ok(charge) = self.ledger.take(Purpose::Connections, None, SERVER_CONNECTION_BYTES) else {
            return false;
        };
        let number = self.next_connection;
        self.next_connection += 1;
        let task = Rc::new(ConnectionTask::default());
        server.connections.push(number);
        let connection = Connection {
            task: task.clone(),
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
        tokio::task::spawn_local(task.run(number, server.address, self.dial_timeout, events, ledger));
        true
    }
}
