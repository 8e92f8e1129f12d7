//! When an operation sends its requests again. It reads no clock: the caller adds the delays to its own time.

use std::time::Duration;

/// Delay before requests that were not answered are sent again: some round trips between regions, and syncs.
const RESEND_DELAY: Duration = Duration::from_millis(120);
/// How often the resend delay doubles at most.
const MAX_RESEND_DOUBLINGS: u32 = 2;
/// The shortest delay before the first new attempt beside other proposers, in milliseconds.
const MIN_CONTENTION_DELAY_MS: u64 = 10;
/// The longest delay before the first new attempt beside other proposers, in milliseconds.
const MAX_CONTENTION_DELAY_MS: u64 = 50;
/// How often the contention delay doubles at most. Were it not to grow, proposers that meet again and again would hold each
/// other up.
const MAX_CONTENTION_DOUBLINGS: u32 = 4;

/// The delays of one operation: exponential backoff for resends, randomized exponential backoff for contention.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    resend_doublings: u32,
    contention_doublings: u32,
}

impl RetrySchedule {
    /// The delay after requests that were sent for the first time.
    pub fn delay_after_first_send(&mut self) -> Duration {
        self.resend_doublings = 0;
        RESEND_DELAY
    }

    /// The delay after requests that were sent again.
    pub fn delay_after_resend(&mut self) -> Duration {
        self.resend_doublings = (self.resend_doublings + 1).min(MAX_RESEND_DOUBLINGS);
        RESEND_DELAY * (1 << self.resend_doublings)
    }

    /// The delay before the next attempt beside other proposers. `random` is any random number.
    pub fn contention_delay(&mut self, random: u64) -> Duration {
        let spread = MAX_CONTENTION_DELAY_MS - MIN_CONTENTION_DELAY_MS + 1;
        let first = MIN_CONTENTION_DELAY_MS + random % spread;
        let delay = Duration::from_millis(first << self.contention_doublings);
        self.contention_doublings = (self.contention_doublings + 1).min(MAX_CONTENTION_DOUBLINGS);
        delay
    }
}
