//! Test doubles, fault injection and load generation for failure rehearsals on one machine.
//!
//! Provides stand-ins for shard servers and the discovery service, scheduled faults, clients that verify
//! every answer, and checks that the metrics of a gatherer stay level over a long run. A rehearsal runs many
//! processes of the program, injects faults between them and checks the recorded history against a set of
//! rules.
//!
//! This crate may depend on the public protocols and on how the program is started, not on the program's
//! code.

#![expect(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    reason = "not every public item is documented yet, and some functions are long"
)]

pub mod checks;
pub mod clients;
pub mod discovery;
pub mod faults;
pub mod figures;
pub mod history;
pub mod hunt;
pub mod levels;
pub mod links;
pub mod node;
pub mod process;
pub mod rehearsals;
pub mod rig;
pub mod script;
pub mod shards;

/// Returns the value that a stand-in shard server answers for a part: `length` bytes, different for each
/// part.
pub fn value_of(part: &str, length: usize) -> String {
    let mut value = format!("{part}:");
    while value.len() < length {
        let chunk_length = (length - value.len()).min(part.len());
        value.push_str(&part[..chunk_length]);
    }
    value
}
