//! Stage 6: the table of open queries with the values received for their parts. Each query gets exactly one
//! final reply.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ashvane::Settings;
use ashvane_memory::{Charge, Ledger, Purpose, Usual};
use ashvane_settings::Network;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::protocol::query::{Query, Reply, WireValue};

/// Estimated memory of an open query without its payload and values: its records here, in the decision module
/// and in the pool, and the request's handler. The difference to the actual use is reported as unattributed;
/// `tests/memory.rs` checks a bound on it.
const QUERY_OVERHEAD_BYTES: usize = 6 * 1024;
/// Estimated memory of each part of an open query, with its leaf calls.
const PART_OVERHEAD_BYTES: usize = 900;
/// Memory of a value in addition to its text.
const VALUE_OVERHEAD_BYTES: usize = 32;

/// Memory of a query: for its records, and set aside for the values that it is expected to receive.
pub(super) struct QueryCharges {
    query: Charge,
    values: Charge,
}

/// A part of an open query.
struct Part {
    shard: u32,
    /// Number of leaf calls started for this part.
    attempts: u32,
    value: Option<String>,
}

/// An open query.
struct OpenQuery {
    id: String,
    vertical: usize,
    payload: Arc<str>,
    parts: Vec<Part>,
    /// Sends the reply to the request's handler.
    reply: oneshot::Sender<Reply>,
    /// Timers of this query that may not have fired yet.
    timers: Vec<Instant>,
    /// Ticket of the request's handler.
    ticket: u64,
    charges: QueryCharges,
}

/// The final reply to a query, as the decision module requests it.
pub(super) enum FinalReply {
    Answer { complete: bool },
    Reject(Option<Duration>),
    Abort,
}

/// The timers and the part numbers of a query that has ended, which the other stages have to discard.
pub(super) struct EndedQuery {
    pub(super) timers: Vec<Instant>,
    pub(super) parts: std::ops::Range<u64>,
}

/// The content of a leaf call.
pub(super) struct CallRequest {
    /// Number of this leaf call among those of its part, from 0.
    pub(super) attempt: u32,
    pub(super) vertical: usize,
    /// Id on the wire: the query's id and the shard. Attempts of one part share it.
    pub(super) id: Arc<str>,
    pub(super) shard: u32,
    pub(super) payload: Arc<str>,
}

/// The table of open queries. The numbers of a query's parts follow its own, so a part belongs to the query
/// with the highest number below its own.
pub(super) struct QueryTable {
    /// Open queries by their numbers.
    open_queries: BTreeMap<u64, OpenQuery>,
    /// The ids that clients gave to open queries.
    ids: BTreeSet<String>,
    /// Numbers of open queries, by the tickets of their handlers.
    tickets: BTreeMap<u64, u64>,
    /// Number of open queries and parts together.
    count: usize,
    /// Maximum of `count`.
    max_count: usize,
    ledger: Ledger,
    /// Weight of the parts that make a complete answer, by vertical.
    required_weights: Vec<f64>,
    /// Running estimate of the memory of a value, by vertical.
    value_sizes: Vec<Usual>,
}

impl QueryTable {
    pub(super) fn new(network: &Network, settings: &Settings, ledger: Ledger) -> Self {
        let required_weights: Vec<f64> =
            settings.verticals.iter().map(|v| v.required_weight.clamp(0.0, 1.0)).collect();
        let value_sizes = vec![Usual::default(); required_weights.len()];
        let (open_queries, ids, tickets) = Default::default();
        QueryTable {
            open_queries,
            ids,
            tickets,
            count: 0,
            max_count: network.most_held,
            ledger,
            required_weights,
            value_sizes,
        }
    }

    /// Whether an open query has this id.
    pub(super) fn contains_id(&self, id: &str) -> bool {
        self.ids.contains(id)
    }

    /// Reserves memory for a query and for the values that answers of its vertical usually have. A query
    /// without enough memory is thus rejected before any of its parts has run. Returns `None` if memory or
    /// the maximum number of queries and parts does not suffice.
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

    /// Stores a query under its number.
    pub(super) fn insert(
        &mut self, query: u64, received: Query, charges: QueryCharges, ticket: u64,
        reply: oneshot::Sender<Reply>,
    ) {
        let parts = received.parts.iter().map(|p| Part { shard: p.shard, attempts: 0, value: None });
        let parts: Vec<Part> = parts.collect();
        self.count += 1 + parts.len();
        self.ids.insert(received.id.clone());
        let (vertical, payload, timers) = (received.vertical, received.payload, Vec::new());
        let entry = OpenQuery { id: received.id, vertical, payload, parts, reply, timers, ticket, charges };
        self.tickets.insert(ticket, query);
        self.open_queries.insert(query, entry);
    }

    /// Returns the query that a part belongs to, and the index of the part in it.
    fn find_part(&mut self, part: u64) -> Option<(&mut OpenQuery, usize)> {
        let (query, entry) = self.open_queries.range_mut(..part).next_back()?;
        let index = (part - query - 1) as usize;
        Some((entry, index)).filter(|(entry, index)| *index < entry.parts.len())
    }

    /// Returns the content of the next leaf call for a part, or `None` if its query has ended.
    pub(super) fn next_call(&mut self, part: u64) -> Option<CallRequest> {
        let (entry, index) = self.find_part(part)?;
        let part = &mut entry.parts[index];
        part.attempts += 1;
        let id = format!("{}.{}", entry.id, part.shard).into();
        let (vertical, payload) = (entry.vertical, entry.payload.clone());
        Some(CallRequest { attempt: part.attempts - 1, vertical, id, shard: part.shard, payload })
    }

    /// Stores the value of a part. If there is no memory for it, returns the number of its query as the
    /// error.
    pub(super) fn store_value(&mut self, part: u64, value: String) -> Result<(), u64> {
        let Some((entry, index)) = self.find_part(part) else { return Ok(()) };
        let bytes = (value.len() + VALUE_OVERHEAD_BYTES) as u64;
        entry.charges.values.fill(bytes).map_err(|_| part - 1 - index as u64)?;
        entry.parts[index].value = Some(value);
        let vertical = entry.vertical;
        self.value_sizes[vertical].learn(bytes);
        Ok(())
    }

    /// Records a timer of a query, so that it can be discarded with the query.
    pub(super) fn add_timer(&mut self, query: u64, at: Instant) {
        if let Some(entry) = self.open_queries.get_mut(&query) {
            entry.timers.push(at);
        }
    }

    /// Returns the open queries among those of these tickets. Their handlers have ended, so their clients
    /// have disconnected.
    pub(super) fn queries_of(&self, tickets: Vec<u64>) -> Vec<u64> {
        tickets.iter().filter_map(|ticket| self.tickets.get(ticket).copied()).collect()
    }

    /// Returns the numbers of all open queries.
    pub(super) fn query_numbers(&self) -> Vec<u64> {
        self.open_queries.keys().copied().collect()
    }

    /// Removes a query and sends its final reply.
    pub(super) fn finish(&mut self, query: u64, reply: FinalReply) -> Option<EndedQuery> {
        let entry = self.open_queries.remove(&query)?;
        self.ids.remove(&entry.id);
        self.tickets.remove(&entry.ticket);
        self.count -= 1 + entry.parts.len();
        let parts = query + 1..query + 1 + entry.parts.len() as u64;
        let value = |p: Part| Some(WireValue { shard: p.shard, value: p.value? });
        let reply = match reply {
            FinalReply::Answer { complete } => {
                let (query, mut charge) = (entry.charges.query, entry.charges.values);
                charge.settle();
                drop(query);
                Reply::Answered {
                    complete,
                    values: entry.parts.into_iter().filter_map(value).collect(),
                    charge,
                }
            }
            FinalReply::Reject(retry_after) => Reply::Rejected(retry_after),
            FinalReply::Abort => Reply::Aborted,
        };
        // Fails if the client has disconnected; the reply is then not needed.
        let _ = entry.reply.send(reply);
        Some(EndedQuery { timers: entry.timers, parts })
    }
}
