//! Anti-entropy: detects the updates that one of two directories has missed, by digests of the directory,
//! digests of the buckets, and ranks of the entries.

use ashvane_identifiers::{NodeName, ServerId};

use super::Directory;
use crate::{
    BucketDigests, BucketSet, Digest, Node, NodeRank, RankSummary, Server, ServerRank, ServerState, Update,
};

impl Directory {
    /// Returns the digest of this directory. `version` is that of the configuration in force.
    #[must_use]
    pub fn digest(&self, version: u64) -> Digest {
        let entries = self.digests.combined();
        Digest { entries, epoch: self.membership.epoch, version, lacks_quorum: false }
    }

    /// Returns the digest of each bucket.
    #[must_use]
    pub fn bucket_digests(&self) -> BucketDigests {
        BucketDigests { entries: self.digests.to_vec(), epoch: self.membership.epoch }
    }

    /// Returns the buckets in which this directory and another one differ, including those missing in
    /// `other`.
    #[must_use]
    pub fn differing_buckets(&self, other: &BucketDigests) -> BucketSet {
        self.digests.differing_buckets(other)
    }

    /// Returns the ranks of all entries in these buckets, except processes that are down and servers that
    /// have terminated.
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

    /// Returns the updates that another process is missing, in the buckets that its summary covers.
    #[must_use]
    pub fn updates_missing_from(&self, summary: &RankSummary) -> Vec<Update> {
        let nodes = self.nodes.iter().filter(|node| self.is_node_newer(node, summary));
        let servers = self.servers.iter().filter(|server| is_server_newer(server, summary));
        let tombstoned = summary.servers.keys().filter(|id| self.servers.has_tombstone(id));
        let mut newer: Vec<Update> = nodes.cloned().map(Update::Node).collect();
        newer.extend(servers.cloned().map(Update::Server));
        newer.extend(tombstoned.map(|id| Update::Server(self.terminated_server(id))));
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
            // The other process may have removed the entry because the process is down.
            None => {
                let is_sent = !node.is_down || self.nodes.is_recently_down(&node.name, self.last_tick);
                is_sent && summary.buckets.contains_bucket_of(node.name.as_str())
            }
        }
    }

    /// Whether this directory is missing updates known to another process.
    #[must_use]
    pub fn is_behind(&self, summary: &RankSummary) -> bool {
        let is_newer_node = |(name, rank): (&NodeName, &NodeRank)| self.nodes.is_newer(name, rank);
        let is_newer_server = |(id, rank): (&ServerId, &ServerRank)| self.servers.is_newer(id, rank);
        summary.epoch > self.membership.epoch
            || summary.orphan_monitor_term > self.orphan_monitor_term
            || summary.nodes.iter().any(is_newer_node)
            || summary.servers.iter().any(is_newer_server)
    }

    /// Returns the update that refutes an outdated one. Digests do not cover processes that are down and
    /// servers that have terminated, so a peer that still considers one running would not find out otherwise.
    #[must_use]
    pub fn refutation_of(&self, update: &Update) -> Option<Update> {
        match update {
            Update::Node(node) => self.node_refutation(node),
            Update::Server(server) if !server.is_terminated() => self.server_refutation(server),
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

    fn server_refutation(&self, server: &Server) -> Option<Update> {
        match self.servers.get(&server.id) {
            Some(known) => {
                let is_refuted = known.is_terminated() && known.rank() > server.rank();
                is_refuted.then(|| Update::Server(known.clone()))
            }
            None => {
                let has_tombstone = self.servers.has_tombstone(&server.id);
                has_tombstone.then(|| Update::Server(self.terminated_server(&server.id)))
            }
        }
    }

    /// Whether this directory contains an update or a newer one. A term of the orphan monitor must be the
    /// current one, since a newer term invalidates it.
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
        // The other process may have removed the entry because the server has terminated.
        None => !server.is_terminated() && summary.buckets.contains_bucket_of(server.id.as_str()),
    }
}
