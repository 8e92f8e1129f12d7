//! Anti-entropy: two processes compare digests of their directories and exchange the entries that either one
//! has missed.

use std::time::Duration;

use ashvane_gossip::{BucketDigests, Digest, RankSummary};

use super::{AnnouncedVersion, Engine, LogEvent, RepairContext};
use crate::links::{LinkId, Message};

impl Engine {
    pub(super) fn send_digest(&mut self, links: Vec<LinkId>, now: Duration) {
        let digest = self.digest(now);
        self.send(links, Message::Digest(digest));
    }

    /// Handles the digest of a peer: requests the configuration if the peer has a newer one, and sends bucket
    /// digests if entries differ and a repair is due.
    pub(super) fn digest_received(&mut self, id: LinkId, digest: Digest, now: Duration) {
        self.request_config_if_newer(AnnouncedVersion { version: digest.version, link: id }, now);
        let own = self.directory.digest(self.version());
        let Some(link) = self.links.get_mut(id) else { return };
        link.lacks_quorum = digest.lacks_quorum;
        if own.has_same_entries(&digest) {
            link.differing_digests = 0;
            self.peer_entries_applied(id);
            return;
        }
        let context = RepairContext {
            is_control_node: self.register.is_some(),
            is_caught_up: self.readiness.is_caught_up(),
            is_lower_name: self.directory.own_node().name < link.peer.name,
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

    /// Handles the bucket digests of a peer: sends the ranks of the entries in the buckets that differ.
    pub(super) fn buckets_received(&mut self, link: LinkId, buckets: &BucketDigests) {
        let differing = self.directory.differing_buckets(buckets);
        if !differing.is_empty() || buckets.epoch != self.directory.membership().epoch {
            self.send(vec![link], Message::Summary(self.directory.summary(differing)));
        }
    }

    /// Handles the entry ranks of a peer: sends the entries that are newer here, and the own ranks if the
    /// peer has newer entries.
    pub(super) fn summary_received(&mut self, link: LinkId, summary: &RankSummary, now: Duration) {
        let is_behind = self.directory.is_behind(summary);
        let updates = self.directory.updates_missing_from(summary);
        let own = is_behind.then(|| self.directory.summary(summary.buckets));
        if !updates.is_empty() {
            self.send(vec![link], Message::Update { number: 0, updates });
            // Lets the peer detect at once whether entries still differ.
            self.send_digest(vec![link], now);
        }
        match own {
            Some(own) => self.send(vec![link], Message::Summary(own)),
            None => self.peer_entries_applied(link),
        }
    }

    /// Records that all entries known to a peer have been applied here.
    fn peer_entries_applied(&mut self, link: LinkId) {
        if let Some(link) = self.links.get_mut(link) {
            link.has_applied_peer_entries = true;
        }
        self.catch_up_if_verified();
    }

    /// Marks a gateway as caught up once it has applied the state of a control node that has verified its
    /// quorum.
    pub(super) fn catch_up_if_verified(&mut self) {
        let version = self.version();
        if self.readiness.catch_up_if_verified(&self.links, version) {
            self.log(LogEvent::CaughtUp { version });
        }
    }
}
