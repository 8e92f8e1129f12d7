//! Each name in the third column of `docs/GLOSSARY.md`, and each type, constant or method that `docs/ARCHITECTURE.md` names,
//! stands in the code, and each log line that `docs/system/operators.md` explains is logged.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All words of the sources of all crates.
fn words_of_sources() -> BTreeSet<String> {
    let mut words = BTreeSet::new();
    let crates = std::fs::read_dir(repository().join("crates")).expect("the crates").flatten();
    for sources in crates.map(|entry| entry.path().join("src")).chain([repository().join("src")]) {
        collect(&sources, &mut words);
    }
    words
}

fn collect(path: &Path, words: &mut BTreeSet<String>) {
    if path.is_dir() {
        let entries = std::fs::read_dir(path).expect("a folder").flatten();
        entries.for_each(|entry| collect(&entry.path(), words));
    } else if path.extension().is_some_and(|extension| extension == "rs") {
        let text = std::fs::read_to_string(path).expect("a source file");
        let is_part = |c: char| c.is_alphanumeric() || c == '_';
        words.extend(text.split(|c| !is_part(c)).filter(|word| !word.is_empty()).map(str::to_owned));
    }
}

/// The names in a row's third column.
fn names(row: &str) -> Vec<String> {
    let Some(column) = row.split('|').nth(3) else { return Vec::new() };
    let quoted = column.split('`').skip(1).step_by(2);
    quoted.flat_map(|name| name.split("::")).map(str::to_owned).collect()
}

#[test]
fn every_name_of_the_glossary_stands_in_the_code() {
    let text = std::fs::read_to_string(repository().join("docs/GLOSSARY.md")).expect("the glossary");
    let words = words_of_sources();
    let rows: Vec<&str> =
        text.lines().filter(|line| line.starts_with("| ") && !line.contains("---")).collect();
    assert!(rows.len() > 60, "{} rows", rows.len());
    for row in rows.into_iter().filter(|row| !row.contains("in the code")) {
        let names = names(row);
        assert!(!names.is_empty(), "no name in {row}");
        let missing: Vec<&String> = names.iter().filter(|name| !words.contains(*name)).collect();
        assert!(missing.is_empty(), "{missing:?} of {row}");
    }
}

/// What is quoted on a page and is a name of the code: it has a capital letter, and nothing that no name has.
fn quoted_names(text: &str) -> Vec<String> {
    let is_name = |quoted: &&str| {
        quoted.chars().any(char::is_uppercase)
            && quoted.chars().all(|c| c.is_alphanumeric() || c == '_' || c == ':')
    };
    let quoted = text.split('`').skip(1).step_by(2).filter(is_name);
    quoted.flat_map(|name| name.split("::")).map(str::to_owned).collect()
}

#[test]
fn every_name_of_the_architecture_page_stands_in_the_code() {
    let text = std::fs::read_to_string(repository().join("docs/ARCHITECTURE.md")).expect("the page");
    let (words, names) = (words_of_sources(), quoted_names(&text));
    let missing: BTreeSet<&String> = names.iter().filter(|name| !words.contains(*name)).collect();
    assert!(names.len() > 60 && missing.is_empty(), "{} names, of which {missing:?}", names.len());
}

/// The text of all sources of the program.
fn sources_of_program() -> String {
    let mut files = vec![PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src")];
    let mut text = String::new();
    while let Some(path) = files.pop() {
        if path.is_dir() {
            files.extend(std::fs::read_dir(path).expect("a folder").flatten().map(|entry| entry.path()));
        } else {
            text.push_str(&std::fs::read_to_string(path).expect("a source file"));
        }
    }
    text
}

#[test]
fn the_operators_page_explains_each_log_line() {
    let page = std::fs::read_to_string(repository().join("docs/system/operators.md")).expect("the page");
    let (_, logs) = page.split_once("## Logs").expect("a part on logs");
    let rows = logs.lines().filter(|line| line.starts_with("| `"));
    let explained: BTreeSet<&str> = rows
        .filter_map(|row| row.split('|').nth(1))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .collect();
    let sources = sources_of_program();
    let is_logged = |line: &&&str| sources.contains(&format!("\"{line}\""));
    let not_logged: Vec<&&str> = explained.iter().filter(|line| !is_logged(line)).collect();
    assert!(not_logged.is_empty(), "explained, but not logged: {not_logged:?}");

    let macros = ["info!(", "warn!(", "error!("];
    let calls = macros.iter().flat_map(|name| sources.split(*name).skip(1));
    let logged: BTreeSet<&str> = calls.filter_map(|call| call.split('"').nth(1)).collect();
    let not_explained: Vec<&&str> = logged.iter().filter(|line| !explained.contains(**line)).collect();
    assert!(logged.len() > 15 && not_explained.is_empty(), "not explained: {not_explained:?}");
}
