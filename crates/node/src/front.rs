//! Clients' connections: requests read whole, looked up, handed to the data plane, answered.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use axum::http::{HeaderName, HeaderValue, Request, Response, StatusCode, Uri, header};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::agent::Agent;
use crate::config::{Config, Limits};
use crate::data_plane::{DataPlane, Reply};
use crate::pool::{ATTEMPT_ID, ForwardedRequest, Stream, remove_hop_by_hop_headers, single_header};

const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const PART_SEALS: HeaderName = HeaderName::from_static("part-seals");
const MISSING_PARTS: HeaderName = HeaderName::from_static("missing-parts");
/// The least buffer that the HTTP library reads heads with, in bytes.
const HEAD_LEAST: usize = 8 * 1024;
/// Pause after a failed accept.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// When a client that came before there is a configuration is best back: a restart of all takes so long.
const BACK_AFTER: Duration = Duration::from_millis(700);

pub type Answer = Response<Full<Bytes>>;

fn say(status: StatusCode, words: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(words.as_bytes())));
    *answer.status_mut() = status;
    answer
}

fn reject(after: Option<Duration>) -> Answer {
    let mut answer = say(StatusCode::SERVICE_UNAVAILABLE, "not run; come back\n");
    if let Some(after) = after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    answer
}

fn encode(reply: Reply) -> Answer {
    match reply {
        Reply::Relayed(relayed) => {
            let mut answer = Response::new(Full::new(relayed.body));
            *answer.status_mut() = relayed.status;
            *answer.headers_mut() = relayed.headers;
            remove_hop_by_hop_headers(answer.headers_mut());
            answer
        }
        Reply::Gathered { seals, missing, body } => {
            let mut answer = Response::new(Full::new(body));
            for seal in seals {
                answer.headers_mut().append(PART_SEALS, seal);
            }
            answer.headers_mut().insert(MISSING_PARTS, HeaderValue::from(missing as u64));
            answer
        }
        Reply::Rejected(after) => reject(after),
        Reply::Aborted => say(StatusCode::BAD_GATEWAY, "given up; it may have run\n"),
    }
}

/// Connections of clients, for an orderly end.
#[derive(Default)]
pub struct ClientConnections {
    open: RefCell<BTreeMap<u64, Rc<Notify>>>,
    busy: Cell<usize>,
    next: Cell<u64>,
}

impl ClientConnections {
    /// Asks every connection to end after what it has open.
    pub fn close_gracefully(&self) {
        self.open.borrow().values().for_each(|end| end.notify_one());
    }

    pub fn open_count(&self) -> usize {
        self.open.borrow().len()
    }

    pub fn in_flight_count(&self) -> usize {
        self.busy.get()
    }
}

/// Tells the data plane where a client leaves before its answer.
struct Waiting {
    plane: Rc<DataPlane>,
    query: Option<u64>,
    clients: Rc<ClientConnections>,
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.clients.busy.set(self.clients.busy.get() - 1);
        if let Some(query) = self.query.take() {
            self.plane.left(query);
        }
    }
}

async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, Answer> {
    let too_long = || say(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(too_long());
    }
    let read = timeout(limits.idle_timeout, Limited::new(body, limits.body_bytes).collect()).await;
    match read.map_err(|_| say(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))? {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(too_long()),
        Err(_) => Err(say(StatusCode::BAD_REQUEST, "the body is broken\n")),
    }
}

async fn answer(
    request: Request<Incoming>, config: Option<Rc<Config>>, plane: &Rc<DataPlane>,
    clients: &Rc<ClientConnections>,
) -> Answer {
    let came = Instant::now();
    let Some(config) = config else { return reject(Some(BACK_AFTER)) };
    let (mut head, body) = request.into_parts();
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(route) = config.route(host, head.uri.path()).cloned() else {
        return say(StatusCode::NOT_FOUND, "no route\n");
    };
    let Some(attempt) = single_header(&head.headers, &ATTEMPT_ID).cloned() else {
        return say(StatusCode::BAD_REQUEST, "one Attempt-Id is needed\n");
    };
    let stated = head.headers.get(DEADLINE_MS).and_then(|d| d.to_str().ok()?.parse::<u64>().ok());
    let deadline = stated.map_or(route.deadline, |ms| Duration::from_millis(ms).min(route.deadline));
    let body = match read_body(body, &config.limits).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    remove_hop_by_hop_headers(&mut head.headers);
    let asked = ForwardedRequest {
        method: head.method,
        // Servers are named by their path alone, though a client may name the host with it.
        uri: head.uri.path_and_query().cloned().map_or(head.uri, Uri::from),
        headers: head.headers,
        body,
        attempt_id: attempt,
        at_most_once: !route.is_idempotent,
        sent_to: RefCell::default(),
    };
    clients.busy.set(clients.busy.get() + 1);
    let (query, reply) = plane.ask(&route, asked, came + deadline);
    let mut waiting = Waiting { plane: plane.clone(), query: Some(query), clients: clients.clone() };
    let reply = reply.await.unwrap_or(Reply::Aborted);
    waiting.query = None;
    encode(reply)
}

/// Serves one client's connection to its end.
pub async fn serve_connection(
    stream: impl Stream, agent: Rc<Agent>, plane: Rc<DataPlane>, clients: Rc<ClientConnections>,
) {
    let number = clients.next.get();
    clients.next.set(number + 1);
    let end = Rc::new(Notify::new());
    clients.open.borrow_mut().insert(number, end.clone());
    let limits = agent.config().map_or(Limits::default(), |c| c.limits);
    let service = service_fn(|request| {
        let (agent, plane, clients) = (agent.clone(), plane.clone(), clients.clone());
        async move {
            let mut answer = answer(request, agent.config(), &plane, &clients).await;
            if agent.is_shutting_down() {
                answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    // It runs from the answer before: a client may be idle for so long and then send a head.
    http.timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(HEAD_LEAST));
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => {}
        () = end.notified() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    clients.open.borrow_mut().remove(&number);
}

/// Serves clients.
pub async fn accept_clients(
    listener: TcpListener, agent: Rc<Agent>, plane: Rc<DataPlane>, clients: Rc<ClientConnections>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve_connection(
                    stream,
                    agent.clone(),
                    plane.clone(),
                    clients.clone(),
                ));
            }
            Err(_) => sleep(ACCEPT_AGAIN).await,
        }
    }
}

/// Answers whether this gatherer takes clients.
pub async fn serve_readiness(listener: TcpListener, agent: Rc<Agent>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_AGAIN).await;
            continue;
        };
        let agent = agent.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let agent = agent.clone();
                async move {
                    Ok::<_, Infallible>(match request.uri().path() {
                        "/api/readiness" if agent.is_ready() => say(StatusCode::OK, "ready\n"),
                        "/api/readiness" => say(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                        "/api/state" => Response::new(Full::new(agent.status().to_string().into())),
                        _ => say(StatusCode::NOT_FOUND, "no such call\n"),
                    })
                }
            });
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(Duration::from_secs(30));
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
