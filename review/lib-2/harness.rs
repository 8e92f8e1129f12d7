//! What the cases of this review share: processes of the system on loopback addresses, stand-ins for servers,
//! clients and the platform, and the record. Only the standard library is used.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const KILL: i32 = 9;
pub const TERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Events of a run, written to `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn say(&self, text: impl Into<String>) {
        let text = text.into();
        self.lines.lock().unwrap().push((self.now(), text));
    }
    pub fn save(&self, file: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{at:8.3} s  {line}");
        }
        let _ = fs::write(file, text);
    }
}

/// Whether the disruption is played (`TROUBLE` is not `0`).
pub fn is_disrupted() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Process of the system.
pub struct Node {
    pub name: String,
    pub role: &'static str,
    settings: PathBuf,
    child: Option<Child>,
    log: PathBuf,
}

impl Node {
    pub fn start(&mut self, record: &Record) {
        let log =
            fs::File::options().create(true).append(true).open(&self.log).expect("a log file can be opened");
        let child = Command::new("target/release/ashvane-node")
            .arg(self.role)
            .env_clear()
            .env("ASHVANE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        record.say(format!("{} starts", self.name));
        self.child = Some(child);
    }
    pub fn signal(&self, signal: i32, record: &Record) {
        if let Some(child) = &self.child {
            record.say(format!("{} gets signal {signal}", self.name));
            unsafe { kill(child.id() as i32, signal) };
        }
    }
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }
    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.end();
    }
}

/// Temporary folder, loopback addresses and ports of a run.
pub struct Place {
    pub dir: PathBuf,
    net: (u8, u8),
    pub ports: Ports,
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub internal: u16,
    pub front: u16,
    pub readiness: u16,
    pub control: u16,
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Place {
    pub fn new() -> Place {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("ashvane-review-2-{pid}"));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).expect("a temporary folder can be made");
        let net = (16 + (pid % 200) as u8, (pid / 200 % 250) as u8);
        let free = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            listener.local_addr().expect("a bound listener has an address").port()
        };
        let internal = free().min(65_000);
        let ports = Ports { internal, front: free(), readiness: free(), control: free() };
        Place { dir, net, ports }
    }
    pub fn ip(&self, n: u8) -> String {
        format!("127.{}.{}.{n}", self.net.0, self.net.1)
    }
    pub fn control(&self, n: u8) -> String {
        format!("{}:{}", self.ip(n), self.ports.control)
    }
    pub fn front(&self, n: u8) -> String {
        format!("{}:{}", self.ip(n), self.ports.front)
    }
    pub fn readiness(&self, n: u8) -> String {
        format!("{}:{}", self.ip(n), self.ports.readiness)
    }
    /// Writes the settings of a process. `bootstrap` is true for the first start of the whole system only.
    pub fn node(&self, name: &str, role: &'static str, n: u8, seeds: &[u8], zone: &str, losses: u32) -> Node {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{}\"", self.control(*seed))).collect();
        let listen = match role {
            "control" => format!("control = \"{}\"\n", self.control(n)),
            _ => format!("front = \"{}\"\nreadiness = \"{}\"\n", self.front(n), self.readiness(n)),
        };
        let data = match role {
            "control" => format!("data-dir = \"{}\"\n", self.dir.join(name).display()),
            _ => String::new(),
        };
        let text = format!(
            "node = \"{name}\"\nrole = \"{role}\"\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"here\"\ninternal-ports = [{}, {}]\n\
             seed-nodes = [{}]\nbootstrap = true\nbeat-interval-ms = 1200\n{data}[zones]\n{zone} = \"here\"\n[listen]\n{listen}\
             [limits]\nmax-fds = 4100\nmemory-mb = 260\n[fault-budget]\nmachine-losses = {losses}\nzones = 0\nregion-losses = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 5000\nack-ms = 6000\ncatch-up-s = 4\ndrain-ms = 3000\n\
             grace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 3000\nretry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 58\n",
            self.ip(n),
            self.ports.internal,
            self.ports.internal + 15,
            seeds.join(", ")
        );
        let settings = self.dir.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("settings can be written");
        Node { name: name.to_owned(), role, settings, child: None, log: self.dir.join(format!("{name}.log")) }
    }
    /// As the platform does after the first start: `bootstrap` is false in all settings files.
    pub fn end_bootstrap(&self) {
        for entry in fs::read_dir(&self.dir).expect("the folder is there").flatten() {
            if entry.path().extension().is_some_and(|e| e == "toml") {
                let text = fs::read_to_string(entry.path()).unwrap_or_default();
                let _ = fs::write(entry.path(), text.replace("bootstrap = true", "bootstrap = false"));
            }
        }
    }
}

/// Complete HTTP message as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one message; `None` if the connection ends before it is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut message = Message { first: line.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding").contains("chunked") {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend(&chunk[..size]);
        }
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Sends a request on a new connection and waits for the answer.
pub fn call(address: &str, request: &[u8], wait: Duration) -> Option<Message> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(request).ok()?;
    read_message(&mut BufReader::new(stream))
}

pub fn request(method: &str, path: &str, host: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Puts a configuration at one of the control addresses until it is acknowledged.
pub fn put_config(at: &[String], text: &str, record: &Record, within: Duration) -> bool {
    let began = Instant::now();
    while began.elapsed() < within {
        for address in at {
            let answer = call(address, &request("PUT", "/api/configuration", address, "", text), ms(1000));
            if let Some(answer) = answer {
                if answer.status() == 200 {
                    record.say(format!("operator: {address} acknowledges the configuration"));
                    return true;
                }
                if answer.status() == 400 {
                    record.say(format!("operator: 400 {}", String::from_utf8_lossy(&answer.body)));
                    return false;
                }
            }
        }
        sleep(ms(100));
    }
    false
}

/// Run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub began: f64,
    pub ended: f64,
}

/// Stand-in for a server: it beats, runs requests and answers them with its seal.
pub struct Server {
    pub id: String,
    pub address: String,
    pub is_beating: Arc<AtomicBool>,
    pub is_draining: Arc<AtomicBool>,
    /// Once it is false, the server has crashed: it accepts no connection, and answers nothing.
    pub is_up: Arc<AtomicBool>,
}

impl Server {
    /// Ends the server as a crash does: it says nothing.
    pub fn crash(&self, record: &Record) {
        self.is_up.store(false, Ordering::SeqCst);
        self.is_beating.store(false, Ordering::SeqCst);
        record.say(format!("server {} crashes", self.id));
    }
}

pub struct ServerSpec {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Shortest and longest work of a request.
    pub work_ms: (u64, u64),
}

pub fn start_server(
    spec: ServerSpec, control: Vec<String>, runs: Arc<Mutex<Vec<Run>>>, record: &Record,
) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address").to_string();
    let (is_beating, is_draining) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let is_up = Arc::new(AtomicBool::new(true));
    let (id, record) = (spec.id.clone(), record.clone());
    {
        let (id, work_ms, record, is_up) = (id.clone(), spec.work_ms, record.clone(), is_up.clone());
        listener.set_nonblocking(true).expect("a listener can be polled");
        spawn(move || {
            while is_up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(ms(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (id, runs, record, is_up) = (id.clone(), runs.clone(), record.clone(), is_up.clone());
                spawn(move || serve(stream, &id, work_ms, &runs, &record, &is_up));
            }
        });
    }
    {
        let (is_beating, is_draining, address, id) =
            (is_beating.clone(), is_draining.clone(), address.clone(), id.clone());
        spawn(move || {
            let mut sequence = 0;
            let mut target: Option<String> = None;
            let mut next = 0;
            loop {
                if !is_beating.load(Ordering::SeqCst) {
                    sleep(ms(50));
                    continue;
                }
                sequence += 1;
                let state = if is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":8,\"state\":\"{state}\",\"warmup-left-ms\":0,\"call-seq\":{sequence}}}",
                    spec.service, spec.zone
                );
                let at = target.clone().unwrap_or_else(|| control[next % control.len()].clone());
                let answer = call(
                    &at,
                    &request(
                        "PUT",
                        &format!("/api/instances/{id}"),
                        &at,
                        "Content-Type: application/json\r\n",
                        &body,
                    ),
                    ms(1000),
                );
                match answer.filter(|answer| answer.status() / 100 == 2) {
                    Some(answer) => {
                        let text = String::from_utf8_lossy(&answer.body).into_owned();
                        target = text
                            .split("\"beat-target\":\"")
                            .nth(1)
                            .and_then(|t| t.split('"').next())
                            .map(str::to_owned);
                        sleep(ms(1200));
                    }
                    None => {
                        target = None;
                        next += 1;
                        sleep(ms(100));
                    }
                }
            }
        });
    }
    Server { id: spec.id, address, is_beating, is_draining, is_up }
}

fn serve(
    stream: TcpStream, id: &str, work_ms: (u64, u64), runs: &Mutex<Vec<Run>>, record: &Record,
    is_up: &AtomicBool,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Some(message) = read_message(&mut reader) {
        if !is_up.load(Ordering::SeqCst) {
            return;
        }
        let attempt = message.header("attempt-id").to_owned();
        if message.header("target-instance") != id {
            let _ = write!(
                write,
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            continue;
        }
        let began = record.now();
        let at = {
            let mut runs = runs.lock().unwrap();
            runs.push(Run { attempt: attempt.clone(), server: id.to_owned(), began, ended: f64::MAX });
            runs.len() - 1
        };
        record.say(format!("server {id} runs {attempt}"));
        sleep(ms(random(work_ms.0, work_ms.1)));
        runs.lock().unwrap()[at].ended = record.now();
        if !is_up.load(Ordering::SeqCst) {
            return;
        }
        let body = format!("{attempt:>16}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if write.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Stand-in for the platform's entry: asks each gatherer of a zone for its readiness every second, and says
/// which of them get new connections.
pub struct Entry {
    pub gatherers: Vec<String>,
    ready: Arc<Mutex<Vec<bool>>>,
}

impl Entry {
    pub fn start(gatherers: Vec<String>, readiness: Vec<String>, record: &Record) -> Entry {
        let ready = Arc::new(Mutex::new(vec![false; gatherers.len()]));
        for (at, address) in readiness.into_iter().enumerate() {
            let (ready, record) = (ready.clone(), record.clone());
            spawn(move || {
                let mut misses = 0;
                loop {
                    let answer = call(
                        &address,
                        &request("GET", "/api/readiness", &address, "Connection: close\r\n", ""),
                        ms(1000),
                    );
                    misses = if answer.is_some_and(|answer| answer.status() == 200) { 0 } else { misses + 1 };
                    let is_in = ready.lock().unwrap()[at];
                    let now_in = misses == 0 || (is_in && misses < 2);
                    if is_in != now_in {
                        ready.lock().unwrap()[at] = now_in;
                        record.say(format!("entry: gatherer {at} is {}", if now_in { "in" } else { "out" }));
                    }
                    sleep(ms(1000));
                }
            });
        }
        Entry { gatherers, ready }
    }
    pub fn count_in(&self) -> usize {
        self.ready.lock().unwrap().iter().filter(|is_in| **is_in).count()
    }
    /// Gatherer of a new connection of a client: of those that are in, or of all if fewer than half are in.
    /// A zone without any that is in is served by other zones, which a run has none of: then `None`.
    pub fn pick(&self, client: u64) -> Option<usize> {
        let ready = self.ready.lock().unwrap().clone();
        let is_in: Vec<usize> = (0..ready.len()).filter(|at| ready[*at]).collect();
        if is_in.is_empty() {
            return None;
        }
        let used: Vec<usize> = if is_in.len() * 2 < ready.len() { (0..ready.len()).collect() } else { is_in };
        let hash = (client + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33;
        Some(used[hash as usize % used.len()])
    }
}

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(0);

pub fn next_attempt() -> String {
    format!("{:016x}", LAST_ATTEMPT.fetch_add(1, Ordering::SeqCst) + 0x1000)
}

static RANDOM: AtomicU64 = AtomicU64::new(0x2545_f491_4f6c_dd1d);

/// Number from `low` to `high`, drawn from a fixed sequence.
pub fn random(low: u64, high: u64) -> u64 {
    let drawn = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
    let mixed = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    low + (mixed ^ (mixed >> 31)) % (high - low + 1)
}
