//! The form in which a proposed value is sent to a replica.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{ProposalNumber, RegisterValue, VersionedConfig};

/// A proposed value, sent as a difference from the value that the replica has accepted if the proposer knows
/// that one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ProposedValue {
    /// The complete value.
    #[serde(rename = "Whole")]
    Complete(Arc<RegisterValue>),
    /// The value that the replica accepted with number `base`, unchanged.
    #[serde(rename = "Same")]
    Unchanged {
        /// The number that the accepted proposal of the replica must have.
        base: ProposalNumber,
    },
    /// The value that the replica accepted with number `base`, with one configuration added.
    #[serde(rename = "With")]
    Extended {
        /// The number that the accepted proposal of the replica must have.
        base: ProposalNumber,
        /// The configuration to add.
        config: VersionedConfig,
    },
}
