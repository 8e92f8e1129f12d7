//! What a gatherer is told at start: the file that `GW_CONFIG` names, and the variables beside it.

use std::net::SocketAddr;

use ashvane::Settings;
use ashvane_settings::Network;
use serde::Deserialize;
use serde_json::Value;

use super::list::List;

#[derive(Deserialize)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    known: Value,
    settings: Value,
}

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: String,
    pub memory_mb: u64,
    pub sockets: usize,
    pub known: List,
    pub settings: Settings,
    pub network: Network,
}

/// Reads the configuration. `variable` tells an environment variable, which holds over the file.
pub fn decode(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| format!("seed {:?} is not hex", file.seed))?;
    let network = ashvane_settings::read_network(&file.settings)?;
    let listen = variable("GW_LISTEN").unwrap_or(file.listen);
    Ok(Config {
        name: variable("GW_NAME").unwrap_or(file.name),
        listen: listen.parse().map_err(|_| format!("GW_LISTEN {listen:?} is not an address"))?,
        discovery: variable("GW_DISCOVERY").unwrap_or(file.discovery),
        memory_mb: file.limits.memory_mb,
        sockets: file.limits.sockets,
        known: super::list::from_value(file.known, &network).map_err(|e| format!("known: {e}"))?,
        settings: ashvane_settings::read(seed, &file.settings)?,
        network,
    })
}
