//! Cost of one query in the module, by number of queries held and number of servers.

#[path = "../tests/common/crowd.rs"]
mod crowd;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use crowd::LoadedGatherer;

fn by_held(c: &mut Criterion) {
    let mut group = c.benchmark_group("query by held");
    group.sample_size(20);
    for held in [10, 1_000, 10_000, 100_000] {
        let mut loaded = LoadedGatherer::new(120);
        loaded.hold_queries(held);
        group.bench_function(BenchmarkId::from_parameter(held), |b| b.iter(|| loaded.run_query()));
    }
}

fn by_servers(c: &mut Criterion) {
    let mut group = c.benchmark_group("query by servers");
    group.sample_size(20);
    for servers in [12, 120, 1_200, 30_000] {
        let mut loaded = LoadedGatherer::new(servers);
        loaded.hold_queries(10);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| b.iter(|| loaded.run_query()));
    }
}

fn by_held_and_servers(c: &mut Criterion) {
    let mut group = c.benchmark_group("held 100000 by servers");
    group.sample_size(10);
    for servers in [12, 30_000] {
        let mut loaded = LoadedGatherer::new(servers);
        loaded.hold_queries(100_000);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| b.iter(|| loaded.run_query()));
    }
}

fn by_list_size(c: &mut Criterion) {
    let mut group = c.benchmark_group("whole list");
    group.sample_size(10);
    for servers in [1_000, 10_000, 30_000] {
        let mut loaded = LoadedGatherer::new(servers);
        group.bench_function(BenchmarkId::from_parameter(servers), |b| b.iter(|| loaded.replace_servers()));
    }
}

criterion_group!(benches, by_held, by_servers, by_held_and_servers, by_list_size);
criterion_main!(benches);
