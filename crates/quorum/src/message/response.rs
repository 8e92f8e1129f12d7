//! Responses of a replica to a proposer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{AcceptedProposal, DiskId, Membership, ProposalNumber, RegisterValue, Rejection};

/// The state of a replica after a request. May be sent only after that state is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Response {
    /// Reason for which the replica rejected the request, or `None` if it did as requested.
    #[serde(rename = "refusal")]
    pub rejection: Option<Rejection>,
    /// Identifier of the replica's disk.
    pub disk: DiskId,
    /// The current epoch of the replica, and its members.
    pub membership: Membership,
    /// The highest proposal number that the replica has promised in that epoch.
    pub promised: ProposalNumber,
    /// The number of the proposal that the replica has accepted.
    #[serde(rename = "ballot")]
    pub accepted_number: ProposalNumber,
    /// The next membership of the accepted proposal, if that seals the epoch.
    #[serde(rename = "next")]
    pub next_membership: Option<Membership>,
    /// The accepted value, unless the proposer already has it or the request does not ask for it.
    pub value: Option<Arc<RegisterValue>>,
}

impl Response {
    /// Returns the accepted proposal, if the response carries its value.
    #[must_use]
    pub fn accepted(&self) -> Option<AcceptedProposal> {
        let value = self.value.clone()?;
        let number = self.accepted_number.clone();
        Some(AcceptedProposal { number, value, next_membership: self.next_membership.clone() })
    }
}
