//! Running estimate of the latency that nearly all queries of a vertical stay below.

/// Share of queries that the estimate is to cover.
const QUANTILE: f64 = 0.99;
/// Relative change of the estimate at a query that exceeds it, before it is weighted by the quantile.
const STEP: f64 = 0.2;
/// Most that the estimate is after the first query, as a multiple of its latency.
const MAX_FIRST_RATIO: f64 = 10.0;
/// Bounds of the estimate, in seconds, which keep it positive and finite.
const MIN_S: f64 = 0.001;
const MAX_S: f64 = 1e6;

/// Estimate of a high quantile of latencies in seconds. Each query above it raises it by a fixed ratio, each
/// query below it lowers it by a much smaller one; both balance where [`QUANTILE`] of the queries are below.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyQuantile {
    estimate_s: f64,
    is_observed: bool,
}

impl LatencyQuantile {
    /// Starts with an estimate that holds until the first query is answered.
    pub(super) fn new(initial_s: f64) -> Self {
        LatencyQuantile { estimate_s: initial_s.clamp(MIN_S, MAX_S), is_observed: false }
    }

    /// Returns the estimate in seconds.
    pub(super) fn estimate_s(self) -> f64 {
        self.estimate_s
    }

    /// Records the latency of an answered query.
    pub(super) fn observe(&mut self, latency_s: f64) {
        let estimate_s = match self.is_observed {
            false => self.estimate_s.min(latency_s * MAX_FIRST_RATIO),
            true if latency_s > self.estimate_s => self.estimate_s * (1.0 + STEP * QUANTILE),
            true => self.estimate_s * (1.0 - STEP * (1.0 - QUANTILE)),
        };
        *self = LatencyQuantile { estimate_s: estimate_s.clamp(MIN_S, MAX_S), is_observed: true };
    }

    /// Records that a query was not answered within this time.
    pub(super) fn observe_unanswered(&mut self, age_s: f64) {
        if age_s > self.estimate_s {
            self.observe(age_s);
        }
    }
}
