//! Parsing of a server's heartbeat request.

use std::net::SocketAddr;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_identifiers::ServerId;
use serde_json::Value;

use crate::document::{Faults, Field};

/// Parses the body of a heartbeat request. Returns all of its faults if it is not valid.
pub(super) fn parse(id: ServerId, body: &[u8]) -> Result<Heartbeat, Faults> {
    let document: Value = serde_json::from_slice(body).map_err(Faults::unreadable)?;
    let root = Field::root(&document);
    let capacity = |field: &Field<'_>| field.unsigned().min(u64::from(u32::MAX)) as u32;
    let heartbeat = Heartbeat {
        id,
        service: root.get("service").name().into(),
        address: root.get("address").name().into(),
        zone: root.get("zone").or(String::new(), Field::name).into(),
        capacity: root.get("capacity").or(1, capacity),
        state: read_state(&root.get("state")),
        sequence: root.get("call-seq").or(0, Field::unsigned),
    };
    if heartbeat.address.as_str().parse::<SocketAddr>().is_err() {
        root.get("address").report("an address and a port are needed here");
    }
    root.finish(heartbeat)
}

fn read_state(field: &Field<'_>) -> ServerState {
    match field.or("ready", Field::text) {
        "draining" => ServerState::Draining,
        "ready" => ServerState::Ready,
        _ => {
            field.report("ready or draining is needed here");
            ServerState::Ready
        }
    }
}
