//! A value as a replica has accepted it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Ballot, Membership, Value};

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
