//! Queue of updates to disseminate. The first update is sent at once; updates that follow within the flush
//! interval are sent together in one message.

use std::time::Duration;

use ashvane_gossip::Update;

/// Minimum time between two messages of updates. At a start, each server's first heartbeat is an update for
/// every control node, and one message per update would overload their processors. Far shorter than the time
/// within which a drain must be known to other processes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(50);

/// Origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOrigin {
    /// Any other source: this process, one of its servers or operators, or a gateway.
    Other,
    /// Another control node, which sends the update to the other control nodes itself.
    ControlNode,
}

/// Time at which queued updates may be sent.
#[derive(Debug, PartialEq, Eq)]
pub enum FlushTime {
    /// Immediately.
    Now,
    /// The queue is empty, or a timer is already set.
    NotNeeded,
    /// At this time; the caller must set a timer.
    At(Duration),
}

/// Queued updates by recipient.
#[derive(Debug, Default)]
pub struct QueuedUpdates {
    /// Updates for control nodes and subscribers.
    pub for_all: Vec<Update>,
    /// Updates for subscribers only.
    pub for_subscribers: Vec<Update>,
}

/// Queue of updates to disseminate. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct UpdateQueue {
    queued: QueuedUpdates,
    last_flush: Option<Duration>,
    timer: Option<Duration>,
}

impl UpdateQueue {
    /// Appends updates to the queue.
    pub fn push(&mut self, updates: Vec<Update>, origin: UpdateOrigin) {
        match origin {
            UpdateOrigin::Other => self.queued.for_all.extend(updates),
            UpdateOrigin::ControlNode => self.queued.for_subscribers.extend(updates),
        }
    }

    /// Returns when the queued updates may be sent. The caller must set a timer if the result is
    /// [`FlushTime::At`].
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

    /// Removes and returns all queued updates, which are sent now.
    pub fn take(&mut self, now: Duration) -> QueuedUpdates {
        self.last_flush = Some(now);
        std::mem::take(&mut self.queued)
    }
}
