//! Directory entries of processes.

use ashvane_identifiers::{Address, DiskId, NodeName, Zone};
use serde::{Deserialize, Serialize};

use crate::peers::Role;
use crate::stable_hash::stable_hash;

/// The directory entry of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Name of the process, which stays the same across restarts.
    pub name: NodeName,
    /// Incarnation, a random number generated at each start of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number that the process increases to refute an update stating that it is down or has another
    /// incarnation. Corresponds to the incarnation number of SWIM (Das et al., 2002).
    #[serde(rename = "age")]
    pub generation: u64,
    /// Whether another process has found this process unresponsive.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Address for messages between processes.
    pub address: Address,
    /// Address for the calls of servers and operators, if the process accepts them.
    #[serde(rename = "control")]
    pub control_address: Option<Address>,
    /// Zone of the process's machine.
    pub zone: Zone,
    /// Whether the process is a gateway, which accepts requests of clients.
    #[serde(rename = "front")]
    pub is_gateway: bool,
    /// Identifier of its disk, if the process is a control node.
    pub disk: Option<DiskId>,
}

impl Node {
    /// Returns the role of the process.
    #[must_use]
    pub fn role(&self) -> Role {
        if self.disk.is_some() { Role::Control } else { Role::Gateway }
    }

    /// Returns the rank of this entry.
    #[must_use]
    pub fn rank(&self) -> NodeRank {
        NodeRank { generation: self.generation, incarnation: self.incarnation, is_down: self.is_down }
    }

    /// Returns the digest of this entry. It is 0 for a process that is down, because only some peers still
    /// store its entry.
    pub(crate) fn digest(&self) -> u64 {
        if self.is_down {
            return 0;
        }
        let (generation, incarnation) = (self.generation.to_le_bytes(), self.incarnation.to_le_bytes());
        stable_hash(&[self.name.as_str().as_bytes(), &generation, &incarnation])
    }
}

/// Determines which of two entries of a process is newer. Two incarnations with the same generation have
/// different ranks: with equal ranks, some peers would keep the earlier one, and its disk, forever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64, bool)", into = "(u64, u64, bool)")]
pub struct NodeRank {
    /// See [`Node::generation`].
    pub generation: u64,
    /// See [`Node::incarnation`].
    pub incarnation: u64,
    /// See [`Node::is_down`]. An entry that is down ranks above the same incarnation that is up.
    pub is_down: bool,
}

impl From<(u64, u64, bool)> for NodeRank {
    fn from((generation, incarnation, is_down): (u64, u64, bool)) -> Self {
        NodeRank { generation, incarnation, is_down }
    }
}

impl From<NodeRank> for (u64, u64, bool) {
    fn from(rank: NodeRank) -> Self {
        (rank.generation, rank.incarnation, rank.is_down)
    }
}
