//! Monitoring of the servers that send their heartbeats to this process.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_identifiers::ServerId;

use crate::{Heartbeat, Server};

/// Number of consecutive missed heartbeats after which a server has timed out. One or two are lost when a
/// server switches to another control node.
pub(super) const MAX_MISSED_HEARTBEATS: u32 = 5;

struct LastHeartbeat {
    received_at: Duration,
    sequence: u64,
}

/// The last heartbeat that this process received from each server.
pub(super) struct HeartbeatMonitor {
    interval: Duration,
    last_heartbeats: BTreeMap<ServerId, LastHeartbeat>,
}

impl HeartbeatMonitor {
    pub(super) fn new(interval: Duration) -> Self {
        HeartbeatMonitor { interval, last_heartbeats: BTreeMap::new() }
    }

    /// Returns the sequence number of the last heartbeat that this process received from a server.
    pub(super) fn last_sequence(&self, id: &ServerId) -> Option<u64> {
        self.last_heartbeats.get(id).map(|last| last.sequence)
    }

    /// Whether this heartbeat or a later one has already been received.
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

    /// Restarts the counting of missed heartbeats, after a period in which none could be received.
    pub(super) fn restart(&mut self, now: Duration) {
        self.last_heartbeats.values_mut().for_each(|last| last.received_at = now);
    }

    /// Returns the sequence number of the last heartbeat of a server if the server has timed out. For a
    /// server of which no heartbeat has been received yet, as after a restart of this process, the time-out
    /// starts now.
    pub(super) fn last_sequence_if_overdue(&mut self, server: &Server, now: Duration) -> Option<u64> {
        let initial = || LastHeartbeat { received_at: now, sequence: server.heartbeat_sequence };
        let last = self.last_heartbeats.entry(server.id.clone()).or_insert_with(initial);
        let deadline = last.received_at + self.interval * MAX_MISSED_HEARTBEATS;
        (deadline < now).then_some(last.sequence)
    }
}
