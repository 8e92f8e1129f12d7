//! Documentation and code agree: each name in the third column of `docs/GLOSSARY.md`, and each type, constant
//! or method that `docs/ARCHITECTURE.md` names, exists in the code, and `docs/system/operators.md` explains
//! exactly the lines that are logged.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

fn repository() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all words in the sources of all crates.
fn words_of_sources() -> BTreeSet<String> {
    let mut words = BTreeSet::new();
    let crates = std::fs::read_dir(repository().join("crates"))
        .expect("the folder of the crates can be read")
        .flatten();
    for sources in crates.map(|entry| entry.path().join("src")).chain([repository().join("src")]) {
        collect_words(&sources, &mut words);
    }
    words
}

fn collect_words(path: &Path, words: &mut BTreeSet<String>) {
    if path.is_dir() {
        let entries = std::fs::read_dir(path).expect("the folder can be read").flatten();
        entries.for_each(|entry| collect_words(&entry.path(), words));
    } else if path.extension().is_some_and(|extension| extension == "rs") {
        let text = std::fs::read_to_string(path).expect("the source file can be read");
        let is_word_char = |c: char| c.is_alphanumeric() || c == '_';
        words.extend(text.split(|c| !is_word_char(c)).filter(|word| !word.is_empty()).map(str::to_owned));
    }
}

/// Returns the names quoted in the third column of a row.
fn names_in_row(row: &str) -> Vec<String> {
    let Some(column) = row.split('|').nth(3) else { return Vec::new() };
    let quoted = column.split('`').skip(1).step_by(2);
    quoted.flat_map(|name| name.split("::")).map(str::to_owned).collect()
}

#[test]
fn every_name_in_the_glossary_exists_in_the_code() {
    let text =
        std::fs::read_to_string(repository().join("docs/GLOSSARY.md")).expect("the glossary can be read");
    let words = words_of_sources();
    let rows: Vec<&str> =
        text.lines().filter(|line| line.starts_with("| ") && !line.contains("---")).collect();
    assert!(rows.len() > 60, "the glossary has only {} rows", rows.len());
    for row in rows.into_iter().filter(|row| !row.contains("in the code")) {
        let names = names_in_row(row);
        assert!(!names.is_empty(), "the row has no name in its third column: {row}");
        let missing: Vec<&String> = names.iter().filter(|name| !words.contains(*name)).collect();
        assert!(missing.is_empty(), "{missing:?} do not exist in the code: {row}");
    }
}

/// Returns the quoted texts of a page that are names in the code: those with a capital letter that consist of
/// letters, digits, underscores and colons.
fn quoted_names(text: &str) -> Vec<String> {
    let is_name = |quoted: &&str| {
        quoted.chars().any(char::is_uppercase)
            && quoted.chars().all(|c| c.is_alphanumeric() || c == '_' || c == ':')
    };
    let quoted = text.split('`').skip(1).step_by(2).filter(is_name);
    quoted.flat_map(|name| name.split("::")).map(str::to_owned).collect()
}

#[test]
fn every_name_on_the_architecture_page_exists_in_the_code() {
    let text =
        std::fs::read_to_string(repository().join("docs/ARCHITECTURE.md")).expect("the page can be read");
    let (words, names) = (words_of_sources(), quoted_names(&text));
    let missing: BTreeSet<&String> = names.iter().filter(|name| !words.contains(*name)).collect();
    assert!(
        names.len() > 60 && missing.is_empty(),
        "{} names, of which {missing:?} do not exist in the code",
        names.len()
    );
}

/// Returns the text of all sources of `ashvane-node`.
fn sources_of_program() -> String {
    let mut files = vec![PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src")];
    let mut text = String::new();
    while let Some(path) = files.pop() {
        if path.is_dir() {
            files.extend(
                std::fs::read_dir(path).expect("the folder can be read").flatten().map(|entry| entry.path()),
            );
        } else {
            text.push_str(&std::fs::read_to_string(path).expect("the source file can be read"));
        }
    }
    text
}

#[test]
fn the_operators_page_explains_exactly_the_logged_lines() {
    let page =
        std::fs::read_to_string(repository().join("docs/system/operators.md")).expect("the page can be read");
    let (_, logs) = page.split_once("## Logs").expect("the page has a section on logs");
    let rows = logs.lines().filter(|line| line.starts_with("| `"));
    let explained: BTreeSet<&str> = rows
        .filter_map(|row| row.split('|').nth(1))
        .flat_map(|cell| cell.split('`').skip(1).step_by(2))
        .collect();
    let sources = sources_of_program();
    let is_logged = |line: &&&str| sources.contains(&format!("\"{line}\""));
    let not_logged: Vec<&&str> = explained.iter().filter(|line| !is_logged(line)).collect();
    assert!(not_logged.is_empty(), "lines explained but not logged: {not_logged:?}");

    let macros = ["info!(", "warn!(", "error!("];
    let calls = macros.iter().flat_map(|name| sources.split(*name).skip(1));
    let logged: BTreeSet<&str> = calls.filter_map(|call| call.split('"').nth(1)).collect();
    let not_explained: Vec<&&str> = logged.iter().filter(|line| !explained.contains(**line)).collect();
    assert!(
        logged.len() > 15 && not_explained.is_empty(),
        "lines logged but not explained: {not_explained:?}"
    );
}
