//! StoredState processes under drawn schedules. What must hold is checked all along. Time is counted, nothing is waited for.
//!
//! By hand: `SIMULATION_FROM=0 SIMULATION_DAYS=1000 cargo test --release -p ashvane-node --test whole`; a test's name
//! after `--` plays only its days; `NODE_LOG=1` says all.

mod days;
#[allow(dead_code, reason = "each test uses its part of the simulation")]
mod simulation;

use std::panic::{AssertUnwindSafe, catch_unwind};

use simulation::run_simulation;

/// Of these days, those that break something, each with what it was.
fn hunt<F: Future>(day: impl Fn(u64) -> F, fixed: &[u64]) -> Vec<(u64, String)> {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let from = number("SIMULATION_FROM").unwrap_or(0);
    let seeds = match number("SIMULATION_DAYS") {
        Some(days) => (from..from + days).collect(),
        None => fixed.to_vec(),
    };
    let broken = |seed| {
        let played = catch_unwind(AssertUnwindSafe(|| run_simulation(day(seed))));
        let why = played.err()?;
        let why = why.downcast_ref::<String>().cloned().unwrap_or_else(|| "a panic".to_owned());
        println!("seed {seed}: {why}");
        Some((seed, why))
    };
    seeds.into_iter().filter_map(broken).collect()
}

/// Some days on which something broke once: a disk wiped and back before it was missed (64, 100), back with nothing but
/// seeds that are gone (70, 302), a server that had left recalled after a restart of all (365).
const DAYS: [u64; 8] = [1, 2, 3, 64, 70, 100, 302, 365];

#[test]
fn whole_processes_keep_what_they_have_promised() {
    let broken = hunt(days::drawn::simulate_day, &DAYS);
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Small cores and large ones.
const WORST_DAYS: [u64; 6] = [1, 2, 3, 4, 6, 7];

#[test]
fn nothing_is_unsaid_on_the_worst_days() {
    let broken = hunt(days::worst::simulate_day, &WORST_DAYS);
    assert!(broken.is_empty(), "{broken:#?}");
}
