//! Every file in `tests/configurations` whose name begins with `good` must be accepted, every other one
//! rejected.

use std::path::Path;

use ashvane_node::config::Config;

fn is_accepted_or_rejected_as_named(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read(path)?;
    let good = path.file_name().is_some_and(|n| n.to_string_lossy().starts_with("good"));
    match Config::parse(&text) {
        Ok(_) if good => Ok(()),
        Err(faults) if !good && !faults.lines().is_empty() => Ok(()),
        Ok(_) => Err("accepted, though it is invalid".into()),
        Err(faults) => Err(faults.to_string().into()),
    }
}

datatest_stable::harness! {
    { test = is_accepted_or_rejected_as_named, root = "tests/configurations", pattern = r"\.json$" },
}
