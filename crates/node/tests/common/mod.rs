//! A whole system in one process on loopback, and servers of our own beside it that answer as they are told.

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

/// Time within which something that must come about has: what it waits for is real disks and sockets, and how many
/// tries fit into that depends on what else the machine does.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// A request or an answer as it stood on the wire.
#[derive(Clone, Debug, Default)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub(crate) fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; none where the connection ends before it is whole.
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

/// What a server does with a request: the bytes that it sends, and whether it then closes.
pub(crate) type Script = Box<dyn FnMut(&Message) -> (Vec<u8>, bool)>;

pub(crate) struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub requests: Rc<RefCell<Vec<Message>>>,
}

/// A whole answer.
pub(crate) fn build_response(request: &Message, status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let attempt_id = request.header("attempt-id");
    let head = format!(
        "HTTP/1.1 {status}\r\nAttempt-Id: {attempt_id}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

pub(crate) fn sealed_response(request: &Message, seal: &str, body: &[u8]) -> (Vec<u8>, bool) {
    (build_response(request, "200 OK", &format!("Server-Seal: {seal}\r\n"), body), false)
}

pub(crate) async fn start_server(id: &str, service: &str, script: Script) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
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

pub(crate) struct TestSystem {
    pub front: SocketAddr,
    pub control: SocketAddr,
    pub readiness: SocketAddr,
}

/// An address of its own for each system, so that none takes another's ports.
fn unique_ip() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    format!("127.{}.{}.1", 1 + std::process::id() % 250, NEXT.fetch_add(1, Ordering::Relaxed))
}

/// One exchange on a connection of its own.
pub(crate) async fn send_request(to: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = BufReader::new(TcpStream::connect(to).await.ok()?);
    stream.write_all(request.as_bytes()).await.ok()?;
    read_message(&mut stream).await
}

pub(crate) fn put_request(path: &str, body: &str) -> String {
    format!("PUT {path} HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

impl TestSystem {
    /// A system of one machine, which starts on an empty disk.
    pub(crate) fn start(name: &str) -> TestSystem {
        TestSystem::start_with_role(name, Role::Control, None)
    }

    /// A gateway that takes control calls too, beside the control_node of another one.
    pub(crate) fn start_gateway(name: &str, control_node: &TestSystem) -> TestSystem {
        TestSystem::start_with_role(name, Role::Gateway, Some(control_node.control))
    }

    fn start_with_role(name: &str, role: Role, control_address: Option<SocketAddr>) -> TestSystem {
        let data_dir = format!("{}/{name}-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        let _ = std::fs::remove_dir_all(&data_dir);
        let ip = unique_ip();
        let socket_address =
            |port: u16| -> SocketAddr { format!("{ip}:{port}").parse().expect("an address") };
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
        let settings = Settings::parse(&text, name).expect("settings");
        spawn_local(async move {
            let log = Logger::root(Discard, o!());
            serve(role, settings, None, log).await.expect("it serves");
        });
        TestSystem { front, control, readiness }
    }

    /// Tries until the answer is this one.
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
        panic!("never {status}: {request}");
    }

    pub(crate) async fn configure(&self, version: u64, routes: &str, services: &[&str]) {
        let services: Vec<String> =
            services.iter().map(|s| format!(r#"{{"name":"{s}","max-conns":64}}"#)).collect();
        let body =
            format!(r#"{{"version":{version},"routes":[{routes}],"services":[{}]}}"#, services.join(","));
        self.wait_for_status(self.control, &put_request("/api/configuration", &body), 200).await;
    }

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

    /// Until the front takes clients.
    pub(crate) async fn wait_until_ready(&self) {
        self.wait_for_status(self.readiness, "GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n", 200).await;
    }

    pub(crate) async fn get(&self, path: &str, id: &str) -> Message {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 2000\r\n\r\n"
        );
        send_request(self.front, &request).await.expect("a whole answer")
    }
}

pub(crate) fn route_json(name: &str, kind: &str, target: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"h.example","path-prefix":"/{name}/","kind":"{kind}","deadline-ms":2000,
            "target-ms":400,{target},"max-tries":2}}"#
    )
}

/// Runs a test's tasks on one thread.
pub(crate) fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
