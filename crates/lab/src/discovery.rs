//! Stand-in for the discovery service: a changing list of servers, served to watching clients at a limited
//! rate.

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

/// Maximum wait of a long poll.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Calls that would queue for longer than this are answered with 503; those that would queue for more than
/// twice this long are not answered at all.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(2);
/// Cost of a 503 relative to a full answer.
const UNAVAILABLE_COST_RATIO: f64 = 0.1;

/// Fault of the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum ListFault {
    /// Accepts calls and never answers.
    Hangs,
    /// Answers 503.
    Sorry,
    /// Delays answers by `ms`.
    Late { ms: u64 },
    /// Serves no list newer than the one at the start of the fault.
    Old,
    /// Omits every second server, but reports the list as complete.
    Halved,
    /// Reports revisions lowered by `by`, like a service restored from a backup.
    Back { by: u64 },
    /// Sends half of the list and closes the connection.
    Torn,
}

/// A server of the list, without its address, which differs between gatherers.
#[derive(Clone, Debug)]
pub struct Member {
    /// Number of the stand-in server.
    pub node: u16,
    pub id: String,
    pub zone: String,
    pub cell: u32,
    /// `ready` or `draining`.
    pub phase: &'static str,
    /// Start time of the server, as Unix time.
    pub up_since_ms: u64,
}

type AddressOf = Arc<dyn Fn(Node, u16) -> Option<SocketAddr> + Send + Sync>;

#[derive(Clone, Default)]
struct List {
    revision: u64,
    members: Arc<Vec<Value>>,
    /// Members in a rehearsal, where each gatherer has its own addresses for them.
    rehearsal_members: Arc<Vec<Member>>,
}

struct ActiveFault {
    number: usize,
    /// Affected gatherers; all if empty.
    who: Vec<u16>,
    fault: ListFault,
    /// List at the start of the fault, served while the fault is [`ListFault::Old`].
    list_at_start: List,
}

/// The stand-in service. Clones share their state.
#[derive(Clone)]
pub struct Discovery {
    /// Listen address, if the service has its own socket.
    pub address: SocketAddr,
    list: watch::Sender<List>,
    active_faults: Arc<Mutex<Vec<ActiveFault>>>,
    /// Maximum calls per second; unlimited if absent.
    rate: Option<f64>,
    /// Earliest time at which the next call is served.
    next_slot: Arc<Mutex<Instant>>,
    address_of: AddressOf,
    recorder: Option<Recorder>,
    /// Last list revision for which each gatherer's drain notices were recorded.
    notified_revisions: Arc<Mutex<BTreeMap<Node, u64>>>,
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
            active_faults: Arc::default(),
            rate,
            next_slot: Arc::new(Mutex::new(Instant::now())),
            address_of,
            recorder,
            notified_revisions: Arc::default(),
        }
    }

    /// Starts a service on its own socket.
    pub async fn start() -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let mut discovery = Discovery::new(None, Arc::new(|_, _| None), None);
        discovery.address = listener.local_addr()?;
        let discovery_handle = discovery.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let discovery_handle = discovery_handle.clone();
                tokio::spawn(async move { discovery_handle.serve(stream, Node::Gatherer(0)).await });
            }
        });
        Ok(discovery)
    }

    /// Starts a service for a rehearsal, which answers `rate` calls per second. Relays connect to it by the
    /// returned sender.
    pub fn in_process(
        rate: Option<f64>, address_of: AddressOf, recorder: Recorder,
    ) -> (Discovery, ConnectionSender) {
        let discovery = Discovery::new(rate, address_of, Some(recorder));
        let (connections, mut accepted) = mpsc::unbounded_channel::<(Node, tokio::io::DuplexStream)>();
        let discovery_handle = discovery.clone();
        tokio::spawn(async move {
            while let Some((from, stream)) = accepted.recv().await {
                let discovery_handle = discovery_handle.clone();
                tokio::spawn(async move { discovery_handle.serve(stream, from).await });
            }
        });
        (discovery, connections)
    }

    async fn serve(&self, stream: impl AsyncRead + AsyncWrite + Unpin, from: Node) {
        let service =
            service_fn(|request: Request<Incoming>| async move { self.answer(&request, from).await });
        let _ =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    }

    fn active_fault(&self, from: Node) -> Option<(ListFault, List)> {
        let applies = |active: &&ActiveFault| {
            active.who.is_empty() || matches!(from, Node::Gatherer(g) if active.who.contains(&g))
        };
        locked(&self.active_faults)
            .iter()
            .rev()
            .find(applies)
            .map(|active| (active.fault, active.list_at_start.clone()))
    }

    /// Waits until the rate limit admits the call. If it does not, returns the status (0: no answer).
    async fn wait_for_admission(&self) -> Result<(), u16> {
        let Some(rate) = self.rate else { return Ok(()) };
        let own_slot = {
            let (mut next_slot, now) = (locked(&self.next_slot), Instant::now());
            let own_slot = (*next_slot).max(now);
            if own_slot > now + 2 * MAX_QUEUE_WAIT {
                return Err(0);
            }
            let unavailable = own_slot > now + MAX_QUEUE_WAIT;
            *next_slot = own_slot
                + Duration::from_secs_f64(if unavailable { UNAVAILABLE_COST_RATIO } else { 1.0 } / rate);
            if unavailable {
                return Err(503);
            }
            own_slot
        };
        sleep_until(own_slot).await;
        Ok(())
    }

    async fn answer(&self, request: &Request<Incoming>, from: Node) -> Result<Answer, std::io::Error> {
        let fault = self.active_fault(from);
        let admission = match fault {
            Some((ListFault::Hangs, _)) => Err(0),
            Some((ListFault::Sorry, _)) => Err(503),
            _ => self.wait_for_admission().await,
        };
        if let Err(status) = admission {
            self.record(EventKind::Listed { from, status, revision: 0 });
            if status == 0 {
                std::future::pending::<()>().await;
            }
            let mut answer = Answer::new(Full::new(Bytes::new()));
            *answer.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
            return Ok(answer);
        }
        if let Some((ListFault::Late { ms }, _)) = fault {
            sleep(Duration::from_millis(ms)).await;
        }
        let query_parameter = |name: &str| -> Option<u64> {
            let query = request.uri().query()?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let wait = Duration::from_millis(query_parameter("wait_ms").unwrap_or(0)).min(MAX_WATCH_WAIT);
        let revision_offset = match fault {
            Some((ListFault::Back { by }, _)) => by,
            _ => 0,
        };
        let after = query_parameter("after").map(|after| after + revision_offset);
        let mut list_watch = self.list.subscribe();
        // A list counts as received by the gatherer once the answer with it is written.
        let has_newer = match fault {
            Some((ListFault::Old, ref list_at_start)) => {
                let has_newer = after.is_none_or(|after| list_at_start.revision > after);
                if !has_newer {
                    sleep(wait).await;
                }
                has_newer
            }
            _ => timeout(wait, list_watch.wait_for(|l| after.is_none_or(|a| l.revision > a))).await.is_ok(),
        };
        let list = match &fault {
            Some((ListFault::Old, list_at_start)) => list_at_start.clone(),
            _ => list_watch.borrow().clone(),
        };
        let complete = has_newer || after.is_none();
        let (status, revision) = (200, list.revision.saturating_sub(revision_offset));
        let mut members = if complete { self.members(&list, from) } else { Vec::new() };
        if fault.as_ref().is_some_and(|(t, _)| *t == ListFault::Halved) {
            let mut number = 0;
            members.retain(|_| {
                number += 1;
                number % 2 == 1
            });
        }
        self.record(EventKind::Listed { from, status, revision });
        let text = json!({"revision": revision, "complete": complete, "members": members}).to_string();
        if fault.is_some_and(|(t, _)| t == ListFault::Torn) {
            // Half of the JSON text, after which the connection is closed.
            let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
            let mut answer = Answer::new(Full::new(half));
            answer.headers_mut().insert("connection", hyper::header::HeaderValue::from_static("close"));
            return Ok(answer);
        }
        if complete {
            self.record_drain_notices(&list, from);
        }
        Ok(Answer::new(Full::new(Bytes::from(text))))
    }

    fn members(&self, list: &List, from: Node) -> Vec<Value> {
        let to_json = |m: &Member| {
            let address = (self.address_of)(from, m.node)?;
            Some(json!({"id": m.id, "host_port": address.to_string(), "locality": m.zone, "flavor": "m",
                        "cell": m.cell, "phase": m.phase, "size": 1.0, "up_since_ms": m.up_since_ms}))
        };
        list.members.iter().cloned().chain(list.rehearsal_members.iter().filter_map(to_json)).collect()
    }

    fn record(&self, kind: EventKind) {
        self.recorder.iter().for_each(|recorder| recorder.record(kind.clone()));
    }

    /// Records which servers a gatherer has been told are not ready.
    fn record_drain_notices(&self, list: &List, to: Node) {
        let previous = locked(&self.notified_revisions).insert(to, list.revision);
        if previous == Some(list.revision) {
            return;
        }
        for m in list.rehearsal_members.iter().filter(|m| m.phase != "ready") {
            self.record(EventKind::ToldDrain { to, server: Node::Server(m.node) });
        }
    }

    /// Publishes a new list.
    pub fn publish(&self, members: Vec<Value>) {
        self.list.send_modify(|list| {
            *list = List { revision: list.revision + 1, members: Arc::new(members), ..List::default() };
        });
    }

    /// Changes the members of a rehearsal and publishes the new list.
    pub fn update_members(&self, change: impl FnOnce(&mut Vec<Member>)) {
        self.list.send_modify(|list| {
            let mut members = list.rehearsal_members.to_vec();
            change(&mut members);
            *list =
                List { revision: list.revision + 1, rehearsal_members: Arc::new(members), ..List::default() };
        });
    }

    /// Returns the current list as a gatherer would receive it.
    pub fn snapshot_for(&self, to: Node) -> Value {
        let list = self.list.borrow().clone();
        json!({"revision": list.revision, "complete": true, "members": self.members(&list, to)})
    }

    /// Starts a fault for some gatherers, or for all if `who` is empty.
    pub fn inject(&self, number: usize, who: Vec<u16>, fault: ListFault) {
        let list_at_start = self.list.borrow().clone();
        locked(&self.active_faults).push(ActiveFault { number, who, fault, list_at_start });
        self.record(EventKind::Troubled { node: Node::List, on: true });
    }

    /// Ends the fault with this number.
    pub fn clear(&self, number: usize) {
        locked(&self.active_faults).retain(|active| active.number != number);
        self.record(EventKind::Troubled { node: Node::List, on: false });
    }
}

/// Returns the list entry of a shard server.
pub fn member(id: &str, address: SocketAddr, cell: usize, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": cell,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}
