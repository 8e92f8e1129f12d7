//! What a proposer requests of a replica.

use serde::{Deserialize, Serialize};

use crate::{AcceptedProposal, Membership, ProposalNumber, ProposedValue};

/// The value that a proposer has already, so that it need not be sent to it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, ProposalNumber)", into = "(u64, ProposalNumber)")]
pub struct KnownValue {
    /// The epoch in which it was accepted.
    pub epoch: u64,
    /// The number under which it was accepted.
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

/// What a proposer requests of a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// Return what is accepted, with the value unless the proposer has it.
    Read {
        /// The value that the proposer has.
        known: Option<KnownValue>,
    },
    /// Phase 1: promise to accept nothing below this number; the response brings what was accepted.
    Prepare {
        /// The epoch that the number belongs to.
        epoch: u64,
        /// The number to promise.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// Number of the value that the proposer has.
        known: Option<ProposalNumber>,
    },
    /// Phase 2: accept this value.
    Accept {
        /// The epoch that the number belongs to.
        epoch: u64,
        /// The number of the proposal.
        #[serde(rename = "ballot")]
        number: ProposalNumber,
        /// The value.
        #[serde(rename = "proposal")]
        value: ProposedValue,
        /// Seals the epoch if the proposal is chosen: the members of the next epoch.
        #[serde(rename = "next")]
        next_membership: Option<Membership>,
    },
    /// Enter an epoch with its state: what a replica of that epoch has accepted, or what the epoch begins with.
    Install {
        /// The epoch's members.
        membership: Membership,
        /// Its state.
        accepted: AcceptedProposal,
    },
    /// Take over a proposal that is known to be chosen in an epoch that the replica is in.
    Learn {
        /// The epoch.
        epoch: u64,
        /// The chosen proposal.
        accepted: AcceptedProposal,
    },
}
