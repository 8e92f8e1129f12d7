//! The directory of one process: its entries, and the application of updates to them.
//!
//! Invariants: the rank of an entry only increases, except that a new term of the orphan monitor invalidates
//! declarations under earlier terms (see [`ServerTable::insert`] and [`NodeTable::insert`]); the epoch of the
//! membership and the term of the orphan monitor only increase (see [`Directory::raise_term`]).

mod anti_entropy;
mod departures;
mod heartbeat_monitor;
mod node_table;
mod orphans;
mod server_table;
mod server_updates;

use std::time::Duration;

use ashvane_identifiers::{NodeName, ServerId};
use ashvane_quorum::Membership;

use self::heartbeat_monitor::HeartbeatMonitor;
use self::node_table::NodeTable;
use self::orphans::OrphanTracker;
use self::server_table::ServerTable;
use crate::digest::EntryDigests;
use crate::inference::InferenceLog;
use crate::{
    InferenceCounters, InferredTermination, Liveness, LivenessAuthority, Node, OrphanMonitorTerm, Server,
    Update,
};

/// Time since the previous tick above which this process was stalled and could not receive heartbeats.
const STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// Time for which the complete entry of a terminated server, or of a gateway that is down, is kept and sent
/// to processes that lack it. After that, a tombstone replaces it, so that late updates cannot restore the
/// entry.
const DEPARTED_ENTRY_RETENTION: Duration = Duration::from_secs(600);

/// The directory of one process. All times are relative to the start of the process. Updates returned by a
/// method have been applied to this directory, and the caller sends them to the peers.
pub struct Directory {
    own: Node,
    nodes: NodeTable,
    servers: ServerTable,
    heartbeats: HeartbeatMonitor,
    orphan_tracker: OrphanTracker,
    membership: Membership,
    /// Highest known term. Declarations under earlier terms are invalid.
    orphan_monitor_term: OrphanMonitorTerm,
    last_tick: Duration,
    /// Number that increases with each change.
    revision: u64,
    digests: EntryDigests,
    inferences: InferenceLog,
    /// Departures since the last call of [`Directory::take_departures`].
    new_departures: Vec<Server>,
}

impl Directory {
    /// Creates a directory that contains only this process. Servers send a heartbeat every
    /// `heartbeat_interval`.
    #[must_use]
    pub fn new(own: Node, heartbeat_interval: Duration, now: Duration) -> Self {
        let mut directory = Directory {
            own: own.clone(),
            nodes: NodeTable::default(),
            servers: ServerTable::default(),
            heartbeats: HeartbeatMonitor::new(heartbeat_interval),
            orphan_tracker: OrphanTracker::new(heartbeat_interval),
            membership: Membership::default(),
            orphan_monitor_term: OrphanMonitorTerm::default(),
            last_tick: now,
            revision: 0,
            digests: EntryDigests::default(),
            inferences: InferenceLog::default(),
            new_departures: Vec::new(),
        };
        directory.insert_node(own, now);
        directory
    }

    /// Returns the entry of this process.
    #[must_use]
    pub fn own_node(&self) -> &Node {
        &self.own
    }

    /// Returns all known processes, including this one.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter()
    }

    /// Returns the entry of a process.
    #[must_use]
    pub fn node(&self, name: &NodeName) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// Returns all known servers, including recently terminated ones.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// Returns the servers that have not terminated.
    pub fn running_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| !server.is_terminated())
    }

    /// Returns the entry of a server.
    #[must_use]
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns what is known of a server: its entry, or that it has terminated if only its tombstone is left.
    #[must_use]
    pub fn server_or_tombstone(&self, id: &ServerId) -> Option<Server> {
        let tombstone = || self.servers.has_tombstone(id).then(|| self.terminated_server(id));
        self.servers.get(id).cloned().or_else(tombstone)
    }

    /// Returns the newest known membership.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the highest known term of the orphan monitor.
    #[must_use]
    pub fn orphan_monitor_term(&self) -> &OrphanMonitorTerm {
        &self.orphan_monitor_term
    }

    /// Returns a number that increases with each change of the directory.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the number of gateways that share the common budgets: those that are up or went down recently.
    /// A gateway that went down may restart and use its share before other processes know.
    #[must_use]
    pub fn gateways_sharing_budgets(&self, now: Duration) -> usize {
        self.nodes.gateways_sharing_budgets(now)
    }

    /// Returns the number of tombstones.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.servers.tombstone_count() + self.nodes.tombstone_count()
    }

    /// Returns what this process has inferred about servers, in numbers since its start.
    #[must_use]
    pub fn inference_counters(&self) -> InferenceCounters {
        self.inferences.counters()
    }

    /// Returns the servers that were inferred to have terminated since the last call.
    pub fn take_inferred_terminations(&mut self) -> Vec<InferredTermination> {
        self.inferences.take_unreported()
    }

    /// Returns the term with which this process may take the role of the orphan monitor, which is higher than
    /// every known term. Returns `None` while the known membership is older than the highest known term.
    #[must_use]
    pub fn next_orphan_monitor_term(&self) -> Option<OrphanMonitorTerm> {
        let (epoch, known) = (self.membership.epoch, &self.orphan_monitor_term);
        if known.epoch > epoch {
            return None;
        }
        let round = if known.epoch == epoch { known.round + 1 } else { 1 };
        Some(OrphanMonitorTerm { epoch, round, holder: self.own.name.clone() })
    }

    /// Whether there is a server that the orphan monitor should declare timed out.
    #[must_use]
    pub fn has_orphans(&self, now: Duration) -> bool {
        self.servers.iter().any(|server| self.orphan_tracker.is_overdue(server, &self.nodes, now))
    }

    /// Applies an update if it is newer than the stored state. Returns the updates to send to the peers: the
    /// changed entries, or the refutation of an update about this process.
    pub fn apply(&mut self, update: Update, now: Duration) -> Vec<Update> {
        match update {
            Update::Membership(membership) => self.apply_membership(membership, now),
            Update::OrphanMonitor(term) => self.raise_term(term, now),
            Update::Node(node) if node.name == self.own.name => self.apply_own_node(&node, now),
            Update::Node(node) => self.apply_node(node, now),
            Update::Server(server) => self.apply_server(server, now),
        }
    }

    fn apply_membership(&mut self, membership: Membership, now: Duration) -> Vec<Update> {
        if membership.epoch <= self.membership.epoch {
            return Vec::new();
        }
        let term = OrphanMonitorTerm::start_of(membership.epoch);
        self.membership = membership.clone();
        self.revision += 1;
        let mut changed = vec![Update::Membership(membership)];
        changed.extend(self.raise_term(term, now));
        changed
    }

    /// Sets a higher term of the orphan monitor. This invalidates the declarations under earlier terms, and
    /// the affected servers are returned as alive. No other method changes the term.
    fn raise_term(&mut self, term: OrphanMonitorTerm, now: Duration) -> Vec<Update> {
        if term <= self.orphan_monitor_term {
            return Vec::new();
        }
        let difference = self.orphan_monitor_term.digest() ^ term.digest();
        self.digests.toggle(OrphanMonitorTerm::ENTRY_NAME, difference);
        self.orphan_monitor_term = term.clone();
        self.revision += 1;
        let invalidated = self.servers.iter().filter(|server| !server.liveness.is_valid_in(&term));
        let alive: Vec<Server> =
            invalidated.map(|server| Server { liveness: Liveness::Alive, ..server.clone() }).collect();
        let mut changed = vec![Update::OrphanMonitor(term)];
        for server in alive {
            self.insert_server(server.clone(), now);
            changed.push(Update::Server(server));
        }
        changed
    }

    /// Handles an update about this process from a peer. Refutes it if it states that this process is down or
    /// has another incarnation.
    fn apply_own_node(&mut self, node: &Node, now: Duration) -> Vec<Update> {
        let needs_refutation = node.incarnation != self.own.incarnation || node.is_down;
        if !needs_refutation || node.rank() < self.own.rank() {
            return Vec::new();
        }
        self.own.generation = node.generation + 1;
        self.insert_node(self.own.clone(), now);
        vec![Update::Node(self.own.clone())]
    }

    fn apply_node(&mut self, node: Node, now: Duration) -> Vec<Update> {
        if self.nodes.is_stale(&node) {
            return Vec::new();
        }
        self.insert_node(node.clone(), now);
        vec![Update::Node(node)]
    }

    /// Records that a process monitored by this one does not respond.
    pub fn mark_down(&mut self, name: &NodeName, now: Duration) -> Vec<Update> {
        let node = self.nodes.get(name).filter(|node| !node.is_down && node.name != self.own.name);
        let Some(node) = node else { return Vec::new() };
        let node = Node { is_down: true, ..node.clone() };
        self.insert_node(node.clone(), now);
        vec![Update::Node(node)]
    }

    /// Detects servers that have timed out or terminated, as far as `authority` permits, and expires old
    /// entries. Must be called a few times per second.
    pub fn tick(&mut self, authority: &LivenessAuthority, now: Duration) -> Vec<Update> {
        let was_stalled = now.saturating_sub(self.last_tick) > STALL_THRESHOLD;
        self.last_tick = now;
        if was_stalled || *authority == LivenessAuthority::None {
            // Heartbeats could not be received, so the counting of missed ones restarts.
            self.heartbeats.restart(now);
        }
        self.servers.expire(now);
        self.nodes.expire(&self.own.name, now);
        if *authority == LivenessAuthority::None {
            return Vec::new();
        }
        self.orphan_tracker.track_unknown_monitors(&self.servers, &self.nodes, now);
        let mut changed = self.newly_timed_out(authority, now);
        changed.extend(self.newly_terminated(authority, now));
        for server in &changed {
            self.insert_server(server.clone(), now);
        }
        changed.into_iter().map(Update::Server).collect()
    }

    fn insert_node(&mut self, node: Node, now: Duration) {
        self.orphan_tracker.remove_unknown_monitor(&node.name);
        self.nodes.insert(node, &mut self.digests, now);
        self.revision += 1;
    }

    fn insert_server(&mut self, server: Server, now: Duration) {
        if server.is_terminated() {
            self.heartbeats.forget(&server.id);
        }
        self.record_departure(&server);
        self.servers.insert(server, &self.orphan_monitor_term, &mut self.digests, now);
        self.revision += 1;
    }
}
