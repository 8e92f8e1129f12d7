//! Golden files: what earlier releases say to each other, keep on disk, answer and log, to the byte. A fleet is upgraded
//! machine by machine, so that all of this is an interface: a type may be renamed, its serialized form may not change.
//!
//! `GOLDEN_WRITE=1` writes the files of new cases. To write one anew that is there is to change an interface, and the
//! commit has to say why.

#[path = "golden/messages.rs"]
mod messages;
#[path = "golden/on_disk.rs"]
mod on_disk;
#[path = "golden/operators.rs"]
mod operators;
#[path = "golden/simulated_day.rs"]
mod simulated_day;
#[allow(dead_code, reason = "each test uses its part of the simulation")]
mod simulation;
#[path = "golden/upgrade.rs"]
mod upgrade;

use std::path::PathBuf;

/// A file of `tests/golden`.
fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn is_writing() -> bool {
    std::env::var_os("GOLDEN_WRITE").is_some()
}

/// The content of a golden file.
fn golden(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Asserts that this is what a golden file holds.
fn assert_golden(name: &str, now: &str) {
    if is_writing() && !path(name).exists() {
        std::fs::create_dir_all(path(name).parent().expect("a folder")).expect("a folder");
        std::fs::write(path(name), now).expect("written");
    }
    let before = golden(name);
    let first = before.lines().zip(now.lines()).position(|(before, now)| before != now);
    if let Some(first) = first {
        let line = |text: &str| text.lines().nth(first).unwrap_or_default().to_owned();
        panic!("{name}, line {}:\n  before {}\n  now    {}", first + 1, line(&before), line(now));
    }
    assert_eq!(before.len(), now.len(), "{name} is longer or shorter than before");
}
