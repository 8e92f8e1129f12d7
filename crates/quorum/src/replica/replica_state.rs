//! Persistent state of a replica.

use serde::{Deserialize, Serialize};

use crate::{AcceptedProposal, DiskId, Membership, ProposalNumber};

/// The persistent state of a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaState {
    /// Identifier of the disk, generated when the disk is empty.
    pub disk: DiskId,
    /// The current epoch of the replica, and its members.
    pub membership: Membership,
    /// The promised number: proposals with a lower number are rejected.
    pub promised: ProposalNumber,
    /// The last proposal that the replica accepted in this epoch, or the initial state of the epoch.
    pub accepted: AcceptedProposal,
}
