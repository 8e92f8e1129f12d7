//! Open connections of clients to a gateway, and the requests on them that are in flight.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use slog::{Logger, info};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, sleep_until};

use crate::data_plane::DataPlane;

/// Most requests that are logged one by one at the exit.
const MAX_LOGGED_REQUESTS: usize = 100;

/// Connection of a client.
#[derive(Default)]
pub(super) struct ClientConnection {
    /// Notified when the connection must close once its current request is answered.
    pub(super) shutdown_signal: Notify,
    /// Requests whose heads were read.
    request_count: Cell<u64>,
}

/// Connection of a request, and its position on it.
#[derive(Clone, Copy)]
pub(super) struct RequestPosition {
    pub(super) connection: u64,
    /// Counts from 1.
    pub(super) position: u64,
}

impl ClientConnection {
    /// Counts a request whose head was read on this connection, which has this id.
    pub(super) fn next_request(&self, id: u64) -> RequestPosition {
        self.request_count.set(self.request_count.get() + 1);
        RequestPosition { connection: id, position: self.request_count.get() }
    }
}

/// State of the listener for clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ListenerState {
    /// There is none, or it has closed.
    #[default]
    Closed,
    /// It accepts connections.
    Open,
}

/// Open connections of clients and their requests in flight, for graceful shutdown.
#[derive(Default)]
pub struct ClientConnections {
    /// Open connections by id.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Requests that have been passed to the data plane and not been answered, by query id.
    in_flight: RefCell<BTreeMap<u64, RequestOrigin>>,
    next_id: Cell<u64>,
    listener: Cell<ListenerState>,
    /// Notified when the listener must close.
    listener_close_signal: Notify,
    /// When the graceful shutdown began, if it has.
    shutdown_began_at: Cell<Option<Instant>>,
    /// When the last requests are answered, once the graceful shutdown has begun.
    last_answers_at: watch::Sender<Option<Instant>>,
    /// Requests since the graceful shutdown began.
    shutdown_counters: ShutdownCounters,
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
    /// Records that the graceful shutdown begins, and when the last requests are answered.
    pub fn shutdown_began(&self, at: Instant, last_answers_at: Instant) {
        self.shutdown_began_at.set(Some(at));
        self.last_answers_at.send_replace(Some(last_answers_at));
    }

    /// Asks every connection to close once its current request is answered.
    pub fn close_gracefully(&self) {
        self.connections.borrow().values().for_each(|connection| connection.shutdown_signal.notify_one());
    }

    /// Asks the listener to close once it has accepted the connections that wait in its backlog.
    pub fn close_listener(&self) {
        self.listener_close_signal.notify_one();
    }

    /// Whether no listener accepts connections.
    pub fn is_listener_closed(&self) -> bool {
        self.listener.get() == ListenerState::Closed
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Number of open connections on which a request was read. After [`ClientConnections::close_gracefully`]
    /// these are the ones that still have a response to send.
    pub fn busy_count(&self) -> usize {
        self.connections.borrow().values().filter(|connection| connection.request_count.get() > 0).count()
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

    /// Adds a connection, and returns its id too.
    pub(super) fn add(&self) -> (u64, Rc<ClientConnection>) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let connection = Rc::<ClientConnection>::default();
        self.connections.borrow_mut().insert(id, connection.clone());
        (id, connection)
    }

    /// Removes a connection that has closed.
    pub(super) fn remove(&self, id: u64) {
        self.connections.borrow_mut().remove(&id);
    }

    /// Records that the listener accepts connections.
    pub(super) fn listener_opened(&self) {
        self.listener.set(ListenerState::Open);
    }

    /// Records that the listener has closed.
    pub(super) fn listener_closed(&self) {
        self.listener.set(ListenerState::Closed);
    }

    /// Waits until the listener must close.
    pub(super) async fn listener_close_requested(&self) {
        self.listener_close_signal.notified().await;
    }

    /// Waits until the last requests are answered, which is forever where no graceful shutdown begins.
    pub(super) async fn last_answers_due(&self) {
        let mut last_answers_at = self.last_answers_at.subscribe();
        let at = last_answers_at.wait_for(Option::is_some).await.ok().and_then(|at| *at);
        match at {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
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
