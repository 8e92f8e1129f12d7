//! What a replica responds.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{AcceptedProposal, DiskId, Membership, ProposalNumber, RegisterValue, Rejection};

/// A replica's state after a request. It may be sent only once all that it rests on is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Response {
    /// Why the replica did not do as requested; none if it did.
    #[serde(rename = "refusal")]
    pub rejection: Option<Rejection>,
    /// The replica's disk.
    pub disk: DiskId,
    /// The epoch whose state the replica holds, and its members.
    pub membership: Membership,
    /// The highest number that the replica has promised in that epoch.
    pub promised: ProposalNumber,
    /// The number of the proposal that it has accepted.
    #[serde(rename = "ballot")]
    pub accepted_number: ProposalNumber,
    /// The membership that this accepted proposal names as the next one.
    #[serde(rename = "next")]
    pub next_membership: Option<Membership>,
    /// The accepted value, where the proposer does not have it.
    pub value: Option<Arc<RegisterValue>>,
}

impl Response {
    /// What the replica has accepted, where the response carries its value.
    #[must_use]
    pub fn accepted(&self) -> Option<AcceptedProposal> {
        let value = self.value.clone()?;
        let number = self.accepted_number.clone();
        Some(AcceptedProposal { number, value, next_membership: self.next_membership.clone() })
    }
}
