//! When an operation asks again. It reads no clock: whoever carries the operation adds the pauses to its own.

use std::time::Duration;

/// Pause before requests that were not answered are sent again: some round trips between regions and syncs. It
/// doubles with each time.
const RESEND_AFTER: Duration = Duration::from_millis(120);
const RESEND_DOUBLINGS: u32 = 2;
/// The shortest and the longest pause, in milliseconds, before the first new try beside others that are at work. It
/// doubles with each try: were it not to grow, those who meet again and again would hold each other up.
const BACK_OFF_MS: std::ops::RangeInclusive<u64> = 10..=50;
const BACK_OFF_DOUBLINGS: u32 = 4;

/// The pauses of one operation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    resends: u32,
    back_offs: u32,
}

impl Pace {
    /// The pause after requests that were sent for the first time.
    pub fn sent(&mut self) -> Duration {
        self.resends = 0;
        RESEND_AFTER
    }

    /// The pause after requests that were sent again.
    pub fn sent_again(&mut self) -> Duration {
        self.resends = (self.resends + 1).min(RESEND_DOUBLINGS);
        RESEND_AFTER * (1 << self.resends)
    }

    /// The pause before the next try beside others. `draw` is any random number.
    pub fn back_off(&mut self, draw: u64) -> Duration {
        let (least, most) = (*BACK_OFF_MS.start(), *BACK_OFF_MS.end());
        let pause = Duration::from_millis((least + draw % (most - least + 1)) << self.back_offs);
        self.back_offs = (self.back_offs + 1).min(BACK_OFF_DOUBLINGS);
        pause
    }
}
