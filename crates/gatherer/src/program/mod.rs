//! The program from start to exit: start, readiness, reload and graceful shutdown.

mod own;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_config::{Fault, FleetSettings, LogForm, Settings};
use ashvane_memory::{Ledger, Purpose};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::protocol::config::{self, Config};
use crate::protocol::event::{EndedHandlers, Event, Phase};
use crate::routing::{Routing, RoutingContext};
use crate::transport::admin::Admin;
use crate::transport::answers::Answers;
use crate::transport::discovery::DiscoveryClient;
use crate::transport::front::{self, CLIENT_CONNECTION_BYTES, ClientSlots, HandlerContext};
use crate::transport::keepers::KeeperSession;
use crate::transport::lane::SERVER_CONNECTION_BYTES;
use crate::{live, log_lines};

/// Capacity of the queue of events for routing. Handlers and connections wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 256;
/// Number of descriptors for everything but connections to clients and shard servers: standard streams, the
/// runtime, discovery and the listeners.
const RESERVED_SOCKETS: usize = 64;
/// Time without new connections after which clients count as having moved elsewhere. While they move, new
/// connections arrive for up to 0.4 s.
const QUIET_PERIOD: Duration = Duration::from_millis(600);
/// Interval of the check whether all clients have disconnected.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum query timeout that the shutdown waits for.
const MAX_QUERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time beyond the longest query timeout after which open queries are aborted. The program is not killed
/// earlier than 0.7 s beyond that timeout.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Ratio of the draining phase to the whole shutdown. Clients are served as usual in it, because there may be
/// no other gatherer yet.
const DRAINING_RATIO: f64 = 0.6;
/// Time for writing the last answers.
const FINAL_WRITE_DELAY: Duration = Duration::from_millis(100);

/// Paths of the files that the program reads at start and at each reload.
pub(crate) struct Files {
    /// The configuration file, written by the platform.
    pub config: String,
    /// The settings file, if one is given.
    pub settings: Option<String>,
}

struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
    memory_report: Signal,
}

impl Signals {
    fn listen() -> Result<Signals, String> {
        let listen = |kind| signal(kind).map_err(|e| format!("cannot install the signal handlers: {e}"));
        Ok(Signals {
            hangup: listen(SignalKind::hangup())?,
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            memory_report: listen(SignalKind::user_defined1())?,
        })
    }
}

/// Address and task of the admin listener, if there is one.
type AdminTask = Option<(SocketAddr, JoinHandle<()>)>;

/// The running program.
pub(crate) struct Program {
    config: Config,
    files: Files,
    /// Settings of the keepers, which only a restart changes.
    fleet: Option<FleetSettings>,
    /// Whether log lines are JSON if the settings file does not state the form.
    as_json: bool,
    ledger: Ledger,
    admin: RefCell<AdminTask>,
    phase: watch::Sender<Phase>,
    discovery: watch::Sender<SocketAddr>,
    clients: Rc<ClientSlots>,
    events: mpsc::Sender<Event>,
    /// Time after the signal to end at which open queries are aborted.
    shutdown_timeout: Duration,
}

fn runtime() -> Result<Runtime, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("cannot start the async runtime: {e}"))
}

/// Formats the faults of a settings file, one per line.
fn format_faults(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Program {
    /// Runs the program until its graceful shutdown is complete. Fails if it cannot start.
    pub(crate) fn run(
        config: Config, files: Files, level: log::LevelFilter, as_json: bool,
    ) -> Result<(), String> {
        LocalSet::new().block_on(&runtime()?, Self::serve(config, files, level, as_json))
    }

    /// Returns all faults of a settings file, for a program with `memory` bytes of memory.
    pub(crate) fn check(file: &str, memory: u64) -> Result<Vec<Fault>, String> {
        Ok(runtime()?.block_on(own::load(file, memory)).err().unwrap_or_default())
    }

    /// Loads the settings file, or the defaults if there is none.
    async fn load_settings(files: &Files, as_json: bool, memory: u64) -> Result<Settings, Vec<Fault>> {
        let mut settings = match &files.settings {
            Some(file) => own::load(file, memory).await?,
            None => Settings::default(),
        };
        let form = if as_json { LogForm::Json } else { LogForm::Text };
        settings.log.form.get_or_insert(form);
        Ok(settings)
    }

    async fn bind(address: SocketAddr) -> Result<TcpListener, String> {
        TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
    }

    /// Creates the ledger: a memory limit for each purpose, divided among the tenants by their rates.
    fn create_ledger(config: &Config, settings: &Settings) -> Ledger {
        let limits = settings.limits(config.memory_mb << 20);
        let (names, rates) = (config.network.tenants.iter(), config.settings.tenant_rates.iter());
        Ledger::new(limits, &names.cloned().zip(rates.copied()).collect::<Vec<_>>())
    }

    /// Returns the maximum number of client connections. The number of connections to servers has the same
    /// limit, and descriptors and memory suffice for both.
    fn max_clients(config: &Config, ledger: &Ledger) -> usize {
        let sockets = config.sockets.saturating_sub(RESERVED_SOCKETS).max(2) / 2;
        let memory_slots = ledger.limits().of(Purpose::Connections).cap
            / (CLIENT_CONNECTION_BYTES + SERVER_CONNECTION_BYTES);
        sockets.min(usize::try_from(memory_slots).unwrap_or(usize::MAX)).max(1)
    }

    #[expect(clippy::too_many_lines, reason = "starts one task after another; not split yet")]
    /// Starts all tasks, and runs until the graceful shutdown is complete.
    async fn serve(
        config: Config, files: Files, level: log::LevelFilter, as_json: bool,
    ) -> Result<(), String> {
        let mut signals = Signals::listen()?;
        let settings = Self::load_settings(&files, as_json, config.memory_mb << 20)
            .await
            .map_err(|faults| format_faults(&faults))?;
        let listener = front::listen(config.listen);
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
        let ledger = Self::create_ledger(&config, &settings);
        log_lines::start(&config.name, level, &settings.log, ledger.clone());
        let (events, inbox) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (phase, phases) = watch::channel(Phase::Starting);
        let (ready, is_ready) = oneshot::channel();
        let (ended_handlers, list_requested, first_list_received) =
            (Arc::<EndedHandlers>::default(), Rc::default(), Rc::new(Notify::new()));
        let (discovery, address) = watch::channel(config.discovery);
        let max_clients = Self::max_clients(&config, &ledger);
        log::info!(
            listen:% = config.listen, sockets = config.sockets, memory_mb = config.memory_mb,
            clients = max_clients;
            "starting; at most as many connections to servers as to clients"
        );
        let clients = Rc::new(ClientSlots::new(max_clients, ledger.clone()));
        let network = Arc::new(config.network.clone());
        let handler_context = HandlerContext {
            network: network.clone(),
            events: events.clone(),
            ended_handlers: ended_handlers.clone(),
            phase: phases,
            ledger: ledger.clone(),
            answers: Arc::new(Answers::new(ledger.clone())),
            retry_after: config.settings.max_retry_after,
        };
        let discovery_client = DiscoveryClient {
            address,
            network: network.clone(),
            ledger: ledger.clone(),
            events: events.clone(),
            list_requested: Rc::clone(&list_requested),
            first_list_received: first_list_received.clone(),
        };
        if let Some(fleet) = &settings.fleet {
            let keepers = KeeperSession::new(&config.name, config.settings.seed, fleet, events.clone());
            spawn_local(keepers.run(phase.subscribe()));
        }
        let routing_context = RoutingContext {
            max_connections: max_clients,
            events: events.clone(),
            list_requested,
            ready,
            ledger: ledger.clone(),
        };
        let routing = Routing::new(&config.settings, &network, &config.initial_servers, routing_context);
        let routing = routing.map_err(|e| e.to_string())?;
        let routing_task = spawn_local(routing.run(inbox, ended_handlers));
        spawn_local(discovery_client.run(config.initial_servers.revision));
        spawn_local(clients.clone().run(listener, Arc::new(handler_context)));
        spawn_local(async {
            loop {
                sleep(log_lines::RETRY_INTERVAL).await;
                log_lines::write_queued_lines();
            }
        });
        let shutdown_timeout = network.longest.min(MAX_QUERY_TIMEOUT) + SHUTDOWN_MARGIN;
        let admin = RefCell::default();
        let fleet = settings.fleet.clone();
        let program = Program {
            config,
            files,
            fleet,
            as_json,
            ledger,
            admin,
            phase,
            discovery,
            clients,
            events,
            shutdown_timeout,
        };
        program.replace_admin_listener(program.admin_listener(&settings).await?);
        let terminated = async {
            tokio::select! { _ = signals.terminate.recv() => {}, _ = signals.interrupt.recv() => {} }
        };
        let serving = async {
            tokio::select! {
                () = terminated => {},
                () = program.track_readiness(is_ready, &first_list_received) => {}
            }
            program.shut_down().await;
        };
        let reloading = async {
            while signals.hangup.recv().await.is_some() {
                if let Err(message) = program.reload().await {
                    message
                        .lines()
                        .for_each(|line| log::error!("reload failed, keeping the current settings: {line}"));
                }
            }
        };
        let reporting = async {
            while signals.memory_report.recv().await.is_some() {
                program.log_memory_report();
            }
        };
        tokio::select! {
            () = serving => Ok(()),
            _ = routing_task => Err("the routing task ended unexpectedly".into()),
            () = reloading => Err("SIGHUP can no longer be received".into()),
            () = reporting => Err("SIGUSR1 can no longer be received".into()),
        }
    }

    /// Binds the admin listener if its address in the settings has changed. Returns `None` if it has not, and
    /// `Some(None)` if the settings no longer state one.
    async fn admin_listener(&self, settings: &Settings) -> Result<Option<Option<TcpListener>>, String> {
        if settings.admin == self.admin.borrow().as_ref().map(|(address, _)| *address) {
            return Ok(None);
        }
        match settings.admin {
            Some(address) => Ok(Some(Some(Self::bind(address).await?))),
            None => Ok(Some(None)),
        }
    }

    /// Replaces the admin listener as [`Program::admin_listener`] determined.
    fn replace_admin_listener(&self, replacement: Option<Option<TcpListener>>) {
        let Some(replacement) = replacement else { return };
        let task = replacement.and_then(|listener| {
            let address = listener.local_addr().ok()?;
            log::info!(listen:% = address; "admin listener started");
            let admin = Admin { ledger: self.ledger.clone(), allocated_bytes: live::allocated_bytes };
            Some((address, spawn_local(Arc::new(admin).run(listener))))
        });
        if let Some((_, before)) = self.admin.replace(task) {
            before.abort();
        }
    }

    /// Logs the memory use by purpose.
    fn log_memory_report(&self) {
        let table = self.ledger.table(live::allocated_bytes());
        log::info!(
            live = table.live, sum = table.sum, total = table.total, unattributed = table.unattributed;
            "memory"
        );
        for row in table.purposes {
            log::info!(
                purpose = row.purpose, now = row.now, peak = row.peak, cap = row.cap, reserve = row.reserve,
                refused = row.refused;
                "memory"
            );
        }
    }

    /// Enters the ready phase when a list has a ready server for the first time, and again after each reload.
    async fn track_readiness(&self, is_ready: oneshot::Receiver<()>, first_list_received: &Notify) {
        if is_ready.await.is_ok() {
            self.enter_phase(Phase::Ready);
        }
        loop {
            first_list_received.notified().await;
            if *self.phase.borrow() == Phase::Reloading {
                self.enter_phase(Phase::Ready);
            }
        }
    }

    /// Reads both files again, and applies the address of discovery from the configuration and all of the
    /// settings file. If either file is invalid, nothing changes.
    async fn reload(&self) -> Result<(), String> {
        let reloaded = config::load(&self.files.config, true)?;
        let memory = self.config.memory_mb << 20;
        let settings = Self::load_settings(&self.files, self.as_json, memory)
            .await
            .map_err(|faults| format_faults(&faults))?;
        let admin = self.admin_listener(&settings).await?;
        let mut restart_only = self.config.restart_only_changes(&reloaded);
        if settings.fleet != self.fleet {
            restart_only.push("fleet");
        }
        if !restart_only.is_empty() {
            log::warn!(
                "changes to these settings need a restart and are ignored: {}",
                restart_only.join(", ")
            );
        }
        self.ledger.limit(settings.limits(memory));
        log_lines::apply_settings(&settings.log);
        self.replace_admin_listener(admin);
        log::info!(discovery:% = reloaded.discovery; "configuration reloaded");
        if *self.phase.borrow() == Phase::Ready {
            self.enter_phase(Phase::Reloading);
        }
        self.discovery.send_replace(reloaded.discovery);
        Ok(())
    }

    /// Enters a phase.
    fn enter_phase(&self, phase: Phase) {
        log::info!(phase:? = phase, clients = self.clients.open_count(); "entering phase");
        self.phase.send_replace(phase);
    }

    /// Shuts down gracefully. Clients are served as usual in the draining phase, and are then asked to
    /// reconnect elsewhere. Queries that are still open after `shutdown_timeout` are aborted.
    async fn shut_down(&self) {
        let signalled_at = Instant::now();
        let is_drained = || {
            self.clients.open_count() == 0
                && self.clients.since_last_accept().min(signalled_at.elapsed()) >= QUIET_PERIOD
        };
        self.enter_phase(Phase::Draining);
        while !is_drained() && signalled_at.elapsed() < self.shutdown_timeout.mul_f64(DRAINING_RATIO) {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.enter_phase(Phase::Closing);
        while !is_drained() && signalled_at.elapsed() < self.shutdown_timeout {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        if self.clients.open_count() > 0 {
            log::warn!(
                "aborting all open queries: {} clients are still connected at the end of the shutdown",
                self.clients.open_count()
            );
            let _ = self.events.send(Event::ShuttingDown).await;
            sleep(FINAL_WRITE_DELAY).await;
        }
        log::info!("shutdown complete");
    }
}
