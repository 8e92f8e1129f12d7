//! The interface between the decisions in [`decide`] and whatever hosts them: the actions that a
//! gatherer can take ([`Host`]), the settings that it starts from, and how a leaf call can end.

#![allow(clippy::wildcard_imports, reason = "not done yet: The path of a request reads as well as it works")]
#![expect(missing_docs, reason = "not done yet: The path of a request reads as well as it works")]

use std::time::Duration;

pub mod decide;

pub use decide::Gatherer;

/// What a gatherer can do. Handed over at start; every action takes effect when it is called.
pub trait Host {
    /// Sends a part to a shard server. `limit` is the leaf call's time-out.
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration);
    /// Stops waiting for one leaf call of a part; `call` counts the part's leaf calls from 0.
    fn cancel_call(&mut self, part: u64, call: u32);
    /// Answers a query from the parts that are in.
    fn answer(&mut self, query: u64, complete: bool);
    /// Sends a query back: to ask again is harmless, and best done after `back_after`, if given.
    fn reject(&mut self, query: u64, retry_after: Option<Duration>);
    /// Gives a query up with no promise about its effect.
    fn abort(&mut self, query: u64);
    /// Asks for [`Gatherer::timer_fired`] with this token after a while.
    fn set_timer(&mut self, token: u64, delay: Duration);
    /// Asks for the list of shard servers and all later changes of it.
    fn watch_server_list(&mut self);
    /// Whether a part of this shard may have a leaf call beyond its first, where all gatherers share a limit.
    fn may_retry(&self, _shard: u32) -> bool {
        true
    }
}

/// How a leaf call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is in.
    Completed,
    /// The server answered with an error; the part may have run.
    Errored,
    /// The server turned the part away unseen: it never ran.
    Rejected,
    /// No answer in time; the part may have run, or may run yet.
    TimedOut,
    /// No connection could be made: it never ran.
    Unreachable,
    /// The connection broke; the part may have run.
    ConnectionLost,
    /// The gatherer called it off; the part may have run, or may run yet.
    Cancelled,
    /// It was never sent.
    NeverSent,
}

/// What running a part of a vertical again would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// A repeat is dropped if it is sent within this long of the first leaf call that may have run.
    Deduplicated(Duration),
    /// Must never run twice.
    NonIdempotent,
}

/// Whether a shard server is offered work, as the list of servers has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One kind of query.
#[derive(Clone, Debug)]
pub struct VerticalSettings {
    /// Weight of the parts that make a whole answer.
    pub required_weight: f64,
    /// Weight of the parts below which no answer may be given.
    pub min_weight: f64,
    /// How many parts the second step has; 0 for none.
    pub follow_up_parts: u32,
    /// An answer within this time has its full utility.
    pub slo: Duration,
    /// Utility of an answer after the SLO time, as a share of the full.
    pub late_utility: f64,
    pub idempotency: Idempotency,
}

/// The limit on leaf calls beyond each part's first.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetSettings {
    pub window: Duration,
    pub min_retries: f64,
    pub ratio: f64,
}

/// All that a gatherer is told at start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub seed: u64,
    /// How many gatherers there are, this one among them.
    pub gatherer_count: u32,
    /// The zone that this one is in.
    pub zone: Option<u32>,
    /// The shortest time between two rounds of events.
    pub tick: Duration,
    pub verticals: Vec<VerticalSettings>,
    /// Queries a second within each tenant's share, over all gatherers.
    pub tenant_rates: Vec<f64>,
    /// How many cells the shards are spread over.
    pub cell_count: u32,
    /// How many cells in a row hold a shard.
    pub cells_per_shard: u32,
    /// How many parts sent in one turn to one server share a call there.
    pub max_parts_per_call: usize,
    /// What a call costs a server beside the work of its parts.
    pub call_overhead: Duration,
    /// The most leaf calls for one part.
    pub max_calls_per_part: u32,
    /// Whether a part may have two leaf calls out at once.
    pub allow_hedging: bool,
    /// Whether leaf calls can be called off.
    pub allow_cancel: bool,
    /// The longest time to come back that clients follow, where they are given one.
    pub max_retry_after: Option<Duration>,
    /// Where the list of servers comes only when asked for: how long it may go unasked.
    pub max_list_request_interval: Option<Duration>,
    pub retry_budget: Option<RetryBudgetSettings>,
    /// A server starts with this share of its capacity ...
    pub cold_capacity_share: f64,
    /// ... is warm after this long ...
    pub warm_up_time: Duration,
    /// ... and falls over when it gets this many times what it can do ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Duration,
}
