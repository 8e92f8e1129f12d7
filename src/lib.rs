//! Interface between the decisions in [`decide`] and the program around them: the actions that a gatherer can
//! take ([`Host`]), its settings, and the outcomes of calls.
//!
//! A query consists of parts, each for one shard. A call sends one part to one shard server; each retry and
//! each hedge of the part is a further call.

#![allow(clippy::wildcard_imports, reason = "the modules of `decide` share the imports of their parent")]

use std::time::Duration;

pub mod decide;

pub use decide::Gatherer;

/// Actions of a gatherer, which take effect when called.
pub trait Host {
    /// Sends a part to a shard server. The call times out after `timeout`.
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration);
    /// Stops waiting for a call of a part; `call` is its number, counted from 0 for each part.
    fn cancel_call(&mut self, part: u64, call: u32);
    /// Answers a query from the parts answered so far; `complete` if they have the required weight.
    fn answer(&mut self, query: u64, complete: bool);
    /// Rejects a query. A retry is safe, and best sent after `retry_after`, if given.
    fn reject(&mut self, query: u64, retry_after: Option<Duration>);
    /// Ends a query without an answer; it may have taken effect.
    fn abort(&mut self, query: u64);
    /// Requests a call of [`Gatherer::timer_fired`] with this token after the delay.
    fn set_timer(&mut self, token: u64, delay: Duration);
    /// Requests the list of shard servers and all later changes of it.
    fn watch_server_list(&mut self);
    /// Whether a part of this shard may have a call beyond its first, if the gatherers share a retry budget.
    fn may_retry(&self, _shard: u32) -> bool {
        true
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Completed,
    /// The server answered with an error; the part may have run.
    Errored,
    /// The server rejected the part without running it.
    Rejected,
    /// No answer arrived in time; the part may have run, or may still run.
    TimedOut,
    /// The connection could not be established; the part did not run.
    Unreachable,
    /// The connection was lost; the part may have run.
    ConnectionLost,
    /// The gatherer cancelled the call; the part may have run, or may still run.
    Cancelled,
    /// The call was never sent.
    NeverSent,
}

/// Whether a part of a vertical may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The part may run any number of times.
    Idempotent,
    /// Servers drop a repeat that is sent within this time of the first call that may have run.
    Deduplicated(Duration),
    /// The part must not run twice.
    NonIdempotent,
}

/// Whether a shard server may get calls, according to the server list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The server accepts calls.
    #[default]
    Ready,
    /// The server finishes its calls and gets no new ones.
    Draining,
    /// The server has ended or is no longer listed.
    Gone,
}

/// Settings of a vertical, which is one kind of query.
#[derive(Clone, Debug)]
pub struct VerticalSettings {
    /// Weight of the parts that make an answer complete.
    pub required_weight: f64,
    /// Smallest weight of parts for which any answer may be given.
    pub min_weight: f64,
    /// Largest number of parts of the second step, which starts after the first answer; 0 for no such step.
    pub follow_up_parts: u32,
    /// Latency target: an answer within this time has its full utility.
    pub slo: Duration,
    /// Utility of an answer after the SLO time, as a share of the full one.
    pub late_utility: f64,
    /// Whether parts may run more than once.
    pub idempotency: Idempotency,
}

/// Limit on retries and hedges, which are all calls of a part beyond its first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    /// Time window over which retries, queries and parts are counted.
    pub window: Duration,
    /// Retries allowed in the window whatever the number of queries and parts.
    pub min_retries: f64,
    /// Further retries allowed for each query and part that arrived in the window.
    pub ratio: f64,
}

/// Settings of a gatherer at start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of gatherers, including this one.
    pub gatherer_count: u32,
    /// Zone of this gatherer.
    pub zone: Option<u32>,
    /// Shortest time between two batches of events.
    pub tick: Duration,
    /// Largest amount by which sums of part weights fall short because the weights are rounded. It must be
    /// less than the weight of any part, and 0 or close to it where the weights are exact.
    pub weight_tolerance: f64,
    /// Settings of each vertical, by its index.
    pub verticals: Vec<VerticalSettings>,
    /// Quota of each tenant in queries per second over all gatherers.
    pub tenant_rates: Vec<f64>,
    /// Number of cells over which the shards are spread.
    pub cell_count: u32,
    /// Number of consecutive cells whose servers hold a shard.
    pub cells_per_shard: u32,
    /// Largest number of parts in one batched call, which carries the parts sent to one server in one tick.
    pub max_parts_per_call: usize,
    /// Work that a batched call costs a server in addition to that of its parts.
    pub call_overhead: Duration,
    /// Largest number of calls of one part.
    pub max_calls_per_part: u32,
    /// Whether a part may have two calls in flight at once.
    pub allow_hedging: bool,
    /// Whether calls can be cancelled.
    pub allow_cancel: bool,
    /// Longest delay of a retry that clients honour, if rejections can carry one.
    pub max_retry_after: Option<Duration>,
    /// Longest time allowed between requests for the server list, if it is only sent on request.
    pub max_list_request_interval: Option<Duration>,
    /// Limit on calls beyond each part's first.
    pub retry_budget: Option<RetryBudgetSettings>,
    /// Share of its capacity that a server has when it starts.
    pub cold_capacity_share: f64,
    /// Time after its start at which a server has its full capacity.
    pub warm_up_time: Duration,
    /// Load, as a multiple of a server's current capacity, that makes it fail from overload.
    pub overload_factor: f64,
    /// Time for which that load must last until the server fails.
    pub overload_window: Duration,
}
