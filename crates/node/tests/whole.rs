//! Whole processes under drawn schedules: machines killed, frozen, cut off, wiped, replaced, disks that stall, the whole
//! core killed at once, all without power, while operators race each other and servers come and go. What must hold is
//! checked all along. Time is counted, nothing is waited for.

#[allow(dead_code)]
mod simulation;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, State};
use ashvane_node::agent::Put;
use simulation::{Machine, Simulation, configuration, ms, play, say};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// The users' bounds, as at the small sites.
const CONTACT: Duration = ms(5000);
const APPLY: Duration = ms(3000);
const DRAIN: Duration = ms(3000);
const ACK: Duration = ms(6000);
const CATCH_UP: Duration = ms(4000);
/// How long a caller waits for an answer.
const PATIENCE: Duration = ms(1000);
const STEP: Duration = ms(100);
/// What a day has after its last trouble.
const CALM: Duration = ms(25_000);

/// What callers sent and were told.
#[derive(Default)]
struct Told {
    sent: BTreeSet<String>,
    /// Versions acknowledged, and when.
    held: Vec<(u64, Instant)>,
    /// Those that nobody has acknowledged yet, and since when.
    open: BTreeMap<u64, Instant>,
    /// Servers whose word that they leave was acknowledged, and when.
    left: BTreeMap<String, Instant>,
}

impl Told {
    /// The newest version that was acknowledged before that time.
    fn held_before(&self, at: Instant) -> u64 {
        self.held.iter().filter(|(_, when)| *when < at).map(|(version, _)| *version).max().unwrap_or(0)
    }
}

/// Calls one control_node after another, as operators and servers do, until one has said yes.
async fn until_taken<F>(
    simulation: &Simulation, mut rng: fastrand::Rng, job: impl Fn(Rc<Machine>) -> F,
) -> bool
where
    F: Future<Output = bool>,
{
    for n in 0..40 {
        let control_nodes = simulation.control_nodes();
        let at = control_nodes[rng.usize(..control_nodes.len())].clone();
        if job(at).await {
            return true;
        }
        sleep(ms(50 + 50 * n.min(5))).await;
    }
    false
}

enum Heal {
    Start(Rc<Machine>),
    Thaw(Rc<Machine>),
    Join,
    Sync(Rc<Machine>),
}

struct World {
    rng: fastrand::Rng,
    simulation: Rc<Simulation>,
    told: Rc<RefCell<Told>>,
    version: u64,
    born: u64,
    /// Since when nothing has been done to the core; none while something lasts.
    settled: Option<Instant>,
    /// What each process has had in force, by machine and start.
    seen: BTreeMap<(String, u32), u64>,
    heals: Vec<(Instant, Heal)>,
    /// How many of the core may be lost at once.
    losses: usize,
    /// The next one that acknowledges something falls at once; its disk is wiped or not.
    strike: Rc<Cell<Option<bool>>>,
    struck: Rc<RefCell<Vec<Rc<Machine>>>>,
}

impl World {
    fn new(seed: u64) -> Self {
        fastrand::seed(seed);
        // The small sites' core, or the grown ones'.
        let (control_nodes, losses) = if seed % 4 == 3 { (9, 2) } else { (5, 1) };
        World {
            rng: fastrand::Rng::with_seed(seed),
            simulation: Simulation::new(control_nodes, 6, losses),
            losses,
            strike: Rc::default(),
            struck: Rc::default(),
            told: Rc::default(),
            version: 0,
            born: 0,
            settled: Some(Instant::now()),
            seen: BTreeMap::new(),
            heals: Vec::new(),
        }
    }

    fn put(&mut self, version: u64) {
        let sent = configuration(version, self.rng.u64(..3));
        let (simulation, told, rng) = (self.simulation.clone(), self.told.clone(), self.rng.fork());
        let (strike, struck) = (self.strike.clone(), self.struck.clone());
        told.borrow_mut().sent.insert(sent.clone());
        told.borrow_mut().open.entry(version).or_insert_with(Instant::now);
        spawn_local(async move {
            let put = async |at: Rc<Machine>| {
                let bytes = sent.clone();
                let put =
                    async move |agent: Rc<ashvane_node::agent::Agent>| agent.put(bytes.as_bytes()).await;
                let held = matches!(at.ask(PATIENCE, put).await, Some(Put::Held(held)) if held >= version);
                if let Some(wiped) = strike.get().filter(|_| held) {
                    strike.set(None);
                    say(&format!("STRUCK {} wiped {wiped}", at.name));
                    at.kill(&simulation.network);
                    if wiped {
                        at.wipe();
                    }
                    struck.borrow_mut().push(at);
                }
                held
            };
            if until_taken(&simulation, rng, put).await {
                let mut told = told.borrow_mut();
                told.open.remove(&version);
                told.held.push((version, Instant::now()));
                say(&format!("HELD {version}"));
            }
        });
    }

    /// One that names an unknown service, under a version far above all others.
    fn put_invalid(&mut self) {
        let bad =
            configuration(self.version + 1_000_000, 0).replace("\"service\":\"s\"", "\"service\":\"t\"");
        let control_nodes = self.simulation.control_nodes();
        let at = control_nodes[self.rng.usize(..control_nodes.len())].clone();
        spawn_local(async move {
            let put = async move |agent: Rc<ashvane_node::agent::Agent>| agent.put(bad.as_bytes()).await;
            let got = at.ask(PATIENCE, put).await;
            assert!(matches!(got, None | Some(Put::Invalid(_))), "what is invalid is acknowledged");
        });
    }

    /// A server from its first beat to its end: it beats each second and leaves in order.
    fn server(&mut self) {
        self.born += 1;
        let id = format!("i-{}", self.born);
        let address = format!("10.1.0.{}:8080", self.born);
        let (simulation, told, mut rng) = (self.simulation.clone(), self.told.clone(), self.rng.fork());
        let lives = rng.u64(3..20);
        spawn_local(async move {
            for seq in 1..=lives + 1 {
                let state = if seq > lives { State::Draining } else { State::Ready };
                let beat = Heartbeat {
                    id: id.clone(),
                    service: "s".into(),
                    address: address.clone(),
                    zone: "z0".to_owned(),
                    capacity: 3,
                    state,
                    seq,
                };
                let beats = async |at: Rc<Machine>| {
                    let beat = beat.clone();
                    at.ask(PATIENCE, async move |agent| agent.beat(beat).await).await == Some(true)
                };
                if until_taken(&simulation, rng.fork(), beats).await && state == State::Draining {
                    told.borrow_mut().left.insert(id.clone(), Instant::now());
                }
                sleep(ms(1000)).await;
            }
            let gone = async |at: Rc<Machine>| {
                let id = id.clone();
                at.ask(PATIENCE, async move |agent| agent.left(&id).await).await == Some(true)
            };
            until_taken(&simulation, rng.fork(), gone).await;
        });
    }

    fn down(&mut self, machine: &Rc<Machine>, for_ms: u64) {
        machine.kill(&self.simulation.network);
        machine.well_since.set(None);
        self.heals.push((Instant::now() + ms(for_ms), Heal::Start(machine.clone())));
    }

    /// One trouble of the core, or of the others beside it.
    fn trouble(&mut self) {
        let control_nodes = self.simulation.control_nodes();
        let control_node = control_nodes[self.rng.usize(..control_nodes.len())].clone();
        let all = self.simulation.all();
        let gateways: Vec<_> = all.iter().filter(|m| !m.is_control_node()).cloned().collect();
        let (now, lasts) = (Instant::now(), self.rng.u64(200..4000));
        let what = self.rng.usize(..14);
        say(&format!("TROUBLE {what} at {} for {lasts} ms", control_node.name));
        if what < 11 {
            self.settled = None;
        }
        match what {
            0 => self.down(&control_node, lasts),
            // Its disk is wiped with it.
            1 => {
                control_node.wipe();
                self.down(&control_node, lasts);
            }
            2 => {
                control_node.kill(&self.simulation.network);
                control_node.gone.set(true);
                let new = self.simulation.add_control_node();
                new.well_since.set(None);
                self.heals.push((now + ms(lasts), Heal::Start(new)));
            }
            3 => {
                control_node.freeze(true);
                control_node.well_since.set(None);
                self.heals.push((now + ms(lasts), Heal::Thaw(control_node)));
            }
            4 => {
                control_node.well_since.set(None);
                match self.rng.usize(..3) {
                    0 => self.simulation.network.deafen(&control_node.ip),
                    1 => self.simulation.network.break_all(&control_node.ip),
                    _ => self.simulation.network.cut([control_node.ip.clone()]),
                }
                self.heals.push((now + ms(lasts), Heal::Join));
            }
            // Two of the core and half of the others: the smaller side must not decide.
            5 => {
                let far = control_nodes[..2].iter().chain(&gateways[..3]);
                far.clone().for_each(|m| m.well_since.set(None));
                self.simulation.network.cut(far.map(|m| m.ip.clone()));
                self.heals.push((now + ms(lasts), Heal::Join));
            }
            6 => {
                let storage = control_node.storage.as_ref().expect("a disk");
                storage.sync.set(ms(lasts));
                control_node.well_since.set(None);
                self.heals.push((now + ms(lasts), Heal::Sync(control_node.clone())));
            }
            // All at once: the core's processes, or the whole system.
            7 => {
                let struck = if self.rng.bool() { control_nodes } else { all };
                let back = self.rng.u64(100..900);
                struck.iter().for_each(|m| self.down(m, back));
            }
            // As many disks as may be lost, while all others lose power.
            8 => {
                let back = self.rng.u64(100..900);
                let mut wiped = control_nodes.clone();
                self.rng.shuffle(&mut wiped);
                wiped.iter().take(self.losses).for_each(|m| m.wipe());
                all.iter().for_each(|m| self.down(m, back));
            }
            9 => self.strike.set(Some(self.rng.bool())),
            // As many as may be lost, not quite at once, each in its own way.
            10 => {
                let mut lost = control_nodes.clone();
                self.rng.shuffle(&mut lost);
                for machine in lost.iter().take(self.losses) {
                    let lasts = self.rng.u64(200..4000);
                    if self.rng.bool() {
                        machine.wipe();
                    }
                    self.down(machine, lasts);
                }
            }
            _ => {
                let gateway = gateways[self.rng.usize(..gateways.len())].clone();
                match self.rng.usize(..3) {
                    0 => self.down(&gateway, lasts),
                    1 => {
                        gateway.freeze(true);
                        gateway.well_since.set(None);
                        self.heals.push((now + ms(lasts), Heal::Thaw(gateway)));
                    }
                    _ => {
                        gateway.well_since.set(None);
                        self.simulation.network.cut([gateway.ip.clone()]);
                        self.heals.push((now + ms(lasts), Heal::Join));
                    }
                }
            }
        }
    }

    fn heal(&mut self) {
        let now = Instant::now();
        for machine in self.struck.take() {
            let lasts = self.rng.u64(100..3000);
            self.settled = None;
            self.down(&machine, lasts);
        }
        let (due, rest) = std::mem::take(&mut self.heals).into_iter().partition(|(at, _)| *at <= now);
        self.heals = rest;
        let due: Vec<(Instant, Heal)> = due;
        for (_, heal) in due {
            say("HEALED");
            match heal {
                Heal::Start(machine) => {
                    machine.start(&self.simulation.network, false);
                    machine.well_since.set(Some(now));
                }
                Heal::Thaw(machine) => {
                    machine.freeze(false);
                    machine.well_since.set(Some(now));
                }
                Heal::Sync(machine) => {
                    machine.storage.as_ref().expect("a disk").sync.set(ms(5));
                    machine.well_since.set(Some(now));
                }
                Heal::Join => {
                    self.simulation.network.mend();
                    let cut = self.simulation.all().into_iter().filter(|m| m.well_since.get().is_none());
                    cut.for_each(|m| m.well_since.set(Some(now)));
                }
            }
        }
        if self.heals.is_empty() && self.settled.is_none() {
            self.settled = Some(now);
        }
    }

    fn in_touch(&self, machine: &Machine) -> bool {
        let calm = |since: Option<Instant>| since.is_some_and(|at| at.elapsed() >= CONTACT);
        calm(self.settled) && calm(machine.well_since.get())
    }

    /// What must hold at any moment.
    fn check(&mut self) {
        let now = Instant::now();
        let told = self.told.borrow();
        for machine in self.simulation.all() {
            let Some(agent) = machine.agent() else { continue };
            let version = agent.config().map_or(0, |c| c.version);
            let before = self.seen.entry((machine.name.clone(), machine.life.get())).or_insert(0);
            assert!(version >= *before, "{} went back from {before} to {version}", machine.name);
            *before = version;
            assert!(version < 1_000_000, "{}: what is invalid is in force", machine.name);
            if !self.in_touch(&machine) {
                continue;
            }
            let due = told.held_before(now - APPLY);
            assert!(version >= due, "{} has {version}, {due} was acknowledged", machine.name);
            let drained = told.left.iter().filter(|(_, at)| now - **at > DRAIN);
            for (id, _) in drained {
                assert!(!agent.offers_work_to(id), "{} offers work to {id}", machine.name);
            }
        }
        if self.settled.is_some_and(|at| at.elapsed() >= ACK + CONTACT) {
            let late = told.open.iter().find(|(_, at)| at.elapsed() >= ACK);
            assert!(late.is_none(), "no word on a configuration in calm times: {late:?}");
        }
    }

    /// In the end all is well: what was acknowledged is there, and all know the same.
    async fn read_back(&mut self) {
        let newest = self.told.borrow().held.iter().map(|(version, _)| *version).max().unwrap_or(0);
        for machine in self.simulation.control_nodes() {
            let read = async |agent: Rc<ashvane_node::agent::Agent>| agent.newest().await;
            let found = machine.ask(ACK, read).await.flatten().flatten();
            let found = found.unwrap_or_else(|| panic!("{} cannot read the register", machine.name));
            assert!(found.version >= newest, "{} of {newest} acknowledged is read", found.version);
            let text = ashvane_node::packed::unpack(&found.text).expect("packed");
            let text = String::from_utf8(text).expect("text");
            assert!(self.told.borrow().sent.contains(&text), "nobody sent what is read: {text}");
        }
        let known = |m: &Rc<Machine>| m.agent().map(|agent| agent.digest());
        let all: Vec<_> = self.simulation.all().iter().map(|m| (m.name.clone(), known(m))).collect();
        assert!(all.iter().all(|(_, d)| *d == all[0].1), "they know different things: {all:?}");
    }
}

async fn day(seed: u64) {
    let mut world = World::new(seed);
    sleep(ms(2000)).await;
    world.version = 1;
    world.put(1);
    let (mut trouble, mut operate) = (Instant::now() + ms(4000), Instant::now() + ms(2000));
    let end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < end + CALM {
        sleep(STEP).await;
        world.heal();
        world.check();
        let now = Instant::now();
        if now > end {
            continue;
        }
        if now >= operate {
            operate = now + ms(world.rng.u64(200..2500));
            world.version += world.rng.u64(1..4);
            match world.rng.usize(..8) {
                0 => world.put_invalid(),
                // Two operators at once, in either order, or under one number.
                1 | 2 => {
                    world.put(world.version + 1);
                    world.put(world.version);
                    world.version += 1;
                }
                3..6 => world.put(world.version),
                _ => world.server(),
            }
        }
        // One loss is to be borne at once: the next comes when the last one has caught up.
        let calm = world.settled.is_some_and(|at| at.elapsed() > CATCH_UP);
        let quiet = world.heals.is_empty() && world.strike.get().is_none();
        if now >= trouble && quiet && calm && now + ms(8000) < end {
            trouble = now + ms(world.rng.u64(0..9000));
            world.trouble();
        }
    }
    world.read_back().await;
}

/// Of these days, those that break something, each with what it was.
fn hunt(seeds: impl Iterator<Item = u64>) -> Vec<(u64, String)> {
    let broken = |seed| {
        let played = catch_unwind(AssertUnwindSafe(|| play(day(seed))));
        let why = played.err()?;
        let why = why.downcast_ref::<String>().cloned().unwrap_or_else(|| "a panic".to_owned());
        Some((seed, why))
    };
    seeds.filter_map(broken).collect()
}

/// Some days on which something broke once: a disk wiped and back before it was missed (64, 100), back with nothing but
/// seeds that are gone (70, 302), a server that had left recalled after a restart of all (365).
const DAYS: [u64; 8] = [1, 2, 3, 64, 70, 100, 302, 365];

/// By hand: `SIMULATION_FROM=0 SIMULATION_DAYS=1000 cargo test --release -p ashvane-node --test whole`; `NODE_LOG=1` says all.
#[test]
fn whole_processes_keep_what_they_have_promised() {
    let number = |name| std::env::var(name).ok().and_then(|n| n.parse::<u64>().ok());
    let broken = match number("SIMULATION_DAYS") {
        Some(days) => hunt((0..days).map(|n| n + number("SIMULATION_FROM").unwrap_or(0))),
        None => hunt(DAYS.into_iter()),
    };
    assert!(broken.is_empty(), "{broken:#?}");
}
