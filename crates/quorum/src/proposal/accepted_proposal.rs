//! A proposal as a replica has accepted it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Membership, ProposalNumber, RegisterValue};

/// The proposal with the highest number that a replica has accepted in an epoch, or the state that the epoch began with.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// The number of the proposal; the default for the state that an epoch begins with.
    #[serde(rename = "ballot")]
    pub number: ProposalNumber,
    /// What the register holds if the proposal is chosen.
    pub value: Arc<RegisterValue>,
    /// Seals the epoch if the proposal is chosen: the members of the next epoch.
    #[serde(rename = "next")]
    pub next_membership: Option<Membership>,
}
