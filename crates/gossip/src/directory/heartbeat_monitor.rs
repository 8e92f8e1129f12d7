//! When each server that sends its heartbeats to this process was heard last.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_identifiers::ServerId;

use crate::{Heartbeat, Server};

/// Heartbeats missed in a row after which a server has timed out: one or two are lost when it changes to another control
/// node.
pub(super) const MAX_MISSED_HEARTBEATS: u32 = 5;

struct LastHeartbeat {
    received_at: Duration,
    sequence: u64,
}

/// The heartbeats that this process received last.
pub(super) struct HeartbeatMonitor {
    interval: Duration,
    last_heartbeats: BTreeMap<ServerId, LastHeartbeat>,
}

impl HeartbeatMonitor {
    pub(super) fn new(interval: Duration) -> Self {
        HeartbeatMonitor { interval, last_heartbeats: BTreeMap::new() }
    }

    /// Whether a server has sent a heartbeat to this process.
    pub(super) fn is_monitored(&self, id: &ServerId) -> bool {
        self.last_heartbeats.contains_key(id)
    }

    /// Whether this heartbeat, or a later one, was received before.
    pub(super) fn is_late(&self, heartbeat: &Heartbeat) -> bool {
        self.last_heartbeats.get(&heartbeat.id).is_some_and(|last| last.sequence >= heartbeat.sequence)
    }

    pub(super) fn record(&mut self, heartbeat: &Heartbeat, now: Duration) {
        let last = LastHeartbeat { received_at: now, sequence: heartbeat.sequence };
        self.last_heartbeats.insert(heartbeat.id.clone(), last);
    }

    pub(super) fn forget(&mut self, id: &ServerId) {
        self.last_heartbeats.remove(id);
    }

    /// Counts missed heartbeats anew: for some time none could be received.
    pub(super) fn restart(&mut self, now: Duration) {
        self.last_heartbeats.values_mut().for_each(|last| last.received_at = now);
    }

    /// The sequence number of the last heartbeat of a server that has missed too many. One that is monitored here and was
    /// not heard yet, as after a restart, is waited for from now on.
    pub(super) fn last_sequence_if_overdue(&mut self, server: &Server, now: Duration) -> Option<u64> {
        let initial = || LastHeartbeat { received_at: now, sequence: server.heartbeat_sequence };
        let last = self.last_heartbeats.entry(server.id.clone()).or_insert_with(initial);
        let deadline = last.received_at + self.interval * MAX_MISSED_HEARTBEATS;
        (deadline < now).then_some(last.sequence)
    }
}
