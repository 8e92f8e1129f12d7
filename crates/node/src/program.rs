//! A role from its start to its end.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::Node;
use ashvane_quorum::{DiskId, Member, Membership, Replica};
use slog::{Drain as _, Level, Logger, info, o, warn};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use tokio::time::{Instant, interval, sleep};

use crate::agent::{Agent, TICK};
use crate::control;
use crate::data_plane::DataPlane;
use crate::disk::Disk;
use crate::front::{self, Door};
use crate::links;
use crate::pool;
use crate::register::Register;
use crate::settings::Settings;
use crate::verdict::StartError;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// How often counters are logged.
const COUNT: Duration = Duration::from_secs(10);
/// Time in which clients are sent elsewhere before the last connections are asked to end: whoever asks for
/// readiness does so each second and goes by two answers.
const TURN_AWAY: Duration = Duration::from_millis(2500);
/// What is kept of the grace time, for the end itself.
const GRACE_KEPT: Duration = Duration::from_millis(700);

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes clients' requests and gathers their answers.
    Gateway,
    /// Keeps the configuration on its disk and hears servers and operators.
    Control,
}

struct Plain;

impl slog::Drain for Plain {
    type Ok = ();
    type Err = slog::Never;

    /// Lines go out as they are: the clock of the machine may jump, so each begins with seconds since start.
    fn log(&self, record: &slog::Record<'_>, values: &slog::OwnedKVList) -> Result<(), slog::Never> {
        use std::io::Write as _;
        let mut line = LogLine(format!("{} {}", record.level().as_short_str(), record.msg()));
        let _ = slog::KV::serialize(&record.kv(), record, &mut line);
        let _ = slog::KV::serialize(values, record, &mut line);
        line.0.push('\n');
        let _ = std::io::stderr().write_all(line.0.as_bytes());
        Ok(())
    }
}

struct LogLine(String);

impl slog::Serializer for LogLine {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        use std::fmt::Write as _;
        write!(self.0, " {key}={value}").map_err(slog::Error::from)
    }
}

pub fn logger(level: Level) -> Logger {
    let since = std::time::Instant::now();
    let seconds = slog::PushFnValue(move |_: &slog::Record<'_>, to: slog::PushFnValueSerializer<'_>| {
        to.emit(format_args!("{:.3}", since.elapsed().as_secs_f64()))
    });
    Logger::root(Plain.filter_level(level).ignore_res(), o!("t" => seconds))
}

fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bind = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    bind().map_err(|why| StartError::Listen { address: address.to_string(), why })
}

/// A place among the ports that are free for what processes say to one another.
fn listen_inside(settings: &Settings) -> Result<TcpListener, StartError> {
    let mut last = None;
    for port in settings.ports.0..=settings.ports.1 {
        let text = format!("{}:{port}", settings.ip);
        let fault = |_| StartError::Usage { why: format!("{text} is no address") };
        match listen(text.parse().map_err(fault)?) {
            Ok(listener) => return Ok(listener),
            Err(e) => last = Some(e),
        }
    }
    Err(last.unwrap_or(StartError::Usage { why: "internal-ports names no port".to_owned() }))
}

/// The set that the whole system starts with: the disks of the machines that all are told of.
fn first_membership(settings: &Settings) -> Membership {
    let member = |seed: &String| {
        let (ip, _) = seed.rsplit_once(':')?;
        let address = format!("{ip}:{}", settings.ports.0);
        Some(Member { disk: first_name(seed), address: address.into() })
    };
    Membership::new(1, settings.seeds.iter().filter_map(member).collect())
}

fn first_name(control: &str) -> DiskId {
    format!("first:{control}").into()
}

/// The disk's replica as it was left, or an empty one. Only at the first start of the whole system has an empty
/// disk a name that others know beforehand: later it may be one that has forgotten what it voted for.
pub async fn replica(settings: &Settings, disk: &Disk, found: crate::disk::Found, log: &Logger) -> Replica {
    for why in &found.spoilt {
        warn!(log, "a store on the disk could not be read and begins anew"; "why" => why);
    }
    if let Some(state) = found.replica {
        return Replica::restored(state);
    }
    let first = settings.bootstrap && found.spoilt.is_empty();
    let membership = if first { first_membership(settings) } else { Membership::default() };
    let control = settings.control.map(|c| c.to_string()).unwrap_or_default();
    let named = first && settings.seeds.contains(&control);
    let name = if named { first_name(&control) } else { format!("{:016x}", fastrand::u64(..)).into() };
    let replica = Replica::empty(name, membership);
    let _ = disk.keep(Some(replica.state().clone())).await;
    replica
}

/// This process, as others know it.
pub fn node(settings: &Settings, life: u64, address: String, disk: Option<DiskId>) -> Node {
    Node {
        name: settings.node.clone().into(),
        incarnation: life,
        generation: 1,
        is_down: false,
        address: address.into(),
        control_address: settings.control.map(|c| c.to_string().into()),
        zone: settings.zone.clone().into(),
        is_gateway: settings.front.is_some(),
        disk,
    }
}

/// Reads the settings file again; one that cannot be used changes nothing.
fn reload(agent: &Agent, file: Option<&str>, log: &Logger) {
    match file.map(Settings::load) {
        Some(Ok(settings)) => agent.reloaded(&settings),
        Some(Err(why)) => {
            warn!(log, "the settings file has changed and cannot be used"; "why" => why.to_string())
        }
        None => {}
    }
}

/// The end of a process that was told to end: first it is not ready any more, then clients are sent elsewhere, and it
/// ends once the last one has its answer and its disk has left the membership, or is not missed there.
#[derive(Default)]
pub struct Departure {
    since: Option<Instant>,
    closed: bool,
}

impl Departure {
    /// It was told to end.
    pub fn begin(&mut self) {
        self.since.get_or_insert_with(Instant::now);
    }

    /// Goes on with it; whether the process ends now.
    pub fn is_over(&mut self, agent: &Agent, door: &Door) -> bool {
        let Some(since) = self.since else { return false };
        agent.leave();
        let turned_away = agent.settings.front.is_none() || since.elapsed() >= TURN_AWAY;
        if turned_away && !self.closed {
            self.closed = true;
            door.close();
        }
        let late = since.elapsed() + GRACE_KEPT >= agent.settings.grace;
        self.closed && (late || (door.open() == 0 && agent.may_end()))
    }
}

/// One process, from its listeners to its end. Has to run in a set of local tasks.
pub async fn serve(
    role: Role, settings: Settings, file: Option<&str>, log: Logger,
) -> Result<(), StartError> {
    let inside = listen_inside(&settings)?;
    let address = inside.local_addr().map_err(|why| StartError::Runtime { why })?;
    let life = fastrand::u64(..);
    let mut recalled = Vec::new();
    let register = match &settings.data_dir {
        None => None,
        Some(dir) => {
            let (disk, mut found) =
                Disk::open(dir).map_err(|why| StartError::Settings { file: dir.clone(), why })?;
            recalled = std::mem::take(&mut found.servers);
            let replica = replica(&settings, &disk, found, &log).await;
            info!(log, "disk"; "name" => replica.state().disk.as_str(), "epoch" => replica.state().membership.epoch,
                "version" => replica.accepted_config().map_or(0, |f| f.version));
            let name = replica.state().disk.clone();
            Some((Register::new(replica, disk, life), name))
        }
    };
    if role == Role::Control && register.is_none() {
        return Err(StartError::Usage { why: "a control_node needs data-dir in its settings".to_owned() });
    }
    let (register, disk) = register.unzip();
    let me = node(&settings, life, address.to_string(), disk);
    let plane = settings.front.map(|_| DataPlane::new(&settings, Rc::new(pool::Tcp), log.clone()));
    let agent =
        Agent::new(settings.clone(), me, register, plane.clone(), Rc::new(links::Sockets), log.clone());
    agent.recall(recalled);
    let door = Rc::new(Door::default());
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    {
        let agent = agent.clone();
        spawn(Box::pin(async move {
            loop {
                let Ok((stream, _)) = inside.accept().await else {
                    sleep(Duration::from_millis(50)).await;
                    continue;
                };
                let (read, write) = links::ways(stream);
                tokio::task::spawn_local(links::run(read, write, false, agent.clone()));
            }
        }));
    }
    if let Some(address) = settings.control {
        spawn(Box::pin(control::run(listen(address)?, address.to_string(), agent.clone())));
    }
    if let Some(address) = settings.readiness {
        spawn(Box::pin(front::tell_readiness(listen(address)?, agent.clone())));
    }
    if let (Some(address), Some(plane)) = (settings.front, plane) {
        spawn(Box::pin(front::run(listen(address)?, agent.clone(), plane, door.clone())));
    }
    info!(log, "started"; "node" => &settings.node, "address" => address.to_string());
    let runtime = |why| StartError::Runtime { why };
    let mut end = signal(SignalKind::terminate()).map_err(runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(runtime)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(runtime)?;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut counted = Instant::now();
    let mut departure = Departure::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => agent.tick(),
            _ = end.recv() => departure.begin(),
            _ = interrupt.recv() => departure.begin(),
            _ = hangup.recv() => reload(&agent, file, &log),
        }
        if counted.elapsed() >= COUNT {
            counted = Instant::now();
            agent.count();
            // It may change without a signal.
            reload(&agent, file, &log);
        }
        if departure.is_over(&agent, &door) {
            agent.count();
            info!(log, "ended"; "open" => door.open(), "busy" => door.busy());
            return Ok(());
        }
    }
}

/// Runs a role until it is told to end.
pub fn run(role: Role, settings: Settings, file: &str, log: Logger) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|why| StartError::Runtime { why })?;
    let served = LocalSet::new().block_on(&runtime, serve(role, settings, Some(file), log));
    // A disk that hangs must not hold up the end.
    runtime.shutdown_background();
    served
}
