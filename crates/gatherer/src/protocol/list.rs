//! Discovery's list of shard servers, complete or incremental.

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

/// A decoded and validated list of shard servers.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerList {
    pub revision: u64,
    /// Whether the list has all servers, not only those that changed since an earlier revision.
    pub complete: bool,
    pub servers: Vec<ServerEntry>,
}

/// One shard server of the list.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ServerEntry {
    pub id: String,
    pub address: SocketAddr,
    /// Index of the zone in the settings, or `None` if the zone is not stated or not in the settings.
    pub zone: Option<u32>,
    pub cell: u32,
    pub health: Health,
    /// Unix time of the last start, or `None` for long ago, which the message states as 0 or leaves out.
    pub started_at: Option<Duration>,
}

/// Converts a list, or fails as a whole if any entry is invalid.
fn from_wire(wire: WireList, network: &Network) -> Result<ServerList, String> {
    let mut ids = BTreeSet::new();
    let mut servers = Vec::with_capacity(wire.members.len());
    for member in wire.members {
        if member.cell >= network.cells {
            return Err(format!(
                "server {:?} is in cell {}, but there are only {} cells",
                member.id, member.cell, network.cells
            ));
        }
        if !ids.insert(member.id.clone()) {
            return Err(format!("server {:?} is listed twice", member.id));
        }
        let health = match member.phase {
            WirePhase::Ready => Health::Ready,
            WirePhase::Draining => Health::Draining,
            WirePhase::Gone => Health::Gone,
        };
        let zone = member.locality.and_then(|name| network.zones.iter().position(|zone| *zone == name));
        let started_at = Some(Duration::from_millis(member.up_since_ms)).filter(|time| !time.is_zero());
        let zone = zone.map(|index| index as u32);
        servers.push(ServerEntry {
            id: member.id,
            address: member.host_port,
            zone,
            cell: member.cell,
            health,
            started_at,
        });
    }
    Ok(ServerList { revision: wire.revision, complete: wire.complete, servers })
}

/// Decodes a list from the body of discovery's answer.
pub(crate) fn decode(bytes: &[u8], network: &Network) -> Result<ServerList, String> {
    from_wire(serde_json::from_slice(bytes).map_err(|e| e.to_string())?, network)
}

/// Decodes a list from a part of the configuration file.
pub(crate) fn from_value(value: Value, network: &Network) -> Result<ServerList, String> {
    from_wire(serde_json::from_value(value).map_err(|e| e.to_string())?, network)
}
