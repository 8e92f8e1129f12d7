//! Connections to one server.

use crate::MIN_GATEWAYS;

/// Connections that one of so many gateways may have open to a server that accepts `max_connections` from all of them. At
/// least one, for a gateway without any could never ask that server.
#[must_use]
pub fn connections_per_gateway(max_connections: usize, gateways: usize) -> usize {
    (max_connections / gateways.max(MIN_GATEWAYS)).max(1)
}
