//! Golden tests of the serialized form of messages and stored data, which must stay the same for
//! compatibility with earlier releases. A keeper's database contains entries, votes and snapshots as JSON;
//! gatherers and keepers exchange JSON. `GOLDEN_WRITE=1` creates the files of new cases. Changing an existing
//! file changes an interface.

use std::path::PathBuf;

use ashvane_fleet::roster::{AliveGatherers, LastHeard};
use ashvane_fleet::{Command, FencingToken, Lease, LeaseRecord, Reply, Table};
use ashvane_keeper::Types;
use ashvane_keeper::keeper_store::AppliedState;
use ashvane_keeper::messages::{CallRequest, CallResponse, LeaseRequest, LeaseResponse, ReplaceRequest};
use openraft::{CommittedLeaderId, Entry, EntryPayload, LogId};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(format!("{name}.json"))
}

/// Asserts that the values serialize to the lines of a golden file, and that its lines parse and serialize
/// back.
fn assert_golden<T: Serialize + DeserializeOwned>(name: &str, values: &[T]) {
    let line = |value: &T| serde_json::to_string(value).expect("the value can be serialized") + "\n";
    let text: String = values.iter().map(line).collect();
    if std::env::var_os("GOLDEN_WRITE").is_some() && !path(name).exists() {
        std::fs::write(path(name), &text).expect("the golden file can be written");
    }
    let golden = std::fs::read_to_string(path(name)).expect("the golden file can be read");
    assert_eq!(golden, text, "{name}");
    for golden in golden.lines() {
        let read: T = serde_json::from_str(golden).unwrap_or_else(|e| panic!("{name}: {golden}: {e}"));
        assert_eq!(line(&read).trim_end(), golden, "{name}");
    }
}

fn role() -> String {
    "roster".to_owned()
}

fn owner() -> String {
    "n1".to_owned()
}

fn commands() -> Vec<Command> {
    vec![
        Command::Acquire { role: role(), owner: owner(), epoch: 3, renewals: 7 },
        Command::Renew { role: role(), owner: owner(), epoch: 4 },
        Command::Release { role: role(), owner: owner(), epoch: 4 },
        Command::Write { role: role(), epoch: 4, text: "{}".to_owned() },
    ]
}

fn replies() -> Vec<Reply> {
    vec![
        Reply::Granted { epoch: 4 },
        Reply::Released,
        Reply::Written { version: 9 },
        Reply::Fenced { epoch: 5 },
        Reply::Rejected { reason: "too many duties".to_owned() },
    ]
}

fn record() -> LeaseRecord {
    let owned = Lease { owner: Some(owner()), epoch: 4, renewals: 12 };
    let table = Table { epoch: 4, version: 2, text: "{\"names\":[]}".to_owned() };
    LeaseRecord {
        leases: [(role(), owned), ("list".to_owned(), Lease::default())].into(),
        tables: [(role(), table)].into(),
    }
}

#[test]
fn the_record_and_its_commands_keep_their_serialized_form() {
    assert_golden("commands", &commands());
    assert_golden("replies", &replies());
    assert_golden("record", &[LeaseRecord::default(), record()]);
    assert_golden("stamp", &[FencingToken { role: role(), epoch: 4 }]);
    assert_golden("heard", &[LastHeard([(owner(), 120)].into())]);
    assert_golden("alive", &[AliveGatherers { names: [owner(), "n2".to_owned()].into() }]);
}

#[test]
fn messages_between_gatherers_and_keepers_keep_their_serialized_form() {
    assert_golden(
        "call",
        &[
            CallRequest { name: owner(), sought_role: None },
            CallRequest { name: owner(), sought_role: Some(role()) },
        ],
    );
    let LeaseRecord { leases, tables } = record();
    let response = CallResponse { keeper: 1, leader: Some(2), is_offered: true, leases, tables };
    assert_golden("told", &[response]);
    let requests = vec![
        LeaseRequest::Acquire { role: role(), owner: owner() },
        LeaseRequest::Renew { role: role(), owner: owner(), epoch: 4 },
        LeaseRequest::Release { role: role(), owner: owner(), epoch: 4 },
        LeaseRequest::Write { role: role(), epoch: 4, text: "{}".to_owned() },
    ];
    assert_golden("asked", &requests);
    let responses: Vec<LeaseResponse> = replies()
        .into_iter()
        .map(LeaseResponse::Reply)
        .chain([
            LeaseResponse::NotCommitted { leader: Some(3) },
            LeaseResponse::NotCommitted { leader: None },
        ])
        .collect();
    assert_golden("answered", &responses);
    let address = "127.0.0.1:9404".parse().expect("a valid address");
    assert_golden("replace", &[ReplaceRequest { removed: 1, added: 4, address }]);
}

#[test]
fn log_entries_and_snapshots_on_disk_keep_their_serialized_form() {
    let log_id = |index| LogId::new(CommittedLeaderId::new(2, 1), index);
    let entry =
        |(command, index)| Entry::<Types> { log_id: log_id(index), payload: EntryPayload::Normal(command) };
    let mut entries: Vec<Entry<Types>> = commands().into_iter().zip(1..).map(entry).collect();
    entries.push(Entry { log_id: log_id(9), payload: EntryPayload::Blank });
    assert_golden("entries", &entries);
    let applied = AppliedState { last_applied: Some(log_id(9)), record: record(), ..AppliedState::default() };
    assert_golden("snapshot", &[AppliedState::default(), applied]);
}
