//! What a proposer asks of a replica.

use serde::{Deserialize, Serialize};

use crate::{Accepted, Ballot, Membership, Proposal};

/// What a proposer asks of a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Request {
    /// What is accepted, with the value unless it is the one that the proposer has.
    Read {
        /// Epoch and ballot of the value that the proposer has.
        known: Option<(u64, Ballot)>,
    },
    /// Promise to accept nothing below this ballot; the answer brings what was accepted.
    Prepare {
        /// The epoch that the ballot belongs to.
        epoch: u64,
        /// The ballot to promise.
        ballot: Ballot,
        /// Ballot of the value that the proposer has.
        known: Option<Ballot>,
    },
    /// Accept this value.
    Accept {
        /// The epoch that the ballot belongs to.
        epoch: u64,
        /// The ballot of the proposal.
        ballot: Ballot,
        /// The value.
        proposal: Proposal,
        /// Seals the epoch if this is chosen.
        next: Option<Membership>,
    },
    /// Enter an epoch with its state: what a replica of that epoch has accepted, or what the epoch begins with.
    Install {
        /// The epoch's members.
        membership: Membership,
        /// Its state.
        accepted: Accepted,
    },
    /// Take over a value that is known to be chosen in an epoch that the replica is in.
    Learn {
        /// The epoch.
        epoch: u64,
        /// The chosen value.
        accepted: Accepted,
    },
}
