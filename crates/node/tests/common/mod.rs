//! Complete systems of one process each, on loopback addresses, and test servers whose responses are
//! scripted.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use ashvane_node::program::{Role, serve};
use ashvane_node::settings::Settings;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local, yield_now};

/// Time to wait for an expected response. It is long because the systems use real disks and sockets, whose
/// speed depends on the load of the machine.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP request or response as read from a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the status code of a response, or 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Returns the value of a header, given in lower case, or the empty string.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message. Returns `None` if the connection ends before the message is complete.
pub(crate) async fn read_message(stream: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            break;
        }
        lines.push(line);
    }
    let headers: BTreeMap<String, String> = lines[1..]
        .iter()
        .filter_map(|l| l.split_once(':'))
        .map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(Message { start_line: lines.swap_remove(0), headers, body })
}

/// Script of a server: returns the bytes to send for a request, and whether to close the connection
/// afterwards.
pub(crate) type Script = Box<dyn FnMut(&Message) -> (Vec<u8>, bool)>;

/// A test server on loopback.
pub(crate) struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    /// All requests that it has received, in order.
    pub requests: Rc<RefCell<Vec<Message>>>,
}

/// Returns a complete response with the `Attempt-Id` of the request. Each line of `headers` ends with CRLF.
pub(crate) fn build_response(request: &Message, status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let attempt_id = request.header("attempt-id");
    let head = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns what a script returns for a success: a response with a `Server-Seal`, on a connection that stays
/// open.
pub(crate) fn sealed_response(request: &Message, seal: &str, body: &[u8]) -> (Vec<u8>, bool) {
    (build_response(request, "200 OK", &format!("Server-Seal: {seal}\r\n"), body), false)
}

/// Starts a server that handles each request by the script.
pub(crate) async fn start_server(id: &str, service: &str, script: Script) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let requests: Rc<RefCell<Vec<Message>>> = Rc::default();
    let (recorded, script) = (requests.clone(), Rc::new(RefCell::new(script)));
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (recorded, script) = (recorded.clone(), script.clone());
            spawn_local(async move {
                let mut stream = BufReader::new(stream);
                while let Some(request) = read_message(&mut stream).await {
                    let (bytes, close) = script.borrow_mut()(&request);
                    recorded.borrow_mut().push(request);
                    if stream.write_all(&bytes).await.is_err() || close {
                        return;
                    }
                }
            });
        }
    });
    Server { id: id.to_owned(), service: service.to_owned(), address, requests }
}

/// Addresses of a running system.
pub(crate) struct TestSystem {
    pub front: SocketAddr,
    pub control: SocketAddr,
    pub readiness: SocketAddr,
}

/// Returns a new loopback address for each call, so that systems can use the same ports.
fn unique_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    format!("127.{}.{}.1", 1 + std::process::id() % 250, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Sends a request on a new connection. Returns the response, or `None` if it is not complete.
pub(crate) async fn send_request(to: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = BufReader::new(TcpStream::connect(to).await.ok()?);
    stream.write_all(request.as_bytes()).await.ok()?;
    read_message(&mut stream).await
}

/// Returns the text of a PUT request.
pub(crate) fn put_request(path: &str, body: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl TestSystem {
    /// Starts a system of one control node with an empty disk.
    pub(crate) fn start(name: &str) -> TestSystem {
        TestSystem::start_with_role(name, Role::Control, None)
    }

    /// Starts a gateway that listens for control calls too, with the control node of another system as its
    /// seed.
    pub(crate) fn start_gateway(name: &str, control_node: &TestSystem) -> TestSystem {
        TestSystem::start_with_role(name, Role::Gateway, Some(control_node.control))
    }

    fn start_with_role(name: &str, role: Role, control_address: Option<SocketAddr>) -> TestSystem {
        let data_dir = format!("{}/{name}-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        let _ = std::fs::remove_dir_all(&data_dir);
        let ip = unique_ip();
        let socket_address =
            |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("the address is valid") };
        let (front, readiness, control, port) =
            (socket_address(8043), socket_address(8041), socket_address(8047), 7080);
        let seed = control_address.unwrap_or(control);
        let disk = if control_address.is_none() { format!("data-dir = {data_dir:?}") } else { String::new() };
        let text = format!(
            r#"
node = "{name}"
ip = "{ip}"
zone = "a"
internal-ports = [{port}, {port}]
seed-nodes = ["{seed}"]
bootstrap = true
{disk}
beat-interval-ms = 60000
[zones]
a = "r"
[listen]
front = "{front}"
readiness = "{readiness}"
control = "{control}"
"#
        );
        let settings = Settings::parse(&text, name).expect("the settings are valid");
        spawn_local(async move {
            let log = Logger::root(Discard, o!());
            serve(role, settings, None, log).await.expect("the process serves");
        });
        TestSystem { front, control, readiness }
    }

    /// Repeats a request until the response has this status, and returns the response.
    pub(crate) async fn wait_for_status(&self, to: SocketAddr, request: &str, status: u16) -> Message {
        let began = Instant::now();
        while began.elapsed() < CONDITION_TIMEOUT {
            if let Some(response) = send_request(to, request).await
                && response.status() == status
            {
                return response;
            }
            yield_now().await;
        }
        panic!("no response with status {status} within {CONDITION_TIMEOUT:?} to {request}");
    }

    /// Puts a configuration, until it is accepted.
    pub(crate) async fn configure(&self, version: u64, routes: &str, services: &[&str]) {
        let services: Vec<String> =
            services.iter().map(|s| format!(r#"{{"name":"{s}","max-conns":64}}"#)).collect();
        let body =
            format!(r#"{{"version":{version},"routes":[{routes}],"services":[{}]}}"#, services.join(","));
        self.wait_for_status(self.control, &put_request("/api/configuration", &body), 200).await;
    }

    /// Sends a heartbeat of a server, until it is accepted.
    pub(crate) async fn send_heartbeat(&self, server: &Server, state: &str, seq: u64) {
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"a","capacity":4,"state":"{state}","call-seq":{seq}}}"#,
            server.service, server.address
        );
        self.wait_for_status(
            self.control,
            &put_request(&format!("/api/instances/{}", server.id), &body),
            200,
        )
        .await;
    }

    /// Waits until the system reports that it is ready for clients.
    pub(crate) async fn wait_until_ready(&self) {
        self.wait_for_status(self.readiness, "GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n", 200).await;
    }

    /// Sends a query through the gateway and returns the response.
    pub(crate) async fn get(&self, path: &str, id: &str) -> Message {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n"
        );
        send_request(self.front, &request).await.expect("the response is complete")
    }
}

/// Returns the JSON text of a route. `target` holds the keys that name its service or services.
pub(crate) fn route_json(name: &str, kind: &str, target: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h.example","path-prefix":"/{name}/","kind":"{kind}","deadline-ms":2000,
            "target-ms":400,{target},"max-tries":2}}"#
    )
}

/// Runs a test and its tasks on one thread, with real time.
pub(crate) fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime can be created");
    LocalSet::new().block_on(&runtime, test);
}
