//! What can happen to a gatherer, as the sockets tell it to the decisions, and the phase it is in.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use ashvane_memory::Charge;
use tokio::sync::{Notify, oneshot};
use tokio::time::Instant;

use super::frame::CallStatus;
use super::list::ServerList;
use super::query::{Query, Reply};

pub(crate) enum Event {
    QueryReceived {
        query: Query,
        arrived: Instant,
        /// What its body took; given back once the query is held or answered.
        charge: Charge,
        /// By which its client's leaving is told.
        ticket: u64,
        reply: oneshot::Sender<Reply>,
    },
    /// A list, and whether there was room for it: it is taken whole or not at all.
    ServerList(ServerList, oneshot::Sender<bool>),
    ServerListFailed,
    /// So many gatherers are alive, as far as that is known now.
    GathererCount(Option<u32>),
    /// A connection to a shard server is up, has brought an answer, or is no more.
    Connected(u64),
    CallAnswered {
        connection: u64,
        id: String,
        status: CallStatus,
        value: String,
        /// What the frame took.
        charge: Charge,
    },
    Disconnected(u64),
    /// The program ends: what is held is given up.
    ShuttingDown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Listens, but knows no server that is ready.
    Starting,
    Ready,
    /// Told to take over its configuration anew: serves on, until discovery has told the whole list there.
    Reloading,
    /// Told to end: serves on, but whoever asks is told that it is not ready any more.
    Draining,
    /// Asks its clients to connect elsewhere: idle connections are closed, the others once they are answered.
    Closing,
}

/// The requests whose handlers have ended, so that those who left can be told from those answered without a
/// look through all that is held.
#[derive(Default)]
pub(crate) struct EndedHandlers {
    tickets: Mutex<Vec<u64>>,
    next_ticket: AtomicU64,
    ended: Notify,
}

impl EndedHandlers {
    /// A ticket, which is told when what is returned is dropped.
    pub(crate) fn register(self: &Arc<Self>) -> HandlerGuard {
        HandlerGuard { handlers: self.clone(), ticket: self.next_ticket.fetch_add(1, Ordering::Relaxed) }
    }

    pub(crate) async fn any_ended(&self) {
        self.ended.notified().await;
    }

    /// The tickets told since the last call. At most one for each open request stands here.
    pub(crate) fn take_tickets(&self) -> Vec<u64> {
        std::mem::take(&mut *self.tickets.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// A request's handler, while it lasts.
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
