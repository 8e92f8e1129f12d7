//! What the settings bound.

use std::time::Duration;

use crate::Membership;

/// What a change of the membership takes at worst: the silence after which a process counts as out of sight
/// ([`FRESH`]), a look at the duties, and the rounds of the change itself.
const CHANGE_TAKES: Duration = Duration::from_millis(2500);
/// The shortest absence after which a member is given up: a process that is restarted is back sooner.
const GIVEN_UP_LEAST: Duration = Duration::from_millis(1000);
/// What the settings bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The next loss may come this long after a lost machine is back, or after its successor has started.
    pub catch_up: Duration,
    /// How many members may be lost at once.
    pub losses: usize,
}

impl Limits {
    /// Time out of sight after which a member's place is given up: as long as there is time to put another disk in
    /// its place before the next loss may come.
    pub fn given_up(&self) -> Duration {
        self.catch_up.saturating_sub(CHANGE_TAKES).max(GIVEN_UP_LEAST)
    }

    /// Whether a membership that is so many smaller takes one vote less to decide, and still bears as many losses as
    /// have to be borne. Without that a member that is gone is no burden, and its place is there when it is back.
    pub(crate) fn has_to_spare(&self, membership: &Membership, fewer: usize) -> bool {
        let rest = membership.members.len().saturating_sub(fewer);
        rest / 2 + 1 < membership.majority() && rest > 2 * self.losses
    }
}

impl Default for Limits {
    fn default() -> Self {
        Limits { catch_up: Duration::from_secs(4), losses: 1 }
    }
}
