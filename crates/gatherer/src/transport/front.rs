//! Clients' connections: accepts them up to a bound, reads requests, writes answers.

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
use crate::transport::answers::{Answers, Wire};
use crate::transport::head::{Framing, LINGER, Watched};

/// The longest body that is read, as the protocol states it.
const BODY_MOST: usize = 64 * 1024;
/// The longest head that is read; what is kept of a body at once is as much.
const HEAD_MOST: usize = 16 * 1024;
/// Time in which a new connection's first head must be whole.
const HEAD_LIMIT: Duration = Duration::from_secs(2);
/// The same for later ones, from the answer before. A client that has asked keeps its connection while there
/// are places: in a restart it may have no other way to a gatherer.
const KEEP_LIMIT: Duration = Duration::from_secs(60);
/// Time in which a body must be whole once its head is. A client is told or closed within three seconds.
const BODY_LIMIT: Duration = Duration::from_millis(800);
/// Pause after a failed accept, and between looks for an idle client while all places are taken.
const ROOM_PAUSE: Duration = Duration::from_millis(50);
/// What a client's connection takes while it is open, in bytes: HTTP's buffers, its task and its request's.
/// An estimate: what it misses shows as unattributed.
pub(crate) const CLIENT_BYTES: u64 = 20 * 1024;
/// What the machine may hold of an answer that its client does not read, in bytes: it counts this twice. Much
/// more would stand outside every cap, and much less slow down far clients.
const SEND_BYTES: u32 = 64 * 1024;
/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Time after which it is told again that all places are taken.
const TOLD_AGAIN: Duration = Duration::from_secs(60);

/// A listener for clients.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Accepted connections take it over.
    socket.set_send_buffer_size(SEND_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// What every request's handler needs.
pub(crate) struct Front {
    pub network: Arc<Network>,
    pub events: mpsc::Sender<Event>,
    /// The handlers that ended: their clients may have left.
    pub left: Arc<EndedHandlers>,
    pub phase: watch::Receiver<Phase>,
    pub ledger: Ledger,
    pub answers: Arc<Answers>,
    /// When those who find no room may come back.
    pub back_after: Option<Duration>,
}

/// Why a request never became a query.
enum Unread {
    Refused(RequestError),
    NoRoom,
}

impl From<RequestError> for Unread {
    fn from(refusal: RequestError) -> Self {
        Unread::Refused(refusal)
    }
}

async fn health(State(front): State<Arc<Front>>) -> Response<Body> {
    match *front.phase.borrow() {
        Phase::Ready | Phase::Reloading => query::text_response(StatusCode::OK, "ready"),
        _ => query::text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

async fn read_body(body: Body) -> Result<Bytes, RequestError> {
    let too_long = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
    if body.size_hint().lower() > BODY_MOST as u64 {
        return Err(too_long);
    }
    let read = timeout(BODY_LIMIT, Limited::new(body, BODY_MOST).collect()).await;
    match read.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come"))? {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_long),
        Err(_) => Err((StatusCode::BAD_REQUEST, "the body is broken")),
    }
}

/// Reads a request whole. Room for its body is taken before a byte of that is read.
async fn read(request: Request, front: &Front) -> Result<(Query, Charge), Unread> {
    let network = &front.network;
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let vertical = query::find_vertical(path, network)?;
    let tenant = query::find_tenant(&head.headers, network)?;
    let length = body.size_hint().exact().unwrap_or(BODY_MOST as u64).min(BODY_MOST as u64);
    let room = front.ledger.take(Purpose::Bodies, tenant, length).map_err(|_| Unread::NoRoom)?;
    let body = read_body(body).await?;
    Ok((query::decode(vertical, path, &head.headers, &body, network)?, room))
}

async fn ask(State(front): State<Arc<Front>>, request: Request) -> Response<Body> {
    let arrived = Instant::now();
    let wire = request.extensions().get::<Wire>().cloned();
    let (query, room) = match read(request, &front).await {
        Ok(read) => read,
        Err(Unread::Refused((status, words))) => return query::text_response(status, words),
        Err(Unread::NoRoom) => {
            // Its body is not read: nothing else can come on this connection.
            let mut answer = query::encode(Reply::Rejected(front.back_after));
            ask_to_leave(&mut answer);
            return answer;
        }
    };
    let (tenant, until) = (query.tenant, arrived + query.timeout);
    let leaving = front.left.register();
    let (reply, answer) = oneshot::channel();
    let came = Event::QueryReceived { query, arrived, charge: room, ticket: leaving.ticket, reply };
    if front.events.send(came).await.is_err() {
        return query::text_response(StatusCode::SERVICE_UNAVAILABLE, "closing");
    }
    let reply = answer.await.unwrap_or(Reply::Aborted);
    front.answers.encode(reply, wire, tenant, until).await
}

fn ask_to_leave(answer: &mut Response<Body>) {
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// While the program closes, each answer asks its client to connect anew, elsewhere.
async fn drain(State(front): State<Arc<Front>>, request: Request, next: Next) -> Response<Body> {
    let mut answer = next.run(request).await;
    if *front.phase.borrow() >= Phase::Closing {
        ask_to_leave(&mut answer);
    }
    answer
}

fn router(front: Arc<Front>) -> Router {
    Router::new()
        .route("/healthz", get(health))
        .route("/{vertical}", post(ask))
        .route("/{vertical}/{*key}", post(ask))
        .layer(middleware::from_fn_with_state(front.clone(), drain))
        .with_state(front)
}

/// Serves one connection until it ends. Once the program closes, or its place is wanted, it ends after the
/// request it has, or at once where it has none.
async fn serve(
    stream: TcpStream, router: Router, mut phase: watch::Receiver<Phase>, place: Place, answers: Arc<Answers>,
) {
    let (framing, router) = (Framing::default(), TowerToHyperService::new(router));
    let wire = place.wire.clone();
    let service = service_fn(|mut request: hyper::Request<hyper::body::Incoming>| {
        request.extensions_mut().insert(wire.clone());
        let length = request.body().size_hint().exact();
        let answering = framing.sound(length).then(|| router.call(request));
        place.asked();
        let place = &place;
        async move {
            let mut answer = match answering {
                Some(answering) => answering.await?,
                None => query::text_response(StatusCode::BAD_REQUEST, "the body's length is stated twice"),
            };
            if length.is_none() || answer.status() == StatusCode::BAD_REQUEST {
                ask_to_leave(&mut answer);
            }
            place.idle();
            Ok::<_, std::convert::Infallible>(answer)
        }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(KEEP_LIMIT).max_buf_size(HEAD_MOST);
    let meter = move |bytes| answers.wrote(place.wire.number, bytes);
    let watched = Watched::new(stream, framing.clone(), meter);
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(watched), service));
    // One that comes when the program closes already is served: its request may be on the way.
    let in_time = *phase.borrow() < Phase::Closing;
    let closing = async {
        tokio::select! {
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if in_time => {}
            () = place.wire.wanted.notified() => {}
            () = place.is_silent() => {}
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            // The shutdown leaves a connection open that has not asked for anything yet.
            if place.is_new() || wire.is_cut() {
                return;
            }
            connection.as_mut().graceful_shutdown();
            loop {
                match timeout(LINGER, connection.as_mut()).await {
                    Ok(ended) => break ended,
                    // Its last answer is not read.
                    Err(_) if place.is_idle() => return,
                    Err(_) => {}
                }
            }
        }
    };
    if let Err(e) = ended {
        log::debug!("client connection: {e}");
    }
}

/// A client's connection among the open ones: whether it has an open request, and since when it has none.
struct Place {
    door: Rc<Door>,
    /// Its number among the idle ones, the longest idle first; none while it has an open request.
    idle: Cell<Option<u64>>,
    new: Cell<bool>,
    wire: Wire,
    _permit: OwnedSemaphorePermit,
    _room: Charge,
}

impl Place {
    fn new(door: Rc<Door>, permit: OwnedSemaphorePermit, room: Charge) -> Self {
        let (idle, new) = (Cell::new(None), Cell::new(true));
        let wire = Wire::new(door.number());
        let place = Place { door, idle, new, wire, _permit: permit, _room: room };
        place.idle();
        place
    }

    fn asked(&self) {
        self.new.set(false);
        if let Some(number) = self.idle.take() {
            self.door.idle.borrow_mut().remove(&number);
        }
    }

    fn idle(&self) {
        let number = self.door.number();
        self.idle.set(Some(number));
        self.door.idle.borrow_mut().insert(number, self.wire.wanted.clone());
    }

    /// Comes to an end if nothing was asked in time.
    async fn is_silent(&self) {
        sleep(HEAD_LIMIT).await;
        if !self.is_new() {
            std::future::pending().await
        }
    }

    fn is_new(&self) -> bool {
        self.new.get()
    }

    fn is_idle(&self) -> bool {
        self.idle.get().is_some()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.asked();
    }
}

/// The open connections and when the last one came.
pub(crate) struct Door {
    permits: Arc<Semaphore>,
    ledger: Ledger,
    most: usize,
    last: Cell<Instant>,
    /// Those without an open request, the longest idle first, and the number of the next.
    idle: RefCell<BTreeMap<u64, Arc<Notify>>>,
    next: Cell<u64>,
    /// When it was last told that all places are taken.
    told: Cell<Option<Instant>>,
}

impl Door {
    pub(crate) fn new(most: usize, ledger: Ledger) -> Self {
        let permits = Arc::new(Semaphore::new(most));
        let (idle, next, told) = Default::default();
        Door { permits, ledger, most, last: Instant::now().into(), idle, next, told }
    }

    fn number(&self) -> u64 {
        self.next.replace(self.next.get() + 1)
    }

    pub(crate) fn open(&self) -> usize {
        self.most - self.permits.available_permits()
    }

    pub(crate) fn quiet_for(&self) -> Duration {
        self.last.get().elapsed()
    }

    /// Closes the connection that has stood idle for longest.
    fn make_room(&self) {
        if self.told.get().is_none_or(|told| told.elapsed() > TOLD_AGAIN) {
            log::warn!("{} clients are connected: those longest idle are closed", self.open());
            self.told.set(Some(Instant::now()));
        }
        if let Some((_, wanted)) = self.idle.borrow_mut().pop_first() {
            wanted.notify_one();
        }
    }

    /// A place for one more. Where all are taken one that stands idle is closed, for a client that waits here
    /// has been accepted by the machine, and counts on an answer.
    async fn place(self: &Rc<Self>) -> Option<Place> {
        loop {
            if self.permits.available_permits() == 0 {
                self.make_room();
            }
            let Ok(permit) = timeout(ROOM_PAUSE, self.permits.clone().acquire_owned()).await else {
                continue;
            };
            let permit = permit.ok()?;
            if let Ok(room) = self.ledger.take(Purpose::Connections, None, CLIENT_BYTES) {
                return Some(Place::new(self.clone(), permit, room));
            }
            // The number of places follows from the room for them: only a lowered cap leaves none.
            self.make_room();
            sleep(ROOM_PAUSE).await;
        }
    }

    pub(crate) async fn run(self: Rc<Self>, listener: TcpListener, front: Arc<Front>) {
        let (phase, answers) = (front.phase.clone(), front.answers.clone());
        let router = router(front);
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.last.set(Instant::now());
                    let _ = stream.set_nodelay(true);
                    let Some(place) = self.place().await else { return };
                    let serving = serve(stream, router.clone(), phase.clone(), place, answers.clone());
                    tokio::task::spawn_local(serving);
                }
                Err(e) => {
                    log::warn!("no connection could be accepted: {e}");
                    self.make_room();
                    sleep(ROOM_PAUSE).await;
                }
            }
        }
    }
}
