//! Who talks to whom: each process has a few peers, named by rendezvous hashing over those that it knows,
//! so that a change of one moves few of them.

use crate::{Node, hash};

/// What a process is to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes clients' requests.
    Front,
    /// Keeps state on a disk.
    Control,
}

/// Gatherers that a gatherer talks to beside those with disks.
const FRONT_PARTNERS: usize = 2;

fn role(node: &Node) -> Role {
    if node.disk.is_some() { Role::Control } else { Role::Front }
}

/// The peers that a process calls by itself; others may call it. Those with disks all talk to each other,
/// for they vote together. A gatherer calls one more of them than may be lost at once, its own zone's first,
/// and a few other gatherers. `reached` leaves out those that it has called in vain of late.
pub fn peers<'a>(
    me: &Node, nodes: impl Iterator<Item = &'a Node>, losses: usize, reached: impl Fn(&Node) -> bool,
) -> Vec<&'a Node> {
    let others = nodes.filter(|n| n.name != me.name && !n.down && reached(n));
    let mut ranked: Vec<(bool, u64, &Node)> =
        others.map(|n| (n.zone == me.zone, hash(&[me.name.as_bytes(), n.name.as_bytes()]), n)).collect();
    ranked.sort_by_key(|(near, rank, _)| std::cmp::Reverse((*near, *rank)));
    let control_nodes = ranked.iter().filter(|(_, _, n)| role(n) == Role::Control).map(|(_, _, n)| *n);
    if role(me) == Role::Control {
        return control_nodes.collect();
    }
    let mut fronts: Vec<_> = ranked.iter().filter(|(_, _, n)| role(n) == Role::Front).collect();
    fronts.sort_by_key(|(_, rank, _)| std::cmp::Reverse(*rank));
    let fronts = fronts.into_iter().take(FRONT_PARTNERS).map(|(_, _, n)| *n);
    // Not all from one zone: it may be the one that is cut off.
    let mut chosen: Vec<&Node> = Vec::new();
    let mut rest = Vec::new();
    for control_node in control_nodes {
        let fresh_zone = !chosen.iter().any(|c| c.zone == control_node.zone);
        if chosen.len() <= losses && fresh_zone { chosen.push(control_node) } else { rest.push(control_node) }
    }
    let missing = (losses + 1).saturating_sub(chosen.len());
    chosen.extend(rest.into_iter().take(missing));
    chosen.extend(fronts);
    chosen
}
