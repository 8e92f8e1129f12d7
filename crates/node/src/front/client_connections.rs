//! Open connections of clients to a gateway, and the requests on them that are in flight.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::data_plane::DataPlane;

/// Most requests that are logged one by one at the exit.
const MAX_LOGGED_REQUESTS: usize = 100;

/// Open connections of clients and their requests in flight, for graceful shutdown.
#[derive(Default)]
pub struct ClientConnections {
    /// Shutdown signal of each open connection, by connection id.
    shutdown_signals: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// Requests that have been passed to the data plane and not been answered, by query id.
    in_flight: RefCell<BTreeMap<u64, RequestOrigin>>,
    next_id: Cell<u64>,
    /// When the graceful shutdown began, if it has.
    shutdown_began_at: Cell<Option<Instant>>,
    /// Requests since the graceful shutdown began.
    pub(super) shutdown_counters: ShutdownCounters,
}

/// What became of the requests that were read completely after the graceful shutdown had begun.
#[derive(Default)]
pub(super) struct ShutdownCounters {
    /// Requests that were passed to the data plane.
    submitted: Cell<u64>,
    /// Requests that were answered with a status below 500.
    answered: Cell<u64>,
    /// Requests that were rejected with 503.
    rejected: Cell<u64>,
    /// Requests that were answered with another status from 500.
    failed: Cell<u64>,
    /// Requests whose client disconnected before the answer.
    abandoned: Cell<u64>,
}

/// Where and when a request arrived.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin {
    /// Id of the client's connection.
    pub connection: u64,
    /// Position of the request on its connection, from 1.
    pub position: u64,
    /// When the head of the request had been read.
    pub received_at: Instant,
    /// Latest time at which the client accepts an answer.
    pub deadline: Instant,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl ShutdownCounters {
    /// Counts the response to a request.
    fn count_status(&self, status: u16) {
        increment(match status {
            503 => &self.rejected,
            500.. => &self.failed,
            _ => &self.answered,
        });
    }
}

impl ClientConnections {
    /// Records that the graceful shutdown begins.
    pub fn shutdown_began(&self, at: Instant) {
        self.shutdown_began_at.set(Some(at));
    }

    /// Asks every connection to close once its current request is answered.
    pub fn close_gracefully(&self) {
        self.shutdown_signals.borrow().values().for_each(|shutdown_signal| shutdown_signal.notify_one());
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.shutdown_signals.borrow().len()
    }

    /// Number of requests in flight.
    pub fn in_flight_count(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Logs each request that the exit cuts: when it came, counted from the start of the graceful shutdown, on
    /// which connection, how many calls to servers were started for it, and what is left until its deadline.
    pub fn log_open_requests(&self, data_plane: &DataPlane, log: &Logger) {
        let now = Instant::now();
        let began_at = self.shutdown_began_at.get().unwrap_or(now);
        for (query_id, origin) in self.in_flight.borrow().iter().take(MAX_LOGGED_REQUESTS) {
            info!(log, "request open at the exit";
                "since_shutdown_ms" => signed_millis(began_at, origin.received_at),
                "connection" => origin.connection, "request" => origin.position,
                "calls" => data_plane.call_count(*query_id),
                "until_deadline_ms" => signed_millis(now, origin.deadline));
        }
    }

    /// Logs what became of the requests that came after the graceful shutdown had begun.
    pub fn log_shutdown_counters(&self, log: &Logger) {
        let counters = &self.shutdown_counters;
        info!(log, "requests since the shutdown began";
            "submitted" => counters.submitted.get(), "answered" => counters.answered.get(),
            "rejected" => counters.rejected.get(), "failed" => counters.failed.get(),
            "abandoned" => counters.abandoned.get(), "cut" => self.in_flight_count());
    }

    /// Adds a connection. Returns its id and its shutdown signal.
    pub(super) fn add(&self) -> (u64, Rc<Notify>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let shutdown_signal = Rc::new(Notify::new());
        self.shutdown_signals.borrow_mut().insert(id, shutdown_signal.clone());
        (id, shutdown_signal)
    }

    /// Removes a connection that has closed.
    pub(super) fn remove(&self, id: u64) {
        self.shutdown_signals.borrow_mut().remove(&id);
    }

    /// Whether a request came after the graceful shutdown had begun.
    fn is_after_shutdown(&self, origin: &RequestOrigin) -> bool {
        self.shutdown_began_at.get().is_some_and(|began_at| origin.received_at >= began_at)
    }
}

/// Returns the milliseconds from one time to another, negative if the second is earlier.
fn signed_millis(from: Instant, to: Instant) -> i64 {
    let millis = |duration: Duration| i64::try_from(duration.as_millis()).unwrap_or(i64::MAX);
    match to.checked_duration_since(from) {
        Some(later) => millis(later),
        None => -millis(from - to),
    }
}

/// Request that the data plane works on. Dropping it before the reply, as hyper does when the client
/// disconnects, abandons the query.
pub(super) struct InFlightRequest {
    data_plane: Rc<DataPlane>,
    query_id: u64,
    origin: RequestOrigin,
    is_answered: bool,
    clients: Rc<ClientConnections>,
}

impl InFlightRequest {
    /// Records that a query was submitted for a request.
    pub(super) fn new(
        data_plane: Rc<DataPlane>, query_id: u64, origin: RequestOrigin, clients: Rc<ClientConnections>,
    ) -> Self {
        clients.in_flight.borrow_mut().insert(query_id, origin);
        if clients.is_after_shutdown(&origin) {
            increment(&clients.shutdown_counters.submitted);
        }
        InFlightRequest { data_plane, query_id, origin, is_answered: false, clients }
    }

    /// Records the status of the response.
    pub(super) fn answered(mut self, status: u16) {
        self.is_answered = true;
        if self.clients.is_after_shutdown(&self.origin) {
            self.clients.shutdown_counters.count_status(status);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.clients.in_flight.borrow_mut().remove(&self.query_id);
        if !self.is_answered {
            if self.clients.is_after_shutdown(&self.origin) {
                increment(&self.clients.shutdown_counters.abandoned);
            }
            self.data_plane.client_disconnected(self.query_id);
        }
    }
}
