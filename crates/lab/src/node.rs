//! Who takes part in a rehearsal, and the loopback address that each has there.

use std::fmt;
use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// Addresses in one octet of a node's address: none ends in 0 or 255.
const IN_OCTET: u16 = 250;
/// Third octets that each kind of node has: enough for a thousand of a kind.
const OCTETS: u16 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "String")]
pub enum Node {
    Clients,
    List,
    Gatherer(u16),
    Server(u16),
    Keeper(u16),
    /// The gatherer that owns the roster at the moment of an act: only a plan names it so.
    Owner,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Clients,
    List,
    Gatherers,
    Servers,
    Keepers,
    /// The gatherer that owns the roster when the act comes.
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
    /// Its loopback address in the rig of this process: two rigs at once have others.
    pub fn address(self) -> Ipv4Addr {
        let (kind, index) = match self {
            Node::Clients | Node::Owner => (0, 0),
            Node::List => (0, 1),
            Node::Keeper(i) => (0, 2 + i % (IN_OCTET - 2)),
            Node::Gatherer(i) => (1, i),
            Node::Server(i) => (1 + OCTETS, i),
        };
        let rig = 128 + (std::process::id() % 120) as u8;
        Ipv4Addr::new(127, rig, (kind + index / IN_OCTET) as u8, 1 + (index % IN_OCTET) as u8)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_two_nodes_have_one_address() {
        let both = (0..1000).flat_map(|i| [Node::Gatherer(i), Node::Server(i)]);
        let all = [Node::Clients, Node::List].into_iter().chain((0..5).map(Node::Keeper)).chain(both);
        let addresses: std::collections::BTreeSet<Ipv4Addr> = all.map(Node::address).collect();
        assert_eq!(addresses.len(), 2007);
        assert!(addresses.iter().all(Ipv4Addr::is_loopback));
    }
}
