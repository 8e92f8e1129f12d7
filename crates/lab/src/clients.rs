//! Clients of several manners. Each answer is checked against what the stand-ins give.

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

/// Time beyond its deadline for which a client looks for its answer, so that one that is lost shows.
const LOST_AFTER: Duration = Duration::from_secs(3);

/// Bytes that a client's machine holds for one that does not read.
const NARROW: u32 = 4096;

/// One query of a client.
#[derive(Clone, Debug)]
pub struct ClientQuery {
    pub id: String,
    pub vertical: &'static str,
    pub tenant: &'static str,
    /// The shards that it has parts for.
    pub shards: Vec<u32>,
    /// The share of its parts that a whole answer has.
    pub need: f64,
    /// How long each part's value is to be.
    pub length: usize,
    pub deadline: Duration,
    /// A client's further try.
    pub retry: bool,
}

/// What a client got: how it ended, the shards whose values are in, and when to come back.
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

/// What came of the queries of one kind.
#[derive(Default)]
pub struct Counts {
    pub asked: AtomicU64,
    pub whole: AtomicU64,
    pub partial: AtomicU64,
    pub rejected: AtomicU64,
    /// Rejected without a time to come back.
    pub bare: AtomicU64,
    pub aborted: AtomicU64,
    pub closed: AtomicU64,
    /// No answer long after the deadline.
    pub lost: AtomicU64,
    /// An answer that no stand-in's values make.
    pub false_answers: AtomicU64,
    pub latency: Mutex<Option<Histogram<u64>>>,
}

pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

impl ClientQuery {
    fn body(&self) -> String {
        let part = |shard| json!({"partition": shard, "share": 1.0 / self.shards.len() as f64});
        let targets: Vec<_> = self.shards.iter().map(part).collect();
        json!({"targets": targets, "query": format!("{} length={}", self.vertical, self.length)}).to_string()
    }

    fn is_true(&self, answer: &Answer) -> bool {
        let good = |v: &Value| v.value == value_of(&format!("{}.{}", self.id, v.partition), self.length);
        let shards: std::collections::BTreeSet<u32> = answer.results.iter().map(|v| v.partition).collect();
        let whole = !answer.whole || shards.len() as f64 >= self.shards.len() as f64 * self.need - 1e-9;
        let asked = shards.iter().all(|shard| self.shards.contains(shard));
        whole && asked && shards.len() == answer.results.len() && answer.results.iter().all(good)
    }

    /// The request as bytes, for clients that read it in ways of their own.
    fn bytes(&self) -> String {
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

pub type Pool = Client<HttpConnector, Full<Bytes>>;

pub fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// A client that asks, reads and checks.
pub async fn get(pool: &Pool, at: SocketAddr, ask: &ClientQuery) -> QueryOutcome {
    let request = Request::post(format!("http://{at}/{}/{}", ask.vertical, ask.id))
        .header("Req-Id", &ask.id)
        .header("Req-Owner", ask.tenant)
        .header("Req-Deadline", format!("{}m", ask.deadline.as_millis()));
    let request = if ask.retry { request.header("Req-Retry", "1") } else { request };
    let Ok(request) = request.body(Full::new(Bytes::from(ask.body()))) else { return End::False.into() };
    let asking = async {
        let answer = pool.request(request).await.map_err(|e| e.is_connect())?;
        let (head, body) = answer.into_parts();
        Ok((head, body.collect().await.map_err(|_| false)?.to_bytes()))
    };
    let (head, body) = match timeout(ask.deadline + LOST_AFTER, asking).await {
        Err(_) => return End::Lost.into(),
        Ok(Err(unreached)) => return if unreached { End::Unreached } else { End::Closed }.into(),
        Ok(Ok(answer)) => answer,
    };
    let retry_after = head.headers.get("retry-after").and_then(|v| v.to_str().ok()?.parse().ok());
    let retry_after = retry_after.and_then(|s| Duration::try_from_secs_f64(s).ok());
    match head.status.as_u16() {
        200 => match serde_json::from_slice::<Answer>(&body) {
            Ok(answer) if ask.is_true(&answer) => {
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

/// The same, counted.
pub async fn ask(pool: &Pool, at: SocketAddr, ask: ClientQuery, counts: &Counts) {
    count(&counts.asked);
    let began = Instant::now();
    let got = get(pool, at, &ask).await;
    let counter = match got.end {
        End::Whole => &counts.whole,
        End::Partial => &counts.partial,
        End::Rejected => &counts.rejected,
        End::Aborted => &counts.aborted,
        End::Unreached | End::Closed => &counts.closed,
        End::Lost => &counts.lost,
        End::False => &counts.false_answers,
    };
    count(counter);
    if got.end == End::Rejected && got.retry_after.is_none() {
        count(&counts.bare);
    }
    if !matches!(got.end, End::Unreached | End::Closed | End::Lost)
        && let Ok(mut latency) = counts.latency.lock()
    {
        let fresh = || Histogram::new(3).expect("three digits");
        latency.get_or_insert_with(fresh).record(began.elapsed().as_micros() as u64).ok();
    }
}

/// A connection whose machine takes in little that is not read.
async fn connect_narrow(at: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(NARROW)?;
    socket.connect(at).await
}

/// A client that asks and then reads one byte a second, until it is closed or so long has passed.
pub async fn trickle(at: SocketAddr, ask: ClientQuery, lasts: Duration, counts: &Counts) {
    let end = Instant::now() + lasts;
    let Ok(mut stream) = connect_narrow(at).await else { return count(&counts.closed) };
    count(&counts.asked);
    if stream.write_all(ask.bytes().as_bytes()).await.is_err() {
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

/// A client that leaves after so long, whatever has come by then.
pub async fn leave(at: SocketAddr, ask: ClientQuery, after: Duration, counts: &Counts) {
    let Ok(mut stream) = TcpStream::connect(at).await else { return count(&counts.closed) };
    count(&counts.asked);
    let _ = stream.write_all(ask.bytes().as_bytes()).await;
    let mut some = [0; 4096];
    let _ = timeout(after, stream.read(&mut some)).await;
}
