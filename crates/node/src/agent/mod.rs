//! Core of a process: owns its [`Engine`] and executes the engine's commands.
//!
//! Connections, timers, disk, control calls and the tick are tasks that pass events to the agent. A task
//! borrows the engine only while the engine handles the event, never across an await; then the agent
//! executes the resulting commands in order. All tasks run on one thread.

mod commands;
mod log;
mod operator_calls;
mod pending_calls;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Digest, Node, Server};
use ashvane_identifiers::{Address, ServerId};
use ashvane_quorum::Replica;
use serde_json::Value;
use slog::Logger;
use tokio::time::Instant;

use self::pending_calls::PendingCalls;
use crate::config::Config;
use crate::data_plane::DataPlane;
use crate::disk::Disk;
use crate::engine::{Engine, Receipt, StatusContext, Traffic};
use crate::links::codec::DecodeError;
use crate::links::{ConnectionHandler, ConnectionState, Direction, LinkId, Message, MessageQueue, Transport};
use crate::settings::Settings;

pub use operator_calls::{NoQuorum, PutOutcome};

/// Replica of a control node, with the disk that stores it.
pub struct LocalReplica {
    /// Replica in the state that is stored on the disk.
    pub replica: Replica,
    /// Handle to the thread that writes the disk.
    pub disk: Disk,
}

/// Components from which an [`Agent`] is created.
pub struct AgentParts {
    /// Settings of the process.
    pub settings: Settings,
    /// Entry of this process that is sent to other processes.
    pub own: Node,
    /// Replica and disk; `None` at a gateway.
    pub local_replica: Option<LocalReplica>,
    /// Data plane; `None` at a process that accepts no client requests.
    pub data_plane: Option<Rc<DataPlane>>,
    /// Network over which processes connect to each other.
    pub transport: Rc<dyn Transport>,
    /// Logger of the process.
    pub log: Logger,
}

/// Core of a process.
pub struct Agent {
    /// Settings with which the process was started.
    pub settings: Settings,
    /// Logger of the process.
    pub log: Logger,
    started_at: Instant,
    disk: Option<Disk>,
    data_plane: Option<Rc<DataPlane>>,
    transport: Rc<dyn Transport>,
    /// State shared by all tasks of the process; never borrowed across an await.
    engine: RefCell<Engine>,
    /// Queue of encoded messages for each link. Removing a queue closes its connection.
    queues: RefCell<BTreeMap<LinkId, MessageQueue>>,
    /// Calls of servers and operators that wait for a quorum.
    pending_calls: PendingCalls,
}

impl Agent {
    /// Creates the agent of a process that starts at this moment.
    #[must_use]
    pub fn new(parts: AgentParts) -> Rc<Self> {
        let AgentParts { settings, own, local_replica, data_plane, transport, log } = parts;
        let (replica, disk) = local_replica.map(|local| (local.replica, local.disk)).unzip();
        let engine = Engine::new(&settings, own, replica);
        Rc::new(Agent {
            settings,
            log,
            started_at: Instant::now(),
            disk,
            data_plane,
            transport,
            engine: RefCell::new(engine),
            queues: RefCell::default(),
            pending_calls: PendingCalls::default(),
        })
    }

    /// Returns the time since the start of the process.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Passes an event to the engine and executes the resulting commands.
    fn handle<T>(self: &Rc<Self>, event: impl FnOnce(&mut Engine, Duration) -> T) -> T {
        let (result, commands) = {
            let mut engine = self.engine.borrow_mut();
            let result = event(&mut engine, self.now());
            (result, engine.take_commands())
        };
        self.execute(commands);
        result
    }

    /// Returns the data plane; `None` at a process that accepts no client requests.
    #[must_use]
    pub fn data_plane(&self) -> Option<Rc<DataPlane>> {
        self.data_plane.clone()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.engine.borrow().config().cloned()
    }

    /// Whether the state of this process is recent enough to serve requests: it has a configuration, and has
    /// caught up with a control node in contact with a quorum or has stopped waiting for one.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.engine.borrow().is_current()
    }

    /// Whether this process can serve client requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_current()
            && !self.is_shutting_down()
            && self.data_plane.as_ref().is_some_and(|data_plane| data_plane.has_ready_server())
    }

    /// Whether the process is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.engine.borrow().is_shutting_down()
    }

    /// Starts the graceful shutdown: the process is no longer ready, and the other control nodes are
    /// notified.
    pub fn shut_down(self: &Rc<Self>) {
        self.handle(|engine, _| engine.shut_down());
    }

    /// Whether this process, which is shutting down, may exit: it has left the membership where possible,
    /// and a quorum of the remaining members holds its state.
    #[must_use]
    pub fn may_shut_down(&self) -> bool {
        self.engine.borrow().may_shut_down(self.now())
    }

    /// Whether every call of a server or an operator that waited for a quorum is answered.
    #[must_use]
    pub fn are_calls_answered(&self) -> bool {
        self.pending_calls.are_answered()
    }

    /// Advances all timers of the engine. Must be called once every
    /// [`TICK_INTERVAL`](crate::engine::TICK_INTERVAL).
    pub fn tick(self: &Rc<Self>) {
        self.handle(Engine::tick);
    }

    /// Applies a settings file that was read again. Only its seeds take effect without a restart.
    pub fn settings_reloaded(self: &Rc<Self>, settings: &Settings) {
        self.handle(|engine, _| engine.settings_reloaded(settings));
    }

    /// Adds the servers, and the departures of servers, that were stored on the disk before a restart.
    pub fn restore_servers(self: &Rc<Self>, servers: Vec<Server>, departures: Vec<Server>) {
        self.handle(|engine, now| engine.restore_servers(servers, departures, now));
    }

    /// Returns a digest of the directory and of the configuration version in force. Processes with equal
    /// state have equal digests.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.engine.borrow().digest(self.now())
    }

    /// Whether this process knows a server as ready and alive.
    #[must_use]
    pub fn is_server_available(&self, id: &ServerId) -> bool {
        self.engine.borrow().is_server_available(id)
    }

    /// Returns the control address to which control calls are redirected; `None` at a control node, which
    /// answers them itself, and where no control node is linked.
    #[must_use]
    pub fn control_redirect(&self) -> Option<Address> {
        self.engine.borrow().control_redirect()
    }

    /// Returns the counts of messages and bytes sent to other processes, by topic.
    #[must_use]
    pub fn traffic(&self) -> BTreeMap<&'static str, Traffic> {
        self.engine.borrow().links().counters.sent.clone()
    }

    /// Returns the status report for operators.
    #[must_use]
    pub fn status(&self) -> Value {
        let allotments = match &self.data_plane {
            Some(data_plane) => data_plane.budget_usage(),
            None => Value::Array(Vec::new()),
        };
        let disk = self.disk.as_ref().map(Disk::counters);
        let context = StatusContext { is_ready: self.is_ready(), allotments, disk };
        self.engine.borrow().status(context, self.now())
    }
}

impl ConnectionHandler for Agent {
    fn own_node(&self) -> Node {
        self.engine.borrow().directory().own_node().clone()
    }

    fn transport(&self) -> &dyn Transport {
        &*self.transport
    }

    fn handshake_failed(&self) {
        self.engine.borrow_mut().links_mut().counters.malformed_lines += 1;
    }

    fn connection_opened(self: &Rc<Self>, peer: Node, direction: Direction, queue: MessageQueue) -> LinkId {
        self.handle(|engine, now| {
            let link = engine.link_opened(peer, direction, now);
            self.queues.borrow_mut().insert(link, queue);
            link
        })
    }

    fn line_received(self: &Rc<Self>, link: LinkId, line: Result<Message, DecodeError>) -> ConnectionState {
        let receipt = self.engine.borrow_mut().links_mut().receive(link, line, self.now());
        match receipt {
            Receipt::Accepted(message) => {
                self.handle(|engine, now| engine.message_received(link, message, now));
                ConnectionState::Open
            }
            Receipt::Ignored => ConnectionState::Open,
            Receipt::Closed => ConnectionState::Closed,
        }
    }

    fn connection_closed(self: &Rc<Self>, link: LinkId) {
        self.queues.borrow_mut().remove(&link);
        self.handle(|engine, _| engine.link_closed(link));
    }
}
