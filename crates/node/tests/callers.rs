//! Matching of responses to requests: simulated servers with every kind of fault, in random order, behind a
//! complete gateway. Clients check that each response belongs to their request and is complete, and how often
//! the request ran. Connections and time are simulated.

#[expect(dead_code, reason = "the module also has what `graceful_shutdown` needs")]
mod scripted;

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use scripted::client::run_client;
use scripted::{World, ms, run_simulation};
use tokio::task::spawn_local;

/// Clients of one simulated day.
const CLIENT_COUNT: usize = 16;
/// Requests of each client.
const REQUESTS_PER_CLIENT: usize = 40;
/// Seeds of the days that every run simulates. Seed 4 shows a rare fault: a server rejects the same request
/// twice, the second time after it was sent again.
const SEEDS: [u64; 8] = [0, 1, 2, 3, 4, 10, 23, 111];
/// Smallest share of all requests that must succeed. A gateway that rejects every request would break no
/// other rule.
const MIN_SUCCESS_RATIO: f64 = 0.5;

/// Simulates one day.
async fn simulate_day(seed: u64) -> Rc<World> {
    let world = World::start(seed).await;
    let clients: Vec<_> = (0..CLIENT_COUNT)
        .map(|n| spawn_local(run_client(world.clone(), n, seed, REQUESTS_PER_CLIENT)))
        .collect();
    // With every odd seed the gateway is shut down during the day.
    if seed % 2 == 1 {
        let mut rng = fastrand::Rng::with_seed(seed);
        world.shut_down_after(ms(rng.u64(..1500)), ms(rng.u64(..400))).await;
    }
    for client in clients {
        client.await.expect("the client does not panic");
    }
    world.check_final_state().await;
    world
}

/// Violations of all days by kind: how often each occurred, and its first example.
type Violations = BTreeMap<String, (u32, String)>;

/// Simulates a day for each seed, and returns the violations and how often each event occurred.
fn simulate_days(seeds: impl Iterator<Item = u64>) -> (Violations, scripted::Counts) {
    let (mut violations, mut counts) = (Violations::new(), scripted::Counts::new());
    let mut record = |seed: u64, violation: &str| {
        let (kind, example) = violation.split_once(": ").unwrap_or((violation, ""));
        let first = || (0, format!("seed {seed}: {example}"));
        violations.entry(kind.to_owned()).or_insert_with(first).0 += 1;
    };
    for seed in seeds {
        match catch_unwind(AssertUnwindSafe(|| run_simulation(simulate_day(seed)))) {
            Ok(world) => {
                let ledger = world.ledger.borrow();
                ledger.violations.iter().for_each(|violation| record(seed, violation));
                for (name, count) in &ledger.counts {
                    *counts.entry(*name).or_default() += count;
                }
            }
            Err(panic) => {
                let message = panic.downcast_ref::<String>().cloned().unwrap_or_else(|| "a panic".to_owned());
                record(seed, &format!("PANIC: {message}"));
            }
        }
    }
    (violations, counts)
}

/// Simulates the days of [`SEEDS`]. To simulate others:
/// `CALLERS_FROM=0 CALLERS_DAYS=1000 cargo test --release -p ashvane-node --test callers -- --nocapture`.
#[test]
fn every_response_belongs_to_its_request_and_nothing_runs_twice() {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let (violations, counts) = match number("CALLERS_DAYS") {
        Some(days) => simulate_days((0..days).map(|n| n + number("CALLERS_FROM").unwrap_or(0))),
        None => simulate_days(SEEDS.into_iter()),
    };
    println!("{counts:#?}");
    assert!(violations.is_empty(), "{violations:#?}");
    let missing: Vec<_> =
        scripted::server::SERVER_ACTIONS.iter().filter(|action| !counts.contains_key(*action)).collect();
    assert!(missing.is_empty(), "faults that never occurred: {missing:?}");
    let (requests, successes) = (counts["client: requests"], counts["client: successes"]);
    assert!(
        f64::from(successes) > f64::from(requests) * MIN_SUCCESS_RATIO,
        "{successes} of {requests} requests succeeded"
    );
}
