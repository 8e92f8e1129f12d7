//! The roster role, which maintains a table of live gatherers. Its owner collects from the keepers which
//! gatherers have called them recently; gatherers read from the table how many of them are alive.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{MAX_TABLE_LENGTH, SingletonRole, Table};

/// Number of call intervals without a call to any keeper after which a gatherer is no longer listed.
const MAX_MISSED_CALLS: f64 = 4.0;
/// Number of rounds, one per call interval, without a new version after which a reader considers the table
/// stale.
const FRESHNESS_ROUNDS: f64 = 4.0;
/// Maximum number of listed gatherers: as many of the longest names as fit into a table.
pub const MAX_NAMES: usize = MAX_TABLE_LENGTH / 72;

/// Milliseconds since each gatherer last called a keeper, by gatherer name. They are durations, so
/// that the clocks of different machines need not be compared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LastHeard(pub BTreeMap<String, u64>);

/// Content of the roster's table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AliveGatherers {
    /// Names of the live gatherers.
    pub names: BTreeSet<String>,
}

/// The roster role as run by its owner.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// Interval between the calls of a gatherer.
    pub interval: Duration,
    epoch: Option<u64>,
}

impl Roster {
    /// Creates the state of a process that does not own the role.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Roster { interval, epoch: None }
    }
}

impl SingletonRole for Roster {
    const NAME: &'static str = "roster";
    /// Ages of the gatherers' last calls from each keeper that answered, which must be a majority.
    type Observation = Vec<LastHeard>;
    /// New text of the table.
    type Action = String;

    fn acquired(&mut self, epoch: u64) {
        self.epoch = Some(epoch);
    }

    fn round(&mut self, observation: &Vec<LastHeard>) -> Option<String> {
        self.epoch?;
        let max_age_ms = self.interval.mul_f64(MAX_MISSED_CALLS).as_millis() as u64;
        let heard = observation.iter().flat_map(|heard| &heard.0);
        let alive = heard.filter(|(_, age_ms)| **age_ms <= max_age_ms);
        let names = alive.map(|(name, _)| name.clone()).take(MAX_NAMES).collect();
        serde_json::to_string(&AliveGatherers { names }).ok()
    }

    fn lost(&mut self) {
        self.epoch = None;
    }
}

/// Epoch and version of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TableVersion {
    epoch: u64,
    version: u64,
}

/// Number of live gatherers, with the time at which it was received.
#[derive(Clone, Copy, Debug)]
struct AliveCount {
    received_at: Duration,
    alive: u32,
}

/// Reader of the roster's table, which reports the number of live gatherers while it is fresh. Freshness is
/// measured on the reader's own clock from the time it received a version newer than one it had received
/// before. The first table received is never fresh, because its age is unknown.
#[derive(Clone, Debug, Default)]
pub struct RosterReader {
    latest: Option<TableVersion>,
    /// Count and receive time of the last table that replaced an older one.
    last_update: Option<AliveCount>,
}

impl RosterReader {
    /// Processes a table received from a keeper. A table that is not newer than the latest one is ignored.
    pub fn table_received(&mut self, table: &Table, now: Duration) {
        let received = TableVersion { epoch: table.epoch, version: table.version };
        if self.latest.is_some_and(|latest| received <= latest) {
            return;
        }
        let has_previous = self.latest.replace(received).is_some();
        let Ok(gatherers) = serde_json::from_str::<AliveGatherers>(&table.text) else { return };
        if has_previous {
            self.last_update = Some(AliveCount { received_at: now, alive: gatherers.names.len() as u32 });
        }
    }

    /// Returns the number of live gatherers, or `None` if the table is stale or lists no gatherer.
    #[must_use]
    pub fn alive(&self, interval: Duration, now: Duration) -> Option<u32> {
        let is_fresh = |count: &AliveCount| now < count.received_at + interval.mul_f64(FRESHNESS_ROUNDS);
        self.last_update.filter(is_fresh).map(|count| count.alive).filter(|alive| *alive > 0)
    }
}
