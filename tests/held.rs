//! The module at size: what an event costs while much is held, and what stays of queries that are over.

#[path = "common/crowd.rs"]
mod crowd;

use std::alloc::System;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use cap::Cap;
use crowd::LoadedGatherer;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// One at a time: they share the allocator, and measure time.
static TEST_LOCK: Mutex<()> = Mutex::new(());
/// How often a tenth is measured for its fastest.
const SAMPLE_COUNT: usize = 7;

/// The cost of a query with so many held: the fastest of some hundreds, so that a busy machine does not count.
fn query_cost(held: u64) -> f64 {
    let mut loaded = LoadedGatherer::new(120);
    loaded.hold_queries(held);
    let mut best = f64::INFINITY;
    for _ in 0..SAMPLE_COUNT {
        let start = Instant::now();
        (0..50).for_each(|_| loaded.run_query());
        best = best.min(start.elapsed().as_secs_f64());
    }
    assert_eq!(loaded.actions.borrow().answered, SAMPLE_COUNT as u64 * 50, "what passes is answered");
    best
}

/// Guards against events that look through all that is held: 700 times the cost once. The bound is wide for
/// a build without optimization on a loaded machine; `benches/held.rs` measures it.
#[test]
fn a_query_costs_about_the_same_with_ten_and_a_hundred_thousand_queries_held() {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (few, many) = (query_cost(10), query_cost(100_000));
    assert!(many < few * 8.0, "{:.0} us with 10 held, {:.0} us with 100,000", few * 2e4, many * 2e4);
}

/// Guards against records that stay: ids, keys and servers are new all the time. `ASHVANE_QUERIES` asks for
/// more than the tenth of a million that every run passes.
#[test]
fn ended_queries_leave_no_memory_in_use() {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let queries = std::env::var("ASHVANE_QUERIES").ok().and_then(|n| n.parse().ok()).unwrap_or(100_000u64);
    let mut loaded = LoadedGatherer::new(30);
    let mut run = |queries: u64| {
        for number in 0..queries {
            loaded.run_query();
            if number % 500 == 0 {
                loaded.replace_servers();
            }
        }
        ALLOCATOR.allocated()
    };
    let early = run(queries / 10);
    let late = run(queries);
    assert!(late < early + early / 10 + 20_000, "{early} bytes live after a tenth, {late} at the end");
    assert_eq!(loaded.actions.borrow().answered, queries + queries / 10);
}
