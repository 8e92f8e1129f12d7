//! What a server says of itself.

use ashvane_identifiers::{Address, ServerId, ServiceName, Zone};

use crate::ServerState;

/// What a server says of itself, about each heartbeat interval.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// A new one with each start of the server.
    pub id: ServerId,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: Address,
    /// The zone of its machine.
    pub zone: Zone,
    /// How many requests it takes at once.
    pub capacity: u32,
    /// Whether it is shutting down.
    pub state: ServerState,
    /// Rises with each heartbeat, so that a late one is recognized.
    pub sequence: u64,
}
