//! Budget for the retries to one service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::MIN_GATEWAYS;

/// Fraction of the budget that may be used. The remainder allows for windows that start at other times, which
/// may contain slightly more retries.
const USABLE_FRACTION: f64 = 0.8;
/// Fraction of the budget that may be used in the first window after a restart. The previous incarnation may
/// have used [`USABLE_FRACTION`] right before it ended, and its usage is not persisted.
const USABLE_FRACTION_AFTER_RESTART: f64 = 1.0 - USABLE_FRACTION;

/// The retry budget of all gateways together: in each window, a fraction of the requests plus a fixed slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed per request in the window.
    pub ratio: f64,
    /// Retries allowed in addition to the ratio, in the window and for all gateways together.
    pub slack: f64,
    /// Duration of the sliding window to which the budget applies.
    pub window: Duration,
    /// Whether this process may have had a previous incarnation. Times are relative to the start of the
    /// current one.
    pub is_restarted: bool,
}

impl RetryBudget {
    /// Returns the fraction of the budget that may be used at this time.
    fn usable_fraction(&self, now: Duration) -> f64 {
        if self.is_restarted && now <= self.window { USABLE_FRACTION_AFTER_RESTART } else { USABLE_FRACTION }
    }
}

/// A gateway's usage of its allowance in the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryUsage {
    /// Number of requests, which increase the allowance.
    pub requests: usize,
    /// Number of retries sent.
    pub retries: usize,
}

/// One gateway's allowance of retries to one service: the ratio applied to its own requests, so that the
/// allowances of all gateways add up to the ratio of all requests, and an equal share of the slack.
#[derive(Debug, Default)]
pub struct RetryAllowance {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryAllowance {
    /// Removes the times that are no longer within the window.
    fn expire(&mut self, now: Duration, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|sent| *sent + window < now) {
                times.pop_front();
            }
        }
    }

    /// Records that a client's request was accepted.
    pub fn record_request(&mut self, now: Duration, budget: &RetryBudget) {
        self.expire(now, budget.window);
        self.requests.push_back(now);
    }

    /// Records that a retry was sent.
    pub fn record_retry(&mut self, now: Duration) {
        self.retries.push_back(now);
    }

    /// Removes the last recorded retry, which did not reach a server.
    pub fn cancel_retry(&mut self) {
        self.retries.pop_back();
    }

    /// Whether another retry may be sent, if `gateways` gateways share the budget.
    #[must_use]
    pub fn allows_retry(&self, now: Duration, budget: &RetryBudget, gateways: usize) -> bool {
        let requests = count_within(&self.requests, now, budget.window);
        let retries = count_within(&self.retries, now, budget.window);
        let slack_share = budget.slack / gateways.max(MIN_GATEWAYS) as f64;
        let allowed = budget.usable_fraction(now) * (budget.ratio * requests as f64 + slack_share);
        (retries + 1) as f64 <= allowed
    }

    /// Returns the usage. Entries that have left the window since the last recorded request are still
    /// counted.
    #[must_use]
    pub fn usage(&self) -> RetryUsage {
        RetryUsage { requests: self.requests.len(), retries: self.retries.len() }
    }
}

/// Returns how many of the times, which are in ascending order, are within the window.
fn count_within(times: &VecDeque<Duration>, now: Duration, window: Duration) -> usize {
    times.len() - times.partition_point(|sent| *sent + window < now)
}
