//! Clients' connections: accepts them up to a bound, reads requests, writes answers.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use ashvane_settings::Network;
use axum::Router;
use axum::body::{Body, Bytes};
use axum::extract::{Request, State};
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Response, StatusCode};
use axum::middleware::{self, Next};
use axum::routing::{get, post};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};

use crate::program::Phase;
use crate::protocol::query::{self, Query, Refusal, Reply};
use crate::routing::Event;

/// The longest body that is read, as the protocol states it.
const BODY_MOST: usize = 64 * 1024;
/// Time in which a request's head must be whole; also how long a client may keep a connection idle.
const HEAD_LIMIT: Duration = Duration::from_secs(60);
/// Time in which a body must be whole once its head is.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// Pause after a failed accept: no descriptor is left, and one takes a while to come back.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What every request's handler needs.
pub struct Front {
    pub network: Arc<Network>,
    pub events: mpsc::Sender<Event>,
    /// A handler ended: its client may have left.
    pub left: Arc<Notify>,
    pub phase: watch::Receiver<Phase>,
}

struct Leaving(Arc<Notify>);

impl Drop for Leaving {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

async fn health(State(front): State<Arc<Front>>) -> Response<Body> {
    match *front.phase.borrow() {
        Phase::Ready | Phase::Reloading => query::say(StatusCode::OK, "ready"),
        _ => query::say(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
    }
}

async fn read_body(body: Body) -> Result<Bytes, Refusal> {
    let read = timeout(BODY_LIMIT, Limited::new(body, BODY_MOST).collect()).await;
    match read.map_err(|_| (StatusCode::REQUEST_TIMEOUT, "the body did not come"))? {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")),
        Err(_) => Err((StatusCode::BAD_REQUEST, "the body is broken")),
    }
}

async fn read(request: Request, network: &Network) -> Result<Query, Refusal> {
    let (head, body) = request.into_parts();
    let path = head.uri.path();
    let vertical = query::vertical(path, network)?;
    let body = read_body(body).await?;
    query::decode(vertical, path, &head.headers, &body, network)
}

async fn ask(State(front): State<Arc<Front>>, request: Request) -> Response<Body> {
    let arrived = Instant::now();
    let query = match read(request, &front.network).await {
        Ok(query) => query,
        Err((status, words)) => return query::say(status, words),
    };
    let _leaving = Leaving(front.left.clone());
    let (reply, answer) = oneshot::channel();
    if front.events.send(Event::Came { query, arrived, reply }).await.is_err() {
        return query::say(StatusCode::SERVICE_UNAVAILABLE, "closing");
    }
    query::encode(answer.await.unwrap_or(Reply::Aborted))
}

/// While the program drains, each answer asks its client to connect anew, elsewhere.
async fn drain(State(front): State<Arc<Front>>, request: Request, next: Next) -> Response<Body> {
    let mut answer = next.run(request).await;
    if *front.phase.borrow() >= Phase::Draining {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
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

/// Serves one connection until it ends. Once the program closes, or descriptors run short, it ends after
/// the request it has, or at once where it has none.
async fn serve(
    stream: TcpStream, router: Router, mut phase: watch::Receiver<Phase>, mut short: watch::Receiver<()>,
) {
    let (asked, router) = (Cell::new(false), TowerToHyperService::new(router));
    let service = service_fn(|request| {
        asked.set(true);
        router.call(request)
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    http.timer(TokioTimer::new()).header_read_timeout(HEAD_LIMIT);
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(stream), service));
    // One that comes when the program closes already is served: its request may be on the way.
    let in_time = *phase.borrow() < Phase::Closing;
    let closing = async {
        tokio::select! {
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if in_time => {}
            _ = short.changed() => {}
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            // The shutdown leaves a connection open that has not asked for anything yet.
            if !asked.get() {
                return;
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("client connection: {e}");
    }
}

/// The open connections and when the last one came.
pub struct Door {
    permits: Arc<Semaphore>,
    most: usize,
    last: Cell<Instant>,
}

impl Door {
    pub fn new(most: usize) -> Self {
        Door { permits: Arc::new(Semaphore::new(most)), most, last: Instant::now().into() }
    }

    pub fn open(&self) -> usize {
        self.most - self.permits.available_permits()
    }

    pub fn quiet_for(&self) -> Duration {
        self.last.get().elapsed()
    }

    /// Accepts while there is room. Past it the connections that stand idle are closed, for a client
    /// that waits here has been accepted by the machine, and counts on an answer.
    pub async fn run(&self, listener: TcpListener, front: Arc<Front>) {
        let phase = front.phase.clone();
        let router = router(front);
        let short = watch::Sender::new(());
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.last.set(Instant::now());
                    let _ = stream.set_nodelay(true);
                    if self.permits.available_permits() == 0 {
                        log::warn!("{} clients are connected: idle ones are closed", self.most);
                        short.send_replace(());
                    }
                    let Ok(permit) = self.permits.clone().acquire_owned().await else { return };
                    let serving = serve(stream, router.clone(), phase.clone(), short.subscribe());
                    tokio::task::spawn_local(async move {
                        serving.await;
                        drop(permit);
                    });
                }
                Err(e) => {
                    log::warn!("no connection could be accepted: {e}");
                    short.send_replace(());
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
