//! When a gatherer calls which keeper: at a bounded rate, whatever happens.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// A call comes this much sooner or later than its usual time, as a fraction: none is in step with another's.
const JITTER_FRACTION: f64 = 0.25;

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextCall {
    /// When it is due.
    pub at: Duration,
    /// The keeper that is called, as an index into the list.
    pub keeper: usize,
}

/// The calls of one gatherer to keepers: one at a time, each at its own time, to one keeper until that one fails.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    interval: Duration,
    rng: fastrand::Rng,
    keepers: usize,
    next: NextCall,
}

impl CallSchedule {
    /// The first call comes within one interval, drawn by the gatherer's own seed: a fleet that starts at once does not
    /// call at once.
    #[must_use]
    pub fn new(interval: Duration, keepers: usize, seed: u64, now: Duration) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let keepers = keepers.max(1);
        let at = now + interval.mul_f64(rng.f64());
        let next = NextCall { at, keeper: rng.usize(..keepers) };
        CallSchedule { interval, rng, keepers, next }
    }

    /// The next call.
    #[must_use]
    pub fn next(&self) -> NextCall {
        self.next
    }

    /// A call is made now. Whether it is answered or not, the next one comes no sooner than this says.
    pub fn call_made(&mut self, now: Duration) {
        self.next.at =
            now + self.interval.mul_f64(1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * self.rng.f64());
    }

    /// The keeper did not answer: the next call goes to another one, at its usual time.
    pub fn keeper_failed(&mut self) {
        self.next.keeper = (self.next.keeper + 1) % self.keepers;
    }

    /// The most calls a second of so many gatherers, were all of them to call one keeper.
    #[must_use]
    pub fn max_rate(interval: Duration, gatherers: u32) -> f64 {
        f64::from(gatherers) / (interval.as_secs_f64() * (1.0 - JITTER_FRACTION))
    }
}
