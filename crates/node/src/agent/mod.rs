//! The core of a process: the one owner of its [`Engine`], which carries out the engine's commands.
//!
//! Tasks hand events to the agent: connections, timers, the disk, control calls, the tick. Each borrows the engine for as
//! long as it takes to handle the event, never across an await; then its commands are carried out in their order. All tasks
//! run on one thread.

mod commands;
mod log;
mod operator_calls;

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

use crate::config::Config;
use crate::data_plane::DataPlane;
use crate::disk::Disk;
use crate::engine::{Engine, Receipt, StatusContext, Traffic};
use crate::links::codec::DecodeError;
use crate::links::{ConnectionHandler, ConnectionState, Direction, LinkId, Message, MessageQueue, Transport};
use crate::settings::Settings;

pub use operator_calls::{NoQuorum, PutOutcome};

/// What a control node has on its disk.
pub struct LocalReplica {
    /// The replica as the disk has it.
    pub replica: Replica,
    /// The disk.
    pub disk: Disk,
}

/// What a process is made of.
pub struct AgentParts {
    /// Its settings file.
    pub settings: Settings,
    /// The process as others know it.
    pub own: Node,
    /// None at a gateway.
    pub local_replica: Option<LocalReplica>,
    /// None at a process that takes no clients' requests.
    pub data_plane: Option<Rc<DataPlane>>,
    /// What lies between processes.
    pub transport: Rc<dyn Transport>,
    /// Where it logs.
    pub log: Logger,
}

/// The core of a process.
pub struct Agent {
    /// The settings with which the process started.
    pub settings: Settings,
    /// Where it logs.
    pub log: Logger,
    started_at: Instant,
    disk: Option<Disk>,
    data_plane: Option<Rc<DataPlane>>,
    transport: Rc<dyn Transport>,
    /// Shared by all tasks of the process; see the module.
    engine: RefCell<Engine>,
    /// Where encoded messages are queued for each link. Without its queue a connection ends.
    queues: RefCell<BTreeMap<LinkId, MessageQueue>>,
}

impl Agent {
    /// A process that starts now.
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
        })
    }

    /// Time since the start of the process.
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Hands an event to the engine, and carries out what it wants done.
    fn handle<T>(self: &Rc<Self>, event: impl FnOnce(&mut Engine, Duration) -> T) -> T {
        let (result, commands) = {
            let mut engine = self.engine.borrow_mut();
            let result = event(&mut engine, self.now());
            (result, engine.take_commands())
        };
        self.execute(commands);
        result
    }

    /// The data plane; none at a process that takes no clients' requests.
    #[must_use]
    pub fn data_plane(&self) -> Option<Rc<DataPlane>> {
        self.data_plane.clone()
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.engine.borrow().config().cloned()
    }

    /// Whether what is known here, a configuration among it, is that of a control node in contact with a quorum, or the
    /// newest that could be had.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.engine.borrow().is_current()
    }

    /// Whether clients' requests can be served here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_current()
            && !self.is_shutting_down()
            && self.data_plane.as_ref().is_some_and(|data_plane| data_plane.knows_servers())
    }

    /// Whether the process shuts down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.engine.borrow().is_shutting_down()
    }

    /// The process is to end: it is not ready any more, and the other control nodes are told.
    pub fn shut_down(self: &Rc<Self>) {
        self.handle(|engine, _| engine.shut_down());
    }

    /// Whether the process, which is shutting down, leaves nothing undone in the membership.
    #[must_use]
    pub fn may_shut_down(&self) -> bool {
        self.engine.borrow().may_shut_down(self.now())
    }

    /// To be called each [`TICK_INTERVAL`](crate::engine::TICK_INTERVAL).
    pub fn tick(self: &Rc<Self>) {
        self.handle(Engine::tick);
    }

    /// The settings file has changed: of it only the seeds hold from now on.
    pub fn settings_reloaded(self: &Rc<Self>, settings: &Settings) {
        self.handle(|engine, _| engine.settings_reloaded(settings));
    }

    /// The servers that were known before a restart.
    pub fn restore_servers(self: &Rc<Self>, servers: Vec<Server>) {
        self.handle(|engine, now| engine.restore_servers(servers, now));
    }

    /// All that is known here, and the version in force, in a few bytes: alike where they are.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.engine.borrow().digest(self.now())
    }

    /// Whether a server is known here as one that is ready and alive.
    #[must_use]
    pub fn is_server_available(&self, id: &ServerId) -> bool {
        self.engine.borrow().is_server_available(id)
    }

    /// Where control calls are answered, if not here.
    #[must_use]
    pub fn control_redirect(&self) -> Option<Address> {
        self.engine.borrow().control_redirect()
    }

    /// What this process has sent to others, by topic.
    #[must_use]
    pub fn traffic(&self) -> BTreeMap<&'static str, Traffic> {
        self.engine.borrow().links().counters.sent.clone()
    }

    /// All that this process knows, for operators.
    #[must_use]
    pub fn status(&self) -> Value {
        let allotments = match &self.data_plane {
            Some(data_plane) => data_plane.allotments(),
            None => Value::Array(Vec::new()),
        };
        let context = StatusContext { is_ready: self.is_ready(), allotments };
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
        self.engine.borrow_mut().links_mut().counters.unreadable += 1;
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
