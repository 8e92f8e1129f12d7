//! Every file of `tests/configurations` whose name begins with `good` is taken, every other one refused.

use std::path::Path;

use ashvane_node::config::Config;

fn judged_as_named(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read(path)?;
    let good = path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("good"));
    match Config::parse(&text) {
        Ok(_) if good => Ok(()),
        Err(faults) if !good && !faults.lines().is_empty() => Ok(()),
        Ok(_) => Err("taken, though it is invalid".into()),
        Err(faults) => Err(faults.to_string().into()),
    }
}

datatest_stable::harness! {
    { test = judged_as_named, root = "tests/configurations", pattern = r"\.json$" },
}
