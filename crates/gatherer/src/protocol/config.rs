//! What a gatherer is told at start: the file that `GW_CONFIG` names, and the variables beside it.

use std::net::SocketAddr;

use ashvane::Settings;
use ashvane_settings::Network;
use serde::Deserialize;
use serde_json::Value;

use super::list::ServerList;

#[derive(Deserialize)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

#[derive(Deserialize)]
struct ConfigFile {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Value,
    known: Value,
    settings: Value,
}

#[derive(Debug)]
pub(crate) struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    pub sockets: usize,
    pub initial_servers: ServerList,
    pub settings: Settings,
    pub network: Network,
    /// What the file says of the things that hold until the program ends.
    restart_only: Vec<(&'static str, Value)>,
}

impl Config {
    /// What a newer file says otherwise although only a restart can change it.
    pub(crate) fn restart_only_changes(&self, reloaded: &Config) -> Vec<&'static str> {
        let pairs = self.restart_only.iter().zip(&reloaded.restart_only);
        pairs.filter(|(current, updated)| current != updated).map(|(current, _)| current.0).collect()
    }
}

fn parse_address(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{name} {text:?} is not an address"))
}

/// Reads the configuration file that `GW_CONFIG` names. Variables hold over it, but at a reload the file is
/// newer than the variable that names discovery.
pub(crate) fn load(path: &str, reload: bool) -> Result<Config, String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|_| !(reload && name == "GW_DISCOVERY"));
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| decode(&text, variable)).map_err(|e| format!("GW_CONFIG {path}: {e}"))
}

/// Reads the configuration. `variable` tells an environment variable, which holds over the file.
fn decode(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let file: ConfigFile = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&file.seed, 16).map_err(|_| format!("seed {:?} is not hex", file.seed))?;
    let network = ashvane_settings::read_network(&file.settings)?;
    let limits = Limits::deserialize(&file.limits).map_err(|e| format!("limits: {e}"))?;
    let overridden = |name: &str, text: &str| variable(name).unwrap_or_else(|| text.to_owned());
    Ok(Config {
        name: overridden("GW_NAME", &file.name),
        listen: parse_address("GW_LISTEN", &overridden("GW_LISTEN", &file.listen))?,
        discovery: parse_address("GW_DISCOVERY", &overridden("GW_DISCOVERY", &file.discovery))?,
        memory_mb: limits.memory_mb,
        sockets: limits.sockets,
        initial_servers: super::list::from_value(file.known, &network).map_err(|e| format!("known: {e}"))?,
        settings: ashvane_settings::read(seed, &file.settings)?,
        network,
        restart_only: vec![
            ("name", file.name.into()),
            ("listen", file.listen.into()),
            ("limits", file.limits),
            ("settings", file.settings),
        ],
    })
}
