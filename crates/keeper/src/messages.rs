//! What gatherers and keepers exchange. The serialized names are those of the first release.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ashvane_fleet::{Lease, Reply, Table};
use serde::{Deserialize, Serialize};

/// A gatherer's call: that it is alive, and what it wants to know of.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallRequest {
    /// Its name.
    pub name: String,
    /// The role that it would take, if that is free.
    #[serde(rename = "seeks", default)]
    pub sought_role: Option<String>,
}

/// What a keeper tells of itself and of the record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallResponse {
    /// The keeper's number.
    pub keeper: u64,
    /// The number of the keeper that leads, as far as is known.
    pub leader: Option<u64>,
    /// The role that was sought is free, and is offered to this caller.
    #[serde(rename = "free")]
    pub is_offered: bool,
    /// By role.
    #[serde(rename = "duties")]
    pub leases: BTreeMap<String, Lease>,
    /// By role.
    pub tables: BTreeMap<String, Table>,
}

/// What somebody asks for as an owner, or to be one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseRequest {
    /// To become the owner, if the role is free.
    #[serde(rename = "take")]
    Acquire {
        /// The role.
        #[serde(rename = "duty")]
        role: String,
        /// Who asks.
        #[serde(rename = "who")]
        owner: String,
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

/// The answer to a [`LeaseRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LeaseResponse {
    /// What the record answers.
    Reply(Reply),
    /// This keeper does not lead, or the request was not agreed in time: then it may take effect all the same.
    #[serde(rename = "elsewhere")]
    NotCommitted {
        /// The keeper that leads, as far as is known.
        leader: Option<u64>,
    },
}

/// One keeper in another's place.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplaceRequest {
    /// The number of the keeper that goes.
    #[serde(rename = "out")]
    pub removed: u64,
    /// The number of the keeper that comes.
    #[serde(rename = "new")]
    pub added: u64,
    /// Where it is reached.
    pub address: SocketAddr,
}
