//! Times at which the steps of a graceful shutdown are due.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which the process reports that it is not ready before it closes idle client connections. Load
/// balancers poll the readiness every second and act on two consecutive answers.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2500);
/// Time before the end of the grace period at which the last answers are begun. Writing them takes a gateway
/// with a tenth of a core some hundred milliseconds.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end of the grace period at which the process exits whatever is pending.
const EXIT_MARGIN: Duration = Duration::from_millis(200);
/// Longest share of the grace period that each of these times may take where it is short.
const MAX_IDLE_CLOSE_RATIO: f64 = 0.5;
const MAX_LAST_ANSWERS_RATIO: f64 = 0.25;
const MAX_EXIT_RATIO: f64 = 0.1;

/// Times of the steps, each no earlier than the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the shutdown began.
    pub began_at: Instant,
    /// When idle client connections are closed.
    pub idle_close_at: Instant,
    /// When every request that is pending is answered with what there is.
    pub last_answers_at: Instant,
    /// When the process exits at the latest.
    pub exit_at: Instant,
}

impl ShutdownSchedule {
    /// Returns the schedule of a shutdown that begins at a time and has this grace period.
    #[must_use]
    pub fn new(began_at: Instant, grace: Duration) -> Self {
        let part = |time: Duration, max_ratio: f64| time.min(grace.mul_f64(max_ratio));
        ShutdownSchedule {
            began_at,
            idle_close_at: began_at + part(IDLE_CLOSE_DELAY, MAX_IDLE_CLOSE_RATIO),
            last_answers_at: began_at + (grace - part(LAST_ANSWERS_MARGIN, MAX_LAST_ANSWERS_RATIO)),
            exit_at: began_at + (grace - part(EXIT_MARGIN, MAX_EXIT_RATIO)),
        }
    }
}
