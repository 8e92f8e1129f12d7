//! Connections to servers: one request at a time on each, kept while they are sound, never more open to a
//! server than this gatherer's part of what it takes.

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

pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
const TARGET_INSTANCE: HeaderName = HeaderName::from_static("target-instance");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time for a connection to come up: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time before the server's own end of an idle connection at which it is no longer used.
const IDLE_EXPIRY_MARGIN: Duration = Duration::from_millis(1000);
/// How long an idle connection is kept where the server says nothing of it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a connection may have stood idle to carry what must not run twice.
const MAX_NON_IDEMPOTENT_IDLE: Duration = Duration::from_millis(200);
/// The longest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A connection's bytes both ways, whatever carries them.
pub trait Stream: AsyncRead + AsyncWrite + Unpin {}

impl<T: AsyncRead + AsyncWrite + Unpin> Stream for T {}

/// A connection to a server that is coming up.
pub type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<Box<dyn Stream>>>>>;

/// What lies between a gateway and the servers.
pub trait Connector {
    fn connect(&self, address: &str) -> ConnectFuture;
}

/// The network that the servers are on.
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

/// A client's request as it is handed on: the same for every server.
pub struct ForwardedRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub attempt_id: HeaderValue,
    /// It must not run twice, so nothing that breaks off can be sent again.
    pub at_most_once: bool,
    /// Servers that it was sent to.
    pub sent_to: RefCell<BTreeSet<Rc<str>>>,
}

/// A server's whole answer to this request.
#[derive(Clone, Debug)]
pub struct ServerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A connection, which ends at once where this is dropped, also in the midst of a request that the server does not read.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _close_on_drop: oneshot::Sender<()>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    expires_at: Instant,
}

/// A server, and the connections to it.
pub struct ServerConnections {
    pub id: Rc<str>,
    address: String,
    max_open: Cell<usize>,
    open_count: Cell<usize>,
    idle: RefCell<Vec<IdleConnection>>,
    /// It takes no more: its connections are closed as they fall idle.
    is_closed: Cell<bool>,
}

/// An open connection, counted as long as this lives.
struct OpenConnection(Rc<ServerConnections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_count.set(self.0.open_count.get() - 1);
    }
}

#[derive(Default)]
pub struct Counters {
    pub connects: Cell<u64>,
    pub failed_connects: Cell<u64>,
    pub reused: Cell<u64>,
    pub mismatched_responses: Cell<u64>,
}

pub struct Pool {
    connector: Rc<dyn Connector>,
    servers: RefCell<BTreeMap<Rc<str>, Rc<ServerConnections>>>,
    pub counters: Rc<Counters>,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Headers that concern one connection only, and those that the connection itself names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != ATTEMPT_ID && *name != header::HOST)
        .collect();
    let always = [
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
    listed.iter().chain(&always).for_each(|name| drop(headers.remove(name)));
}

/// How long the server keeps the connection idle, as it says; none if it closes it.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let has = |name: HeaderName, word: &str| {
        let values = headers.get_all(name);
        values.iter().filter_map(|v| v.to_str().ok()).any(|v| v.to_ascii_lowercase().contains(word))
    };
    if has(header::CONNECTION, "close") {
        return None;
    }
    let requested = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok()).and_then(|v| {
        let part = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        part.trim().parse::<u64>().ok()
    });
    let idle_timeout = requested.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs);
    idle_timeout.checked_sub(IDLE_EXPIRY_MARGIN).filter(|timeout| !timeout.is_zero())
}

/// The value of a header that stands there once; none if it does not, or more than once.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Whether the answer itself tells where its body ends. One that ends with its connection looks whole wherever it
/// breaks off.
fn is_self_delimited(headers: &HeaderMap, body: &Incoming) -> bool {
    let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last_encoding = encodings.and_then(|encodings| encodings.to_str().ok()?.rsplit(',').next());
    let is_chunked = last_encoding.is_some_and(|encoding| encoding.trim().eq_ignore_ascii_case("chunked"));
    is_chunked || body.size_hint().exact().is_some()
}

/// Statuses that promise clients that their request has not run and never will.
fn implies_not_executed(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// What a whole answer to this request counts for. That the request did not run is only ever the server's word, given
/// with a failure: 421, or `Not-Executed`.
fn check_response(response: ServerResponse) -> Result<ServerResponse, CallError> {
    let (status, headers) = (response.status, &response.headers);
    let is_error = status.is_client_error() || status.is_server_error();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(CallError::OtherServer);
    }
    if headers.contains_key(NOT_EXECUTED) {
        return Err(match is_error {
            true => CallError::Rejected { status: status.as_u16() },
            false => CallError::Unusable { reason: "a success that did not run" },
        });
    }
    if implies_not_executed(status) {
        return Err(CallError::Failed { status: status.as_u16() });
    }
    let is_single = |seal: &HeaderValue| !seal.is_empty() && !seal.as_bytes().contains(&b',');
    let is_sealed = single_header(headers, &SERVER_SEAL).is_some_and(is_single);
    if status.is_success() && (headers.contains_key(header::CONTENT_ENCODING) || !is_sealed) {
        return Err(CallError::Unusable { reason: "not the body of the server" });
    }
    Ok(response)
}

impl ServerConnections {
    /// The connection that fell idle last. A server may have forgotten one that has stood for a while, and then
    /// resets what is sent on it: what must not run twice would be lost, so it takes only one just used.
    fn take_idle(&self, at_most_once: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if last.expires_at <= now || !last.connection.sender.is_ready() {
                continue;
            }
            if at_most_once && last.idle_since + MAX_NON_IDEMPOTENT_IDLE < now {
                // The others have stood for longer yet. They serve what may be repeated.
                idle.push(last);
                return None;
            }
            return Some(last.connection);
        }
        None
    }

    fn return_idle(&self, connection: Connection, idle_timeout: Duration) {
        if self.is_closed.get() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|idle| idle.expires_at > now && !idle.connection.sender.is_closed());
        idle.push(IdleConnection { connection, idle_since: now, expires_at: now + idle_timeout });
    }

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

    /// Sends a request and reads the answer whole.
    async fn send(
        self: &Rc<Self>, request: &ForwardedRequest, timeout: Duration, pool: &Pool,
    ) -> Result<ServerResponse, CallError> {
        let deadline = Instant::now() + timeout;
        // A connection that has carried it may still bring a surplus answer to that call, under the same id.
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
                    None if e.error().is_parse() => {
                        CallError::Unusable { reason: "no answer in the protocol" }
                    }
                    None => CallError::Broken,
                });
            }
        };
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            return Err(CallError::Unusable { reason: "another protocol" });
        }
        // A surplus answer to an earlier request stands where this one's is due.
        if single_header(&head.headers, &ATTEMPT_ID) != Some(&request.attempt_id) {
            increment(&pool.counters.mismatched_responses);
            return Err(CallError::Unusable { reason: "an answer to another request" });
        }
        if !is_self_delimited(&head.headers, &body) {
            return Err(CallError::Unusable { reason: "an answer that does not tell where it ends" });
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
    pub fn new(connector: Rc<dyn Connector>) -> Self {
        Pool { connector, servers: RefCell::default(), counters: Rc::default() }
    }

    /// A server that may be sent requests, and how many connections it may have from here.
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

    /// A server that gets nothing more.
    pub fn remove_server(&self, id: &str) {
        if let Some(server) = self.servers.borrow_mut().remove(id) {
            server.is_closed.set(true);
            server.idle.borrow_mut().clear();
        }
    }

    pub async fn send(
        &self, id: &str, request: &ForwardedRequest, timeout: Duration,
    ) -> Result<ServerResponse, CallError> {
        let server = self.servers.borrow().get(id).cloned();
        match server {
            Some(server) => server.send(request, timeout, self).await,
            None => Err(CallError::NeverSent),
        }
    }

    pub fn open_count(&self) -> usize {
        self.servers.borrow().values().map(|server| server.open_count.get()).sum()
    }
}

#[cfg(test)]
mod tests {
    use tokio::task::LocalSet;

    use super::*;

    /// Found by a day on which servers forgot connections that rested for 320 ms: 56 bookings were lost.
    #[tokio::test(start_paused = true)]
    async fn what_must_not_run_twice_takes_no_connection_that_rested() {
        let test = async {
            let pool = Pool::new(Rc::new(TcpConnector));
            pool.add_server("i-1", "127.0.0.1:1", 4);
            let server = pool.servers.borrow()["i-1"].clone();
            let (near, _far) = tokio::io::duplex(1024);
            let (mut sender, connection) = handshake(TokioIo::new(near)).await.expect("a connection");
            tokio::task::spawn_local(connection);
            sender.ready().await.expect("ready");
            let (_close_on_drop, _dropped) = oneshot::channel();
            server.return_idle(Connection { sender, _close_on_drop }, DEFAULT_IDLE_TIMEOUT);
            let connection = server.take_idle(true).expect("it was just used");
            server.return_idle(connection, DEFAULT_IDLE_TIMEOUT);
            tokio::time::advance(MAX_NON_IDEMPOTENT_IDLE * 2).await;
            assert!(server.take_idle(true).is_none(), "it may be forgotten by now");
            assert!(server.take_idle(false).is_some(), "what may be repeated takes it all the same");
            pool.remove_server("i-1");
            assert!(server.idle.borrow().is_empty());
        };
        LocalSet::new().run_until(test).await;
    }
}
