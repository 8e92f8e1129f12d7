//! Retries at one service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::MIN_GATEWAYS;

/// Fraction of the budget that is used: a window that begins at another time may count a little more.
const USABLE_FRACTION: f64 = 0.8;
/// Fraction that is used in the first window after a restart: the incarnation before may have used [`USABLE_FRACTION`] right
/// up to its end, and what it used is forgotten with it.
const USABLE_FRACTION_AFTER_RESTART: f64 = 1.0 - USABLE_FRACTION;

/// The budget for retries over all gateways: in each window a share of the requests, and so many besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries for each request, over the window.
    pub ratio: f64,
    /// Retries beyond the ratio, over the window and all gateways.
    pub slack: f64,
    /// The time over which the budget holds.
    pub window: Duration,
    /// Whether this process may have run before. Times are counted from its start.
    pub is_restarted: bool,
}

impl RetryBudget {
    /// The fraction of the budget that may be used now.
    fn usable_fraction(&self, now: Duration) -> f64 {
        if self.is_restarted && now <= self.window { USABLE_FRACTION_AFTER_RESTART } else { USABLE_FRACTION }
    }
}

/// What a gateway has used of its allowance, in the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryUsage {
    /// Requests that count towards the allowance.
    pub requests: usize,
    /// Retries that were sent.
    pub retries: usize,
}

/// One gateway's allowance of retries at one service: the ratio of its own requests, which adds up by itself, and an even
/// share of the slack.
#[derive(Debug, Default)]
pub struct RetryAllowance {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryAllowance {
    fn expire(&mut self, now: Duration, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|sent| *sent + window < now) {
                times.pop_front();
            }
        }
    }

    /// A client's request was accepted.
    pub fn record_request(&mut self, now: Duration, budget: &RetryBudget) {
        self.expire(now, budget.window);
        self.requests.push_back(now);
    }

    /// A retry was sent.
    pub fn record_retry(&mut self, now: Duration) {
        self.retries.push_back(now);
    }

    /// The retry that was sent last has reached no server.
    pub fn cancel_retry(&mut self) {
        self.retries.pop_back();
    }

    /// Whether one more retry may be sent, among so many gateways.
    #[must_use]
    pub fn allows_retry(&self, now: Duration, budget: &RetryBudget, gateways: usize) -> bool {
        let requests = count_within(&self.requests, now, budget.window);
        let retries = count_within(&self.retries, now, budget.window);
        let slack_share = budget.slack / gateways.max(MIN_GATEWAYS) as f64;
        let allowed = budget.usable_fraction(now) * (budget.ratio * requests as f64 + slack_share);
        (retries + 1) as f64 <= allowed
    }

    /// What has been used.
    #[must_use]
    pub fn usage(&self) -> RetryUsage {
        RetryUsage { requests: self.requests.len(), retries: self.retries.len() }
    }
}

/// How many of these times, in rising order, lie within the window.
fn count_within(times: &VecDeque<Duration>, now: Duration, window: Duration) -> usize {
    times.len() - times.partition_point(|sent| *sent + window < now)
}
