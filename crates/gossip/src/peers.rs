//! Who connects to whom: each process has a few peers, selected by rendezvous hashing (Thaler and Ravishankar, 1998) over
//! those that it knows, so that a change of one process moves few connections.

use std::cmp::Reverse;

use crate::Node;
use crate::stable_hash::stable_hash;

/// What a process is to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes clients' requests and gathers their answers.
    Gateway,
    /// Keeps the configuration on its disk, and receives the calls of servers and operators.
    Control,
}

/// Gateways that a gateway connects to beside control nodes.
const GATEWAY_PEER_COUNT: usize = 2;

/// A process that one may connect to, with what decides in which order.
struct Candidate<'a> {
    node: &'a Node,
    is_in_own_zone: bool,
    weight: u64,
}

/// The peers that a process connects to by itself; others may connect to it.
///
/// Control nodes all connect to each other, for they vote together. A gateway connects to one control node more than may
/// fail at once (`max_failures`), those of its own zone first, and to a few gateways. `is_reachable` leaves out those that
/// it could not connect to of late.
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

/// So many of these nodes, the first of each zone before others of the same zone: one zone may be partitioned off.
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
