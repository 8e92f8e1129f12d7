//! The listener for clients: accepts a bounded number of connections, reads requests and writes answers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_memory::{Charge, Ledger, Purpose};
use ashvane_settings::Network;
use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Response, StatusCode};
use axum::middleware::{self, Next};
use axum::routing::{get, post};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Body as _;
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::protocol::event::{EndedHandlers, Event, Phase};
use crate::protocol::query::{self, Query, Reply, RequestError};
use crate::transport::answers::{Answers, ConnectionHandle};
use crate::transport::head::{ClientStream, Framing, LINGER_TIMEOUT};

/// Maximum length of a request body, as specified by the protocol.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a request head, and of the part of a body that is buffered at once.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Time from accepting a connection within which its first request head must be complete.
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from an answer within which the next request head must be complete. It is long, because during a
/// restart a client may have no other connection to a gatherer. A connection is closed earlier if its slot is
/// needed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time from the end of the head within which the body must be complete. With the other timeouts, a slow
/// client gets an answer or is disconnected within 3 s.
const BODY_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a failed accept, and between attempts to get a client slot while all are in use.
const SLOT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Estimated memory of an open client connection: the HTTP buffers, and the tasks of the connection and of
/// its request. The difference to the actual use is reported as unattributed.
pub(crate) const CLIENT_CONNECTION_BYTES: u64 = 20 * 1024;
/// Size of the socket's send buffer, which the kernel doubles. It holds answers that clients do not read. No
/// memory cap covers it, so it must not be much larger; much smaller, it would slow down distant clients.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Minimum time between two warnings that all client slots are in use.
const FULL_WARNING_INTERVAL: Duration = Duration::from_secs(60);

/// Creates the listener for clients.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the buffer size.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// State shared by all request handlers.
pub(crate) struct HandlerContext {
    pub network: Arc<Network>,
    pub events: mpsc::Sender<Event>,
    /// Records the handlers that have ended, from which routing detects disconnected clients.
    pub ended_handlers: Arc<EndedHandlers>,
    pub phase: watch::Receiver<Phase>,
    pub ledger: Ledger,
    pub answers: Arc<Answers>,
    /// Retry-After time for requests that are rejected for lack of memory.
    pub retry_after: Option<Duration>,
}

/// Why a request could not be read as a query.
enum ReadError {
    Invalid(RequestError),
    NoMemory,
}

impl From<RequestError> for ReadError {
    fn from(error: RequestError) -> Self {
        ReadError::Invalid(error)
    }
}

async fn handle_health(State(context): State<Arc<HandlerContext>>) -> Response<Body> {
    match *context.phase.borrow() {
        Phase::Ready | Phase::Reloading => query::text_response(StatusCode::OK, "ready"),
        _ => query::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

/// Reads a request body, limited in length and time.
async fn read_body(body: Body) -> Result<Bytes, RequestError> {
    let too_long = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(too_long);
    }
    let read = timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    match read.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come"))? {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_long),
        Err(_) => Err((StatusCode::BAD_REQUEST, "the body is broken")),
    }
}

/// Reads and decodes a request. The memory for its body is charged before any of the body is read.
async fn read_query(request: Request, context: &HandlerContext) -> Result<(Query, Charge), ReadError> {
    let network = &context.network;
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let vertical = query::find_vertical(path, network)?;
    let tenant = query::find_tenant(&head.headers, network)?;
    let length = body.size_hint().exact().unwrap_or(MAX_BODY_BYTES as u64).min(MAX_BODY_BYTES as u64);
    let charge = context.ledger.take(Purpose::Bodies, tenant, length).map_err(|_| ReadError::NoMemory)?;
    let body = read_body(body).await?;
    Ok((query::decode(vertical, path, &head.headers, &body, network)?, charge))
}

/// Passes a query to routing and returns the answer.
async fn handle_query(State(context): State<Arc<HandlerContext>>, request: Request) -> Response<Body> {
    let arrived = Instant::now();
    let handle = request.extensions().get::<ConnectionHandle>().cloned();
    let (query, charge) = match read_query(request, &context).await {
        Ok(read) => read,
        Err(ReadError::Invalid((status, text))) => return query::text_response(status, text),
        Err(ReadError::NoMemory) => {
            // The body is left unread, so the connection cannot serve another request.
            let mut answer = query::encode(Reply::Rejected(context.retry_after));
            set_connection_close(&mut answer);
            return answer;
        }
    };
    let (tenant, deadline) = (query.tenant, arrived + query.timeout);
    let guard = context.ended_handlers.register();
    let (reply, answer) = oneshot::channel();
    let event = Event::QueryReceived { query, arrived, charge, ticket: guard.ticket, reply };
    if context.events.send(event).await.is_err() {
        return query::text_response(StatusCode::SERVICE_UNAVAILABLE, "closing");
    }
    let reply = answer.await.unwrap_or(Reply::Aborted);
    context.answers.encode(reply, handle, tenant, deadline).await
}

fn set_connection_close(answer: &mut Response<Body>) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Adds `Connection: close` to answers in the closing phase, so that clients reconnect elsewhere.
async fn close_when_closing(
    State(context): State<Arc<HandlerContext>>, request: Request, next: Next,
) -> Response<Body> {
    let mut answer = next.run(request).await;
    if *context.phase.borrow() >= Phase::Closing {
        set_connection_close(&mut answer);
    }
    answer
}

fn router(context: Arc<HandlerContext>) -> Router {
    Router::new()
        .route("/healthz", get(handle_health))
        .route("/{vertical}", post(handle_query))
        .route("/{vertical}/{*key}", post(handle_query))
        .layer(middleware::from_fn_with_state(context.clone(), close_when_closing))
        .with_state(context)
}

/// Serves one connection until it ends. In the closing phase, or when its slot is needed, the connection ends
/// after its current request, or at once if it has none.
async fn serve(
    stream: TcpStream, router: Router, mut phase: watch::Receiver<Phase>, slot: ClientSlot,
    answers: Arc<Answers>,
) {
    let (framing, router) = (Framing::default(), TowerToHyperService::new(router));
    let handle = slot.handle.clone();
    let service = service_fn(|mut request: hyper::Request<hyper::body::Incoming>| {
        request.extensions_mut().insert(handle.clone());
        let length = request.body().size_hint().exact();
        let response = framing.begin_body(length).then(|| router.call(request));
        slot.mark_busy();
        let slot = &slot;
        async move {
            let mut answer = match response {
                Some(response) => response.await?,
                None => query::text_response(StatusCode::BAD_REQUEST, "the body's length is stated twice"),
            };
            if length.is_none() || answer.status() == StatusCode::BAD_REQUEST {
                set_connection_close(&mut answer);
            }
            slot.mark_idle();
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(KEEP_ALIVE_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
    let on_written = move |bytes| answers.record_written(slot.handle.number, bytes);
    let client_stream = ClientStream::new(stream, framing.clone(), on_written);
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(client_stream), service));
    // A connection accepted in the closing phase is served, because its request may be on the way.
    let accepted_before_closing = *phase.borrow() < Phase::Closing;
    let closing = async {
        tokio::select! {
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if accepted_before_closing => {}
            () = slot.handle.close_requested.notified() => {}
            () = slot.first_request_timeout() => {}
        }
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing => {
            // `graceful_shutdown` would keep a connection open that has not sent any request yet.
            if slot.is_unused() || handle.is_aborted() {
                return;
            }
            connection.as_mut().graceful_shutdown();
            loop {
                match timeout(LINGER_TIMEOUT, connection.as_mut()).await {
                    Ok(result) => break result,
                    // The client does not read the last answer.
                    Err(_) if slot.is_idle() => return,
                    Err(_) => {}
                }
            }
        }
    };
    if let Err(e) = result {
        log::debug!("client connection failed: {e}");
    }
}

/// The slot of an open client connection, with whether and since when the connection is idle.
struct ClientSlot {
    slots: Rc<ClientSlots>,
    /// Key in [`ClientSlots::idle`], or `None` while the connection has an open request.
    idle: Cell<Option<u64>>,
    /// Whether the connection has not sent any request yet.
    unused: Cell<bool>,
    handle: ConnectionHandle,
    _permit: OwnedSemaphorePermit,
    _charge: Charge,
}

impl ClientSlot {
    fn new(slots: Rc<ClientSlots>, permit: OwnedSemaphorePermit, charge: Charge) -> Self {
        let (idle, unused) = (Cell::new(None), Cell::new(true));
        let handle = ConnectionHandle::new(slots.take_number());
        let slot = ClientSlot { slots, idle, unused, handle, _permit: permit, _charge: charge };
        slot.mark_idle();
        slot
    }

    fn mark_busy(&self) {
        self.unused.set(false);
        if let Some(number) = self.idle.take() {
            self.slots.idle.borrow_mut().remove(&number);
        }
    }

    fn mark_idle(&self) {
        let number = self.slots.take_number();
        self.idle.set(Some(number));
        self.slots.idle.borrow_mut().insert(number, self.handle.close_requested.clone());
    }

    /// Completes if no request head arrived within [`FIRST_HEAD_TIMEOUT`], else never.
    async fn first_request_timeout(&self) {
        sleep(FIRST_HEAD_TIMEOUT).await;
        if !self.is_unused() {
            std::future::pending().await
        }
    }

    fn is_unused(&self) -> bool {
        self.unused.get()
    }

    fn is_idle(&self) -> bool {
        self.idle.get().is_some()
    }
}

impl Drop for ClientSlot {
    fn drop(&mut self) {
        self.mark_busy();
    }
}

/// The client slots: a limit on open client connections, and the record of the idle ones.
pub(crate) struct ClientSlots {
    permits: Arc<Semaphore>,
    ledger: Ledger,
    max_slots: usize,
    /// When the last connection was accepted.
    last_accepted_at: Cell<Instant>,
    /// The `close_requested` of each connection without an open request. Keys increase, so the longest idle
    /// connection is first.
    idle: RefCell<BTreeMap<u64, Arc<Notify>>>,
    /// Next unused number for a connection or an idle period.
    next_number: Cell<u64>,
    /// When the last warning that all client slots are in use was logged.
    last_full_warning: Cell<Option<Instant>>,
}

impl ClientSlots {
    pub(crate) fn new(max_slots: usize, ledger: Ledger) -> Self {
        let permits = Arc::new(Semaphore::new(max_slots));
        let (idle, next_number, last_full_warning) = Default::default();
        ClientSlots {
            permits,
            ledger,
            max_slots,
            last_accepted_at: Instant::now().into(),
            idle,
            next_number,
            last_full_warning,
        }
    }

    fn take_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Returns the number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.max_slots - self.permits.available_permits()
    }

    /// Returns the time since the last connection was accepted.
    pub(crate) fn since_last_accept(&self) -> Duration {
        self.last_accepted_at.get().elapsed()
    }

    /// Closes the connection that has been idle for longest, if any is idle.
    fn close_longest_idle(&self) {
        if self.last_full_warning.get().is_none_or(|warned_at| warned_at.elapsed() > FULL_WARNING_INTERVAL) {
            log::warn!(
                "no free client slot with {} clients connected; closing the longest idle connections",
                self.open_count()
            );
            self.last_full_warning.set(Some(Instant::now()));
        }
        if let Some((_, close_requested)) = self.idle.borrow_mut().pop_first() {
            close_requested.notify_one();
        }
    }

    /// Waits for a free slot. While all are in use, closes idle connections: the connection that needs the
    /// slot is already accepted, so its client expects an answer.
    async fn acquire(self: &Rc<Self>) -> Option<ClientSlot> {
        loop {
            if self.permits.available_permits() == 0 {
                self.close_longest_idle();
            }
            let Ok(permit) = timeout(SLOT_RETRY_DELAY, self.permits.clone().acquire_owned()).await else {
                continue;
            };
            let permit = permit.ok()?;
            if let Ok(charge) = self.ledger.take(Purpose::Connections, None, CLIENT_CONNECTION_BYTES) {
                return Some(ClientSlot::new(self.clone(), permit, charge));
            }
            // The number of slots is derived from the memory limit, so this fails only after the limit was
            // lowered.
            self.close_longest_idle();
            sleep(SLOT_RETRY_DELAY).await;
        }
    }

    /// Accepts and serves connections.
    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener, context: Arc<HandlerContext>) {
        let (phase, answers) = (context.phase.clone(), context.answers.clone());
        let router = router(context);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.last_accepted_at.set(Instant::now());
                    let _ = stream.set_nodelay(true);
                    let Some(slot) = self.acquire().await else { return };
                    let serving = serve(stream, router.clone(), phase.clone(), slot, answers.clone());
                    tokio::task::spawn_local(serving);
                }
                Err(e) => {
                    log::warn!("cannot accept a client connection: {e}; closing the longest idle connection");
                    self.close_longest_idle();
                    sleep(SLOT_RETRY_DELAY).await;
                }
            }
        }
    }
}
