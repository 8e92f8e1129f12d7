//! The start-up configuration: the file that `GW_CONFIG` names, and environment variables that override it.

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

/// The configuration file as it is written. `limits`, `known` and `settings` are decoded in a second step.
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

/// The configuration with the overrides of the environment applied.
#[derive(Debug)]
pub(crate) struct Config {
    /// Name of this gatherer.
    pub name: String,
    /// Address on which clients are served.
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Shard servers to use until discovery sends a list.
    pub initial_servers: ServerList,
    pub settings: Settings,
    pub network: Network,
    /// The file's values of the keys that take effect only at a restart, by key.
    restart_only: Vec<(&'static str, Value)>,
}

impl Config {
    /// Returns the keys that differ in `reloaded` but take effect only at a restart.
    pub(crate) fn restart_only_changes(&self, reloaded: &Config) -> Vec<&'static str> {
        let pairs = self.restart_only.iter().zip(&reloaded.restart_only);
        pairs.filter(|(current, updated)| current != updated).map(|(current, _)| current.0).collect()
    }
}

fn parse_address(name: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{name} {text:?} is not an address of the form IP:PORT"))
}

/// Reads the configuration file at `path`, which `GW_CONFIG` names. Environment variables override the file.
/// The exception is `GW_DISCOVERY` at a reload: the file is then newer than the variable.
pub(crate) fn load(path: &str, reload: bool) -> Result<Config, String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|_| !(reload && name == "GW_DISCOVERY"));
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| decode(&text, variable)).map_err(|e| format!("GW_CONFIG {path}: {e}"))
}

/// Decodes the configuration. `variable` looks up an environment variable, which overrides the file.
fn decode(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let file: ConfigFile = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed {:?} is not a 64-bit hexadecimal number", file.seed))?;
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
