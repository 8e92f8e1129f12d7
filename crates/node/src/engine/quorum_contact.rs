//! Contact of this process with a quorum of the members.

use std::time::Duration;

use ashvane_gossip::Directory;
use ashvane_identifiers::DiskId;

use super::{Link, LinkTable};

/// Computes the contact with the members from the open links.
#[derive(Clone, Copy)]
pub struct QuorumContact<'a> {
    /// View of the system.
    pub directory: &'a Directory,
    /// Open links.
    pub links: &'a LinkTable,
    /// Time since the start of the process.
    pub now: Duration,
}

impl QuorumContact<'_> {
    fn is_control_node(&self) -> bool {
        self.directory.own_node().disk.is_some()
    }

    /// At a control node, whether a quorum of the members is reachable, counting its own disk if it is a
    /// member. At a gateway, whether a control node with such contact is reachable.
    #[must_use]
    pub fn exists(&self) -> bool {
        if self.is_control_node() {
            return self.has_quorum_of(|_| true);
        }
        let mut control_nodes = self.links.to_control_nodes();
        control_nodes.any(|(_, link)| link.is_alive(self.now) && !link.lacks_quorum)
    }

    /// Whether this is a control node without contact with a quorum, which its digests must report.
    #[must_use]
    pub fn is_control_node_without_quorum(&self) -> bool {
        self.is_control_node() && !self.exists()
    }

    /// Whether this control node has applied all entries known to a quorum of the members, over links that
    /// are still alive.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.has_quorum_of(|link| link.has_applied_peer_entries)
    }

    /// Whether the local disk and the peers on live links that satisfy a condition form a quorum of the
    /// members.
    fn has_quorum_of(&self, satisfies: impl Fn(&Link) -> bool) -> bool {
        let membership = self.directory.membership();
        let own = self.directory.own_node().disk.as_ref();
        let is_reached = |disk: &DiskId| {
            let is_to_disk = |link: &Link| link.peer.disk.as_ref() == Some(disk);
            self.links.iter().any(|(_, link)| is_to_disk(link) && link.is_alive(self.now) && satisfies(link))
        };
        let reached =
            membership.members.iter().filter(|member| own == Some(&member.disk) || is_reached(&member.disk));
        !membership.members.is_empty() && reached.count() >= membership.quorum_size()
    }
}
