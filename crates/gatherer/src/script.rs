//! ashvane-script: evaluates the settings file and prints the result. `ashvane` starts it as a separate
//! process, so that a script can neither block `ashvane` nor exhaust its memory.

use std::alloc::System;
use std::io::Read as _;
use std::process::ExitCode;

use ashvane_config::{Evaluated, Fault};
use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Maximum memory of the evaluation, as a ratio of the gatherer's memory.
const MEMORY_RATIO: f64 = 0.33;
/// Minimum of that limit: several times the memory that the evaluator itself needs.
const MIN_MEMORY_BYTES: u64 = 8 << 20;
/// Maximum number of bytes read from the file: one more than the evaluator accepts, so that it reports a file
/// that is too long.
const MAX_FILE_BYTES: u64 = 64 * 1024 + 1;

/// Reads a regular file.
fn read(file: &str) -> std::io::Result<String> {
    let opened = std::fs::File::open(file)?;
    if !opened.metadata()?.is_file() {
        return Err(std::io::Error::other("not a regular file"));
    }
    let mut text = String::new();
    opened.take(MAX_FILE_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

/// Evaluates the file that the command line names, and returns the result as JSON.
fn evaluate() -> Result<String, String> {
    let mut arguments = pico_args::Arguments::from_env();
    let file: String = arguments.value_from_str("--settings").map_err(|e| e.to_string())?;
    let memory: u64 = arguments.value_from_str("--memory-bytes").map_err(|e| e.to_string())?;
    let memory_limit = MIN_MEMORY_BYTES.max((memory as f64 * MEMORY_RATIO) as u64);
    // An allocation beyond the limit aborts the process, which `ashvane` reports.
    ALLOCATOR
        .set_limit(memory_limit as usize)
        .map_err(|()| "the memory limit is below the memory already allocated")?;
    let evaluated = match read(&file) {
        Ok(text) => ashvane_script::evaluate(&file, &text, memory),
        Err(e) => Err(vec![Fault { file, line: 0, key: String::new(), words: e.to_string() }]),
    };
    let evaluated = evaluated.map_or_else(Evaluated::Faults, Evaluated::Settings);
    serde_json::to_string(&evaluated).map_err(|e| e.to_string())
}

fn main() -> ExitCode {
    match evaluate() {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            eprintln!("ashvane-script: {reason}; this program is meant to be started by ashvane");
            ExitCode::FAILURE
        }
    }
}
