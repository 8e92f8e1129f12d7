//! The module under load: the cost of an event while many queries are held, and memory after queries have
//! ended.

#[path = "common/crowd.rs"]
mod crowd;

use std::alloc::System;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use cap::Cap;
use crowd::LoadedGatherer;

#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Makes the tests run one at a time, since they share the allocator and measure time.
static TEST_LOCK: Mutex<()> = Mutex::new(());
/// Number of measurements of which the fastest counts.
const SAMPLE_COUNT: usize = 7;

/// Seconds for 50 queries with this many held: the fastest of several measurements, so that other load on the
/// machine does not count.
fn query_cost(held: u64) -> f64 {
    let mut loaded = LoadedGatherer::new(120);
    loaded.hold_queries(held);
    let mut best = f64::INFINITY;
    for _ in 0..SAMPLE_COUNT {
        let start = Instant::now();
        (0..50).for_each(|_| loaded.run_query());
        best = best.min(start.elapsed().as_secs_f64());
    }
    assert_eq!(
        loaded.actions.borrow().answered,
        SAMPLE_COUNT as u64 * 50,
        "every measured query must be answered"
    );
    best
}

/// Guards against events that scan everything held, which once cost 700 times as much. The bound leaves room
/// for a build without optimization on a loaded machine; `benches/held.rs` measures the cost.
#[test]
fn a_query_costs_about_the_same_with_ten_and_a_hundred_thousand_queries_held() {
    let _guard = TEST_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let (few, many) = (query_cost(10), query_cost(100_000));
    assert!(many < few * 8.0, "{:.0} us with 10 held, {:.0} us with 100,000", few * 2e4, many * 2e4);
}

/// Guards against records that are never removed, with ids, keys and servers that are always new.
/// `ASHVANE_QUERIES` sets the number of queries; the default is 100,000.
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
    assert!(
        late < early + early / 10 + 20_000,
        "{early} bytes in use after a tenth of the queries, {late} at the end"
    );
    assert_eq!(loaded.actions.borrow().answered, queries + queries / 10);
}
