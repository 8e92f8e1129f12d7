//! What the settings require of the membership.

use std::time::Duration;

use crate::Membership;

/// What a membership change takes at worst: the time after which a process counts as lost
/// ([`LIVENESS_TIMEOUT`](super::LIVENESS_TIMEOUT)), a tick, and the phases of the change itself.
const MAX_CHANGE_DURATION: Duration = Duration::from_millis(2500);
/// The shortest absence after which a member is replaced: a process that is restarted is back sooner.
const MIN_REPLACEMENT_TIMEOUT: Duration = Duration::from_millis(1000);

/// What the settings require of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipPolicy {
    /// The next failure may come this long after a lost machine is back, or after its successor has started.
    pub catch_up: Duration,
    /// How many members may fail at once.
    pub max_failures: usize,
}

impl MembershipPolicy {
    /// Absence after which a member is replaced: as long as there is time to put another disk in its place before the next
    /// failure may come.
    #[must_use]
    pub fn replacement_timeout(&self) -> Duration {
        self.catch_up.saturating_sub(MAX_CHANGE_DURATION).max(MIN_REPLACEMENT_TIMEOUT)
    }

    /// Whether a membership without so many of its members needs one vote less for a quorum, and still bears as many
    /// failures as it has to. Without that a member that is lost is no burden, and its place is there when it is back.
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
