//! How an operation ends.

use crate::{Accepted, Membership, Standing, StoredConfig};

/// A value that a majority of an epoch's members has accepted under one ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Chosen {
    /// The epoch that it was chosen in.
    pub epoch: u64,
    /// The value and its ballot.
    pub accepted: Accepted,
}

impl Chosen {
    /// The configuration that it holds.
    pub fn config(&self) -> Option<&StoredConfig> {
        self.accepted.value.config.as_ref()
    }
}

/// How an operation ended. Each rests on a round to a majority that began after the operation did.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// How the order of a write stands to what is chosen; never [`Standing::New`].
    Written(Standing, Chosen),
    /// The newest value.
    Found(Chosen),
    /// The membership in force after a change: the wanted one, or that of whoever was first.
    Changed(Membership),
}
