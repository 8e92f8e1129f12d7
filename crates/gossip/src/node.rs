//! A process of the system, as others know it.

use ashvane_identifiers::{Address, DiskId, NodeName, Zone};
use serde::{Deserialize, Serialize};

use crate::peers::Role;
use crate::stable_hash::stable_hash;

/// A process of the system, as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Stays over restarts.
    pub name: NodeName,
    /// Drawn at each start of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Rises whenever the process refutes what others say of it: that it is down, or that it is an earlier incarnation. The
    /// incarnation number of SWIM (Das et al., 2002).
    #[serde(rename = "age")]
    pub generation: u64,
    /// Whether others have found that it does not respond.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Where messages between processes are sent.
    pub address: Address,
    /// Where servers and operators reach it, if they do.
    #[serde(rename = "control")]
    pub control_address: Option<Address>,
    /// The zone of its machine.
    pub zone: Zone,
    /// Whether clients reach it: it is a gateway.
    #[serde(rename = "front")]
    pub is_gateway: bool,
    /// Its disk, if it has one: it is a control node.
    pub disk: Option<DiskId>,
}

impl Node {
    /// What it is to others.
    #[must_use]
    pub fn role(&self) -> Role {
        if self.disk.is_some() { Role::Control } else { Role::Gateway }
    }

    /// The rank of this entry.
    #[must_use]
    pub fn rank(&self) -> NodeRank {
        NodeRank { generation: self.generation, incarnation: self.incarnation, is_down: self.is_down }
    }

    /// Its part of the digests. A process that is down is left out: some have forgotten it, and others have not.
    pub(crate) fn digest(&self) -> u64 {
        if self.is_down {
            return 0;
        }
        let (generation, incarnation) = (self.generation.to_le_bytes(), self.incarnation.to_le_bytes());
        stable_hash(&[self.name.as_str().as_bytes(), &generation, &incarnation])
    }
}

/// Tells which of two entries of a process is the newer one. Of two incarnations under one generation one stands above:
/// were they alike, some would go on with the earlier one, and its disk, for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64, bool)", into = "(u64, u64, bool)")]
pub struct NodeRank {
    /// See [`Node::generation`].
    pub generation: u64,
    /// See [`Node::incarnation`].
    pub incarnation: u64,
    /// See [`Node::is_down`]: stands above the same incarnation as it was up.
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
