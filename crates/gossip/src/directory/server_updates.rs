//! Updates of servers: heartbeats, entries from peers, and what this process infers from missed heartbeats and
//! from addresses that are in use.

use std::time::Duration;

use ashvane_identifiers::ServerId;

use super::Directory;
use crate::{Heartbeat, Liveness, LivenessAuthority, Server, ServerState, TerminationEvidence, Update};

impl Directory {
    /// Applies the entry of a server from a peer if it is newer than the stored one.
    pub(super) fn apply_server(&mut self, server: Server, now: Duration) -> Vec<Update> {
        let mut server = server.with_inference_of_earlier_release();
        let mut changed = Vec::new();
        if let Liveness::DeclaredTimedOut(term) = &server.liveness {
            changed = self.raise_term(term.clone(), now);
        }
        // A declaration under an earlier term is invalid, but the heartbeat on which the entry is based
        // remains valid.
        if !server.liveness.is_valid_in(&self.orphan_monitor_term) {
            server.liveness = Liveness::Alive;
        }
        if self.servers.is_stale(&server) {
            return changed;
        }
        let is_known_by_id_only = server.service.is_empty() && server.is_terminated();
        if let Some(known) = self.servers.get(&server.id).filter(|_| is_known_by_id_only) {
            server = known.with_reported_termination();
        }
        // An entry that is not based on a heartbeat, such as one restored from a disk, does not show which of
        // two servers at an address is newer. Neither does a new entry beside an available server: that one
        // resolves the doubt itself, by responding with status 421.
        let is_new_and_alive =
            self.servers.get(&server.id).is_none() && !server.is_terminated() && !server.has_timed_out();
        if is_new_and_alive {
            let evidence = TerminationEvidence::Update(server.id.clone());
            changed.extend(self.terminate_others_at(&server, evidence, |other| !other.is_available(), now));
        }
        self.insert_server(server.clone(), now);
        changed.push(Update::Server(server));
        changed
    }

    /// Infers that other servers at the address of a server have terminated, since each address has one
    /// server. `may_terminate` selects those for which the evidence suffices.
    fn terminate_others_at(
        &mut self, server: &Server, evidence: TerminationEvidence, may_terminate: impl Fn(&Server) -> bool,
        now: Duration,
    ) -> Vec<Update> {
        let others = self.servers.servers_at(&server.address);
        let others = others.filter(|other| other.id != server.id && may_terminate(other));
        let terminated: Vec<Server> = others.map(|other| self.terminated_by_inference(other)).collect();
        for other in &terminated {
            self.inferences.termination_inferred(&other.id, evidence.clone());
            self.insert_server(other.clone(), now);
        }
        terminated.into_iter().map(Update::Server).collect()
    }

    /// Returns the entry of a server after its termination was inferred. It is based on the last heartbeat
    /// that this process has received, so that only a later one refutes the inference.
    fn terminated_by_inference(&self, server: &Server) -> Server {
        let received = self.heartbeats.last_sequence(&server.id).unwrap_or(0);
        let heartbeat_sequence = server.heartbeat_sequence.max(received);
        Server { heartbeat_sequence, ..server.with_inferred_termination() }
    }

    /// Records a heartbeat received by this process. It shows that the server runs: unless the server has
    /// reported its termination, or the heartbeat is late, it restores a server that was inferred to have
    /// terminated.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) -> Vec<Update> {
        let known = self.servers.get(&heartbeat.id);
        let has_terminated = known.is_some_and(|known| {
            known.has_reported_termination() || (known.is_terminated() && is_covered(known, &heartbeat))
        });
        if has_terminated || self.servers.has_tombstone_covering(&heartbeat) {
            self.inferences.heartbeat_ignored();
            return Vec::new();
        }
        let is_late = self.heartbeats.is_late(&heartbeat);
        let known_sequence = known.map_or(0, |server| server.heartbeat_sequence);
        if heartbeat.state < ServerState::Terminated && !is_late {
            self.heartbeats.record(&heartbeat, now);
        }
        if known.is_some_and(|known| self.is_redundant(known, &heartbeat, is_late)) {
            return Vec::new();
        }
        let state = known.map_or(heartbeat.state, |known| known.reported_state().max(heartbeat.state));
        let server = Server {
            heartbeat_sequence: known_sequence.max(heartbeat.sequence),
            id: heartbeat.id,
            service: heartbeat.service,
            address: heartbeat.address,
            zone: heartbeat.zone,
            capacity: heartbeat.capacity,
            state,
            inferred_from: None,
            liveness: Liveness::Alive,
            monitor: self.own.name.clone(),
        };
        let mut changed = self.terminate_predecessors(&server, now);
        self.insert_server(server.clone(), now);
        changed.push(Update::Server(server));
        changed
    }

    /// Infers which other servers at its address have terminated, when a server sends a heartbeat that
    /// changes its entry. The first heartbeat of a server shows that all others there have. A heartbeat of a
    /// known server may be late, so it shows this only of those that have timed out.
    fn terminate_predecessors(&mut self, server: &Server, now: Duration) -> Vec<Update> {
        if server.is_terminated() {
            return Vec::new();
        }
        let is_new = self.servers.get(&server.id).is_none();
        let evidence = TerminationEvidence::Heartbeat(server.id.clone());
        self.terminate_others_at(server, evidence, |other| is_new || other.has_timed_out(), now)
    }

    /// Whether a heartbeat adds nothing to the stored entry: the entry is based on this heartbeat or on a
    /// later one that another control node received, or it already names a live server monitored by this
    /// process.
    fn is_redundant(&self, known: &Server, heartbeat: &Heartbeat, is_late: bool) -> bool {
        let is_unchanged = !known.is_terminated() && !known.has_timed_out() && known.monitor == self.own.name;
        let has_news = known.reported_state() < heartbeat.state;
        !has_news && (is_late || is_unchanged || is_covered(known, heartbeat))
    }

    /// Records that a server has deregistered. An unknown server is also stored as terminated.
    pub fn deregister(&mut self, id: &ServerId, now: Duration) -> Vec<Update> {
        let known = self.servers.get(id);
        if known.is_some_and(Server::has_reported_termination) || self.servers.has_tombstone(id) {
            return Vec::new();
        }
        let server =
            known.map_or_else(|| self.terminated_server(id), |known| known.with_reported_termination());
        self.insert_server(server.clone(), now);
        vec![Update::Server(server)]
    }

    /// Returns the entry of a terminated server of which only the identifier is known.
    pub(super) fn terminated_server(&self, id: &ServerId) -> Server {
        Server {
            id: id.clone(),
            service: "".into(),
            address: "".into(),
            zone: "".into(),
            capacity: 0,
            state: ServerState::Terminated,
            inferred_from: None,
            heartbeat_sequence: 0,
            liveness: Liveness::Alive,
            monitor: self.own.name.clone(),
        }
    }

    /// Returns the servers that have timed out since the last tick.
    pub(super) fn newly_timed_out(&mut self, authority: &LivenessAuthority, now: Duration) -> Vec<Server> {
        let alive = self.servers.iter().filter(|server| !server.is_terminated() && !server.has_timed_out());
        let mut timed_out = Vec::new();
        for server in alive {
            if server.monitor == self.own.name {
                if let Some(last_sequence) = self.heartbeats.last_sequence_if_overdue(server, now) {
                    timed_out.push(Server {
                        liveness: Liveness::TimedOut,
                        heartbeat_sequence: server.heartbeat_sequence.max(last_sequence),
                        ..server.clone()
                    });
                }
            } else if let LivenessAuthority::MonitoredAndOrphans(term) = authority
                && *term == self.orphan_monitor_term
                && self.orphan_tracker.is_overdue(server, &self.nodes, now)
            {
                timed_out
                    .push(Server { liveness: Liveness::DeclaredTimedOut(term.clone()), ..server.clone() });
            }
        }
        timed_out
    }

    /// Returns the servers that timed out earlier and are confirmed to have terminated, as far as this process
    /// monitors them or the server that has their address.
    pub(super) fn newly_terminated(&mut self, authority: &LivenessAuthority, now: Duration) -> Vec<Server> {
        let may_terminate_all = matches!(authority, LivenessAuthority::MonitoredAndOrphans(_));
        let is_monitored = |server: &Server| server.monitor == self.own.name;
        let mut terminated = Vec::new();
        for (server, evidence) in self.servers.confirmed_terminated(now) {
            let has_monitored_successor =
                || self.servers.servers_at(&server.address).any(|s| s.is_available() && is_monitored(s));
            if may_terminate_all || is_monitored(server) || has_monitored_successor() {
                self.inferences.termination_inferred(&server.id, evidence);
                terminated.push(self.terminated_by_inference(server));
            }
        }
        terminated
    }
}

/// Whether the stored entry of a server is based on this heartbeat or on a later one.
fn is_covered(known: &Server, heartbeat: &Heartbeat) -> bool {
    known.heartbeat_sequence >= heartbeat.sequence && known.reported_state() >= heartbeat.state
}
