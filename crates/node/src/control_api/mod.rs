//! HTTP interface for servers and operators.
//!
//! Handlers have to be `Send`, which the agent is not. They pass each call as a [`ControlCall`] through a
//! channel to a task on the agent's thread, which sends back the answer.

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

/// Longest request body, which limits the size of a configuration.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time within which the head of a request must be complete, and after which an idle connection is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept; file descriptors may have been freed by then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State shared by the handlers.
struct ControlApi {
    calls: mpsc::UnboundedSender<ControlCall>,
    /// Address to which servers are told to send their next heartbeats.
    heartbeat_target: String,
}

impl ControlApi {
    /// Passes a call to the agent and waits for the answer. Returns `None` if the process exits in the
    /// meantime.
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

/// Serves the control calls on a listener until the returned future is dropped.
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
        // If the option cannot be set, responses are only delayed.
        let _ = stream.set_nodelay(true);
        let service = TowerToHyperService::new(router.clone());
        tokio::task::spawn_local(async move {
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            // The client notices if the connection ends with an error.
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Redirects calls to a linked control node if this process is a gateway, which cannot answer them itself.
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
