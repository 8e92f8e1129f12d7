//! Our own settings file: a Starlark script, evaluated within bounds and decoded into typed values.
//!
//! Job: [`evaluate`] takes a script's text and the memory that the program may take, and returns settings that
//! agree with each other, or every fault with its file, line and key and what would be right. May know: the
//! script's form and the settings' types. Must not know: files, processes, sockets. It is no part of the
//! gatherer's own process: the evaluator would take more of a small one's memory than all it does.

#![expect(clippy::missing_errors_doc, reason = "not done yet: The rest reads as well")]

mod schema;
mod script;

use ashvane_config::{Fault, Settings};

/// Evaluates a script for a program that may take so many bytes of memory in all.
pub fn evaluate(file: &str, text: &str, memory: u64) -> Result<Settings, Vec<Fault>> {
    let said = script::run(file, text, memory).map_err(|fault| vec![fault])?;
    schema::decode(file, text, &said, memory)
}
