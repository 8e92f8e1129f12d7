//! The admin listener, which reports memory use by purpose as JSON and as metrics. It is off unless the
//! settings state a loopback address for it. It charges no purpose, so that it answers even if all caps are
//! reached.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use ashvane_memory::{Ledger, Table};
use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, HeaderValue};
use axum::http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

use crate::protocol::query;

/// Maximum number of open connections: an operator and one or two scrapers. Their descriptors are part of
/// `RESERVED_SOCKETS`.
const MAX_CONNECTIONS: usize = 8;
/// Maximum duration of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a request head must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum length of a request head.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// What the admin listener reports on.
pub(crate) struct Admin {
    pub ledger: Ledger,
    /// Returns the number of bytes that are allocated.
    pub allocated_bytes: fn() -> u64,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct PurposeLabel {
    purpose: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TenantLabel {
    purpose: &'static str,
    tenant: String,
}

/// Encodes the table as metrics in the OpenMetrics text format.
fn encode_metrics(table: &Table) -> Result<String, std::fmt::Error> {
    let mut registry = Registry::with_prefix("ashvane_memory");
    let register_gauge = |registry: &mut Registry, name: &str, help: &str, value: i64| {
        let gauge = <Gauge>::default();
        gauge.set(value);
        registry.register_with_unit(name, help, Unit::Bytes, gauge);
    };
    register_gauge(&mut registry, "live", "What the allocator has given out", table.live as i64);
    register_gauge(&mut registry, "attributed", "What all purposes have open", table.sum as i64);
    register_gauge(&mut registry, "unattributed", "What is live and has no purpose", table.unattributed);
    register_gauge(&mut registry, "total", "What all purposes may take together", table.total as i64);
    let gauges = || Family::<PurposeLabel, Gauge>::default();
    let (open, peak, cap, reserve) = (gauges(), gauges(), gauges(), gauges());
    let refused = Family::<PurposeLabel, Counter>::default();
    let tenants = Family::<TenantLabel, Gauge>::default();
    for row in &table.purposes {
        let label = PurposeLabel { purpose: row.purpose };
        let values = [(&open, row.now), (&peak, row.peak), (&cap, row.cap), (&reserve, row.reserve)];
        for (family, value) in values {
            family.get_or_create(&label).set(value as i64);
        }
        refused.get_or_create(&label).inc_by(row.refused);
        for entry in &row.tenants {
            let label = TenantLabel { purpose: row.purpose, tenant: entry.tenant.clone() };
            tenants.get_or_create(&label).set(entry.now as i64);
        }
    }
    registry.register_with_unit("open", "What a purpose has open", Unit::Bytes, open);
    registry.register_with_unit("peak", "The most it has had open", Unit::Bytes, peak);
    registry.register_with_unit("cap", "The most it may have open", Unit::Bytes, cap);
    registry.register_with_unit("reserve", "What is kept for it", Unit::Bytes, reserve);
    registry.register("refused", "How often there was no room", refused);
    registry.register_with_unit("tenant_open", "What a tenant has open", Unit::Bytes, tenants);
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry)?;
    Ok(text)
}

impl Admin {
    /// Answers a request.
    fn answer(&self, request: &Request<Incoming>) -> Response<Body> {
        if request.method() != Method::GET {
            return query::text_response(StatusCode::METHOD_NOT_ALLOWED, "only GET");
        }
        let table = || self.ledger.table((self.allocated_bytes)());
        let (content_type, text) = match request.uri().path() {
            "/memory" => ("application/json", serde_json::to_string(&table()).ok()),
            "/metrics" => {
                ("application/openmetrics-text; version=1.0.0; charset=utf-8", encode_metrics(&table()).ok())
            }
            _ => return query::text_response(StatusCode::NOT_FOUND, "there are /memory and /metrics"),
        };
        let Some(text) = text else {
            return query::text_response(StatusCode::INTERNAL_SERVER_ERROR, "not told");
        };
        let mut answer = Response::new(Body::from(text));
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
        answer
    }

    /// Serves one connection.
    async fn serve(self: Arc<Self>, stream: TcpStream) {
        let service = service_fn(|request| {
            let answer = self.answer(&request);
            async move { Ok::<_, Infallible>(answer) }
        });
        let mut http = hyper::server::conn::http1::Builder::new();
        // Each connection serves one request. With keep-alive, the connection timeout could interrupt a later
        // request.
        http.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
        http.keep_alive(false);
        // A failure is ignored, because the client can retry.
        let _ = timeout(CONNECTION_TIMEOUT, http.serve_connection(TokioIo::new(stream), service)).await;
    }

    /// Accepts and serves connections.
    pub(crate) async fn run(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = permits.clone().acquire_owned().await else { return };
            match listener.accept().await {
                Ok((stream, _)) => {
                    let admin = self.clone();
                    tokio::task::spawn_local(async move {
                        admin.serve(stream).await;
                        drop(permit);
                    });
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }
}
