//! Book: the queries held, what each part brought, and the one final answer to each client.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::protocol::query::{Query, Reply, WireValue};

struct Part {
    shard: u32,
    calls: u32,
    value: Option<String>,
}

struct Held {
    id: String,
    vertical: usize,
    text: Arc<str>,
    parts: Vec<Part>,
    /// The client's end.
    reply: oneshot::Sender<Reply>,
    wakes: Vec<Instant>,
}

/// The final answer to a query, as the module has it.
pub(super) enum Final {
    Answer { whole: bool },
    Reject(Option<Duration>),
    Abort,
}

/// What has to be forgotten with a query.
pub(super) struct End {
    pub(super) wakes: Vec<Instant>,
    pub(super) parts: std::ops::Range<u64>,
}

/// What a leaf call of a part carries, and its number.
pub(super) struct Carried {
    pub(super) number: u32,
    pub(super) vertical: usize,
    pub(super) id: Arc<str>,
    pub(super) shard: u32,
    pub(super) text: Arc<str>,
}

/// Parts are numbered on from their query, so that the last query at or below a part is its own.
pub(super) struct Book {
    held: BTreeMap<u64, Held>,
    ids: BTreeSet<String>,
    /// Queries and parts held, and the most there may be.
    count: usize,
    most: usize,
}

impl Book {
    pub(super) fn new(most: usize) -> Self {
        Book { held: BTreeMap::new(), ids: BTreeSet::new(), count: 0, most }
    }

    pub(super) fn holds(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    pub(super) fn has_room(&self, more: usize) -> bool {
        self.count + more <= self.most
    }

    pub(super) fn take(&mut self, query: u64, came: Query, reply: oneshot::Sender<Reply>) {
        let parts = came.parts.iter().map(|p| Part { shard: p.shard, calls: 0, value: None });
        let parts: Vec<Part> = parts.collect();
        self.count += 1 + parts.len();
        self.ids.insert(came.id.clone());
        let (vertical, text, wakes) = (came.vertical, came.text, Vec::new());
        let held = Held { id: came.id, vertical, text, parts, reply, wakes };
        self.held.insert(query, held);
    }

    /// The query that a part belongs to, and the part's place there.
    fn part(&mut self, part: u64) -> Option<(&mut Held, usize)> {
        let (query, held) = self.held.range_mut(..part).next_back()?;
        let at = (part - query - 1) as usize;
        Some((held, at)).filter(|(held, at)| *at < held.parts.len())
    }

    pub(super) fn next_call(&mut self, part: u64) -> Option<Carried> {
        let (held, at) = self.part(part)?;
        let p = &mut held.parts[at];
        p.calls += 1;
        let id = format!("{}.{}", held.id, p.shard).into();
        let (vertical, text) = (held.vertical, held.text.clone());
        Some(Carried { number: p.calls - 1, vertical, id, shard: p.shard, text })
    }

    pub(super) fn value(&mut self, part: u64, value: String) {
        if let Some((held, at)) = self.part(part) {
            held.parts[at].value = Some(value);
        }
    }

    pub(super) fn waked(&mut self, query: u64, at: Instant) {
        if let Some(held) = self.held.get_mut(&query) {
            held.wakes.push(at);
        }
    }

    /// The queries whose clients have left.
    pub(super) fn left(&self) -> Vec<u64> {
        self.held.iter().filter(|(_, h)| h.reply.is_closed()).map(|(query, _)| *query).collect()
    }

    pub(super) fn all(&self) -> Vec<u64> {
        self.held.keys().copied().collect()
    }

    /// Answers a query, and holds it no more.
    pub(super) fn end(&mut self, query: u64, last: Final) -> Option<End> {
        let held = self.held.remove(&query)?;
        self.ids.remove(&held.id);
        self.count -= 1 + held.parts.len();
        let parts = query + 1..query + 1 + held.parts.len() as u64;
        let value = |p: Part| Some(WireValue { shard: p.shard, value: p.value? });
        let reply = match last {
            Final::Answer { whole } => {
                Reply::Answered { whole, values: held.parts.into_iter().filter_map(value).collect() }
            }
            Final::Reject(back_after) => Reply::Rejected(back_after),
            Final::Abort => Reply::Aborted,
        };
        // The client may have left meanwhile; then nobody waits for this.
        let _ = held.reply.send(reply);
        Some(End { wakes: held.wakes, parts })
    }
}
