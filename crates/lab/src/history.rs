//! Event history of a rehearsal. Clients, stand-ins, relays and processes record their events on one time
//! line, by the machine's monotonic clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::node::Node;

/// Maximum number of recorded events, which take several hundred MB. A run with more events counts as not
/// measured.
const MAX_EVENTS: usize = 3_000_000;

/// Final result of a query as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// The answer contains enough parts to count as whole.
    Whole,
    /// The answer is correct but not whole.
    Partial,
    /// The gatherer rejected the query (429 or 503).
    Rejected,
    /// The gatherer aborted the query (502).
    Aborted,
    /// No connection to the gatherer could be opened, so it never received the query.
    Unreached,
    /// The connection ended before a complete answer had arrived.
    Closed,
    /// No answer arrived long after the deadline.
    Lost,
    /// The answer contains values that no stand-in shard server sent, or is malformed.
    False,
}

/// Kind of an event, with its details.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum EventKind {
    /// A fault on the link between two nodes begins.
    Faulted { from: Node, to: Node },
    /// A fault on the link between two nodes ends.
    Mended { from: Node, to: Node },
    /// A stand-in shard server or the list service begins (`on`) or stops misbehaving.
    Troubled { node: Node, on: bool },
    /// A process was started.
    Started { node: Node },
    /// A gatherer reported that it is ready.
    Ready { node: Node },
    /// The rig sent a signal to a process: TERM, KILL, STOP or CONT.
    Signalled { node: Node, signal: &'static str },
    /// A process exited, successfully if `well`.
    Exited { node: Node, well: bool, status: String },
    /// A log line of a process that has no event kind of its own.
    Logged { node: Node, line: String },
    /// A gatherer logged that it owns a duty.
    Owns { node: Node, duty: String, epoch: u64 },
    /// A gatherer logged that it has given up a duty.
    GaveUp { node: Node, duty: String },
    /// A gatherer follows the table that the owner wrote in this epoch.
    Follows { node: Node, duty: String, epoch: u64 },
    /// Number of live gatherers in the roster of a gatherer.
    Counts { node: Node, alive: u32 },
    /// A keeper applied the log entry at index `place`: the epoch after it, and the version of the table if
    /// the entry wrote one.
    Agreed { node: Node, place: u64, duty: String, epoch: u64, wrote: Option<u64> },
    /// Number of calls that a keeper has received since its start.
    Called { node: Node, calls: u64 },
    /// A client sent a query to a gatherer.
    Asked { query: u64, node: Node, vertical: u8, retry: bool },
    /// A query ended, with the shards that its answer contains.
    Ended { query: u64, end: End, shards: Box<[u16]> },
    /// A shard server begins to run a part of a query.
    Ran { server: Node, from: Node, query: u64, shard: u16, vertical: u8 },
    /// A shard server rejected a part because it is full.
    Full { server: Node, from: Node },
    /// An overloaded shard server goes down for a while; `cold` if it was still warming up.
    Fell { server: Node, cold: bool },
    /// A connection was opened.
    Dialled { from: Node, to: Node },
    /// A connection was closed; `bytes` were sent by the side that opened it.
    Hung { from: Node, to: Node, bytes: u64 },
    /// The list service was called and answered with this status (0: no answer).
    Listed { from: Node, status: u16, revision: u64 },
    /// The list service told a gatherer that a server is no longer ready.
    ToldDrain { to: Node, server: Node },
}

/// One recorded event.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Time since the start of the rehearsal; written out in microseconds.
    #[serde(rename = "at_us", serialize_with = "serialize_micros")]
    pub at: Duration,
    #[serde(flatten)]
    pub kind: EventKind,
}

fn serialize_micros<S: serde::Serializer>(at: &Duration, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_u64(at.as_micros() as u64)
}

/// Recorded events in order of time.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
    /// Number of events discarded because [`MAX_EVENTS`] was reached.
    pub dropped_count: u64,
}

impl History {
    /// Writes the events as JSON lines.
    pub fn write(&self, mut out: impl std::io::Write) -> std::io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut out, event)?;
            out.write_all(b"\n")?;
        }
        Ok(())
    }
}

/// Shared handle that records events into the history.
#[derive(Clone)]
pub struct Recorder {
    max_events: usize,
    state: Arc<Mutex<RecorderState>>,
}

struct RecorderState {
    start: Instant,
    history: History,
    last_owner: Option<Node>,
}

impl Recorder {
    /// Creates a recorder whose clock starts at `start`.
    pub fn new(start: Instant) -> Recorder {
        Recorder {
            max_events: MAX_EVENTS,
            state: Arc::new(Mutex::new(RecorderState {
                start,
                history: History::default(),
                last_owner: None,
            })),
        }
    }

    fn state(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an event at the current time.
    pub fn record(&self, kind: EventKind) {
        let mut state = self.state();
        // The time is read under the lock so that events are stored in order of time.
        let at = state.start.elapsed();
        if let EventKind::Owns { node, .. } = kind {
            state.last_owner = Some(node);
        }
        match state.history.events.len() < self.max_events {
            true => state.history.events.push(Event { at, kind }),
            false => state.history.dropped_count += 1,
        }
    }

    /// Returns the gatherer that most recently logged that it owns a duty.
    pub fn last_owner(&self) -> Option<Node> {
        self.state().last_owner
    }

    /// Restarts the clock. Earlier events are discarded, except for starts, readiness and ownership, which
    /// move to time zero.
    pub fn restart_clock(&self) {
        let is_kept = |kind: &EventKind| {
            matches!(kind, EventKind::Started { .. } | EventKind::Ready { .. } | EventKind::Owns { .. })
        };
        let mut state = self.state();
        state.start = Instant::now();
        state.history.events.retain(|e| is_kept(&e.kind));
        state.history.events.iter_mut().for_each(|e| e.at = Duration::ZERO);
    }

    /// Takes the history recorded so far, leaving an empty one.
    pub fn take(&self) -> History {
        std::mem::take(&mut self.state().history)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_history_is_bounded_counts_dropped_events_and_is_written_as_json_lines() {
        let mut recorder = Recorder::new(Instant::now());
        recorder.max_events = 3;
        for i in 0..5 {
            recorder.record(EventKind::Dialled { from: Node::Gatherer(i), to: Node::Server(1) });
        }
        let history = recorder.take();
        assert_eq!((history.events.len(), history.dropped_count), (3, 2));
        assert!(history.events.is_sorted_by_key(|e| e.at));
        let mut text = Vec::new();
        history.write(&mut text).expect("writing to a Vec cannot fail");
        let text = String::from_utf8(text).expect("JSON is UTF-8");
        let last: serde_json::Value =
            serde_json::from_str(text.lines().last().expect("three events were written"))
                .expect("each line is JSON");
        assert_eq!(
            (&last["what"], &last["from"], &last["to"]),
            (&"dialled".into(), &"g2".into(), &"s1".into())
        );
    }
}
