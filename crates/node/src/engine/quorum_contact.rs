//! Whether this process is in contact with a quorum of the members.

use std::time::Duration;

use ashvane_gossip::Directory;
use ashvane_identifiers::DiskId;

use super::{Link, LinkTable};

/// The contact of a process with the members, over the links that it has now.
#[derive(Clone, Copy)]
pub struct QuorumContact<'a> {
    /// What is known.
    pub directory: &'a Directory,
    /// The links that there are.
    pub links: &'a LinkTable,
    /// Since the start of the process.
    pub now: Duration,
}

impl QuorumContact<'_> {
    fn is_control_node(&self) -> bool {
        self.directory.own_node().disk.is_some()
    }

    /// Whether a control node hears a quorum of the members, itself included where it is one; whether a gateway hears a
    /// control node that does.
    #[must_use]
    pub fn exists(&self) -> bool {
        if self.is_control_node() {
            return self.has_quorum_of(|_| true);
        }
        let mut control_nodes = self.links.to_control_nodes();
        control_nodes.any(|(_, link)| link.is_alive(self.now) && !link.lacks_quorum)
    }

    /// Whether a control node has no contact: it says so in its digests.
    #[must_use]
    pub fn is_missing_at_control_node(&self) -> bool {
        self.is_control_node() && !self.exists()
    }

    /// Whether a control node has applied what a quorum of the members knew, over links that still hold.
    #[must_use]
    pub fn has_caught_up(&self) -> bool {
        self.has_quorum_of(|link| link.has_compared)
    }

    /// Whether this process and those over whose links this holds make up a quorum of the members.
    fn has_quorum_of(&self, holds: impl Fn(&Link) -> bool) -> bool {
        let membership = self.directory.membership();
        let own = self.directory.own_node().disk.as_ref();
        let is_reached = |disk: &DiskId| {
            let leads_there = |link: &Link| link.peer.disk.as_ref() == Some(disk);
            self.links.iter().any(|(_, link)| leads_there(link) && link.is_alive(self.now) && holds(link))
        };
        let reached =
            membership.members.iter().filter(|member| own == Some(&member.disk) || is_reached(&member.disk));
        !membership.members.is_empty() && reached.count() >= membership.quorum_size()
    }
}
