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
const QUERY_OVERHEAD_BYTES: usize = 6 * 1024;
const PART_OVERHEAD_BYTES: usize = 900;
/// What a value takes beside its text.
const VALUE_OVERHEAD_BYTES: usize = 32;

/// Room for a query: for what is held of it, and set aside for the values that it will bring.
pub(super) struct QueryCharges {
    query: Charge,
    values: Charge,
}

struct Part {
    shard: u32,
    attempts: u32,
    value: Option<String>,
}

struct HeldQuery {
    id: String,
    vertical: usize,
    payload: Arc<str>,
    parts: Vec<Part>,
    /// The client's end.
    reply: oneshot::Sender<Reply>,
    timers: Vec<Instant>,
    ticket: u64,
    charges: QueryCharges,
}

/// The final answer to a query, as the module has it.
pub(super) enum FinalReply {
    Answer { complete: bool },
    Reject(Option<Duration>),
    Abort,
}

/// What has to be forgotten with a query.
pub(super) struct EndedQuery {
    pub(super) timers: Vec<Instant>,
    pub(super) parts: std::ops::Range<u64>,
}

/// What a leaf call of a part carries, and its number.
pub(super) struct CallRequest {
    pub(super) attempt: u32,
    pub(super) vertical: usize,
    pub(super) id: Arc<str>,
    pub(super) shard: u32,
    pub(super) payload: Arc<str>,
}

/// Parts are numbered on from their query, so that the last query at or below a part is its own.
pub(super) struct QueryTable {
    held: BTreeMap<u64, HeldQuery>,
    ids: BTreeSet<String>,
    /// The query of each ticket.
    tickets: BTreeMap<u64, u64>,
    /// Queries and parts held, and the most there may be.
    count: usize,
    max_count: usize,
    ledger: Ledger,
    /// By vertical, the weight of the parts that make an answer, and what a value usually takes.
    required_weights: Vec<f64>,
    value_sizes: Vec<Usual>,
}

impl QueryTable {
    pub(super) fn new(network: &Network, settings: &Settings, ledger: Ledger) -> Self {
        let required_weights: Vec<f64> =
            settings.verticals.iter().map(|v| v.required_weight.clamp(0.0, 1.0)).collect();
        let value_sizes = vec![Usual::default(); required_weights.len()];
        let (held, ids, tickets) = Default::default();
        QueryTable {
            held,
            ids,
            tickets,
            count: 0,
            max_count: network.most_held,
            ledger,
            required_weights,
            value_sizes,
        }
    }

    pub(super) fn contains_id(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Room for one more query: for itself and for the values that answers of its vertical usually hold, so
    /// that a query for which there is none is turned away before anything of it has run.
    pub(super) fn reserve(&self, query: &Query) -> Option<QueryCharges> {
        if self.count + 1 + query.parts.len() > self.max_count {
            return None;
        }
        let parts = query.parts.len();
        let overhead =
            QUERY_OVERHEAD_BYTES + parts * PART_OVERHEAD_BYTES + query.payload.len() + 2 * query.id.len();
        let charge = self.ledger.take(Purpose::Queries, query.tenant, overhead as u64).ok()?;
        let required = (parts as f64 * self.required_weights[query.vertical]).ceil() as u64;
        let values = required * (self.value_sizes[query.vertical].weight() + VALUE_OVERHEAD_BYTES as u64);
        let values = self.ledger.set_aside(Purpose::Values, query.tenant, values).ok()?;
        Some(QueryCharges { query: charge, values })
    }

    pub(super) fn insert(
        &mut self, query: u64, received: Query, charges: QueryCharges, ticket: u64,
        reply: oneshot::Sender<Reply>,
    ) {
        let parts = received.parts.iter().map(|p| Part { shard: p.shard, attempts: 0, value: None });
        let parts: Vec<Part> = parts.collect();
        self.count += 1 + parts.len();
        self.ids.insert(received.id.clone());
        let (vertical, payload, timers) = (received.vertical, received.payload, Vec::new());
        let held = HeldQuery { id: received.id, vertical, payload, parts, reply, timers, ticket, charges };
        self.tickets.insert(ticket, query);
        self.held.insert(query, held);
    }

    /// The query that a part belongs to, and the part's place there.
    fn find_part(&mut self, part: u64) -> Option<(&mut HeldQuery, usize)> {
        let (query, held) = self.held.range_mut(..part).next_back()?;
        let index = (part - query - 1) as usize;
        Some((held, index)).filter(|(held, index)| *index < held.parts.len())
    }

    pub(super) fn next_call(&mut self, part: u64) -> Option<CallRequest> {
        let (held, index) = self.find_part(part)?;
        let p = &mut held.parts[index];
        p.attempts += 1;
        let id = format!("{}.{}", held.id, p.shard).into();
        let (vertical, payload) = (held.vertical, held.payload.clone());
        Some(CallRequest { attempt: p.attempts - 1, vertical, id, shard: p.shard, payload })
    }

    /// Keeps a part's value. Where there is no room for it, tells its query.
    pub(super) fn store_value(&mut self, part: u64, value: String) -> Result<(), u64> {
        let Some((held, index)) = self.find_part(part) else { return Ok(()) };
        let bytes = (value.len() + VALUE_OVERHEAD_BYTES) as u64;
        held.charges.values.fill(bytes).map_err(|_| part - 1 - index as u64)?;
        held.parts[index].value = Some(value);
        let vertical = held.vertical;
        self.value_sizes[vertical].learn(bytes);
        Ok(())
    }

    pub(super) fn add_timer(&mut self, query: u64, at: Instant) {
        if let Some(held) = self.held.get_mut(&query) {
            held.timers.push(at);
        }
    }

    /// The queries whose clients have left, by the tickets of the handlers that have ended.
    pub(super) fn queries_of(&self, tickets: Vec<u64>) -> Vec<u64> {
        tickets.iter().filter_map(|ticket| self.tickets.get(ticket).copied()).collect()
    }

    pub(super) fn query_ids(&self) -> Vec<u64> {
        self.held.keys().copied().collect()
    }

    /// Answers a query, and holds it no more.
    pub(super) fn finish(&mut self, query: u64, reply: FinalReply) -> Option<EndedQuery> {
        let held = self.held.remove(&query)?;
        self.ids.remove(&held.id);
        self.tickets.remove(&held.ticket);
        self.count -= 1 + held.parts.len();
        let parts = query + 1..query + 1 + held.parts.len() as u64;
        let value = |p: Part| Some(WireValue { shard: p.shard, value: p.value? });
        let reply = match reply {
            FinalReply::Answer { complete } => {
                let (query, mut charge) = (held.charges.query, held.charges.values);
                charge.settle();
                drop(query);
                Reply::Answered {
                    complete,
                    values: held.parts.into_iter().filter_map(value).collect(),
                    charge,
                }
            }
            FinalReply::Reject(retry_after) => Reply::Rejected(retry_after),
            FinalReply::Abort => Reply::Aborted,
        };
        // The client may have left meanwhile; then nobody waits for this.
        let _ = held.reply.send(reply);
        Some(EndedQuery { timers: held.timers, parts })
    }
}
