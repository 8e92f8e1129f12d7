//! What a data plane has done since its start, for logs and operators.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use ashvane_quota::RetryUsage;
use serde_json::{Value, json};
use slog::info;

use super::DataPlane;

/// Totals since the start, for the log.
#[derive(Default)]
pub(super) struct Counters {
    pub(super) queries: Cell<u64>,
    pub(super) calls: Cell<u64>,
    pub(super) retries: Cell<u64>,
    pub(super) complete: Cell<u64>,
    pub(super) partial: Cell<u64>,
    pub(super) rejected: Cell<u64>,
    pub(super) aborted: Cell<u64>,
    /// Servers that were used although they have timed out, because most of their service has.
    pub(super) timed_out_servers: Cell<u64>,
    /// Failed calls by variant of [`CallError`].
    pub(super) failed_calls: RefCell<BTreeMap<String, u64>>,
}

/// Adds one to a counter.
pub(super) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl DataPlane {
    /// Number of open connections to servers.
    pub fn open_connection_count(&self) -> usize {
        self.pool.open_count()
    }

    /// Reports by service what this gateway has used of the shared budgets.
    pub fn budget_usage(&self) -> Value {
        let shared_limits = self.shared_limits.borrow();
        let services: BTreeMap<u32, Rc<str>> =
            self.shards.borrow().iter().map(|(name, shard)| (*shard, name.clone())).collect();
        let rows = shared_limits.retry_allowances.iter().map(|(shard, allowance)| {
            let RetryUsage { requests, retries } = allowance.usage();
            let service = services.get(shard).map_or("", |s| s);
            json!({"service": service, "requests": requests, "again": retries,
                "among gatherers": shared_limits.gateway_count.current(),
                "connections a server": self.connection_limit(service)})
        });
        rows.collect()
    }

    /// Logs the counters of queries, calls and connections.
    pub fn log_counters(&self) {
        let counters = &self.counters;
        let pool = &self.pool.counters;
        let failed_calls = counters.failed_calls.borrow();
        let failed: Vec<String> =
            failed_calls.iter().map(|(kind, count)| format!("{kind}:{count}")).collect();
        info!(self.log, "queries"; "queries" => counters.queries.get(), "calls" => counters.calls.get(),
            "again" => counters.retries.get(), "whole" => counters.complete.get(),
            "partial" => counters.partial.get(), "rejected" => counters.rejected.get(),
            "aborted" => counters.aborted.get(), "failed" => failed.join(" "),
            "silent_used" => counters.timed_out_servers.get(), "held" => self.queries.borrow().len(), "parts" => self.parts.borrow().len(),
            "open" => self.pool.open_count(), "connects" => pool.connects.get(),
            "refused" => pool.failed_connects.get(), "reused" => pool.reused.get(),
            "foreign" => pool.mismatched_responses.get());
    }
}
