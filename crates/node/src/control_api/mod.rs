//! The HTTP calls of servers and operators, each declared beside its handler.
//!
//! Handlers run in tasks of their own and have to be `Send`; the agent is not. They hand a [`ControlCall`] to one task beside
//! the agent, which answers it.

mod call;
mod heartbeat_request;
mod response;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, Request, State};
use axum::http::{HeaderValue, StatusCode, header};
use axum::middleware::{self, Next};
use axum::routing::{get, put};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use self::call::ControlCall;
use self::response::{ApiResponse, faults_response, json_text, json_value, no_quorum_response};
use crate::agent::{Agent, PutOutcome};
use crate::compression;

/// The longest configuration that is read, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time in which a head must be complete, and for which an idle connection is kept.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after a failed accept: descriptors may be free by then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// What handlers share.
struct ControlApi {
    calls: mpsc::UnboundedSender<ControlCall>,
    /// Where servers are asked to send their later heartbeats.
    heartbeat_target: String,
}

impl ControlApi {
    /// Hands a call to the agent; none where the process ends meanwhile.
    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> ControlCall) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).ok()?;
        answer.await.ok()
    }

    fn router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/api/instances/{id}", put(put_instance).delete(delete_instance))
            .route("/api/configuration", put(put_configuration).get(get_configuration))
            .layer(middleware::from_fn_with_state(self.clone(), redirect))
            .route("/api/state", get(get_state))
            .route("/api/readiness", get(get_readiness))
            .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
            .with_state(self)
    }
}

/// Answers the calls that come to this listener, as long as it is polled.
pub async fn run(listener: TcpListener, heartbeat_target: String, agent: Rc<Agent>) {
    let (calls, mut queue) = mpsc::unbounded_channel();
    let router = Arc::new(ControlApi { calls, heartbeat_target }).router();
    let answering = async {
        while let Some(call) = queue.recv().await {
            tokio::task::spawn_local(call.answer(agent.clone()));
        }
    };
    tokio::join!(answering, accept(listener, router));
}

async fn accept(listener: TcpListener, router: Router) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A socket that refuses this is only slower.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        tokio::task::spawn_local(async move {
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            // However the connection ends, its client knows.
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A process without a disk accepts every call and sends the caller on to one that can answer it.
async fn redirect(State(api): State<Arc<ControlApi>>, request: Request, next: Next) -> ApiResponse {
    let Some(Some(address)) = api.call(ControlCall::Redirect).await else { return next.run(request).await };
    let location = format!("http://{address}{}", request.uri().path());
    let mut response = json_text(StatusCode::TEMPORARY_REDIRECT, "");
    if let Ok(location) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}

async fn put_instance(
    State(api): State<Arc<ControlApi>>, Path(id): Path<String>, body: Bytes,
) -> ApiResponse {
    let heartbeat = match heartbeat_request::parse(id.into(), &body) {
        Ok(heartbeat) => heartbeat,
        Err(faults) => return faults_response(StatusCode::BAD_REQUEST, &faults),
    };
    match api.call(|reply| ControlCall::Heartbeat(heartbeat, reply)).await {
        Some(Ok(())) => json_value(StatusCode::OK, &json!({"beat-target": api.heartbeat_target})),
        _ => no_quorum_response(),
    }
}

async fn delete_instance(State(api): State<Arc<ControlApi>>, Path(id): Path<String>) -> ApiResponse {
    match api.call(|reply| ControlCall::Deregister(id.into(), reply)).await {
        Some(Ok(())) => json_text(StatusCode::OK, "{}"),
        _ => no_quorum_response(),
    }
}

async fn put_configuration(State(api): State<Arc<ControlApi>>, body: Bytes) -> ApiResponse {
    match api.call(|reply| ControlCall::PutConfig(body, reply)).await {
        Some(PutOutcome::Accepted { version }) => json_value(StatusCode::OK, &json!({"version": version})),
        Some(PutOutcome::Invalid(faults)) => faults_response(StatusCode::BAD_REQUEST, &faults),
        Some(PutOutcome::Conflict { version, in_force }) => {
            let fault = format!("version {version} was decided with another text; version {in_force} holds");
            json_value(StatusCode::CONFLICT, &json!({"faults": [fault], "version": in_force}))
        }
        Some(PutOutcome::Unknown(_)) | None => no_quorum_response(),
    }
}

async fn get_configuration(State(api): State<Arc<ControlApi>>) -> ApiResponse {
    let Some(Ok(newest)) = api.call(ControlCall::GetConfig).await else { return no_quorum_response() };
    let Some(config) = newest else {
        return json_value(StatusCode::NOT_FOUND, &json!({"faults": ["there is none yet"]}));
    };
    match compression::decompress(&config.compressed_text) {
        Ok(text) => json_text(StatusCode::OK, text),
        Err(_) => no_quorum_response(),
    }
}

async fn get_state(State(api): State<Arc<ControlApi>>) -> ApiResponse {
    json_value(StatusCode::OK, &api.call(ControlCall::Status).await.unwrap_or_default())
}

async fn get_readiness() -> ApiResponse {
    json_text(StatusCode::OK, "{}")
}
