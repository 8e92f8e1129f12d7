//! Evaluates the settings file, a Starlark script, under resource limits and decodes it into typed values.
//!
//! Responsibilities: [`evaluate`] takes the text of a script and the memory available to the program, and
//! returns consistent settings, or every fault with its file, line, key and the values accepted. May depend on:
//! the syntax of scripts and the types of settings. Must not depend on: files, processes, sockets. It does not
//! run in the process of the gatherer: in a small gatherer the evaluator would use more memory than all the rest.

mod schema;
mod script;

use ashvane_config::{Fault, Settings};

/// Evaluates a script for a program with the given memory, in bytes.
///
/// # Errors
///
/// Returns all faults of a script that cannot be evaluated or whose settings are invalid.
pub fn evaluate(file: &str, text: &str, memory: u64) -> Result<Settings, Vec<Fault>> {
    let directives = script::run(file, text, memory).map_err(|fault| vec![fault])?;
    schema::decode(file, text, &directives, memory)
}
