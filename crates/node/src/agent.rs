//! One process of the system among the others: what it knows, what it tells, what it does for all.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Digest, Directory, Heartbeat, Node, Server, State, Update, peers};
use ashvane_quorum::{Ask, Filed, Outcome, Seat, Seats, Watch, duty};
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::config::Config;
use crate::data_plane::DataPlane;
use crate::links::{Link, Links, Listener, Message, Net, dial};
use crate::packed;
use crate::register::{Asks, Register};
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
/// Time after which a configuration that others have is asked for again.
const WANT_AGAIN: Duration = Duration::from_millis(400);
/// How often the servers that are known are kept on disk, where they change.
const HINT: Duration = Duration::from_secs(2);
/// Digests that differ in a row, after which updates has been missed.
const DIFFERS: u32 = 2;

struct Confirm {
    need: usize,
    got: BTreeSet<String>,
    done: Option<oneshot::Sender<()>>,
}

pub struct Agent {
    pub settings: Settings,
    pub log: Logger,
    started: Instant,
    seeds: RefCell<Vec<String>>,
    directory: RefCell<Directory>,
    links: RefCell<Links>,
    /// The newest configuration that a majority of disks is known to hold.
    filed: RefCell<Option<Filed>>,
    config: RefCell<Option<Rc<Config>>>,
    in_force_since: Cell<Option<Instant>>,
    register: Option<Rc<Register>>,
    plane: Option<Rc<DataPlane>>,
    net: Rc<dyn Net>,
    confirms: RefCell<BTreeMap<u64, Confirm>>,
    numbers: Cell<u64>,
    dialled: RefCell<BTreeMap<String, Instant>>,
    unreached: RefCell<BTreeMap<String, Instant>>,
    /// Those that were linked, and since when they are not.
    lost: RefCell<BTreeMap<String, Option<Instant>>>,
    watch: RefCell<Watch>,
    wanted: Cell<Option<(u64, Instant)>>,
    /// Another than the one that feeds this gatherer has named a newer configuration first.
    foretold: Cell<bool>,
    /// The link over which this gatherer is told what changes.
    feed: Cell<Option<u64>>,
    compared: Cell<Instant>,
    /// When the servers were last kept on disk, and how often the directory had changed by then.
    hinted: Cell<(Instant, u64)>,
    /// A server has left since then.
    left: Cell<bool>,
    /// Whether a process with a disk has told all that it knows.
    synced: Cell<bool>,
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
            directory.learn(Update::Seats(register.seats()), Duration::ZERO);
        }
        // One with a disk knows what it knows: gatherers compare with it, not it with them.
        let alone = register.is_some();
        let (filed, config, confirms, dialled, unreached, lost, watch, links) = Default::default();
        let agent = Agent {
            seeds: settings.seeds.clone().into(),
            settings,
            log,
            started,
            directory: RefCell::new(directory),
            links,
            filed,
            config,
            in_force_since: Cell::new(None),
            register: register.map(Rc::new),
            plane,
            net,
            confirms,
            numbers: Cell::new(0),
            dialled,
            unreached,
            lost,
            watch,
            wanted: Cell::new(None),
            foretold: Cell::new(false),
            feed: Cell::new(None),
            compared: Cell::new(started),
            hinted: Cell::new((started, 0)),
            left: Cell::new(false),
            synced: Cell::new(alone),
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
        self.filed.borrow().as_ref().map_or(0, |f| f.version)
    }

    fn is_control_node(&self) -> bool {
        self.register.is_some()
    }

    /// Whether clients' requests can be served here.
    pub fn is_ready(&self) -> bool {
        let knows = self.synced.get() && self.config.borrow().is_some();
        knows && !self.leaving.get() && self.plane.as_ref().is_some_and(|plane| plane.knows_servers())
    }

    pub fn leave(&self) {
        if !self.leaving.replace(true) {
            info!(self.log, "leaving");
        }
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    // What is known, and how it is told on.

    /// Tells others what changed here; `from` is where it came from.
    fn spread(&self, updates: Vec<Update>, from: Option<u64>) {
        if updates.is_empty() {
            return;
        }
        self.follow(&updates);
        if updates.iter().any(|n| matches!(n, Update::Server(s) if s.state > State::Ready)) {
            self.left.set(true);
        }
        let mut links = self.links.borrow_mut();
        let is_control_node = |l: &Link| l.peer.disk.is_some();
        // Those with disks tell each other what is new to one of them, and the gatherers that they feed; a
        // gatherer tells the one that feeds it. Whoever is missed finds out by the next digests.
        let between_control_nodes = from.is_some_and(|n| links.get(n).is_some_and(is_control_node));
        let told = |n: u64, l: &Link| match (self.is_control_node(), is_control_node(l)) {
            (true, true) => !between_control_nodes,
            (true, false) => l.fed,
            (false, _) => self.feed.get() == Some(n),
        };
        let numbers: Vec<u64> =
            links.iter().filter(|(n, l)| Some(*n) != from && told(*n, l)).map(|(n, _)| n).collect();
        links.send_all(&numbers, &Message::Update { number: 0, updates });
    }

    /// Hands what changed to the data plane.
    fn follow(&self, updates: &[Update]) {
        let Some(plane) = &self.plane else { return };
        let directory = self.directory.borrow();
        plane.servers_changed(&directory, updates);
        plane.gatherers_are(directory.fronts());
    }

    fn learn(&self, updates: Vec<Update>, from: Option<u64>) {
        let now = self.now();
        let told: Vec<Update> = {
            let mut directory = self.directory.borrow_mut();
            updates.into_iter().flat_map(|n| directory.learn(n, now)).collect()
        };
        self.spread(told, from);
    }

    fn compare(&self, links: &mut Links, numbers: &[u64]) {
        links.send_all(numbers, &Message::Digest(self.digest()));
    }

    /// A configuration that a majority of disks holds: from here on it is in force here.
    fn config_is(self: &Rc<Self>, filed: Filed) {
        if self.filed.borrow().as_ref().is_some_and(|held| *held >= filed) {
            return;
        }
        let Some(text) = packed::unpack(&filed.text) else {
            warn!(self.log, "a configuration that others hold cannot be unpacked"; "version" => filed.version);
            return;
        };
        let config = match Config::parse(&text) {
            Ok(config) => Rc::new(config),
            Err(faults) => {
                warn!(self.log, "a configuration that others hold cannot be read here";
                    "version" => filed.version, "faults" => faults.join("; "));
                return;
            }
        };
        info!(self.log, "configuration in force"; "version" => filed.version);
        self.in_force_since.set(Some(Instant::now()));
        *self.config.borrow_mut() = Some(config.clone());
        *self.filed.borrow_mut() = Some(filed.clone());
        if let Some(plane) = &self.plane {
            plane.configured(config);
        }
        if let Some(register) = &self.register {
            // What this disk has missed it is given here.
            let own = register.ask_own(&Ask::Install { seats: Seats::default(), filed: Some(filed) });
            tokio::task::spawn_local(own);
        }
        let mut links = self.links.borrow_mut();
        let peers = links.peers();
        self.compare(&mut links, &peers);
    }

    /// A neighbour's digest: where it differs twice in a row, updates has been missed; before that it may be on its
    /// way. The one with the lower name begins, or the one that has just come.
    fn compared_with(&self, number: u64, digest: Digest) {
        self.want(number, digest.version);
        let directory = self.directory.borrow();
        let mine = directory.digest(self.version());
        let mut links = self.links.borrow_mut();
        let Some(link) = links.get_mut(number) else { return };
        let control_node = link.peer.disk.is_some();
        if (mine.entries, mine.epoch) == (digest.entries, digest.epoch) {
            link.differs = 0;
            if control_node {
                self.synced.set(true);
            }
            return;
        }
        link.differs += 1;
        let new_here = control_node && !self.synced.get();
        if new_here || (link.differs >= DIFFERS && directory.me().name < link.peer.name) {
            link.differs = 0;
            links.send(number, &Message::Buckets(directory.buckets()));
        }
    }

    fn want(&self, from: u64, version: u64) {
        let now = Instant::now();
        let asked = self.wanted.get().is_some_and(|(v, at)| v >= version && at + WANT_AGAIN > now);
        // The one that feeds this gatherer is near: it is waited for a moment where another is first.
        let nearer = self.feed.get().is_some_and(|feed| feed != from);
        if version > self.version() && !asked && nearer && !self.foretold.replace(true) {
            return;
        }
        if version > self.version() && !asked {
            self.foretold.set(false);
            self.wanted.set(Some((version, now)));
            self.links.borrow_mut().send(from, &Message::Want { above: self.version() });
        }
    }

    // Servers.

    /// A server has said something. One that leaves is acknowledged only once a majority of those that hear
    /// servers knows it, so that it does not depend on this process.
    pub async fn beat(self: &Rc<Self>, beat: Heartbeat) -> bool {
        let leaves = beat.state > State::Ready;
        let id = beat.id.clone();
        let told = self.directory.borrow_mut().beat(beat, self.now());
        self.spread(told, None);
        !leaves || self.confirm(&id).await
    }

    pub async fn left(self: &Rc<Self>, id: &str) -> bool {
        let told = self.directory.borrow_mut().left(id, self.now());
        self.spread(told, None);
        self.confirm(id).await
    }

    async fn confirm(self: &Rc<Self>, id: &str) -> bool {
        let Some(server) = self.directory.borrow().server(id).cloned() else { return false };
        let need = self.directory.borrow().seats().majority().saturating_sub(1);
        if need == 0 {
            return true;
        }
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        let (done, confirmed) = oneshot::channel();
        let confirm = Confirm { need, got: BTreeSet::new(), done: Some(done) };
        self.confirms.borrow_mut().insert(number, confirm);
        {
            let mut links = self.links.borrow_mut();
            let control_nodes: Vec<u64> =
                links.iter().filter(|(_, l)| l.peer.disk.is_some()).map(|(number, _)| number).collect();
            links
                .send_all(&control_nodes, &Message::Update { number, updates: vec![Update::Server(server)] });
        }
        let confirmed = tokio::time::timeout(CONFIRMED, confirmed).await;
        self.confirms.borrow_mut().remove(&number);
        matches!(confirmed, Ok(Ok(())))
    }

    fn confirmed(&self, number: u64, link: u64) {
        let mut links = self.links.borrow_mut();
        let Some(peer) = links.get_mut(link).filter(|l| l.peer.disk.is_some()) else { return };
        let mut confirms = self.confirms.borrow_mut();
        let Some(confirm) = confirms.get_mut(&number) else { return };
        confirm.got.insert(peer.peer.name.clone());
        if confirm.got.len() >= confirm.need
            && let Some(done) = confirm.done.take()
        {
            let _ = done.send(());
        }
    }

    // The register.

    /// Where control calls are settled, if not here: at a control_node that is linked.
    pub fn settled_at(&self) -> Option<String> {
        let links = self.links.borrow();
        let mut control_nodes = links.iter().filter(|(_, l)| l.peer.disk.is_some());
        if self.is_control_node() { None } else { control_nodes.find_map(|(_, l)| l.peer.control.clone()) }
    }

    fn ask(self: &Rc<Self>, asks: Asks) {
        let Some(register) = &self.register else { return };
        for (seat, number, ask) in asks {
            if seat.address == self.directory.borrow().me().address {
                let (agent, own) = (self.clone(), register.ask_own(&ask));
                tokio::task::spawn_local(async move {
                    if let Some(told) = own.await {
                        agent.told(number, told);
                    }
                });
                continue;
            }
            let mut links = self.links.borrow_mut();
            if let Some(link) = links.at(&seat.address) {
                links.send(link, &Message::Ask { number, ask });
            }
        }
    }

    fn told(self: &Rc<Self>, number: u64, told: ashvane_quorum::Told) {
        let Some(register) = &self.register else { return };
        let (asks, seats) = register.told(number, told);
        if let Some(seats) = seats {
            self.learn(vec![Update::Seats(seats)], None);
        }
        self.ask(asks);
    }

    /// An operator's configuration: checked whole, then kept on a majority of disks, then in force.
    pub async fn put(self: &Rc<Self>, text: &[u8]) -> Put {
        let config = match Config::parse(text) {
            Ok(config) => config,
            Err(faults) => return Put::Invalid(faults),
        };
        let Some(register) = &self.register else { return Put::Unclear };
        let filed = Filed { version: config.version, text: packed::pack(text).into() };
        let seats = self.directory.borrow().seats().clone();
        if seats.seats.is_empty() {
            return Put::Unclear;
        }
        let (asks, outcome) = register.write(seats, filed.clone());
        self.ask(asks);
        match outcome.await {
            Ok(Outcome::Held) => {
                self.config_is(filed);
                Put::Held(self.version())
            }
            _ => Put::Unclear,
        }
    }

    /// The newest configuration that a majority of disks holds. None: no majority answers.
    pub async fn newest(self: &Rc<Self>) -> Option<Option<Filed>> {
        let register = self.register.as_ref()?;
        let seats = self.directory.borrow().seats().clone();
        if seats.seats.is_empty() {
            return None;
        }
        let (asks, outcome) = register.read(seats);
        self.ask(asks);
        match outcome.await {
            Ok(Outcome::Found(filed)) => {
                self.read.set(true);
                if let Some(filed) = &filed {
                    self.config_is(filed.clone());
                }
                Some(filed)
            }
            _ => None,
        }
    }

    /// Reads the register at start, and whenever this disk holds something that may be held by no majority.
    fn look_at_register(self: &Rc<Self>) {
        let Some(register) = &self.register else { return };
        self.ask(register.look(false));
        let ahead = register.filed().map_or(0, |f| f.version) > self.version();
        if (!self.read.get() || ahead) && !self.reading.replace(true) {
            let agent = self.clone();
            tokio::task::spawn_local(async move {
                agent.newest().await;
                agent.reading.set(false);
            });
        }
    }

    // Duties.

    fn lives(&self, node: &Node) -> bool {
        let here = node.name == self.directory.borrow().me().name;
        here || (!node.down && self.links.borrow().to(&node.name).is_some())
    }

    /// Whether this process is the first live one with a disk, by name, and sees a majority of the disks.
    fn is_first(&self) -> bool {
        let directory = self.directory.borrow();
        let control_nodes: Vec<&Node> =
            directory.nodes().filter(|n| n.disk.is_some() && self.lives(n)).collect();
        let seated = |n: &&&Node| n.disk.as_ref().is_some_and(|d| directory.seats().has(d));
        let first = control_nodes.iter().map(|n| &n.name).min();
        first == Some(&directory.me().name)
            && control_nodes.iter().filter(seated).count() >= directory.seats().majority()
    }

    /// The disks that live, as seen from here.
    fn live_seats(&self) -> Vec<Seat> {
        let seat = |n: &Node| Some(Seat { disk: n.disk.clone()?, address: n.address.clone() });
        self.directory.borrow().nodes().filter(|n| self.lives(n)).filter_map(seat).collect()
    }

    /// Sees to it that the seats are those of disks that live, where that is this process's duty.
    fn look_at_seats(self: &Rc<Self>) {
        let Some(register) = &self.register else { return };
        let (now, directory) = (self.now(), self.directory.borrow());
        let live = self.live_seats();
        let mut watch = self.watch.borrow_mut();
        watch.look(now, directory.seats(), &live);
        let me = directory.me().disk.clone().unwrap_or_default();
        let next = watch.next(now, &me, directory.seats(), &live).filter(|_| !self.changing.get());
        let Some(next) = next else { return };
        info!(self.log, "the set of disks is to change"; "epoch" => directory.seats().epoch + 1,
            "disks" => next.iter().map(|s| &*s.disk).collect::<Vec<_>>().join(" "));
        drop((directory, watch));
        self.changing.set(true);
        let seats = self.directory.borrow().seats().clone();
        let (asks, outcome) = register.change(seats, next);
        self.ask(asks);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Outcome::Seated(seats)) = outcome.await {
                info!(agent.log, "the set of disks has changed"; "epoch" => seats.epoch);
                agent.learn(vec![Update::Seats(seats)], None);
            }
            agent.changing.set(false);
        });
    }

    // Links.

    fn call(self: &Rc<Self>, address: String) {
        let now = Instant::now();
        let mut dialled = self.dialled.borrow_mut();
        if dialled.get(&address).is_some_and(|at| *at + DIAL_AGAIN > now) {
            return;
        }
        dialled.insert(address.clone(), now);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            if !dial(address.clone(), agent.clone()).await {
                agent.unreached.borrow_mut().insert(address, Instant::now() + UNREACHED);
            }
        });
    }

    fn look_at_links(self: &Rc<Self>) {
        let now = Instant::now();
        self.unreached.borrow_mut().retain(|_, until| *until > now);
        let wanted: Vec<String> = {
            let (directory, unreached, links) =
                (self.directory.borrow(), self.unreached.borrow(), self.links.borrow());
            let reached = |n: &Node| self.is_control_node() || !unreached.contains_key(&n.address);
            let chosen = peers(directory.me(), directory.nodes(), self.settings.losses, reached);
            let missing = chosen.iter().filter(|n| links.to(&n.name).is_none());
            let mut wanted: Vec<String> = missing.map(|n| n.address.clone()).collect();
            // One with a disk that is down may be back with nothing but seeds that are gone: the others look for it.
            let down = directory.nodes().filter(|n| self.is_control_node() && n.down && n.disk.is_some());
            let down = down.filter(|n| !unreached.contains_key(&n.address) && links.to(&n.name).is_none());
            wanted.extend(down.map(|n| n.address.clone()));
            let control_nodes = links.iter().filter(|(_, l)| l.peer.disk.is_some()).count();
            if control_nodes == 0 || (self.is_control_node() && directory.seats().epoch == 0) {
                let own = &directory.me().address;
                wanted
                    .extend(self.seed_addresses().into_iter().filter(|a| a != own && links.at(a).is_none()));
                // None of those that one would choose answers: any other may.
                let others = directory.nodes().filter(|n| n.disk.is_some() && links.to(&n.name).is_none());
                wanted.extend(others.filter(|n| &n.address != own).map(|n| n.address.clone()));
            }
            wanted
        };
        wanted.into_iter().for_each(|address| self.call(address));
        self.look_at_feed();
        let lost: Vec<String> = {
            let links = self.links.borrow();
            let mut lost = self.lost.borrow_mut();
            for (name, since) in lost.iter_mut() {
                match links.to(name) {
                    Some(_) => *since = None,
                    None => *since = since.or(Some(now)),
                }
            }
            let gone = |since: &Option<Instant>| since.is_some_and(|at| at + LOST_AFTER < now);
            let names = lost.iter().filter(|(_, since)| gone(since)).map(|(name, _)| name.clone()).collect();
            lost.retain(|_, since| !gone(since));
            names
        };
        for name in lost {
            let told = self.directory.borrow_mut().node_lost(&name, self.now());
            if !told.is_empty() {
                info!(self.log, "does not answer"; "node" => &name);
            }
            self.spread(told, None);
        }
    }

    /// A gatherer has one that tells it what changes: the first of its peers with a disk that is linked.
    fn look_at_feed(&self) {
        if self.is_control_node() {
            return;
        }
        let directory = self.directory.borrow();
        let mut links = self.links.borrow_mut();
        let chosen = peers(directory.me(), directory.nodes(), self.settings.losses, |_| true);
        let linked = chosen.iter().filter(|n| n.disk.is_some()).find_map(|n| links.to(&n.name));
        let any = || links.iter().find(|(_, l)| l.peer.disk.is_some()).map(|(n, _)| n);
        let feed = linked.or_else(any);
        let before = self.feed.replace(feed);
        if before != feed {
            if let Some(before) = before {
                links.send(before, &Message::Feed(false));
            }
            if let Some(feed) = feed {
                links.send(feed, &Message::Feed(true));
                links.send(feed, &Message::Buckets(directory.buckets()));
            }
        }
    }

    /// The settings file has changed: of it only the machines to begin with hold from now on.
    pub fn reloaded(&self, settings: &Settings) {
        if *self.seeds.borrow() != settings.seeds {
            info!(self.log, "other machines to begin with"; "seeds" => settings.seeds.join(" "));
            self.seeds.borrow_mut().clone_from(&settings.seeds);
        }
    }

    /// The addresses at which the machines of the settings file reach each other.
    pub fn seed_addresses(&self) -> Vec<String> {
        let ip = |seed: &String| seed.rsplit_once(':').map(|(ip, _)| ip.to_owned());
        let port = self.settings.ports.0;
        self.seeds.borrow().iter().filter_map(ip).map(|ip| format!("{ip}:{port}")).collect()
    }

    pub fn tick(self: &Rc<Self>) {
        self.look_at_links();
        let first = self.is_control_node() && self.is_first();
        let told = self.directory.borrow_mut().tick(first, self.now());
        self.spread(told, None);
        self.look_at_register();
        self.look_at_seats();
        self.look_at_hints();
        let now = Instant::now();
        if self.compared.get() + COMPARE <= now {
            self.compared.set(now);
            let mut links = self.links.borrow_mut();
            let all: Vec<u64> = links.iter().map(|(number, _)| number).collect();
            self.compare(&mut links, &all);
        }
    }

    /// Lines and bytes that this process has said to others, by what they are about.
    pub fn said(&self) -> BTreeMap<&'static str, (u64, u64)> {
        self.links.borrow().counters.out.clone()
    }

    /// Whether a server is known here as one that is ready and has been heard of late.
    pub fn offers_work_to(&self, id: &str) -> bool {
        self.directory.borrow().server(id).is_some_and(|s| s.state == State::Ready && !s.silent)
    }

    /// All that is known here, and the version in force, in a few figures: alike where they are.
    pub fn digest(&self) -> Digest {
        self.directory.borrow().digest(self.version())
    }

    /// All that this process knows, for operators.
    pub fn state(&self) -> Value {
        let (directory, links) = (self.directory.borrow(), self.links.borrow());
        let linked = |name: &str| links.to(name).is_some();
        let feed = self.feed.get().and_then(|n| links.get(n)).map(|l| l.peer.name.clone());
        let nodes: Vec<Value> = directory
            .nodes()
            .map(|n| {
                let state = match (n.name == directory.me().name, n.down, linked(&n.name)) {
                    (true, ..) => "this one",
                    (_, true, _) => "down",
                    (_, _, true) => "linked",
                    _ => "known",
                };
                json!({"node": n.name, "state": state, "age": n.age, "zone": n.zone, "address": n.address,
                    "control": n.control, "disk": n.disk, "front": n.front})
            })
            .collect();
        let servers: Vec<Value> = directory
            .servers()
            .filter(|s| s.state < State::Gone)
            .map(|s| {
                json!({"server": s.id, "service": s.service, "state": s.state, "silent": s.silent,
                    "zone": s.zone, "address": s.address, "heard by": s.keeper, "beat": s.seq})
            })
            .collect();
        let seats: Vec<Value> =
            directory.seats().seats.iter().map(|s| json!({"disk": s.disk, "address": s.address})).collect();
        let since = self.in_force_since.get().map(|at| at.elapsed().as_secs());
        let said = self.said().into_iter();
        let said: Vec<Value> = said
            .map(|(cause, (lines, bytes))| json!({"about": cause, "lines": lines, "bytes": bytes}))
            .collect();
        json!({
            "process": {"node": directory.me().name, "leaving": self.leaving.get(), "ready": self.is_ready(),
                "up for s": self.started.elapsed().as_secs(), "fed by": feed, "links": links.iter().count()},
            "configuration": {"version": self.version(), "in force for s": since,
                "on this disk": self.register.as_ref().and_then(|r| r.filed()).map(|f| f.version)},
            "duties": [
                {"duty": "set of disks", "epoch": directory.seats().epoch, "held here": self.has_seats_duty()},
                {"duty": "servers of lost control_nodes", "epoch": null, "held here": self.is_control_node() && self.is_first()},
            ],
            "said": said, "disks": seats, "nodes": nodes, "servers": servers,
            "allotments": self.plane.as_ref().map_or(Value::Array(Vec::new()), |plane| plane.allotments()),
        })
    }

    fn has_seats_duty(&self) -> bool {
        let directory = self.directory.borrow();
        let holder = duty::holder(directory.seats(), &self.live_seats());
        holder.is_some_and(|s| Some(&s.disk) == directory.me().disk.as_ref())
    }

    /// Servers that were known before a restart: until they beat, better than none. Some may have left since, so they
    /// count as silent here, and whatever others know of them stands above it.
    pub fn recall(&self, servers: Vec<Server>) {
        let recalled = servers.into_iter().map(|s| Update::Server(Server { seq: 0, silent: true, ..s }));
        self.learn(recalled.collect(), None);
    }

    fn look_at_hints(&self) {
        let Some(register) = &self.register else { return };
        let (now, directory) = (Instant::now(), self.directory.borrow());
        let (at, changes) = self.hinted.get();
        // One that left is struck out at once, lest a restart bring it back.
        if (at + HINT <= now || self.left.take()) && changes != directory.changes() {
            self.hinted.set((now, directory.changes()));
            let known = directory.servers().filter(|s| s.state < State::Gone);
            register.disk().hint(known.cloned().collect());
        }
    }

    /// A line of counters.
    pub fn count(&self) {
        let (directory, links) = (self.directory.borrow(), self.links.borrow());
        let c = &links.counters;
        info!(self.log, "counters"; "nodes" => directory.nodes().filter(|n| !n.down).count(),
            "servers" => directory.servers().filter(|s| s.state < State::Gone).count(),
            "links" => links.iter().count(), "version" => self.version(), "epoch" => directory.seats().epoch,
            "lines_in" => c.lines_in, "unread" => c.unread, "lost" => c.lost,
            "said" => c.out.iter().map(|(cause, (lines, bytes))| format!("{cause}:{lines}:{bytes}"))
                .collect::<Vec<_>>().join(","));
        if let Some(plane) = &self.plane {
            plane.count();
        }
    }
}

impl Listener for Agent {
    fn me(&self) -> Node {
        self.directory.borrow().me().clone()
    }

    fn net(&self) -> &dyn Net {
        &*self.net
    }

    fn links(&self) -> &RefCell<Links> {
        &self.links
    }

    fn linked(self: &Rc<Self>, number: u64) {
        let peer = {
            let mut links = self.links.borrow_mut();
            let Some(link) = links.get_mut(number) else { return };
            let (peer, ours) = (link.peer.clone(), link.ours);
            // Of two connections to one process, both sides keep the one that the lower address called.
            let we_call = self.directory.borrow().me().address < peer.address;
            let others: Vec<(u64, bool)> = links
                .iter()
                .filter(|(other, l)| *other != number && l.peer.name == peer.name)
                .map(|(other, l)| (other, l.peer.life == peer.life && l.ours == we_call && ours != we_call))
                .collect();
            for (other, keep) in others {
                links.close(if keep { number } else { other });
            }
            peer
        };
        self.lost.borrow_mut().insert(peer.name.clone(), None);
        self.unreached.borrow_mut().remove(&peer.address);
        let control_node = peer.disk.is_some();
        self.learn(vec![Update::Node(peer)], Some(number));
        self.compare(&mut self.links.borrow_mut(), &[number]);
        if let Some(register) = self.register.as_ref().filter(|_| control_node) {
            self.ask(register.look(true));
        }
    }

    fn heard(self: &Rc<Self>, number: u64, line: Message) {
        match line {
            Message::Hello(_) | Message::Packed(_) => {}
            Message::Update { number: asked, updates } => {
                self.learn(updates, Some(number));
                if asked > 0 {
                    self.links.borrow_mut().send(number, &Message::Got { number: asked });
                }
            }
            Message::Got { number: asked } => self.confirmed(asked, number),
            Message::Digest(digest) => self.compared_with(number, digest),
            Message::Feed(fed) => {
                if let Some(link) = self.links.borrow_mut().get_mut(number) {
                    link.fed = fed;
                }
            }
            Message::Buckets(buckets) => {
                let summary = {
                    let directory = self.directory.borrow();
                    let parts = directory.differing(&buckets);
                    (parts != 0 || buckets.epoch != directory.seats().epoch).then(|| directory.summary(parts))
                };
                if let Some(summary) = summary {
                    self.links.borrow_mut().send(number, &Message::Summary(summary));
                }
            }
            Message::Summary(summary) => {
                let (updates, behind, mine) = {
                    let directory = self.directory.borrow();
                    let behind = directory.is_behind(&summary);
                    (directory.newer_than(&summary), behind, behind.then(|| directory.summary(summary.parts)))
                };
                let mut links = self.links.borrow_mut();
                if !updates.is_empty() {
                    links.send(number, &Message::Update { number: 0, updates });
                }
                if let Some(mine) = mine {
                    links.send(number, &Message::Summary(mine));
                } else if !behind && links.get_mut(number).is_some_and(|l| l.peer.disk.is_some()) {
                    self.synced.set(true);
                }
            }
            Message::Want { above } => {
                let filed = self.filed.borrow().clone().filter(|f| f.version > above);
                if let Some(filed) = filed {
                    self.links.borrow_mut().send(number, &Message::Config(filed));
                }
            }
            Message::Config(filed) => self.config_is(filed),
            Message::Ask { number: asked, ask } => {
                let Some(register) = &self.register else { return };
                let (agent, own) = (self.clone(), register.ask_own(&ask));
                tokio::task::spawn_local(async move {
                    if let Some(told) = own.await {
                        agent.links.borrow_mut().send(number, &Message::Told { number: asked, told });
                    }
                });
            }
            Message::Told { number: asked, told } => self.told(asked, told),
        }
    }

    fn unlinked(self: &Rc<Self>, _number: u64, link: Link) {
        // Called again at once: it may only have started anew.
        self.dialled.borrow_mut().remove(&link.peer.address);
    }
}
