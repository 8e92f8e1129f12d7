//! Requests of a proposer to a replica.

use serde::{Deserialize, Serialize};

use crate::{AcceptedProposal, Membership, ProposalNumber, ProposedValue};

/// Identifies a value that the proposer already has, so that the replica need not send it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, ProposalNumber)", into = "(u64, ProposalNumber)")]
pub struct KnownValue {
    /// The epoch in which the value was accepted.
    pub epoch: u64,
    /// The proposal number with which the value was accepted.
    pub number: ProposalNumber,
}

impl From<(u64, ProposalNumber)> for KnownValue {
    fn from((epoch, number): (u64, ProposalNumber)) -> Self {
        KnownValue { epoch, number }
    }
}

impl From<KnownValue> for (u64, ProposalNumber) {
    fn from(known: KnownValue) -> Self {
        (known.epoch, known.number)
    }
}

/// A request of a proposer to a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Return the accepted proposal. Its value is omitted if the proposer already has it.
    Read {
        /// The value that the proposer already has.
        known: Option<KnownValue>,
    },
    /// Phase 1: promise to accept no proposal with a lower number, and return the accepted proposal.
    Prepare {
        /// The epoch of the proposal number.
        epoch: u64,
        /// The proposal number to promise.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// The number of the accepted proposal whose value the proposer already has.
        known: Option<ProposalNumber>,
    },
    /// Phase 2: accept this proposal.
    Accept {
        /// The epoch of the proposal number.
        epoch: u64,
        /// The proposal number.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// The proposed value.
        #[serde(rename = "proposal")]
        value: ProposedValue,
        /// The membership of the next epoch. If set, the proposal seals the epoch once it is chosen.
        #[serde(rename = "next")]
        next_membership: Option<Membership>,
    },
    /// Enter an epoch with this state: a proposal accepted by a replica of that epoch, or the initial state
    /// of the epoch.
    Install {
        /// The membership of the epoch.
        membership: Membership,
        /// The state to install.
        accepted: AcceptedProposal,
    },
    /// Store a proposal that is known to be chosen in the current epoch of the replica.
    Learn {
        /// The epoch in which the proposal was chosen.
        epoch: u64,
        /// The chosen proposal.
        accepted: AcceptedProposal,
    },
}
