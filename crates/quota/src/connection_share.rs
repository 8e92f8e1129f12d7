//! Limit on the connections of a gateway to one server.

use crate::MIN_GATEWAYS;

/// Returns how many connections each of `gateways` gateways may have open to a server that accepts
/// `max_connections` in total. The result is at least one, since a gateway without connections could never
/// send that server a request.
#[must_use]
pub fn connections_per_gateway(max_connections: usize, gateways: usize) -> usize {
    (max_connections / gateways.max(MIN_GATEWAYS)).max(1)
}
