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
const CONNECT: Duration = Duration::from_millis(300);
/// Time before the server's own end of an idle connection at which it is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1000);
/// How long an idle connection is kept where the server says nothing of it.
const IDLE: Duration = Duration::from_secs(20);
/// How long a connection may have stood idle to carry what must not run twice.
const JUST_USED: Duration = Duration::from_millis(200);
/// The longest answer that is read, in bytes.
const ANSWER_MOST: usize = 16 << 20;

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
    _held: oneshot::Sender<()>,
}

struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// A server, and the connections to it.
pub struct ServerConnections {
    pub id: Rc<str>,
    address: String,
    most: Cell<usize>,
    open: Cell<usize>,
    idle: RefCell<Vec<Idle>>,
    /// It takes no more: its connections are closed as they fall idle.
    closed: Cell<bool>,
}

/// An open connection, counted as long as this lives.
struct Open(Rc<ServerConnections>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

#[derive(Default)]
pub struct Counters {
    pub connects: Cell<u64>,
    pub refused: Cell<u64>,
    pub reused: Cell<u64>,
    pub foreign: Cell<u64>,
}

pub struct Pool {
    connector: Rc<dyn Connector>,
    targets: RefCell<BTreeMap<Rc<str>, Rc<ServerConnections>>>,
    pub counters: Rc<Counters>,
}

fn bump(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// Headers that concern one connection only, and those that the connection itself names.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
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
    named.iter().chain(&always).for_each(|name| drop(headers.remove(name)));
}

/// How long the server keeps the connection idle, as it says; none if it closes it.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let has = |name: HeaderName, word: &str| {
        let values = headers.get_all(name);
        values.iter().filter_map(|v| v.to_str().ok()).any(|v| v.to_ascii_lowercase().contains(word))
    };
    if has(header::CONNECTION, "close") {
        return None;
    }
    let stated = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok()).and_then(|v| {
        let part = v.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
        part.trim().parse::<u64>().ok()
    });
    let kept = stated.map_or(IDLE, Duration::from_secs);
    kept.checked_sub(IDLE_MARGIN).filter(|kept| !kept.is_zero())
}

/// The value of a header that stands there once; none if it does not, or more than once.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())
}

/// Whether the answer itself tells where its body ends. One that ends with its connection looks whole wherever it
/// breaks off.
fn tells_its_end(headers: &HeaderMap, body: &Incoming) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter().next_back();
    let last = codings.and_then(|codings| codings.to_str().ok()?.rsplit(',').next());
    let chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    chunked || body.size_hint().exact().is_some()
}

/// Statuses that promise clients that their request has not run and never will.
fn is_promise(status: StatusCode) -> bool {
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
fn judge(answer: ServerResponse) -> Result<ServerResponse, CallError> {
    let (status, headers) = (answer.status, &answer.headers);
    let fails = status.is_client_error() || status.is_server_error();
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err(CallError::OtherServer);
    }
    if headers.contains_key(NOT_EXECUTED) {
        return Err(match fails {
            true => CallError::Rejected { status: status.as_u16() },
            false => CallError::Unusable { what: "a success that did not run" },
        });
    }
    if is_promise(status) {
        return Err(CallError::Failed { status: status.as_u16() });
    }
    let one = |seal: &HeaderValue| !seal.is_empty() && !seal.as_bytes().contains(&b',');
    let sealed = single_header(headers, &SERVER_SEAL).is_some_and(one);
    if status.is_success() && (headers.contains_key(header::CONTENT_ENCODING) || !sealed) {
        return Err(CallError::Unusable { what: "not the body of the server" });
    }
    Ok(answer)
}

impl ServerConnections {
    /// The connection that fell idle last. A server may have forgotten one that has stood for a while, and then
    /// resets what is sent on it: what must not run twice would be lost, so it takes only one just used.
    fn take_idle(&self, once: bool) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        while let Some(last) = idle.pop() {
            if last.until <= now || !last.connection.sender.is_ready() {
                continue;
            }
            if once && last.since + JUST_USED < now {
                // The others have stood for longer yet. They serve what may be repeated.
                idle.push(last);
                return None;
            }
            return Some(last.connection);
        }
        None
    }

    fn give_back(&self, connection: Connection, kept: Duration) {
        if self.closed.get() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let now = Instant::now();
        idle.retain(|i| i.until > now && !i.connection.sender.is_closed());
        idle.push(Idle { connection, since: now, until: now + kept });
    }

    async fn connect(self: &Rc<Self>, limit: Duration, pool: &Pool) -> Result<Connection, CallError> {
        if self.open.get() >= self.most.get() {
            return Err(CallError::PoolExhausted { address: self.address.clone() });
        }
        self.open.set(self.open.get() + 1);
        let open = Open(self.clone());
        bump(&pool.counters.connects);
        let within = CONNECT.min(limit);
        let failed = || CallError::NoConnection { address: self.address.clone(), within };
        let connected = timeout(within, pool.connector.connect(&self.address)).await;
        let Ok(Ok(stream)) = connected else {
            bump(&pool.counters.refused);
            return Err(failed());
        };
        let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| failed())?;
        let (_held, dropped) = oneshot::channel();
        tokio::task::spawn_local(async move {
            let _open = open;
            tokio::select! {
                _ = connection => {}
                _ = dropped => {}
            }
        });
        Ok(Connection { sender, _held })
    }

    /// Sends a request and reads the answer whole.
    async fn send(
        self: &Rc<Self>, asked: &ForwardedRequest, limit: Duration, pool: &Pool,
    ) -> Result<ServerResponse, CallError> {
        let until = Instant::now() + limit;
        // A connection that has carried it may still bring a surplus answer to that call, under the same id.
        let first = asked.sent_to.borrow_mut().insert(self.id.clone());
        let idle = if first { self.take_idle(asked.at_most_once) } else { None };
        let mut connection = match idle {
            Some(connection) => {
                bump(&pool.counters.reused);
                connection
            }
            None => self.connect(limit, pool).await?,
        };
        let left = until.saturating_duration_since(Instant::now()).as_millis();
        let mut request = Request::new(Full::new(asked.body.clone()));
        *request.method_mut() = asked.method.clone();
        *request.uri_mut() = asked.uri.clone();
        *request.headers_mut() = asked.headers.clone();
        let headers = request.headers_mut();
        headers.insert(DEADLINE_MS, HeaderValue::from(left.max(1) as u64));
        headers.insert(TARGET_INSTANCE, HeaderValue::from_str(&self.id).map_err(|_| CallError::NeverSent)?);
        let answered = timeout_at(until, connection.sender.try_send_request(request)).await;
        let response = match answered.map_err(|_| CallError::TimedOut)? {
            Ok(response) => response,
            Err(mut e) => {
                return Err(match e.take_message() {
                    Some(_) => CallError::NeverSent,
                    None if e.error().is_parse() => CallError::Unusable { what: "no answer in the protocol" },
                    None => CallError::Broken,
                });
            }
        };
        let (head, body) = response.into_parts();
        if head.status.is_informational() {
            return Err(CallError::Unusable { what: "another protocol" });
        }
        // A surplus answer to an earlier request stands where this one's is due.
        if single_header(&head.headers, &ATTEMPT_ID) != Some(&asked.attempt_id) {
            bump(&pool.counters.foreign);
            return Err(CallError::Unusable { what: "an answer to another request" });
        }
        if !tells_its_end(&head.headers, &body) {
            return Err(CallError::Unusable { what: "an answer that does not tell where it ends" });
        }
        let collected = timeout_at(until, Limited::new(body, ANSWER_MOST).collect()).await;
        let body = collected.map_err(|_| CallError::TimedOut)?.map_err(|_| CallError::Broken)?.to_bytes();
        if let Some(kept) = kept_for(&head.headers) {
            self.give_back(connection, kept);
        }
        judge(ServerResponse { status: head.status, headers: head.headers, body })
    }
}

impl Pool {
    pub fn new(connector: Rc<dyn Connector>) -> Self {
        Pool { connector, targets: RefCell::default(), counters: Rc::default() }
    }

    /// A server that may be sent requests, and how many connections it may have from here.
    pub fn add_server(&self, id: &str, address: &str, most: usize) {
        let mut targets = self.targets.borrow_mut();
        if let Some(target) = targets.get(id) {
            target.most.set(most);
            target.closed.set(false);
            return;
        }
        let id: Rc<str> = id.into();
        let target = ServerConnections {
            id: id.clone(),
            address: address.to_owned(),
            most: most.into(),
            open: 0.into(),
            idle: RefCell::default(),
            closed: false.into(),
        };
        targets.insert(id, Rc::new(target));
    }

    /// A server that gets nothing more.
    pub fn remove_server(&self, id: &str) {
        if let Some(target) = self.targets.borrow_mut().remove(id) {
            target.closed.set(true);
            target.idle.borrow_mut().clear();
        }
    }

    pub async fn send(
        &self, id: &str, asked: &ForwardedRequest, limit: Duration,
    ) -> Result<ServerResponse, CallError> {
        let target = self.targets.borrow().get(id).cloned();
        match target {
            Some(target) => target.send(asked, limit, self).await,
            None => Err(CallError::NeverSent),
        }
    }

    pub fn open_count(&self) -> usize {
        self.targets.borrow().values().map(|t| t.open.get()).sum()
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
            let target = pool.targets.borrow()["i-1"].clone();
            let (near, _far) = tokio::io::duplex(1024);
            let (mut sender, connection) = handshake(TokioIo::new(near)).await.expect("a connection");
            tokio::task::spawn_local(connection);
            sender.ready().await.expect("ready");
            let (_held, _dropped) = oneshot::channel();
            target.give_back(Connection { sender, _held }, IDLE);
            let connection = target.take_idle(true).expect("it was just used");
            target.give_back(connection, IDLE);
            tokio::time::advance(JUST_USED * 2).await;
            assert!(target.take_idle(true).is_none(), "it may be forgotten by now");
            assert!(target.take_idle(false).is_some(), "what may be repeated takes it all the same");
            pool.remove_server("i-1");
            assert!(target.idle.borrow().is_empty());
        };
        LocalSet::new().run_until(test).await;
    }
}
