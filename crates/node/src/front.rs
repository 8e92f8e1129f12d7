//! The HTTP listener for clients. Reads each request to its end, finds its route, passes it to the data plane
//! and sends the response.

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
/// Smallest `max_buf_size` that hyper accepts.
const MIN_HTTP_BUFFER_BYTES: usize = 8 * 1024;
/// Delay before `accept` is called again after it failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// `Retry-After` for requests that arrive before a configuration is in force. A restart of the whole system
/// takes about this long.
const RETRY_AFTER_WITHOUT_CONFIG: Duration = Duration::from_millis(700);

/// Response to a client.
pub type HttpResponse = Response<Full<Bytes>>;

fn text_response(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns the 503 response that promises that the request has not run and never will.
fn rejection_response(retry_after: Option<Duration>) -> HttpResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run; come back\n");
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

fn encode_reply(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Relayed(relayed) => {
            let mut response = Response::new(Full::new(relayed.body));
            *response.status_mut() = relayed.status;
            *response.headers_mut() = relayed.headers;
            remove_hop_by_hop_headers(response.headers_mut());
            response
        }
        Reply::Gathered { seals, missing, body } => {
            let mut response = Response::new(Full::new(body));
            for seal in seals {
                response.headers_mut().append(PART_SEALS, seal);
            }
            response.headers_mut().insert(MISSING_PARTS, HeaderValue::from(missing as u64));
            response
        }
        Reply::Rejected(retry_after) => rejection_response(retry_after),
        Reply::Aborted => text_response(StatusCode::BAD_GATEWAY, "given up; it may have run\n"),
    }
}

/// Open connections of clients and their requests in flight, for graceful shutdown.
#[derive(Default)]
pub struct ClientConnections {
    /// Shutdown signal of each open connection, by connection id.
    shutdown_signals: RefCell<BTreeMap<u64, Rc<Notify>>>,
    /// Requests that have been passed to the data plane and not been answered.
    in_flight: Cell<usize>,
    next_id: Cell<u64>,
}

impl ClientConnections {
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
        self.in_flight.get()
    }
}

/// Request that the data plane works on. Dropping it before the reply, as hyper does when the client
/// disconnects, abandons the query.
struct InFlightRequest {
    data_plane: Rc<DataPlane>,
    /// Query to abandon on drop; `None` once its reply has arrived.
    query_id: Option<u64>,
    clients: Rc<ClientConnections>,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.clients.in_flight.set(self.clients.in_flight.get() - 1);
        if let Some(query_id) = self.query_id.take() {
            self.data_plane.client_disconnected(query_id);
        }
    }
}

/// Reads a request body to its end, within the limits on its length and time.
async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, HttpResponse> {
    let body_too_long = || text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(body_too_long());
    }
    let result = timeout(limits.idle_timeout, Limited::new(body, limits.body_bytes).collect()).await;
    match result.map_err(|_| text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))? {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(body_too_long()),
        Err(_) => Err(text_response(StatusCode::BAD_REQUEST, "the body is broken\n")),
    }
}

/// Reads a request, submits it to the data plane and waits for the reply.
async fn handle_request(
    request: Request<Incoming>, config: Option<Rc<Config>>, data_plane: &Rc<DataPlane>,
    clients: &Rc<ClientConnections>,
) -> HttpResponse {
    let received_at = Instant::now();
    let Some(config) = config else { return rejection_response(Some(RETRY_AFTER_WITHOUT_CONFIG)) };
    let (mut head, body) = request.into_parts();
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(route) = config.route(host, head.uri.path()).cloned() else {
        return text_response(StatusCode::NOT_FOUND, "no route\n");
    };
    let Some(attempt_id) = single_header(&head.headers, &ATTEMPT_ID).cloned() else {
        return text_response(StatusCode::BAD_REQUEST, "one Attempt-Id is needed\n");
    };
    let requested = head.headers.get(DEADLINE_MS).and_then(|d| d.to_str().ok()?.parse::<u64>().ok());
    let deadline = requested.map_or(route.deadline, |ms| Duration::from_millis(ms).min(route.deadline));
    let body = match read_body(body, &config.limits).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    remove_hop_by_hop_headers(&mut head.headers);
    let forwarded = ForwardedRequest {
        method: head.method,
        // Servers expect a path and query, also where the client sent the absolute form of the URI.
        uri: head.uri.path_and_query().cloned().map_or(head.uri, Uri::from),
        headers: head.headers,
        body,
        attempt_id,
        at_most_once: !route.is_idempotent,
        sent_to: RefCell::default(),
    };
    clients.in_flight.set(clients.in_flight.get() + 1);
    let (query_id, reply) = data_plane.submit(&route, forwarded, received_at + deadline);
    let mut in_flight_request = InFlightRequest {
        data_plane: data_plane.clone(),
        query_id: Some(query_id),
        clients: clients.clone(),
    };
    let reply = reply.await.unwrap_or(Reply::Aborted);
    in_flight_request.query_id = None;
    encode_reply(reply)
}

/// Serves one connection of a client until it closes.
pub async fn serve_connection(
    stream: impl Stream, agent: Rc<Agent>, data_plane: Rc<DataPlane>, clients: Rc<ClientConnections>,
) {
    let id = clients.next_id.get();
    clients.next_id.set(id + 1);
    let shutdown_signal = Rc::new(Notify::new());
    clients.shutdown_signals.borrow_mut().insert(id, shutdown_signal.clone());
    let limits = agent.config().map_or(Limits::default(), |c| c.limits);
    let service = service_fn(|request| {
        let (agent, data_plane, clients) = (agent.clone(), data_plane.clone(), clients.clone());
        async move {
            let mut response = handle_request(request, agent.config(), &data_plane, &clients).await;
            if agent.is_shutting_down() {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    // The time-out starts at the previous response, so it covers the idle time and the transfer of the next
    // head.
    http.timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HTTP_BUFFER_BYTES));
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = connection.as_mut() => {}
        () = shutdown_signal.notified() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
    clients.shutdown_signals.borrow_mut().remove(&id);
}

/// Accepts connections of clients and serves each in a task of its own.
pub async fn accept_clients(
    listener: TcpListener, agent: Rc<Agent>, data_plane: Rc<DataPlane>, clients: Rc<ClientConnections>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                tokio::task::spawn_local(serve_connection(
                    stream,
                    agent.clone(),
                    data_plane.clone(),
                    clients.clone(),
                ));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Serves the readiness check, which reports whether this process accepts clients, and the status report.
pub async fn serve_readiness(listener: TcpListener, agent: Rc<Agent>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let agent = agent.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let agent = agent.clone();
                async move {
                    Ok::<_, Infallible>(match request.uri().path() {
                        "/api/readiness" if agent.is_ready() => text_response(StatusCode::OK, "ready\n"),
                        "/api/readiness" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                        "/api/state" => Response::new(Full::new(agent.status().to_string().into())),
                        _ => text_response(StatusCode::NOT_FOUND, "no such call\n"),
                    })
                }
            });
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(Duration::from_secs(30));
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
