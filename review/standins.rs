//! Stand-ins for the review cases: servers, clients, the platform and the operator, as the users' pages
//! describe them, and the code that starts and ends the project's own processes. Only the standard library
//! is used. `standins CASE FOLDER` runs a case; see `review/build.sh`.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

mod case_coverage;
mod case_gone;
mod case_recover;

/// Time-out of a connection attempt on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

pub const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn sleep(time: Duration) {
    std::thread::sleep(time);
}

pub fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

// Record.

/// Record of a run: what was sent, answered and run, with seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { started_at: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((self.started_at.elapsed(), line.into()));
    }

    /// Adds a line and prints it.
    pub fn tell(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:8.3} {line}", self.started_at.elapsed().as_secs_f64());
        self.add(line);
    }

    pub fn write(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:8.3} {line}", at.as_secs_f64());
        }
        let _ = std::fs::write(file, text);
    }
}

// Random numbers.

/// Small generator of random numbers (xorshift).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound.max(1)
    }
}

static LAST_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// Returns an `Attempt-Id` that no other request of this run has.
pub fn new_attempt_id() -> String {
    let number = LAST_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

// HTTP messages.

/// Request or response as read from a connection.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn values(&self, name: &str) -> Vec<&str> {
        let named = self.headers.iter().filter(|(n, _)| n == name);
        named.flat_map(|(_, v)| v.split(',').map(str::trim)).collect()
    }

    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

/// How the reading of a message ended without one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoMessage {
    /// The connection was closed or reset.
    Closed,
    /// The time was over.
    TimedOut,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, rest: Vec::new() }
    }

    pub fn open(address: &str) -> Option<Self> {
        let address: SocketAddr = address.parse().ok()?;
        TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok().map(Connection::new)
    }

    /// Reads more bytes. Returns false at the end of the connection.
    fn fill(&mut self, until: Option<Instant>) -> Result<(), NoMessage> {
        loop {
            let timeout = match until {
                Some(at) => Some(at.saturating_duration_since(Instant::now())),
                None => None,
            };
            if timeout.is_some_and(|t| t.is_zero()) {
                return Err(NoMessage::TimedOut);
            }
            let _ = self.stream.set_read_timeout(timeout);
            let mut buffer = [0; 16 << 10];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(NoMessage::Closed),
                Ok(n) => {
                    self.rest.extend_from_slice(&buffer[..n]);
                    return Ok(());
                }
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                Err(_) => return Err(NoMessage::Closed),
            }
        }
    }

    /// Reads a message with a length, until a time if one is given.
    pub fn read(&mut self, until: Option<Instant>) -> Result<Message, NoMessage> {
        let head_end = loop {
            if let Some(at) = self.rest.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            self.fill(until)?;
        };
        let head = String::from_utf8_lossy(&self.rest[..head_end]).into_owned();
        let mut lines = head.split("\r\n").filter(|line| !line.is_empty());
        let start_line = lines.next().unwrap_or_default().to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start_line, headers, body: Vec::new() };
        let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.rest.len() < head_end + length {
            self.fill(until)?;
        }
        message.body = self.rest[head_end..head_end + length].to_vec();
        self.rest.drain(..head_end + length);
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

/// Sends a call of an operator or a server, and returns the answer if it comes within a second.
pub fn call(address: &str, method: &str, path: &str, body: &str) -> Option<Message> {
    let mut connection = Connection::open(address)?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    if !connection.send(request.as_bytes()) {
        return None;
    }
    connection.read(Some(Instant::now() + ms(1000))).ok()
}

// Servers.

/// What a server stand-in does with a request that it runs: returns the time of the work and the body.
pub type Work = Arc<dyn Fn(&Message, &mut Rng) -> (Duration, Vec<u8>) + Send + Sync>;

/// Request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub attempt_id: String,
    pub at: Instant,
}

/// Server stand-in: answers requests and calls the control nodes, as the pages describe it.
pub struct Server {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: String,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Whether it sends beats.
    is_beating: AtomicBool,
    /// Whether it runs; one that crashed accepts nothing.
    is_running: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    call_seq: AtomicU64,
    /// Whether the last beat was acknowledged.
    pub last_beat_taken: AtomicBool,
}

impl Server {
    /// Starts a server at an address, with beats to the control nodes. Port 0 stands for a free port.
    pub fn start(
        id: &str, service: &str, zone: &str, address: &str, controls: Vec<String>, work: Work,
    ) -> Arc<Server> {
        let listener = bind(address);
        let address = listener.local_addr().expect("the listener is bound").to_string();
        let server = Arc::new(Server {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            arrivals: Mutex::default(),
            is_beating: AtomicBool::new(true),
            is_running: AtomicBool::new(true),
            connections: Mutex::default(),
            call_seq: AtomicU64::new(0),
            last_beat_taken: AtomicBool::new(false),
        });
        let accepting = server.clone();
        std::thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                if !accepting.is_running.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(copy);
                }
                let (server, work) = (accepting.clone(), work.clone());
                std::thread::spawn(move || server.serve(stream, number as u64, &work));
            }
        });
        let beating = server.clone();
        std::thread::spawn(move || beating.beat(&controls));
        server
    }

    fn serve(&self, stream: TcpStream, number: u64, work: &Work) {
        let mut connection = Connection::new(stream);
        let mut rng = Rng::new(number + 1 + self.address.bytes().map(u64::from).sum::<u64>() * 1000);
        while let Ok(request) = connection.read(None) {
            let id = request.header("attempt-id").unwrap_or_default().to_owned();
            let target = request.header("target-instance");
            if request.path() == "/health" {
                let answer =
                    format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
                if !connection.send(answer.as_bytes()) {
                    return;
                }
                continue;
            }
            let refusal = match (id.is_empty(), target) {
                (true, _) => Some("400 Bad Request"),
                (false, Some(other)) if other != self.id => Some("421 Misdirected Request"),
                _ => None,
            };
            if let Some(status) = refusal {
                let answer = format!(
                    "HTTP/1.1 {status}\r\nAttempt-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if !connection.send(answer.as_bytes()) {
                    return;
                }
                continue;
            }
            let at = Instant::now();
            self.arrivals.lock().unwrap().push(Arrival { attempt_id: id.clone(), at });
            let (time, body) = work(&request, &mut rng);
            sleep(time);
            let head = format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: {}.{id}\r\nContent-Length: {}\r\n\r\n",
                self.id,
                body.len()
            );
            if !connection.send(&[head.as_bytes(), &body].concat()) {
                return;
            }
        }
    }

    /// Sends a beat about each 1.2 s to one control node, and to the next one after a failure, with a pause
    /// that grows. Servers that start together begin within 0.3 s.
    fn beat(&self, controls: &[String]) {
        let seed = self.address.bytes().chain(self.id.bytes()).map(u64::from);
        let mut rng =
            Rng::new(seed.fold(u64::from(std::process::id()), |hash, byte| hash * 31 % 1_000_003 + byte));
        let mut current = rng.below(controls.len() as u64) as usize;
        let mut pause_ms = 100;
        sleep(ms(rng.below(300)));
        while self.is_beating.load(Ordering::SeqCst) {
            let is_taken = self.call_control(&controls[current], "ready");
            self.last_beat_taken.store(is_taken, Ordering::SeqCst);
            if is_taken {
                pause_ms = 100;
                sleep(ms(1100 + rng.below(200)));
            } else {
                current = (current + 1) % controls.len();
                sleep(ms(pause_ms / 2 + rng.below(pause_ms)));
                pause_ms = (pause_ms * 2).min(1600);
            }
        }
    }

    fn call_control(&self, control: &str, state: &str) -> bool {
        let seq = self.call_seq.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","capacity":3,"state":"{state}","warmup-left-ms":0,"call-seq":{seq}}}"#,
            self.service, self.address, self.zone
        );
        let answer = call(control, "PUT", &format!("/api/instances/{}", self.id), &body);
        answer.is_some_and(|answer| answer.status() / 100 == 2)
    }

    /// Stops the beats. Returns once no beat can be under way any more.
    pub fn stop_beats(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
        sleep(ms(1300));
    }

    /// Crashes: closes all connections, and accepts none any more.
    pub fn crash(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
        self.is_running.store(false, Ordering::SeqCst);
        // Wakes the accepting thread, which then drops the listener.
        let _ = TcpStream::connect(&self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

/// Binds a listener. The previous server at the address may need a moment to let go of it.
fn bind(address: &str) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        sleep(ms(10));
    }
    fail(&format!("{address} cannot be bound"))
}

// Processes of the project.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Gateway,
    Control,
}

/// Process of the project, on a loopback address of its own.
pub struct Process {
    pub name: String,
    pub role: Role,
    pub ip: String,
    pub zone: String,
    child: Option<Child>,
}

/// Ports that are alike on all machines of a run.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub front: u16,
    pub readiness: u16,
    pub internal: u16,
}

/// Machines of a small deployment: zones with their numbers of gateways and control nodes.
pub const ZONES: [(&str, &str, usize, usize); 3] =
    [("sthlm-hall-a", "stockholm", 4, 2), ("gbg-hall-b", "goteborg", 2, 2), ("mmo-hall-c", "malmo", 3, 1)];

/// All processes of the project in a run.
pub struct Fleet {
    pub dir: PathBuf,
    pub ports: Ports,
    pub processes: Vec<Process>,
    seeds: Vec<String>,
}

impl Fleet {
    /// Lays out the machines of a small deployment. Nothing is started.
    pub fn new() -> Self {
        let dir = std::env::temp_dir().join(format!("ashvane-review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("the folder for temporary files can be written");
        // The second octet differs from run to run, so that runs do not meet.
        let octet = 32 + std::process::id() % 200;
        let mut processes = Vec::new();
        for (role, place) in [(Role::Control, 3), (Role::Gateway, 2)] {
            for (z, zone) in ZONES.iter().enumerate() {
                let count = if place == 3 { zone.3 } else { zone.2 };
                for n in 1..=count {
                    let class = if role == Role::Control { "core" } else { "frontend" };
                    let host = if role == Role::Control { 20 + n } else { 40 + n };
                    processes.push(Process {
                        name: format!("{class}-{}-{n}", zone.0),
                        role,
                        ip: format!("127.{octet}.{}.{host}", z + 1),
                        zone: zone.0.to_owned(),
                        child: None,
                    });
                }
            }
        }
        let ips: Vec<&str> = processes.iter().map(|p| p.ip.as_str()).collect();
        let ports = free_ports(&ips);
        let controls: Vec<&Process> = processes.iter().filter(|p| p.role == Role::Control).collect();
        // One seed in each zone.
        let seeds = ZONES
            .iter()
            .filter_map(|zone| controls.iter().find(|p| p.zone == zone.0))
            .map(|p| format!("{}:{}", p.ip, ports.control))
            .collect();
        Fleet { dir, ports, processes, seeds }
    }

    pub fn controls(&self) -> Vec<String> {
        let controls = self.processes.iter().filter(|p| p.role == Role::Control);
        controls.map(|p| format!("{}:{}", p.ip, self.ports.control)).collect()
    }

    /// Returns the places of the gateways of a zone.
    pub fn gateways_of(&self, zone: &str) -> Vec<usize> {
        let is_of_zone = |at: &usize| {
            let process = &self.processes[*at];
            process.role == Role::Gateway && process.zone == zone
        };
        (0..self.processes.len()).filter(is_of_zone).collect()
    }

    pub fn front(&self, at: usize) -> String {
        format!("{}:{}", self.processes[at].ip, self.ports.front)
    }

    pub fn readiness(&self, at: usize) -> String {
        format!("{}:{}", self.processes[at].ip, self.ports.readiness)
    }

    fn settings(&self, process: &Process, bootstrap: bool) -> String {
        let Ports { control, front, readiness, internal } = self.ports;
        let is_control = process.role == Role::Control;
        let region = ZONES.iter().find(|z| z.0 == process.zone).map_or("", |z| z.1);
        let seeds: Vec<String> = self.seeds.iter().map(|s| format!("{s:?}")).collect();
        let ip = &process.ip;
        let (class, serves, listen, limits) = if is_control {
            let listen = format!("control = \"{ip}:{control}\"");
            (
                "core",
                "control_plane",
                listen,
                "cpu-share = 0.13\ncpu-cores = 1\nmemory-mb = 256\nmax-fds = 4096\nlink-mbps = 700.0\ndisk-mb = 128",
            )
        } else {
            let listen = format!("front = \"{ip}:{front}\"\nreadiness = \"{ip}:{readiness}\"");
            (
                "frontend",
                "frontend",
                listen,
                "cpu-share = 0.25\ncpu-cores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0",
            )
        };
        let data_dir = if is_control {
            format!("data-dir = {:?}\n", self.dir.join(&process.name).join("data").to_string_lossy())
        } else {
            String::new()
        };
        let zones: Vec<String> = ZONES.iter().map(|z| format!("{} = {:?}", z.0, z.1)).collect();
        format!(
            "node = {name:?}\nrole = {role:?}\nmachine-class = {class:?}\nserves = [{serves:?}]\nip = {ip:?}\n\
             zone = {zone:?}\nregion = {region:?}\ninternal-ports = [{internal},{last}]\nseed-nodes = [{seeds}]\n\
             bootstrap = {bootstrap}\ncounted-loss = {is_control}\n{data_dir}discovery = \"registry\"\n\
             entry = \"virtual_ip\"\nbeat-interval-ms = 1200\n\
             guarantees = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\"]\n\
             config_mode = \"highest\"\n[zones]\n{zones}\n[listen]\n{listen}\n[limits]\n{limits}\n\
             [fault-budget]\nmachine-losses = 1\nzones = 0\nregion-losses = 0\n[bounds]\nseed-lag-s = 3\n\
             reuse-after-s = 2\ncontact-ms = 5000\nack-ms = 6000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\n\
             loss-slack-ms = 200\nconfig-apply-ms = 3000\ndowngrade-slack-ms = 250\ncore-stretch-ms = 15000\n\
             retry-ratio = 0.2\nretry-window-s = 10\nretry-slack = 58\nrecovery-s = 12\n",
            name = process.name,
            role = if is_control { "control" } else { "gateway" },
            zone = process.zone,
            last = internal + 3,
            seeds = seeds.join(","),
            zones = zones.join("\n"),
        )
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&mut self, at: usize, bootstrap: bool) {
        let process = &self.processes[at];
        let folder = self.dir.join(&process.name);
        let _ = std::fs::create_dir_all(folder.join("data"));
        let file = folder.join("local.toml");
        std::fs::write(&file, self.settings(process, bootstrap)).expect("the settings can be written");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("log"));
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let role = if process.role == Role::Control { "control" } else { "gateway" };
        let child = Command::new("target/release/ashvane-node")
            .arg(role)
            .env("ASHVANE_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => self.processes[at].child = Some(child),
            Err(e) => fail(&format!("target/release/ashvane-node cannot be started: {e}")),
        }
    }

    pub fn start_all(&mut self, bootstrap: bool) {
        (0..self.processes.len()).for_each(|at| self.start(at, bootstrap));
    }

    pub fn kill(&mut self, at: usize) {
        if let Some(child) = &mut self.processes[at].child {
            let _ = child.kill();
        }
    }

    /// Kills all processes at the same moment, and collects them.
    pub fn kill_all(&mut self) {
        (0..self.processes.len()).for_each(|at| self.kill(at));
        for process in &mut self.processes {
            if let Some(mut child) = process.child.take() {
                let _ = child.wait();
            }
        }
    }

    /// Waits until all gateways are ready.
    pub fn await_ready(&self, within: Duration) -> bool {
        let until = Instant::now() + within;
        let gateways: Vec<usize> =
            (0..self.processes.len()).filter(|at| self.processes[*at].role == Role::Gateway).collect();
        while Instant::now() < until {
            if gateways.iter().all(|at| is_ready(&self.readiness(*at))) {
                return true;
            }
            sleep(ms(100));
        }
        false
    }

    /// Sends a configuration until it is acknowledged.
    pub fn put(&self, text: &str, within: Duration) -> bool {
        let until = Instant::now() + within;
        let controls = self.controls();
        let mut at = 0;
        while Instant::now() < until {
            let answer = call(&controls[at % controls.len()], "PUT", "/api/configuration", text);
            if answer.is_some_and(|answer| answer.status() == 200) {
                return true;
            }
            at += 1;
            sleep(ms(200));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Whether a gateway answers its readiness check with 200 within a second.
pub fn is_ready(address: &str) -> bool {
    call(address, "GET", "/api/readiness", "").is_some_and(|answer| answer.status() == 200)
}

/// Returns ports that are free on all addresses.
fn free_ports(ips: &[&str]) -> Ports {
    let mut rng = Rng::new(u64::from(std::process::id()));
    loop {
        let first = 20_000 + rng.below(30_000) as u16;
        let is_free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
        if (first..first + 8).all(is_free) {
            return Ports { control: first, front: first + 1, readiness: first + 2, internal: first + 3 };
        }
    }
}

/// Ends the run because the case could not be run. The processes that were started are ended as the stack
/// is unwound.
pub fn fail(reason: &str) -> ! {
    println!("could not run: {reason}");
    std::panic::resume_unwind(Box::new(()))
}

/// Whether the run has its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn run_case(record: &Record) -> bool {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else { fail("usage: standins CASE FOLDER") };
    record.tell(format!("case {case}, trouble {}", has_trouble()));
    let is_broken = match case.as_str() {
        "recover" => case_recover::run(record),
        "gone" => case_gone::run(record),
        "coverage" => case_coverage::run(record),
        other => fail(&format!("there is no case {other}")),
    };
    record.tell(if is_broken { "the rule was broken" } else { "the rule held" });
    record.write(&Path::new(folder).join("record.txt"));
    is_broken
}

fn main() -> ExitCode {
    let record = Record::new();
    match std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run_case(&record))) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
