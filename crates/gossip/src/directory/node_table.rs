//! Table of the directory entries of processes.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_identifiers::NodeName;

use super::DEPARTED_ENTRY_RETENTION;
use crate::digest::EntryDigests;
use crate::tombstones::Tombstones;
use crate::{Node, NodeRank};

/// Time for which a gateway that is down still counts among those that share a budget. It exceeds the window
/// of any budget.
const BUDGET_SHARE_RETENTION: Duration = Duration::from_secs(30);
/// Time for which the complete entry of a control node that is down is kept. In that time the others try to
/// connect to it, because it may restart without knowing any of them.
const CONTROL_NODE_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The entries of processes, and the times at which processes went down.
#[derive(Default)]
pub(super) struct NodeTable {
    nodes: BTreeMap<NodeName, Node>,
    down_since: BTreeMap<NodeName, Duration>,
    tombstones: Tombstones<NodeName, NodeRank>,
}

impl NodeTable {
    pub(super) fn iter(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    pub(super) fn get(&self, name: &NodeName) -> Option<&Node> {
        self.nodes.get(name)
    }

    pub(super) fn down_since(&self, name: &NodeName) -> Option<Duration> {
        self.down_since.get(name).copied()
    }

    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    /// Whether an entry is not newer than the stored entry or the tombstone of the process.
    pub(super) fn is_stale(&self, node: &Node) -> bool {
        self.nodes.get(&node.name).is_some_and(|known| known.rank() >= node.rank())
            || self.tombstones.covers(&node.name, &node.rank())
    }

    /// Returns the rank of the stored entry of a process, or else that of its tombstone.
    pub(super) fn last_rank(&self, name: &NodeName) -> Option<NodeRank> {
        match self.nodes.get(name) {
            Some(known) => Some(known.rank()),
            None => self.tombstones.rank_of(name).copied(),
        }
    }

    /// Whether a rank is higher than that of the stored entry or the tombstone of the process.
    pub(super) fn is_newer(&self, name: &NodeName, rank: &NodeRank) -> bool {
        match self.nodes.get(name) {
            Some(known) => known.rank() < *rank,
            None => !self.tombstones.covers(name, rank),
        }
    }

    /// See [`Directory::gateways_sharing_budgets`](super::Directory::gateways_sharing_budgets).
    pub(super) fn gateways_sharing_budgets(&self, now: Duration) -> usize {
        let shares = |node: &&Node| {
            node.is_gateway
                && self.down_since(&node.name).is_none_or(|since| since + BUDGET_SHARE_RETENTION > now)
        };
        self.nodes.values().filter(shares).count()
    }

    /// Stores the entry of a process. No other method changes an entry.
    pub(super) fn insert(&mut self, node: Node, digests: &mut EntryDigests, now: Duration) {
        if node.is_down {
            self.down_since.entry(node.name.clone()).or_insert(now);
        } else {
            self.down_since.remove(&node.name);
        }
        self.tombstones.remove(&node.name);
        digests.toggle(node.name.as_str(), node.digest());
        if let Some(previous) = self.nodes.insert(node.name.clone(), node) {
            digests.toggle(previous.name.as_str(), previous.digest());
        }
    }

    /// Whether a process went down so recently that its entry is still sent to peers that lack it.
    pub(super) fn is_recently_down(&self, name: &NodeName, now: Duration) -> bool {
        self.down_since(name).is_some_and(|since| since + DEPARTED_ENTRY_RETENTION > now)
    }

    /// Replaces the entries of processes that are down by tombstones after the retention time, and removes
    /// expired tombstones.
    pub(super) fn expire(&mut self, own: &NodeName, now: Duration) {
        let is_control_node = |name: &NodeName| self.nodes.get(name).is_some_and(|node| node.disk.is_some());
        let retention = |name: &NodeName| match is_control_node(name) {
            true => CONTROL_NODE_RETENTION,
            false => DEPARTED_ENTRY_RETENTION,
        };
        let is_expired =
            |(name, since): &(&NodeName, &Duration)| **since + retention(name) <= now && *name != own;
        let expired: Vec<NodeName> =
            self.down_since.iter().filter(is_expired).map(|(name, _)| name.clone()).collect();
        for name in expired {
            self.down_since.remove(&name);
            if let Some(node) = self.nodes.remove(&name) {
                self.tombstones.insert(name, node.rank(), now);
            }
        }
        self.tombstones.expire(now);
    }
}
