//! Anti-entropy: two processes compare what they know by digests, and exchange what either has missed.

use std::time::Duration;

use ashvane_gossip::{BucketDigests, Digest, RankSummary};

use super::{AnnouncedVersion, Engine, LogEvent, RepairContext};
use crate::links::{LinkId, Message};

impl Engine {
    pub(super) fn send_digest(&mut self, links: Vec<LinkId>, now: Duration) {
        let digest = self.digest(now);
        self.send(links, Message::Digest(digest));
    }

    pub(super) fn digest_received(&mut self, id: LinkId, digest: Digest, now: Duration) {
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

    pub(super) fn buckets_received(&mut self, link: LinkId, buckets: &BucketDigests) {
        let differing = self.directory.differing_buckets(buckets);
        if !differing.is_empty() || buckets.epoch != self.directory.membership().epoch {
            self.send(vec![link], Message::Summary(self.directory.summary(differing)));
        }
    }

    pub(super) fn summary_received(&mut self, link: LinkId, summary: &RankSummary, now: Duration) {
        let is_behind = self.directory.is_behind(summary);
        let updates = self.directory.updates_missing_from(summary);
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
}
