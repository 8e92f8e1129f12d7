//! When each server that sends its heartbeats to this process was heard last.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_identifiers::ServerId;

use crate::{Heartbeat, Server};

/// Heartbeats missed in a row after which a server has timed out: one or two are lost when it changes to another control
/// node.
pub(super) const MAX_MISSED_HEARTBEATS: u32 = 5;

struct LastHeartbeat {
    at: Duration,
    sequence: u64,
}

/// The heartbeats that this process received last.
pub(super) struct HeartbeatMonitor {
    interval: Duration,
    last: BTreeMap<ServerId, LastHeartbeat>,
}

impl HeartbeatMonitor {
    pub(super) fn new(interval: Duration) -> Self {
        HeartbeatMonitor { interval, last: BTreeMap::new() }
    }

    /// Whether a server has sent a heartbeat to this process.
    pub(super) fn monitors(&self, id: &ServerId) -> bool {
        self.last.contains_key(id)
    }

    /// Whether this heartbeat, or a later one, was received before.
    pub(super) fn is_late(&self, heartbeat: &Heartbeat) -> bool {
        self.last.get(&heartbeat.id).is_some_and(|last| last.sequence >= heartbeat.sequence)
    }

    pub(super) fn record(&mut self, heartbeat: &Heartbeat, now: Duration) {
        let last = LastHeartbeat { at: now, sequence: heartbeat.sequence };
        self.last.insert(heartbeat.id.clone(), last);
    }

    pub(super) fn forget(&mut self, id: &ServerId) {
        self.last.remove(id);
    }

    /// Counts missed heartbeats anew: for some time none could be received.
    pub(super) fn restart(&mut self, now: Duration) {
        self.last.values_mut().for_each(|last| last.at = now);
    }

    /// The sequence number of the last heartbeat of a server that has missed too many. One that is monitored here and was
    /// not heard yet, as after a restart, is waited for from now on.
    pub(super) fn overdue_since(&mut self, server: &Server, now: Duration) -> Option<u64> {
        let unheard = || LastHeartbeat { at: now, sequence: server.heartbeat_sequence };
        let last = self.last.entry(server.id.clone()).or_insert_with(unheard);
        let deadline = last.at + self.interval * MAX_MISSED_HEARTBEATS;
        (deadline < now).then_some(last.sequence)
    }
}
