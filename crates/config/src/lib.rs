//! Typed values of the settings script of a gatherer.
//!
//! Responsibilities: the [`Settings`] that a script can make, the [`Fault`]s that it can have, and the memory
//! limits derived from the settings. May depend on: the rules for limits in `ashvane-memory`, the rules for
//! leases in `ashvane-fleet`. Must not depend on: the syntax of scripts, which belongs to `ashvane-script`;
//! files, processes, sockets; what the settings are used for.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ashvane_fleet::LeaseTerms;
use ashvane_memory::{Limit, Limits, Purpose};
use serde::{Deserialize, Serialize};

/// Error in a settings script.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// File name of the script.
    pub file: String,
    /// Line number, from 1; 0 if the error is not on a particular line.
    pub line: usize,
    /// Key with the error as `directive.key`, or only the directive; empty if neither applies.
    pub key: String,
    /// Description of the error and of the values accepted.
    pub words: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        if !self.key.is_empty() {
            write!(f, ": {}", self.key)?;
        }
        write!(f, ": {}", self.words)
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    /// Plain text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Log settings. A setting that is absent has its default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSettings {
    /// Format of log lines.
    pub form: Option<LogForm>,
    /// Maximum number of log lines per second.
    pub lines_a_second: Option<u32>,
}

/// Memory limits of one purpose, in bytes. A limit that is absent has its default.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapSettings {
    /// Name of the purpose.
    pub purpose: String,
    /// Maximum of the open charges.
    pub bytes: Option<u64>,
    /// Part of the total that other purposes cannot use.
    pub reserve: Option<u64>,
}

/// Addresses of the keepers and the terms of their leases. Rates and ratios are integers, so that they can be
/// compared exactly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSettings {
    /// Addresses of the keepers by number.
    pub keepers: BTreeMap<u64, SocketAddr>,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Maximum deviation of the rate of a clock, in parts per million.
    pub drift_ppm: u64,
    /// Interval between the calls of a gatherer to a keeper, in milliseconds.
    pub every_ms: u64,
}

impl FleetSettings {
    /// Returns the terms of a lease.
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms { lease: Duration::from_millis(self.lease_ms), drift: self.drift_ppm as f64 / 1e6 }
    }

    /// Returns the interval between the calls of a gatherer to a keeper.
    pub fn every(&self) -> Duration {
        Duration::from_millis(self.every_ms)
    }
}

/// Settings that a script can make. The rest is derived from the limits of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Address of the admin listener; without it there is no listener.
    pub admin: Option<SocketAddr>,
    /// Log settings.
    pub log: LogSettings,
    /// Maximum of the memory charged to all purposes together, in bytes.
    pub memory_total: Option<u64>,
    /// Limits set for single purposes.
    pub caps: Vec<CapSettings>,
    /// Keepers and lease terms. Without them, this gatherer communicates only with servers, clients and
    /// discovery.
    pub fleet: Option<FleetSettings>,
}

impl Settings {
    /// Derives the memory limits of a process with the given memory, in bytes.
    pub fn limits(&self, memory: u64) -> Limits {
        let mut limits = Limits::of_memory(memory);
        if let Some(total) = self.memory_total {
            limits.scale(total);
        }
        for cap in &self.caps {
            let Some(purpose) = Purpose::ALL.into_iter().find(|p| p.name() == cap.purpose) else { continue };
            let defaults = limits.of(purpose);
            let bytes = cap.bytes.unwrap_or(defaults.cap);
            // A reserve that is not set is bounded by the configured cap. In shared purposes it equals the cap,
            // because the shares of tenants depend on the whole cap.
            let default_reserve = if purpose.is_shared() { bytes } else { defaults.reserve.min(bytes) };
            let reserve = cap.reserve.unwrap_or(default_reserve);
            limits.set(purpose, Limit { cap: bytes, reserve });
        }
        limits
    }
}

/// Result of evaluating a script, as sent from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evaluated {
    /// Valid settings.
    Settings(Settings),
    /// All errors of a script without valid settings.
    Faults(Vec<Fault>),
}
