//! What one process knows of the system and decides for it: a state machine without I/O.
//!
//! Events go in as method calls, with the time since the start of the process; [`Command`]s come out, which the
//! [`Agent`](crate::agent::Agent) carries out. Each concern is a struct of its own with its own state and tests:
//!
//! | concern | state |
//! | --- | --- |
//! | what is known | [`Directory`] |
//! | links to other processes | [`LinkTable`] |
//! | connecting | [`Dialer`] |
//! | failure detection | [`FailureDetector`] |
//! | spreading updates | [`UpdateQueue`] |
//! | repairing what was missed | [`AntiEntropy`] |
//! | the configuration in force | [`ConfigInForce`], [`ConfigFetch`] |
//! | the register | [`Register`] |
//! | acknowledgements by a quorum | [`QuorumAcknowledgement`] |
//! | contact with a quorum, readiness | [`QuorumContact`], [`Readiness`], [`VerificationQuestions`] |
//! | singleton roles | [`OrphanMonitorRole`], [`MembershipRole`] |
//! | hints for the next start | [`ServerHints`] |
//!
//! The engine itself only passes events to the concerns and joins what they decide: in `tick` those of time, in the files
//! that end in `_events` all others.

mod anti_entropy;
mod command;
mod comparison_events;
mod config_events;
mod config_fetch;
mod config_in_force;
mod dialer;
mod failure_detector;
mod link_events;
mod link_table;
mod log_event;
mod membership_events;
mod membership_role;
mod operations;
mod orphan_monitor_role;
mod quorum_acknowledgement;
mod quorum_contact;
mod readiness;
mod register;
mod server_events;
mod server_hints;
mod status_report;
mod tick;
mod update_events;
mod update_queue;
mod verification_events;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Digest, Directory, Node, Server, Update};
use ashvane_identifiers::{Address, DiskId, ServerId};
use ashvane_quorum::membership_manager::MembershipPolicy;
use ashvane_quorum::{Membership, Replica};

pub use self::anti_entropy::{AntiEntropy, RepairContext};
pub use self::command::{Command, OnceSynced, SyncedResponse};
pub use self::config_fetch::{AnnouncedVersion, ConfigFetch};
pub use self::config_in_force::{ConfigInForce, UnusableConfig};
pub use self::dialer::{DialContext, Dialer};
pub use self::failure_detector::FailureDetector;
pub use self::link_table::{Link, LinkTable, Receipt, Traffic, TrafficCounters, VerificationQuestion};
pub use self::log_event::LogEvent;
pub use self::membership_role::{MembershipRole, live_replicas, newest_membership};
pub use self::orphan_monitor_role::{ClaimResult, OrphanMonitorRole, is_first_control_node};
pub use self::quorum_acknowledgement::{LinkedReplica, QuorumAcknowledgement, UpdateAnswer};
pub use self::quorum_contact::QuorumContact;
pub use self::readiness::{Readiness, VerificationQuestions, WaitState};
pub use self::register::{
    OPERATION_TIMEOUT, OutgoingRequest, Register, RegisterCommands, RequestPath, StartedOperation,
    UnsyncedResponse,
};
pub use self::server_events::PendingAcknowledgement;
pub use self::server_hints::ServerHints;
pub use self::status_report::StatusContext;
pub use self::update_queue::{FlushTime, QueuedUpdates, UpdateOrigin, UpdateQueue};
pub use self::verification_events::VerificationRead;

use crate::config::Config;
use crate::links::{LinkId, Message};
use crate::settings::Settings;

/// How often a process looks at its links, its servers and its roles: [`Engine::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// What one process knows of the system and decides for it.
pub struct Engine {
    /// How many machines may fail at once.
    max_failures: usize,
    /// The port on which processes reach each other; the same on all machines of the settings file.
    internal_port: u16,
    /// The machines of the settings file, `host:port` of their control calls.
    seeds: Vec<String>,
    directory: Directory,
    links: LinkTable,
    dialer: Dialer,
    failure_detector: FailureDetector,
    /// The link over which a gateway is sent updates.
    update_source: Option<LinkId>,
    update_queue: UpdateQueue,
    anti_entropy: AntiEntropy,
    config: ConfigInForce,
    config_fetch: ConfigFetch,
    /// None at a gateway.
    register: Option<Register>,
    register_reads: RegisterReads,
    acknowledgements: BTreeMap<u64, QuorumAcknowledgement>,
    readiness: Readiness,
    verification_questions: VerificationQuestions,
    orphan_monitor: OrphanMonitorRole,
    membership_role: MembershipRole,
    server_hints: ServerHints,
    /// Whether there is a data plane that follows what is known.
    has_data_plane: bool,
    is_shutting_down: bool,
    last_message_number: u64,
    commands: Vec<Command>,
}

/// The reads that bring the own replica up to date.
#[derive(Debug, Default)]
struct RegisterReads {
    /// What is chosen has been read since the start.
    has_read: bool,
    is_reading: bool,
}

impl Engine {
    /// A process that starts at time 0, with its replica if it is a control node.
    #[must_use]
    pub fn new(settings: &Settings, own: Node, replica: Option<Replica>) -> Self {
        let incarnation = own.incarnation;
        let mut directory = Directory::new(own, settings.heartbeat_interval, Duration::ZERO);
        let register = replica.map(|replica| Register::new(replica, incarnation));
        if let Some(register) = &register {
            directory.apply(Update::Membership(register.membership().clone()), Duration::ZERO);
        }
        let readiness = match register {
            Some(_) => Readiness::of_control_node(),
            None => Readiness::of_gateway(),
        };
        let policy = MembershipPolicy { catch_up: settings.catch_up, max_failures: settings.max_failures };
        Engine {
            max_failures: settings.max_failures,
            internal_port: settings.internal_ports.first,
            seeds: settings.seeds.clone(),
            directory,
            links: LinkTable::default(),
            dialer: Dialer::default(),
            failure_detector: FailureDetector::default(),
            update_source: None,
            update_queue: UpdateQueue::default(),
            anti_entropy: AntiEntropy::default(),
            config: ConfigInForce::default(),
            config_fetch: ConfigFetch::default(),
            register,
            register_reads: RegisterReads::default(),
            acknowledgements: BTreeMap::new(),
            readiness,
            verification_questions: VerificationQuestions::default(),
            orphan_monitor: OrphanMonitorRole::default(),
            membership_role: MembershipRole::new(policy),
            server_hints: ServerHints::default(),
            has_data_plane: settings.listen.gateway.is_some(),
            is_shutting_down: false,
            last_message_number: 0,
            commands: Vec::new(),
        }
    }

    /// The commands since the last call, to be carried out in their order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// What is known.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// The links to other processes.
    #[must_use]
    pub fn links(&self) -> &LinkTable {
        &self.links
    }

    /// The links to other processes, to count what is sent.
    pub fn links_mut(&mut self) -> &mut LinkTable {
        &mut self.links
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.config()
    }

    /// Its version; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version()
    }

    /// Whether this process shuts down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Whether what is known here, a configuration among it, is that of a control node in contact with a quorum, or the
    /// newest that could be had.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.readiness.is_current() && self.config.config().is_some()
    }

    /// All that is known here, and the version in force, in a few bytes.
    #[must_use]
    pub fn digest(&self, now: Duration) -> Digest {
        let lacks_quorum = self.quorum_contact(now).is_missing_at_control_node();
        Digest { lacks_quorum, ..self.directory.digest(self.version()) }
    }

    /// Whether a server is known here as one that is ready and alive.
    #[must_use]
    pub fn is_server_available(&self, id: &ServerId) -> bool {
        self.directory.server(id).is_some_and(Server::is_available)
    }

    /// Where control calls are answered, if not here: at a control node that is linked.
    #[must_use]
    pub fn control_redirect(&self) -> Option<Address> {
        if self.is_control_node() {
            return None;
        }
        self.links.to_control_nodes().find_map(|(_, link)| link.peer.control_address.clone())
    }

    fn is_control_node(&self) -> bool {
        self.register.is_some()
    }

    fn own_disk(&self) -> Option<&DiskId> {
        self.directory.own_node().disk.as_ref()
    }

    fn quorum_contact(&self, now: Duration) -> QuorumContact<'_> {
        QuorumContact { directory: &self.directory, links: &self.links, now }
    }

    /// The newest membership that is known here, if it has members.
    fn membership(&self) -> Option<Membership> {
        newest_membership(&self.directory, self.register.as_ref())
    }

    fn next_message_number(&mut self) -> u64 {
        self.last_message_number += 1;
        self.last_message_number
    }

    fn send(&mut self, links: Vec<LinkId>, message: Message) {
        if !links.is_empty() {
            self.commands.push(Command::Send { links, message });
        }
    }

    fn log(&mut self, event: LogEvent) {
        self.commands.push(Command::Log(event));
    }

    /// This process is to end: it is not ready any more, and the other control nodes are told.
    pub fn shut_down(&mut self) {
        if !std::mem::replace(&mut self.is_shutting_down, true) {
            self.log(LogEvent::ShuttingDown);
            self.report_replica();
        }
    }

    /// The settings file has changed: of it only the seeds hold from now on.
    pub fn settings_reloaded(&mut self, settings: &Settings) {
        if self.seeds != settings.seeds {
            self.log(LogEvent::SeedsChanged { seeds: settings.seeds.clone() });
            self.seeds.clone_from(&settings.seeds);
        }
    }

    /// The addresses at which the machines of the settings file reach each other.
    #[must_use]
    pub fn seed_addresses(&self) -> Vec<Address> {
        let host = |seed: &String| seed.rsplit_once(':').map(|(host, _)| host.to_owned());
        let hosts = self.seeds.iter().filter_map(host);
        hosts.map(|host| format!("{host}:{}", self.internal_port).into()).collect()
    }
}
