//! The modules of the program import one way: each only from those before it in [`ORDER`].

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The modules at the root, from those that know no other to the one that assembles all.
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

fn sources() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// The files of a module: its own, and those in its folder.
fn files_of(module: &str) -> Vec<PathBuf> {
    let file = sources().join(format!("{module}.rs"));
    let mut paths = vec![sources().join(module)];
    let mut files: Vec<PathBuf> = file.is_file().then_some(file).into_iter().collect();
    while let Some(path) = paths.pop() {
        if path.is_dir() {
            paths.extend(std::fs::read_dir(path).expect("a folder").flatten().map(|entry| entry.path()));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// The root's modules that a file names in its code; comments may link anywhere.
fn imports_of(file: &Path) -> BTreeSet<String> {
    let text = std::fs::read_to_string(file).expect("a source file");
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let named = code.flat_map(|line| line.split("crate::").skip(1));
    let first_names = named.flat_map(|rest| match rest.strip_prefix('{') {
        Some(list) => list.split(',').map(first_name).collect::<Vec<_>>(),
        None => vec![first_name(rest)],
    });
    first_names.filter(|name| ORDER.contains(&name.as_str())).collect()
}

fn first_name(path: &str) -> String {
    path.trim().chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect()
}

#[test]
fn modules_import_only_from_those_before_them() {
    let mut seen = 0;
    for (place, module) in ORDER.iter().enumerate() {
        let files = files_of(module);
        assert!(!files.is_empty(), "{module} has no file");
        let imported: BTreeSet<String> = files.iter().flat_map(|file| imports_of(file)).collect();
        for name in imported.iter().filter(|name| name != module) {
            seen += 1;
            assert!(ORDER[..place].contains(&name.as_str()), "{module} imports {name}");
        }
    }
    assert!(seen > 25, "{seen} imports between modules");
}

#[test]
fn every_module_has_its_place_in_the_order() {
    let root = std::fs::read_to_string(sources().join("lib.rs")).expect("the root");
    let declared = root.lines().filter_map(|line| line.trim_start_matches("pub ").strip_prefix("mod "));
    let declared: BTreeSet<&str> = declared.map(|name| name.trim_end_matches(';')).collect();
    assert_eq!(declared, ORDER.into_iter().collect());
}
