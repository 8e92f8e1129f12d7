//! Startup and shutdown of a role. This module only assembles the others.

mod first_start;
mod graceful_shutdown;
mod listeners;
mod process_log;
mod shutdown_schedule;
mod start_error;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Node, Server};
use ashvane_identifiers::{Address, DiskId};
use slog::{Logger, info, warn};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, Interval, MissedTickBehavior, interval, sleep, sleep_until};

use crate::agent::{Agent, AgentParts, LocalReplica};
use crate::data_plane::DataPlane;
use crate::disk::Disk;
use crate::engine::TICK_INTERVAL;
use crate::front::{self, ClientConnections};
use crate::links::{self, Direction, TcpTransport, split_socket};
use crate::settings::Settings;
use crate::{control_api, pool};

pub use ashvane_gossip::Role;
pub use first_start::recover_replica;
pub use graceful_shutdown::{ExitReason, GracefulShutdown};
pub use process_log::logger;
pub use shutdown_schedule::ShutdownSchedule;
pub use start_error::StartError;

/// Interval at which the counters are logged and the settings file is read again, since it may change
/// without a signal.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(10);
/// Delay after a failed accept; file descriptors may have been freed by then.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs a role until a signal has shut it down.
///
/// # Errors
///
/// If the role cannot start.
pub fn run(role: Role, settings: Settings, file: &str, log: Logger) -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, serve(role, settings, Some(file), log));
    // A disk that hangs must not block the exit.
    runtime.shutdown_background();
    result
}

/// Runs a role until a signal has shut it down. Must run in a [`LocalSet`], which ends all tasks of the
/// role when it is dropped. `file` is the settings file to read again while the role runs, if any.
///
/// # Errors
///
/// If the role cannot start.
pub async fn serve(
    role: Role, settings: Settings, file: Option<&str>, log: Logger,
) -> Result<(), StartError> {
    let internal = listeners::bind_internal(&settings)?;
    let address = internal.local_addr()?.to_string();
    let agent = start_agent(role, &settings, address.as_str().into(), &log).await?;
    let clients = Rc::new(ClientConnections::default());
    spawn_local(accept_peers(internal, agent.clone()));
    spawn_listeners(&settings, &agent, &clients)?;
    info!(log, "started"; "node" => &settings.node, "address" => &address);
    let events = ProcessEvents::new()?;
    let reason = run_until_shut_down(events, &agent, &clients, file).await;
    agent.log_counters();
    if let Some(data_plane) = agent.data_plane() {
        clients.log_open_requests(&data_plane, &log);
        clients.log_shutdown_counters(&log);
    }
    info!(log, "ended"; "open" => clients.open_count(), "busy" => clients.in_flight_count(),
        "because" => reason.to_string());
    Ok(())
}

/// Reads the disk, if the process has one, and creates the agent.
async fn start_agent(
    role: Role, settings: &Settings, address: Address, log: &Logger,
) -> Result<Rc<Agent>, StartError> {
    let incarnation = fastrand::u64(..);
    let (local_replica, StoredServers { servers, departures }) = open_disk(settings, log).await?;
    if role == Role::Control && local_replica.is_none() {
        return Err(StartError::MissingDataDir);
    }
    let disk = local_replica.as_ref().map(|local| local.replica.state().disk.clone());
    let data_plane =
        settings.listen.gateway.map(|_| DataPlane::new(settings, Rc::new(pool::TcpConnector), log.clone()));
    let agent = Agent::new(AgentParts {
        settings: settings.clone(),
        own: own_node(settings, incarnation, address, disk),
        local_replica,
        data_plane,
        transport: Rc::new(TcpTransport),
        log: log.clone(),
    });
    agent.restore_servers(servers, departures);
    Ok(agent)
}

/// What a disk holds of servers.
#[derive(Default)]
struct StoredServers {
    servers: Vec<Server>,
    departures: Vec<Server>,
}

/// Opens the disk, if the process has one, and returns the replica and the servers stored on it.
async fn open_disk(
    settings: &Settings, log: &Logger,
) -> Result<(Option<LocalReplica>, StoredServers), StartError> {
    let Some(dir) = &settings.data_dir else { return Ok((None, StoredServers::default())) };
    let (disk, mut recovered) =
        Disk::open(dir).map_err(|reason| StartError::Disk { dir: dir.clone(), reason })?;
    let servers = std::mem::take(&mut recovered.servers);
    let departures = std::mem::take(&mut recovered.departures);
    let replica = recover_replica(settings, &disk, recovered, log).await;
    info!(log, "disk opened"; "departures" => departures.len(), "name" => replica.state().disk.as_str(),
        "epoch" => replica.state().membership.epoch,
        "version" => replica.accepted_config().map_or(0, |config| config.version));
    Ok((Some(LocalReplica { replica, disk }), StoredServers { servers, departures }))
}

/// Returns the entry of this process that is sent to other processes.
#[must_use]
pub fn own_node(settings: &Settings, incarnation: u64, address: Address, disk: Option<DiskId>) -> Node {
    Node {
        name: settings.node.as_str().into(),
        incarnation,
        generation: 1,
        is_down: false,
        address,
        control_address: settings.listen.control.map(|address| address.to_string().into()),
        zone: settings.zone.as_str().into(),
        is_gateway: settings.listen.gateway.is_some(),
        disk,
    }
}

/// Accepts connections from other processes.
async fn accept_peers(listener: TcpListener, agent: Rc<Agent>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (read, write) = split_socket(stream);
        spawn_local(links::run(read, write, Direction::Incoming, agent.clone()));
    }
}

/// Opens the listeners that are configured in the settings, and starts serving them.
fn spawn_listeners(
    settings: &Settings, agent: &Rc<Agent>, clients: &Rc<ClientConnections>,
) -> Result<(), StartError> {
    let bind = |address: SocketAddr| listeners::bind(address);
    if let Some(address) = settings.listen.control {
        spawn_local(control_api::run(bind(address)?, address.to_string(), agent.clone()));
    }
    if let Some(address) = settings.listen.readiness {
        spawn_local(front::serve_readiness(bind(address)?, agent.clone()));
    }
    if let (Some(address), Some(data_plane)) = (settings.listen.gateway, agent.data_plane()) {
        spawn_local(front::accept_clients(bind(address)?, agent.clone(), data_plane, clients.clone()));
    }
    Ok(())
}

/// Signals to the process, and the timer of the tick.
struct ProcessEvents {
    ticks: Interval,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessEvents {
    fn new() -> Result<Self, StartError> {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(ProcessEvents {
            ticks,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Handles ticks and signals until a shutdown is complete. Returns why the process ends.
async fn run_until_shut_down(
    mut events: ProcessEvents, agent: &Rc<Agent>, clients: &ClientConnections, file: Option<&str>,
) -> ExitReason {
    let mut housekeeping_done_at = Instant::now();
    let mut shutdown = GracefulShutdown::default();
    loop {
        let next_step_at = shutdown.next_step_at();
        tokio::select! {
            _ = events.ticks.tick() => agent.tick(),
            () = sleep_until(next_step_at.unwrap_or_else(Instant::now)), if next_step_at.is_some() => {}
            _ = events.terminate.recv() => shutdown.begin(),
            _ = events.interrupt.recv() => shutdown.begin(),
            _ = events.hangup.recv() => reload_settings(agent, file),
        }
        if housekeeping_done_at.elapsed() >= HOUSEKEEPING_INTERVAL {
            housekeeping_done_at = Instant::now();
            agent.log_counters();
            reload_settings(agent, file);
        }
        if let Some(reason) = shutdown.advance(agent, clients) {
            return reason;
        }
    }
}

/// Reads the settings file again. The current settings are kept if it cannot be used.
fn reload_settings(agent: &Rc<Agent>, file: Option<&str>) {
    match file.map(Settings::load) {
        Some(Ok(settings)) => agent.settings_reloaded(&settings),
        Some(Err(reason)) => {
            warn!(agent.log, "settings file cannot be used; keeping the current settings";
                "why" => reason.to_string());
        }
        None => {}
    }
}
