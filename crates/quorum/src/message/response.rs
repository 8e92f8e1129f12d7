//! What a replica answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Accepted, Ballot, DiskId, Membership, Refusal, Value};

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
