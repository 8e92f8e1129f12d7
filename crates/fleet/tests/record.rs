//! Invariants of the lease record under arbitrary sequences of commands, and its serialization.

use ashvane_fleet::{Command, LeaseRecord, Reply};
use ashvane_fleet::{MAX_NAME_LENGTH, MAX_ROLES, MAX_TABLE_LENGTH};
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
struct AnyCommand(Command);

impl Arbitrary for AnyCommand {
    fn arbitrary(g: &mut Gen) -> AnyCommand {
        let choose =
            |g: &mut Gen, names: &[&str]| (*g.choose(names).expect("the slice is not empty")).to_owned();
        let role = if u8::arbitrary(g) == 0 {
            format!("d{}", u8::arbitrary(g))
        } else {
            choose(g, &["roster", "list", "", &"x".repeat(MAX_NAME_LENGTH + 1)])
        };
        let (owner, epoch, renewals) = (
            choose(g, &["a", "b", "c", ""]),
            u64::from(u8::arbitrary(g) % 6),
            u64::from(u8::arbitrary(g) % 4),
        );
        AnyCommand(match u8::arbitrary(g) % 5 {
            0 | 1 => Command::Acquire { role, owner, epoch, renewals },
            2 => Command::Renew { role, owner, epoch },
            3 => Command::Release { role, owner, epoch },
            _ => {
                let text = if u8::arbitrary(g) == 0 {
                    "x".repeat(MAX_TABLE_LENGTH + 1)
                } else {
                    choose(g, &["", "é\n\"", "{}"])
                };
                Command::Write { role, epoch, text }
            }
        })
    }
}

/// Applies the commands in order and returns whether all invariants hold after each of them.
fn keeps_invariants(commands: Vec<AnyCommand>) -> bool {
    let mut record = LeaseRecord::default();
    for AnyCommand(command) in commands {
        let (before, role) = (record.clone(), command.role().to_owned());
        let reply = record.apply(&command);
        let (old, new) = (before.lease(&role), record.lease(&role));
        let lease_is_monotonic =
            new.epoch >= old.epoch && (new.epoch > old.epoch || new.renewals >= old.renewals);
        let table = record.tables.get(&role);
        // A table's epoch is never later than its role's, and its epoch and version never decrease.
        let tables_are_monotonic = table.is_none_or(|t| t.epoch <= new.epoch)
            && before
                .tables
                .get(&role)
                .is_none_or(|old| table.is_some_and(|t| (t.epoch, t.version) >= (old.epoch, old.version)));
        let is_consistent_reply = match (&reply, &command) {
            (Reply::Granted { epoch }, Command::Acquire { owner, .. }) => {
                *epoch == old.epoch + 1 && new.owner.as_ref() == Some(owner)
            }
            (Reply::Granted { epoch }, Command::Renew { owner, .. }) => {
                *epoch == old.epoch && old.owner.as_ref() == Some(owner)
            }
            (Reply::Released, Command::Release { .. }) => new.owner.is_none(),
            (Reply::Written { version }, Command::Write { epoch, .. }) => {
                *epoch == old.epoch && old.owner.is_some() && table.is_some_and(|t| t.version == *version)
            }
            // A fenced or rejected command changes nothing.
            (Reply::Fenced { epoch }, _) => *epoch == old.epoch && record == before,
            (Reply::Rejected { .. }, _) => record == before,
            _ => false,
        };
        let is_bounded = record.leases.len() <= MAX_ROLES;
        let text = serde_json::to_string(&(&command, &reply, &record)).expect("the values can be serialized");
        let decoded: (Command, Reply, LeaseRecord) =
            serde_json::from_str(&text).expect("the serialized text can be parsed");
        if !(lease_is_monotonic
            && tables_are_monotonic
            && is_consistent_reply
            && is_bounded
            && decoded == (command, reply, record.clone()))
        {
            return false;
        }
    }
    true
}

#[test]
fn epochs_and_tables_never_go_back_and_serialization_round_trips_for_any_commands() {
    QuickCheck::new().tests(2000).quickcheck(keeps_invariants as fn(Vec<AnyCommand>) -> bool);
}
