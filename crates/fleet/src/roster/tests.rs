use std::time::Duration;

use super::{AliveGatherers, LastHeard, Roster, RosterReader};
use crate::{SingletonRole as _, Table};

const INTERVAL: Duration = Duration::from_secs(1);

fn table(epoch: u64, version: u64, names: usize) -> Table {
    let names = (0..names).map(|i| format!("n{i}")).collect();
    Table {
        epoch,
        version,
        text: serde_json::to_string(&AliveGatherers { names }).expect("the table can be serialized"),
    }
}

#[test]
fn the_owner_lists_each_gatherer_heard_recently_by_any_keeper_once() {
    let heard = |of: &[(&str, u64)]| LastHeard(of.iter().map(|(n, age)| ((*n).to_owned(), *age)).collect());
    let observation =
        vec![heard(&[("a", 100), ("b", 9000)]), heard(&[("a", 8000), ("c", 3999), ("d", 4001)])];
    let mut roster = Roster::new(INTERVAL);
    assert_eq!(roster.round(&observation), None, "it is not the owner");
    roster.acquired(4);
    let alive: AliveGatherers =
        serde_json::from_str(&roster.round(&observation).expect("the owner writes a table"))
            .expect("the table is JSON");
    assert_eq!(alive.names.into_iter().collect::<Vec<_>>(), ["a", "c"]);
    roster.lost();
    assert_eq!(roster.round(&observation), None);
}

#[test]
fn a_table_is_fresh_only_after_its_version_was_seen_to_increase() {
    let s = Duration::from_secs;
    let mut reader = RosterReader::default();
    reader.table_received(&table(3, 70, 20), s(0));
    assert_eq!(reader.alive(INTERVAL, s(0)), None, "the first table may be of any age");
    reader.table_received(&table(3, 70, 20), s(1));
    assert_eq!(reader.alive(INTERVAL, s(1)), None);
    reader.table_received(&table(3, 71, 20), s(2));
    assert_eq!(reader.alive(INTERVAL, s(5)), Some(20));
    reader.table_received(&table(4, 72, 3), s(5));
    // A former owner's table and an older version arrive late.
    reader.table_received(&table(3, 99, 300), s(5));
    reader.table_received(&table(4, 71, 300), s(5));
    assert_eq!(reader.alive(INTERVAL, s(8)), Some(3));
    assert_eq!(reader.alive(INTERVAL, s(9)), None, "no new version for four intervals");
    reader.table_received(&table(5, 73, 0), s(10));
    assert_eq!(reader.alive(INTERVAL, s(10)), None, "an empty table gives no count");
}
