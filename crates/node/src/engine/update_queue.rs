//! Updates that wait to be disseminated: the first goes at once, those that follow closely go together, in one message.

use std::time::Duration;

use ashvane_gossip::Update;

/// Delay between two messages of updates. At a start each server's first heartbeat is an update for every control node: one
/// message each was more than their processors could read. Far below the time in which a drain has to be known.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Where an update came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOrigin {
    /// This process, a server or an operator, or a gateway.
    Local,
    /// Another control node, which sends it to the others itself.
    ControlNode,
}

/// When what waits may be sent.
#[derive(Debug, PartialEq, Eq)]
pub enum FlushTime {
    /// Now.
    Now,
    /// Nothing waits, or a timer is set.
    NotNeeded,
    /// A timer is to be set for this time.
    At(Duration),
}

/// What is to be sent now.
#[derive(Debug, Default)]
pub struct QueuedUpdates {
    /// For control nodes, and for subscribers.
    pub for_all: Vec<Update>,
    /// For subscribers only.
    pub for_subscribers: Vec<Update>,
}

/// Updates that wait to be disseminated. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    queued: QueuedUpdates,
    last_flush: Option<Duration>,
    timer: Option<Duration>,
}

impl UpdateQueue {
    /// Queues updates.
    pub fn push(&mut self, updates: Vec<Update>, origin: UpdateOrigin) {
        match origin {
            UpdateOrigin::Local => self.queued.for_all.extend(updates),
            UpdateOrigin::ControlNode => self.queued.for_subscribers.extend(updates),
        }
    }

    /// When what waits may be sent. Where the answer is [`FlushTime::At`] the caller sets a timer.
    pub fn flush_time(&mut self, now: Duration) -> FlushTime {
        if self.queued.for_all.is_empty() && self.queued.for_subscribers.is_empty() {
            return FlushTime::NotNeeded;
        }
        let next = self.last_flush.map_or(now, |last| last + FLUSH_INTERVAL);
        if next <= now {
            return FlushTime::Now;
        }
        if self.timer.is_some_and(|at| at > now) {
            return FlushTime::NotNeeded;
        }
        self.timer = Some(next);
        FlushTime::At(next)
    }

    /// Takes all that waits, to be sent now.
    pub fn take(&mut self, now: Duration) -> QueuedUpdates {
        self.last_flush = Some(now);
        std::mem::take(&mut self.queued)
    }
}
