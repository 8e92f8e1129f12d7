//! Nodes of a rehearsal and their loopback addresses.

use std::fmt;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// Node addresses with the same third octet; none ends in 0 or 255.
const ADDRESSES_PER_OCTET: u16 = 250;
/// Third octets reserved for each kind of node: enough for a thousand nodes.
const OCTETS_PER_KIND: u16 = 4;

/// A participant of a rehearsal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "String")]
pub enum Node {
    Clients,
    List,
    Gatherer(u16),
    Server(u16),
    Keeper(u16),
    /// The gatherer that owns the roster when an action takes place. Used in plans only.
    Owner,
}

/// Kind of nodes that an action selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Clients,
    List,
    Gatherers,
    Servers,
    Keepers,
    /// The gatherer that owns the roster when the action takes place.
    Owner,
}

impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Node::Clients => f.write_str("clients"),
            Node::List => f.write_str("list"),
            Node::Gatherer(i) => write!(f, "g{i}"),
            Node::Server(i) => write!(f, "s{i}"),
            Node::Keeper(i) => write!(f, "k{i}"),
            Node::Owner => f.write_str("owner"),
        }
    }
}

impl From<Node> for String {
    fn from(node: Node) -> String {
        node.to_string()
    }
}

impl Node {
    /// Returns the loopback address of the node. The second octet depends on the process id, so that rigs
    /// running at the same time normally have different addresses.
    pub fn address(self) -> Ipv4Addr {
        let (kind, index) = match self {
            Node::Clients | Node::Owner => (0, 0),
            Node::List => (0, 1),
            Node::Keeper(i) => (0, 2 + i % (ADDRESSES_PER_OCTET - 2)),
            Node::Gatherer(i) => (1, i),
            Node::Server(i) => (1 + OCTETS_PER_KIND, i),
        };
        let rig = 128 + (std::process::id() % 120) as u8;
        Ipv4Addr::new(
            127,
            rig,
            (kind + index / ADDRESSES_PER_OCTET) as u8,
            1 + (index % ADDRESSES_PER_OCTET) as u8,
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn node_addresses_are_distinct() {
        let both = (0..1000).flat_map(|i| [Node::Gatherer(i), Node::Server(i)]);
        let all = [Node::Clients, Node::List].into_iter().chain((0..5).map(Node::Keeper)).chain(both);
        let addresses: std::collections::BTreeSet<Ipv4Addr> = all.map(Node::address).collect();
        assert_eq!(addresses.len(), 2007);
        assert!(addresses.iter().all(Ipv4Addr::is_loopback));
    }
}
