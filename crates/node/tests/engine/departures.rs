//! Departures on their way to the local disk: what waits for a sync, and when the log is rewritten.

use ashvane_gossip::{Liveness, Server, ServerState, Update};
use ashvane_identifiers::ServerId;
use ashvane_node::engine::{DepartureRecords, UnansweredUpdate};

use super::ms;

fn departed(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: "x:1".into(),
        zone: "z".into(),
        capacity: 1,
        state: ServerState::Terminated,
        inferred_from: None,
        heartbeat_sequence: 1,
        liveness: Liveness::Alive,
        monitor: "a".into(),
    }
}

fn unanswered(number: u64, ids: &[&str], received_at: u64) -> UnansweredUpdate {
    let updates = ids.iter().map(|id| Update::Server(departed(id))).collect();
    UnansweredUpdate { link: 1.into(), number, updates, received_at: ms(received_at) }
}

fn ids(names: &[&str]) -> Vec<ServerId> {
    names.iter().map(|name| (*name).into()).collect()
}

fn numbers(answered: &[UnansweredUpdate]) -> Vec<u64> {
    answered.iter().map(|update| update.number).collect()
}

#[test]
fn an_update_is_answered_once_all_its_departures_are_synced() {
    let mut records = DepartureRecords::default();
    let first = records.write_started(&[departed("i-1"), departed("i-2")]);
    let second = records.write_started(&[departed("i-3")]);
    assert!(records.is_synced(&Update::Server(departed("i-9"))), "nothing of it is to be written");
    assert!(!records.is_synced(&Update::Server(departed("i-1"))));
    records.add_unanswered(unanswered(7, &["i-1"], 0));
    records.add_unanswered(unanswered(8, &["i-2", "i-3"], 0));
    assert!(records.take_synced().is_empty());
    assert_eq!(records.write_synced(first), ids(&["i-1", "i-2"]));
    assert_eq!(numbers(&records.take_synced()), [7]);
    assert_eq!(records.write_synced(second), ids(&["i-3"]));
    assert_eq!(numbers(&records.take_synced()), [8]);
    assert_eq!(records.unsynced_count(), 0);
}

/// A server says that it is draining, and then that it terminates before the first write is synced.
#[test]
fn a_departure_is_synced_with_the_last_write_that_contains_it() {
    let mut records = DepartureRecords::default();
    let first = records.write_started(&[departed("i-1")]);
    let second = records.write_started(&[departed("i-1")]);
    assert_eq!(records.write_synced(first), ids(&[]));
    assert!(!records.is_synced(&Update::Server(departed("i-1"))));
    records.write_synced(second);
    assert!(records.is_synced(&Update::Server(departed("i-1"))));
}

/// While the disk hangs, the updates that wait for it do not accumulate.
#[test]
fn updates_whose_sender_has_stopped_waiting_are_dropped() {
    let mut records = DepartureRecords::default();
    let write = records.write_started(&[departed("i-1")]);
    records.add_unanswered(unanswered(7, &["i-1"], 0));
    records.add_unanswered(unanswered(8, &["i-1"], 1500));
    records.expire(ms(2000));
    records.write_synced(write);
    assert_eq!(numbers(&records.take_synced()), [8]);
}

#[test]
fn the_log_is_rewritten_when_most_of_its_records_may_be_outdated() {
    let mut records = DepartureRecords::default();
    let many = vec![departed("i-1"); 512];
    records.write_started(&many);
    assert!(!records.should_rewrite());
    records.write_started(&many[..1]);
    assert!(records.should_rewrite());
    records.rewrite_started(300);
    records.write_started(&many);
    assert!(!records.should_rewrite(), "the log has 300 records that are needed");
    records.write_started(&many[..301]);
    assert!(records.should_rewrite());
    let mut restarted = DepartureRecords::default();
    restarted.restored(600);
    assert!(restarted.should_rewrite(), "records of earlier runs count");
}
