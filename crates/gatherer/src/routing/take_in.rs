//! Stage 1: a query is accepted if there is memory for it and no open query has its id. Otherwise it is
//! answered at once.

use axum::http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Routing;
use crate::protocol::query::{Query, Reply};

impl Routing {
    pub(super) fn accept(
        &mut self, query: Query, arrived: Instant, ticket: u64, reply: oneshot::Sender<Reply>,
    ) {
        if self.queries.contains_id(&query.id) {
            let _ = reply.send(Reply::Error(StatusCode::CONFLICT, "a query of this id is held"));
            return;
        }
        match self.queries.reserve(&query) {
            Some(charges) => self.admit(query, charges, arrived, ticket, reply),
            None => {
                let _ = reply.send(Reply::Rejected(self.retry_after));
            }
        }
    }
}
