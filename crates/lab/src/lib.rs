//! Stand-ins, faults and load for rehearsals on one machine.
//!
//! Job: shard servers and discovery that a gatherer takes for real ones, troubles among them by a script in
//! time, clients of several manners that check every answer, and the levels of what a gatherer reports over a
//! long run; many processes of the program with faults between them, and the rules checked on the history of
//! what they did. May know: the public protocols, and how the program is started. Must not know: its code.

#![expect(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::too_many_lines,
    reason = "not done yet: The rest reads as well"
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

/// The value that a stand-in gives a part: as long as asked for, and no other part's.
pub fn value_of(part: &str, length: usize) -> String {
    let mut value = format!("{part}:");
    while value.len() < length {
        let more = (length - value.len()).min(part.len());
        value.push_str(&part[..more]);
    }
    value
}
