//! The rig: starts gatherers, stand-ins and the relays between them, plays a plan, and measures what came of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::checks::{self, Violation};
use crate::clients::{self, ClientQuery};
use crate::discovery::{Discovery, Member};
use crate::figures::{self, Figures};
use crate::history::{End, EventKind, History, Recorder};
use crate::links::{Link, Target};
use crate::node::Node;
use crate::process::{LaunchSpec, Process, ProcessSignal, cpu_time};
use crate::script::{Plan, PlannedQuery, Rehearsal, Step, VERTICALS};
use crate::shards::{self, Server};

/// Time for a warm fleet to be ready before its clock starts.
const WARM_MOST: Duration = Duration::from_secs(30);
/// How often the front looks at a gatherer that it has taken in, and at one that it has not.
const FRONT_LOOK: Duration = Duration::from_millis(250);
const FRONT_LOOK_OUT: Duration = Duration::from_millis(25);
/// Time in which a look must be answered.
const FRONT_WAIT: Duration = Duration::from_secs(1);
/// How long a client waits for an answer, and how late it still has its full worth.
const DEADLINE: Duration = Duration::from_millis(1500);
const AIM_US: u64 = 500_000;
/// Pause before a client comes again that was told no time, and how much longer it may be.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_SPREAD: f64 = 0.1;
/// How far a clock's rate may be off, as keepers are told; gatherers have the same unless told otherwise.
const DRIFT: f64 = 0.01;
/// Bytes of a value.
const VALUE: usize = 32;
/// Descriptors that the rig itself needs, and each gatherer beside its links.
const DESCRIPTORS: u64 = 200;
const DESCRIPTORS_EACH: u64 = 10;
/// Clients that were to ask at a moment and did so later than this, one in a hundred: the run is not measured.
pub const MAX_LAG_MS: f64 = 100.0;

/// How a rehearsal is to be played.
#[derive(Clone)]
pub struct Options {
    pub program: PathBuf,
    pub launcher: PathBuf,
    pub seed: u64,
    /// Where configurations stand while it is played.
    pub folder: PathBuf,
    /// Told each second how far it is.
    pub progress: Option<fn(&str)>,
}

/// One bound and what was measured.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    pub name: String,
    pub least: Option<f64>,
    pub most: Option<f64>,
    pub measured: f64,
    pub holds: bool,
}

pub struct Outcome {
    pub history: History,
    pub figures: Figures,
    pub bounds: Vec<Bound>,
    pub broken: Vec<Violation>,
    /// What ended unasked, with its last lines.
    pub unexpected_exits: Vec<String>,
    /// Why the run does not count, where it does not.
    pub not_measured: Option<String>,
}

impl Outcome {
    pub fn passed(&self) -> bool {
        self.not_measured.is_none() && self.broken.is_empty() && self.bounds.iter().all(|b| b.holds)
    }
}

struct Gatherer {
    process: Process,
    /// Where it listens, as the relay to it knows.
    listen: Arc<Mutex<SocketAddr>>,
    /// Where clients reach it.
    link: Arc<Link>,
    /// Whether the front deals out queries to it.
    taken_in: AtomicBool,
    /// Whether it has said that it is ready since its last start.
    ready: AtomicBool,
}

struct Keeper {
    process: Process,
    listen: Arc<Mutex<SocketAddr>>,
}

struct Rig {
    rehearsal: Rehearsal,
    options: Options,
    recorder: Recorder,
    discovery: Discovery,
    servers: Vec<Arc<Server>>,
    gatherers: Vec<Gatherer>,
    keepers: Vec<Keeper>,
    /// Who the owner was when an act hit it, by the act's number.
    hit_owners: Mutex<BTreeMap<usize, Node>>,
    links: BTreeMap<(Node, Node), Arc<Link>>,
    pool: clients::Pool,
    next_query: AtomicU64,
    answered: AtomicU64,
    lag: Mutex<Histogram<u64>>,
}

/// A port of an address that is free now.
fn free(node: Node) -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind((node.address(), 0))?.local_addr()
}

/// The address that a process is to listen at: what it had, or another port where that one is taken by now.
fn usable(listen: &Mutex<SocketAddr>, node: Node) -> std::io::Result<SocketAddr> {
    let mut listen = listen.lock().unwrap_or_else(PoisonError::into_inner);
    if std::net::TcpListener::bind(*listen).is_err() {
        *listen = free(node)?;
    }
    Ok(*listen)
}

fn zone_name(zone: u16) -> String {
    format!("z{zone}")
}

/// Tells who cannot be played on this machine.
fn descriptors(rehearsal: &Rehearsal) -> Result<(), String> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    let (gatherers, servers) = (u64::from(rehearsal.gatherers), u64::from(rehearsal.servers));
    // A listener and a connection for each pair, two where both ends are processes.
    let each = DESCRIPTORS_EACH + 2 * servers + 3 * u64::from(rehearsal.keepers);
    let wanted = DESCRIPTORS + gatherers * each;
    if wanted > limit {
        let words = "fewer gatherers or servers, or a higher limit (ulimit -n)";
        return Err(format!("{wanted} descriptors are needed and {limit} may be open: {words}"));
    }
    Ok(())
}

impl Rig {
    fn new(
        rehearsal: Rehearsal, options: Options, unexpected_exits: mpsc::UnboundedSender<String>,
    ) -> Result<Arc<Rig>, String> {
        let io = |e: std::io::Error| e.to_string();
        let recorder = Recorder::new(Instant::now());
        let verticals: Vec<String> = VERTICALS.iter().map(|v| v.0.to_owned()).collect();
        let server = |i| {
            let model = rehearsal.server;
            shards::start(Server::told(i, model, false, recorder.clone(), verticals.clone()))
        };
        let (servers, dials): (Vec<_>, Vec<_>) = (0..usize::from(rehearsal.servers)).map(server).unzip();
        let addresses = Arc::new(OnceLock::<BTreeMap<(Node, u16), SocketAddr>>::new());
        let known = addresses.clone();
        let address_of = move |from, server| known.get()?.get(&(from, server)).copied();
        let (discovery, list) =
            Discovery::within(rehearsal.list_rate, Arc::new(address_of), recorder.clone());
        let (mut links, mut gatherers, mut known) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        let mut keepers = Vec::new();
        for node in (0..rehearsal.keepers).map(Node::Keeper) {
            let listen = Arc::new(Mutex::new(free(node).map_err(io)?));
            keepers.push(Keeper {
                process: Process::new(node, recorder.clone(), unexpected_exits.clone()),
                listen,
            });
        }
        let to_keepers = |from: Node, links: &mut BTreeMap<(Node, Node), Arc<Link>>| {
            for keeper in keepers.iter().filter(|keeper| keeper.process.node != from) {
                let (to, far) = (keeper.process.node, Target::Process(keeper.listen.clone()));
                let link = Arc::new(Link::new(from, to, far, recorder.clone()).map_err(io)?);
                links.insert((from, to), link.clone());
                tokio::spawn(link.run());
            }
            Ok::<_, String>(())
        };
        for keeper in &keepers {
            to_keepers(keeper.process.node, &mut links)?;
        }
        for g in (0..rehearsal.gatherers).map(Node::Gatherer) {
            to_keepers(g, &mut links)?;
            let mut link = |from: Node, to: Node, far: Target| {
                let link = Arc::new(Link::new(from, to, far, recorder.clone()).map_err(io)?);
                links.insert((from, to), link.clone());
                tokio::spawn(link.clone().run());
                Ok::<_, String>(link)
            };
            link(g, Node::List, Target::InProcess(list.clone()))?;
            for (i, dials) in (0..).zip(&dials) {
                let address = link(g, Node::Server(i), Target::InProcess(dials.clone()))?.address;
                known.insert((g, i), address);
            }
            let listen = Arc::new(Mutex::new(free(g).map_err(io)?));
            let link = link(Node::Clients, g, Target::Process(listen.clone()))?;
            let process = Process::new(g, recorder.clone(), unexpected_exits.clone());
            let (taken_in, ready) = (AtomicBool::new(false), AtomicBool::new(false));
            gatherers.push(Gatherer { process, listen, link, taken_in, ready });
        }
        let _ = addresses.set(known);
        let member = |node: u16| Member {
            node,
            id: format!("s-{node}"),
            zone: zone_name(rehearsal.zone_of(node)),
            // Neighbours in number share a zone's turn, so cells go by what is left.
            cell: u32::from((node / rehearsal.zones) % rehearsal.cells),
            phase: "ready",
            up_since_ms: 0,
        };
        let members: Vec<Member> = (0..rehearsal.servers).map(member).collect();
        discovery.update_members(|list| *list = members);
        let lag = Mutex::new(Histogram::new(3).map_err(|e| e.to_string())?);
        Ok(Arc::new(Rig {
            rehearsal,
            options,
            recorder,
            discovery,
            servers,
            gatherers,
            keepers,
            hit_owners: Mutex::default(),
            links,
            pool: clients::pool(),
            next_query: AtomicU64::new(1),
            answered: AtomicU64::new(0),
            lag,
        }))
    }

    /// What a gatherer is told at its start.
    fn config(&self, index: u16, listen: SocketAddr, kept: bool) -> Value {
        let r = &self.rehearsal;
        let node = Node::Gatherer(index);
        let nothing = json!({"revision": 0, "complete": true, "members": []});
        let vertical = |v: &(&str, &str, f64, f64)| {
            json!({"name": v.0, "effect": v.1, "aim_us": AIM_US, "hard_limit_us": DEADLINE.as_micros() as u64,
                   "late_share": 0.1, "gain": 1.0, "streamed": false, "window_us": 5_000_000})
        };
        let zones: Vec<String> = (0..r.zones).map(zone_name).collect();
        let model = &r.server;
        json!({
            "name": node.to_string(), "listen": listen.to_string(),
            "discovery": self.links[&(node, Node::List)].address.to_string(),
            "seed": format!("{:016x}", fastrand::Rng::with_seed(self.options.seed ^ u64::from(index) << 32).u64(..)),
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 512},
            "known": if kept { self.discovery.known(node) } else { nothing },
            "settings": {
                "balancers": r.gatherers, "zone": r.zone_of(index), "zones": zones, "quantum_us": 5000,
                "membership_mode": "pushed",
                "request_classes": VERTICALS.iter().map(vertical).collect::<Vec<_>>(),
                "projects": [{"name": "acme", "quota_per_s": r.rate}],
                "family_info": {"class_need": VERTICALS.map(|v| v.2), "floor_by_class": VERTICALS.map(|v| v.3),
                    "follow_up": [0, 0, 0], "parts_a_call": 8, "positions": r.cells, "ranges": r.shards,
                    "span": r.span, "overhead_us": (model.call_ms * 1e3) as u64},
                "policy_limits": {"dial_timeout_us": 250_000, "keepalive_us": 15_000_000,
                    "max_attempts": checks::MAX_LEAF_CALLS, "max_retry_after_us": 500_000, "may_cancel": true,
                    "most_held": 20_000, "multiplex": 32, "retry_after": true, "second_copies": true},
                "rules": {"cold_from": model.cold_from, "cold_us": model.cold_ms * 1000,
                    "drain_grace_us": 250_000, "fall_us": model.fall_ms * 1000,
                    "overload_factor": model.overload_factor}}
        })
    }

    /// Where each keeper is for a node, by their numbers, as their settings have it.
    fn keepers_of(&self, node: Node) -> Vec<(usize, SocketAddr)> {
        let of = |(i, keeper): (usize, &Keeper)| {
            let link = self.links.get(&(node, keeper.process.node)).map(|link| link.address);
            let own = || *keeper.listen.lock().unwrap_or_else(PoisonError::into_inner);
            (i + 1, link.unwrap_or_else(own))
        };
        self.keepers.iter().enumerate().map(of).collect()
    }

    fn write(&self, name: String, text: &str) -> Result<String, String> {
        let file = self.options.folder.join(name);
        std::fs::write(&file, text).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(file.display().to_string())
    }

    fn process(&self, node: Node) -> Option<&Process> {
        match node {
            Node::Gatherer(i) => self.gatherers.get(usize::from(i)).map(|g| &g.process),
            Node::Keeper(i) => self.keepers.get(usize::from(i)).map(|k| &k.process),
            Node::Owner => self.recorder.last_owner().and_then(|owner| self.process(owner)),
            _ => None,
        }
    }

    fn start(&self, node: Node, kept: bool) -> Result<(), String> {
        let no_port = |e| format!("{node} has no port: {e}");
        let lease = self.rehearsal.lease_ms;
        let mut arguments: Vec<String> =
            ["serve", "--log", "info", "--log-form", "json"].map(str::to_owned).into();
        let (program, variables) = match node {
            Node::Gatherer(index) => {
                let gatherer = &self.gatherers[usize::from(index)];
                let listen = usable(&gatherer.listen, node).map_err(no_port)?;
                let config = self.config(index, listen, kept).to_string();
                let file = self.write(format!("{node}.json"), &config)?;
                if !self.keepers.is_empty() {
                    let keepers = self.keepers_of(node).into_iter().map(|(n, a)| format!("{n}: \"{a}\""));
                    let keepers = keepers.collect::<Vec<_>>().join(", ");
                    let own = format!("fleet(keepers = {{{keepers}}}, lease_ms = {lease})\n");
                    arguments.extend(["--settings".to_owned(), self.write(format!("{node}.star"), &own)?]);
                }
                gatherer.ready.store(false, Ordering::SeqCst);
                (self.options.program.clone(), vec![("GW_CONFIG".to_owned(), file)])
            }
            Node::Keeper(index) => {
                let listen = usable(&self.keepers[usize::from(index)].listen, node).map_err(no_port)?;
                let keepers = self.keepers_of(node).into_iter().map(|(n, a)| format!("{n}={a}"));
                let keepers = keepers.collect::<Vec<_>>().join(",");
                let data = self.options.folder.join(node.to_string()).display().to_string();
                let (id, listen) = (format!("{}", index + 1), listen.to_string());
                let (lease, drift) = (lease.to_string(), DRIFT.to_string());
                let words = ["serve", "--trace", "--id", &id, "--listen", &listen, "--data", &data];
                let more = ["--keepers", &keepers, "--lease-ms", &lease, "--drift", &drift];
                arguments = words.iter().chain(&more).map(|word| (*word).to_owned()).collect();
                (self.options.program.with_file_name("ashvane-keeper"), Vec::new())
            }
            _ => return Ok(()),
        };
        let how = LaunchSpec { launcher: self.options.launcher.clone(), program, arguments, variables };
        self.process(node).map_or(Ok(()), |process| process.start(&how))
    }

    /// Starts again once it has ended.
    async fn start_again(
        self: Arc<Self>, node: Node, kept: bool, started: mpsc::UnboundedSender<(Node, bool)>,
    ) {
        if let Some(process) = self.process(node) {
            process.wait_for_exit().await;
        }
        let _ = started.send((node, kept));
    }

    /// How often each keeper was called, second by second.
    async fn count_calls(self: Arc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            for keeper in &self.keepers {
                let address = *keeper.listen.lock().unwrap_or_else(PoisonError::into_inner);
                let Ok(uri) = format!("http://{address}/v1/calls").parse() else { continue };
                let Ok(Ok(answer)) = timeout(FRONT_WAIT, self.pool.get(uri)).await else { continue };
                let body = http_body_util::BodyExt::collect(answer.into_body()).await;
                let calls = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
                let node = keeper.process.node;
                calls.into_iter().for_each(|calls| self.recorder.record(EventKind::Called { node, calls }));
            }
        }
    }

    /// Looks at one gatherer as the front does: takes it in when it says that it is ready, and notices late that
    /// it is not any more.
    async fn front(self: Arc<Self>, index: u16) {
        let gatherer = &self.gatherers[usize::from(index)];
        let notice = Duration::from_millis(self.rehearsal.notice_ms);
        let uri: hyper::Uri = match format!("http://{}/healthz", gatherer.link.address).parse() {
            Ok(uri) => uri,
            Err(_) => return,
        };
        let mut well = Instant::now();
        loop {
            let (taken_in, ready) =
                (gatherer.taken_in.load(Ordering::SeqCst), gatherer.ready.load(Ordering::SeqCst));
            sleep(if taken_in && ready { FRONT_LOOK } else { FRONT_LOOK_OUT }).await;
            if !taken_in && !gatherer.process.is_running() {
                continue;
            }
            let look = timeout(FRONT_WAIT, self.pool.get(uri.clone())).await;
            let status = look.ok().and_then(Result::ok).map(|answer| answer.status().as_u16());
            if status == Some(200) {
                well = Instant::now();
                gatherer.taken_in.store(true, Ordering::SeqCst);
                if !gatherer.ready.swap(true, Ordering::SeqCst) {
                    self.recorder.record(EventKind::Ready { node: Node::Gatherer(index) });
                }
            } else if taken_in && (status.is_some() || well.elapsed() >= notice) {
                gatherer.taken_in.store(false, Ordering::SeqCst);
            }
        }
    }

    fn step(self: &Arc<Self>, step: Step, started: &mpsc::UnboundedSender<(Node, bool)>) {
        let act = |node: Node, act: ProcessSignal| {
            self.process(node).into_iter().for_each(|process| process.send_signal(act))
        };
        // Who owned the duty when the act began is who it ends for.
        let owner = |number: usize, node: Node, begins: bool| {
            let mut hit = self.hit_owners.lock().unwrap_or_else(PoisonError::into_inner);
            match (node, begins) {
                (Node::Owner, true) => {
                    *hit.entry(number).or_insert_with(|| self.recorder.last_owner().unwrap_or(Node::Owner))
                }
                (Node::Owner, false) => hit.get(&number).copied().unwrap_or(node),
                _ => node,
            }
        };
        let server = |i: u16| &self.servers[usize::from(i)];
        let phase = |i: u16, phase: Option<&'static str>| {
            self.discovery.update_members(|list| match phase {
                Some(phase) => list.iter_mut().filter(|m| m.node == i).for_each(|m| m.phase = phase),
                None => list.retain(|m| m.node != i),
            });
        };
        let link = |from, to| self.links.get(&(from, to));
        match step {
            Step::Start { number, node, kept } => {
                let node = owner(number, node, false);
                tokio::spawn(self.clone().start_again(node, kept, started.clone()));
            }
            Step::Term { number, node } => act(owner(number, node, true), ProcessSignal::Term),
            Step::Kill { number, node } => act(owner(number, node, true), ProcessSignal::Kill),
            Step::Stop { number, node } => act(owner(number, node, true), ProcessSignal::Stop),
            Step::Wake { number, node } => act(owner(number, node, false), ProcessSignal::Continue),
            Step::Hit { number, from, to, way, fault } => {
                let from = owner(number, from, true);
                link(from, to).into_iter().for_each(|link| link.inject(number, way, fault));
            }
            Step::Mend { number, from, to, dropped } => {
                let from = owner(number, from, false);
                link(from, to).into_iter().for_each(|link| link.clear(number, dropped));
            }
            Step::Behave { number, server: i, vertical, manner } => {
                server(i).behave(number, vertical, manner)
            }
            Step::Recover { number, server: i } => server(i).recover(number),
            Step::Trouble { number, who, trouble } => self.discovery.hit(number, who, trouble),
            Step::Untrouble { number } => self.discovery.mend(number),
            Step::Drain(i) => phase(i, Some("draining")),
            Step::Gone(i) => phase(i, None),
            Step::Cold(i) => {
                server(i).restart();
                let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
                let now = unix.unwrap_or_default().as_millis() as u64;
                self.discovery.update_members(|list| {
                    list.iter_mut().filter(|m| m.node == i).for_each(|m| m.up_since_ms = now);
                });
            }
        }
    }

    /// One client's query with its further tries.
    async fn query(self: Arc<Self>, planned: PlannedQuery) {
        let mut rng = fastrand::Rng::with_seed(planned.lot);
        let vertical = usize::from(planned.vertical);
        for attempt in 0..=self.rehearsal.retries {
            let number = self.next_query.fetch_add(1, Ordering::Relaxed);
            let alive: Vec<usize> = (0..self.gatherers.len())
                .filter(|i| self.gatherers[*i].taken_in.load(Ordering::SeqCst))
                .collect();
            let chosen = (!alive.is_empty()).then(|| alive[rng.usize(..alive.len())]);
            let node = chosen.map_or(Node::Clients, |i| Node::Gatherer(i as u16));
            let asked =
                EventKind::Asked { query: number, node, vertical: planned.vertical, retry: attempt > 0 };
            self.recorder.record(asked);
            let got = match chosen {
                Some(i) => {
                    let ask = ClientQuery {
                        id: format!("q{number}"),
                        vertical: VERTICALS[vertical].0,
                        tenant: "acme",
                        shards: planned.shards.clone(),
                        need: VERTICALS[vertical].2,
                        length: VALUE,
                        deadline: DEADLINE,
                        retry: attempt > 0,
                    };
                    clients::get(&self.pool, self.gatherers[i].link.address, &ask).await
                }
                None => End::Unreached.into(),
            };
            self.recorder.record(EventKind::Ended { query: number, end: got.end, shards: got.shards });
            if matches!(got.end, End::Whole | End::Partial) {
                self.answered.fetch_add(1, Ordering::Relaxed);
                return;
            }
            if !matches!(got.end, End::Rejected | End::Closed | End::Unreached) {
                return;
            }
            sleep(got.retry_after.unwrap_or(AGAIN) + Duration::from_secs_f64(AGAIN_SPREAD * rng.f64())).await;
        }
    }

    /// All queries, each at its time; what the schedule lags behind is noted.
    async fn ask_all(self: Arc<Self>, queries: Vec<PlannedQuery>, start: Instant) {
        let mut out = JoinSet::new();
        for planned in queries {
            let due = start + planned.at;
            if due > Instant::now() {
                sleep_until(due).await;
            }
            let late = due.elapsed().as_millis() as u64;
            let _ = self.lag.lock().unwrap_or_else(PoisonError::into_inner).record(late);
            out.spawn(self.clone().query(planned));
            while out.try_join_next().is_some() {}
        }
        while out.join_next().await.is_some() {}
    }

    /// Waits until all are ready; the names of those that are not in time.
    async fn warm(&self) -> Result<(), String> {
        let end = Instant::now() + WARM_MOST;
        let waits = |g: &&Gatherer| !g.taken_in.load(Ordering::SeqCst);
        loop {
            let late: Vec<String> =
                self.gatherers.iter().filter(waits).map(|g| g.process.node.to_string()).collect();
            if late.is_empty() && (self.keepers.is_empty() || self.recorder.last_owner().is_some()) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("not ready within {WARM_MOST:?}: {}", late.join(" ")));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills all that still run.
    async fn end(&self) {
        let all = || self.gatherers.iter().map(|g| &g.process).chain(self.keepers.iter().map(|k| &k.process));
        all().for_each(|process| process.send_signal(ProcessSignal::Kill));
        for process in all() {
            process.wait_for_exit().await;
        }
    }

    /// Processor time of gatherers over the time, the most and the mean, in cores.
    fn gatherer_cores(&self, before: &[Option<Duration>], over: Duration, figures: &mut Figures) {
        let used = |(g, before): (&Gatherer, &Option<Duration>)| {
            Some(g.process.cpu_time()?.saturating_sub(before.unwrap_or_default()).as_secs_f64())
        };
        let used: Vec<f64> = self.gatherers.iter().zip(before).filter_map(used).collect();
        let over = over.as_secs_f64().max(0.001);
        figures.insert("gatherer_cores_most", used.iter().copied().fold(0.0, f64::max) / over);
        figures.insert("gatherer_cores_mean", used.iter().sum::<f64>() / used.len().max(1) as f64 / over);
    }
}

/// What bounds a rehearsal has, and whether they hold.
fn bounds(rehearsal: &Rehearsal, figures: &Figures) -> Vec<Bound> {
    let each = f64::from(rehearsal.gatherers);
    let most = rehearsal.most.iter().map(|(name, most)| (name, None, Some(*most)));
    let most_each = rehearsal.most_each.iter().map(|(name, most)| (name, None, Some(*most * each)));
    let least = rehearsal.least.iter().map(|(name, least)| (name, Some(*least), None));
    let least_each = rehearsal.least_each.iter().map(|(name, least)| (name, Some(*least * each), None));
    let bound = |(name, least, most): (&String, Option<f64>, Option<f64>)| {
        // A figure that the run has none of breaks its bound.
        let measured = figures.get(name.as_str()).copied();
        let holds =
            measured.is_some_and(|m| most.is_none_or(|most| m <= most) && least.is_none_or(|l| m >= l));
        Bound { name: name.clone(), least, most, measured: measured.unwrap_or(-1.0), holds }
    };
    most.chain(most_each).chain(least).chain(least_each).map(bound).collect()
}

/// Plays a rehearsal. To be awaited on the thread that lasts as long as the rig; when this is dropped, all that
/// it started ends.
pub async fn play(rehearsal: &Rehearsal, options: &Options) -> Result<Outcome, String> {
    descriptors(rehearsal)?;
    std::fs::create_dir_all(&options.folder).map_err(|e| format!("{}: {e}", options.folder.display()))?;
    let (unexpected_exits, mut ended) = mpsc::unbounded_channel();
    let rig = Rig::new(rehearsal.clone(), options.clone(), unexpected_exits)?;
    let (started, mut to_start) = mpsc::unbounded_channel();
    let mut fronts = JoinSet::new();
    (0..rehearsal.gatherers).for_each(|i| drop(fronts.spawn(rig.clone().front(i))));
    let plan: Plan = rehearsal.plan(options.seed);
    fronts.spawn(rig.clone().count_calls());
    let keepers = (0..rehearsal.keepers).map(Node::Keeper);
    for node in keepers.chain((0..rehearsal.gatherers).map(Node::Gatherer)) {
        rig.start(node, rehearsal.kept)?;
    }
    if rehearsal.warm {
        tokio::select! {
            warm = rig.warm() => warm?,
            Some(words) = ended.recv() => return Err(words),
        }
        rig.recorder.restart_clock();
    }
    let start = Instant::now();
    let cpu_before: Vec<_> = rig.gatherers.iter().map(|g| g.process.cpu_time()).collect();
    let own_before = cpu_time("/proc/self/stat").unwrap_or_default();
    let mut asking = tokio::spawn(rig.clone().ask_all(plan.queries, start));
    let mut steps = plan.steps.into_iter().take_while(|(at, _)| *at < rehearsal.length()).peekable();
    let (mut words, mut asked, mut next_look) = (Vec::new(), false, start);
    loop {
        let next = steps.peek().map_or(rehearsal.length(), |(at, _)| *at);
        tokio::select! {
            () = sleep_until(start + next), if !asked || steps.peek().is_some() => match steps.next() {
                Some((_, step)) => rig.step(step, &started),
                None => asked = true,
            },
            Some((node, kept)) = to_start.recv() => rig.start(node, kept)?,
            Some(unexpected_exits) = ended.recv() => words.push(unexpected_exits),
            _ = &mut asking, if asked => break,
            () = sleep_until(next_look), if options.progress.is_some() => {
                next_look += Duration::from_secs(1);
                let (at, answered) = (start.elapsed().as_secs(), rig.answered.load(Ordering::Relaxed));
                let line = format!("{at} of {} s, {answered} queries answered", rehearsal.seconds.ceil());
                options.progress.iter().for_each(|tell| tell(&line));
            }
        }
    }
    let took = start.elapsed();
    let mut own = Figures::new();
    rig.gatherer_cores(&cpu_before, took, &mut own);
    let used = cpu_time("/proc/self/stat").unwrap_or_default().saturating_sub(own_before);
    own.insert("rig_cores", used.as_secs_f64() / took.as_secs_f64());
    let lag = rig.lag.lock().unwrap_or_else(PoisonError::into_inner).value_at_quantile(0.99) as f64;
    own.insert("lag_99_ms", lag);
    fronts.abort_all();
    rig.end().await;
    while let Ok(unexpected_exits) = ended.try_recv() {
        words.push(unexpected_exits);
    }
    let history = rig.recorder.take();
    let mut figures = figures::measure(&history, rehearsal.mark(), rehearsal.length());
    figures.append(&mut own);
    let not_measured = match history.dropped_count {
        0 if lag > MAX_LAG_MS => {
            Some(format!("clients asked {lag} ms late, one in a hundred: the machine is too busy"))
        }
        0 => None,
        dropped_count => Some(format!("{dropped_count} events found no room in the history")),
    };
    let broken = checks::violations(&history);
    Ok(Outcome {
        bounds: bounds(rehearsal, &figures),
        history,
        figures,
        broken,
        unexpected_exits: words,
        not_measured,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_port_that_is_taken_by_now_is_given_up_for_another() {
        let node = Node::Gatherer(700);
        let listen = Mutex::new(free(node).expect("a port"));
        let first = usable(&listen, node).expect("a port");
        assert_eq!(first, *listen.lock().expect("it"), "it is kept while it can be had");
        let _taken = std::net::TcpListener::bind(first).expect("it is free");
        let second = usable(&listen, node).expect("a port");
        assert!(second != first && second == *listen.lock().expect("it"));
    }

    #[test]
    fn a_bound_on_a_figure_that_was_not_measured_is_broken() {
        let mut rehearsal = Rehearsal::read(crate::rehearsals::ALL[0].1).expect("it");
        rehearsal.most = [("avoided_s".to_owned(), 1.0), ("dials".to_owned(), 5.0)].into();
        rehearsal.most_each = [("list_calls".to_owned(), 2.0)].into();
        (rehearsal.least, rehearsal.least_each) = Default::default();
        rehearsal.gatherers = 10;
        let figures = Figures::from([("dials", 5.0), ("list_calls", 20.5)]);
        let holds: Vec<(String, bool)> =
            bounds(&rehearsal, &figures).into_iter().map(|b| (b.name, b.holds)).collect();
        let expected = [("avoided_s", false), ("dials", true), ("list_calls", false)];
        assert_eq!(holds, expected.map(|(name, holds)| (name.to_owned(), holds)));
    }
}
