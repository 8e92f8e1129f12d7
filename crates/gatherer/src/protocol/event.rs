//! The events that the network code sends to routing, the phase of the program, and the tracking of request
//! handlers that have ended.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use ashvane_memory::Charge;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::frame::CallStatus;
use super::list::ServerList;
use super::query::{Query, Reply};

/// An event that the network code sends to routing.
pub(crate) enum Event {
    /// A client sent a query.
    QueryReceived {
        query: Query,
        arrived: Instant,
        /// Memory of the request body; released once the query is stored or answered.
        charge: Charge,
        /// Ticket of the request's handler, see [`EndedHandlers`].
        ticket: u64,
        reply: oneshot::Sender<Reply>,
    },
    /// Discovery sent a server list. The reply is whether the list was applied: without memory for all of it,
    /// none of it is.
    ServerList(ServerList, oneshot::Sender<bool>),
    /// A request to discovery failed.
    ServerListFailed,
    /// The number of live gatherers, or `None` while it is unknown.
    GathererCount(Option<u32>),
    /// The connection of this number to a shard server was established.
    Connected(u64),
    /// A shard server answered a leaf call.
    CallAnswered {
        connection: u64,
        id: String,
        status: CallStatus,
        value: String,
        /// Memory of the frame.
        charge: Charge,
    },
    /// The connection of this number could not be established, or was closed.
    Disconnected(u64),
    /// The program is about to exit: all open queries are aborted.
    ShuttingDown,
}

/// The phase of the program, from start to exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Accepts connections, but knows no shard server that is ready.
    Starting,
    /// At least one shard server has been ready.
    Ready,
    /// Has read the configuration again and waits for a complete list from discovery. Clients are served.
    Reloading,
    /// Has received the signal to end. Clients are served, but health checks report "not ready".
    Draining,
    /// Asks clients to reconnect elsewhere: closes idle connections at once, others after their next answer.
    Closing,
}

/// Tickets of request handlers that have ended. If the query of such a ticket is still open, its client has
/// disconnected. The tickets avoid a scan of all open queries for disconnected clients.
#[derive(Default)]
pub(crate) struct EndedHandlers {
    tickets: Mutex<Vec<u64>>,
    next_ticket: AtomicU64,
    ended: Notify,
}

impl EndedHandlers {
    /// Returns a guard with a new ticket. Dropping the guard records the ticket as ended.
    pub(crate) fn register(self: &Arc<Self>) -> HandlerGuard {
        HandlerGuard { handlers: self.clone(), ticket: self.next_ticket.fetch_add(1, Ordering::Relaxed) }
    }

    /// Waits until a handler ends.
    pub(crate) async fn any_ended(&self) {
        self.ended.notified().await;
    }

    /// Returns the tickets recorded since the last call. There is at most one for each open request.
    pub(crate) fn take_tickets(&self) -> Vec<u64> {
        std::mem::take(&mut *self.tickets.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Held by a request handler for as long as it runs.
pub(crate) struct HandlerGuard {
    handlers: Arc<EndedHandlers>,
    pub ticket: u64,
}

impl Drop for HandlerGuard {
    fn drop(&mut self) {
        self.handlers.tickets.lock().unwrap_or_else(PoisonError::into_inner).push(self.ticket);
        self.handlers.ended.notify_one();
    }
}
