//! Heartbeats of servers.

use ashvane_identifiers::{Address, ServerId, ServiceName, Zone};

use crate::ServerState;

/// A heartbeat, which a server sends once per heartbeat interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identifier of the server, which changes with each start.
    pub id: ServerId,
    /// The service to which the server belongs.
    pub service: ServiceName,
    /// Address at which the server accepts requests.
    pub address: Address,
    /// Zone of the server's machine.
    pub zone: Zone,
    /// Maximum number of concurrent requests.
    pub capacity: u32,
    /// State of the server.
    pub state: ServerState,
    /// Sequence number. It increases with each heartbeat, so that late ones are detected.
    pub sequence: u64,
}
