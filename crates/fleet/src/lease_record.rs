//! The record that keepers replicate: the owner and epoch of each role, and the small tables that owners
//! write. Every keeper applies the same commands in the same order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Command, Reply};

/// Maximum number of roles, and therefore of tables.
pub const MAX_ROLES: usize = 16;
/// Maximum length of the name of a role or an owner, in bytes.
pub const MAX_NAME_LENGTH: usize = 64;
/// Maximum length of a table's text, in bytes.
pub const MAX_TABLE_LENGTH: usize = 64 * 1024;

/// Lease of a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Name of the owner, or `None` if the role is free.
    pub owner: Option<String>,
    /// Number of times the role was acquired; each acquisition starts a new epoch.
    pub epoch: u64,
    /// Number of renewals within the epoch; a release counts as one more.
    #[serde(rename = "beat")]
    pub renewals: u64,
}

impl Lease {
    fn is_held_by(&self, owner: &str, epoch: u64) -> bool {
        self.epoch == epoch && self.owner.as_deref() == Some(owner)
    }
}

/// Small table that the owner of a role writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// Epoch of the owner that last wrote the table.
    pub epoch: u64,
    /// Number of writes in all epochs.
    pub version: u64,
    /// Content of the table.
    pub text: String,
}

/// The leases and tables of all roles.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Leases by role name.
    #[serde(rename = "duties")]
    pub leases: BTreeMap<String, Lease>,
    /// Tables by role name.
    pub tables: BTreeMap<String, Table>,
}

impl LeaseRecord {
    /// Returns the lease of a role, or a free lease of epoch 0 if the role has never had an owner.
    #[must_use]
    pub fn lease(&self, role: &str) -> Lease {
        self.leases.get(role).cloned().unwrap_or_default()
    }

    /// Returns the reason why a command is invalid, if it is.
    fn rejection_reason(&self, command: &Command) -> Option<&'static str> {
        let role = command.role();
        let is_invalid = |name: &str| name.is_empty() || name.len() > MAX_NAME_LENGTH;
        match command {
            _ if is_invalid(role) => Some("a duty's name is empty or too long"),
            _ if !self.leases.contains_key(role) && self.leases.len() >= MAX_ROLES => Some("too many duties"),
            Command::Acquire { owner, .. } if is_invalid(owner) => {
                Some("an owner's name is empty or too long")
            }
            Command::Write { text, .. } if text.len() > MAX_TABLE_LENGTH => Some("a table is too long"),
            _ => None,
        }
    }

    /// Applies a command. The result depends only on the record and the command, so it is the same on every
    /// keeper.
    pub fn apply(&mut self, command: &Command) -> Reply {
        if let Some(reason) = self.rejection_reason(command) {
            return Reply::Rejected { reason: reason.to_owned() };
        }
        match command {
            Command::Acquire { role, owner, epoch, renewals } => self.acquire(role, owner, *epoch, *renewals),
            Command::Renew { role, owner, epoch } => self.renew(role, owner, *epoch),
            Command::Release { role, owner, epoch } => self.release(role, owner, *epoch),
            Command::Write { role, epoch, text } => self.write(role, *epoch, text),
        }
    }

    /// Grants the role only if its lease is unchanged since it was found free or expired.
    fn acquire(&mut self, role: &str, owner: &str, epoch: u64, renewals: u64) -> Reply {
        let expired = self.lease(role);
        if expired.epoch != epoch || expired.renewals != renewals {
            return Reply::Fenced { epoch: expired.epoch };
        }
        let epoch = expired.epoch + 1;
        self.set_lease(role, Lease { owner: Some(owner.to_owned()), epoch, renewals: 0 });
        Reply::Granted { epoch }
    }

    fn renew(&mut self, role: &str, owner: &str, epoch: u64) -> Reply {
        let lease = self.lease(role);
        if !lease.is_held_by(owner, epoch) {
            return Reply::Fenced { epoch: lease.epoch };
        }
        let renewals = lease.renewals + 1;
        self.set_lease(role, Lease { renewals, ..lease });
        Reply::Granted { epoch }
    }

    fn release(&mut self, role: &str, owner: &str, epoch: u64) -> Reply {
        let lease = self.lease(role);
        if !lease.is_held_by(owner, epoch) {
            return Reply::Fenced { epoch: lease.epoch };
        }
        // The count of renewals changes too, so that an acquisition decided on before the release is fenced.
        let renewals = lease.renewals + 1;
        self.set_lease(role, Lease { owner: None, epoch, renewals });
        Reply::Released
    }

    fn write(&mut self, role: &str, epoch: u64, text: &str) -> Reply {
        let lease = self.lease(role);
        if lease.epoch != epoch || lease.owner.is_none() {
            return Reply::Fenced { epoch: lease.epoch };
        }
        let table = self.tables.entry(role.to_owned()).or_default();
        *table = Table { epoch, version: table.version + 1, text: text.to_owned() };
        Reply::Written { version: table.version }
    }

    fn set_lease(&mut self, role: &str, lease: Lease) {
        self.leases.insert(role.to_owned(), lease);
    }
}
