//! How two directories find out what one of them has missed: digests of all, digests by bucket, ranks by entry.

use ashvane_identifiers::{NodeName, ServerId};

use super::Directory;
use crate::{
    BucketDigests, BucketSet, Digest, Node, NodeRank, RankSummary, Server, ServerRank, ServerState, Update,
};

impl Directory {
    /// All that is known here, in a few bytes; `version` is that of the configuration in force.
    #[must_use]
    pub fn digest(&self, version: u64) -> Digest {
        let entries = self.digests.combined();
        Digest { entries, epoch: self.membership.epoch, version, lacks_quorum: false }
    }

    /// The digest of each bucket.
    #[must_use]
    pub fn bucket_digests(&self) -> BucketDigests {
        BucketDigests { entries: self.digests.to_vec(), epoch: self.membership.epoch }
    }

    /// The buckets in which this directory and another one differ; all where that cannot be told.
    #[must_use]
    pub fn differing_buckets(&self, other: &BucketDigests) -> BucketSet {
        self.digests.differing(other)
    }

    /// The ranks of all entries in these buckets, but those of processes and servers that are gone.
    #[must_use]
    pub fn summary(&self, buckets: BucketSet) -> RankSummary {
        let nodes =
            self.nodes.iter().filter(|node| !node.is_down && buckets.contains_bucket_of(node.name.as_str()));
        let servers = self.running_servers().filter(|server| buckets.contains_bucket_of(server.id.as_str()));
        RankSummary {
            buckets,
            nodes: nodes.map(|node| (node.name.clone(), node.rank())).collect(),
            servers: servers.map(|server| (server.id.clone(), server.rank())).collect(),
            epoch: self.membership.epoch,
            orphan_monitor_term: self.orphan_monitor_term.clone(),
        }
    }

    /// What is newer here than what another process knows, in the buckets that it speaks of.
    #[must_use]
    pub fn updates_missing_from(&self, summary: &RankSummary) -> Vec<Update> {
        let nodes = self.nodes.iter().filter(|node| self.is_node_newer(node, summary));
        let servers = self.servers.iter().filter(|server| is_server_newer(server, summary));
        let buried = summary.servers.keys().filter(|id| self.servers.has_tombstone(id));
        let mut newer: Vec<Update> = nodes.cloned().map(Update::Node).collect();
        newer.extend(servers.cloned().map(Update::Server));
        newer.extend(buried.map(|id| Update::Server(self.terminated_server(id))));
        if summary.epoch < self.membership.epoch {
            newer.push(Update::Membership(self.membership.clone()));
        }
        if summary.orphan_monitor_term < self.orphan_monitor_term {
            newer.push(Update::OrphanMonitor(self.orphan_monitor_term.clone()));
        }
        newer
    }

    fn is_node_newer(&self, node: &Node, summary: &RankSummary) -> bool {
        match summary.nodes.get(&node.name) {
            Some(rank) => *rank < node.rank(),
            // The other process may have forgotten what is down.
            None => {
                let is_sent = !node.is_down || self.nodes.is_recently_down(&node.name, self.last_tick);
                is_sent && summary.buckets.contains_bucket_of(node.name.as_str())
            }
        }
    }

    /// Whether another process knows something newer than this one does.
    #[must_use]
    pub fn is_behind(&self, summary: &RankSummary) -> bool {
        let is_newer_node = |(name, rank): (&NodeName, &NodeRank)| self.nodes.is_news(name, rank);
        let is_newer_server = |(id, rank): (&ServerId, &ServerRank)| self.servers.is_news(id, rank);
        summary.epoch > self.membership.epoch
            || summary.orphan_monitor_term > self.orphan_monitor_term
            || summary.nodes.iter().any(is_newer_node)
            || summary.servers.iter().any(is_newer_server)
    }

    /// What is to be said against an update that is older than what is known here. No digest speaks of what is down or has
    /// terminated, so that whoever sends it as running would not learn of it otherwise.
    #[must_use]
    pub fn refutation_of(&self, update: &Update) -> Option<Update> {
        match update {
            Update::Node(node) => self.node_refutation(node),
            Update::Server(server) if !server.is_terminated() => self.server_refutation(&server.id),
            _ => None,
        }
    }

    fn node_refutation(&self, node: &Node) -> Option<Update> {
        let known = self.nodes.last_rank(&node.name)?;
        if !known.is_down || known <= node.rank() {
            return None;
        }
        let NodeRank { generation, incarnation, is_down } = known;
        Some(Update::Node(Node { generation, incarnation, is_down, ..node.clone() }))
    }

    fn server_refutation(&self, id: &ServerId) -> Option<Update> {
        match self.servers.get(id) {
            Some(known) => known.is_terminated().then(|| Update::Server(known.clone())),
            None => self.servers.has_tombstone(id).then(|| Update::Server(self.terminated_server(id))),
        }
    }

    /// Whether an update, or something that stands above it, is in force here. A term of the orphan monitor is in force only
    /// as long as it is the highest.
    #[must_use]
    pub fn has_applied(&self, update: &Update) -> bool {
        match update {
            Update::Node(node) => self.nodes.get(&node.name).is_some_and(|known| known.rank() >= node.rank()),
            Update::Server(server) => match self.servers.get(&server.id) {
                Some(known) => known.rank() >= server.rank(),
                None => server.state == ServerState::Terminated || self.servers.has_tombstone(&server.id),
            },
            Update::Membership(membership) => self.membership.epoch >= membership.epoch,
            Update::OrphanMonitor(term) => self.orphan_monitor_term == *term,
        }
    }
}

fn is_server_newer(server: &Server, summary: &RankSummary) -> bool {
    match summary.servers.get(&server.id) {
        Some(rank) => *rank < server.rank(),
        // The other process may have forgotten what terminated.
        None => !server.is_terminated() && summary.buckets.contains_bucket_of(server.id.as_str()),
    }
}
