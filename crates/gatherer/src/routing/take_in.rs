//! Take in: a query is held if there is room and its id is new; else it is answered at once.

use axum::http::StatusCode;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Routing;
use crate::protocol::query::{Query, Reply};

impl Routing {
    pub(super) fn take_in(&mut self, query: Query, arrived: Instant, reply: oneshot::Sender<Reply>) {
        if self.book.holds(&query.id) {
            let _ = reply.send(Reply::Unheld(StatusCode::CONFLICT, "a query of this id is held"));
        } else if !self.book.has_room(1 + query.parts.len()) {
            let _ = reply.send(Reply::Rejected(self.back_after));
        } else {
            self.admit(query, arrived, reply);
        }
    }
}
