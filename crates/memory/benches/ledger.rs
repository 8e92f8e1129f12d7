//! Cost of taking and releasing one charge, by the number of tenants.

use ashvane_memory::{Ledger, Limits, Purpose};
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

fn charges(c: &mut Criterion) {
    let mut group = c.benchmark_group("take and give back");
    for tenants in [0, 10, 200] {
        let names: Vec<(String, f64)> = (0..tenants).map(|t| (format!("t{t}"), 1.0)).collect();
        let ledger = Ledger::new(Limits::of_memory(192 << 20), &names);
        let within_share = BenchmarkId::new("within its share", tenants);
        group.bench_function(within_share, |b| b.iter(|| ledger.take(Purpose::Values, Some(0), 100)));
        let share = ledger.limits().of(Purpose::Values).cap / tenants.max(1) as u64;
        let _held = ledger.take(Purpose::Values, Some(0), share);
        let beyond_share = BenchmarkId::new("beyond it", tenants);
        group.bench_function(beyond_share, |b| b.iter(|| ledger.take(Purpose::Values, Some(0), 100).is_ok()));
    }
}

criterion_group!(benches, charges);
criterion_main!(benches);
