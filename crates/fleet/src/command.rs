//! Commands that change the lease record.

use serde::{Deserialize, Serialize};

/// A command that keepers replicate. Applying a command uses no clock: whether a lease has expired is decided
/// before the command is created, and the command carries the state on which that decision was based for
/// comparison when it is applied.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Acquires a role whose lease was found free or expired at the given epoch and number of renewals.
    #[serde(rename = "take")]
    Acquire {
        /// Name of the role.
        #[serde(rename = "duty")]
        role: String,
        /// Name of the process that becomes the owner.
        #[serde(rename = "who")]
        owner: String,
        /// Epoch of the free or expired lease.
        epoch: u64,
        /// Number of renewals of the free or expired lease.
        #[serde(rename = "beat")]
        renewals: u64,
    },
    /// Renews the owner's lease.
    Renew {
        /// Name of the role.
        #[serde(rename = "duty")]
        role: String,
        /// Name of the owner.
        #[serde(rename = "who")]
        owner: String,
        /// Epoch of the owner's lease.
        epoch: u64,
    },
    /// Releases the owner's lease, so that another process can acquire the role at once.
    #[serde(rename = "give")]
    Release {
        /// Name of the role.
        #[serde(rename = "duty")]
        role: String,
        /// Name of the owner.
        #[serde(rename = "who")]
        owner: String,
        /// Epoch of the owner's lease.
        epoch: u64,
    },
    /// Replaces the role's table.
    Write {
        /// Name of the role.
        #[serde(rename = "duty")]
        role: String,
        /// Epoch of the writer's lease.
        epoch: u64,
        /// New content of the table.
        text: String,
    },
}

impl Command {
    /// Returns the name of the role that the command refers to.
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
