//! Rig of a rehearsal: starts keepers, gatherers, stand-ins and the relays between them, carries out a plan,
//! and evaluates the recorded history.

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

/// Time that a warm fleet has to become ready before the clock of the rehearsal starts.
const WARM_UP_TIMEOUT: Duration = Duration::from_secs(30);
/// Health check interval for a gatherer that is in rotation.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Health check interval for a gatherer that is out of rotation.
const READMISSION_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Time-out of a health check and of a call to a keeper's counter.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Deadline of a query.
const QUERY_DEADLINE: Duration = Duration::from_millis(1500);
/// Latency target: answers up to this age have their full value.
const LATENCY_TARGET_US: u64 = 500_000;
/// Backoff of a client that received no `Retry-After`.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum jitter added to each backoff, in seconds.
const RETRY_JITTER_S: f64 = 0.1;
/// Maximum clock drift configured at the keepers; it is also the default of the gatherers.
const CLOCK_DRIFT_RATIO: f64 = 0.01;
/// Length of each part's value.
const VALUE_BYTES: usize = 32;
/// File descriptors that the rig needs for itself.
const RIG_DESCRIPTORS: u64 = 200;
/// File descriptors that each gatherer needs in addition to its links.
const DESCRIPTORS_PER_GATHERER: u64 = 10;
/// Maximum 99th percentile of the delay with which clients send planned queries. A run above it counts as not
/// measured, because the machine is too busy.
pub const MAX_LAG_MS: f64 = 100.0;

/// Options of a run.
#[derive(Clone)]
pub struct Options {
    /// Gatherer program; `ashvane-keeper` is expected beside it.
    pub program: PathBuf,
    /// Program that starts the processes; see [`LaunchSpec`].
    pub launcher: PathBuf,
    pub seed: u64,
    /// Folder for the configuration files and keeper data of the run.
    pub folder: PathBuf,
    /// Called every second with a line about the progress.
    pub progress: Option<fn(&str)>,
}

/// A bound on a figure, with the measured value (-1 if the figure was not measured).
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    pub name: String,
    pub least: Option<f64>,
    pub most: Option<f64>,
    pub measured: f64,
    pub holds: bool,
}

/// Result of a run.
pub struct Outcome {
    pub history: History,
    pub figures: Figures,
    pub bounds: Vec<Bound>,
    pub broken: Vec<Violation>,
    /// Processes that exited unexpectedly, with their last log lines.
    pub unexpected_exits: Vec<String>,
    /// Reason why the run counts as not measured, if it does.
    pub not_measured: Option<String>,
}

impl Outcome {
    /// Whether the run was measured, violated no rule and kept all bounds.
    pub fn passed(&self) -> bool {
        self.not_measured.is_none() && self.broken.is_empty() && self.bounds.iter().all(|b| b.holds)
    }
}

struct Gatherer {
    process: Process,
    /// Listen address, shared with the relay to it.
    listen: Arc<Mutex<SocketAddr>>,
    /// Relay from the clients.
    link: Arc<Link>,
    /// Whether the front sends queries to it.
    in_rotation: AtomicBool,
    /// Whether it has reported readiness since its last start.
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
    /// Owner that each action on [`Node::Owner`] affected, by the number of the action.
    affected_owners: Mutex<BTreeMap<usize, Node>>,
    links: BTreeMap<(Node, Node), Arc<Link>>,
    pool: clients::Pool,
    next_query: AtomicU64,
    answered: AtomicU64,
    lag: Mutex<Histogram<u64>>,
}

/// Returns the node's address with a port that is free at the moment.
fn free_address(node: Node) -> std::io::Result<SocketAddr> {
    std::net::TcpListener::bind((node.address(), 0))?.local_addr()
}

/// Returns the listen address for a process, and chooses another port if its previous one is in use by now.
fn usable_address(listen: &Mutex<SocketAddr>, node: Node) -> std::io::Result<SocketAddr> {
    let mut listen = listen.lock().unwrap_or_else(PoisonError::into_inner);
    if std::net::TcpListener::bind(*listen).is_err() {
        *listen = free_address(node)?;
    }
    Ok(*listen)
}

fn zone_name(zone: u16) -> String {
    format!("z{zone}")
}

/// Checks that the limit of open files allows the rehearsal.
fn check_descriptor_limit(rehearsal: &Rehearsal) -> Result<(), String> {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    let (gatherers, servers) = (u64::from(rehearsal.gatherers), u64::from(rehearsal.servers));
    // A listener and a connection for each link to a stand-in; one more connection for each link to a keeper.
    let per_gatherer = DESCRIPTORS_PER_GATHERER + 2 * servers + 3 * u64::from(rehearsal.keepers);
    let needed = RIG_DESCRIPTORS + gatherers * per_gatherer;
    if needed > limit {
        let hint = "fewer gatherers or servers, or a higher limit (ulimit -n)";
        return Err(format!("{needed} descriptors are needed and {limit} may be open: {hint}"));
    }
    Ok(())
}

impl Rig {
    fn new(
        rehearsal: Rehearsal, options: Options, exit_sender: mpsc::UnboundedSender<String>,
    ) -> Result<Arc<Rig>, String> {
        let io = |e: std::io::Error| e.to_string();
        let recorder = Recorder::new(Instant::now());
        let verticals: Vec<String> = VERTICALS.iter().map(|v| v.0.to_owned()).collect();
        let server = |i| {
            let model = rehearsal.server;
            shards::start(Server::for_rehearsal(i, model, false, recorder.clone(), verticals.clone()))
        };
        let (servers, connections): (Vec<_>, Vec<_>) =
            (0..usize::from(rehearsal.servers)).map(server).unzip();
        let shared_addresses = Arc::new(OnceLock::<BTreeMap<(Node, u16), SocketAddr>>::new());
        let link_addresses = shared_addresses.clone();
        let address_of = move |from, server| link_addresses.get()?.get(&(from, server)).copied();
        let (discovery, list) =
            Discovery::in_process(rehearsal.list_rate, Arc::new(address_of), recorder.clone());
        let (mut links, mut gatherers, mut link_addresses) = (BTreeMap::new(), Vec::new(), BTreeMap::new());
        let mut keepers = Vec::new();
        for node in (0..rehearsal.keepers).map(Node::Keeper) {
            let listen = Arc::new(Mutex::new(free_address(node).map_err(io)?));
            keepers
                .push(Keeper { process: Process::new(node, recorder.clone(), exit_sender.clone()), listen });
        }
        let to_keepers = |from: Node, links: &mut BTreeMap<(Node, Node), Arc<Link>>| {
            for keeper in keepers.iter().filter(|keeper| keeper.process.node != from) {
                let (to, target) = (keeper.process.node, Target::Process(keeper.listen.clone()));
                let link = Arc::new(Link::new(from, to, target, recorder.clone()).map_err(io)?);
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
            let mut link = |from: Node, to: Node, target: Target| {
                let link = Arc::new(Link::new(from, to, target, recorder.clone()).map_err(io)?);
                links.insert((from, to), link.clone());
                tokio::spawn(link.clone().run());
                Ok::<_, String>(link)
            };
            link(g, Node::List, Target::InProcess(list.clone()))?;
            for (i, connections) in (0..).zip(&connections) {
                let address = link(g, Node::Server(i), Target::InProcess(connections.clone()))?.address;
                link_addresses.insert((g, i), address);
            }
            let listen = Arc::new(Mutex::new(free_address(g).map_err(io)?));
            let link = link(Node::Clients, g, Target::Process(listen.clone()))?;
            let process = Process::new(g, recorder.clone(), exit_sender.clone());
            let (in_rotation, ready) = (AtomicBool::new(false), AtomicBool::new(false));
            gatherers.push(Gatherer { process, listen, link, in_rotation, ready });
        }
        let _ = shared_addresses.set(link_addresses);
        let member = |node: u16| Member {
            node,
            id: format!("s-{node}"),
            zone: zone_name(rehearsal.zone_of(node)),
            // Zones are assigned by `node % zones`; dividing first spreads each zone over all cells.
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
            affected_owners: Mutex::default(),
            links,
            pool: clients::pool(),
            next_query: AtomicU64::new(1),
            answered: AtomicU64::new(0),
            lag,
        }))
    }

    /// Returns the configuration with which a gatherer starts; `kept` includes the current list.
    fn config(&self, index: u16, listen: SocketAddr, kept: bool) -> Value {
        let rehearsal = &self.rehearsal;
        let node = Node::Gatherer(index);
        let empty_list = json!({"revision": 0, "complete": true, "members": []});
        let vertical = |v: &(&str, &str, f64, f64)| {
            json!({"name": v.0, "effect": v.1, "aim_us": LATENCY_TARGET_US,
                   "hard_limit_us": QUERY_DEADLINE.as_micros() as u64,
                   "late_share": 0.1, "gain": 1.0, "streamed": false, "window_us": 5_000_000})
        };
        let zones: Vec<String> = (0..rehearsal.zones).map(zone_name).collect();
        let model = &rehearsal.server;
        json!({
            "name": node.to_string(), "listen": listen.to_string(),
            "discovery": self.links[&(node, Node::List)].address.to_string(),
            "seed": format!("{:016x}", fastrand::Rng::with_seed(self.options.seed ^ u64::from(index) << 32).u64(..)),
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 512},
            "known": if kept { self.discovery.snapshot_for(node) } else { empty_list },
            "settings": {
                "balancers": rehearsal.gatherers, "zone": rehearsal.zone_of(index), "zones": zones,
                "quantum_us": 5000,
                "membership_mode": "pushed",
                "request_classes": VERTICALS.iter().map(vertical).collect::<Vec<_>>(),
                "projects": [{"name": "acme", "quota_per_s": rehearsal.rate}],
                "family_info": {"class_need": VERTICALS.map(|v| v.2), "floor_by_class": VERTICALS.map(|v| v.3),
                    "follow_up": [0, 0, 0], "parts_a_call": 8, "positions": rehearsal.cells,
                    "ranges": rehearsal.shards, "span": rehearsal.span, "overhead_us": (model.call_ms * 1e3) as u64},
                "policy_limits": {"dial_timeout_us": 250_000, "keepalive_us": 15_000_000,
                    "max_attempts": checks::MAX_LEAF_CALLS, "max_retry_after_us": 500_000, "may_cancel": true,
                    "most_held": 20_000, "multiplex": 32, "retry_after": true, "second_copies": true},
                "rules": {"cold_from": model.cold_from, "cold_us": model.cold_ms * 1000,
                    "drain_grace_us": 250_000, "fall_us": model.fall_ms * 1000,
                    "overload_factor": model.overload_factor}}
        })
    }

    /// Returns the number and address of each keeper as a node reaches it.
    fn keepers_of(&self, node: Node) -> Vec<(usize, SocketAddr)> {
        let entry = |(i, keeper): (usize, &Keeper)| {
            let link = self.links.get(&(node, keeper.process.node)).map(|link| link.address);
            let listen_address = || *keeper.listen.lock().unwrap_or_else(PoisonError::into_inner);
            (i + 1, link.unwrap_or_else(listen_address))
        };
        self.keepers.iter().enumerate().map(entry).collect()
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
        let port_error = |e| format!("no free port for {node}: {e}");
        let lease = self.rehearsal.lease_ms;
        let mut arguments: Vec<String> =
            ["serve", "--log", "info", "--log-form", "json"].map(str::to_owned).into();
        let (program, variables) = match node {
            Node::Gatherer(index) => {
                let gatherer = &self.gatherers[usize::from(index)];
                let listen = usable_address(&gatherer.listen, node).map_err(port_error)?;
                let config = self.config(index, listen, kept).to_string();
                let file = self.write(format!("{node}.json"), &config)?;
                if !self.keepers.is_empty() {
                    let keepers = self.keepers_of(node).into_iter().map(|(n, a)| format!("{n}: \"{a}\""));
                    let keepers = keepers.collect::<Vec<_>>().join(", ");
                    let settings = format!("fleet(keepers = {{{keepers}}}, lease_ms = {lease})\n");
                    arguments
                        .extend(["--settings".to_owned(), self.write(format!("{node}.star"), &settings)?]);
                }
                gatherer.ready.store(false, Ordering::SeqCst);
                (self.options.program.clone(), vec![("GW_CONFIG".to_owned(), file)])
            }
            Node::Keeper(index) => {
                let listen =
                    usable_address(&self.keepers[usize::from(index)].listen, node).map_err(port_error)?;
                let keepers = self.keepers_of(node).into_iter().map(|(n, a)| format!("{n}={a}"));
                let keepers = keepers.collect::<Vec<_>>().join(",");
                let data = self.options.folder.join(node.to_string()).display().to_string();
                let (id, listen) = (format!("{}", index + 1), listen.to_string());
                let (lease, drift) = (lease.to_string(), CLOCK_DRIFT_RATIO.to_string());
                let required = ["serve", "--trace", "--id", &id, "--listen", &listen, "--data", &data];
                let options = ["--keepers", &keepers, "--lease-ms", &lease, "--drift", &drift];
                arguments = required.iter().chain(&options).map(|word| (*word).to_owned()).collect();
                (self.options.program.with_file_name("ashvane-keeper"), Vec::new())
            }
            _ => return Ok(()),
        };
        let spec = LaunchSpec { launcher: self.options.launcher.clone(), program, arguments, variables };
        self.process(node).map_or(Ok(()), |process| process.start(&spec))
    }

    /// Requests a new start of a process once it has exited.
    async fn restart_after_exit(
        self: Arc<Self>, node: Node, kept: bool, started: mpsc::UnboundedSender<(Node, bool)>,
    ) {
        if let Some(process) = self.process(node) {
            process.wait_for_exit().await;
        }
        let _ = started.send((node, kept));
    }

    /// Records the call counter of each keeper every second.
    async fn poll_keeper_calls(self: Arc<Self>) {
        loop {
            sleep(Duration::from_secs(1)).await;
            for keeper in &self.keepers {
                let address = *keeper.listen.lock().unwrap_or_else(PoisonError::into_inner);
                let Ok(uri) = format!("http://{address}/v1/calls").parse() else { continue };
                let Ok(Ok(response)) = timeout(HEALTH_CHECK_TIMEOUT, self.pool.get(uri)).await else {
                    continue;
                };
                let body = http_body_util::BodyExt::collect(response.into_body()).await;
                let calls = body.ok().and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
                let node = keeper.process.node;
                calls.into_iter().for_each(|calls| self.recorder.record(EventKind::Called { node, calls }));
            }
        }
    }

    /// Checks the health of a gatherer like a load balancer: takes it into rotation when it is ready, and out
    /// of rotation when it answers otherwise or has not answered for `notice_ms`.
    async fn check_health(self: Arc<Self>, index: u16) {
        let gatherer = &self.gatherers[usize::from(index)];
        let removal_delay = Duration::from_millis(self.rehearsal.notice_ms);
        let uri: hyper::Uri = match format!("http://{}/healthz", gatherer.link.address).parse() {
            Ok(uri) => uri,
            Err(_) => return,
        };
        let mut last_healthy = Instant::now();
        loop {
            let (in_rotation, ready) =
                (gatherer.in_rotation.load(Ordering::SeqCst), gatherer.ready.load(Ordering::SeqCst));
            sleep(if in_rotation && ready { HEALTH_CHECK_INTERVAL } else { READMISSION_CHECK_INTERVAL })
                .await;
            if !in_rotation && !gatherer.process.is_running() {
                continue;
            }
            let response = timeout(HEALTH_CHECK_TIMEOUT, self.pool.get(uri.clone())).await;
            let status = response.ok().and_then(Result::ok).map(|response| response.status().as_u16());
            if status == Some(200) {
                last_healthy = Instant::now();
                gatherer.in_rotation.store(true, Ordering::SeqCst);
                if !gatherer.ready.swap(true, Ordering::SeqCst) {
                    self.recorder.record(EventKind::Ready { node: Node::Gatherer(index) });
                }
            } else if in_rotation && (status.is_some() || last_healthy.elapsed() >= removal_delay) {
                gatherer.in_rotation.store(false, Ordering::SeqCst);
            }
        }
    }

    fn apply(self: &Arc<Self>, step: Step, started: &mpsc::UnboundedSender<(Node, bool)>) {
        let act = |node: Node, act: ProcessSignal| {
            self.process(node).into_iter().for_each(|process| process.send_signal(act))
        };
        // An action on the owner ends for the gatherer that owned the duty when the action began.
        let owner = |number: usize, node: Node, begins: bool| {
            let mut affected = self.affected_owners.lock().unwrap_or_else(PoisonError::into_inner);
            match (node, begins) {
                (Node::Owner, true) => *affected
                    .entry(number)
                    .or_insert_with(|| self.recorder.last_owner().unwrap_or(Node::Owner)),
                (Node::Owner, false) => affected.get(&number).copied().unwrap_or(node),
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
                tokio::spawn(self.clone().restart_after_exit(node, kept, started.clone()));
            }
            Step::Term { number, node } => act(owner(number, node, true), ProcessSignal::Term),
            Step::Kill { number, node } => act(owner(number, node, true), ProcessSignal::Kill),
            Step::Stop { number, node } => act(owner(number, node, true), ProcessSignal::Stop),
            Step::Continue { number, node } => act(owner(number, node, false), ProcessSignal::Continue),
            Step::InjectFault { number, from, to, way, fault } => {
                let from = owner(number, from, true);
                link(from, to).into_iter().for_each(|link| link.inject(number, way, fault));
            }
            Step::ClearFault { number, from, to, dropped } => {
                let from = owner(number, from, false);
                link(from, to).into_iter().for_each(|link| link.clear(number, dropped));
            }
            Step::SetBehaviour { number, server: i, vertical, manner } => {
                server(i).set_behaviour(number, vertical, manner)
            }
            Step::ClearBehaviour { number, server: i } => server(i).clear_behaviour(number),
            Step::InjectListFault { number, who, trouble } => self.discovery.inject(number, who, trouble),
            Step::ClearListFault { number } => self.discovery.clear(number),
            Step::Drain(i) => phase(i, Some("draining")),
            Step::Remove(i) => phase(i, None),
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

    /// Sends a client's query, with its retries.
    async fn query(self: Arc<Self>, planned: PlannedQuery) {
        let mut rng = fastrand::Rng::with_seed(planned.selection_seed);
        let vertical = usize::from(planned.vertical);
        for attempt in 0..=self.rehearsal.retries {
            let number = self.next_query.fetch_add(1, Ordering::Relaxed);
            let in_rotation: Vec<usize> = (0..self.gatherers.len())
                .filter(|i| self.gatherers[*i].in_rotation.load(Ordering::SeqCst))
                .collect();
            let gatherer_index =
                (!in_rotation.is_empty()).then(|| in_rotation[rng.usize(..in_rotation.len())]);
            let node = gatherer_index.map_or(Node::Clients, |i| Node::Gatherer(i as u16));
            let event =
                EventKind::Asked { query: number, node, vertical: planned.vertical, retry: attempt > 0 };
            self.recorder.record(event);
            let outcome = match gatherer_index {
                Some(i) => {
                    let query = ClientQuery {
                        id: format!("q{number}"),
                        vertical: VERTICALS[vertical].0,
                        tenant: "acme",
                        shards: planned.shards.clone(),
                        need: VERTICALS[vertical].2,
                        length: VALUE_BYTES,
                        deadline: QUERY_DEADLINE,
                        retry: attempt > 0,
                    };
                    clients::send_query(&self.pool, self.gatherers[i].link.address, &query).await
                }
                None => End::Unreached.into(),
            };
            self.recorder.record(EventKind::Ended {
                query: number,
                end: outcome.end,
                shards: outcome.shards,
            });
            if matches!(outcome.end, End::Whole | End::Partial) {
                self.answered.fetch_add(1, Ordering::Relaxed);
                return;
            }
            if !matches!(outcome.end, End::Rejected | End::Closed | End::Unreached) {
                return;
            }
            sleep(
                outcome.retry_after.unwrap_or(RETRY_BACKOFF)
                    + Duration::from_secs_f64(RETRY_JITTER_S * rng.f64()),
            )
            .await;
        }
    }

    /// Sends all queries at their planned times and records the lag behind the schedule.
    async fn send_queries(self: Arc<Self>, queries: Vec<PlannedQuery>, start: Instant) {
        let mut tasks = JoinSet::new();
        for planned in queries {
            let due = start + planned.at;
            if due > Instant::now() {
                sleep_until(due).await;
            }
            let late = due.elapsed().as_millis() as u64;
            let _ = self.lag.lock().unwrap_or_else(PoisonError::into_inner).record(late);
            tasks.spawn(self.clone().query(planned));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Waits until all gatherers are in rotation and, with keepers, one owns a duty. Fails with the names of
    /// those that are not ready in time.
    async fn wait_until_ready(&self) -> Result<(), String> {
        let end = Instant::now() + WARM_UP_TIMEOUT;
        let is_waiting = |g: &&Gatherer| !g.in_rotation.load(Ordering::SeqCst);
        loop {
            let late: Vec<String> =
                self.gatherers.iter().filter(is_waiting).map(|g| g.process.node.to_string()).collect();
            if late.is_empty() && (self.keepers.is_empty() || self.recorder.last_owner().is_some()) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("gatherers not ready within {WARM_UP_TIMEOUT:?}: {}", late.join(" ")));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills all processes that are still running.
    async fn kill_all(&self) {
        let all = || self.gatherers.iter().map(|g| &g.process).chain(self.keepers.iter().map(|k| &k.process));
        all().for_each(|process| process.send_signal(ProcessSignal::Kill));
        for process in all() {
            process.wait_for_exit().await;
        }
    }

    /// Measures the CPU use of the gatherers in cores: the maximum and the mean.
    fn measure_gatherer_cores(&self, before: &[Option<Duration>], over: Duration, figures: &mut Figures) {
        let cpu_used = |(g, before): (&Gatherer, &Option<Duration>)| {
            Some(g.process.cpu_time()?.saturating_sub(before.unwrap_or_default()).as_secs_f64())
        };
        let cpu_used: Vec<f64> = self.gatherers.iter().zip(before).filter_map(cpu_used).collect();
        let over = over.as_secs_f64().max(0.001);
        figures.insert("gatherer_cores_most", cpu_used.iter().copied().fold(0.0, f64::max) / over);
        figures.insert(
            "gatherer_cores_mean",
            cpu_used.iter().sum::<f64>() / cpu_used.len().max(1) as f64 / over,
        );
    }
}

/// Evaluates the bounds of a rehearsal.
fn evaluate_bounds(rehearsal: &Rehearsal, figures: &Figures) -> Vec<Bound> {
    let per_gatherer = f64::from(rehearsal.gatherers);
    let most = rehearsal.most.iter().map(|(name, most)| (name, None, Some(*most)));
    let most_each = rehearsal.most_each.iter().map(|(name, most)| (name, None, Some(*most * per_gatherer)));
    let least = rehearsal.least.iter().map(|(name, least)| (name, Some(*least), None));
    let least_each =
        rehearsal.least_each.iter().map(|(name, least)| (name, Some(*least * per_gatherer), None));
    let bound = |(name, least, most): (&String, Option<f64>, Option<f64>)| {
        // A bound on a figure that was not measured is violated.
        let measured = figures.get(name.as_str()).copied();
        let holds =
            measured.is_some_and(|m| most.is_none_or(|most| m <= most) && least.is_none_or(|l| m >= l));
        Bound { name: name.clone(), least, most, measured: measured.unwrap_or(-1.0), holds }
    };
    most.chain(most_each).chain(least).chain(least_each).map(bound).collect()
}

/// Runs a rehearsal. Must be awaited on a thread that lives as long as the rig; dropping the future kills all
/// processes that it started.
pub async fn run_rehearsal(rehearsal: &Rehearsal, options: &Options) -> Result<Outcome, String> {
    check_descriptor_limit(rehearsal)?;
    std::fs::create_dir_all(&options.folder).map_err(|e| format!("{}: {e}", options.folder.display()))?;
    let (exit_sender, mut exit_reports) = mpsc::unbounded_channel();
    let rig = Rig::new(rehearsal.clone(), options.clone(), exit_sender)?;
    let (started, mut to_start) = mpsc::unbounded_channel();
    let mut background = JoinSet::new();
    (0..rehearsal.gatherers).for_each(|i| drop(background.spawn(rig.clone().check_health(i))));
    let plan: Plan = rehearsal.plan(options.seed);
    background.spawn(rig.clone().poll_keeper_calls());
    let keepers = (0..rehearsal.keepers).map(Node::Keeper);
    for node in keepers.chain((0..rehearsal.gatherers).map(Node::Gatherer)) {
        rig.start(node, rehearsal.kept)?;
    }
    if rehearsal.warm {
        tokio::select! {
            warm = rig.wait_until_ready() => warm?,
            Some(report) = exit_reports.recv() => return Err(report),
        }
        rig.recorder.restart_clock();
    }
    let start = Instant::now();
    let cpu_before: Vec<_> = rig.gatherers.iter().map(|g| g.process.cpu_time()).collect();
    let rig_cpu_before = cpu_time("/proc/self/stat").unwrap_or_default();
    let mut query_task = tokio::spawn(rig.clone().send_queries(plan.queries, start));
    let mut steps = plan.steps.into_iter().take_while(|(at, _)| *at < rehearsal.duration()).peekable();
    let (mut unexpected_exits, mut steps_done, mut next_progress) = (Vec::new(), false, start);
    loop {
        let next = steps.peek().map_or(rehearsal.duration(), |(at, _)| *at);
        tokio::select! {
            () = sleep_until(start + next), if !steps_done || steps.peek().is_some() => match steps.next() {
                Some((_, step)) => rig.apply(step, &started),
                None => steps_done = true,
            },
            Some((node, kept)) = to_start.recv() => rig.start(node, kept)?,
            Some(report) = exit_reports.recv() => unexpected_exits.push(report),
            _ = &mut query_task, if steps_done => break,
            () = sleep_until(next_progress), if options.progress.is_some() => {
                next_progress += Duration::from_secs(1);
                let (at, answered) = (start.elapsed().as_secs(), rig.answered.load(Ordering::Relaxed));
                let line = format!("{at} of {} s, {answered} queries answered", rehearsal.seconds.ceil());
                options.progress.iter().for_each(|tell| tell(&line));
            }
        }
    }
    let elapsed = start.elapsed();
    let mut run_figures = Figures::new();
    rig.measure_gatherer_cores(&cpu_before, elapsed, &mut run_figures);
    let cpu_used = cpu_time("/proc/self/stat").unwrap_or_default().saturating_sub(rig_cpu_before);
    run_figures.insert("rig_cores", cpu_used.as_secs_f64() / elapsed.as_secs_f64());
    let lag = rig.lag.lock().unwrap_or_else(PoisonError::into_inner).value_at_quantile(0.99) as f64;
    run_figures.insert("lag_99_ms", lag);
    background.abort_all();
    rig.kill_all().await;
    while let Ok(report) = exit_reports.try_recv() {
        unexpected_exits.push(report);
    }
    let history = rig.recorder.take();
    let mut figures = figures::measure(&history, rehearsal.mark(), rehearsal.duration());
    figures.append(&mut run_figures);
    let not_measured = match history.dropped_count {
        0 if lag > MAX_LAG_MS => {
            Some(format!("clients asked {lag} ms late, one in a hundred: the machine is too busy"))
        }
        0 => None,
        dropped_count => Some(format!("{dropped_count} events found no room in the history")),
    };
    let broken = checks::violations(&history);
    Ok(Outcome {
        bounds: evaluate_bounds(rehearsal, &figures),
        history,
        figures,
        broken,
        unexpected_exits,
        not_measured,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_listen_port_that_is_in_use_is_replaced() {
        let node = Node::Gatherer(700);
        let listen = Mutex::new(free_address(node).expect("a free port"));
        let first = usable_address(&listen, node).expect("a free port");
        assert_eq!(first, *listen.lock().expect("not poisoned"), "a free port is kept");
        let _taken = std::net::TcpListener::bind(first).expect("the port is free");
        let second = usable_address(&listen, node).expect("a free port");
        assert!(second != first && second == *listen.lock().expect("not poisoned"));
    }

    #[test]
    fn a_bound_on_a_figure_that_was_not_measured_is_violated() {
        let mut rehearsal = Rehearsal::parse(crate::rehearsals::ALL[0].1).expect("the rehearsal is valid");
        rehearsal.most = [("avoided_s".to_owned(), 1.0), ("dials".to_owned(), 5.0)].into();
        rehearsal.most_each = [("list_calls".to_owned(), 2.0)].into();
        (rehearsal.least, rehearsal.least_each) = Default::default();
        rehearsal.gatherers = 10;
        let figures = Figures::from([("dials", 5.0), ("list_calls", 20.5)]);
        let holds: Vec<(String, bool)> =
            evaluate_bounds(&rehearsal, &figures).into_iter().map(|b| (b.name, b.holds)).collect();
        let expected = [("avoided_s", false), ("dials", true), ("list_calls", false)];
        assert_eq!(holds, expected.map(|(name, holds)| (name.to_owned(), holds)));
    }
}
