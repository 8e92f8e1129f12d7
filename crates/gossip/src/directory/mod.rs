//! What one process knows, and how it changes.
//!
//! Invariants: an entry's rank only rises, but that a statement about a server's liveness under an earlier term of the
//! orphan monitor is void ([`ServerTable::insert`], [`NodeTable::insert`]); the epoch of the membership and the term of the
//! orphan monitor only rise ([`Directory::raise_term`]).

mod anti_entropy;
mod heartbeat_monitor;
mod node_table;
mod orphans;
mod server_table;

use std::time::Duration;

use ashvane_identifiers::{Address, NodeName, ServerId};
use ashvane_quorum::Membership;

use self::heartbeat_monitor::HeartbeatMonitor;
use self::node_table::NodeTable;
use self::orphans::Orphans;
use self::server_table::ServerTable;
use crate::digest::EntryDigests;
use crate::{Heartbeat, Liveness, LivenessAuthority, Node, OrphanMonitorTerm, Server, ServerState, Update};

/// A tick this much later than the one before shows that this process was stalled, and received nothing.
const STALL_THRESHOLD: Duration = Duration::from_millis(1500);
/// Time for which the complete entry of a server that terminated, or of a gateway that is down, is sent to processes that
/// lack it. After that a tombstone remains, so that late updates cannot bring it back.
const DEPARTED_ENTRY_RETENTION: Duration = Duration::from_secs(600);

/// What one process knows. All times are since the start of the process; what a method returns as updates has changed here
/// and is to be spread.
pub struct Directory {
    own: Node,
    nodes: NodeTable,
    servers: ServerTable,
    heartbeats: HeartbeatMonitor,
    orphans: Orphans,
    membership: Membership,
    /// The highest term that is known: what was declared under an earlier one is void.
    orphan_monitor_term: OrphanMonitorTerm,
    last_tick: Duration,
    /// Rises with each change.
    revision: u64,
    digests: EntryDigests,
}

impl Directory {
    /// A directory in which only this process stands. Servers send a heartbeat each `heartbeat_interval`.
    #[must_use]
    pub fn new(own: Node, heartbeat_interval: Duration, now: Duration) -> Self {
        let mut directory = Directory {
            own: own.clone(),
            nodes: NodeTable::default(),
            servers: ServerTable::default(),
            heartbeats: HeartbeatMonitor::new(heartbeat_interval),
            orphans: Orphans::new(heartbeat_interval),
            membership: Membership::default(),
            orphan_monitor_term: OrphanMonitorTerm::default(),
            last_tick: now,
            revision: 0,
            digests: EntryDigests::default(),
        };
        directory.insert_node(own, now);
        directory
    }

    /// This process.
    #[must_use]
    pub fn own_node(&self) -> &Node {
        &self.own
    }

    /// All processes that are known, this one among them.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter()
    }

    /// The entry of a process.
    #[must_use]
    pub fn node(&self, name: &NodeName) -> Option<&Node> {
        self.nodes.get(name)
    }

    /// All servers that are known, those that terminated a short time ago among them.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// Servers that have not terminated.
    pub fn running_servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter().filter(|server| !server.is_terminated())
    }

    /// The entry of a server.
    #[must_use]
    pub fn server(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// The newest membership that is known.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The highest term of the orphan monitor that is known.
    #[must_use]
    pub fn orphan_monitor_term(&self) -> &OrphanMonitorTerm {
        &self.orphan_monitor_term
    }

    /// Rises with each change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// How many gateways share the budgets that hold for all: those that are up, or went down a short time ago. One that is
    /// down may be back before others know, and uses its share.
    #[must_use]
    pub fn gateways_sharing_budgets(&self, now: Duration) -> usize {
        self.nodes.gateways_sharing_budgets(now)
    }

    /// How many tombstones are kept beside the entries.
    #[must_use]
    pub fn tombstone_count(&self) -> usize {
        self.servers.tombstone_count() + self.nodes.tombstone_count()
    }

    /// The term under which this process may take the role of the orphan monitor: above all that it knows. None while
    /// others know a later membership.
    #[must_use]
    pub fn next_orphan_monitor_term(&self) -> Option<OrphanMonitorTerm> {
        let (epoch, known) = (self.membership.epoch, &self.orphan_monitor_term);
        if known.epoch > epoch {
            return None;
        }
        let round = if known.epoch == epoch { known.round + 1 } else { 1 };
        Some(OrphanMonitorTerm { epoch, round, holder: self.own.name.clone() })
    }

    /// Whether the orphan monitor would have a server to declare timed out.
    #[must_use]
    pub fn has_orphans(&self, now: Duration) -> bool {
        self.servers.iter().any(|server| self.orphans.is_overdue(server, &self.nodes, now))
    }

    /// Applies an update if it is newer than what is known. Returns what is to be spread: the entry itself, or what had to
    /// be said against it.
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

    /// The one place where the term of the orphan monitor changes: it only rises. All that was declared under earlier terms
    /// is void from here on; those servers are returned as alive.
    fn raise_term(&mut self, term: OrphanMonitorTerm, now: Duration) -> Vec<Update> {
        if term <= self.orphan_monitor_term {
            return Vec::new();
        }
        let difference = self.orphan_monitor_term.digest() ^ term.digest();
        self.digests.toggle(OrphanMonitorTerm::ENTRY_NAME, difference);
        self.orphan_monitor_term = term.clone();
        self.revision += 1;
        let void = self.servers.iter().filter(|server| !server.liveness.is_valid_in(&term));
        let alive: Vec<Server> =
            void.map(|server| Server { liveness: Liveness::Alive, ..server.clone() }).collect();
        let mut changed = vec![Update::OrphanMonitor(term)];
        for server in alive {
            self.insert_server(server.clone(), now);
            changed.push(Update::Server(server));
        }
        changed
    }

    /// Others speak of this process. Where they take it for down, or for an earlier incarnation, it refutes that.
    fn apply_own_node(&mut self, node: &Node, now: Duration) -> Vec<Update> {
        let is_wrong = node.incarnation != self.own.incarnation || node.is_down;
        if !is_wrong || node.rank() < self.own.rank() {
            return Vec::new();
        }
        self.own.generation = node.generation + 1;
        self.insert_node(self.own.clone(), now);
        vec![Update::Node(self.own.clone())]
    }

    fn apply_node(&mut self, node: Node, now: Duration) -> Vec<Update> {
        if self.nodes.has_seen(&node) {
            return Vec::new();
        }
        self.insert_node(node.clone(), now);
        vec![Update::Node(node)]
    }

    fn apply_server(&mut self, mut server: Server, now: Duration) -> Vec<Update> {
        let mut changed = Vec::new();
        if let Liveness::DeclaredTimedOut(term) = &server.liveness {
            changed = self.raise_term(term.clone(), now);
        }
        // What was declared under an earlier term is void; that its heartbeat was received before stands.
        if !server.liveness.is_valid_in(&self.orphan_monitor_term) {
            server.liveness = Liveness::Alive;
        }
        if self.servers.has_seen(&server) {
            return changed;
        }
        let is_known_by_id_only = server.service.is_empty() && server.is_terminated();
        if let Some(known) = self.servers.get(&server.id).filter(|_| is_known_by_id_only) {
            server = Server { state: ServerState::Terminated, ..known.clone() };
        }
        changed.extend(self.release_address(&server.id, &server.address, server.state, now));
        self.insert_server(server.clone(), now);
        changed.push(Update::Server(server));
        changed
    }

    /// An address has one server: the one that was heard of last. A new one terminates the one before.
    fn release_address(
        &mut self, id: &ServerId, address: &Address, state: ServerState, now: Duration,
    ) -> Vec<Update> {
        let is_new = self.servers.get(id).is_none() && state < ServerState::Terminated;
        if !is_new {
            return Vec::new();
        }
        let Some(previous) = self.servers.at(address).filter(|previous| previous.id != *id) else {
            return Vec::new();
        };
        // Of two that nobody has heard together, the one that is heard of as new may be the older one: only a server that
        // has timed out or is draining is certain to have ended; else the server itself says so, by status 421.
        if previous.is_available() && !self.heartbeats.monitors(id) {
            return Vec::new();
        }
        let terminated = Server { state: ServerState::Terminated, ..previous.clone() };
        self.insert_server(terminated.clone(), now);
        vec![Update::Server(terminated)]
    }

    /// Records a heartbeat that this process received.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> Vec<Update> {
        let known = self.servers.get(&heartbeat.id);
        if known.is_some_and(Server::is_terminated) || self.servers.is_tombstone_above(&heartbeat) {
            return Vec::new();
        }
        let is_late = self.heartbeats.is_late(&heartbeat);
        let known_sequence = known.map_or(0, |server| server.heartbeat_sequence);
        if heartbeat.state < ServerState::Terminated && !is_late {
            self.heartbeats.record(&heartbeat, now);
        }
        if known.is_some_and(|known| self.adds_nothing(known, &heartbeat, is_late)) {
            return Vec::new();
        }
        let state = known.map_or(heartbeat.state, |known| known.state.max(heartbeat.state));
        let mut changed = self.release_address(&heartbeat.id, &heartbeat.address, heartbeat.state, now);
        let server = Server {
            heartbeat_sequence: known_sequence.max(heartbeat.sequence),
            id: heartbeat.id,
            service: heartbeat.service,
            address: heartbeat.address,
            zone: heartbeat.zone,
            capacity: heartbeat.capacity,
            state,
            liveness: Liveness::Alive,
            monitor: self.own.name.clone(),
        };
        self.insert_server(server.clone(), now);
        changed.push(Update::Server(server));
        changed
    }

    /// Whether others know all that a heartbeat says: the entry stems from it, or from a later one that came elsewhere, or
    /// it changes nothing.
    fn adds_nothing(&self, known: &Server, heartbeat: &Heartbeat, is_late: bool) -> bool {
        let stems_from_it = known.heartbeat_sequence >= heartbeat.sequence;
        let changes_nothing = !known.has_timed_out() && known.monitor == self.own.name;
        known.state >= heartbeat.state && (is_late || stems_from_it || changes_nothing)
    }

    /// Records that a server has said that it ends. One that nobody knows is remembered as terminated all the same.
    pub fn deregister(&mut self, id: &ServerId, now: Duration) -> Vec<Update> {
        if self.servers.get(id).is_some_and(Server::is_terminated) || self.servers.has_tombstone(id) {
            return Vec::new();
        }
        let known = self.servers.get(id).cloned().unwrap_or_else(|| self.terminated_server(id));
        let server = Server { state: ServerState::Terminated, liveness: Liveness::Alive, ..known };
        self.insert_server(server.clone(), now);
        vec![Update::Server(server)]
    }

    /// A server of which only the id is known, and that it has terminated.
    fn terminated_server(&self, id: &ServerId) -> Server {
        Server {
            id: id.clone(),
            service: "".into(),
            address: "".into(),
            zone: "".into(),
            capacity: 0,
            state: ServerState::Terminated,
            heartbeat_sequence: 0,
            liveness: Liveness::Alive,
            monitor: self.own.name.clone(),
        }
    }

    /// Records that a process which is watched from here does not respond.
    pub fn mark_down(&mut self, name: &NodeName, now: Duration) -> Vec<Update> {
        let node = self.nodes.get(name).filter(|node| !node.is_down && node.name != self.own.name);
        let Some(node) = node else { return Vec::new() };
        let node = Node { is_down: true, ..node.clone() };
        self.insert_node(node.clone(), now);
        vec![Update::Node(node)]
    }

    /// Finds servers that have timed out or ended, as far as this process may say so, and forgets what has been gone for
    /// long. To be called a few times a second.
    pub fn tick(&mut self, authority: &LivenessAuthority, now: Duration) -> Vec<Update> {
        let was_stalled = now.saturating_sub(self.last_tick) > STALL_THRESHOLD;
        self.last_tick = now;
        if was_stalled || *authority == LivenessAuthority::None {
            // No heartbeat could be received: missed ones are counted anew.
            self.heartbeats.restart(now);
        }
        self.servers.expire(now);
        self.nodes.expire(&self.own.name, now);
        if *authority == LivenessAuthority::None {
            return Vec::new();
        }
        self.orphans.track_unknown_monitors(&self.servers, &self.nodes, now);
        let mut changed = self.newly_timed_out(authority, now);
        changed.extend(self.newly_terminated(authority, now));
        for server in &changed {
            self.insert_server(server.clone(), now);
        }
        changed.into_iter().map(Update::Server).collect()
    }

    /// Servers that have missed too many heartbeats since the last tick.
    fn newly_timed_out(&mut self, authority: &LivenessAuthority, now: Duration) -> Vec<Server> {
        let alive = self.servers.iter().filter(|server| !server.is_terminated() && !server.has_timed_out());
        let mut timed_out = Vec::new();
        for server in alive {
            if server.monitor == self.own.name {
                if let Some(last_sequence) = self.heartbeats.overdue_since(server, now) {
                    timed_out.push(Server {
                        liveness: Liveness::TimedOut,
                        heartbeat_sequence: server.heartbeat_sequence.max(last_sequence),
                        ..server.clone()
                    });
                }
            } else if let LivenessAuthority::MonitoredAndOrphans(term) = authority
                && *term == self.orphan_monitor_term
                && self.orphans.is_overdue(server, &self.nodes, now)
            {
                timed_out
                    .push(Server { liveness: Liveness::DeclaredTimedOut(term.clone()), ..server.clone() });
            }
        }
        timed_out
    }

    /// Servers that timed out before and have ended for certain.
    fn newly_terminated(&self, authority: &LivenessAuthority, now: Duration) -> Vec<Server> {
        let speaks_for_all = matches!(authority, LivenessAuthority::MonitoredAndOrphans(_));
        let speaks_for = |server: &&Server| speaks_for_all || server.monitor == self.own.name;
        let ended = self.servers.certainly_ended(now).filter(speaks_for);
        ended.map(|server| Server { state: ServerState::Terminated, ..server.clone() }).collect()
    }

    fn insert_node(&mut self, node: Node, now: Duration) {
        self.orphans.monitor_is_known(&node.name);
        self.nodes.insert(node, &mut self.digests, now);
        self.revision += 1;
    }

    fn insert_server(&mut self, server: Server, now: Duration) {
        if server.is_terminated() {
            self.heartbeats.forget(&server.id);
        }
        self.servers.insert(server, &self.orphan_monitor_term, &mut self.digests, now);
        self.revision += 1;
    }
}
