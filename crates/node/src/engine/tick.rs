//! Periodic work of the engine.

use std::time::Duration;

use ashvane_gossip::{OrphanMonitorTerm, Update};

use super::{ClaimResult, Command, DialContext, Engine, Link, LogEvent, WaitState, is_first_control_node};

impl Engine {
    /// Performs all periodic work. To be called at each [`TICK_INTERVAL`](super::TICK_INTERVAL).
    pub fn tick(&mut self, now: Duration) {
        self.connect_to_peers(now);
        self.select_update_source(now);
        self.detect_failures(now);
        self.claim_orphan_monitor_if_due(now);
        self.detect_server_timeouts(now);
        self.answer_verifications(now);
        self.count_quorum_wait();
        self.read_register_if_due(now);
        self.report_replica();
        self.change_membership_if_due(now);
        self.save_servers_if_due(now);
        self.departures.expire(now);
        if self.anti_entropy.is_digest_due(now) {
            let links = self.links.iter().map(|(id, _)| id).collect();
            self.send_digest(links, now);
        }
    }

    fn connect_to_peers(&mut self, now: Duration) {
        self.dialer.expire(now);
        let is_useful = |link: &Link| match self.register {
            Some(_) => link.is_to_control_node(),
            None => self.readiness.is_useful_to_gateway(link, now),
        };
        let is_isolated = !self.links.iter().any(|(_, link)| is_useful(link));
        let context = DialContext {
            directory: &self.directory,
            links: &self.links,
            max_failures: self.max_failures,
            seeds: &self.seed_addresses(),
            is_isolated,
        };
        for address in self.dialer.addresses_to_dial(context) {
            if self.dialer.begin(&address, now) {
                self.commands.push(Command::Connect(address));
            }
        }
    }

    fn detect_failures(&mut self, now: Duration) {
        let has_contact = self.quorum_contact(now).exists();
        for name in self.failure_detector.tick(has_contact, &self.links, now) {
            let updates = self.directory.mark_down(&name, now);
            if !updates.is_empty() {
                self.log(LogEvent::NodeFailed { name });
            }
            self.disseminate(updates, None, now);
        }
    }

    fn claim_orphan_monitor_if_due(&mut self, now: Duration) {
        let is_first = self.is_control_node()
            && self.quorum_contact(now).exists()
            && is_first_control_node(&self.directory, &self.links);
        let is_claimable = self.orphan_monitor.is_claimable(is_first, &self.directory);
        if !is_claimable || !self.directory.has_orphans(now) {
            return;
        }
        let Some(term) = self.directory.next_orphan_monitor_term() else { return };
        self.orphan_monitor.claim_started();
        self.apply_updates(vec![Update::OrphanMonitor(term.clone())], None, now);
        self.commands.push(Command::ClaimOrphanMonitor(term));
    }

    /// Records the result of a claim to the orphan monitor role.
    pub fn orphan_monitor_claim_ended(&mut self, term: OrphanMonitorTerm, result: ClaimResult) {
        if result == ClaimResult::Acknowledged {
            self.log(LogEvent::OrphanMonitorClaimed { term: term.clone() });
        }
        self.orphan_monitor.claim_ended(term, result);
    }

    fn detect_server_timeouts(&mut self, now: Duration) {
        let has_contact = self.quorum_contact(now).exists();
        let authority = self.orphan_monitor.authority(has_contact, &self.directory);
        let updates = self.directory.tick(&authority, now);
        self.disseminate(updates, None, now);
        self.report_inferred_terminations();
    }

    fn report_inferred_terminations(&mut self) {
        let inferred = self.directory.take_inferred_terminations();
        let count = inferred.len();
        if let Some(first) = inferred.into_iter().next() {
            self.log(LogEvent::TerminationsInferred { count, first });
        }
    }

    fn count_quorum_wait(&mut self) {
        if self.readiness.tick() == WaitState::TimedOut {
            self.log(LogEvent::QuorumWaitTimedOut);
        }
    }

    fn save_servers_if_due(&mut self, now: Duration) {
        if self.is_control_node() && self.server_hints.should_save(self.directory.revision(), now) {
            let servers = self.directory.running_servers().cloned().collect();
            self.commands.push(Command::SaveServers(servers));
        }
    }
}
