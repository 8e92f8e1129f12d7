//! The first role, the roster: who is alive, as one table. Its owner collects from the keepers whom each has heard of
//! late; gatherers read from it how many they are.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{MAX_TABLE_LENGTH, SingletonRole, Table};

/// A gatherer that no keeper has heard for so many of its call intervals is not counted.
const MAX_MISSED_CALLS: f64 = 4.0;
/// A roster is fresh while its owner has written within so many rounds.
const FRESHNESS_ROUNDS: f64 = 4.0;
/// Names at the most: what a table holds of the longest ones.
pub const MAX_NAMES: usize = MAX_TABLE_LENGTH / 72;

/// How long ago a keeper heard each gatherer, by name, in milliseconds. Ages are durations: no two clocks are compared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LastHeard(pub BTreeMap<String, u64>);

/// What the table holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AliveGatherers {
    /// Their names.
    pub names: BTreeSet<String>,
}

/// The owner's part.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// How often gatherers call.
    pub interval: Duration,
    epoch: Option<u64>,
}

impl Roster {
    /// A process that does not own the role.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Roster { interval, epoch: None }
    }
}

impl SingletonRole for Roster {
    const NAME: &'static str = "roster";
    /// What most of the keepers have heard, a table from each that answered.
    type Observation = Vec<LastHeard>;
    /// The table's text.
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

/// Which write of a table was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TableVersion {
    epoch: u64,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct AliveCount {
    received_at: Duration,
    alive: u32,
}

/// A reader's view: how many are alive, as long as that is fresh. A table counts as new when its version grows before the
/// reader's eyes, by the reader's own clock: one that is only old, however late it is read, is never fresh.
#[derive(Clone, Debug, Default)]
pub struct RosterReader {
    latest: Option<TableVersion>,
    /// When the table last grew, and what it then said.
    last_update: Option<AliveCount>,
}

impl RosterReader {
    /// A keeper sent this table. What is older than what was seen is dropped.
    pub fn table_received(&mut self, table: &Table, now: Duration) {
        let seen = TableVersion { epoch: table.epoch, version: table.version };
        if self.latest.is_some_and(|latest| seen <= latest) {
            return;
        }
        let has_previous = self.latest.replace(seen).is_some();
        let Ok(gatherers) = serde_json::from_str::<AliveGatherers>(&table.text) else { return };
        if has_previous {
            self.last_update = Some(AliveCount { received_at: now, alive: gatherers.names.len() as u32 });
        }
    }

    /// How many are alive, or none where nobody can tell any more.
    #[must_use]
    pub fn alive(&self, interval: Duration, now: Duration) -> Option<u32> {
        let is_fresh = |count: &AliveCount| now < count.received_at + interval.mul_f64(FRESHNESS_ROUNDS);
        self.last_update.filter(is_fresh).map(|count| count.alive).filter(|alive| *alive > 0)
    }
}
