//! The imports between the top-level modules have no cycles: each module imports only from those before it in
//! [`ORDER`].

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Top-level modules, from those that import no other to the one that assembles the program.
const ORDER: [&str; 16] = [
    "compression",
    "document",
    "call_error",
    "merge",
    "disk",
    "config",
    "settings",
    "links",
    "engine",
    "pool",
    "data_plane",
    "agent",
    "front",
    "control_api",
    "operator_client",
    "program",
];

fn source_folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Returns the source files of a module: its own file, and those in its folder.
fn files_of(module: &str) -> Vec<PathBuf> {
    let file = source_folder().join(format!("{module}.rs"));
    let mut paths = vec![source_folder().join(module)];
    let mut files: Vec<PathBuf> = file.is_file().then_some(file).into_iter().collect();
    while let Some(path) = paths.pop() {
        if path.is_dir() {
            paths.extend(
                std::fs::read_dir(path).expect("the folder can be read").flatten().map(|entry| entry.path()),
            );
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Returns the top-level modules that a file names in its code. Links in comments do not count.
fn imports_of(file: &Path) -> BTreeSet<String> {
    let text = std::fs::read_to_string(file).expect("the source file can be read");
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let import_paths = code.flat_map(|line| line.split("crate::").skip(1));
    let first_names = import_paths.flat_map(|path| match path.strip_prefix('{') {
        Some(list) => list.split(',').map(first_name).collect::<Vec<_>>(),
        None => vec![first_name(path)],
    });
    first_names.filter(|name| ORDER.contains(&name.as_str())).collect()
}

fn first_name(path: &str) -> String {
    path.trim().chars().take_while(|character| character.is_alphanumeric() || *character == '_').collect()
}

#[test]
fn modules_import_only_from_earlier_ones() {
    let mut import_count = 0;
    for (position, module) in ORDER.iter().enumerate() {
        let files = files_of(module);
        assert!(!files.is_empty(), "module {module} has no source file");
        let imported: BTreeSet<String> = files.iter().flat_map(|file| imports_of(file)).collect();
        for name in imported.iter().filter(|name| name != module) {
            import_count += 1;
            assert!(
                ORDER[..position].contains(&name.as_str()),
                "module {module} must not import {name}, which comes after it in ORDER"
            );
        }
    }
    assert!(import_count > 25, "found only {import_count} imports between modules");
}

#[test]
fn the_order_lists_every_module() {
    let root = std::fs::read_to_string(source_folder().join("lib.rs")).expect("lib.rs can be read");
    let declared = root.lines().filter_map(|line| line.trim_start_matches("pub ").strip_prefix("mod "));
    let declared: BTreeSet<&str> = declared.map(|name| name.trim_end_matches(';')).collect();
    assert_eq!(declared, ORDER.into_iter().collect());
}
