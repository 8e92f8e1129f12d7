//! The settings file: what this process is told about its machine.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::reader::At;
use crate::verdict::StartError;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub node: String,
    pub ip: String,
    pub zone: String,
    pub zones: Vec<String>,
    pub ports: (u16, u16),
    pub seeds: Vec<String>,
    pub bootstrap: bool,
    pub data_dir: Option<String>,
    pub beat_every: Duration,
    pub front: Option<SocketAddr>,
    pub readiness: Option<SocketAddr>,
    pub control: Option<SocketAddr>,
    pub max_fds: usize,
    pub memory_mb: u64,
    pub losses: usize,
    /// The next loss may come this long after a lost machine is back.
    pub catch_up: Duration,
    pub grace: Duration,
    pub retry_ratio: f64,
    pub retry_window: Duration,
    pub retry_slack: f64,
}

fn address(at: &At<'_>) -> Option<SocketAddr> {
    at.or(None, |at| {
        let read = at.text().parse().ok();
        if read.is_none() {
            at.fault("an address and a port are needed here");
        }
        read
    })
}

fn port(at: Option<&At<'_>>) -> u16 {
    at.map_or(0, |at| {
        u16::try_from(at.whole()).unwrap_or_else(|_| {
            at.fault("a port is needed here");
            0
        })
    })
}

impl Settings {
    fn read(at: &At<'_>) -> Settings {
        let ports = at.get("internal-ports").list();
        if ports.len() != 2 {
            at.get("internal-ports").fault("the first and the last port are needed here");
        }
        let (listen, bounds, limits) = (at.get("listen"), at.get("bounds"), at.get("limits"));
        let zones = at.get("zones");
        let names = |at: &At<'_>| match at.is_there() {
            true => at.map_keys(),
            false => Vec::new(),
        };
        Settings {
            node: at.get("node").name(),
            ip: at.get("ip").name(),
            zone: at.get("zone").name(),
            zones: names(&zones),
            ports: (port(ports.first()), port(ports.get(1))),
            seeds: at.get("seed-nodes").list().iter().map(At::name).collect(),
            bootstrap: at.get("bootstrap").or(false, At::flag),
            data_dir: at.get("data-dir").or(None, |at| Some(at.name())),
            beat_every: Duration::from_millis(at.get("beat-interval-ms").or(1000, At::whole).max(1)),
            front: address(&listen.get("front")),
            readiness: address(&listen.get("readiness")),
            control: address(&listen.get("control")),
            max_fds: limits.get("max-fds").or(1024, At::whole) as usize,
            memory_mb: limits.get("memory-mb").or(256, At::whole),
            losses: at.get("fault-budget").get("machine-losses").or(1, At::whole) as usize,
            catch_up: Duration::from_secs_f64(bounds.get("catch-up-s").or(4.0, At::number).clamp(0.0, 600.0)),
            grace: Duration::from_secs_f64(bounds.get("grace-s").or(6.0, At::number).clamp(0.0, 600.0)),
            retry_ratio: bounds.get("retry-ratio").or(0.1, At::number),
            retry_window: Duration::from_secs_f64(
                bounds.get("retry-window-s").or(10.0, At::number).clamp(0.1, 600.0),
            ),
            retry_slack: bounds.get("retry-slack").or(10.0, At::number),
        }
    }

    /// All faults at once, in one line.
    pub fn parse(text: &str, file: &str) -> Result<Settings, StartError> {
        let fault = |why: String| StartError::Settings { file: file.to_owned(), why };
        let value: Value = toml::from_str(text).map_err(|e| fault(e.to_string().replace('\n', " ")))?;
        let at = At::root(&value);
        let settings = Settings::read(&at);
        let faults = at.faults();
        if faults.is_empty() { Ok(settings) } else { Err(fault(faults.join("; "))) }
    }

    pub fn load(file: &str) -> Result<Settings, StartError> {
        let read = std::fs::read_to_string(file);
        let text = read.map_err(|e| StartError::Settings { file: file.to_owned(), why: e.to_string() })?;
        Settings::parse(&text, file)
    }
}
