//! Decides when a gatherer calls which keeper, at a rate that stays bounded even if keepers fail.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Random deviation from the interval between calls, as a fraction, which keeps the calls of gatherers from
/// synchronizing.
const JITTER_FRACTION: f64 = 0.25;

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// Time at which the call is due.
    pub at: Duration,
    /// Index of the called keeper in the list of keepers.
    pub keeper: usize,
}

/// Schedule of one gatherer's calls: one call at a time, with a jittered interval, to the same keeper until
/// that fails.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    interval: Duration,
    rng: fastrand::Rng,
    keepers: usize,
    next: NextCall,
}

impl CallSchedule {
    /// Creates a schedule whose first call is due at a random time within one interval. The seed differs
    /// between gatherers, so that a fleet whose processes start together does not call all at once.
    #[must_use]
    pub fn new(interval: Duration, keepers: usize, seed: u64, now: Duration) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let keepers = keepers.max(1);
        let at = now + interval.mul_f64(rng.f64());
        let next = NextCall { at, keeper: rng.usize(..keepers) };
        CallSchedule { interval, rng, keepers, next }
    }

    /// Returns the next call.
    #[must_use]
    pub fn next(&self) -> NextCall {
        self.next
    }

    /// Schedules the next call after one was sent at `now`. Neither a reply nor a failure moves it forward.
    pub fn call_made(&mut self, now: Duration) {
        self.next.at =
            now + self.interval.mul_f64(1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * self.rng.f64());
    }

    /// Directs the next call to another keeper after a failure, without changing its time.
    pub fn keeper_failed(&mut self) {
        self.next.keeper = (self.next.keeper + 1) % self.keepers;
    }

    /// Returns the maximum number of calls a second that one keeper receives if all gatherers call it.
    #[must_use]
    pub fn max_rate(interval: Duration, gatherers: u32) -> f64 {
        f64::from(gatherers) / (interval.as_secs_f64() * (1.0 - JITTER_FRACTION))
    }
}
