//! ashvane-script: evaluates our own settings file and prints what came of it, for `ashvane`, which starts it
//! so that a script can take neither its time nor its memory.

use std::alloc::System;
use std::io::Read as _;
use std::process::ExitCode;

use ashvane_config::{Evaluated, Fault};
use cap::Cap;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Share of the gatherer's memory that evaluating may take, and its least in bytes: what the evaluator itself
/// needs, several times.
const MEMORY_RATIO: f64 = 0.33;
const MIN_MEMORY_BYTES: u64 = 8 << 20;
/// The longest file that is read, in bytes: past what is evaluated, so that it is told.
const MAX_FILE_BYTES: u64 = 64 * 1024 + 1;

fn read(file: &str) -> std::io::Result<String> {
    let opened = std::fs::File::open(file)?;
    if !opened.metadata()?.is_file() {
        return Err(std::io::Error::other("not a file"));
    }
    let mut text = String::new();
    opened.take(MAX_FILE_BYTES).read_to_string(&mut text)?;
    Ok(text)
}

fn evaluate() -> Result<String, String> {
    let mut arguments = pico_args::Arguments::from_env();
    let file: String = arguments.value_from_str("--settings").map_err(|e| e.to_string())?;
    let memory: u64 = arguments.value_from_str("--memory-bytes").map_err(|e| e.to_string())?;
    let memory_limit = MIN_MEMORY_BYTES.max((memory as f64 * MEMORY_RATIO) as u64);
    // Beyond it the process ends, which the one that started it tells.
    ALLOCATOR.set_limit(memory_limit as usize).map_err(|()| "there is no memory to evaluate with")?;
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
        Err(words) => {
            eprintln!("ashvane-script: {words}; it is started by ashvane");
            ExitCode::FAILURE
        }
    }
}
