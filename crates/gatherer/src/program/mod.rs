//! The program from start to exit, as named phases of one object.

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
use crate::transport::discovery::Discovery;
use crate::transport::front::{self, CLIENT_BYTES, Door, Front};
use crate::transport::keepers::Keepers;
use crate::transport::lane::LANE_BYTES;
use crate::{live, log_lines};

/// Events that may wait for the decisions; past it, handlers and connections wait.
const EVENTS_MOST: usize = 256;
/// Descriptors for all but clients and shard servers: standard streams, the runtime, discovery, the listener.
const SOCKETS_APART: usize = 64;
/// New connections count as having stopped once none has come for so long: they come for up to 0.4 s.
const QUIET: Duration = Duration::from_millis(600);
/// How often an ending program looks whether it is done.
const LOOK: Duration = Duration::from_millis(20);
/// The longest deadline counts as this where it is longer.
const LONGEST_MOST: Duration = Duration::from_secs(3);
/// Beyond the longest deadline, what is open is given up; a program is killed no sooner than 0.7 s beyond it.
const LAST_MARGIN: Duration = Duration::from_millis(500);
/// Share of the time until then in which clients are served on as before: perhaps nobody else is there.
const SERVED_SHARE: f64 = 0.6;
/// Time for the last answers to be written.
const LAST_WRITES: Duration = Duration::from_millis(100);

/// The files that the program starts from and reads again when it is told to.
pub(crate) struct Files {
    /// What the platform tells it.
    pub config: String,
    /// Our own settings, where there are any.
    pub settings: Option<String>,
}

struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
    table: Signal,
}

impl Signals {
    fn listen() -> Result<Signals, String> {
        let listen = |kind| signal(kind).map_err(|e| format!("no signals: {e}"));
        Ok(Signals {
            hangup: listen(SignalKind::hangup())?,
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            table: listen(SignalKind::user_defined1())?,
        })
    }
}

/// The admin listener, where there is one.
type AdminTask = Option<(SocketAddr, JoinHandle<()>)>;

pub(crate) struct Program {
    config: Config,
    files: Files,
    /// The keepers that it talks with, until its end.
    fleet: Option<FleetSettings>,
    /// Whether log lines are JSON where the settings don't say.
    as_json: bool,
    ledger: Ledger,
    admin: RefCell<AdminTask>,
    phase: watch::Sender<Phase>,
    discovery: watch::Sender<SocketAddr>,
    door: Rc<Door>,
    events: mpsc::Sender<Event>,
    /// Once told to end, it ends after this at the latest.
    last: Duration,
}

fn runtime() -> Result<Runtime, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| format!("no runtime: {e}"))
}

/// All faults of a settings file, one to a line.
fn told(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Program {
    /// Runs until told to end and done, or until it cannot start.
    pub(crate) fn run(
        config: Config, files: Files, level: log::LevelFilter, as_json: bool,
    ) -> Result<(), String> {
        LocalSet::new().block_on(&runtime()?, Self::serve(config, files, level, as_json))
    }

    /// All faults of a settings file for a program that may take so much memory.
    pub(crate) fn check(file: &str, memory: u64) -> Result<Vec<Fault>, String> {
        Ok(runtime()?.block_on(own::load(file, memory)).err().unwrap_or_default())
    }

    async fn own(files: &Files, as_json: bool, memory: u64) -> Result<Settings, Vec<Fault>> {
        let mut settings = match &files.settings {
            Some(file) => own::load(file, memory).await?,
            None => Settings::default(),
        };
        let form = if as_json { LogForm::Json } else { LogForm::Text };
        settings.log.form.get_or_insert(form);
        Ok(settings)
    }

    async fn listen(address: SocketAddr) -> Result<TcpListener, String> {
        TcpListener::bind(address).await.map_err(|e| format!("cannot listen on {address}: {e}"))
    }

    /// The room that there is for each purpose, and for each tenant by its rate.
    fn ledger(config: &Config, own: &Settings) -> Ledger {
        let limits = own.limits(config.memory_mb << 20);
        let (names, rates) = (config.network.tenants.iter(), config.settings.tenant_rates.iter());
        Ledger::new(limits, &names.cloned().zip(rates.copied()).collect::<Vec<_>>())
    }

    /// How many clients, and as many connections to servers, descriptors and memory leave room for.
    fn places(config: &Config, ledger: &Ledger) -> usize {
        let sockets = config.sockets.saturating_sub(SOCKETS_APART).max(2) / 2;
        let room = ledger.limits().of(Purpose::Connections).cap / (CLIENT_BYTES + LANE_BYTES);
        sockets.min(usize::try_from(room).unwrap_or(usize::MAX)).max(1)
    }

    #[expect(
        clippy::too_many_lines,
        reason = "not done yet: The path of a request reads as well as it works"
    )]
    async fn serve(
        config: Config, files: Files, level: log::LevelFilter, as_json: bool,
    ) -> Result<(), String> {
        let mut signals = Signals::listen()?;
        let own = Self::own(&files, as_json, config.memory_mb << 20).await.map_err(|faults| told(&faults))?;
        let listener = front::listen(config.listen);
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
        let ledger = Self::ledger(&config, &own);
        log_lines::start(&config.name, level, &own.log, ledger.clone());
        let (events, inbox) = mpsc::channel(EVENTS_MOST);
        let (phase, phases) = watch::channel(Phase::Starting);
        let (ready, is_ready) = oneshot::channel();
        let (left, list_requested, followed) =
            (Arc::<EndedHandlers>::default(), Rc::default(), Rc::new(Notify::new()));
        let (discovery, address) = watch::channel(config.discovery);
        let each = Self::places(&config, &ledger);
        log::info!(
            listen:% = config.listen, sockets = config.sockets, memory_mb = config.memory_mb, clients = each;
            "starts, with as many connections to servers as to clients"
        );
        let door = Rc::new(Door::new(each, ledger.clone()));
        let network = Arc::new(config.network.clone());
        let fronting = Front {
            network: network.clone(),
            events: events.clone(),
            left: left.clone(),
            phase: phases,
            ledger: ledger.clone(),
            answers: Arc::new(Answers::new(ledger.clone())),
            back_after: config.settings.max_retry_after,
        };
        let watching = Discovery {
            address,
            network: network.clone(),
            ledger: ledger.clone(),
            events: events.clone(),
            asked: Rc::clone(&list_requested),
            followed: followed.clone(),
        };
        if let Some(fleet) = &own.fleet {
            let keepers = Keepers::new(&config.name, config.settings.seed, fleet, events.clone());
            spawn_local(keepers.run(phase.subscribe()));
        }
        let ends = RoutingContext {
            max_connections: each,
            events: events.clone(),
            list_requested,
            ready,
            ledger: ledger.clone(),
        };
        let routing = Routing::new(&config.settings, &network, &config.initial_servers, ends);
        let routing = routing.map_err(|e| e.to_string())?;
        let deciding = spawn_local(routing.run(inbox, left));
        spawn_local(watching.run(config.initial_servers.revision));
        spawn_local(door.clone().run(listener, Arc::new(fronting)));
        spawn_local(async {
            loop {
                sleep(log_lines::LOOK_AGAIN).await;
                log_lines::write_waiting();
            }
        });
        let last = network.longest.min(LONGEST_MOST) + LAST_MARGIN;
        let admin = RefCell::default();
        let fleet = own.fleet.clone();
        let program =
            Program { config, files, fleet, as_json, ledger, admin, phase, discovery, door, events, last };
        program.attend(program.admin_listener(&own).await?);
        let terminated = async {
            tokio::select! { _ = signals.terminate.recv() => {}, _ = signals.interrupt.recv() => {} }
        };
        let serving = async {
            tokio::select! { () = terminated => {}, () = program.start(is_ready, &followed) => {} }
            program.end().await;
        };
        let reloading = async {
            while signals.hangup.recv().await.is_some() {
                if let Err(words) = program.reload().await {
                    words.lines().for_each(|line| log::error!("not reloaded: {line}"));
                }
            }
        };
        let telling = async {
            while signals.table.recv().await.is_some() {
                program.tell_memory();
            }
        };
        tokio::select! {
            () = serving => Ok(()),
            _ = deciding => Err("the decisions stopped".into()),
            () = reloading => Err("no signals".into()),
            () = telling => Err("no signals".into()),
        }
    }

    /// A listener for what settings newly say; none where they leave it as it is. The inner one is none where
    /// there is to be no listener any more.
    async fn admin_listener(&self, own: &Settings) -> Result<Option<Option<TcpListener>>, String> {
        if own.admin == self.admin.borrow().as_ref().map(|(address, _)| *address) {
            return Ok(None);
        }
        match own.admin {
            Some(address) => Ok(Some(Some(Self::listen(address).await?))),
            None => Ok(Some(None)),
        }
    }

    /// Goes over to a newer admin listener, if there is one.
    fn attend(&self, newer: Option<Option<TcpListener>>) {
        let Some(newer) = newer else { return };
        let task = newer.and_then(|listener| {
            let address = listener.local_addr().ok()?;
            log::info!(listen:% = address; "the admin listener is up");
            let admin = Admin { ledger: self.ledger.clone(), live: live::bytes };
            Some((address, spawn_local(Arc::new(admin).run(listener))))
        });
        if let Some((_, before)) = self.admin.replace(task) {
            before.abort();
        }
    }

    /// Logs what memory is used for.
    fn tell_memory(&self) {
        let table = self.ledger.table(live::bytes());
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

    /// Becomes ready with the first ready server, and again each time that a reload is done.
    async fn start(&self, is_ready: oneshot::Receiver<()>, followed: &Notify) {
        if is_ready.await.is_ok() {
            self.enter(Phase::Ready);
        }
        loop {
            followed.notified().await;
            if *self.phase.borrow() == Phase::Reloading {
                self.enter(Phase::Ready);
            }
        }
    }

    /// Reads both files anew and takes them over: the discovery that the one names, our own settings from the
    /// other. In trouble all stays as it is.
    async fn reload(&self) -> Result<(), String> {
        let newer = config::load(&self.files.config, true)?;
        let memory = self.config.memory_mb << 20;
        let own = Self::own(&self.files, self.as_json, memory).await.map_err(|faults| told(&faults))?;
        let admin = self.admin_listener(&own).await?;
        let mut fixed = self.config.restart_only_changes(&newer);
        if own.fleet != self.fleet {
            fixed.push("fleet");
        }
        if !fixed.is_empty() {
            log::warn!("only a restart takes over what is new in {}", fixed.join(", "));
        }
        self.ledger.limit(own.limits(memory));
        log_lines::adopt(&own.log);
        self.attend(admin);
        log::info!(discovery:% = newer.discovery; "reloaded");
        if *self.phase.borrow() == Phase::Ready {
            self.enter(Phase::Reloading);
        }
        self.discovery.send_replace(newer.discovery);
        Ok(())
    }

    fn enter(&self, phase: Phase) {
        log::info!(phase:? = phase, clients = self.door.open(); "goes on");
        self.phase.send_replace(phase);
    }

    /// Ends: serves on as long as that leaves time to answer what is open, then sends its clients away.
    async fn end(&self) {
        let told = Instant::now();
        let is_left = || self.door.open() == 0 && self.door.quiet_for().min(told.elapsed()) >= QUIET;
        self.enter(Phase::Draining);
        while !is_left() && told.elapsed() < self.last.mul_f64(SERVED_SHARE) {
            sleep(LOOK).await;
        }
        self.enter(Phase::Closing);
        while !is_left() && told.elapsed() < self.last {
            sleep(LOOK).await;
        }
        if self.door.open() > 0 {
            log::warn!("{} clients are still connected: what they wait for is given up", self.door.open());
            let _ = self.events.send(Event::ShuttingDown).await;
            sleep(LAST_WRITES).await;
        }
        log::info!("ends");
    }
}
