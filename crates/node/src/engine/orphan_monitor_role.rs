//! The orphan monitor role: one process declares timed out those servers whose control node is down. The
//! process acquires the role under a term that a quorum of the members must apply. Declarations under an
//! earlier term are void.

use ashvane_gossip::{Directory, LivenessAuthority, Node, OrphanMonitorTerm};

use super::LinkTable;

/// Result of a claim to the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// A quorum of the members has applied the term.
    Acknowledged,
    /// No quorum has applied the term before the time-out.
    Unacknowledged,
}

/// State of this process's claim to the role.
#[derive(Debug, Default)]
pub struct OrphanMonitorRole {
    /// Term under which this process holds the role, set once a quorum of the members has applied it.
    held_term: Option<OrphanMonitorTerm>,
    is_claiming: bool,
}

impl OrphanMonitorRole {
    /// Whether this process holds the role under the highest known term.
    #[must_use]
    pub fn is_held(&self, directory: &Directory) -> bool {
        self.held_term.as_ref().is_some_and(|term| term == directory.orphan_monitor_term())
    }

    /// Returns which servers this process may declare timed out.
    #[must_use]
    pub fn authority(&self, has_quorum_contact: bool, directory: &Directory) -> LivenessAuthority {
        let is_control_node = directory.own_node().disk.is_some();
        if !is_control_node || !has_quorum_contact {
            return LivenessAuthority::None;
        }
        match &self.held_term {
            Some(term) => LivenessAuthority::MonitoredAndOrphans(term.clone()),
            None => LivenessAuthority::Monitored,
        }
    }

    /// Returns whether this process may claim the role now. Releases the role if this process is not the
    /// first eligible control node, or if another one has a higher term.
    pub fn is_claimable(&mut self, is_first: bool, directory: &Directory) -> bool {
        if is_first && self.is_held(directory) {
            return false;
        }
        self.held_term = None;
        is_first && !self.is_claiming
    }

    /// Records the start of a claim.
    pub fn claim_started(&mut self) {
        self.is_claiming = true;
    }

    /// Records the end of the claim.
    pub fn claim_ended(&mut self, term: OrphanMonitorTerm, result: ClaimResult) {
        if result == ClaimResult::Acknowledged {
            self.held_term = Some(term);
        }
        self.is_claiming = false;
    }
}

/// Whether this process is the first live control node by name, and a quorum of the members is live.
#[must_use]
pub fn is_first_control_node(directory: &Directory, links: &LinkTable) -> bool {
    let is_live = |node: &Node| {
        node.name == directory.own_node().name || (!node.is_down && links.to_node(&node.name).is_some())
    };
    let live: Vec<&Node> = directory.nodes().filter(|node| node.disk.is_some() && is_live(node)).collect();
    let is_member =
        |node: &&&Node| node.disk.as_ref().is_some_and(|disk| directory.membership().contains(disk));
    let first = live.iter().map(|node| &node.name).min();
    let has_quorum = live.iter().filter(is_member).count() >= directory.membership().quorum_size();
    first == Some(&directory.own_node().name) && has_quorum
}
