//! The role of the orphan monitor: one process says of the servers of a control node that is down that they have timed out.
//! It takes the role under a term that a quorum of the members has applied; what is declared under an earlier term is void.

use ashvane_gossip::{Directory, LivenessAuthority, Node, OrphanMonitorTerm};

use super::LinkTable;

/// How a claim of the role has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResult {
    /// A quorum of the members has applied its term.
    Acknowledged,
    /// None has in time.
    Unacknowledged,
}

/// This process's part in the role.
#[derive(Debug, Default)]
pub struct OrphanMonitorRole {
    /// The term under which this process has the role, once a quorum of the members has applied it.
    held: Option<OrphanMonitorTerm>,
    is_claiming: bool,
}

impl OrphanMonitorRole {
    /// Whether this process has the role, under the highest term that is known.
    #[must_use]
    pub fn is_held(&self, directory: &Directory) -> bool {
        self.held.as_ref().is_some_and(|term| term == directory.orphan_monitor_term())
    }

    /// Of which servers this process may say that they have timed out.
    #[must_use]
    pub fn authority(&self, has_quorum_contact: bool, directory: &Directory) -> LivenessAuthority {
        let is_control_node = directory.own_node().disk.is_some();
        if !is_control_node || !has_quorum_contact {
            return LivenessAuthority::None;
        }
        match &self.held {
            Some(term) => LivenessAuthority::MonitoredAndOrphans(term.clone()),
            None => LivenessAuthority::Monitored,
        }
    }

    /// Gives the role up where this process is not the first that may have it, or another has taken a higher term. Whether
    /// the role may be claimed now.
    pub fn is_claimable(&mut self, is_first: bool, directory: &Directory) -> bool {
        if is_first && self.is_held(directory) {
            return false;
        }
        self.held = None;
        is_first && !self.is_claiming
    }

    /// A claim is under way.
    pub fn claim_started(&mut self) {
        self.is_claiming = true;
    }

    /// The claim has ended.
    pub fn claim_ended(&mut self, term: OrphanMonitorTerm, result: ClaimResult) {
        if result == ClaimResult::Acknowledged {
            self.held = Some(term);
        }
        self.is_claiming = false;
    }
}

/// Whether this process is the first live control node, by name, and sees a quorum of the disks.
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
