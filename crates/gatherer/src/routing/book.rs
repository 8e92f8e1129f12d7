//! Book: the queries held, what each part brought, and the one final answer to each client.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ashvane::Settings;
use ashvane_memory::{Charge, Ledger, Purpose, Usual};
use ashvane_settings::Network;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::protocol::query::{Query, Reply, WireValue};

/// What a held query and each of its parts take, in bytes, beside texts and values: records here, in the
/// module and in the pool, the request's handler, and leaf calls. Estimates: what they miss shows as
/// unattributed, within the bound that `tests/memory.rs` holds.
const QUERY_BYTES: usize = 6 * 1024;
const PART_BYTES: usize = 900;
/// What a value takes beside its text.
const VALUE_BYTES: usize = 32;

/// Room for a query: for what is held of it, and set aside for the values that it will bring.
pub(super) struct Room {
    query: Charge,
    values: Charge,
}

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
    ticket: u64,
    room: Room,
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
    /// The query of each ticket.
    tickets: BTreeMap<u64, u64>,
    /// Queries and parts held, and the most there may be.
    count: usize,
    most: usize,
    ledger: Ledger,
    /// By vertical, the weight of the parts that make an answer, and what a value usually takes.
    needs: Vec<f64>,
    usual: Vec<Usual>,
}

impl Book {
    pub(super) fn new(network: &Network, settings: &Settings, ledger: Ledger) -> Self {
        let needs: Vec<f64> = settings.verticals.iter().map(|v| v.need.clamp(0.0, 1.0)).collect();
        let usual = vec![Usual::default(); needs.len()];
        let (held, ids, tickets) = Default::default();
        Book { held, ids, tickets, count: 0, most: network.most_held, ledger, needs, usual }
    }

    pub(super) fn holds(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Room for one more query: for itself and for the values that answers of its vertical usually hold, so
    /// that a query for which there is none is turned away before anything of it has run.
    pub(super) fn room(&self, query: &Query) -> Option<Room> {
        if self.count + 1 + query.parts.len() > self.most {
            return None;
        }
        let parts = query.parts.len();
        let itself = QUERY_BYTES + parts * PART_BYTES + query.payload.len() + 2 * query.id.len();
        let room = self.ledger.take(Purpose::Queries, query.tenant, itself as u64).ok()?;
        let needed = (parts as f64 * self.needs[query.vertical]).ceil() as u64;
        let values = needed * (self.usual[query.vertical].weight() + VALUE_BYTES as u64);
        let values = self.ledger.set_aside(Purpose::Values, query.tenant, values).ok()?;
        Some(Room { query: room, values })
    }

    pub(super) fn take(
        &mut self, query: u64, came: Query, room: Room, ticket: u64, reply: oneshot::Sender<Reply>,
    ) {
        let parts = came.parts.iter().map(|p| Part { shard: p.shard, calls: 0, value: None });
        let parts: Vec<Part> = parts.collect();
        self.count += 1 + parts.len();
        self.ids.insert(came.id.clone());
        let (vertical, text, wakes) = (came.vertical, came.payload, Vec::new());
        let held = Held { id: came.id, vertical, text, parts, reply, wakes, ticket, room };
        self.tickets.insert(ticket, query);
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

    /// Keeps a part's value. Where there is no room for it, tells its query.
    pub(super) fn value(&mut self, part: u64, value: String) -> Result<(), u64> {
        let Some((held, at)) = self.part(part) else { return Ok(()) };
        let bytes = (value.len() + VALUE_BYTES) as u64;
        held.room.values.fill(bytes).map_err(|_| part - 1 - at as u64)?;
        held.parts[at].value = Some(value);
        let vertical = held.vertical;
        self.usual[vertical].learn(bytes);
        Ok(())
    }

    pub(super) fn waked(&mut self, query: u64, at: Instant) {
        if let Some(held) = self.held.get_mut(&query) {
            held.wakes.push(at);
        }
    }

    /// The queries whose clients have left, by the tickets of the handlers that have ended.
    pub(super) fn left(&self, tickets: Vec<u64>) -> Vec<u64> {
        tickets.iter().filter_map(|ticket| self.tickets.get(ticket).copied()).collect()
    }

    pub(super) fn all(&self) -> Vec<u64> {
        self.held.keys().copied().collect()
    }

    /// Answers a query, and holds it no more.
    pub(super) fn end(&mut self, query: u64, last: Final) -> Option<End> {
        let held = self.held.remove(&query)?;
        self.ids.remove(&held.id);
        self.tickets.remove(&held.ticket);
        self.count -= 1 + held.parts.len();
        let parts = query + 1..query + 1 + held.parts.len() as u64;
        let value = |p: Part| Some(WireValue { shard: p.shard, value: p.value? });
        let reply = match last {
            Final::Answer { whole } => {
                let (query, mut room) = (held.room.query, held.room.values);
                room.settle();
                drop(query);
                Reply::Answered {
                    complete: whole,
                    values: held.parts.into_iter().filter_map(value).collect(),
                    charge: room,
                }
            }
            Final::Reject(back_after) => Reply::Rejected(back_after),
            Final::Abort => Reply::Aborted,
        };
        // The client may have left meanwhile; then nobody waits for this.
        let _ = held.reply.send(reply);
        Some(End { wakes: held.wakes, parts })
    }
}
