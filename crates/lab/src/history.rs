//! What happened in a rehearsal, on one time line: clients, stand-ins, relays and processes all tell it here, by
//! the machine's monotonic clock.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;

use crate::node::Node;

/// Events that are kept at the most: some hundred MB. A run that has more is not measured.
const MAX_EVENTS: usize = 3_000_000;

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    Whole,
    Partial,
    Rejected,
    Aborted,
    /// No connection to the gatherer came up: it never had the query.
    Unreached,
    /// The connection ended with no whole answer.
    Closed,
    /// No answer long after the deadline.
    Lost,
    /// An answer that no stand-in's values make.
    False,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum EventKind {
    /// A fault begins or ends between two, in the direction of the bytes that are hit or in both.
    Faulted {
        from: Node,
        to: Node,
    },
    Mended {
        from: Node,
        to: Node,
    },
    /// A stand-in begins or ends to misbehave, or the list service does.
    Troubled {
        node: Node,
        on: bool,
    },
    Started {
        node: Node,
    },
    Ready {
        node: Node,
    },
    /// A signal that the rig sends: TERM, KILL, STOP, CONT.
    Signalled {
        node: Node,
        signal: &'static str,
    },
    Exited {
        node: Node,
        well: bool,
        status: String,
    },
    /// A line of a process's own log.
    Logged {
        node: Node,
        line: String,
    },
    /// A gatherer says that it owns a duty, or does not any more.
    Owns {
        node: Node,
        duty: String,
        epoch: u64,
    },
    GaveUp {
        node: Node,
        duty: String,
    },
    /// It follows what an owner wrote in this epoch, and counts so many that are alive.
    Follows {
        node: Node,
        duty: String,
        epoch: u64,
    },
    Counts {
        node: Node,
        alive: u32,
    },
    /// A keeper has applied what stands at this place of the keepers' log: the epoch that then holds, and the version of
    /// the table where one was written.
    Agreed {
        node: Node,
        place: u64,
        duty: String,
        epoch: u64,
        wrote: Option<u64>,
    },
    /// A keeper was called so often since its start.
    Called {
        node: Node,
        calls: u64,
    },
    Asked {
        query: u64,
        node: Node,
        vertical: u8,
        retry: bool,
    },
    Ended {
        query: u64,
        end: End,
        shards: Box<[u16]>,
    },
    /// A leaf call of a query's part begins to run at a shard server.
    Ran {
        server: Node,
        from: Node,
        query: u64,
        shard: u16,
        vertical: u8,
    },
    /// It was turned away.
    Full {
        server: Node,
        from: Node,
    },
    /// A shard server got more than it can take and does nothing for a while.
    Fell {
        server: Node,
        cold: bool,
    },
    /// A connection is opened, and ended with so many bytes sent by the one who opened it.
    Dialled {
        from: Node,
        to: Node,
    },
    Hung {
        from: Node,
        to: Node,
        bytes: u64,
    },
    /// The list service was called, and answered so (0: not at all).
    Listed {
        from: Node,
        status: u16,
        revision: u64,
    },
    /// It wrote to a gatherer that a server is not ready any more.
    ToldDrain {
        to: Node,
        server: Node,
    },
}

#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Seconds since the rehearsal's start are what is written; here it is exact.
    #[serde(rename = "at_us", serialize_with = "micros")]
    pub at: Duration,
    #[serde(flatten)]
    pub kind: EventKind,
}

fn micros<S: serde::Serializer>(at: &Duration, out: S) -> Result<S::Ok, S::Error> {
    out.serialize_u64(at.as_micros() as u64)
}

/// The events in the order in which they were told, which is that of time.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub events: Vec<Event>,
    /// Told when there was no room any more.
    pub dropped_count: u64,
}

impl History {
    /// As one JSON object a line.
    pub fn write(&self, mut out: impl std::io::Write) -> std::io::Result<()> {
        for event in &self.events {
            serde_json::to_writer(&mut out, event)?;
            out.write_all(b"\n")?;
        }
        Ok(())
    }
}

/// What everyone tells.
#[derive(Clone)]
pub struct Recorder {
    most: usize,
    told: Arc<Mutex<Told>>,
}

struct Told {
    start: Instant,
    history: History,
    owner: Option<Node>,
}

impl Recorder {
    pub fn new(start: Instant) -> Recorder {
        Recorder {
            most: MAX_EVENTS,
            told: Arc::new(Mutex::new(Told { start, history: History::default(), owner: None })),
        }
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn record(&self, kind: EventKind) {
        let mut told = self.told();
        // The time is read under the lock: the order of the events is that of their times.
        let at = told.start.elapsed();
        if let EventKind::Owns { node, .. } = kind {
            told.owner = Some(node);
        }
        match told.history.events.len() < self.most {
            true => told.history.events.push(Event { at, kind }),
            false => told.history.dropped_count += 1,
        }
    }

    /// Who said last that it owns a duty.
    pub fn owner(&self) -> Option<Node> {
        self.told().owner
    }

    /// Time begins now: of what was before, only who was started, is ready and owns is kept, as of now.
    pub fn zero(&self) {
        let keeps = |kind: &EventKind| {
            matches!(kind, EventKind::Started { .. } | EventKind::Ready { .. } | EventKind::Owns { .. })
        };
        let mut told = self.told();
        told.start = Instant::now();
        told.history.events.retain(|e| keeps(&e.kind));
        told.history.events.iter_mut().for_each(|e| e.at = Duration::ZERO);
    }

    /// All so far.
    pub fn take(&self) -> History {
        std::mem::take(&mut self.told().history)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn it_is_bounded_says_what_was_left_out_and_reads_as_json_lines() {
        let mut recorder = Recorder::new(Instant::now());
        recorder.most = 3;
        for i in 0..5 {
            recorder.record(EventKind::Dialled { from: Node::Gatherer(i), to: Node::Server(1) });
        }
        let history = recorder.take();
        assert_eq!((history.events.len(), history.dropped_count), (3, 2));
        assert!(history.events.is_sorted_by_key(|e| e.at));
        let mut text = Vec::new();
        history.write(&mut text).expect("written");
        let text = String::from_utf8(text).expect("text");
        let last: serde_json::Value =
            serde_json::from_str(text.lines().last().expect("a line")).expect("JSON");
        assert_eq!(
            (&last["what"], &last["from"], &last["to"]),
            (&"dialled".into(), &"g2".into(), &"s1".into())
        );
    }
}
