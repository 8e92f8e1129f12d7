//! Delays between the attempts of an operation. The schedule reads no clock: the caller adds the delays to
//! its own time.

use std::time::Duration;

/// Delay before unanswered requests are resent. It allows for several round trips between regions and disk
/// syncs.
const RESEND_DELAY: Duration = Duration::from_millis(120);
/// Maximum number of times that the resend delay doubles.
const MAX_RESEND_DOUBLINGS: u32 = 2;
/// Minimum delay before the first retry after contention with other proposers.
const MIN_CONTENTION_DELAY_MS: u64 = 10;
/// Maximum delay before the first retry after contention with other proposers.
const MAX_CONTENTION_DELAY_MS: u64 = 50;
/// Maximum number of times that the contention delay doubles. With a constant delay, proposers that collide
/// repeatedly would keep blocking each other.
const MAX_CONTENTION_DOUBLINGS: u32 = 4;

/// Retry delays of one operation: exponential backoff for resends, and randomized exponential backoff for
/// contention.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    resend_doublings: u32,
    contention_doublings: u32,
}

impl RetrySchedule {
    /// Returns the delay before the first resend of newly sent requests.
    pub fn delay_after_first_send(&mut self) -> Duration {
        self.resend_doublings = 0;
        RESEND_DELAY
    }

    /// Returns the delay before the next resend of requests that have just been resent.
    pub fn delay_after_resend(&mut self) -> Duration {
        self.resend_doublings = (self.resend_doublings + 1).min(MAX_RESEND_DOUBLINGS);
        RESEND_DELAY * (1 << self.resend_doublings)
    }

    /// Returns the delay before the next attempt after contention with other proposers. `random` is a
    /// uniformly distributed random number.
    pub fn contention_delay(&mut self, random: u64) -> Duration {
        let spread = MAX_CONTENTION_DELAY_MS - MIN_CONTENTION_DELAY_MS + 1;
        let first = MIN_CONTENTION_DELAY_MS + random % spread;
        let delay = Duration::from_millis(first << self.contention_doublings);
        self.contention_doublings = (self.contention_doublings + 1).min(MAX_CONTENTION_DOUBLINGS);
        delay
    }
}
