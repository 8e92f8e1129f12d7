//! A proposal in the form in which a replica stores it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Membership, ProposalNumber, RegisterValue};

/// The proposal with the highest number that a replica has accepted in an epoch, or the initial state of the
/// epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AcceptedProposal {
    /// The proposal number. The initial state of an epoch has the default number.
    #[serde(rename = "ballot")]
    pub number: ProposalNumber,
    /// The value of the register if the proposal is chosen.
    pub value: Arc<RegisterValue>,
    /// The membership of the next epoch. If set, the proposal seals the epoch once it is chosen.
    #[serde(rename = "next")]
    pub next_membership: Option<Membership>,
}
