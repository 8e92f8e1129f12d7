//! Behaviour of the HTTP library that the pool and the front rely on: how it matches a response to a request,
//! and when it closes a connection. A release of the library that behaves differently fails here.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use axum::http::{Request, Response};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _, DuplexStream, duplex};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Simulated time after which a side that has sent nothing is taken to send nothing more.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// Runs a test on one thread with simulated time.
fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime is created"), test);
}

type Sender = SendRequest<Full<Bytes>>;

/// Opens a client connection of the library, and returns it with its peer, the server's end of the stream.
async fn client() -> (Sender, DuplexStream) {
    let (library_end, peer) = duplex(1 << 16);
    let (mut sender, connection) =
        handshake(TokioIo::new(library_end)).await.expect("the server end is open");
    spawn_local(connection);
    sender.ready().await.expect("the connection was just opened");
    (sender, peer)
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/")
        .header("host", "h")
        .body(Full::new(Bytes::from_static(b"body")))
        .expect("the request is valid")
}

/// Reads until nothing more arrives, and returns the bytes and whether the other side has closed.
async fn read(stream: &mut DuplexStream) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    loop {
        match timeout(SHORT_WAIT, stream.read_buf(&mut bytes)).await {
            Ok(Ok(0) | Err(_)) => return (bytes, true),
            Ok(Ok(_)) => {}
            Err(_) => return (bytes, false),
        }
    }
}

/// Sends a request and responds to it with these bytes. Returns the status and body that the client gets, or
/// why it gets none.
async fn exchange(
    sender: &mut Sender, peer: &mut DuplexStream, response: &[u8],
) -> Result<(u16, Bytes), String> {
    let sending = sender.try_send_request(request());
    let responding = async {
        let (received, _) = read(peer).await;
        assert!(received.ends_with(b"body"), "the request is sent completely");
        peer.write_all(response).await.expect("the client end is open");
    };
    let (result, ()) = tokio::join!(sending, responding);
    let response = result.map_err(|e| format!("message back: {}", e.message().is_some()))?;
    let status = response.status().as_u16();
    let body = timeout(SHORT_WAIT, response.into_body().collect()).await.map_err(|_| "no end".to_owned())?;
    Ok((status, body.map_err(|_| "broken".to_owned())?.to_bytes()))
}

const OK_RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Surplus bytes after a response, sent with it or later, close the connection before it can carry another
/// request.
#[test]
fn surplus_bytes_end_the_connection() {
    run(async {
        for surplus in [&b"x"[..], OK_RESPONSE] {
            let (mut sender, mut peer) = client().await;
            let result = exchange(&mut sender, &mut peer, &[OK_RESPONSE, surplus].concat()).await;
            assert_eq!(result, Ok((200, Bytes::from_static(b"ok"))), "the response before them is complete");
            yield_now().await;
            assert!(!sender.is_ready() && sender.is_closed());
            let (mut sender, mut peer) = client().await;
            exchange(&mut sender, &mut peer, OK_RESPONSE).await.expect("the response is complete");
            sender.ready().await.expect("the connection is reusable");
            peer.write_all(surplus).await.expect("the client end is open");
            let back = sender.try_send_request(request()).await.expect_err("the connection is closed");
            assert!(back.message().is_some(), "nothing of the request was sent");
            assert_eq!(read(&mut peer).await, (Vec::new(), true));
        }
    });
}

/// A surplus response that arrives after the next request was sent is taken for the response to it. Only
/// `Attempt-Id` tells them apart.
#[test]
fn a_surplus_response_after_the_next_request_is_taken_for_its_response() {
    run(async {
        let (mut sender, mut peer) = client().await;
        exchange(&mut sender, &mut peer, OK_RESPONSE).await.expect("the response is complete");
        sender.ready().await.expect("the connection is reusable");
        let stale = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale";
        let result = exchange(&mut sender, &mut peer, stale).await;
        assert_eq!(result, Ok((200, Bytes::from_static(b"stale"))));
    });
}

/// Cancelling a call closes its connection, before the response and in the middle of it. Dropping the sender
/// does so too.
#[test]
fn cancelling_a_call_closes_its_connection() {
    run(async {
        let (mut sender, mut peer) = client().await;
        let result = timeout(SHORT_WAIT, sender.try_send_request(request())).await;
        assert!(result.is_err());
        yield_now().await;
        assert!(sender.is_closed());
        let (sent, closed) = read(&mut peer).await;
        assert!(sent.ends_with(b"body") && closed, "the request is sent once, then the connection is closed");

        let (mut sender, mut peer) = client().await;
        peer.write_all(&OK_RESPONSE[..OK_RESPONSE.len() - 1]).await.expect("the client end is open");
        let response = sender.try_send_request(request()).await;
        drop(response);
        assert!(read(&mut peer).await.1, "dropping an incomplete response closes the connection");

        // If the other side does not read, the request is still sent once it reads again. The pool closes
        // such a connection itself.
        let (mut sender, mut peer) = client().await;
        let long_request =
            Request::post("/").header("host", "h").body(Full::new(Bytes::from(vec![0; 1 << 20])));
        let result =
            timeout(SHORT_WAIT, sender.try_send_request(long_request.expect("the request is valid"))).await;
        assert!(result.is_err());
        sleep(SHORT_WAIT).await;
        let (sent, closed) = read(&mut peer).await;
        assert!(sent.len() > 1 << 20 && closed);

        let (sender, mut peer) = client().await;
        drop(sender);
        assert_eq!(read(&mut peer).await, (Vec::new(), true));
    });
}

/// The library sends no request twice, and returns a request to its caller only if nothing of it was sent.
#[test]
fn a_request_is_returned_only_if_nothing_of_it_was_sent() {
    run(async {
        let (mut sender, peer) = client().await;
        drop(peer);
        let back = sender.try_send_request(request()).await.expect_err("the other side has closed");
        assert!(back.message().is_some());

        let (mut sender, mut peer) = client().await;
        let sending = sender.try_send_request(request());
        let reset = async move {
            let mut first = [0];
            peer.read_exact(&mut first).await.expect("the request is being sent");
        };
        let (result, ()) = tokio::join!(sending, reset);
        assert!(
            result.expect_err("the connection broke").message().is_none(),
            "part of the request was sent"
        );
    });
}

/// Informational responses except 101 are skipped. A body without a length ends with its connection, complete
/// or not.
#[test]
fn unusual_and_invalid_responses() {
    run(async {
        let outcome_of = async |response: &[u8], closes: bool| {
            let (mut sender, mut peer) = client().await;
            let bytes = response.to_vec();
            let responding = spawn_local(async move {
                let (_, _) = read(&mut peer).await;
                peer.write_all(&bytes).await.expect("the client end is open");
                if !closes {
                    sleep(SHORT_WAIT * 10).await;
                }
            });
            let response = sender.try_send_request(request()).await.map_err(|_| "no answer")?;
            let status = response.status().as_u16();
            let body = timeout(SHORT_WAIT, response.into_body().collect()).await.map_err(|_| "no end")?;
            responding.await.expect("the responding task does not panic");
            Ok::<_, &str>((status, body.map_err(|_| "broken")?.to_bytes()))
        };
        let ok = |status, body: &'static str| Ok((status, Bytes::from_static(body.as_bytes())));
        let early = [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n", OK_RESPONSE].concat();
        assert_eq!(outcome_of(&early, false).await, ok(200, "ok"));
        let switching = b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
        assert_eq!(outcome_of(switching, false).await, ok(101, ""));
        assert_eq!(
            outcome_of(b"HTTP/1.1 200 OK\r\n\r\nhal", true).await,
            ok(200, "hal"),
            "a truncated body looks complete"
        );
        let long = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhal";
        assert_eq!(outcome_of(long, true).await, Err("broken"));
        assert_eq!(outcome_of(long, false).await, Err("no end"));
        let chunks = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhal\r\n";
        assert_eq!(outcome_of(chunks, true).await, Err("broken"));
        let two = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok!";
        assert_eq!(outcome_of(two, true).await, Err("no answer"), "two content lengths");
        assert_eq!(outcome_of(b"nonsense\r\n\r\n", true).await, Err("no answer"));
    });
}

/// Serves a connection with a service that reads the body, waits, and responds with path and body. Counts the
/// requests whose handler is dropped before it is done. Returns the client's end of the stream.
async fn server(drop_count: Rc<Cell<u32>>, shutdown: Rc<Notify>) -> DuplexStream {
    /// Counts its drop, unless the request is done.
    struct DropCounter(Rc<Cell<u32>>, bool);
    impl Drop for DropCounter {
        fn drop(&mut self) {
            self.0.set(self.0.get() + u32::from(!self.1));
        }
    }
    impl DropCounter {
        fn done(&mut self) {
            self.1 = true;
        }
    }
    let (library_end, peer) = duplex(1 << 16);
    spawn_local(async move {
        let service = service_fn(|request: Request<Incoming>| {
            let mut drop_counter = DropCounter(drop_count.clone(), false);
            async move {
                let path = request.uri().path().to_owned();
                let body = match path.as_str() {
                    "/unread" => Bytes::new(),
                    _ => request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default(),
                };
                sleep(SHORT_WAIT * 2).await;
                drop_counter.done();
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from([path.as_bytes(), &body].concat()))))
            }
        });
        let http = hyper::server::conn::http1::Builder::new();
        let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(library_end), service));
        tokio::select! {
            _ = connection.as_mut() => {}
            () = shutdown.notified() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    });
    peer
}

/// Waits until nothing more arrives, and returns the responses and whether the server has closed.
async fn responses_until_quiet(peer: &mut DuplexStream) -> (Vec<String>, bool) {
    sleep(SHORT_WAIT * 10).await;
    let (bytes, closed) = read(peer).await;
    let text = String::from_utf8(bytes).expect("responses are UTF-8");
    (text.split("HTTP/1.1 ").skip(1).map(str::to_owned).collect(), closed)
}

/// A client that disconnects cancels the handler of its request. Pipelined requests are handled one after
/// another. The rest of an unread body is not taken for a request. If a request has both framings, chunked
/// encoding takes precedence.
#[test]
fn requests_of_clients_are_cancelled_ordered_and_framed_safely() {
    run(async {
        let (drop_count, shutdown) = (Rc::<Cell<u32>>::default(), Rc::<Notify>::default());
        let server = || server(drop_count.clone(), shutdown.clone());
        let mut peer = server().await;
        peer.write_all(b"GET /left HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("the server end is open");
        sleep(SHORT_WAIT).await;
        drop(peer);
        sleep(SHORT_WAIT / 2).await;
        assert_eq!(drop_count.get(), 1, "its handler is dropped at once");

        let mut peer = server().await;
        let two = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n";
        peer.write_all(two).await.expect("the server end is open");
        let (responses, closed) = responses_until_quiet(&mut peer).await;
        assert!(
            responses.len() == 2 && responses[0].ends_with("/a") && responses[1].ends_with("/b") && !closed,
            "{responses:?}"
        );

        let mut peer = server().await;
        let smuggled = b"POST /unread HTTP/1.1\r\nhost: h\r\ncontent-length: 90000\r\n\r\n";
        peer.write_all(smuggled).await.expect("the server end is open");
        sleep(SHORT_WAIT).await;
        peer.write_all(b"GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("the server end is open");
        let (responses, closed) = responses_until_quiet(&mut peer).await;
        assert!(responses.len() == 1 && responses[0].ends_with("/unread") && closed, "{responses:?}");

        let mut peer = server().await;
        let both = b"POST /both HTTP/1.1\r\nhost: h\r\ncontent-length: 40\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        peer.write_all(both).await.expect("the server end is open");
        let (responses, _) = responses_until_quiet(&mut peer).await;
        assert!(responses.len() == 1 && responses[0].ends_with("/bothab"), "{responses:?}");
    });
}

/// Graceful shutdown closes idle connections, and connections in use after the current response.
#[test]
fn graceful_shutdown_completes_the_request_in_flight() {
    run(async {
        let (drop_count, shutdown) = (Rc::<Cell<u32>>::default(), Rc::<Notify>::default());
        let mut idle = server(drop_count.clone(), shutdown.clone()).await;
        sleep(SHORT_WAIT).await;
        shutdown.notify_one();
        assert_eq!(responses_until_quiet(&mut idle).await, (Vec::new(), true));

        let mut peer = server(drop_count.clone(), shutdown.clone()).await;
        peer.write_all(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("the server end is open");
        sleep(SHORT_WAIT).await;
        shutdown.notify_one();
        let (responses, closed) = responses_until_quiet(&mut peer).await;
        assert!(
            responses.len() == 1
                && responses[0].ends_with("/a")
                && responses[0].contains("connection: close")
                && closed
        );
        assert_eq!(drop_count.get(), 0);
    });
}
