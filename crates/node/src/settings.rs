//! The settings file: what a process is told about its machine. The names of keys are those of the users' pages.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use derive_more::{Display, Error};
use serde_json::Value;

use crate::document::{Faults, Field};

/// Times in settings are bounded by this, in seconds.
const MAX_SECONDS: f64 = 600.0;
/// The shortest window of the retry budget, in seconds.
const MIN_WINDOW_SECONDS: f64 = 0.1;

/// Why a settings file cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// It cannot be read.
    #[display("{file}: {reason}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system says.
        #[error(source)]
        reason: std::io::Error,
    },
    /// It is no TOML.
    #[display("{file}: {}", reason.to_string().replace('\n', " "))]
    Syntax {
        /// The file.
        file: String,
        /// Where and why.
        #[error(source)]
        reason: toml::de::Error,
    },
    /// Keys are missing or wrong.
    #[display("{file}: {faults}")]
    Faulty {
        /// The file.
        file: String,
        /// All of them.
        #[error(source)]
        faults: Faults,
    },
}

/// The ports for messages between processes: a process takes the first that is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// The first port.
    pub first: u16,
    /// The last port.
    pub last: u16,
}

impl PortRange {
    /// All ports, in their order.
    #[must_use]
    pub fn iter(self) -> RangeInclusive<u16> {
        self.first..=self.last
    }
}

/// Where a process listens, each where it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For clients' requests.
    pub gateway: Option<SocketAddr>,
    /// For questions whether it is ready.
    pub readiness: Option<SocketAddr>,
    /// For the calls of servers and operators.
    pub control: Option<SocketAddr>,
}

/// The budget for retries over all gateways, in each window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries for each request.
    pub ratio: f64,
    /// The window.
    pub window: Duration,
    /// Retries beyond the ratio.
    pub slack: f64,
}

/// The settings of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the process.
    pub node: String,
    /// The address of its machine.
    pub ip: String,
    /// The zone of its machine.
    pub zone: String,
    /// All zones.
    pub zones: Vec<String>,
    /// The ports for messages between processes.
    pub internal_ports: PortRange,
    /// Machines to begin with, `host:port` of their control calls.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// The folder of the disk, if the process has one.
    pub data_dir: Option<String>,
    /// How often servers send heartbeats.
    pub heartbeat_interval: Duration,
    /// Where it listens.
    pub listen: ListenAddresses,
    /// How many descriptors it may have.
    pub max_fds: usize,
    /// How much memory it may take, in megabytes.
    pub memory_mb: u64,
    /// How many machines may fail at once.
    pub max_failures: usize,
    /// The next failure may come this long after a lost machine is back.
    pub catch_up: Duration,
    /// Time between being told to end and being ended by force.
    pub grace: Duration,
    /// The budget for retries.
    pub retry_budget: RetryBudgetSettings,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Where the file cannot be read or used; all its faults at once.
    pub fn load(file: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|reason| SettingsError::Unreadable { file: file.to_owned(), reason })?;
        Settings::parse(&text, file)
    }

    /// Reads the text of a settings file; `file` names it in errors.
    ///
    /// # Errors
    ///
    /// Where the text cannot be used; all its faults at once.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let document: Value =
            toml::from_str(text).map_err(|reason| SettingsError::Syntax { file: file.to_owned(), reason })?;
        let root = Field::root(&document);
        let settings = Settings::read(&root);
        root.finish(settings).map_err(|faults| SettingsError::Faulty { file: file.to_owned(), faults })
    }

    /// Fields are read in this order, which is that of the faults.
    fn read(root: &Field<'_>) -> Settings {
        let ports = root.get("internal-ports").items();
        if ports.len() != 2 {
            root.get("internal-ports").report("the first and the last port are needed here");
        }
        let bounds = root.get("bounds");
        let limits = root.get("limits");
        Settings {
            node: root.get("node").name(),
            ip: root.get("ip").name(),
            zone: root.get("zone").name(),
            zones: root.get("zones").or(Vec::new(), Field::keys),
            internal_ports: PortRange { first: read_port(ports.first()), last: read_port(ports.get(1)) },
            seeds: root.get("seed-nodes").items().iter().map(Field::name).collect(),
            is_first_start: root.get("bootstrap").or(false, Field::flag),
            data_dir: root.get("data-dir").or(None, |field| Some(field.name())),
            heartbeat_interval: Duration::from_millis(
                root.get("beat-interval-ms").or(1000, Field::unsigned).max(1),
            ),
            listen: read_listen_addresses(&root.get("listen")),
            max_fds: limits.get("max-fds").or(1024, Field::unsigned) as usize,
            memory_mb: limits.get("memory-mb").or(256, Field::unsigned),
            max_failures: root.get("fault-budget").get("machine-losses").or(1, Field::unsigned) as usize,
            catch_up: read_duration(&bounds.get("catch-up-s"), 4.0, 0.0),
            grace: read_duration(&bounds.get("grace-s"), 6.0, 0.0),
            retry_budget: RetryBudgetSettings {
                ratio: bounds.get("retry-ratio").or(0.1, Field::number),
                window: read_duration(&bounds.get("retry-window-s"), 10.0, MIN_WINDOW_SECONDS),
                slack: bounds.get("retry-slack").or(10.0, Field::number),
            },
        }
    }
}

fn read_port(field: Option<&Field<'_>>) -> u16 {
    let Some(field) = field else { return 0 };
    u16::try_from(field.unsigned()).unwrap_or_else(|_| {
        field.report("a port is needed here");
        0
    })
}

fn read_listen_addresses(listen: &Field<'_>) -> ListenAddresses {
    ListenAddresses {
        gateway: read_address(&listen.get("front")),
        readiness: read_address(&listen.get("readiness")),
        control: read_address(&listen.get("control")),
    }
}

fn read_address(field: &Field<'_>) -> Option<SocketAddr> {
    if !field.is_present() {
        return None;
    }
    let address = field.text().parse().ok();
    if address.is_none() {
        field.report("an address and a port are needed here");
    }
    address
}

fn read_duration(field: &Field<'_>, default: f64, min: f64) -> Duration {
    Duration::from_secs_f64(field.or(default, Field::number).clamp(min, MAX_SECONDS))
}
