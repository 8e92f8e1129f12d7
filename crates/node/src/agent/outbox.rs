//! Updates that wait to be told on: the first goes at once, those that follow closely go together, in one message.

use std::time::Duration;

use ashvane_gossip::Update;
use tokio::time::Instant;

/// Pause between two messages of updates. At a start each server's first heartbeat is an update for every control node:
/// one message each was more than their processors could read. Far below the time in which a drain has to be known.
const PAUSE: Duration = Duration::from_millis(50);

/// When what waits may be sent.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Due {
    Now,
    /// Nothing waits, or a timer has been set.
    Waits,
    /// A timer has to be set.
    At(Instant),
}

#[derive(Default)]
pub(super) struct Outbox {
    /// For control nodes and those that this process feeds.
    for_all: Vec<Update>,
    /// From another control node, which tells the others itself: only for those that this process feeds.
    for_fed: Vec<Update>,
    sent: Option<Instant>,
    timer: Option<Instant>,
}

impl Outbox {
    pub(super) fn add(&mut self, updates: Vec<Update>, from_control_node: bool) {
        if from_control_node { self.for_fed.extend(updates) } else { self.for_all.extend(updates) }
    }

    pub(super) fn due(&mut self, now: Instant) -> Due {
        let next = self.sent.map_or(now, |sent| sent + PAUSE);
        if self.for_all.is_empty() && self.for_fed.is_empty() {
            return Due::Waits;
        }
        if next <= now {
            return Due::Now;
        }
        if self.timer.is_some_and(|at| at > now) {
            return Due::Waits;
        }
        self.timer = Some(next);
        Due::At(next)
    }

    /// All that waits: for control nodes, and for those that are fed besides.
    pub(super) fn take(&mut self, now: Instant) -> (Vec<Update>, Vec<Update>) {
        self.sent = Some(now);
        (std::mem::take(&mut self.for_all), std::mem::take(&mut self.for_fed))
    }
}
