//! One process of the system among the others: what it knows, what it tells, what it does for all.

mod configuration;
mod connections;
mod contact;
mod dissemination;
mod hearing;
mod membership;
mod outbox;
mod report;
mod servers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{
    Digest, Directory, Heartbeat, Liveness, LivenessAuthority, Node, OrphanMonitorTerm, Server, ServerState,
    Update, select_peers,
};
use ashvane_identifiers::{Address, NodeName, ServerId};
use ashvane_quorum::membership_manager::{
    self, LiveReplica, MembershipPlanner, MembershipPolicy, MembershipView, ReplicaReport,
};
use ashvane_quorum::{Member, Membership, Outcome, VersionedConfig};
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::oneshot;
use tokio::time::Instant;

use self::outbox::{Due, Outbox};
use crate::config::Config;
use crate::confirmation::Confirmation;
use crate::data_plane::DataPlane;
use crate::links::{Link, Links, Listener, Message, Net, dial};
use crate::packed;
use crate::register::Register;
use crate::settings::Settings;

/// How often a process looks at its links, its servers and its duties.
pub const TICK: Duration = Duration::from_millis(250);
/// How often digests are compared over each link.
const COMPARE: Duration = Duration::from_millis(1000);
/// Pause before a process that was called in vain is called again, ...
const DIAL_AGAIN: Duration = Duration::from_millis(200);
/// ... and time for which another is called in its place.
const UNREACHED: Duration = Duration::from_millis(2500);
/// A process that was linked, and is no longer, counts as down after this time.
const LOST_AFTER: Duration = Duration::from_millis(3000);
/// Time in which others must have taken in that a server leaves, for its word to be acknowledged.
const CONFIRMED: Duration = Duration::from_millis(800);
/// Time after which a configuration that has not come is asked for elsewhere, ...
const WANT_ELSEWHERE: Duration = Duration::from_millis(400);
/// ... and again on the same link: until then it is on its way, behind others on a narrow link.
const WANT_AGAIN: Duration = Duration::from_millis(2500);
/// How often the servers that are known are kept on disk, where they change.
const HINT: Duration = Duration::from_secs(2);
/// Digests that differ in a row, after which updates has been missed.
const DIFFERS: u32 = 2;
/// Time after which a gap may be mended over another link; shorter than the time between two digests.
const MEND_AGAIN: Duration = Duration::from_millis(700);

pub struct Agent {
    pub settings: Settings,
    pub log: Logger,
    started: Instant,
    seeds: RefCell<Vec<String>>,
    directory: RefCell<Directory>,
    links: RefCell<Links>,
    /// The newest configuration that a majority of disks is known to hold.
    stored: RefCell<Option<VersionedConfig>>,
    config: RefCell<Option<Rc<Config>>>,
    in_force_since: Cell<Option<Instant>>,
    register: Option<Rc<Register>>,
    plane: Option<Rc<DataPlane>>,
    net: Rc<dyn Net>,
    confirmations: RefCell<BTreeMap<u64, Confirmation>>,
    outbox: RefCell<Outbox>,
    numbers: Cell<u64>,
    dialled: RefCell<BTreeMap<Address, Instant>>,
    /// Addresses to which a call of this process's is under way or holds a link.
    calling: RefCell<BTreeSet<Address>>,
    unreached: RefCell<BTreeMap<Address, Instant>>,
    /// Those that were linked, and since when they are not.
    lost: RefCell<BTreeMap<NodeName, Option<Instant>>>,
    watch: RefCell<MembershipPlanner>,
    /// What the other control nodes were told last of this process's disk.
    reported: Cell<ReplicaReport>,
    wanted: RefCell<dissemination::Wanted>,
    /// The link over which this gatherer is told what changes.
    feed: Cell<Option<u64>>,
    compared: Cell<Instant>,
    /// When this process last began to mend a gap.
    mending: Cell<Option<Instant>>,
    /// When the servers were last kept on disk, and how often the directory had changed by then.
    hinted: Cell<(Instant, u64)>,
    /// A server has left since then.
    left: Cell<bool>,
    /// Whether a control node in contact with a majority has told all that it knows, once in this life.
    synced: Cell<bool>,
    /// How long it has waited for that.
    waited: Cell<Duration>,
    /// Gateways that wait to hear that this control node is in contact with a majority, by link.
    verifications: RefCell<BTreeMap<u64, u64>>,
    answering: Cell<bool>,
    /// The term under which this process holds the duty of hearing, once a majority of the members has taken it in.
    holding: RefCell<Option<OrphanMonitorTerm>>,
    taking: Cell<bool>,
    /// Whether what a majority of the disks holds has been read since the start.
    read: Cell<bool>,
    reading: Cell<bool>,
    changing: Cell<bool>,
    leaving: Cell<bool>,
}

/// What becomes of an operator's configuration.
pub enum Put {
    Held(u64),
    Invalid(Vec<String>),
    /// Its version was decided with another text: it is not held and never will be.
    Conflict {
        version: u64,
        /// The version that holds.
        held: u64,
    },
    /// No majority has answered: it may be held or not.
    Unclear,
}

impl Agent {
    pub fn new(
        settings: Settings, me: Node, register: Option<Register>, plane: Option<Rc<DataPlane>>,
        net: Rc<dyn Net>, log: Logger,
    ) -> Rc<Self> {
        let started = Instant::now();
        let mut directory = Directory::new(me, settings.beat_every, Duration::ZERO);
        if let Some(register) = &register {
            directory.apply(Update::Membership(register.membership()), Duration::ZERO);
        }
        // One with a disk knows what it knows: gatherers compare with it, not it with them.
        let alone = register.is_some();
        let (stored, config, confirmations, dialled, unreached, lost, links, wanted) = Default::default();
        let (verifications, answering, holding, taking) = Default::default();
        let policy = MembershipPolicy { catch_up: settings.catch_up, max_failures: settings.losses };
        let agent = Agent {
            seeds: settings.seeds.clone().into(),
            settings,
            log,
            started,
            directory: RefCell::new(directory),
            links,
            stored,
            config,
            in_force_since: Cell::new(None),
            register: register.map(Rc::new),
            plane,
            net,
            confirmations,
            outbox: RefCell::default(),
            mending: Cell::new(None),
            numbers: Cell::new(0),
            dialled,
            calling: RefCell::default(),
            unreached,
            lost,
            watch: RefCell::new(MembershipPlanner::new(policy)),
            reported: Cell::default(),
            wanted,
            feed: Cell::new(None),
            compared: Cell::new(started),
            hinted: Cell::new((started, 0)),
            left: Cell::new(false),
            synced: Cell::new(alone),
            waited: Cell::new(Duration::ZERO),
            verifications,
            answering,
            holding,
            taking,
            read: Cell::new(false),
            reading: Cell::new(false),
            changing: Cell::new(false),
            leaving: Cell::new(false),
        };
        Rc::new(agent)
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    fn version(&self) -> u64 {
        self.stored.borrow().as_ref().map_or(0, |f| f.version)
    }

    fn is_control_node(&self) -> bool {
        self.register.is_some()
    }

    /// Whether what is known here, a configuration among it, is that of a control node in contact with a majority, or the
    /// newest that could be had.
    pub fn is_current(&self) -> bool {
        (self.synced.get() || self.has_waited_for_a_majority()) && self.config.borrow().is_some()
    }

    /// Whether clients' requests can be served here.
    pub fn is_ready(&self) -> bool {
        self.is_current()
            && !self.leaving.get()
            && self.plane.as_ref().is_some_and(|plane| plane.knows_servers())
    }

    /// This process was told to end: it is not ready any more, and the other control nodes know.
    pub fn leave(&self) {
        if !self.leaving.replace(true) {
            info!(self.log, "leaving");
            self.report_disk();
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    pub fn tick(self: &Rc<Self>) {
        self.look_at_links();
        self.look_at_hearing();
        let authority = self.authority();
        let told = self.directory.borrow_mut().tick(&authority, self.now());
        self.spread(told, None);
        self.look_at_verifications();
        self.look_at_wait();
        self.look_at_register();
        self.report_disk();
        self.look_at_members();
        self.look_at_hints();
        let now = Instant::now();
        if self.compared.get() + COMPARE <= now {
            self.compared.set(now);
            let mut links = self.links.borrow_mut();
            let all: Vec<u64> = links.iter().map(|(number, _)| number).collect();
            self.compare(&mut links, &all);
        }
    }

    /// All that is known here, and the version in force, in a few figures: alike where they are.
    pub fn digest(&self) -> Digest {
        self.digest_over(&self.links.borrow())
    }

    fn digest_over(&self, links: &Links) -> Digest {
        Digest { lacks_quorum: self.is_alone(links), ..self.directory.borrow().digest(self.version()) }
    }
}
