//! What a proposer asks of a replica, and what comes back.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{DiskId, Membership, StoredConfig, Value};

/// Orders proposals within an epoch. No two operations share one: each adds a name of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Above all that the proposer has seen.
    pub round: u64,
    /// The operation's name, unique over all processes and their lives.
    pub by: Arc<str>,
}

/// A value as a replica has accepted it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Accepted {
    /// The ballot of its proposal; the lowest one for the state that an epoch begins with.
    pub ballot: Ballot,
    /// What the register holds if this is chosen.
    pub value: Arc<Value>,
    /// Seals the epoch if this is chosen: the members of the next one.
    pub next: Option<Membership>,
}

/// A proposed value, told by its difference where the replica has what it differs from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Proposal {
    /// The whole value.
    Whole(Arc<Value>),
    /// The value accepted under that ballot, as it is.
    Same {
        /// The ballot under which the replica has to hold it.
        base: Ballot,
    },
    /// The value accepted under that ballot, with one more configuration.
    With {
        /// The ballot under which the replica has to hold it.
        base: Ballot,
        /// The configuration that is new.
        config: StoredConfig,
    },
}

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

/// Why a replica did not do as asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It holds the state of another epoch.
    OtherEpoch,
    /// Its disk has no vote in that epoch.
    NotAMember,
    /// It has promised a higher ballot.
    Outbid,
    /// It does not hold the value that the proposal differs from.
    NeedsWhole,
    /// What is asked contradicts itself.
    Malformed,
}

/// A replica's state after a request. It leaves only once all that it rests on is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Response {
    /// Why it did not do as asked; none if it did.
    pub refusal: Option<Refusal>,
    /// The replica's disk.
    pub disk: DiskId,
    /// The epoch whose state it holds, and its members.
    pub membership: Membership,
    /// The highest ballot that it has promised in that epoch.
    pub promised: Ballot,
    /// The ballot of what it has accepted.
    pub ballot: Ballot,
    /// The membership that this accepted value names as the next one.
    pub next: Option<Membership>,
    /// The accepted value, where the proposer does not have it.
    pub value: Option<Arc<Value>>,
}

impl Response {
    /// What the replica has accepted, where the answer carries it.
    pub fn accepted(&self) -> Option<Accepted> {
        let value = self.value.clone()?;
        Some(Accepted { ballot: self.ballot.clone(), value, next: self.next.clone() })
    }
}
