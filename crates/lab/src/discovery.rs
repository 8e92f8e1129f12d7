//! A stand-in for discovery: a list that changes, told to whoever watches it, by a service that can do so much.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::history::{EventKind, Recorder};
use crate::links::ConnectionSender;
use crate::node::Node;

/// The longest that a watch waits.
const WAIT_MOST: Duration = Duration::from_secs(60);
/// A call that would wait longer for its turn gets 503, and one twice as long behind nothing at all.
const TURN_MOST: Duration = Duration::from_secs(2);
/// What a 503 costs the service, as a share of an answer.
const SORRY_COST: f64 = 0.1;

/// What the service does wrong, to all or to some.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ListFault {
    /// Takes calls and never answers.
    Hangs,
    /// Answers 503.
    Sorry,
    /// Answers so much later.
    Late { ms: u64 },
    /// Tells nothing that is newer than what it had when this began.
    Old,
    /// Leaves out every second server, and says that the list is whole.
    Halved,
    /// Its revisions are this much lower, as from a backup.
    Back { by: u64 },
    /// Answers half of a list and closes the connection.
    Torn,
}

/// One server as the list has it, apart from its address, which differs from one gatherer to the next.
#[derive(Clone, Debug)]
pub struct Member {
    pub node: u16,
    pub id: String,
    pub zone: String,
    pub cell: u32,
    pub phase: &'static str,
    pub up_since_ms: u64,
}

type AddressOf = Arc<dyn Fn(Node, u16) -> Option<SocketAddr> + Send + Sync>;

#[derive(Clone, Default)]
struct List {
    revision: u64,
    members: Arc<Vec<Value>>,
    /// The same for a rehearsal, whose callers each have their own addresses.
    typed: Arc<Vec<Member>>,
}

struct Hit {
    number: usize,
    /// The gatherers hit; all of them where this is empty.
    who: Vec<u16>,
    trouble: ListFault,
    /// What is told while it is old.
    then: List,
}

#[derive(Clone)]
pub struct Discovery {
    /// Where it is asked, where it has a socket of its own.
    pub address: SocketAddr,
    list: watch::Sender<List>,
    hits: Arc<Mutex<Vec<Hit>>>,
    /// Calls a second, and when the next one has its turn.
    rate: Option<f64>,
    turn: Arc<Mutex<Instant>>,
    address_of: AddressOf,
    recorder: Option<Recorder>,
    /// Servers not ready of which each gatherer has been told.
    told: Arc<Mutex<BTreeMap<Node, u64>>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

type Answer = Response<Full<Bytes>>;

impl Discovery {
    fn new(rate: Option<f64>, address_of: AddressOf, recorder: Option<Recorder>) -> Discovery {
        Discovery {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            list: watch::Sender::new(List::default()),
            hits: Arc::default(),
            rate,
            turn: Arc::new(Mutex::new(Instant::now())),
            address_of,
            recorder,
            told: Arc::default(),
        }
    }

    /// One on a socket of its own.
    pub async fn start() -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let mut discovery = Discovery::new(None, Arc::new(|_, _| None), None);
        discovery.address = listener.local_addr()?;
        let serving = discovery.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream, Node::Gatherer(0)).await });
            }
        });
        Ok(discovery)
    }

    /// One of a rehearsal, that answers so many calls a second; relays bring it who asks.
    pub fn within(
        rate: Option<f64>, address_of: AddressOf, recorder: Recorder,
    ) -> (Discovery, ConnectionSender) {
        let discovery = Discovery::new(rate, address_of, Some(recorder));
        let (dials, mut dialled) = mpsc::unbounded_channel::<(Node, tokio::io::DuplexStream)>();
        let serving = discovery.clone();
        tokio::spawn(async move {
            while let Some((from, stream)) = dialled.recv().await {
                let serving = serving.clone();
                tokio::spawn(async move { serving.serve(stream, from).await });
            }
        });
        (discovery, dials)
    }

    async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Unpin, from: Node) {
        let service =
            service_fn(|request: Request<Incoming>| async move { self.answer(&request, from).await });
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    fn trouble(&self, from: Node) -> Option<(ListFault, List)> {
        let meets =
            |hit: &&Hit| hit.who.is_empty() || matches!(from, Node::Gatherer(g) if hit.who.contains(&g));
        locked(&self.hits).iter().rev().find(meets).map(|hit| (hit.trouble, hit.then.clone()))
    }

    /// Waits for a turn; the status of a call that can't have one.
    async fn turn(&self) -> Result<(), u16> {
        let Some(rate) = self.rate else { return Ok(()) };
        let mine = {
            let (mut turn, now) = (locked(&self.turn), Instant::now());
            let mine = (*turn).max(now);
            if mine > now + 2 * TURN_MOST {
                return Err(0);
            }
            let sorry = mine > now + TURN_MOST;
            *turn = mine + Duration::from_secs_f64(if sorry { SORRY_COST } else { 1.0 } / rate);
            if sorry {
                return Err(503);
            }
            mine
        };
        sleep_until(mine).await;
        Ok(())
    }

    async fn answer(&self, request: &Request<Incoming>, from: Node) -> Result<Answer, std::io::Error> {
        let trouble = self.trouble(from);
        let turn = match trouble {
            Some((ListFault::Hangs, _)) => Err(0),
            Some((ListFault::Sorry, _)) => Err(503),
            _ => self.turn().await,
        };
        if let Err(status) = turn {
            self.record(EventKind::Listed { from, status, revision: 0 });
            if status == 0 {
                std::future::pending::<()>().await;
            }
            let mut answer = Answer::new(Full::new(Bytes::new()));
            *answer.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
            return Ok(answer);
        }
        if let Some((ListFault::Late { ms }, _)) = trouble {
            sleep(Duration::from_millis(ms)).await;
        }
        let asked = |name: &str| -> Option<u64> {
            let query = request.uri().query()?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let wait = Duration::from_millis(asked("wait_ms").unwrap_or(0)).min(WAIT_MOST);
        let by = match trouble {
            Some((ListFault::Back { by }, _)) => by,
            _ => 0,
        };
        let after = asked("after").map(|after| after + by);
        let mut watched = self.list.subscribe();
        // What is asked for is known to be told once the answer is written.
        let newer = match trouble {
            Some((ListFault::Old, ref then)) => {
                let newer = after.is_none_or(|after| then.revision > after);
                if !newer {
                    sleep(wait).await;
                }
                newer
            }
            _ => timeout(wait, watched.wait_for(|l| after.is_none_or(|a| l.revision > a))).await.is_ok(),
        };
        let list = match &trouble {
            Some((ListFault::Old, then)) => then.clone(),
            _ => watched.borrow().clone(),
        };
        let complete = newer || after.is_none();
        let (status, revision) = (200, list.revision.saturating_sub(by));
        let mut members = if complete { self.members(&list, from) } else { Vec::new() };
        if trouble.as_ref().is_some_and(|(t, _)| *t == ListFault::Halved) {
            let mut number = 0;
            members.retain(|_| {
                number += 1;
                number % 2 == 1
            });
        }
        self.record(EventKind::Listed { from, status, revision });
        let text = json!({"revision": revision, "complete": complete, "members": members}).to_string();
        if trouble.is_some_and(|(t, _)| t == ListFault::Torn) {
            // The length is the whole one's; the connection ends in the middle.
            let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
            let mut answer = Answer::new(Full::new(half));
            answer.headers_mut().insert("connection", hyper::header::HeaderValue::from_static("close"));
            return Ok(answer);
        }
        if complete {
            self.tell_drains(&list, from);
        }
        Ok(Answer::new(Full::new(Bytes::from(text))))
    }

    fn members(&self, list: &List, from: Node) -> Vec<Value> {
        let one = |m: &Member| {
            let address = (self.address_of)(from, m.node)?;
            Some(json!({"id": m.id, "host_port": address.to_string(), "locality": m.zone, "flavor": "m",
                        "cell": m.cell, "phase": m.phase, "size": 1.0, "up_since_ms": m.up_since_ms}))
        };
        list.members.iter().cloned().chain(list.typed.iter().filter_map(one)).collect()
    }

    fn record(&self, kind: EventKind) {
        self.recorder.iter().for_each(|recorder| recorder.record(kind.clone()));
    }

    /// Notes which servers a gatherer now knows not to be ready.
    fn tell_drains(&self, list: &List, to: Node) {
        let known = locked(&self.told).insert(to, list.revision);
        if known == Some(list.revision) {
            return;
        }
        for m in list.typed.iter().filter(|m| m.phase != "ready") {
            self.record(EventKind::ToldDrain { to, server: Node::Server(m.node) });
        }
    }

    /// Tells a new list.
    pub fn tell(&self, members: Vec<Value>) {
        self.list.send_modify(|list| {
            *list = List { revision: list.revision + 1, members: Arc::new(members), ..List::default() };
        });
    }

    /// The same to a rehearsal's callers.
    pub fn update_members(&self, change: impl FnOnce(&mut Vec<Member>)) {
        self.list.send_modify(|list| {
            let mut members = list.typed.to_vec();
            change(&mut members);
            *list = List { revision: list.revision + 1, typed: Arc::new(members), ..List::default() };
        });
    }

    /// The list as a gatherer would be told it now.
    pub fn known(&self, to: Node) -> Value {
        let list = self.list.borrow().clone();
        json!({"revision": list.revision, "complete": true, "members": self.members(&list, to)})
    }

    pub fn hit(&self, number: usize, who: Vec<u16>, trouble: ListFault) {
        let then = self.list.borrow().clone();
        locked(&self.hits).push(Hit { number, who, trouble, then });
        self.record(EventKind::Troubled { node: Node::List, on: true });
    }

    pub fn mend(&self, number: usize) {
        locked(&self.hits).retain(|hit| hit.number != number);
        self.record(EventKind::Troubled { node: Node::List, on: false });
    }
}

/// A shard server as the list has it.
pub fn member(id: &str, address: SocketAddr, cell: usize, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": cell,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}
