//! The first duty, the roster: who is alive, as one table. Its owner collects from the keepers whom each has heard
//! of late; gatherers read from it how many they are.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::record::{TABLE_MOST, Table};
use crate::seat::Duty;

/// A gatherer that no keeper has heard for so many of its usual calls is not counted.
const MISSED_MOST: f64 = 4.0;
/// A roster is young while its owner has written within so many rounds.
const ROUNDS_YOUNG: f64 = 4.0;
/// Names at the most: what a table holds of the longest ones.
pub const NAMES_MOST: usize = TABLE_MOST / 72;

/// How long ago keepers heard each gatherer, by name. Ages are durations: no two clocks are compared.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heard(pub BTreeMap<String, u64>);

/// What the table holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Alive {
    pub names: BTreeSet<String>,
}

/// The owner's part.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// How often gatherers call.
    pub every: Duration,
    epoch: Option<u64>,
}

impl Roster {
    pub fn new(every: Duration) -> Roster {
        Roster { every, epoch: None }
    }
}

impl Duty for Roster {
    const NAME: &'static str = "roster";
    /// What most of the keepers have heard, a table from each that answered.
    type Seen = Vec<Heard>;
    /// The table's text.
    type Act = String;

    fn taken_up(&mut self, epoch: u64) {
        self.epoch = Some(epoch);
    }

    fn round(&mut self, seen: &Vec<Heard>) -> Option<String> {
        self.epoch?;
        let most = (self.every.mul_f64(MISSED_MOST)).as_millis() as u64;
        let late = seen.iter().flat_map(|heard| &heard.0).filter(|(_, age)| **age <= most);
        let names = late.map(|(name, _)| name.clone()).take(NAMES_MOST).collect();
        serde_json::to_string(&Alive { names }).ok()
    }

    fn given_up(&mut self) {
        self.epoch = None;
    }
}

/// A reader's view: how many are alive, as long as that is young. A table counts as new when its version grows before
/// the reader's eyes, by the reader's own clock: one that is only old, however late it is read, is never young.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    latest: Option<(u64, u64)>,
    /// When it last grew, and what it then said.
    grew: Option<(Duration, u32)>,
}

impl Reader {
    /// A keeper told this table. What is older than what was seen is dropped.
    pub fn told(&mut self, table: &Table, now: Duration) {
        let this = (table.epoch, table.version);
        if self.latest.is_some_and(|latest| table.epoch < latest.0 || this <= latest) {
            return;
        }
        let known = self.latest.replace(this).is_some();
        let Ok(alive) = serde_json::from_str::<Alive>(&table.text) else { return };
        if known {
            self.grew = Some((now, alive.names.len() as u32));
        }
    }

    /// How many are alive, or none where nobody can tell any more.
    pub fn alive(&self, every: Duration, now: Duration) -> Option<u32> {
        let young = |(at, _): &(Duration, u32)| now < *at + every.mul_f64(ROUNDS_YOUNG);
        self.grew.filter(young).map(|(_, alive)| alive).filter(|alive| *alive > 0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EVERY: Duration = Duration::from_secs(1);

    fn table(epoch: u64, version: u64, names: usize) -> Table {
        let names = (0..names).map(|i| format!("n{i}")).collect();
        Table { epoch, version, text: serde_json::to_string(&Alive { names }).expect("text") }
    }

    #[test]
    fn the_owner_counts_whom_any_keeper_has_heard_of_late_once() {
        let heard = |of: &[(&str, u64)]| Heard(of.iter().map(|(n, age)| ((*n).to_owned(), *age)).collect());
        let seen = vec![heard(&[("a", 100), ("b", 9000)]), heard(&[("a", 8000), ("c", 3999), ("d", 4001)])];
        let mut roster = Roster::new(EVERY);
        assert_eq!(roster.round(&seen), None, "not its owner");
        roster.taken_up(4);
        let alive: Alive = serde_json::from_str(&roster.round(&seen).expect("a table")).expect("JSON");
        assert_eq!(alive.names.into_iter().collect::<Vec<_>>(), ["a", "c"]);
        roster.given_up();
        assert_eq!(roster.round(&seen), None);
    }

    #[test]
    fn a_table_is_young_only_while_it_grows_before_the_readers_eyes() {
        let s = Duration::from_secs;
        let mut reader = Reader::default();
        reader.told(&table(3, 70, 20), s(0));
        assert_eq!(reader.alive(EVERY, s(0)), None, "it may have stood there for a year");
        reader.told(&table(3, 70, 20), s(1));
        assert_eq!(reader.alive(EVERY, s(1)), None);
        reader.told(&table(3, 71, 20), s(2));
        assert_eq!(reader.alive(EVERY, s(5)), Some(20));
        reader.told(&table(4, 72, 3), s(5));
        // An old owner's table, and an older version, come late.
        reader.told(&table(3, 99, 300), s(5));
        reader.told(&table(4, 71, 300), s(5));
        assert_eq!(reader.alive(EVERY, s(8)), Some(3));
        assert_eq!(reader.alive(EVERY, s(9)), None, "its owner is gone");
        reader.told(&table(5, 73, 0), s(10));
        assert_eq!(reader.alive(EVERY, s(10)), None, "nobody is no number to go by");
    }
}
