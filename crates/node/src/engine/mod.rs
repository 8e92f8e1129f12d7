//! State machine of one process, without I/O: its view of the system, and its decisions.
//!
//! Each event is a method call that is passed the time since the start of the process; methods that report an
//! event are named after it ([`Engine::link_opened`]). [`Engine::take_commands`] returns the resulting
//! [`Command`]s, which the [`Agent`](crate::agent::Agent) executes. Each concern is a separate struct with
//! its own state and tests:
//!
//! | concern | state |
//! | --- | --- |
//! | view of the system | [`Directory`] |
//! | links to other processes | [`LinkTable`] |
//! | outgoing connections | [`Dialer`] |
//! | failure detection | [`FailureDetector`] |
//! | dissemination of updates | [`UpdateQueue`] |
//! | repair of missed updates | [`AntiEntropy`] |
//! | configuration in force | [`ConfigInForce`], [`ConfigFetch`] |
//! | replicated register | [`Register`] |
//! | acknowledgement by a quorum | [`QuorumAcknowledgement`] |
//! | departures of servers on the local disk | [`DepartureRecords`] |
//! | contact with a quorum, readiness | [`QuorumContact`], [`Readiness`], [`VerificationRequests`] |
//! | singleton roles | [`OrphanMonitorRole`], [`MembershipRole`] |
//! | server list saved for the next start | [`ServerHints`] |
//!
//! The engine itself only dispatches events to these structs and combines their decisions: `tick` handles the
//! passing of time, the files that end in `_events` handle all other events.

mod acknowledgement_events;
mod anti_entropy;
mod command;
mod comparison_events;
mod config_events;
mod config_fetch;
mod config_in_force;
mod departure_events;
mod departure_records;
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

pub use self::acknowledgement_events::PendingAcknowledgement;
pub use self::anti_entropy::{AntiEntropy, RepairContext};
pub use self::command::{AfterSync, Command, SyncedResponse};
pub use self::config_fetch::{AnnouncedVersion, ConfigFetch};
pub use self::config_in_force::{ConfigInForce, UnusableConfig};
pub use self::departure_records::{DepartureRecords, UnansweredUpdate};
pub use self::dialer::{DialContext, Dialer};
pub use self::failure_detector::FailureDetector;
pub use self::link_table::{Link, LinkTable, Receipt, Traffic, TrafficCounters, VerificationRequest};
pub use self::log_event::LogEvent;
pub use self::membership_role::{MembershipRole, live_replicas, newest_membership};
pub use self::orphan_monitor_role::{ClaimResult, OrphanMonitorRole, is_first_control_node};
pub use self::quorum_acknowledgement::{LinkedReplica, QuorumAcknowledgement, UpdateResponse};
pub use self::quorum_contact::QuorumContact;
pub use self::readiness::{Readiness, VerificationRequests, WaitState};
pub use self::register::{
    OPERATION_TIMEOUT, OutgoingRequest, Register, RegisterCommands, RequestPath, StartedOperation,
    UnsyncedResponse,
};
pub use self::server_hints::ServerHints;
pub use self::status_report::StatusContext;
pub use self::update_queue::{FlushTime, QueuedUpdates, UpdateOrigin, UpdateQueue};
pub use self::verification_events::VerificationRead;

use crate::config::Config;
use crate::links::{LinkId, Message};
use crate::settings::Settings;

/// Interval between calls of [`Engine::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// State machine of one process: its view of the system, and its decisions.
pub struct Engine {
    /// Number of machines that may fail at the same time.
    max_failures: usize,
    /// Port for connections between processes; the same on all machines of the settings file.
    internal_port: u16,
    /// Control addresses (`host:port`) of the machines in the settings file.
    seeds: Vec<String>,
    directory: Directory,
    links: LinkTable,
    dialer: Dialer,
    failure_detector: FailureDetector,
    /// At a gateway, the link over which it subscribes to updates.
    update_source: Option<LinkId>,
    update_queue: UpdateQueue,
    anti_entropy: AntiEntropy,
    config: ConfigInForce,
    config_fetch: ConfigFetch,
    /// `None` at a gateway.
    register: Option<Register>,
    register_reads: RegisterReads,
    acknowledgements: BTreeMap<u64, QuorumAcknowledgement>,
    departures: DepartureRecords,
    readiness: Readiness,
    verification_requests: VerificationRequests,
    orphan_monitor: OrphanMonitorRole,
    membership_role: MembershipRole,
    server_hints: ServerHints,
    /// Whether this process has a data plane, which must be notified of updates.
    has_data_plane: bool,
    is_shutting_down: bool,
    last_message_number: u64,
    commands: Vec<Command>,
}

/// State of the background reads that bring the local replica up to date.
#[derive(Debug, Default)]
struct RegisterReads {
    /// Whether a read has completed since the start of the process.
    has_completed: bool,
    is_in_progress: bool,
}

impl Engine {
    /// Creates the state of a process that starts at time 0. `replica` is `None` at a gateway.
    #[must_use]
    pub fn new(settings: &Settings, own: Node, replica: Option<Replica>) -> Self {
        let incarnation = own.incarnation;
        let mut directory = Directory::new(own, settings.heartbeat_interval, Duration::ZERO);
        let register = replica.map(|replica| Register::new(replica, incarnation));
        if let Some(register) = &register {
            directory.apply(Update::Membership(register.membership().clone()), Duration::ZERO);
        }
        let readiness = match register {
            Some(_) => Readiness::for_control_node(),
            None => Readiness::for_gateway(),
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
            departures: DepartureRecords::default(),
            readiness,
            verification_requests: VerificationRequests::default(),
            orphan_monitor: OrphanMonitorRole::default(),
            membership_role: MembershipRole::new(policy),
            server_hints: ServerHints::default(),
            has_data_plane: settings.listen.gateway.is_some(),
            is_shutting_down: false,
            last_message_number: 0,
            commands: Vec::new(),
        }
    }

    /// Returns the commands issued since the last call. They must be executed in this order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Returns this process's view of the system.
    #[must_use]
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns the links to other processes.
    #[must_use]
    pub fn links(&self) -> &LinkTable {
        &self.links
    }

    /// Returns the links to other processes, for updating their traffic counters.
    pub fn links_mut(&mut self) -> &mut LinkTable {
        &mut self.links
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.config()
    }

    /// Returns the version of the configuration in force, 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config.version()
    }

    /// Whether this process is shutting down.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down
    }

    /// Whether a configuration is in force and this process has caught up with a control node in contact with
    /// a quorum, or has stopped waiting for one and uses the newest state it has received.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.readiness.is_current() && self.config.config().is_some()
    }

    /// Returns a digest of the directory and of the version in force.
    #[must_use]
    pub fn digest(&self, now: Duration) -> Digest {
        let lacks_quorum = self.quorum_contact(now).is_control_node_without_quorum();
        Digest { lacks_quorum, ..self.directory.digest(self.version()) }
    }

    /// Whether the directory lists a server as ready and alive.
    #[must_use]
    pub fn is_server_available(&self, id: &ServerId) -> bool {
        self.directory.server(id).is_some_and(Server::is_available)
    }

    /// Returns the control address of a linked control node, to which control calls must be redirected;
    /// `None` at a control node, which answers them itself, and where no control node is linked.
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

    /// Returns the newest membership known to this process, or `None` if it has no members.
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

    /// Starts the graceful shutdown: the process is no longer ready, and reports to the other control nodes
    /// that it is shutting down.
    pub fn shut_down(&mut self) {
        if !std::mem::replace(&mut self.is_shutting_down, true) {
            self.log(LogEvent::ShuttingDown);
            self.report_replica();
        }
    }

    /// Applies a changed settings file. Only its seeds take effect without a restart.
    pub fn settings_reloaded(&mut self, settings: &Settings) {
        if self.seeds != settings.seeds {
            self.log(LogEvent::SeedsChanged { seeds: settings.seeds.clone() });
            self.seeds.clone_from(&settings.seeds);
        }
    }

    /// Returns the internal addresses of the machines in the settings file.
    #[must_use]
    pub fn seed_addresses(&self) -> Vec<Address> {
        let host = |seed: &String| seed.rsplit_once(':').map(|(host, _)| host.to_owned());
        let hosts = self.seeds.iter().filter_map(host);
        hosts.map(|host| format!("{host}:{}", self.internal_port).into()).collect()
    }
}
