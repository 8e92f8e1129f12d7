//! Stage 2: an accepted query and its parts are numbered, passed to the decision module and stored.

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Routing;
use super::book::QueryCharges;
use crate::protocol::query::{Query, Reply};

impl Routing {
    pub(super) fn admit(
        &mut self, query: Query, charges: QueryCharges, arrived: Instant, ticket: u64,
        reply: oneshot::Sender<Reply>,
    ) {
        let id = self.next_id;
        self.next_id += 1 + query.parts.len() as u64;
        let deadline = self.clock.unix_time(arrived + query.timeout);
        let (vertical, tenant, key) = (query.vertical, query.tenant, query.key.as_deref());
        self.gatherer.query_arrived(id, id, vertical, tenant, key, deadline, query.parts.len());
        for (number, part) in (id + 1..).zip(&query.parts) {
            self.gatherer.part_arrived(number, id, part.shard, part.weight);
        }
        self.queries.insert(id, query, charges, ticket, reply);
        self.run_actions();
    }
}
