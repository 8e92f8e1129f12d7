//! The machine's clock that also runs while it sleeps. Wall time is never asked.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started.
pub fn now() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(at.tv_sec).unwrap_or_default(), u32::try_from(at.tv_nsec).unwrap_or_default())
}
