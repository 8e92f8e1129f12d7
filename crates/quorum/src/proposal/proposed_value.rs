//! A proposed value as it is sent to a replica.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ProposalNumber, RegisterValue, VersionedConfig};

/// A proposed value, as its difference from what the replica has accepted where that is known to the proposer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProposedValue {
    /// The complete value.
    #[serde(rename = "Whole")]
    Complete(Arc<RegisterValue>),
    /// The value accepted under that number, unchanged.
    #[serde(rename = "Same")]
    Unchanged {
        /// The number under which the replica has to have accepted it.
        base: ProposalNumber,
    },
    /// The value accepted under that number, with one configuration added.
    #[serde(rename = "With")]
    Extended {
        /// The number under which the replica has to have accepted it.
        base: ProposalNumber,
        /// The configuration that is new.
        config: VersionedConfig,
    },
}
