//! The program from start to exit, as named phases of one object.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::protocol::config::Config;
use crate::routing::Routing;
use crate::transport::discovery::Discovery;
use crate::transport::front::{Door, Front};

/// Events that may wait for the decisions; past it, handlers and connections wait.
const EVENTS_MOST: usize = 256;
/// Descriptors for all but clients and shard servers: standard streams, the runtime, discovery, the listener.
const SOCKETS_APART: usize = 64;
/// New connections count as having stopped once none has come for so long: they come for up to 0.4 s.
const QUIET: Duration = Duration::from_millis(600);
/// How often a closing program looks whether it is done.
const LOOK: Duration = Duration::from_millis(20);
/// Beyond the longest deadline, nothing that was taken can be open any more.
const LAST_MARGIN: Duration = Duration::from_millis(300);
/// The longest deadline counts as this where it is shorter.
const LONGEST_LEAST: Duration = Duration::from_secs(3);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Listens, but knows no server that is ready.
    Starting,
    Ready,
    /// Told to end: goes on accepting and answering, and asks clients to connect elsewhere.
    Draining,
    /// New connections have stopped coming: idle ones are closed.
    Closing,
}

pub struct Program {
    phase: watch::Sender<Phase>,
    door: Rc<Door>,
    last_margin: Duration,
}

impl Program {
    /// Runs until told to end and done, or until it cannot start.
    pub fn run(config: Config) -> Result<(), String> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, Self::serve(config))
    }

    async fn serve(config: Config) -> Result<(), String> {
        let listener = TcpListener::bind(config.listen).await;
        let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
        let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
        let (events, inbox) = mpsc::channel(EVENTS_MOST);
        let (phase, phases) = watch::channel(Phase::Starting);
        let (ready, is_ready) = oneshot::channel();
        let (left, asked) = (Arc::new(Notify::new()), Rc::new(Notify::new()));
        let each = config.sockets.saturating_sub(SOCKETS_APART).max(2) / 2;
        log::info!(
            "{} listens on {}: {} sockets, {} MB, at most {each} clients and as many connections to servers",
            config.name,
            config.listen,
            config.sockets,
            config.memory_mb
        );
        let door = Rc::new(Door::new(each));
        let network = Arc::new(config.network);
        let front =
            Front { network: network.clone(), events: events.clone(), left: left.clone(), phase: phases };
        let discovery = Discovery {
            address: config.discovery,
            network: network.clone(),
            events: events.clone(),
            asked: asked.clone(),
        };
        let routing = Routing::new(config.settings, &network, &config.known, each, events, asked, ready);
        let deciding = spawn_local(routing.run(inbox, left));
        spawn_local(discovery.run(config.known.revision));
        let accepting = door.clone();
        spawn_local(async move { accepting.run(listener, Arc::new(front)).await });
        let program = Program { phase, door, last_margin: network.longest.max(LONGEST_LEAST) + LAST_MARGIN };
        let told = async {
            tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        };
        let started = async {
            if is_ready.await.is_ok() {
                program.enter(Phase::Ready);
            }
            std::future::pending().await
        };
        let serving = async {
            tokio::select! { () = told => {}, () = started => {} }
            program.end().await;
        };
        tokio::select! {
            () = serving => Ok(()),
            _ = deciding => Err("the decisions stopped".into()),
        }
    }

    fn enter(&self, phase: Phase) {
        log::info!("{phase:?}, {} clients connected", self.door.open());
        self.phase.send_replace(phase);
    }

    async fn end(&self) {
        self.enter(Phase::Draining);
        let told = Instant::now();
        while told.elapsed() < QUIET || self.door.quiet_for() < QUIET {
            if told.elapsed() >= self.last_margin {
                break;
            }
            sleep(LOOK).await;
        }
        self.enter(Phase::Closing);
        while self.door.open() > 0 || self.door.quiet_for() < QUIET {
            if told.elapsed() >= self.last_margin {
                log::warn!("{} clients are still connected", self.door.open());
                break;
            }
            sleep(LOOK).await;
        }
        log::info!("ends");
    }
}
