//! What the record answers to a command.

use serde::{Deserialize, Serialize};

/// What the record answers to a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The lease is granted or renewed, in this epoch.
    Granted {
        /// The epoch.
        epoch: u64,
    },
    /// The lease is released.
    #[serde(rename = "given")]
    Released,
    /// The table is written.
    Written {
        /// How often it was written in all.
        version: u64,
    },
    /// The command comes from an epoch that is over, or was judged on what has changed since. Nothing has changed.
    Fenced {
        /// The epoch that is in force.
        epoch: u64,
    },
    /// The command can never be applied. Nothing has changed.
    #[serde(rename = "refused")]
    Rejected {
        /// Why.
        #[serde(rename = "why")]
        reason: String,
    },
}
