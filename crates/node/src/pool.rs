//! Pool of HTTP/1.1 connections to servers. A connection carries one request at a time and is reused while it
//! is healthy. The number of open connections to a server is bounded by this gateway's share of what the
//! server accepts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use axum::http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri, header};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout, timeout_at};

use crate::call_error::CallError;

/// Header with the client's id of the request. The server repeats it in the response.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Header that marks a response as the server's own. A gathered response lists one for each shard.
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time-out for connecting: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// How long before the server closes an idle connection this pool stops using it.
const IDLE_EXPIRY_MARGIN: Duration = Duration::from_millis(1000);
/// Idle time-out of a server that does not state one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest idle time of a connection that may carry a request that must not run twice.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(200);
/// Longest response body that is read.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Byte stream in both directions, over any transport.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// Future of a connection attempt.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>>>>;

/// Opens byte streams to servers.
pub trait Connector {
    /// Connects to the server at this address.
    fn connect(&self, address: &str) -> ConnectFuture;
}

/// Connects over TCP.
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, address: &str) -> ConnectFuture {
        let address = address.to_owned();
        Box::pin(async move {
            let stream = TcpStream::connect(&address).await?;
            let _ = stream.set_nodelay(true);
            Ok(Box::new(stream) as _)
        })
    }
}

/// Request of a client as it is forwarded, the same to every server.
pub struct ForwardedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers of the client, without the hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Value of the `Attempt-Id` header, which the response must repeat.
    pub attempt_id: HeaderValue,
    /// Whether the request must not run twice. It cannot be sent again after its connection breaks.
    pub at_most_once: bool,
    /// Ids of the servers that the request was sent to.
    pub sent_to: RefCell<BTreeSet<Rc<str>>>,
}

/// Complete response of a server to a forwarded request.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Connection to a server. Dropping it closes the connection at once, also while a request is being sent that
/// the server does not read.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _close_on_drop: oneshot::Sender<()>,
}

/// Connection that waits for its next request.
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// When the pool stops using it.
    expires_at: Instant,
}

/// Connections to one server.
pub struct ServerConnections {
    /// Id of the server.
    pub id: Rc<str>,
    address: String,
    max_open: Cell<usize>,
    open_count: Cell<usize>,
    /// Idle connections, the most recently used last.
    idle: RefCell<Vec<IdleConnection>>,
    /// Whether the server was removed from the pool. Connections are then closed instead of becoming idle.
    is_closed: Cell<bool>,
}

/// Counts an open connection until it is dropped.
struct OpenConnection(Rc<ServerConnections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_count.set(self.0.open_count.get() - 1);
    }
}

/// Totals since the start, for the log.
#[derive(Default)]
pub struct Counters {
    /// Attempts to connect.
    pub connects: Cell<u64>,
    /// Attempts that failed or timed out before a byte stream was open.
    pub failed_connects: Cell<u64>,
    /// Requests that were sent on an idle connection.
    pub reused: Cell<u64>,
    /// Responses whose `Attempt-Id` was not that of the request.
    pub mismatched_responses: Cell<u64>,
}

/// Connections to all servers.
pub struct Pool {
    connector: Rc<dyn Connector>,
    /// Connections to each server, by its id.
    servers: RefCell<BTreeMap<Rc<str>, Rc<ServerConnections>>>,
    /// Counters of all servers.
    pub counters: Rc<Counters>,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Removes the hop-by-hop headers, which concern one connection only: the usual ones and those that the
/// `Connection` header lists. `Content-Length` and `Expect` are removed too, because the body is sent anew.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != ATTEMPT_ID && *name != header::HOST)
        .collect();
    let hop_by_hop = [
        header::CONNECTION,
        KEEP_ALIVE,
        header::PROXY_AUTHENTICATE,
        header::PROXY_AUTHORIZATION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
        HeaderName::from_static("proxy-connection"),
    ];
    listed.iter().chain(&hop_by_hop).for_each(|name| drop(headers.remove(name)));
}

/// Returns how long the connection may stay idle according to the server, less [`IDLE_EXPIRY_MARGIN`]; `None`
/// if the connection cannot be reused.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let contains = |name: HeaderName, token: &str| {
        let values = headers.get_all(name);
        values.iter().filter_map(|v| v.to_str().ok()).any(|v| v.to_ascii_lowercase().contains(token))
    };
    if contains(header::CONNECTION, "close") {
        return None;
    }
    let requested = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok()).and_then(|v| {
        let part = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        part.trim().parse::<u64>().ok()
    });
    let idle_timeout = requested.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    idle_timeout.checked_sub(IDLE_EXPIRY_MARGIN).filter(|timeout| !timeout.is_zero())
}

/// Returns the value of a header that occurs exactly once, else `None`.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Whether the response has a length or chunked encoding. The body of any other response ends with the
/// connection, so a truncated body would look complete.
fn is_self_delimited(headers: &HeaderMap, body: &Incoming) -> bool {
    let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last_encoding = encodings.and_then(|encodings| encodings.to_str().ok()?.rsplit(',').next());
    let is_chunked = last_encoding.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"));
    is_chunked || body.size_hint().exact().is_some()
}

/// Whether this status promises the client that its request has not run and never will.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns a complete response if it may be relayed, else the error that it stands for. Only the server can
/// promise that the request did not run, by 421, or by `Not-Executed` with an error status.
fn check_response(response: ServerResponse) -> Result<ServerResponse, CallError> {
    let (status, headers) = (response.status, &response.headers);
    let is_error = status.is_client_error() || status.is_server_error();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(CallError::OtherServer);
    }
    if headers.contains_key(NOT_EXECUTED) {
        return Err(match is_error {
            true => CallError::Rejected { status: status.as_u16() },
            false => CallError::Unusable { reason: "success status with Not-Executed header" },
        });
    }
    if implies_not_executed(status) {
        return Err(CallError::Failed { status: status.as_u16() });
    }
    let is_single = |seal: &HeaderValue| !seal.is_empty() && !seal.as_bytes().contains(&b',');
    let is_sealed = single_header(headers, &SERVER_SEAL).is_some_and(is_single);
    if status.is_success() && (headers.contains_key(header::CONTENT_ENCODING) || !is_sealed) {
        return Err(CallError::Unusable { reason: "missing or invalid Server-Seal header, or encoded body" });
    }
    Ok(response)
}

impl ServerConnections {
    /// Takes the idle connection that was used last. A server may have dropped the state of a connection that
    /// was idle for a while, and then resets it on the next request. A request that must not run twice would
    /// be lost that way, so it only takes a connection that was idle for at most [`MAX_NON_IDEMPOTENT_IDLE`].
    fn take_idle(&self, at_most_once: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if last.expires_at <= now || !last.connection.sender.is_ready() {
                continue;
            }
            if at_most_once && last.idle_since + MAX_NON_IDEMPOTENT_IDLE < now {
                // All others were idle for longer still. They are left for requests that may be repeated.
                idle.push(last);
                return None;
            }
            return Some(last.connection);
        }
        None
    }

    /// Stores a connection for reuse, and drops those that have expired or were closed.
    fn return_idle(&self, connection: Connection, idle_timeout: Duration) {
        if self.is_closed.get() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        idle.push(IdleConnection { connection, idle_since: now, expires_at: now + idle_timeout });
    }

    /// Opens a connection, unless the server has as many as it may have.
    async fn connect(self: &Rc<Self>, limit: Duration, pool: &Pool) -> Result<Connection, CallError> {
        if self.open_count.get() >= self.max_open.get() {
            return Err(CallError::PoolExhausted { address: self.address.clone() });
        }
        self.open_count.set(self.open_count.get() + 1);
        let open = OpenConnection(self.clone());
        increment(&pool.counters.connects);
        let connect_timeout = CONNECT_TIMEOUT.min(limit);
        let connect_error =
            || CallError::NoConnection { address: self.address.clone(), timeout: connect_timeout };
        let connected = timeout(connect_timeout, pool.connector.connect(&self.address)).await;
        let Ok(Ok(stream)) = connected else {
            increment(&pool.counters.failed_connects);
            return Err(connect_error());
        };
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| connect_error())?;
        let (_close_on_drop, dropped) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let _open = open;
            tokio::select! {
                _ = connection => {}
                _ = dropped => {}
            }
        });
        Ok(Connection { sender, _close_on_drop })
    }

    /// Sends a request and reads the complete response.
    async fn send(
        self: &Rc<Self>, request: &ForwardedRequest, timeout: Duration, pool: &Pool,
    ) -> Result<ServerResponse, CallError> {
        let deadline = Instant::now() + timeout;
        // A second attempt at the same server opens a new connection: one that carried the first attempt may
        // still deliver a surplus response to it under the same `Attempt-Id`.
        let is_first_at_server = request.sent_to.borrow_mut().insert(self.id.clone());
        let idle = if is_first_at_server { self.take_idle(request.at_most_once) } else { None };
        let mut connection = match idle {
            Some(connection) => {
                increment(&pool.counters.reused);
                connection
            }
            None => self.connect(timeout, pool).await?,
        };
        let remaining_ms = deadline.saturating_duration_since(Instant::now()).as_millis();
        let mut http_request = Request::new(Full::new(request.body.clone()));
        *http_request.method_mut() = request.method.clone();
        *http_request.uri_mut() = request.uri.clone();
        *http_request.headers_mut() = request.headers.clone();
        let headers = http_request.headers_mut();
        headers.insert(DEADLINE_MS, HeaderValue::from(remaining_ms.max(1) as u64));
        headers.insert(TARGET_INSTANCE, HeaderValue::from_str(&self.id).map_err(|_| CallError::NeverSent)?);
        let result = timeout_at(deadline, connection.sender.try_send_request(http_request)).await;
        let response = match result.map_err(|_| CallError::TimedOut)? {
            Ok(response) => response,
            Err(mut e) => {
                return Err(match e.take_message() {
                    Some(_) => CallError::NeverSent,
                    None if e.error().is_parse() => CallError::Unusable { reason: "not an HTTP response" },
                    None => CallError::Broken,
                });
            }
        };
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            return Err(CallError::Unusable { reason: "switch to another protocol" });
        }
        // A surplus response to an earlier request on this connection would be read as the response to this
        // one.
        if single_header(&head.headers, &ATTEMPT_ID) != Some(&request.attempt_id) {
            increment(&pool.counters.mismatched_responses);
            return Err(CallError::Unusable { reason: "Attempt-Id header does not match the request" });
        }
        if !is_self_delimited(&head.headers, &body) {
            return Err(CallError::Unusable { reason: "neither a content length nor chunked encoding" });
        }
        let collected = timeout_at(deadline, Limited::new(body, MAX_RESPONSE_BYTES).collect()).await;
        let body = collected.map_err(|_| CallError::TimedOut)?.map_err(|_| CallError::Broken)?.to_bytes();
        if let Some(idle_timeout) = keep_alive_timeout(&head.headers) {
            self.return_idle(connection, idle_timeout);
        }
        check_response(ServerResponse { status: head.status, headers: head.headers, body })
    }
}

impl Pool {
    /// Creates a pool without servers.
    pub fn new(connector: Rc<dyn Connector>) -> Self {
        Pool { connector, servers: RefCell::default(), counters: Rc::default() }
    }

    /// Adds a server that may be sent requests, or updates how many connections it may have.
    pub fn add_server(&self, id: &str, address: &str, max_open: usize) {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get(id) {
            server.max_open.set(max_open);
            server.is_closed.set(false);
            return;
        }
        let id: Rc<str> = id.into();
        let server = ServerConnections {
            id: id.clone(),
            address: address.to_owned(),
            max_open: max_open.into(),
            open_count: 0.into(),
            idle: RefCell::default(),
            is_closed: false.into(),
        };
        servers.insert(id, Rc::new(server));
    }

    /// Removes a server, closes its idle connections, and lets the requests in flight finish.
    pub fn remove_server(&self, id: &str) {
        if let Some(server) = self.servers.borrow_mut().remove(id) {
            server.is_closed.set(true);
            server.idle.borrow_mut().clear();
        }
    }

    /// Sends a request to a server and waits for the complete response.
    ///
    /// # Errors
    ///
    /// If the call failed, or its response must not be relayed.
    pub async fn send(
        &self, id: &str, request: &ForwardedRequest, timeout: Duration,
    ) -> Result<ServerResponse, CallError> {
        let server = self.servers.borrow().get(id).cloned();
        match server {
            Some(server) => server.send(request, timeout, self).await,
            None => Err(CallError::NeverSent),
        }
    }

    /// Number of open connections to the servers of the pool.
    pub fn open_count(&self) -> usize {
        self.servers.borrow().values().map(|server| server.open_count.get()).sum()
    }
}

#[cfg(test)]
mod tests {
    use tokio::task::LocalSet;

    use super::*;

    /// Guards against the loss of requests that must not run twice on connections that the server has dropped
    /// while idle. A simulated day on which servers dropped connections idle for 320 ms lost 56 bookings.
    #[tokio::test(start_paused = true)]
    async fn a_non_idempotent_request_takes_no_connection_that_was_idle_for_long() {
        let test = async {
            let pool = Pool::new(Rc::new(TcpConnector));
            pool.add_server("i-1", "127.0.0.1:1", 4);
            let server = pool.servers.borrow()["i-1"].clone();
            let (client_end, _server_end) = tokio::io::duplex(1024);
            let (mut sender, connection) =
                handshake(TokioIo::new(client_end)).await.expect("the peer end of the duplex stream is open");
            tokio::task::spawn_local(connection);
            sender.ready().await.expect("the connection was just opened");
            let (_close_on_drop, _dropped) = oneshot::channel();
            server.return_idle(Connection { sender, _close_on_drop }, DEFAULT_IDLE_TIMEOUT);
            let connection = server.take_idle(true).expect("the connection was just used");
            server.return_idle(connection, DEFAULT_IDLE_TIMEOUT);
            tokio::time::advance(MAX_NON_IDEMPOTENT_IDLE * 2).await;
            assert!(
                server.take_idle(true).is_none(),
                "a non-idempotent request takes no connection that was idle for long"
            );
            assert!(server.take_idle(false).is_some(), "an idempotent request takes the same connection");
            pool.remove_server("i-1");
            assert!(server.idle.borrow().is_empty());
        };
        LocalSet::new().run_until(test).await;
    }
}
