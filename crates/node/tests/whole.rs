//! Whole processes under randomly drawn schedules of faults, in simulated time, with continuous checks of the
//! system's guarantees.
//!
//! `SIMULATION_FROM=0 SIMULATION_DAYS=1000 cargo test --release -p ashvane-node --test whole` runs other days.
//! The name of a test after `--` selects its days; `NODE_LOG=1` prints all log lines.

mod days;
#[allow(dead_code, reason = "each test uses its part of the simulation")]
mod simulation;

use std::panic::{AssertUnwindSafe, catch_unwind};

use simulation::run_simulation;

/// Simulates days and returns the seeds of those that failed, each with the message of the panic.
fn failed_days<F: Future>(day: impl Fn(u64) -> F, fixed_seeds: &[u64]) -> Vec<(u64, String)> {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let from = number("SIMULATION_FROM").unwrap_or(0);
    let seeds = match number("SIMULATION_DAYS") {
        Some(days) => (from..from + days).collect(),
        None => fixed_seeds.to_vec(),
    };
    let failure = |seed| {
        let outcome = catch_unwind(AssertUnwindSafe(|| run_simulation(day(seed))));
        let cause = outcome.err()?;
        let cause = cause
            .downcast_ref::<String>()
            .cloned()
            .unwrap_or_else(|| "panic without a formatted message".to_owned());
        println!("seed {seed}: {cause}");
        Some((seed, cause))
    };
    seeds.into_iter().filter_map(failure).collect()
}

/// The first three days, and days that reproduce past faults: a disk was wiped and restarted before its
/// failure was detected (64, 100), a wiped node restarted after all of its seeds had been removed (70, 302), and a
/// deregistered server reappeared after a restart of all processes (365).
const FIXED_DAYS: [u64; 8] = [1, 2, 3, 64, 70, 100, 302, 365];

#[test]
fn whole_processes_keep_their_guarantees_on_drawn_days() {
    let failures = failed_days(days::drawn::simulate_day, &FIXED_DAYS);
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Days with small and with large numbers of control nodes.
const WORST_DAYS: [u64; 6] = [1, 2, 3, 4, 6, 7];

#[test]
fn no_acknowledgement_is_lost_on_the_worst_days() {
    let failures = failed_days(days::worst::simulate_day, &WORST_DAYS);
    assert!(failures.is_empty(), "{failures:#?}");
}
