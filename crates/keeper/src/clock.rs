//! The monotonic clock that includes the time for which the machine was suspended. Wall-clock time is not
//! used.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted.
pub fn now() -> Duration {
    let at = clock_gettime(ClockId::Boottime);
    Duration::new(u64::try_from(at.tv_sec).unwrap_or_default(), u32::try_from(at.tv_nsec).unwrap_or_default())
}
