//! Clients of several kinds: regular ones, slow readers and ones that disconnect early. The answers of
//! regular clients are checked against the values of the stand-in shard servers.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt as _, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::history::End;
use crate::value_of;

/// Time that a client waits beyond its deadline before it counts the answer as lost.
const LOST_ANSWER_GRACE: Duration = Duration::from_secs(3);

/// Receive buffer of a client that reads slowly.
const SLOW_RECV_BUFFER_BYTES: u32 = 4096;

/// A query of a client.
#[derive(Clone, Debug)]
pub struct ClientQuery {
    /// Request id.
    pub id: String,
    pub vertical: &'static str,
    /// Tenant, sent as `Req-Owner`.
    pub tenant: &'static str,
    /// Shards for which the query has parts.
    pub shards: Vec<u32>,
    /// Minimum share of the parts in a whole answer.
    pub need: f64,
    /// Requested length of each part's value, in bytes.
    pub length: usize,
    pub deadline: Duration,
    /// Whether this is a retry.
    pub retry: bool,
}

/// Result of a query: how it ended, the shards in the answer, and the `Retry-After` time.
#[derive(Debug)]
pub struct QueryOutcome {
    pub end: End,
    pub shards: Box<[u16]>,
    pub retry_after: Option<Duration>,
}

impl From<End> for QueryOutcome {
    fn from(end: End) -> QueryOutcome {
        QueryOutcome { end, shards: Box::default(), retry_after: None }
    }
}

#[derive(Deserialize)]
struct Answer {
    whole: bool,
    results: Vec<Value>,
}

#[derive(Deserialize)]
struct Value {
    partition: u32,
    value: String,
}

/// Results of the queries of one kind of client.
#[derive(Default)]
pub struct QueryCounts {
    pub asked: AtomicU64,
    pub whole: AtomicU64,
    pub partial: AtomicU64,
    pub rejected: AtomicU64,
    /// Rejections without `Retry-After`.
    pub rejected_without_retry_after: AtomicU64,
    pub aborted: AtomicU64,
    pub closed: AtomicU64,
    /// Queries without an answer long after the deadline.
    pub lost: AtomicU64,
    /// Answers with values that no stand-in sent, and malformed answers.
    pub false_answers: AtomicU64,
    pub latency: Mutex<Option<Histogram<u64>>>,
}

/// Increments a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl ClientQuery {
    fn body(&self) -> String {
        let part = |shard| json!({"partition": shard, "share": 1.0 / self.shards.len() as f64});
        let targets: Vec<_> = self.shards.iter().map(part).collect();
        json!({"targets": targets, "query": format!("{} length={}", self.vertical, self.length)}).to_string()
    }

    fn is_correct(&self, answer: &Answer) -> bool {
        let value_matches =
            |v: &Value| v.value == value_of(&format!("{}.{}", self.id, v.partition), self.length);
        let shards: std::collections::BTreeSet<u32> = answer.results.iter().map(|v| v.partition).collect();
        let share_sufficient =
            !answer.whole || shards.len() as f64 >= self.shards.len() as f64 * self.need - 1e-9;
        let only_requested = shards.iter().all(|shard| self.shards.contains(shard));
        share_sufficient
            && only_requested
            && shards.len() == answer.results.len()
            && answer.results.iter().all(value_matches)
    }

    /// Returns the HTTP request as text, for clients that use a plain socket.
    fn http_request(&self) -> String {
        let (body, ms) = (self.body(), self.deadline.as_millis());
        format!(
            "POST /{}/{} HTTP/1.1\r\nHost: lab\r\nReq-Id: {}\r\nReq-Owner: {}\r\nReq-Deadline: {ms}m\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.vertical,
            self.id,
            self.id,
            self.tenant,
            body.len()
        )
    }
}

/// HTTP client with a connection pool.
pub type Pool = Client<HttpConnector, Full<Bytes>>;

/// Creates a [`Pool`].
pub fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends a query, reads the answer and checks it.
pub async fn send_query(pool: &Pool, at: SocketAddr, query: &ClientQuery) -> QueryOutcome {
    let request = Request::post(format!("http://{at}/{}/{}", query.vertical, query.id))
        .header("Req-Id", &query.id)
        .header("Req-Owner", query.tenant)
        .header("Req-Deadline", format!("{}m", query.deadline.as_millis()));
    let request = if query.retry { request.header("Req-Retry", "1") } else { request };
    let Ok(request) = request.body(Full::new(Bytes::from(query.body()))) else { return End::False.into() };
    let exchange = async {
        let answer = pool.request(request).await.map_err(|e| e.is_connect())?;
        let (head, body) = answer.into_parts();
        Ok((head, body.collect().await.map_err(|_| false)?.to_bytes()))
    };
    let (head, body) = match timeout(query.deadline + LOST_ANSWER_GRACE, exchange).await {
        Err(_) => return End::Lost.into(),
        Ok(Err(connect_failed)) => return if connect_failed { End::Unreached } else { End::Closed }.into(),
        Ok(Ok(answer)) => answer,
    };
    let retry_after = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
    let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
    match head.status.as_u16() {
        200 => match serde_json::from_slice::<Answer>(&body) {
            Ok(answer) if query.is_correct(&answer) => {
                let shards = answer.results.iter().map(|v| v.partition as u16).collect();
                QueryOutcome {
                    end: if answer.whole { End::Whole } else { End::Partial },
                    shards,
                    retry_after: None,
                }
            }
            _ => End::False.into(),
        },
        429 | 503 => QueryOutcome { retry_after, ..End::Rejected.into() },
        502 => End::Aborted.into(),
        _ => End::False.into(),
    }
}

/// Sends a query like [`send_query`] and counts the result.
pub async fn send_counted(pool: &Pool, at: SocketAddr, query: ClientQuery, counts: &QueryCounts) {
    count(&counts.asked);
    let start = Instant::now();
    let outcome = send_query(pool, at, &query).await;
    let counter = match outcome.end {
        End::Whole => &counts.whole,
        End::Partial => &counts.partial,
        End::Rejected => &counts.rejected,
        End::Aborted => &counts.aborted,
        End::Unreached | End::Closed => &counts.closed,
        End::Lost => &counts.lost,
        End::False => &counts.false_answers,
    };
    count(counter);
    if outcome.end == End::Rejected && outcome.retry_after.is_none() {
        count(&counts.rejected_without_retry_after);
    }
    if !matches!(outcome.end, End::Unreached | End::Closed | End::Lost)
        && let Ok(mut latency) = counts.latency.lock()
    {
        let new_histogram = || Histogram::new(3).expect("three significant digits are allowed");
        latency.get_or_insert_with(new_histogram).record(start.elapsed().as_micros() as u64).ok();
    }
}

/// Opens a connection with a small receive buffer, so that little is accepted that is not read.
async fn connect_with_small_buffer(at: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(SLOW_RECV_BUFFER_BYTES)?;
    socket.connect(at).await
}

/// Sends a query and reads one byte per second until the connection is closed or `lasts` has passed.
pub async fn send_and_read_slowly(at: SocketAddr, query: ClientQuery, lasts: Duration, counts: &QueryCounts) {
    let end = Instant::now() + lasts;
    let Ok(mut stream) = connect_with_small_buffer(at).await else { return count(&counts.closed) };
    count(&counts.asked);
    if stream.write_all(query.http_request().as_bytes()).await.is_err() {
        return count(&counts.closed);
    }
    let mut byte = [0];
    while Instant::now() < end {
        match timeout(Duration::from_secs(1), stream.read(&mut byte)).await {
            Ok(Ok(0) | Err(_)) => return count(&counts.closed),
            _ => sleep(Duration::from_secs(1)).await,
        }
    }
}

/// Sends a query and disconnects after `after`, or earlier when bytes arrive.
pub async fn send_and_disconnect(at: SocketAddr, query: ClientQuery, after: Duration, counts: &QueryCounts) {
    let Ok(mut stream) = TcpStream::connect(at).await else { return count(&counts.closed) };
    count(&counts.asked);
    let _ = stream.write_all(query.http_request().as_bytes()).await;
    let mut some = [0; 4096];
    let _ = timeout(after, stream.read(&mut some)).await;
}
