//! Our own settings as typed values.
//!
//! Job: the [`Settings`] that a script can make, the [`Fault`]s that it can have, and the limits that follow.
//! May know: the limits' own rules in `ashvane-memory`, a lease's in `ashvane-fleet`. Must not know: the script's form, which is
//! `ashvane-script`'s; files, processes, sockets; what the settings are used for.

#![expect(missing_docs, reason = "not done yet: The rest reads as well")]

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ashvane_fleet::LeaseTerms;
use ashvane_memory::{Limit, Limits, Purpose};
use serde::{Deserialize, Serialize};

/// One thing that is wrong with a script.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub file: String,
    /// Counted from 1; 0 where no one line is at fault.
    pub line: usize,
    /// The key at fault, `directive.key`, or the directive alone.
    pub key: String,
    /// What is wrong and what would be right.
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

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogForm {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSettings {
    pub form: Option<LogForm>,
    pub lines_a_second: Option<u32>,
}

/// What one purpose may take, in bytes, where that is stated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapSettings {
    pub purpose: String,
    pub bytes: Option<u64>,
    pub reserve: Option<u64>,
}

/// Where the keepers are, and what a lease is there. Rates and shares are whole numbers, to be compared exactly.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSettings {
    /// By their numbers.
    pub keepers: BTreeMap<u64, SocketAddr>,
    pub lease_ms: u64,
    /// How far a clock's rate may be off, in parts of a million.
    pub drift_ppm: u64,
    /// How often each gatherer calls a keeper.
    pub every_ms: u64,
}

impl FleetSettings {
    pub fn terms(&self) -> LeaseTerms {
        LeaseTerms { lease: Duration::from_millis(self.lease_ms), drift: self.drift_ppm as f64 / 1e6 }
    }

    pub fn every(&self) -> Duration {
        Duration::from_millis(self.every_ms)
    }
}

/// All that a script can say. What it leaves out follows from the platform's limits.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Where the admin listener is; none unless stated.
    pub admin: Option<SocketAddr>,
    pub log: LogSettings,
    /// What all purposes may take together, in bytes.
    pub memory_total: Option<u64>,
    pub caps: Vec<CapSettings>,
    /// Off unless stated: then this gatherer talks with nobody but servers, clients and discovery.
    pub fleet: Option<FleetSettings>,
}

impl Settings {
    /// The limits of a program that may take so many bytes in all.
    pub fn limits(&self, memory: u64) -> Limits {
        let mut limits = Limits::of_memory(memory);
        if let Some(total) = self.memory_total {
            limits.scale(total);
        }
        for cap in &self.caps {
            let Some(purpose) = Purpose::ALL.into_iter().find(|p| p.name() == cap.purpose) else { continue };
            let stated = limits.of(purpose);
            let bytes = cap.bytes.unwrap_or(stated.cap);
            // A reserve that nobody stated follows a cap that somebody did: tenants' shares stand on all of it.
            let follows = if purpose.is_shared() { bytes } else { stated.reserve.min(bytes) };
            let reserve = cap.reserve.unwrap_or(follows);
            limits.set(purpose, Limit { cap: bytes, reserve });
        }
        limits
    }
}

/// What came of evaluating a script, as one process tells it another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Evaluated {
    Settings(Settings),
    Faults(Vec<Fault>),
}
