//! The HTTP listener for clients. Reads each request to its end, finds its route, passes it to the data plane
//! and sends the response.

mod client_connections;
mod lingering_stream;
mod readiness;
mod response;

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use axum::http::{HeaderName, HeaderValue, Request, StatusCode, Uri, header};
use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

use self::client_connections::{ClientConnection, InFlightRequest, RequestPosition};
use self::lingering_stream::LingeringStream;
use self::response::{HttpResponse, encode_reply, rejection_response, text_response};
use crate::agent::Agent;
use crate::config::{Config, Limits};
use crate::data_plane::{DataPlane, Reply};
use crate::pool::{ATTEMPT_ID, ForwardedRequest, Stream, remove_hop_by_hop_headers, single_header};

pub use self::client_connections::{ClientConnections, RequestOrigin};
pub use self::readiness::serve_readiness;

const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Smallest `max_buf_size` that hyper accepts.
const MIN_HTTP_BUFFER_BYTES: usize = 8 * 1024;
/// Delay before `accept` is called again after it failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// `Retry-After` for requests that arrive before a configuration is in force. A restart of the whole system
/// takes about this long.
const RETRY_AFTER_WITHOUT_CONFIG: Duration = Duration::from_millis(700);
/// `Retry-After` for requests that were not read completely before the process exits. Other gateways take them.
const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_millis(50);

/// Reads a request body to its end, within the limits on its length and time. A request whose body is incomplete
/// when the last requests are answered is rejected.
async fn read_body(
    body: Incoming, limits: &Limits, clients: &ClientConnections,
) -> Result<Bytes, HttpResponse> {
    let body_too_long = || text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n");
    if body.size_hint().lower() > limits.body_bytes as u64 {
        return Err(body_too_long());
    }
    let result = tokio::select! {
        biased;
        result = timeout(limits.idle_timeout, Limited::new(body, limits.body_bytes).collect()) => result,
        () = clients.last_answers_due() => return Err(rejection_response(Some(RETRY_AFTER_SHUTDOWN))),
    };
    match result.map_err(|_| text_response(StatusCode::REQUEST_TIMEOUT, "the body did not come\n"))? {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(body_too_long()),
        Err(_) => Err(text_response(StatusCode::BAD_REQUEST, "the body is broken\n")),
    }
}

/// Reads a request, submits it to the data plane and waits for the reply.
async fn handle_request(
    request: Request<Incoming>, position: RequestPosition, config: Option<Rc<Config>>,
    data_plane: &Rc<DataPlane>, clients: &Rc<ClientConnections>,
) -> HttpResponse {
    let received_at = Instant::now();
    let Some(config) = config else { return rejection_response(Some(RETRY_AFTER_WITHOUT_CONFIG)) };
    let (mut head, body) = request.into_parts();
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or_default();
    let Some(route) = config.route(host, head.uri.path()).cloned() else {
        return text_response(StatusCode::NOT_FOUND, "no route\n");
    };
    let Some(attempt_id) = single_header(&head.headers, &ATTEMPT_ID).cloned() else {
        return text_response(StatusCode::BAD_REQUEST, "one Attempt-Id is needed\n");
    };
    let requested = head.headers.get(DEADLINE_MS).and_then(|d| d.to_str().ok()?.parse::<u64>().ok());
    let deadline = requested.map_or(route.deadline, |ms| Duration::from_millis(ms).min(route.deadline));
    let body = match read_body(body, &config.limits, clients).await {
        Ok(body) => body,
        Err(response) => return response,
    };
    remove_hop_by_hop_headers(&mut head.headers);
    let forwarded = ForwardedRequest {
        method: head.method,
        // Servers expect a path and query, also where the client sent the absolute form of the URI.
        uri: head.uri.path_and_query().cloned().map_or(head.uri, Uri::from),
        headers: head.headers,
        body,
        attempt_id,
        at_most_once: !route.is_idempotent,
        sent_to: RefCell::default(),
    };
    let RequestPosition { connection, position } = position;
    let origin = RequestOrigin { connection, position, received_at, deadline: received_at + deadline };
    let (query_id, reply) = data_plane.submit(&route, forwarded, origin.deadline);
    let in_flight_request = InFlightRequest::new(data_plane.clone(), query_id, origin, clients.clone());
    let response = encode_reply(reply.await.unwrap_or(Reply::Aborted));
    in_flight_request.answered(response.status().as_u16());
    response
}

/// Serves one connection of a client until it closes. The connection counts as open from this call on.
pub fn serve_connection(
    stream: impl Stream, agent: Rc<Agent>, data_plane: Rc<DataPlane>, clients: Rc<ClientConnections>,
) -> impl Future<Output = ()> {
    let (id, connection) = clients.add();
    async move {
        let (stream, lingering) = LingeringStream::new(stream);
        serve_requests(stream, id, &connection, &agent, &data_plane, &clients).await;
        lingering.close().await;
        clients.remove(id);
    }
}

/// Serves the requests of a connection, one after another, until it closes.
async fn serve_requests(
    stream: impl Stream, id: u64, client_connection: &ClientConnection, agent: &Rc<Agent>,
    data_plane: &Rc<DataPlane>, clients: &Rc<ClientConnections>,
) {
    let limits = agent.config().map_or(Limits::default(), |c| c.limits);
    let service = service_fn(|request| async move {
        let position = client_connection.next_request(id);
        let mut response = handle_request(request, position, agent.config(), data_plane, clients).await;
        if agent.is_shutting_down() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        Ok::<_, Infallible>(response)
    });
    let mut http = hyper::server::conn::http1::Builder::new();
    // The time-out starts at the previous response, so it covers the idle time and the transfer of the next
    // head.
    http.timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HTTP_BUFFER_BYTES));
    let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(stream), service));
    loop {
        tokio::select! {
            // A request that has arrived is read before the connection is closed.
            biased;
            _ = connection.as_mut() => return,
            () = client_connection.shutdown_signal.notified() => connection.as_mut().graceful_shutdown(),
        }
    }
}

/// Accepts connections of clients and serves each in a task of its own, until the listener must close. What waits
/// in its backlog then is served as well.
pub async fn accept_clients(
    listener: TcpListener, agent: Rc<Agent>, data_plane: Rc<DataPlane>, clients: Rc<ClientConnections>,
) {
    let serve = |stream: TcpStream| {
        let _ = stream.set_nodelay(true);
        tokio::task::spawn_local(serve_connection(
            stream,
            agent.clone(),
            data_plane.clone(),
            clients.clone(),
        ));
    };
    clients.listener_opened();
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = clients.listener_close_requested() => break,
        }
    }
    accept_backlog(listener).into_iter().for_each(serve);
    clients.listener_closed();
}

/// Closes a listener, and returns the connections that waited in its backlog.
fn accept_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let accept = || {
        let (stream, _) = listener.accept().ok()?;
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    };
    std::iter::from_fn(accept).collect()
}
