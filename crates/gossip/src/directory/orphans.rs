//! Detection of orphans: servers whose control node is down or unknown, so that no process monitors their
//! heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_identifiers::NodeName;

use super::heartbeat_monitor::MAX_MISSED_HEARTBEATS;
use super::node_table::NodeTable;
use super::server_table::ServerTable;
use crate::Server;

/// Time within which the servers of a failed control node are expected to send their heartbeats to another
/// one.
const REASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Detects servers that have timed out after the failure of their control node.
pub(super) struct OrphanTracker {
    /// Time after which an orphan has timed out: the time to switch to another control node, plus the missed
    /// heartbeats.
    timeout: Duration,
    /// Unknown control nodes that are named by known servers, with the time at which each was first observed.
    unknown_monitors: BTreeMap<NodeName, Duration>,
}

impl OrphanTracker {
    pub(super) fn new(heartbeat_interval: Duration) -> Self {
        let timeout = REASSIGNMENT_TIMEOUT + heartbeat_interval * MAX_MISSED_HEARTBEATS;
        OrphanTracker { timeout, unknown_monitors: BTreeMap::new() }
    }

    /// Whether a server is an orphan that has timed out.
    pub(super) fn is_overdue(&self, server: &Server, nodes: &NodeTable, now: Duration) -> bool {
        let unreachable_since =
            nodes.down_since(&server.monitor).or_else(|| self.unknown_monitors.get(&server.monitor).copied());
        let is_overdue = unreachable_since.is_some_and(|since| since + self.timeout < now);
        is_overdue && !server.is_terminated() && !server.has_timed_out()
    }

    /// Records which control nodes are named by servers but not known themselves.
    pub(super) fn track_unknown_monitors(&mut self, servers: &ServerTable, nodes: &NodeTable, now: Duration) {
        let running = servers.iter().filter(|server| !server.is_terminated());
        let monitors: BTreeSet<&NodeName> = running.map(|server| &server.monitor).collect();
        self.unknown_monitors.retain(|monitor, _| monitors.contains(monitor));
        for monitor in monitors.into_iter().filter(|monitor| nodes.get(monitor).is_none()) {
            self.unknown_monitors.entry(monitor.clone()).or_insert(now);
        }
    }

    /// Records that a control node has become known.
    pub(super) fn remove_unknown_monitor(&mut self, name: &NodeName) {
        self.unknown_monitors.remove(name);
    }
}
