//! Leaf calls: each waits for a connection, then for its answer, and ends exactly once.

use std::rc::Rc;

use ashvane::Outcome;
use std::time::Duration;

use tokio::time::Instant;

use super::{Ended, IDLE_LOOK_SHARE, IDLE_SHARE, Key, LATE_TIMES, Pool};
use crate::routing::book::Carried;

pub(super) struct Call {
    pub(super) server: Rc<str>,
    pub(super) carried: Carried,
    /// Since when it waits: for a connection, then for its answer.
    pub(super) since: Instant,
    pub(super) until: Instant,
    /// The connection it went out on; none while it waits for one.
    pub(super) lane: Option<u64>,
    /// Its frame found no room here: its server is not to blame.
    pub(super) roomless: bool,
}

impl Call {
    /// When its time is over: to be answered in, or to find a connection in.
    pub(super) fn limit(&self, dial_limit: Duration) -> Instant {
        self.lane.map_or((self.since + dial_limit).min(self.until), |_| self.until)
    }
}

impl Pool {
    pub(in crate::routing) fn call(&mut self, part: u64, carried: Carried, server: Rc<str>, until: Instant) {
        let key = (part, carried.number);
        let known = self.servers.get_mut(&server);
        let Some(s) = known else {
            return self.ended.push(Ended { key, server, outcome: Outcome::Unreachable });
        };
        s.waiting.push_back(key);
        self.asked.insert(server.clone());
        let call = Call { server, carried, since: self.now, until, lane: None, roomless: false };
        self.limits.insert((call.limit(self.dial_limit), key));
        self.calls.insert(key, call);
    }

    pub(super) fn drop_call(&mut self, key: Key) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.limits.remove(&(call.limit(self.dial_limit), key));
        Some(call)
    }

    /// Ends a call by itself, with nothing more said to the server.
    pub(super) fn end(&mut self, key: Key, outcome: Outcome) {
        if let Some(call) = self.drop_call(key) {
            self.ended.push(Ended { key, server: call.server, outcome });
        }
    }

    /// Takes a call back that is not begun to be written; false if it is.
    pub(super) fn withdraw(&mut self, key: Key, outcome: Outcome) -> bool {
        let Some(call) = self.calls.get(&key) else { return true };
        if let Some(c) = call.lane.and_then(|lane| self.connections.get_mut(&lane)) {
            if !c.lane.withdraw(&call.carried.id) {
                return false;
            }
            c.out.remove(&call.carried.id);
            c.forget_if_done();
        } else if let Some(s) = self.servers.get_mut(&call.server) {
            s.waiting.retain(|waiting| *waiting != key);
        }
        self.end(key, outcome);
        true
    }

    /// Stops waiting for a call: it is not sent if it is not yet, else the server is told.
    pub(super) fn give_up(&mut self, key: Key, unsent: Outcome, sent: Outcome) {
        if self.withdraw(key, unsent) {
            return;
        }
        let Some(call) = self.calls.get(&key) else { return };
        let (id, until) = (call.carried.id.clone(), call.until);
        if let Some(c) = call.lane.and_then(|lane| self.connections.get_mut(&lane)) {
            c.out.remove(&id);
            c.lane.give_up(id.clone());
            c.late.push_back((id, until));
            if c.late.len() > self.multiplex * LATE_TIMES {
                c.late.pop_front();
            }
            c.retired |= c.silent(self.now, self.dial_limit);
            c.forget_if_done();
        }
        self.end(key, sent);
    }

    pub(in crate::routing) fn call_off(&mut self, key: Key) {
        self.give_up(key, Outcome::NeverSent, Outcome::Cancelled);
    }

    /// A part's query has ended: what was not sent is not sent any more.
    pub(in crate::routing) fn over(&mut self, part: u64) {
        let of: Vec<Key> = self.calls.range((part, 0)..=(part, u32::MAX)).map(|(key, _)| *key).collect();
        for key in of {
            self.withdraw(key, Outcome::NeverSent);
        }
    }

    /// Ends the calls whose time is up, and closes connections that stand idle.
    pub(in crate::routing) fn overdue(&mut self) {
        while let Some((_, key)) = self.limits.first().copied().filter(|(at, _)| *at <= self.now) {
            self.limits.pop_first();
            let waited = self.calls.get(&key).is_some_and(|c| c.until <= self.now || c.roomless);
            let unsent = if waited { Outcome::NeverSent } else { Outcome::Unreachable };
            self.give_up(key, unsent, Outcome::TimedOut);
        }
        for c in self.connections.values_mut() {
            let since = c.lane.reads_since().filter(|_| !c.retired);
            if since.is_some_and(|since| self.now >= since + self.dial_limit) {
                // A frame that has begun and does not go on brings nothing more.
                log::warn!("a frame from {} does not end: its connection is dropped", c.server);
                c.end();
            } else if c.out.is_empty() {
                c.retired |= c.silent(self.now, self.dial_limit);
                c.forget_if_done();
            }
        }
        if self.now < self.idle_look {
            return;
        }
        self.idle_look = self.now + self.idle_limit.mul_f64(IDLE_LOOK_SHARE);
        for c in self.connections.values_mut() {
            c.retired |= c.up && self.now >= c.used + self.idle_limit.mul_f64(IDLE_SHARE);
            c.forget_if_done();
        }
    }

    /// Finds the leaf call that an answer belongs to; none if it was given up before.
    pub(in crate::routing) fn answered(&mut self, lane: u64, id: &str, outcome: Outcome) -> Option<Ended> {
        let c = self.connections.get_mut(&lane)?;
        let asked = c.out.remove_entry(id);
        (c.used, c.quiet) = (self.now, Some(self.now).filter(|_| !c.out.is_empty()));
        let Some((id, key)) = asked else {
            if let Some(at) = c.late.iter().position(|(late, _)| &**late == id) {
                c.late.remove(at);
            } else if c.answered.as_deref() == Some(id) {
                // The answer was good, and so are those that the connection still owes.
                c.retired = true;
                c.forget_if_done();
            } else {
                log::warn!("a server answered {id:?}, which was not asked of it here");
                c.end();
            }
            return None;
        };
        c.answered = Some(id);
        c.forget_if_done();
        let call = self.drop_call(key)?;
        Some(Ended { key, server: call.server, outcome })
    }
}
