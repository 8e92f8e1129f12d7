//! A complete gateway between scripted clients and servers. A ledger records the requests that were sent,
//! executed and responded to, and the violations found.

pub(crate) mod client;
pub(crate) mod server;
pub(crate) mod wire;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::{Agent, AgentParts, LocalReplica, PutOutcome};
use ashvane_node::data_plane::DataPlane;
use ashvane_node::disk::{Disk, PendingDepartures, StoredState};
use ashvane_node::engine::TICK_INTERVAL;
use ashvane_node::front::ClientConnections;
use ashvane_node::links::{Connecting, Transport};
use ashvane_node::program::{own_node, recover_replica};
use ashvane_node::settings::Settings;
use slog::{Discard, Logger, o};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use server::{Behavior, Server, Servers};

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Services of the configuration, with their number of servers.
const SERVICES: [(&str, usize); 5] = [("s", 5), ("lone", 1), ("a", 2), ("b", 2), ("c", 2)];
/// Number of records in a gathered response.
pub(crate) const TOP_K: usize = 5;
/// Time after the last request in which all pending work must end.
const SETTLE_TIME: Duration = ms(3000);

/// How often each event occurred.
pub(crate) type Counts = BTreeMap<&'static str, u32>;

/// A request as its client sent it, and what servers did with it.
pub(crate) struct RecordedRequest {
    pub method: &'static str,
    pub target: String,
    pub body: Vec<u8>,
    /// Whether it must not run twice.
    pub at_most_once: bool,
    /// Whether its client has sent all of it.
    pub is_sent_completely: bool,
    /// Number of times that a server has executed it.
    pub run_count: u32,
    /// Number of servers that have read it and not yet responded, on connections where the next response can
    /// only be its own.
    pub pending_count: u32,
    /// Actions of servers on it, in order.
    pub actions: Vec<&'static str>,
    /// Whether its client got a status that promises that it has not run and never will.
    pub promised_not_to_run: bool,
}

/// A response that a server has sent with a seal.
pub(crate) struct SealedResponse {
    pub attempt: String,
    pub service: &'static str,
    pub body: Vec<u8>,
    /// Whether the server sent it as a success.
    pub is_success: bool,
}

/// What clients and servers have recorded: requests by attempt, responses by seal, violations and counts.
#[derive(Default)]
pub(crate) struct Ledger {
    pub requests: BTreeMap<String, RecordedRequest>,
    pub sealed_responses: BTreeMap<String, SealedResponse>,
    pub violations: Vec<String>,
    pub counts: Counts,
}

impl Ledger {
    pub(crate) fn report_violation(&mut self, violation: impl Into<String>) {
        self.violations.push(violation.into());
    }

    pub(crate) fn count(&mut self, event: &'static str) {
        *self.counts.entry(event).or_default() += 1;
    }

    /// Records what a server does with a request.
    pub(crate) fn record_action(&mut self, attempt: &str, action: &'static str) {
        self.requests.get_mut(attempt).into_iter().for_each(|request| request.actions.push(action));
    }

    /// Records that a server executes a request, and checks that it may.
    pub(crate) fn record_run(&mut self, attempt: &str) {
        let Some(request) = self.requests.get_mut(attempt) else { return };
        request.run_count += 1;
        let (runs_again, promised_not_to_run) =
            (request.at_most_once && request.run_count > 1, request.promised_not_to_run);
        if runs_again {
            self.report_violation(format!("TWICE: {attempt} has run more than once"));
        }
        if promised_not_to_run {
            self.report_violation(format!(
                "PROMISE BROKEN: {attempt} runs after a status that promised that it never will"
            ));
        }
    }
}

/// The gateway with its servers and the ledger.
pub(crate) struct World {
    pub agent: Rc<Agent>,
    pub data_plane: Rc<DataPlane>,
    pub clients: Rc<ClientConnections>,
    pub ledger: Rc<RefCell<Ledger>>,
    servers: Rc<Servers>,
    /// What servers do with requests.
    pub behavior: Rc<Cell<Behavior>>,
}

/// Transport of a system of one process: there are no peers to connect to.
struct NoPeers;

impl Transport for NoPeers {
    fn connect(&self, _address: ashvane_identifiers::Address) -> Connecting {
        Box::pin(async { None })
    }
}

pub(crate) fn settings() -> Settings {
    let text = "node = \"one\"\nip = \"10.0.0.1\"\nzone = \"z\"\ninternal-ports = [7080, 7080]\nbootstrap = true\n\
                seed-nodes = [\"10.0.0.1:8047\"]\nbeat-interval-ms = 3600000\ndata-dir = \"-\"\n\
                [listen]\ncontrol = \"10.0.0.1:8047\"\nfront = \"10.0.0.1:8043\"\n\
                [bounds]\nretry-ratio = 1.0\nretry-slack = 1000000.0\n";
    Settings::parse(text, "-").expect("the settings are valid")
}

/// Returns a configuration with routes for queries, for calls that must not run twice, and for gathering. Those
/// whose names begin with `long-` have a deadline that is longer than the default grace period.
fn configuration() -> String {
    let route = |name: &str, kind: &str, target: &str| {
        let (deadline_ms, target_ms) = if name.starts_with("long-") { (8000, 800) } else { (2000, 200) };
        format!(
            r#"{{"name":"{name}","host":"h.example","path-prefix":"/{name}/","kind":"{kind}",
                "deadline-ms":{deadline_ms},"target-ms":{target_ms},{target},"max-tries":3}}"#
        )
    };
    let routes = [
        route("one", "idempotent", r#""service":"s""#),
        route("once", "non_idempotent", r#""service":"s""#),
        route("lone", "non_idempotent", r#""service":"lone""#),
        route("long-one", "idempotent", r#""service":"s""#),
        route("long-once", "non_idempotent", r#""service":"s""#),
        route("long-all", "idempotent", r#""fan-out":["a","b","c"],"top-k":5,"min-coverage":0.3"#),
        route("all", "idempotent", &format!(r#""fan-out":["a","b","c"],"top-k":{TOP_K},"min-coverage":0.3"#)),
    ];
    let services = SERVICES.map(|(name, _)| format!(r#"{{"name":"{name}","max-conns":512}}"#));
    format!(r#"{{"version":1,"routes":[{}],"services":[{}]}}"#, routes.join(","), services.join(","))
}

/// Starts a disk that stores all writes in memory within a millisecond.
fn start_in_memory_disk() -> Disk {
    let (disk, inbox) = Disk::new();
    spawn_local(async move {
        let mut state = StoredState::default();
        loop {
            sleep(ms(1)).await;
            let Some(mut pending_write) = inbox.take() else { continue };
            pending_write.take_departures().into_iter().for_each(PendingDepartures::notify_synced);
            pending_write.apply_to(&mut state);
            pending_write.notify_synced();
        }
    });
    disk
}

impl World {
    /// Starts a gateway with its configuration in force and all servers known.
    pub(crate) async fn start(seed: u64) -> Rc<World> {
        World::start_with(seed, settings()).await
    }

    /// Starts a gateway with other settings.
    pub(crate) async fn start_with(seed: u64, settings: Settings) -> Rc<World> {
        fastrand::seed(seed);
        let log = Logger::root(Discard, o!());
        let (ledger, behavior) = (Rc::<RefCell<Ledger>>::default(), Rc::new(Cell::new(Behavior::Faulty)));
        let servers = Rc::new(Servers::default());
        let plane = DataPlane::new(&settings, servers.clone(), log.clone());
        let disk = start_in_memory_disk();
        let replica = recover_replica(&settings, &disk, StoredState::default().recovered(), &log).await;
        let name = replica.state().disk.clone();
        let own = own_node(&settings, 1, "10.0.0.1:7080".into(), Some(name));
        let local_replica = Some(LocalReplica { replica, disk });
        let data_plane = Some(plane.clone());
        let transport = Rc::new(NoPeers);
        let agent = Agent::new(AgentParts { settings, own, local_replica, data_plane, transport, log });
        agent.tick();
        let put = agent.put(configuration().as_bytes()).await;
        assert!(matches!(put, PutOutcome::Accepted { version: 1 }), "the configuration is accepted");
        let mut rng = fastrand::Rng::with_seed(seed);
        for (service, count) in SERVICES {
            for n in 0..count {
                let server = Server::start(service, n, rng.fork(), ledger.clone(), behavior.clone());
                let heartbeat = Heartbeat {
                    id: server.id.clone().into(),
                    service: service.to_owned().into(),
                    address: server.address.clone().into(),
                    zone: "z".to_owned().into(),
                    capacity: 8,
                    state: ServerState::Ready,
                    sequence: 1,
                };
                servers.add(server);
                assert!(agent.record_heartbeat(heartbeat).await.is_ok(), "the heartbeat is accepted");
            }
        }
        let ticking_agent = agent.clone();
        spawn_local(async move {
            loop {
                sleep(TICK_INTERVAL).await;
                ticking_agent.tick();
            }
        });
        Rc::new(World { agent, data_plane: plane, clients: Rc::default(), ledger, servers, behavior })
    }

    /// Shuts the gateway down gracefully while clients continue, as a process does on SIGTERM.
    pub(crate) async fn shut_down_after(&self, delay: Duration, close_delay: Duration) {
        sleep(delay).await;
        self.agent.shut_down();
        sleep(close_delay).await;
        self.clients.close_gracefully();
    }

    /// Checks that no connection is left open and that no request has run against a promise.
    pub(crate) async fn check_final_state(&self) {
        self.behavior.set(Behavior::Normal);
        sleep(SETTLE_TIME).await;
        self.servers.close_connections();
        sleep(ms(100)).await;
        let mut ledger = self.ledger.borrow_mut();
        let violating: Vec<String> = ledger
            .requests
            .iter()
            .filter(|(_, a)| a.promised_not_to_run && a.run_count > 0)
            .map(|(id, _)| id.clone())
            .collect();
        violating.into_iter().for_each(|id| {
            ledger.report_violation(format!(
                "PROMISE BROKEN: {id} has run, though its status promised that it never would"
            ))
        });
        let open_connections = self.data_plane.open_connection_count();
        if self.clients.open_count() + self.clients.in_flight_count() > 0 {
            ledger.report_violation(
                "OPEN: connections or requests of clients are still counted after all clients have left",
            );
        }
        if open_connections > 0 {
            ledger.report_violation(format!(
                "OPEN: {open_connections} connections to servers are still counted after all were closed"
            ));
        }
    }
}

/// Runs a simulation to its end on one thread, with simulated time.
pub(crate) fn run_simulation<F: Future>(simulation: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime can be created"), simulation)
}
