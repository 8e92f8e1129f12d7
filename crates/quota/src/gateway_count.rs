//! How many gateways share a budget.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which a gateway that cannot be reached keeps its share: it may be partitioned off and go on using it.
const SHARE_RETENTION: Duration = Duration::from_secs(30);

#[derive(Debug)]
struct Observation {
    observed_at: Duration,
    gateways: usize,
}

/// How many gateways share a budget: the most that were known at once of late.
#[derive(Debug, Default)]
pub struct GatewayCount {
    /// In falling order of gateways: a later observation of as many replaces an earlier one.
    observations: VecDeque<Observation>,
}

impl GatewayCount {
    /// Records how many gateways are known now.
    pub fn observe(&mut self, now: Duration, gateways: usize) {
        let is_relevant = |observation: &Observation| {
            observation.observed_at + SHARE_RETENTION > now && observation.gateways > gateways
        };
        self.observations.retain(is_relevant);
        self.observations.push_back(Observation { observed_at: now, gateways });
    }

    /// How many gateways to share with, at least one.
    #[must_use]
    pub fn current(&self) -> usize {
        self.observations.iter().map(|observation| observation.gateways).max().unwrap_or(0).max(1)
    }
}
