//! The life of a leaf call: it waits for a connection, then for its answer, and ends exactly once.

use std::rc::Rc;

use ashvane::Outcome;
use std::time::Duration;

use tokio::time::Instant;

use super::{CANCELLED_HISTORY_RATIO, CallKey, EndedCall, IDLE_CHECK_RATIO, IDLE_CLOSE_RATIO, Pool};
use crate::routing::book::CallRequest;

/// A leaf call that has not ended.
pub(super) struct Call {
    pub(super) server: Rc<str>,
    pub(super) request: CallRequest,
    /// When the call began to wait for a connection or, once it is assigned to one, for its answer.
    pub(super) waiting_since: Instant,
    /// When the gatherer stops waiting for the answer.
    pub(super) deadline: Instant,
    /// Number of the connection that the call is assigned to, or `None` while it waits for one.
    pub(super) connection: Option<u64>,
    /// Whether there was no memory for its frame. If the call then expires, the server does not count as
    /// unreachable.
    pub(super) no_memory: bool,
}

impl Call {
    /// Returns when the call expires. While it waits for a connection, this is the earlier of its deadline and
    /// the end of the dial timeout; after that, its deadline.
    pub(super) fn expires_at(&self, dial_timeout: Duration) -> Instant {
        self.connection.map_or((self.waiting_since + dial_timeout).min(self.deadline), |_| self.deadline)
    }
}

impl Pool {
    /// Adds a leaf call to the pending calls of its server. The call ends as unreachable if the server is
    /// unknown.
    pub(in crate::routing) fn enqueue(
        &mut self, part: u64, request: CallRequest, server: Rc<str>, deadline: Instant,
    ) {
        let key = (part, request.attempt);
        let listed = self.servers.get_mut(&server);
        let Some(entry) = listed else {
            return self.ended_calls.push(EndedCall { key, server, outcome: Outcome::Unreachable });
        };
        entry.pending.push_back(key);
        self.pending_servers.insert(server.clone());
        let call =
            Call { server, request, waiting_since: self.now, deadline, connection: None, no_memory: false };
        self.expiries.insert((call.expires_at(self.dial_timeout), key));
        self.calls.insert(key, call);
    }

    /// Removes a call and its expiry.
    pub(super) fn remove_call(&mut self, key: CallKey) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.expiries.remove(&(call.expires_at(self.dial_timeout), key));
        Some(call)
    }

    /// Ends a call without notifying its server.
    pub(super) fn end_call(&mut self, key: CallKey, outcome: Outcome) {
        if let Some(call) = self.remove_call(key) {
            self.ended_calls.push(EndedCall { key, server: call.server, outcome });
        }
    }

    /// Ends a call unless its frame is already being written or has been. Returns whether the call is ended.
    pub(super) fn withdraw(&mut self, key: CallKey, outcome: Outcome) -> bool {
        let Some(call) = self.calls.get(&key) else { return true };
        if let Some(connection) = call.connection.and_then(|number| self.connections.get_mut(&number)) {
            if !connection.task.withdraw(&call.request.id) {
                return false;
            }
            connection.in_flight.remove(&call.request.id);
            connection.close_if_drained();
        } else if let Some(server) = self.servers.get_mut(&call.server) {
            server.pending.retain(|pending| *pending != key);
        }
        self.end_call(key, outcome);
        true
    }

    /// Ends a call: with the outcome `unsent` if it could be withdrawn, else with the outcome `sent` and a
    /// cancel frame to the server.
    pub(super) fn cancel_call(&mut self, key: CallKey, unsent: Outcome, sent: Outcome) {
        if self.withdraw(key, unsent) {
            return;
        }
        let Some(call) = self.calls.get(&key) else { return };
        let (id, deadline) = (call.request.id.clone(), call.deadline);
        if let Some(connection) = call.connection.and_then(|number| self.connections.get_mut(&number)) {
            connection.in_flight.remove(&id);
            connection.task.cancel(id.clone());
            connection.cancelled.push_back((id, deadline));
            if connection.cancelled.len() > self.max_parts_per_connection * CANCELLED_HISTORY_RATIO {
                connection.cancelled.pop_front();
            }
            connection.draining |= connection.is_unresponsive(self.now, self.dial_timeout);
            connection.close_if_drained();
        }
        self.end_call(key, sent);
    }

    /// Cancels a call that the decision module no longer needs.
    pub(in crate::routing) fn cancel(&mut self, key: CallKey) {
        self.cancel_call(key, Outcome::NeverSent, Outcome::Cancelled);
    }

    /// Withdraws the unsent calls of a part whose query has ended.
    pub(in crate::routing) fn withdraw_part(&mut self, part: u64) {
        let keys: Vec<CallKey> =
            self.calls.range((part, 0)..=(part, u32::MAX)).map(|(key, _)| *key).collect();
        for key in keys {
            self.withdraw(key, Outcome::NeverSent);
        }
    }

    /// Ends expired calls, and closes connections that are idle or unresponsive or whose incoming frame has
    /// stalled.
    pub(in crate::routing) fn expire(&mut self) {
        while let Some((_, key)) = self.expiries.first().copied().filter(|(at, _)| *at <= self.now) {
            self.expiries.pop_first();
            let not_server_fault =
                self.calls.get(&key).is_some_and(|call| call.deadline <= self.now || call.no_memory);
            let unsent = if not_server_fault { Outcome::NeverSent } else { Outcome::Unreachable };
            self.cancel_call(key, unsent, Outcome::TimedOut);
        }
        for connection in self.connections.values_mut() {
            let since = connection.task.partial_since().filter(|_| !connection.draining);
            if since.is_some_and(|since| self.now >= since + self.dial_timeout) {
                // The rest of a frame that stalls for this long is not going to arrive.
                log::warn!(
                    "frame from {} incomplete after {:?}; closing the connection",
                    connection.server,
                    self.dial_timeout
                );
                connection.close_now();
            } else if connection.in_flight.is_empty() {
                connection.draining |= connection.is_unresponsive(self.now, self.dial_timeout);
                connection.close_if_drained();
            }
        }
        if self.now < self.next_idle_check {
            return;
        }
        self.next_idle_check = self.now + self.idle_timeout.mul_f64(IDLE_CHECK_RATIO);
        for connection in self.connections.values_mut() {
            connection.draining |= connection.connected
                && self.now >= connection.last_used + self.idle_timeout.mul_f64(IDLE_CLOSE_RATIO);
            connection.close_if_drained();
        }
    }

    /// Ends the leaf call that an answer belongs to, without reporting it. Returns `None` if the answer is
    /// for a cancelled call, is a duplicate, or was not requested on this connection.
    pub(in crate::routing) fn match_answer(
        &mut self, connection: u64, id: &str, outcome: Outcome,
    ) -> Option<EndedCall> {
        let connection = self.connections.get_mut(&connection)?;
        let entry = connection.in_flight.remove_entry(id);
        (connection.last_used, connection.unanswered_since) =
            (self.now, Some(self.now).filter(|_| !connection.in_flight.is_empty()));
        let Some((id, key)) = entry else {
            if let Some(at) = connection.cancelled.iter().position(|(cancelled, _)| &**cancelled == id) {
                connection.cancelled.remove(at);
            } else if connection.last_answered.as_deref() == Some(id) {
                // A duplicate does not invalidate the first answer or those still outstanding here.
                connection.draining = true;
                connection.close_if_drained();
            } else {
                log::warn!(
                    "{} answered {id:?}, which was not sent on this connection; closing it",
                    connection.server
                );
                connection.close_now();
            }
            return None;
        };
        connection.last_answered = Some(id);
        connection.close_if_drained();
        let call = self.remove_call(key)?;
        Some(EndedCall { key, server: call.server, outcome })
    }
}
