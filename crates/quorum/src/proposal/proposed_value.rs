//! A proposed value as it is sent to a replica.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Ballot, StoredConfig, Value};

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
