//! What the pool and the front rely on of the HTTP library: how it ties an answer to a request, and when it ends a
//! connection. A release of it that does otherwise fails here.

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

const A_WHILE: Duration = Duration::from_millis(100);

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

type Sender = SendRequest<Full<Bytes>>;

/// A connection of the client's side, and its far end.
async fn client() -> (Sender, DuplexStream) {
    let (near, far) = duplex(1 << 16);
    let (mut sender, connection) = handshake(TokioIo::new(near)).await.expect("a connection");
    spawn_local(connection);
    sender.ready().await.expect("it is up");
    (sender, far)
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/").header("host", "h").body(Full::new(Bytes::from_static(b"body"))).expect("a request")
}

/// What comes until nothing more does, and whether the other side has closed then.
async fn read(stream: &mut DuplexStream) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    loop {
        match timeout(A_WHILE, stream.read_buf(&mut bytes)).await {
            Ok(Ok(0) | Err(_)) => return (bytes, true),
            Ok(Ok(_)) => {}
            Err(_) => return (bytes, false),
        }
    }
}

/// Sends a request and has it answered with these bytes; says what came of it, or why nothing did.
async fn exchange(
    sender: &mut Sender, far: &mut DuplexStream, answer: &[u8],
) -> Result<(u16, Bytes), String> {
    let sent = sender.try_send_request(request());
    let answering = async {
        let (asked, _) = read(far).await;
        assert!(asked.ends_with(b"body"), "it is sent whole");
        far.write_all(answer).await.expect("it is read");
    };
    let (answered, ()) = tokio::join!(sent, answering);
    let response = answered.map_err(|e| format!("message back: {}", e.message().is_some()))?;
    let status = response.status().as_u16();
    let body = timeout(A_WHILE, response.into_body().collect()).await.map_err(|_| "no end".to_owned())?;
    Ok((status, body.map_err(|_| "broken".to_owned())?.to_bytes()))
}

const WELL: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Bytes behind an answer end the connection before it can carry another request, with the answer or after it.
#[test]
fn surplus_bytes_end_the_connection() {
    run(async {
        for rest in [&b"x"[..], WELL] {
            let (mut sender, mut far) = client().await;
            let answered = exchange(&mut sender, &mut far, &[WELL, rest].concat()).await;
            assert_eq!(answered, Ok((200, Bytes::from_static(b"ok"))), "the answer before them is whole");
            yield_now().await;
            assert!(!sender.is_ready() && sender.is_closed());
            let (mut sender, mut far) = client().await;
            exchange(&mut sender, &mut far, WELL).await.expect("an answer");
            sender.ready().await.expect("it may be used again");
            far.write_all(rest).await.expect("it is open");
            let back = sender.try_send_request(request()).await.expect_err("it is not sent");
            assert!(back.message().is_some(), "nothing of it was sent");
            assert_eq!(read(&mut far).await, (Vec::new(), true));
        }
    });
}

/// What comes once the next request is out is taken for its answer: only the id tells.
#[test]
fn what_comes_after_the_next_request_is_taken_for_its_answer() {
    run(async {
        let (mut sender, mut far) = client().await;
        exchange(&mut sender, &mut far, WELL).await.expect("an answer");
        sender.ready().await.expect("it may be used again");
        let stale = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstale";
        let answered = exchange(&mut sender, &mut far, stale).await;
        assert_eq!(answered, Ok((200, Bytes::from_static(b"stale"))));
    });
}

/// A call that is given up ends its connection, before the answer and inside it; so does a handle that is dropped.
#[test]
fn what_is_given_up_ends_the_connection() {
    run(async {
        let (mut sender, mut far) = client().await;
        let given_up = timeout(A_WHILE, sender.try_send_request(request())).await;
        assert!(given_up.is_err());
        yield_now().await;
        assert!(sender.is_closed());
        let (sent, closed) = read(&mut far).await;
        assert!(sent.ends_with(b"body") && closed, "sent once, then closed");

        let (mut sender, mut far) = client().await;
        far.write_all(&WELL[..WELL.len() - 1]).await.expect("it is open");
        let response = sender.try_send_request(request()).await;
        drop(response);
        assert!(read(&mut far).await.1, "half an answer, dropped");

        // Not so where the other side stands still: what is being sent goes out once it reads on. The pool ends it.
        let (mut sender, mut far) = client().await;
        let long = Request::post("/").header("host", "h").body(Full::new(Bytes::from(vec![0; 1 << 20])));
        let given_up = timeout(A_WHILE, sender.try_send_request(long.expect("a request"))).await;
        assert!(given_up.is_err());
        sleep(A_WHILE).await;
        let (sent, closed) = read(&mut far).await;
        assert!(sent.len() > 1 << 20 && closed);

        let (sender, mut far) = client().await;
        drop(sender);
        assert_eq!(read(&mut far).await, (Vec::new(), true));
    });
}

/// The library sends nothing twice, and hands a request back only if none of it was sent.
#[test]
fn a_request_comes_back_only_if_nothing_of_it_was_sent() {
    run(async {
        let (mut sender, far) = client().await;
        drop(far);
        let back = sender.try_send_request(request()).await.expect_err("the other side is gone");
        assert!(back.message().is_some());

        let (mut sender, mut far) = client().await;
        let sent = sender.try_send_request(request());
        let end = async move {
            let mut first = [0];
            far.read_exact(&mut first).await.expect("it is being sent");
        };
        let (sent, ()) = tokio::join!(sent, end);
        assert!(sent.expect_err("it broke off").message().is_none(), "some of it was sent");
    });
}

/// Informational answers are passed over, but for 101; a body without a length ends with its connection, whole or not.
#[test]
fn what_the_library_makes_of_odd_answers() {
    run(async {
        let answered = async |answer: &[u8], closes: bool| {
            let (mut sender, mut far) = client().await;
            let bytes = answer.to_vec();
            let answering = spawn_local(async move {
                let (_, _) = read(&mut far).await;
                far.write_all(&bytes).await.expect("it is read");
                if !closes {
                    sleep(A_WHILE * 10).await;
                }
            });
            let response = sender.try_send_request(request()).await.map_err(|_| "no answer")?;
            let status = response.status().as_u16();
            let body = timeout(A_WHILE, response.into_body().collect()).await.map_err(|_| "no end")?;
            answering.await.expect("it is said");
            Ok::<_, &str>((status, body.map_err(|_| "broken")?.to_bytes()))
        };
        let ok = |status, body: &'static str| Ok((status, Bytes::from_static(body.as_bytes())));
        let early = [b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\n\r\n", WELL].concat();
        assert_eq!(answered(&early, false).await, ok(200, "ok"));
        let switching = b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";
        assert_eq!(answered(switching, false).await, ok(101, ""));
        assert_eq!(answered(b"HTTP/1.1 200 OK\r\n\r\nhal", true).await, ok(200, "hal"), "looks whole");
        let long = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhal";
        assert_eq!(answered(long, true).await, Err("broken"));
        assert_eq!(answered(long, false).await, Err("no end"));
        let chunks = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhal\r\n";
        assert_eq!(answered(chunks, true).await, Err("broken"));
        let two = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok!";
        assert_eq!(answered(two, true).await, Err("no answer"), "two lengths");
        assert_eq!(answered(b"nonsense\r\n\r\n", true).await, Err("no answer"));
    });
}

/// A service that notes the bodies that it got and answers after a while, on a connection of the server's side.
async fn server(dropped: Rc<Cell<u32>>, end: Rc<Notify>) -> DuplexStream {
    struct Dropped(Rc<Cell<u32>>, bool);
    impl Drop for Dropped {
        fn drop(&mut self) {
            self.0.set(self.0.get() + u32::from(!self.1));
        }
    }
    impl Dropped {
        fn done(&mut self) {
            self.1 = true;
        }
    }
    let (near, far) = duplex(1 << 16);
    spawn_local(async move {
        let service = service_fn(|request: Request<Incoming>| {
            let mut left = Dropped(dropped.clone(), false);
            async move {
                let path = request.uri().path().to_owned();
                let body = match path.as_str() {
                    "/unread" => Bytes::new(),
                    _ => request.into_body().collect().await.map(|b| b.to_bytes()).unwrap_or_default(),
                };
                sleep(A_WHILE * 2).await;
                left.done();
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from([path.as_bytes(), &body].concat()))))
            }
        });
        let http = hyper::server::conn::http1::Builder::new();
        let mut connection = std::pin::pin!(http.serve_connection(TokioIo::new(near), service));
        tokio::select! {
            _ = connection.as_mut() => {}
            () = end.notified() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
            }
        }
    });
    far
}

async fn answers(far: &mut DuplexStream) -> (Vec<String>, bool) {
    sleep(A_WHILE * 10).await;
    let (bytes, closed) = read(far).await;
    let text = String::from_utf8(bytes).expect("text");
    (text.split("HTTP/1.1 ").skip(1).map(str::to_owned).collect(), closed)
}

/// A client that leaves takes its request's service along; one that is served is answered before the next is begun; the rest
/// of a body that was not read is no request; of two framings the chunks hold.
#[test]
fn what_the_library_does_for_clients() {
    run(async {
        let (dropped, end) = (Rc::<Cell<u32>>::default(), Rc::<Notify>::default());
        let server = || server(dropped.clone(), end.clone());
        let mut far = server().await;
        far.write_all(b"GET /left HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("open");
        sleep(A_WHILE).await;
        drop(far);
        sleep(A_WHILE / 2).await;
        assert_eq!(dropped.get(), 1, "its service ends at once");

        let mut far = server().await;
        let two = b"GET /a HTTP/1.1\r\nhost: h\r\n\r\nGET /b HTTP/1.1\r\nhost: h\r\n\r\n";
        far.write_all(two).await.expect("open");
        let (said, closed) = answers(&mut far).await;
        assert!(said.len() == 2 && said[0].ends_with("/a") && said[1].ends_with("/b") && !closed, "{said:?}");

        let mut far = server().await;
        let smuggled = b"POST /unread HTTP/1.1\r\nhost: h\r\ncontent-length: 90000\r\n\r\n";
        far.write_all(smuggled).await.expect("open");
        sleep(A_WHILE).await;
        far.write_all(b"GET /smuggled HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("open");
        let (said, closed) = answers(&mut far).await;
        assert!(said.len() == 1 && said[0].ends_with("/unread") && closed, "{said:?}");

        let mut far = server().await;
        let both = b"POST /both HTTP/1.1\r\nhost: h\r\ncontent-length: 40\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n";
        far.write_all(both).await.expect("open");
        let (said, _) = answers(&mut far).await;
        assert!(said.len() == 1 && said[0].ends_with("/bothab"), "{said:?}");
    });
}

/// An end that is asked for closes what rests and lets come what is under way, and no further request after it.
#[test]
fn an_orderly_end_lets_come_what_is_under_way() {
    run(async {
        let (dropped, end) = (Rc::<Cell<u32>>::default(), Rc::<Notify>::default());
        let mut resting = server(dropped.clone(), end.clone()).await;
        sleep(A_WHILE).await;
        end.notify_one();
        assert_eq!(answers(&mut resting).await, (Vec::new(), true));

        let mut far = server(dropped.clone(), end.clone()).await;
        far.write_all(b"GET /a HTTP/1.1\r\nhost: h\r\n\r\n").await.expect("open");
        sleep(A_WHILE).await;
        end.notify_one();
        let (said, closed) = answers(&mut far).await;
        assert!(
            said.len() == 1 && said[0].ends_with("/a") && said[0].contains("connection: close") && closed
        );
        assert_eq!(dropped.get(), 0);
    });
}
