//! Number of gateways that share a budget.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which an unreachable gateway keeps its share. It may be partitioned and still use that share.
const SHARE_RETENTION: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Observation {
    observed_at: Duration,
    gateways: usize,
}

/// Number of gateways that share a budget: the maximum known at the same time within `SHARE_RETENTION`.
#[derive(Debug, Default)]
pub struct GatewayCount {
    /// Observations in descending order of the number of gateways. A new observation replaces earlier ones
    /// with the same number or fewer.
    observations: VecDeque<Observation>,
}

impl GatewayCount {
    /// Records the number of gateways known at this time.
    pub fn observe(&mut self, now: Duration, gateways: usize) {
        let is_relevant = |observation: &Observation| {
            observation.observed_at + SHARE_RETENTION > now && observation.gateways > gateways
        };
        self.observations.retain(is_relevant);
        self.observations.push_back(Observation { observed_at: now, gateways });
    }

    /// Returns the number of gateways that share the budget, at least one.
    #[must_use]
    pub fn current(&self) -> usize {
        self.observations.iter().map(|observation| observation.gateways).max().unwrap_or(0).max(1)
    }
}
