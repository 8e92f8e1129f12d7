//! Settings file of a process. The keys are those of the user documentation.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use derive_more::{Display, Error};
use serde_json::Value;

use crate::document::{Faults, Field};

/// Longest time in the settings. Longer ones are reduced to it.
const MAX_SECONDS: f64 = 600.0;
/// Shortest window of the retry budget. Shorter ones are increased to it.
const MIN_WINDOW_SECONDS: f64 = 0.1;

/// Reason why a settings file cannot be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{file}: {reason}")]
    Unreadable {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        #[error(source)]
        reason: std::io::Error,
    },
    /// The file is not valid TOML.
    #[display("{file}: {}", reason.to_string().replace('\n', " "))]
    Syntax {
        /// Name of the file.
        file: String,
        /// Error of the parser, with its position.
        #[error(source)]
        reason: toml::de::Error,
    },
    /// Keys are missing or invalid.
    #[display("{file}: {faults}")]
    Faulty {
        /// Name of the file.
        file: String,
        /// All missing or invalid keys.
        #[error(source)]
        faults: Faults,
    },
}

/// Range of ports for connections between processes. A process listens on the first free one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortRange {
    /// First port.
    pub first: u16,
    /// Last port, inclusive.
    pub last: u16,
}

impl PortRange {
    /// Iterates over the ports in ascending order.
    #[must_use]
    pub fn iter(self) -> RangeInclusive<u16> {
        self.first..=self.last
    }
}

/// Addresses on which a process listens. `None` disables a listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for client requests.
    pub gateway: Option<SocketAddr>,
    /// Address for readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Address for the calls of servers and operators.
    pub control: Option<SocketAddr>,
}

/// Budget for the retries of all gateways together within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the window.
    pub window: Duration,
    /// Retries allowed in addition to the ratio.
    pub slack: f64,
}

/// Settings of a process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the process.
    pub node: String,
    /// IP address of the machine.
    pub ip: String,
    /// Zone of the machine.
    pub zone: String,
    /// Zones of the system.
    pub zones: Vec<String>,
    /// Ports for connections between processes.
    pub internal_ports: PortRange,
    /// Machines that a starting process connects to first, as `host:port` of their control addresses.
    pub seeds: Vec<String>,
    /// Whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// Folder of the disk, if the process has one.
    pub data_dir: Option<String>,
    /// Interval at which servers send heartbeats.
    pub heartbeat_interval: Duration,
    /// Addresses on which the process listens.
    pub listen: ListenAddresses,
    /// Maximum number of open file descriptors.
    pub max_fds: usize,
    /// Memory limit of the process, in megabytes.
    pub memory_mb: u64,
    /// Number of machines that may fail at the same time.
    pub max_failures: usize,
    /// Time after the recovery of a failed machine during which no further failure has to be tolerated.
    pub catch_up: Duration,
    /// Grace period: time between the signal to terminate and the forced end of the process.
    pub grace: Duration,
    /// Budget for retries.
    pub retry_budget: RetryBudgetSettings,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is not valid: all of its faults.
    pub fn load(file: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|reason| SettingsError::Unreadable { file: file.to_owned(), reason })?;
        Settings::parse(&text, file)
    }

    /// Parses the text of a settings file. `file` is the file name for error messages.
    ///
    /// # Errors
    ///
    /// If the text is not valid: all of its faults.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let document: Value =
            toml::from_str(text).map_err(|reason| SettingsError::Syntax { file: file.to_owned(), reason })?;
        let root = Field::root(&document);
        let settings = Settings::read(&root);
        root.finish(settings).map_err(|faults| SettingsError::Faulty { file: file.to_owned(), faults })
    }

    /// Reads all fields. Faults are reported in the order in which the fields are read.
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
