//! Messages between gatherers and keepers. Their serialized names are those of the first release, for
//! compatibility.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ashvane_fleet::{Lease, Reply, Table};
use serde::{Deserialize, Serialize};

/// Periodic call of a gatherer, which also serves as its heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRequest {
    /// Name of the gatherer.
    pub name: String,
    /// Role that the gatherer would acquire if it is free.
    #[serde(rename = "seeks", default)]
    pub sought_role: Option<String>,
}

/// Reply to a [`CallRequest`]: state of the keeper and of the record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResponse {
    /// Number of the keeper.
    pub keeper: u64,
    /// Number of the leading keeper, if known.
    pub leader: Option<u64>,
    /// Whether the sought role is free and offered to this caller.
    #[serde(rename = "free")]
    pub is_offered: bool,
    /// Leases by role name.
    #[serde(rename = "duties")]
    pub leases: BTreeMap<String, Lease>,
    /// Tables by role name.
    pub tables: BTreeMap<String, Table>,
}

/// Request of an owner or a candidate.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseRequest {
    /// Acquires the role if it is free or its lease has expired.
    #[serde(rename = "take")]
    Acquire {
        /// Name of the role.
        #[serde(rename = "duty")]
        role: String,
        /// Name of the process that becomes the owner.
        #[serde(rename = "who")]
        owner: String,
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

/// Reply to a [`LeaseRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseResponse {
    /// The record's reply.
    Reply(Reply),
    /// This keeper does not lead, or the request was not committed in time. In the second case it may still
    /// take effect later.
    #[serde(rename = "elsewhere")]
    NotCommitted {
        /// Number of the leading keeper, if known.
        leader: Option<u64>,
    },
}

/// Request to replace one keeper by another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// Number of the removed keeper.
    #[serde(rename = "out")]
    pub removed: u64,
    /// Number of the added keeper.
    #[serde(rename = "new")]
    pub added: u64,
    /// Address of the added keeper.
    pub address: SocketAddr,
}
