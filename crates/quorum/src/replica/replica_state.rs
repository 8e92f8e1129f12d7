//! What a replica keeps on its disk.

use serde::{Deserialize, Serialize};

use crate::{AcceptedProposal, DiskId, Membership, ProposalNumber};

/// All that a replica keeps on its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaState {
    /// The disk's own id, drawn when it is empty.
    pub disk: DiskId,
    /// The epoch whose state it holds.
    pub membership: Membership,
    /// It accepts nothing below this number.
    pub promised: ProposalNumber,
    /// What it has accepted last in this epoch.
    pub accepted: AcceptedProposal,
}
