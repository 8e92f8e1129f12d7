//! Tests of the engine and of each of its concerns alone: events in, decisions out, without I/O or a real
//! clock.

#[path = "engine/configuration.rs"]
mod configuration;
#[path = "engine/connections.rs"]
mod connections;
#[path = "engine/departures.rs"]
mod departures;
#[path = "engine/events.rs"]
mod events;
#[path = "engine/roles.rs"]
mod roles;

use std::time::Duration;

use ashvane_gossip::{Directory, Node, Update};
use ashvane_node::engine::LinkTable;
use ashvane_node::links::{Direction, LinkId};
use ashvane_quorum::{Member, Membership};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A control node whose disk has the same name.
fn control_node(name: &str) -> Node {
    Node {
        name: name.into(),
        incarnation: 1,
        generation: 1,
        is_down: false,
        address: format!("{name}:7080").into(),
        control_address: Some(format!("{name}:8047").into()),
        zone: "z".into(),
        is_gateway: false,
        disk: Some(name.into()),
    }
}

fn gateway(name: &str) -> Node {
    Node { is_gateway: true, disk: None, control_address: None, ..control_node(name) }
}

/// Directory of a process that knows these other processes.
fn directory(own: Node, others: &[Node]) -> Directory {
    let mut directory = Directory::new(own, ms(1000), ms(0));
    for other in others {
        directory.apply(Update::Node(other.clone()), ms(0));
    }
    directory
}

/// Membership of an epoch, by the names of the members.
fn membership(epoch: u64, names: &[&str]) -> Membership {
    let member = |name: &&str| Member { disk: (*name).into(), address: format!("{name}:7080").into() };
    Membership::new(epoch, names.iter().map(member).collect())
}

/// Opens an outgoing link at time 0.
fn link_to(links: &mut LinkTable, peer: Node) -> LinkId {
    links.open(peer, Direction::Outgoing, ms(0))
}
