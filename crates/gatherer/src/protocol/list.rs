//! Discovery's list of shard servers, whole or as changes.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ashvane::Health;
use ashvane_settings::Network;
use serde::Deserialize;
use serde_json::Value;

#[derive(Deserialize)]
struct WireList {
    revision: u64,
    complete: bool,
    members: Vec<WireMember>,
}

#[derive(Deserialize)]
struct WireMember {
    id: String,
    host_port: SocketAddr,
    locality: Option<String>,
    cell: u32,
    phase: WirePhase,
    #[serde(default)]
    up_since_ms: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum WirePhase {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerList {
    pub revision: u64,
    /// All servers, or only those that changed.
    pub complete: bool,
    pub servers: Vec<ServerEntry>,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerEntry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: Option<u32>,
    pub cell: u32,
    pub health: Health,
    /// When it last started, in Unix time; none for long ago.
    pub started_at: Option<Duration>,
}

/// A list is taken whole or not at all.
fn from_wire(wire: WireList, network: &Network) -> Result<ServerList, String> {
    let mut seen = BTreeSet::new();
    let mut servers = Vec::with_capacity(wire.members.len());
    for m in wire.members {
        if m.cell >= network.cells {
            return Err(format!("{:?} has cell {} of {}", m.id, m.cell, network.cells));
        }
        if !seen.insert(m.id.clone()) {
            return Err(format!("{:?} is listed twice", m.id));
        }
        let health = match m.phase {
            WirePhase::Ready => Health::Ready,
            WirePhase::Draining => Health::Draining,
            WirePhase::Gone => Health::Gone,
        };
        let zone = m.locality.and_then(|name| network.zones.iter().position(|z| *z == name));
        let started_at = Some(Duration::from_millis(m.up_since_ms)).filter(|t| !t.is_zero());
        let zone = zone.map(|z| z as u32);
        servers.push(ServerEntry { id: m.id, address: m.host_port, zone, cell: m.cell, health, started_at });
    }
    Ok(ServerList { revision: wire.revision, complete: wire.complete, servers })
}

pub(crate) fn decode(bytes: &[u8], network: &Network) -> Result<ServerList, String> {
    from_wire(serde_json::from_slice(bytes).map_err(|e| e.to_string())?, network)
}

pub(crate) fn from_value(value: Value, network: &Network) -> Result<ServerList, String> {
    from_wire(serde_json::from_value(value).map_err(|e| e.to_string())?, network)
}
