//! Calls of servers and operators that a process has not answered.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which an answer that was just given may still be on its way to the caller's socket.
const RESPONSE_WRITE_TIME: Duration = Duration::from_millis(20);

/// Counts the calls that wait for a quorum, so that an exit does not cut them.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    count: Cell<usize>,
    last_ended_at: Cell<Option<Instant>>,
}

/// Counts a call as pending until it is dropped.
pub(super) struct PendingCall<'a>(&'a PendingCalls);

impl PendingCalls {
    /// Counts a call that begins.
    pub(super) fn begin(&self) -> PendingCall<'_> {
        self.count.set(self.count.get() + 1);
        PendingCall(self)
    }

    /// Whether all calls have ended, and their answers have been written.
    pub(super) fn are_answered(&self) -> bool {
        let is_written = |ended_at: Instant| ended_at.elapsed() >= RESPONSE_WRITE_TIME;
        self.count.get() == 0 && self.last_ended_at.get().is_none_or(is_written)
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.last_ended_at.set(Some(Instant::now()));
    }
}
