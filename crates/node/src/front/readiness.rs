//! The HTTP listener of the platform's readiness check and of the status report.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use axum::http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::ACCEPT_RETRY_DELAY;
use super::response::text_response;
use crate::agent::Agent;

/// Time within which the head of a request must be complete, and after which an idle connection is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the readiness check, which reports whether this process accepts clients, and the status report.
pub async fn serve_readiness(listener: TcpListener, agent: Rc<Agent>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let agent = agent.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                let agent = agent.clone();
                async move {
                    Ok::<_, Infallible>(match request.uri().path() {
                        "/api/readiness" if agent.is_ready() => text_response(StatusCode::OK, "ready\n"),
                        "/api/readiness" => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
                        "/api/state" => Response::new(Full::new(agent.status().to_string().into())),
                        _ => text_response(StatusCode::NOT_FOUND, "no such call\n"),
                    })
                }
            });
            let mut http = hyper::server::conn::http1::Builder::new();
            http.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
            let _ = http.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
