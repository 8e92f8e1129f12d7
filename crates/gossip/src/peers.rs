//! Selection of peers. Each process connects to a few peers, selected by rendezvous hashing (Thaler and
//! Ravishankar, 1998) among the known processes, so that a change of one process moves few connections.

use std::cmp::Reverse;

use crate::Node;
use crate::stable_hash::stable_hash;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Accepts the requests of clients and collects the answers.
    Gateway,
    /// Stores the configuration on its disk, and accepts the calls of servers and operators.
    Control,
}

/// Number of gateways to which a gateway connects, in addition to control nodes.
const GATEWAY_PEER_COUNT: usize = 2;

/// A process that may be selected as a peer, with its sort keys.
struct Candidate<'a> {
    node: &'a Node,
    is_in_own_zone: bool,
    weight: u64,
}

/// Returns the peers to which a process opens connections. Other processes may also connect to it.
///
/// All control nodes connect to each other, because they vote together. A gateway connects to one more
/// control node than may fail at once (`max_failures`), in different zones if possible and starting with its
/// own zone, and to a few gateways. `is_reachable` excludes processes to which recent connection attempts
/// have failed.
pub fn select_peers<'a>(
    own: &Node, nodes: impl Iterator<Item = &'a Node>, max_failures: usize,
    is_reachable: impl Fn(&Node) -> bool,
) -> Vec<&'a Node> {
    let others = nodes.filter(|node| node.name != own.name && !node.is_down && is_reachable(node));
    let candidate = |node: &'a Node| Candidate {
        node,
        is_in_own_zone: node.zone == own.zone,
        weight: stable_hash(&[own.name.as_str().as_bytes(), node.name.as_str().as_bytes()]),
    };
    let (mut control_nodes, mut gateways): (Vec<Candidate<'_>>, Vec<Candidate<'_>>) =
        others.map(candidate).partition(|candidate| candidate.node.role() == Role::Control);
    control_nodes.sort_by_key(|candidate| Reverse((candidate.is_in_own_zone, candidate.weight)));
    let control_nodes = control_nodes.into_iter().map(|candidate| candidate.node);
    if own.role() == Role::Control {
        return control_nodes.collect();
    }
    gateways.sort_by_key(|candidate| Reverse(candidate.weight));
    let gateways = gateways.into_iter().map(|candidate| candidate.node).take(GATEWAY_PEER_COUNT);
    let mut peers = spread_over_zones(control_nodes, max_failures + 1);
    peers.extend(gateways);
    peers
}

/// Returns up to `count` of the nodes, from different zones if possible, because one zone may be partitioned
/// from the others.
fn spread_over_zones<'a>(nodes: impl Iterator<Item = &'a Node>, count: usize) -> Vec<&'a Node> {
    let mut selected: Vec<&Node> = Vec::new();
    let mut others = Vec::new();
    for node in nodes {
        let is_new_zone = !selected.iter().any(|other| other.zone == node.zone);
        if selected.len() < count && is_new_zone {
            selected.push(node);
        } else {
            others.push(node);
        }
    }
    let missing = count.saturating_sub(selected.len());
    selected.extend(others.into_iter().take(missing));
    selected
}
