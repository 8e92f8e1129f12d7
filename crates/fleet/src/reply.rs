//! Replies of the lease record.

use serde::{Deserialize, Serialize};

/// Reply of the record to a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The lease was granted or renewed.
    Granted {
        /// Epoch of the lease.
        epoch: u64,
    },
    /// The lease was released.
    #[serde(rename = "given")]
    Released,
    /// The table was written.
    Written {
        /// Number of writes of the table in all epochs.
        version: u64,
    },
    /// The command belongs to a superseded epoch, comes from a process that is not the owner, or was decided
    /// on a lease that has changed since. The record is unchanged.
    Fenced {
        /// Current epoch of the role.
        epoch: u64,
    },
    /// The command is invalid. The record is unchanged.
    #[serde(rename = "refused")]
    Rejected {
        /// Reason for the rejection.
        #[serde(rename = "why")]
        reason: String,
    },
}
