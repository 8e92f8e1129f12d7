//! Leaf calls: each waits for a connection, then for its answer, and ends exactly once.

use std::rc::Rc;

use ashvane::Outcome;
use std::time::Duration;

use tokio::time::Instant;

use super::{CANCELLED_HISTORY_RATIO, CallKey, EndedCall, IDLE_CHECK_RATIO, IDLE_CLOSE_RATIO, Pool};
use crate::routing::book::CallRequest;

pub(super) struct Call {
    pub(super) server: Rc<str>,
    pub(super) request: CallRequest,
    /// Since when it waits: for a connection, then for its answer.
    pub(super) waiting_since: Instant,
    pub(super) deadline: Instant,
    /// The connection it went out on; none while it waits for one.
    pub(super) connection: Option<u64>,
    /// Its frame found no room here: its server is not to blame.
    pub(super) no_memory: bool,
}

impl Call {
    /// When its time is over: to be answered in, or to find a connection in.
    pub(super) fn expires_at(&self, dial_timeout: Duration) -> Instant {
        self.connection.map_or((self.waiting_since + dial_timeout).min(self.deadline), |_| self.deadline)
    }
}

impl Pool {
    pub(in crate::routing) fn enqueue(
        &mut self, part: u64, request: CallRequest, server: Rc<str>, deadline: Instant,
    ) {
        let key = (part, request.attempt);
        let known = self.servers.get_mut(&server);
        let Some(s) = known else {
            return self.ended_calls.push(EndedCall { key, server, outcome: Outcome::Unreachable });
        };
        s.pending.push_back(key);
        self.pending_servers.insert(server.clone());
        let call =
            Call { server, request, waiting_since: self.now, deadline, connection: None, no_memory: false };
        self.deadlines.insert((call.expires_at(self.dial_timeout), key));
        self.calls.insert(key, call);
    }

    pub(super) fn remove_call(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.deadlines.remove(&(call.expires_at(self.dial_timeout), key));
        Some(call)
    }

    /// Ends a call by itself, with nothing more said to the server.
    pub(super) fn end_call(&mut self, key: CallKey, outcome: Outcome) {
        if let Some(call) = self.remove_call(key) {
            self.ended_calls.push(EndedCall { key, server: call.server, outcome });
        }
    }

    /// Takes a call back that is not begun to be written; false if it is.
    pub(super) fn withdraw(&mut self, key: CallKey, outcome: Outcome) -> bool {
        let Some(call) = self.calls.get(&key) else { return true };
        if let Some(c) = call.connection.and_then(|connection| self.connections.get_mut(&connection)) {
            if !c.lane.withdraw(&call.request.id) {
                return false;
            }
            c.in_flight.remove(&call.request.id);
            c.close_if_drained();
        } else if let Some(s) = self.servers.get_mut(&call.server) {
            s.pending.retain(|pending| *pending != key);
        }
        self.end_call(key, outcome);
        true
    }

    /// Stops waiting for a call: it is not sent if it is not yet, else the server is told.
    pub(super) fn cancel_call(&mut self, key: CallKey, unsent: Outcome, sent: Outcome) {
        if self.withdraw(key, unsent) {
            return;
        }
        let Some(call) = self.calls.get(&key) else { return };
        let (id, deadline) = (call.request.id.clone(), call.deadline);
        if let Some(c) = call.connection.and_then(|connection| self.connections.get_mut(&connection)) {
            c.in_flight.remove(&id);
            c.lane.give_up(id.clone());
            c.cancelled.push_back((id, deadline));
            if c.cancelled.len() > self.max_parts_per_connection * CANCELLED_HISTORY_RATIO {
                c.cancelled.pop_front();
            }
            c.draining |= c.is_unresponsive(self.now, self.dial_timeout);
            c.close_if_drained();
        }
        self.end_call(key, sent);
    }

    pub(in crate::routing) fn cancel(&mut self, key: CallKey) {
        self.cancel_call(key, Outcome::NeverSent, Outcome::Cancelled);
    }

    /// A part's query has ended: what was not sent is not sent any more.
    pub(in crate::routing) fn withdraw_part(&mut self, part: u64) {
        let keys: Vec<CallKey> =
            self.calls.range((part, 0)..=(part, u32::MAX)).map(|(key, _)| *key).collect();
        for key in keys {
            self.withdraw(key, Outcome::NeverSent);
        }
    }

    /// Ends the calls whose time is up, and closes connections that stand idle.
    pub(in crate::routing) fn expire(&mut self) {
        while let Some((_, key)) = self.deadlines.first().copied().filter(|(at, _)| *at <= self.now) {
            self.deadlines.pop_first();
            let server_reachable =
                self.calls.get(&key).is_some_and(|c| c.deadline <= self.now || c.no_memory);
            let unsent = if server_reachable { Outcome::NeverSent } else { Outcome::Unreachable };
            self.cancel_call(key, unsent, Outcome::TimedOut);
        }
        for c in self.connections.values_mut() {
            let since = c.lane.reads_since().filter(|_| !c.draining);
            if since.is_some_and(|since| self.now >= since + self.dial_timeout) {
                // A frame that has begun and does not go on brings nothing more.
                log::warn!("a frame from {} does not end: its connection is dropped", c.server);
                c.close_now();
            } else if c.in_flight.is_empty() {
                c.draining |= c.is_unresponsive(self.now, self.dial_timeout);
                c.close_if_drained();
            }
        }
        if self.now < self.next_idle_check {
            return;
        }
        self.next_idle_check = self.now + self.idle_timeout.mul_f64(IDLE_CHECK_RATIO);
        for c in self.connections.values_mut() {
            c.draining |=
                c.connected && self.now >= c.last_used + self.idle_timeout.mul_f64(IDLE_CLOSE_RATIO);
            c.close_if_drained();
        }
    }

    /// Finds the leaf call that an answer belongs to; none if it was given up before.
    pub(in crate::routing) fn match_answer(
        &mut self, connection: u64, id: &str, outcome: Outcome,
    ) -> Option<EndedCall> {
        let c = self.connections.get_mut(&connection)?;
        let matched = c.in_flight.remove_entry(id);
        (c.last_used, c.unanswered_since) = (self.now, Some(self.now).filter(|_| !c.in_flight.is_empty()));
        let Some((id, key)) = matched else {
            if let Some(at) = c.cancelled.iter().position(|(cancelled, _)| &**cancelled == id) {
                c.cancelled.remove(at);
            } else if c.last_answered.as_deref() == Some(id) {
                // The answer was good, and so are those that the connection still owes.
                c.draining = true;
                c.close_if_drained();
            } else {
                log::warn!("a server answered {id:?}, which was not asked of it here");
                c.close_now();
            }
            return None;
        };
        c.last_answered = Some(id);
        c.close_if_drained();
        let call = self.remove_call(key)?;
        Some(EndedCall { key, server: call.server, outcome })
    }
}
