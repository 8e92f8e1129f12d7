//! What is asked of the record.

use serde::{Deserialize, Serialize};

/// A command that keepers replicate. What depends on time is judged before a command is made, and its grounds are compared
/// again when it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// To become the owner after the lease that was judged to be expired: this epoch, after so many renewals.
    #[serde(rename = "take")]
    Acquire {
        /// The role.
        #[serde(rename = "duty")]
        role: String,
        /// Who asks.
        #[serde(rename = "who")]
        owner: String,
        /// The epoch of the expired lease.
        epoch: u64,
        /// Its renewals.
        #[serde(rename = "beat")]
        renewals: u64,
    },
    /// To go on as the owner.
    Renew {
        /// The role.
        #[serde(rename = "duty")]
        role: String,
        /// Who asks.
        #[serde(rename = "who")]
        owner: String,
        /// The epoch of its lease.
        epoch: u64,
    },
    /// To hand over.
    #[serde(rename = "give")]
    Release {
        /// The role.
        #[serde(rename = "duty")]
        role: String,
        /// Who asks.
        #[serde(rename = "who")]
        owner: String,
        /// The epoch of its lease.
        epoch: u64,
    },
    /// To write the role's table.
    Write {
        /// The role.
        #[serde(rename = "duty")]
        role: String,
        /// The epoch of the writer's lease.
        epoch: u64,
        /// The table.
        text: String,
    },
}

impl Command {
    /// The role that it is about.
    #[must_use]
    pub fn role(&self) -> &str {
        match self {
            Command::Acquire { role, .. }
            | Command::Renew { role, .. }
            | Command::Release { role, .. }
            | Command::Write { role, .. } => role,
        }
    }
}
