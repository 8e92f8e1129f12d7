//! The calls of servers and operators, each declared beside its handler.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::http::{HeaderValue, Response, StatusCode, header};
use axum::middleware::{self, Next};
use axum::routing::{get, put};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde_json::{Value, json};
use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use crate::agent::{Agent, Put};
use crate::packed;
use crate::reader::At;

/// The longest configuration that is read, in bytes.
const BODY_MOST: usize = 4 << 20;
/// Time in which a head must be whole, and for which an idle connection is kept.
const HEAD_LIMIT: Duration = Duration::from_secs(30);
/// When a call that found no majority is best made again.
const BACK_AFTER: &str = "0.2";

/// A call, on its way to the one that knows.
enum Call {
    /// Where this can be settled, if not here.
    Where(oneshot::Sender<Option<String>>),
    Heartbeat(Heartbeat, oneshot::Sender<bool>),
    Left(String, oneshot::Sender<bool>),
    Put(Bytes, oneshot::Sender<Put>),
    Get(oneshot::Sender<Option<Option<Arc<str>>>>),
    State(oneshot::Sender<Value>),
}

struct Control {
    calls: mpsc::UnboundedSender<Call>,
    /// Where servers are asked to send their later beats.
    beat_target: String,
}

type Answer = Response<axum::body::Body>;

fn say(status: StatusCode, body: impl Into<axum::body::Body>) -> Answer {
    let mut answer = Response::new(body.into());
    *answer.status_mut() = status;
    answer.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        answer.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static(BACK_AFTER));
    }
    answer
}

fn tell(status: StatusCode, body: &Value) -> Answer {
    say(status, body.to_string())
}

fn no_majority() -> Answer {
    tell(StatusCode::SERVICE_UNAVAILABLE, &json!({"faults": ["no majority of the disks answers"]}))
}

impl Control {
    async fn ask<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).ok()?;
        answer.await.ok()
    }

    fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/api/instances/{id}", put(put_instance).delete(delete_instance))
            .route("/api/configuration", put(put_configuration).get(get_configuration))
            .layer(middleware::from_fn_with_state(self.clone(), pass_on))
            .route("/api/state", get(get_state))
            .route("/api/readiness", get(readiness))
            .layer(DefaultBodyLimit::max(BODY_MOST))
            .with_state(self)
    }
}

/// A process without a disk takes every call and sends the caller on to one that can settle it.
async fn pass_on(State(control): State<Arc<Control>>, request: Request, next: Next) -> Answer {
    let Some(Some(at)) = control.ask(Call::Where).await else { return next.run(request).await };
    let location = format!("http://{at}{}", request.uri().path());
    let mut answer = say(StatusCode::TEMPORARY_REDIRECT, "");
    if let Ok(location) = HeaderValue::from_str(&location) {
        answer.headers_mut().insert(header::LOCATION, location);
    }
    answer
}

fn beat(id: String, body: &[u8]) -> Result<Heartbeat, Vec<String>> {
    let value: Value = serde_json::from_slice(body).map_err(|e| vec![format!("the whole: {e}")])?;
    let at = At::root(&value);
    let state = at.get("state");
    let beat = Heartbeat {
        id: id.into(),
        service: at.get("service").name().into(),
        address: at.get("address").name().into(),
        zone: at.get("zone").or(String::new(), At::name).into(),
        capacity: at.get("capacity").or(1, At::whole).min(u64::from(u32::MAX)) as u32,
        state: match state.or("ready", |at| at.text()) {
            "draining" => ServerState::Draining,
            "ready" => ServerState::Ready,
            _ => {
                state.fault("ready or draining is needed here");
                ServerState::Ready
            }
        },
        sequence: at.get("call-seq").or(0, At::whole),
    };
    if beat.address.as_str().parse::<std::net::SocketAddr>().is_err() {
        at.get("address").fault("an address and a port are needed here");
    }
    let faults = at.faults();
    if faults.is_empty() { Ok(beat) } else { Err(faults) }
}

async fn put_instance(State(control): State<Arc<Control>>, Path(id): Path<String>, body: Bytes) -> Answer {
    let beat = match beat(id, &body) {
        Ok(beat) => beat,
        Err(faults) => return tell(StatusCode::BAD_REQUEST, &json!({"faults": faults})),
    };
    match control.ask(|reply| Call::Heartbeat(beat, reply)).await {
        Some(true) => tell(StatusCode::OK, &json!({"beat-target": control.beat_target})),
        _ => no_majority(),
    }
}

async fn delete_instance(State(control): State<Arc<Control>>, Path(id): Path<String>) -> Answer {
    match control.ask(|reply| Call::Left(id, reply)).await {
        Some(true) => say(StatusCode::OK, "{}"),
        _ => no_majority(),
    }
}

async fn put_configuration(State(control): State<Arc<Control>>, body: Bytes) -> Answer {
    match control.ask(|reply| Call::Put(body, reply)).await {
        Some(Put::Held(version)) => tell(StatusCode::OK, &json!({"version": version})),
        Some(Put::Invalid(faults)) => tell(StatusCode::BAD_REQUEST, &json!({"faults": faults})),
        Some(Put::Conflict { version, held }) => {
            let fault = format!("version {version} was decided with another text; version {held} holds");
            tell(StatusCode::CONFLICT, &json!({"faults": [fault], "version": held}))
        }
        _ => no_majority(),
    }
}

async fn get_configuration(State(control): State<Arc<Control>>) -> Answer {
    match control.ask(Call::Get).await {
        Some(Some(Some(packed))) => match packed::unpack(&packed) {
            Some(text) => say(StatusCode::OK, text),
            None => no_majority(),
        },
        Some(Some(None)) => tell(StatusCode::NOT_FOUND, &json!({"faults": ["there is none yet"]})),
        _ => no_majority(),
    }
}

async fn get_state(State(control): State<Arc<Control>>) -> Answer {
    tell(StatusCode::OK, &control.ask(Call::State).await.unwrap_or_default())
}

async fn readiness() -> Answer {
    say(StatusCode::OK, "{}")
}

async fn settle(agent: Rc<Agent>, call: Call) {
    match call {
        Call::Heartbeat(beat, reply) => drop(reply.send(agent.beat(beat).await)),
        Call::Left(id, reply) => drop(reply.send(agent.left(&id.into()).await)),
        Call::Where(reply) => drop(reply.send(agent.settled_at())),
        Call::State(reply) => drop(reply.send(agent.state())),
        Call::Get(reply) => {
            let newest = agent.newest().await;
            let _ = reply.send(newest.map(|stored| stored.map(|f| f.compressed_text)));
        }
        Call::Put(body, reply) => {
            let put = agent.put(&body).await;
            match &put {
                Put::Held(version) => info!(agent.log, "configuration taken"; "version" => version),
                Put::Invalid(faults) => {
                    warn!(agent.log, "configuration refused"; "faults" => faults.join("; "))
                }
                Put::Conflict { version, held } => {
                    warn!(agent.log, "configuration refused, its version was decided with another text";
                        "version" => version, "held" => held)
                }
                Put::Unclear => warn!(agent.log, "no majority of disks answers"),
            }
            let _ = reply.send(put);
        }
    }
}

/// Serves the calls that come to this listener.
pub async fn run(listener: TcpListener, beat_target: String, agent: Rc<Agent>) {
    let (calls, mut coming) = mpsc::unbounded_channel();
    let router = Arc::new(Control { calls, beat_target }).router();
    let settling = async {
        while let Some(call) = coming.recv().await {
            tokio::task::spawn_local(settle(agent.clone(), call));
        }
    };
    let accepting = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let service = TowerToHyperService::new(router.clone());
            tokio::task::spawn_local(async move {
                let mut http = hyper::server::conn::http1::Builder::new();
                http.timer(TokioTimer::new()).header_read_timeout(HEAD_LIMIT);
                let _ = http.serve_connection(TokioIo::new(stream), service).await;
            });
        }
    };
    tokio::join!(settling, accepting);
}
