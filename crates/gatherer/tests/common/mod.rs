//! Test environment: starts the built program with simulated discovery, shard servers and clients.
#![allow(dead_code)]

use std::io::Read as _;
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::State;
use axum::http::{StatusCode, Uri};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Maximum time that a test waits for a condition or an answer.
pub(crate) const WAIT_TIMEOUT: Duration = ms(10_000);

/// Waits until a condition holds. Fails the test after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until(what: &str, so: impl Fn() -> bool) {
    wait_until_async(what, async || so()).await;
}

/// Waits until an asynchronous condition holds. Fails the test after [`WAIT_TIMEOUT`].
pub(crate) async fn wait_until_async(what: &str, mut so: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !so().await {
        assert!(Instant::now() < end, "condition not met within {WAIT_TIMEOUT:?}: {what}");
        sleep(ms(5)).await;
    }
}

/// How a simulated shard server handles a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behaviour {
    Answer,
    /// Answers after this time.
    Delayed(Duration),
    /// Never answers.
    Silent,
    /// Never answers on this many first connections, and answers on later ones.
    SilentFirst(usize),
    /// Answers with the status `failed`.
    Failed,
    /// Answers with the status `full`.
    Full,
    /// Answers with values of this length.
    Sized(usize),
    /// Answers with values of this length, except for the last part of each frame.
    WithholdLast(usize),
    /// Closes the connection when a frame has been received.
    Disconnect,
    /// Sends these bytes instead of an answer.
    Raw(&'static [u8]),
    /// Answers and then sends these bytes, or the answer again if there are none.
    AnswerThen(&'static [u8]),
}

/// A frame that a shard server received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedFrame {
    pub connection: usize,
    pub kind: char,
    /// Ids of the parts, or the id of the cancelled part.
    pub ids: Vec<String>,
    pub text: String,
}

/// A simulated shard server.
#[derive(Clone)]
pub(crate) struct Shard {
    pub address: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    pub frames: Arc<Mutex<Vec<ReceivedFrame>>>,
    pub connections: Arc<AtomicU32>,
    pub closed: Arc<AtomicU32>,
}

/// Returns the value that simulated shard servers answer for a part.
pub(crate) fn value_of(id: &str) -> String {
    format!("value-of-{id}")
}

/// Returns the value of a part, padded to `length`.
pub(crate) fn long_value(id: &str, length: usize) -> String {
    format!("{:x<length$}", value_of(id))
}

/// Encodes a frame of this kind.
pub(crate) fn frame(kind: char, rest: &str) -> Vec<u8> {
    let mut bytes = (rest.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(kind as u8);
    bytes.extend_from_slice(rest.as_bytes());
    bytes
}

impl Shard {
    pub(crate) async fn start(behaviour: Behaviour) -> Shard {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let shard = Shard {
            address: listener.local_addr().expect("the listener has an address"),
            behaviour: Arc::new(Mutex::new(behaviour)),
            frames: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
        };
        tokio::spawn(shard.clone().listen(listener));
        shard
    }

    async fn listen(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = self.connections.fetch_add(1, Ordering::SeqCst) as usize;
            let shard = self.clone();
            tokio::spawn(async move {
                let _ = shard.serve(stream, number).await;
                shard.closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    }

    fn behaviour(&self) -> Behaviour {
        *self.behaviour.lock().expect("no task panicked while it held the lock")
    }

    pub(crate) fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("no task panicked while it held the lock") = behaviour;
    }

    /// Returns the received frames of this kind.
    pub(crate) fn frames(&self, kind: char) -> Vec<ReceivedFrame> {
        self.frames
            .lock()
            .expect("no task panicked while it held the lock")
            .iter()
            .filter(|s| s.kind == kind)
            .cloned()
            .collect()
    }

    /// Returns the number of parts that the server has received.
    pub(crate) fn part_count(&self) -> usize {
        self.frames('S').iter().map(|s| s.ids.len()).sum()
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each behaviour of the server; not split yet")]
    async fn serve(&self, mut stream: TcpStream, connection: usize) -> std::io::Result<()> {
        let (answers, mut queue) = tokio::sync::mpsc::unbounded_channel::<Vec<u8>>();
        let (mut read, mut write) = stream.split();
        let reading = async {
            loop {
                let length = read.read_u32().await? as usize;
                let mut body = vec![0; length];
                read.read_exact(&mut body).await?;
                let (kind, rest) = (body[0] as char, String::from_utf8_lossy(&body[1..]).into_owned());
                let (mut ids, mut text, mut left) = (Vec::new(), String::new(), rest.as_str());
                while kind == 'S' && !left.is_empty() {
                    let (line, more) = left.split_once('\n').expect("the line ends");
                    let words: Vec<&str> = line.split(' ').collect();
                    assert!(words.len() == 4 && words[2].starts_with("d="), "line {line:?}");
                    let length: usize = words[3].parse().expect("the length is a number");
                    ids.push(words[0].to_owned());
                    text = more[..length].to_owned();
                    left = &more[length..];
                }
                if kind == 'C' {
                    ids.push(rest.clone());
                }
                let behaviour = self.behaviour();
                let received = ReceivedFrame { connection, kind, ids: ids.clone(), text };
                self.frames.lock().expect("no task panicked while it held the lock").push(received);
                if kind != 'S' {
                    continue;
                }
                let last = ids.last().cloned();
                for id in ids {
                    let answer = |end: &str, value: &str| frame('R', &format!("{id} {end} 7 -\n{value}"));
                    let (wait, bytes) = match &behaviour {
                        Behaviour::SilentFirst(first) if connection < *first => continue,
                        Behaviour::Answer | Behaviour::SilentFirst(_) => {
                            (Duration::ZERO, answer("done", &value_of(&id)))
                        }
                        Behaviour::Delayed(wait) => (*wait, answer("done", &value_of(&id))),
                        Behaviour::Failed => (Duration::ZERO, answer("failed", "")),
                        Behaviour::Full => (Duration::ZERO, answer("full", "")),
                        Behaviour::WithholdLast(_) if last.as_ref() == Some(&id) => continue,
                        Behaviour::Sized(length) | Behaviour::WithholdLast(length) => {
                            (Duration::ZERO, answer("done", &long_value(&id, *length)))
                        }
                        Behaviour::Raw(bytes) => (Duration::ZERO, bytes.to_vec()),
                        Behaviour::AnswerThen(bytes) => {
                            let good = answer("done", &value_of(&id));
                            let more = if bytes.is_empty() { good.clone() } else { bytes.to_vec() };
                            (Duration::ZERO, [good, more].concat())
                        }
                        Behaviour::Silent => continue,
                        Behaviour::Disconnect => return Ok(()),
                    };
                    let answers = answers.clone();
                    tokio::spawn(async move {
                        sleep(wait).await;
                        let _ = answers.send(bytes);
                    });
                }
            }
        };
        let writing = async {
            while let Some(bytes) = queue.recv().await {
                write.write_all(&bytes).await?;
            }
            Ok(())
        };
        tokio::select! { result = reading => result, result = writing => result }
    }
}

/// Simulated discovery, whose list and responses tests can change.
#[derive(Clone)]
pub(crate) struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, bool, Vec<Value>)>>,
    /// Body sent instead of the list. If it is empty, requests are not answered.
    pub override_body: Arc<Mutex<Option<String>>>,
    pub calls: Arc<AtomicU32>,
    /// The revision that each request stated, or 0 for a request for the complete list.
    pub requested_after: Arc<Mutex<Vec<u64>>>,
}

/// Handles a request for the list. Holds a long poll until the list changes or the poll expires.
async fn serve_list(State(discovery): State<Discovery>, uri: Uri) -> (StatusCode, String) {
    discovery.calls.fetch_add(1, Ordering::SeqCst);
    let asked = |name: &str| -> Option<u64> {
        uri.query()?.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    };
    discovery
        .requested_after
        .lock()
        .expect("no test panicked while it held the lock")
        .push(asked("after").unwrap_or(0));
    let end = Instant::now() + ms(asked("wait_ms").unwrap_or(0));
    loop {
        let override_body =
            discovery.override_body.lock().expect("no test panicked while it held the lock").clone();
        match override_body {
            Some(words) if words.is_empty() => std::future::pending::<()>().await,
            Some(words) => return (StatusCode::OK, words),
            None => {}
        }
        let (revision, complete, members) =
            discovery.list.lock().expect("no task panicked while it held the lock").clone();
        if asked("after").is_none_or(|after| revision > after) {
            return (StatusCode::OK, list(revision, complete, members).to_string());
        }
        if Instant::now() >= end {
            return (StatusCode::OK, list(revision, false, Vec::new()).to_string());
        }
        sleep(ms(5)).await;
    }
}

pub(crate) fn list(revision: u64, complete: bool, members: Vec<Value>) -> Value {
    json!({"revision": revision, "complete": complete, "members": members})
}

impl Discovery {
    pub(crate) async fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let list = Arc::new(Mutex::new((1, true, Vec::new())));
        let discovery = Discovery {
            address,
            list,
            override_body: Arc::default(),
            calls: Arc::default(),
            requested_after: Arc::default(),
        };
        let router = axum::Router::new().route("/v1/servers", axum::routing::get(serve_list));
        let router = router.with_state(discovery.clone());
        tokio::spawn(async move { axum::serve(listener, router).await });
        discovery
    }

    /// Publishes an incremental or a complete list, and returns its revision.
    pub(crate) fn publish(&self, complete: bool, members: Vec<Value>) -> u64 {
        let mut list = self.list.lock().expect("no task panicked while it held the lock");
        *list = (list.0 + 1, complete, members);
        list.0
    }
}

pub(crate) fn member(name: &str, address: SocketAddr, cell: u32, phase: &str, up_since_ms: u64) -> Value {
    json!({"id": name, "host_port": address.to_string(), "locality": "a", "flavor": "m", "cell": cell,
           "phase": phase, "size": 1.0, "up_since_ms": up_since_ms})
}

fn vertical(name: &str, effect: &str) -> Value {
    json!({"name": name, "effect": effect, "aim_us": 1_000_000, "hard_limit_us": 2_000_000,
           "late_share": 0.1, "gain": 1.0, "streamed": false, "window_us": 5_000_000})
}

/// Returns settings with two cells, each with all shards. The vertical `near` requires three quarters of the
/// parts, and `book` must not run twice.
pub(crate) fn settings() -> Value {
    json!({
        "balancers": 1, "zone": 0, "zones": ["a", "b"], "quantum_us": 5000, "membership_mode": "pushed",
        "request_classes": [vertical("near", "retryable"), vertical("book", "fragile")],
        "projects": [{"name": "acme", "quota_per_s": 1000.0, "share": 1.0}],
        "family_info": {"class_need": [0.75, 1.0], "floor_by_class": [0.25, 1.0], "follow_up": [0, 0],
            "parts_a_call": 4, "positions": 2, "ranges": 16, "span": 2},
        "policy_limits": {"dial_timeout_us": 250_000, "keepalive_us": 2_000_000, "max_attempts": 3,
            "max_retry_after_us": 500_000, "may_cancel": true, "most_held": 100, "multiplex": 8,
            "retry_after": true, "second_copies": true},
        "rules": {"cold_from": 0.2, "cold_us": 1_000_000, "drain_grace_us": 250_000, "fall_us": 1_000_000,
            "overload_factor": 2.0}
    })
}

#[derive(Debug)]
pub(crate) struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the text is JSON")
    }

    /// Returns the number of values, and checks that each is the one that shard servers answer for this
    /// query.
    pub(crate) fn count_values(&self, id: &str) -> usize {
        let body = self.json();
        let results = body["results"].as_array().expect("the body has results");
        for r in results {
            assert_eq!(r["value"], value_of(&format!("{id}.{}", r["partition"])));
        }
        results.len()
    }
}

/// A connection of a client.
pub(crate) struct Client(pub TcpStream);

impl Client {
    /// Connects with a small receive buffer, so that answers that are not read soon block the sender.
    pub(crate) async fn with_small_receive_buffer(listen: SocketAddr) -> Client {
        let socket = tokio::net::TcpSocket::new_v4().expect("the socket is created");
        socket.set_recv_buffer_size(4096).expect("the buffer size is set");
        Client(socket.connect(listen).await.expect("the connection is accepted"))
    }

    pub(crate) async fn send(&mut self, request: &str) {
        self.0.write_all(request.as_bytes()).await.expect("the request is written");
    }

    /// Returns the next answer, or `None` if the connection is closed first.
    pub(crate) async fn next(&mut self) -> Option<Reply> {
        let mut bytes = Vec::new();
        let head = loop {
            if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            let got = timeout(WAIT_TIMEOUT, self.0.read_buf(&mut bytes))
                .await
                .expect("an answer or the end of the connection arrives within the timeout");
            if got.unwrap_or(0) == 0 {
                return None;
            }
        };
        let text = String::from_utf8(bytes[..head].to_vec()).expect("the text is UTF-8").to_lowercase();
        let length =
            text.lines().find_map(|l| l.strip_prefix("content-length: ")).expect("the length is stated");
        let length: usize = length.parse().expect("the value is a number");
        while bytes.len() < head + length {
            self.0.read_buf(&mut bytes).await.expect("the rest of the body arrives");
        }
        let status = text[9..12].parse().expect("the status is a number");
        Some(Reply {
            status,
            head: text,
            body: String::from_utf8(bytes[head..].to_vec()).expect("the text is UTF-8"),
        })
    }

    pub(crate) async fn ask(&mut self, request: &str) -> Reply {
        self.send(request).await;
        self.next().await.expect("an answer arrives")
    }
}

/// Returns a request with `parts` parts of equal weight. Its id is also the key in its path.
pub(crate) fn request(vertical: &str, id: &str, parts: u32, deadline: &str) -> String {
    let part = |shard| json!({"partition": shard, "share": 1.0 / f64::from(parts)});
    let body = json!({"targets": (0..parts).map(part).collect::<Vec<_>>(), "query": "c41e77d0"});
    post(
        &format!("{vertical}/{id}"),
        &[("Req-Id", id), ("Req-Owner", "acme"), ("Req-Deadline", deadline)],
        &body.to_string(),
    )
}

pub(crate) fn post(path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let headers: String = headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let length = body.len();
    format!("POST /{path} HTTP/1.1\r\nHost: api\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// The running program with simulated shard servers and discovery.
pub(crate) struct Environment {
    pub shards: Vec<Shard>,
    pub discovery: Discovery,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    child: Child,
    folder: std::path::PathBuf,
}

/// Returns the text of a settings file with an admin listener.
fn script(admin: SocketAddr, own: &str) -> String {
    format!("admin(listen = \"{admin}\")\n{own}\n")
}

static ENVIRONMENTS: AtomicU32 = AtomicU32::new(0);

impl Environment {
    pub(crate) async fn start(behaviours: &[Behaviour]) -> Environment {
        Environment::with(behaviours, |_| {}).await
    }

    /// Starts one shard server for each behaviour, in alternating cells. `change` may alter the
    /// configuration.
    pub(crate) async fn with(behaviours: &[Behaviour], change: impl FnOnce(&mut Value)) -> Environment {
        Environment::with_settings(behaviours, None, change).await
    }

    /// Starts like [`Environment::with`], with a settings file that adds an admin listener to `own`.
    pub(crate) async fn with_admin(
        behaviours: &[Behaviour], own: &str, change: impl FnOnce(&mut Value),
    ) -> Environment {
        Environment::with_settings(behaviours, Some(own), change).await
    }

    async fn with_settings(
        behaviours: &[Behaviour], own: Option<&str>, change: impl FnOnce(&mut Value),
    ) -> Environment {
        let mut shards = Vec::new();
        for behaviour in behaviours {
            shards.push(Shard::start(*behaviour).await);
        }
        let discovery = Discovery::start().await;
        let number = ENVIRONMENTS.fetch_add(1, Ordering::SeqCst);
        // Each environment has its own loopback address. A free port on a shared address may be taken by
        // another process before the program binds it.
        let [.., high, low] = std::process::id().to_be_bytes();
        let listen = SocketAddr::from(([127, 1 + high % 127, low, 1 + number as u8], 8443));
        let members = shards.iter().enumerate();
        let members = members.map(|(i, s)| member(&format!("s-{i}"), s.address, i as u32 % 2, "ready", 0));
        let mut config = json!({
            "name": "n0", "listen": listen.to_string(), "discovery": discovery.address.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": list(1, true, members.collect()), "settings": settings(),
        });
        change(&mut config);
        let folder = std::env::temp_dir().join(format!("ashvane-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the directory is created");
        std::fs::write(folder.join("config.json"), config.to_string()).expect("the configuration is written");
        let mut command = program();
        command.args(["serve", "--log", "error"]).env("GW_CONFIG", folder.join("config.json"));
        command.env("GW_DISCOVERY", config["discovery"].as_str().expect("the address is a string"));
        let admin = SocketAddr::new(listen.ip(), 9300);
        if let Some(own) = own {
            std::fs::write(folder.join("own.star"), script(admin, own))
                .expect("the settings file is written");
            command.arg("--settings").arg(folder.join("own.star"));
        }
        let child = command.spawn().expect("the program starts");
        let environment = Environment { shards, discovery, listen, admin, child, folder };
        wait_until_async("the program listens", async || TcpStream::connect(listen).await.is_ok()).await;
        environment
    }

    pub(crate) async fn client(&self) -> Client {
        Client(TcpStream::connect(self.listen).await.expect("the connection is accepted"))
    }

    pub(crate) async fn health(&self) -> u16 {
        self.client().await.ask("GET /healthz HTTP/1.1\r\nHost: api\r\n\r\n").await.status
    }

    pub(crate) async fn ready(self) -> Environment {
        wait_until_async("the program is ready", async || self.health().await == 200).await;
        self
    }

    /// Returns the answer of the admin listener at a path.
    pub(crate) async fn get_admin(&self, path: &str) -> Reply {
        let mut client =
            Client(TcpStream::connect(self.admin).await.expect("the admin listener accepts the connection"));
        client.ask(&format!("GET {path} HTTP/1.1\r\nHost: admin\r\n\r\n")).await
    }

    /// Returns the admin listener's row of one purpose.
    pub(crate) async fn purpose_row(&self, name: &str) -> Value {
        let table = self.get_admin("/memory").await.json();
        let rows = table["purposes"].as_array().expect("the table has purposes");
        rows.iter().find(|row| row["purpose"] == name).expect("the purpose is known").clone()
    }

    /// Returns the number of bytes charged to a purpose.
    pub(crate) async fn open_bytes(&self, name: &str) -> u64 {
        self.purpose_row(name).await["now"].as_u64().expect("the value is a number")
    }

    /// Replaces the settings file.
    pub(crate) fn rewrite_settings(&self, own: &str) {
        std::fs::write(self.folder.join("own.star"), script(self.admin, own))
            .expect("the settings file is written");
    }

    pub(crate) fn part_count(&self) -> usize {
        self.shards.iter().map(Shard::part_count).sum()
    }

    /// Applies `change` to the configuration file.
    pub(crate) fn rewrite_config(&self, change: impl FnOnce(&mut Value)) {
        let text = std::fs::read_to_string(self.config()).expect("the configuration is readable");
        let mut config = serde_json::from_str(&text).expect("the text is JSON");
        change(&mut config);
        std::fs::write(self.config(), config.to_string()).expect("the configuration is written");
    }

    pub(crate) fn signal(&self, name: &str) {
        let line = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &line]).status().expect("sh starts").success());
    }

    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_until_async("the program exits", async || {
            status = self.child.try_wait().expect("the state of the process is known");
            status.is_some()
        })
        .await;
        status.expect("the program has exited")
    }

    pub(crate) fn config(&self) -> String {
        self.folder.join("config.json").to_str().expect("the text is UTF-8").to_owned()
    }

    /// Returns the resident memory of the program, in kB.
    pub(crate) fn resident_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the process has a status");
        let line = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))
            .expect("the status has the resident memory");
        line.trim().trim_end_matches(" kB").parse().expect("the value is a number")
    }

    /// Whether the program has ever started another process. A process that has ended shows in the page
    /// faults of the children, a running one in the list of children.
    pub(crate) fn has_started_process(&self) -> bool {
        let read = |name: &str| std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id()));
        let stat = read("stat").expect("the process has statistics");
        // Fields are counted from the end of the process name, which is in parentheses and may contain
        // spaces.
        let faults = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(8));
        let children =
            read(&format!("task/{}/children", self.child.id())).expect("the process has a list of children");
        faults.expect("the statistics have the page faults") != "0" || !children.trim().is_empty()
    }

    /// Returns the distinct targets of the program's descriptors, without the standard streams and those that
    /// it inherited from the test process.
    pub(crate) fn open_files(&self) -> std::collections::BTreeSet<String> {
        let of = |process: &str| {
            let entries =
                std::fs::read_dir(format!("/proc/{process}/fd")).expect("the process has descriptors");
            let apart = |e: &std::fs::DirEntry| !["0", "1", "2"].iter().any(|std| e.file_name() == *std);
            let target = |e: std::fs::DirEntry| Some(std::fs::read_link(e.path()).ok()?.to_str()?.to_owned());
            entries.flatten().filter(apart).filter_map(target).collect::<std::collections::BTreeSet<_>>()
        };
        let (ours, theirs) = (of("self"), of(&self.child.id().to_string()));
        theirs.into_iter().filter(|file| file.starts_with("anon_inode:") || !ours.contains(file)).collect()
    }

    /// Returns how many of the program's sockets are Unix sockets.
    pub(crate) fn unix_sockets(&self) -> usize {
        let table = std::fs::read_to_string(format!("/proc/{}/net/unix", self.child.id()))
            .expect("the table of Unix sockets is readable");
        let inodes: std::collections::BTreeSet<&str> =
            table.lines().skip(1).filter_map(|line| line.split_whitespace().nth(6)).collect();
        let inode = |file: &String| Some(file.strip_prefix("socket:[")?.strip_suffix(']')?.to_owned());
        self.open_files().iter().filter_map(inode).filter(|inode| inodes.contains(inode.as_str())).count()
    }

    pub(crate) fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }
}

impl Drop for Environment {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ashvane"));
    command.stdin(Stdio::null()).env_remove("GW_CONFIG").env_remove("GW_LISTEN");
    command.env_remove("GW_NAME").env_remove("GW_DISCOVERY");
    command
}

/// Runs the program until it exits. Returns whether it succeeded, and its standard output and error.
pub(crate) fn run(arguments: &[&str], config: Option<&str>) -> (bool, String, String) {
    let mut command = program();
    command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
    if let Some(path) = config {
        command.env("GW_CONFIG", path);
    }
    let mut child = command.spawn().expect("the program starts");
    let (mut out, mut err) = (String::new(), String::new());
    child.stdout.take().expect("the output is piped").read_to_string(&mut out).expect("the text is UTF-8");
    child.stderr.take().expect("the output is piped").read_to_string(&mut err).expect("the text is UTF-8");
    (child.wait().expect("the program exits").success(), out, err)
}
