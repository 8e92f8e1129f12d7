//! Frames to shard servers: the pending calls of a server are sent in as few frames as the settings allow.

use std::rc::Rc;

use ashvane_memory::Purpose;

use super::connections::Connection;
use super::{CallKey, Pool};
use crate::routing::book::CallRequest;
use crate::transport::lane::QueuedPart;

/// Memory of a part in a queued frame without its id and payload: numbers, separators and its records.
const PART_OVERHEAD_BYTES: usize = 96;

impl Pool {
    /// Sends the pending calls of all servers, and dials for those that find no connection.
    pub(in crate::routing) fn flush(&mut self) {
        self.no_memory = false;
        for id in std::mem::take(&mut self.pending_servers) {
            while self.send_frame(&id) {}
            while self.dial_for(&id) {}
            if self.servers.get(&id).is_some_and(|server| !server.pending.is_empty()) {
                self.pending_servers.insert(id);
            }
        }
    }

    /// Sends the oldest pending calls of a server as one frame. Returns false if there is none, no connection
    /// for them or no memory for the frame.
    pub(super) fn send_frame(&mut self, id: &Rc<str>) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        // Two leaf calls of one part never share a connection, because answers name only the part.
        let mut keys: Vec<CallKey> = server.pending.iter().take(self.max_parts_per_frame).copied().collect();
        if let Some(split) = (1..keys.len()).find(|at| keys[..*at].iter().any(|key| key.0 == keys[*at].0)) {
            keys.truncate(split);
        }
        let requests: Vec<&CallRequest> =
            keys.iter().filter_map(|key| Some(&self.calls.get(key)?.request)).collect();
        // A broken connection fails all calls in flight on it. Parts that must not run twice therefore share
        // a connection with no other frame as long as another connection is available or can be dialled.
        let non_idempotent =
            |key: &CallKey| self.calls.get(key).is_some_and(|c| self.non_idempotent[c.request.vertical]);
        let exclusive = keys.iter().any(non_idempotent);
        let isolated = |c: &Connection| {
            if exclusive { c.in_flight.is_empty() } else { !c.in_flight.values().any(non_idempotent) }
        };
        let (max_parts, now) = (self.max_parts_per_connection, self.now);
        let dial_timeout = self.dial_timeout;
        let fits = |c: &Connection| {
            c.connected
                && !c.draining
                && !c.is_unresponsive(now, dial_timeout)
                && c.free_capacity(max_parts, now) >= requests.len()
                && !requests.iter().any(|p| c.is_tracking(&p.id))
        };
        let find = |fits: &dyn Fn(&Connection) -> bool| {
            server.connections.iter().copied().find(|number| self.connections.get(number).is_some_and(fits))
        };
        let may_dial = server.connections.len() < self.connections_per_server() && !server.dial_failed;
        let number = find(&|c| fits(c) && isolated(c)).or_else(|| find(&fits).filter(|_| !may_dial));
        let Some(number) = number.filter(|_| !keys.is_empty()) else { return false };
        let bytes: usize = requests.iter().map(|p| PART_OVERHEAD_BYTES + p.id.len() + p.payload.len()).sum();
        let Ok(charge) = self.ledger.take(Purpose::Calls, None, bytes as u64) else {
            self.no_memory = true;
            keys.iter().for_each(|key| self.calls.get_mut(key).into_iter().for_each(|c| c.no_memory = true));
            return false;
        };
        let Some(server) = self.servers.get_mut(id) else { return false };
        server.pending.drain(..keys.len());
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        let mut frame = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(call) = self.calls.get_mut(&key) else { continue };
            self.expiries.remove(&(call.expires_at(self.dial_timeout), key));
            (call.waiting_since, call.connection, call.no_memory) = (self.now, Some(number), false);
            self.expiries.insert((call.expires_at(self.dial_timeout), key));
            let request = &call.request;
            connection.in_flight.insert(request.id.clone(), key);
            frame.push(QueuedPart {
                id: request.id.clone(),
                shard: request.shard,
                payload: request.payload.clone(),
                deadline: call.deadline,
            });
        }
        connection.last_used = self.now;
        connection.unanswered_since.get_or_insert(self.now);
        connection.task.queue_call(frame, charge);
        true
    }
}
