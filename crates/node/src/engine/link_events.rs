//! What happens on the links: they open and close, and messages come.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_gossip::{BucketDigests, Digest, Node, RankSummary, Update, select_peers};
use ashvane_identifiers::Address;
use ashvane_quorum::VersionedConfig;

use super::{
    AnnouncedVersion, Command, Engine, FlushTime, Link, LinkId, LogEvent, QueuedUpdates, RepairContext,
    RequestPath, UpdateAnswer, UpdateOrigin, VerificationQuestion,
};
use crate::links::{Direction, Message};

impl Engine {
    /// A peer has presented itself on a new connection.
    pub fn link_opened(&mut self, peer: Node, direction: Direction, now: Duration) -> LinkId {
        let link = self.links.open(peer.clone(), direction, now);
        for redundant in self.links.redundant_with(link, &self.directory.own().address) {
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
    pub fn connection_attempt_ended(&mut self, address: &Address, was_linked: bool, now: Duration) {
        self.dialer.ended(address, was_linked, now);
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
        let own = self.directory.own();
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

    // Updates.

    fn updates_received(&mut self, link: LinkId, number: u64, updates: Vec<Update>, now: Duration) {
        let is_answer_wanted = number > 0;
        let wanted = is_answer_wanted.then(|| updates.clone());
        self.apply_updates(updates, Some(link), now);
        if let Some(updates) = wanted {
            let is_applied = updates.iter().all(|update| self.directory.has_applied(update));
            let epoch = self.directory.membership().epoch;
            self.send(vec![link], Message::UpdateApplied { number, is_applied, epoch });
        }
    }

    /// Applies updates that are newer, and spreads them. Whoever sends as running what is gone is told so over the same
    /// link.
    pub(super) fn apply_updates(&mut self, updates: Vec<Update>, from: Option<LinkId>, now: Duration) {
        if let Some(link) = from {
            self.refute(link, &updates);
        }
        let changed: Vec<Update> =
            updates.into_iter().flat_map(|update| self.directory.apply(update, now)).collect();
        let is_membership_changed = changed.iter().any(|update| matches!(update, Update::Membership(_)));
        self.spread(changed, from, now);
        if is_membership_changed {
            self.acknowledgements_need_next_membership();
        }
    }

    fn refute(&mut self, link: LinkId, updates: &[Update]) {
        let refutations: Vec<Update> =
            updates.iter().filter_map(|update| self.directory.refutation_of(update)).collect();
        if !refutations.is_empty() {
            self.send(vec![link], Message::Update { number: 0, updates: refutations });
        }
    }

    /// Tells others what changed here; `from` is the link over which it came.
    pub(super) fn spread(&mut self, updates: Vec<Update>, from: Option<LinkId>, now: Duration) {
        if updates.is_empty() {
            return;
        }
        if self.has_data_plane {
            let gateways = self.directory.gateways_sharing_budgets(now);
            self.commands.push(Command::UpdateDataPlane { updates: updates.clone(), gateways });
        }
        self.server_hints.observe(&updates);
        let is_from_control_node =
            from.and_then(|link| self.links.get(link)).is_some_and(Link::is_to_control_node);
        let origin = if is_from_control_node { UpdateOrigin::ControlNode } else { UpdateOrigin::Here };
        self.update_queue.push(updates, origin);
        self.flush_updates(now);
    }

    /// Sends the updates that wait, or asks for a timer.
    pub fn flush_updates(&mut self, now: Duration) {
        match self.update_queue.flush_time(now) {
            FlushTime::Nothing => {}
            FlushTime::At(time) => self.commands.push(Command::FlushUpdatesAt(time)),
            FlushTime::Now => {
                let queued = self.update_queue.take(now);
                self.send_updates(queued);
            }
        }
    }

    /// Control nodes tell each other what is new to one of them, and their subscribers; a gateway tells its update source.
    /// Whoever is missed finds out by the next digests.
    fn send_updates(&mut self, queued: QueuedUpdates) {
        let QueuedUpdates { for_all, for_subscribers } = queued;
        let to_all = match self.is_control_node() {
            true => self.links.to_control_nodes().map(|(id, _)| id).collect(),
            false => self.update_source.into_iter().collect(),
        };
        if !for_all.is_empty() {
            self.send(to_all, Message::Update { number: 0, updates: for_all.clone() });
        }
        if !self.is_control_node() {
            return;
        }
        let is_subscriber = |link: &Link| !link.is_to_control_node() && link.is_subscribed;
        let subscribers =
            self.links.iter().filter(|(_, link)| is_subscriber(link)).map(|(id, _)| id).collect();
        let updates = for_all.into_iter().chain(for_subscribers).collect();
        self.send(subscribers, Message::Update { number: 0, updates });
    }

    // Anti-entropy.

    pub(super) fn send_digest(&mut self, links: Vec<LinkId>, now: Duration) {
        let digest = self.digest(now);
        self.send(links, Message::Digest(digest));
    }

    fn digest_received(&mut self, id: LinkId, digest: Digest, now: Duration) {
        self.request_config_if_newer(AnnouncedVersion { version: digest.version, link: id }, now);
        let own = self.directory.digest(self.version());
        let Some(link) = self.links.get_mut(id) else { return };
        link.lacks_quorum = digest.lacks_quorum;
        if own.has_same_entries(&digest) {
            link.differing_digests = 0;
            self.peer_compared(id);
            return;
        }
        let context = RepairContext {
            is_control_node: self.register.is_some(),
            is_synced: self.readiness.is_synced(),
            is_lower_name: self.directory.own().name < link.peer.name,
            is_peer_member: link
                .peer
                .disk
                .as_ref()
                .is_some_and(|disk| self.directory.membership().contains(disk)),
        };
        if self.anti_entropy.should_repair(link, context, now) {
            self.send(vec![id], Message::Buckets(self.directory.bucket_digests()));
        }
    }

    fn buckets_received(&mut self, link: LinkId, buckets: &BucketDigests) {
        let differing = self.directory.differing_buckets(buckets);
        if !differing.is_empty() || buckets.epoch != self.directory.membership().epoch {
            self.send(vec![link], Message::Summary(self.directory.summary(differing)));
        }
    }

    fn summary_received(&mut self, link: LinkId, summary: &RankSummary, now: Duration) {
        let is_behind = self.directory.is_behind(summary);
        let updates = self.directory.newer_than(summary);
        let own = is_behind.then(|| self.directory.summary(summary.buckets));
        if !updates.is_empty() {
            self.send(vec![link], Message::Update { number: 0, updates });
            // The peer sees at once whether that was all.
            self.send_digest(vec![link], now);
        }
        match own {
            Some(own) => self.send(vec![link], Message::Summary(own)),
            None => self.peer_compared(link),
        }
    }

    /// All that a peer knew has been applied.
    fn peer_compared(&mut self, link: LinkId) {
        if let Some(link) = self.links.get_mut(link) {
            link.has_compared = true;
        }
        self.sync_if_verified();
    }

    pub(super) fn sync_if_verified(&mut self) {
        let version = self.version();
        if self.readiness.sync_if_verified(&self.links, version) {
            self.log(LogEvent::Synced { version });
        }
    }

    // The configuration.

    fn config_requested(&mut self, link: LinkId, above: u64) {
        let newer = self.config.chosen().filter(|chosen| chosen.version > above).cloned();
        if let Some(config) = newer {
            self.send(vec![link], Message::Config(config));
        }
    }

    fn request_config_if_newer(&mut self, announced: AnnouncedVersion, now: Duration) {
        let above = self.version();
        if announced.version <= above {
            return;
        }
        if self.config_fetch.should_request(announced, self.update_source, &self.links, now) {
            self.links.config_requested(announced.link);
            self.send(vec![announced.link], Message::RequestConfig { above });
        }
    }

    fn config_received(&mut self, link: LinkId, config: VersionedConfig, now: Duration) {
        self.config_fetch.received(link);
        self.config_chosen(config, now);
        if let Some(next) = self.config_fetch.next_after(self.version()) {
            self.request_config_if_newer(next, now);
        }
    }

    /// A configuration was chosen: from here on it is in force here.
    pub(super) fn config_chosen(&mut self, chosen: VersionedConfig, now: Duration) {
        let version = chosen.version;
        let config = match self.config.apply(chosen, now) {
            Ok(Some(config)) => config,
            Ok(None) => return,
            Err(reason) => return self.log(LogEvent::ConfigUnusable { version, reason }),
        };
        self.log(LogEvent::ConfigInForce { version });
        self.commands.push(Command::ConfigureDataPlane(config));
        self.send_digest(self.links.one_per_peer(), now);
        self.sync_if_verified();
    }

    // Contact with a quorum.

    /// A gateway that starts asks each control node that it is linked to.
    pub(super) fn verify_control_nodes(&mut self, now: Duration) {
        for id in self.readiness.links_to_verify(&self.links, now) {
            let number = self.next_message_number();
            self.send(vec![id], Message::VerifyQuorum { number });
            if let Some(link) = self.links.get_mut(id) {
                link.verification = Some(VerificationQuestion { number, asked_at: now });
            }
        }
    }

    /// Asks, or answers those that ask.
    pub(super) fn answer_verifications(&mut self, now: Duration) {
        self.verify_control_nodes(now);
        if !self.quorum_contact(now).has_caught_up() {
            return;
        }
        if let Some(questions) = self.verification_questions.begin() {
            self.commands.push(Command::VerifyQuorum(questions));
        }
    }

    /// The register was read for these questions, or could not be. Those that get no answer ask again.
    pub fn verification_ended(&mut self, questions: BTreeMap<LinkId, u64>, has_read: bool, now: Duration) {
        if has_read && self.quorum_contact(now).has_caught_up() {
            let digest = self.digest(now);
            for (link, number) in questions {
                self.send(vec![link], Message::QuorumVerified { number, digest });
            }
        }
        self.verification_questions.end();
        self.answer_verifications(now);
    }

    /// A control node has compared itself with a quorum after this gateway asked it, and knew this.
    fn quorum_verified(&mut self, id: LinkId, number: u64, digest: Digest, now: Duration) {
        let Some(link) = self.links.get_mut(id) else { return };
        if link.verification.is_none_or(|question| question.number != number) {
            return;
        }
        link.verified_version = Some(digest.version);
        link.has_compared = false;
        self.digest_received(id, digest, now);
    }
}
