//! Golden files with the exact bytes that earlier releases send to each other, store on disk, answer and log.
//! A fleet is upgraded machine by machine, so that all of this is an interface: a type may be renamed, but
//! its serialized form may not change.
//!
//! `GOLDEN_WRITE=1` writes the files of new cases. Replacing an existing file changes an interface, and the
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

/// Path of a file in `tests/golden`.
fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn is_writing() -> bool {
    std::env::var_os("GOLDEN_WRITE").is_some()
}

/// Returns the content of a golden file.
fn golden(name: &str) -> String {
    std::fs::read_to_string(path(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

/// Asserts that a text equals the content of a golden file.
fn assert_golden(name: &str, actual: &str) {
    if is_writing() && !path(name).exists() {
        std::fs::create_dir_all(path(name).parent().expect("a golden file is in a folder"))
            .expect("the folder can be created");
        std::fs::write(path(name), actual).expect("the golden file can be written");
    }
    let expected = golden(name);
    let line_index = expected.lines().zip(actual.lines()).position(|(expected, actual)| expected != actual);
    if let Some(line_index) = line_index {
        let line = |text: &str| text.lines().nth(line_index).unwrap_or_default().to_owned();
        panic!(
            "{name}, line {}:\n  expected {}\n  actual   {}",
            line_index + 1,
            line(&expected),
            line(actual)
        );
    }
    assert_eq!(expected.len(), actual.len(), "{name}: the length differs");
}
