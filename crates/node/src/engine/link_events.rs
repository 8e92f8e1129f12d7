//! What happens on the links: they open and close, and messages come.

use std::time::Duration;

use ashvane_gossip::{Node, Update, select_peers};
use ashvane_identifiers::Address;

use super::{Command, Engine, RequestPath, UpdateAnswer};
use crate::links::{ConnectionEnd, Direction, LinkId, Message};

impl Engine {
    /// A peer has presented itself on a new connection.
    pub fn link_opened(&mut self, peer: Node, direction: Direction, now: Duration) -> LinkId {
        let link = self.links.open(peer.clone(), direction, now);
        for redundant in self.links.redundant_with(link, &self.directory.own_node().address) {
            if self.links.remove(redundant).is_some() {
                self.commands.push(Command::CloseLink(redundant));
            }
        }
        self.failure_detector.link_opened(peer.name.clone());
        self.dialer.link_opened(&peer.address);
        let (address, is_control_node) = (peer.address.clone(), peer.disk.is_some());
        self.apply_updates(vec![Update::Node(peer)], Some(link), now);
        self.send_digest(vec![link], now);
        self.verify_control_nodes(now);
        self.ask_for_acknowledgements();
        if let Some(report) = self.replica_report().filter(|_| is_control_node) {
            self.send(vec![link], Message::ReplicaReport(report));
            self.replica_reachable(&address, now);
        }
        link
    }

    /// A connection has ended, whoever ended it.
    pub fn link_closed(&mut self, link: LinkId) {
        self.links.counters.closed += 1;
        if let Some(link) = self.links.remove(link) {
            self.dialer.link_closed(&link.peer.address);
        }
    }

    /// An attempt to connect has ended, and with it the link if it led to one.
    pub fn connection_ended(&mut self, address: &Address, end: ConnectionEnd, now: Duration) {
        self.dialer.connection_ended(address, end, now);
    }

    /// A gateway has one control node that sends it updates: the first of its peers that is linked, and is in contact with a
    /// quorum if there is such a one.
    pub(super) fn select_update_source(&mut self, now: Duration) {
        if self.is_control_node() {
            return;
        }
        let source = self.best_update_source();
        let previous = std::mem::replace(&mut self.update_source, source);
        if previous == source {
            return;
        }
        if let Some(previous) = previous {
            self.send(vec![previous], Message::Subscribe(false));
        }
        if let Some(source) = source {
            self.send(vec![source], Message::Subscribe(true));
            self.send(vec![source], Message::Buckets(self.directory.bucket_digests()));
            self.anti_entropy.repair_started(now);
        }
    }

    fn best_update_source(&self) -> Option<LinkId> {
        let own = self.directory.own_node();
        let peers = select_peers(own, self.directory.nodes(), self.max_failures, |_| true);
        let selected = peers.iter().filter(|node| node.disk.is_some());
        let selected = selected.filter_map(|node| self.links.to_node(&node.name));
        let others = self.links.to_control_nodes().map(|(id, _)| id);
        let candidates: Vec<LinkId> = selected.chain(others).collect();
        let is_in_contact = |id: &&LinkId| self.links.get(**id).is_some_and(|link| !link.lacks_quorum);
        candidates.iter().find(is_in_contact).or(candidates.first()).copied()
    }

    /// A message has come over a link.
    pub fn message_received(&mut self, link: LinkId, message: Message, now: Duration) {
        match message {
            // The first message of a link only, and never compressed twice.
            Message::Hello(_) | Message::Compressed(_) => {}
            Message::Update { number, updates } => self.updates_received(link, number, updates, now),
            Message::UpdateApplied { number, is_applied, epoch } => {
                self.update_answered(number, link, UpdateAnswer { is_applied, epoch });
            }
            Message::Digest(digest) => self.digest_received(link, digest, now),
            Message::Buckets(buckets) => self.buckets_received(link, &buckets),
            Message::Subscribe(is_subscribed) => {
                if let Some(link) = self.links.get_mut(link) {
                    link.is_subscribed = is_subscribed;
                }
            }
            Message::Summary(summary) => self.summary_received(link, &summary, now),
            Message::RequestConfig { above } => self.config_requested(link, above),
            Message::Config(config) => self.config_received(link, config, now),
            Message::ReplicaRequest { number, request } => self.replica_requested(link, number, &request),
            Message::ReplicaResponse { number, response } => {
                self.replica_responded(number, RequestPath::Link(link), response, now);
            }
            Message::VerifyQuorum { number } => {
                self.verification_questions.push(link, number);
                self.answer_verifications(now);
            }
            Message::QuorumVerified { number, digest } => self.quorum_verified(link, number, digest, now),
            Message::ReplicaReport(report) => {
                if let Some(link) = self.links.get_mut(link) {
                    link.replica_report = Some(report);
                }
            }
        }
    }
}
