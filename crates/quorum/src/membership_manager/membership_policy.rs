//! Requirements of the settings on the membership.

use std::time::Duration;

use crate::Membership;

/// Maximum duration of a membership change: the time until a process is considered unreachable
/// ([`LIVENESS_TIMEOUT`](super::LIVENESS_TIMEOUT)), one tick, and the phases of the change itself.
const MAX_CHANGE_DURATION: Duration = Duration::from_millis(2500);
/// Minimum time for which a member is unreachable before it is replaced. A process that restarts returns
/// sooner.
const MIN_REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Requirements of the settings on the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// Minimum time from the return of a failed machine, or from the start of its replacement, to the next
    /// failure.
    pub catch_up: Duration,
    /// Number of simultaneous member failures to tolerate.
    pub max_failures: usize,
}

impl MembershipPolicy {
    /// Returns how long a member is unreachable before it is replaced. The time-out leaves enough time to
    /// complete the replacement before the next failure may occur.
    #[must_use]
    pub fn replacement_timeout(&self) -> Duration {
        self.catch_up.saturating_sub(MAX_CHANGE_DURATION).max(MIN_REPLACEMENT_TIMEOUT)
    }

    /// Whether removing this many members makes the quorum smaller while `max_failures` are still tolerated.
    /// If the quorum does not shrink, removal has no benefit, and a member that returns finds its place still
    /// there.
    pub(crate) fn can_remove(&self, membership: &Membership, removed: usize) -> bool {
        let remaining = membership.members.len().saturating_sub(removed);
        let remaining_quorum = remaining / 2 + 1;
        remaining_quorum < membership.quorum_size() && remaining > 2 * self.max_failures
    }
}

impl Default for MembershipPolicy {
    fn default() -> Self {
        MembershipPolicy { catch_up: Duration::from_secs(4), max_failures: 1 }
    }
}
