//! A day of the simulated system: its callers, what is done to its machines, and what must hold all along.

pub(crate) mod drawn;
mod history;
pub(crate) mod worst;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::{Agent, PutOutcome};
use ashvane_node::compression;
use ashvane_node::config::Config;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::simulation::{Direction, Machine, Simulation, configuration, log_line, ms};
use history::{Answer, History, Order};

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
/// How often a caller tries before it gives up, ...
const TRIES: u64 = 40;
/// ... and how often an operator does on the worst days, when a majority may be out of reach for long: until it is taken.
const TRIES_OF_WORST: u64 = 400;
/// Above all versions that are valid.
const INVALID_FROM: u64 = 1_000_000;

/// What callers were told, and when.
#[derive(Default)]
struct Told {
    history: History,
    /// Versions acknowledged, and when.
    held: Vec<(u64, Instant)>,
    /// Those that nobody has answered yet, and since when.
    open: BTreeMap<Order, Instant>,
    /// Servers whose word that they leave was acknowledged, and when.
    left: BTreeMap<String, Instant>,
}

impl Told {
    /// The newest version that was acknowledged before that time.
    fn held_before(&self, at: Instant) -> u64 {
        self.held.iter().filter(|(_, when)| *when < at).map(|(version, _)| *version).max().unwrap_or(0)
    }
}

enum Heal {
    Start(Rc<Machine>),
    Thaw(Rc<Machine>),
    Join(Option<u64>, Vec<Rc<Machine>>),
    Sync(Rc<Machine>),
}

impl Heal {
    /// Whether what it undoes lasts at a control node.
    fn concerns_core(&self) -> bool {
        match self {
            Heal::Start(machine) | Heal::Thaw(machine) | Heal::Sync(machine) => machine.is_control_node(),
            Heal::Join(_, machines) => machines.iter().any(|machine| machine.is_control_node()),
        }
    }
}

/// What calls rest on: they go on beside the day that began them.
#[derive(Clone, Default)]
struct Callers {
    simulation: Rc<Simulation>,
    told: Rc<RefCell<Told>>,
    /// Calls are bound to be answered in a caller's patience; a caller that waits longer is told so.
    prompt: bool,
    /// Of so many answers to operators one is lost on its way; none is where this is zero.
    answer_lost: u32,
    tries: u64,
    /// Orders whose operators still wait for a clear answer.
    under_way: Rc<Cell<usize>>,
    /// The next one that acknowledges something falls at once; its disk is wiped or not.
    strike: Rc<Cell<Option<bool>>>,
    struck: Rc<RefCell<Vec<Rc<Machine>>>>,
}

impl Callers {
    /// Calls a machine as operators and servers do: they wait for so long, and go on.
    async fn call<T: 'static, F: Future<Output = T> + 'static>(
        &self, at: &Machine, job: impl FnOnce(Rc<Agent>) -> F + 'static,
    ) -> Option<T> {
        let before = at.undisturbed();
        let answer = at.call(PATIENCE, job).await;
        if self.prompt && answer.is_none() && before.is_some() && before == at.undisturbed() {
            self.told.borrow_mut().history.fault(format!("{} left a caller without an answer", at.name));
        }
        answer
    }

    /// One try of an operator.
    async fn put(&self, at: &Rc<Machine>, order: Order) -> Answer {
        let text = configuration(order.version, order.salt);
        let put = self.call(at, async move |agent: Rc<Agent>| agent.put(text.as_bytes()).await).await;
        let answer = match put {
            Some(PutOutcome::Accepted { version: held }) if held >= order.version => {
                Answer::Acknowledged { held }
            }
            Some(PutOutcome::Conflict { .. }) => Answer::Refused,
            Some(PutOutcome::Accepted { version: held }) => {
                let what = format!("{} answers {held} to {order:?}", at.name);
                self.told.borrow_mut().history.fault(what);
                Answer::Unclear
            }
            Some(PutOutcome::Invalid(faults)) => {
                let what = format!("{} takes {order:?} for invalid: {faults:?}", at.name);
                self.told.borrow_mut().history.fault(what);
                Answer::Refused
            }
            Some(PutOutcome::Unknown(_)) | None => Answer::Unclear,
        };
        log_line(&format!("{order:?} at {}: {answer:?}", at.name));
        self.told.borrow_mut().history.answered(order, answer, &at.name);
        answer
    }

    /// Asks for the newest configuration and checks what comes.
    async fn read(&self, at: &Rc<Machine>) {
        let floor = self.told.borrow().history.floor();
        let read = async |agent: Rc<Agent>| agent.read_newest().await;
        let Some(Ok(found)) = self.call(at, read).await else { return };
        let text = found.and_then(|found| compression::decompress(&found.compressed_text).ok());
        let order = text.and_then(|text| Order::of(&Config::parse(&text).ok()?));
        self.told.borrow_mut().history.read(floor, order, &at.name);
    }

    /// Calls one control node after another, as operators and servers do, until one has given a clear answer; for a
    /// while only those of one side, where the caller reaches no others.
    async fn until_clear<F>(
        &self, side: &[Rc<Machine>], mut rng: fastrand::Rng, job: impl Fn(Rc<Machine>) -> F,
    ) -> bool
    where
        F: Future<Output = bool>,
    {
        for n in 0..self.tries {
            let sided = n < TRIES / 2 && !side.is_empty();
            let control_nodes = if sided { side.to_vec() } else { self.simulation.control_nodes() };
            let at = control_nodes[rng.usize(..control_nodes.len())].clone();
            if job(at).await {
                return true;
            }
            sleep(ms(50 + 50 * n.min(5))).await;
        }
        false
    }

    /// An operator's order, sent until there is a clear answer.
    async fn order(self, order: Order, side: Vec<Rc<Machine>>, mut rng: fastrand::Rng) {
        self.under_way.set(self.under_way.get() + 1);
        let lossy = RefCell::new((self.answer_lost > 0).then(|| rng.fork()));
        let put = async |at: Rc<Machine>| {
            let answer = self.put(&at, order).await;
            let acknowledged = matches!(answer, Answer::Acknowledged { .. });
            if let Some(wiped) = self.strike.get().filter(|_| acknowledged) {
                self.strike.set(None);
                log_line(&format!("STRUCK {} wiped {wiped}", at.name));
                at.kill(&self.simulation.network);
                if wiped {
                    at.wipe();
                }
                self.struck.borrow_mut().push(at);
            }
            if lossy.borrow_mut().as_mut().is_some_and(|rng| rng.u32(..self.answer_lost) == 0) {
                return false;
            }
            let mut told = self.told.borrow_mut();
            if answer != Answer::Unclear {
                told.open.remove(&order);
                log_line(&format!("{answer:?} {order:?}"));
            }
            if acknowledged {
                told.held.push((order.version, Instant::now()));
            }
            answer != Answer::Unclear
        };
        self.until_clear(&side, rng, put).await;
        self.under_way.set(self.under_way.get() - 1);
    }
}

/// One day.
pub(crate) struct World {
    rng: fastrand::Rng,
    callers: Callers,
    simulation: Rc<Simulation>,
    told: Rc<RefCell<Told>>,
    version: u64,
    born: u64,
    /// Since when nothing has been done to the core; none while that unsettles it.
    settled: Option<Instant>,
    /// What each process has had in force, by machine and start.
    seen: BTreeMap<(String, u32), u64>,
    heals: Vec<(Instant, Heal)>,
    /// How many of the core may be lost at once.
    losses: usize,
}

impl World {
    fn new(seed: u64, prompt: bool) -> Self {
        fastrand::seed(seed);
        // The small sites' core, or the grown ones'.
        let (control_nodes, losses) = if seed % 4 == 3 { (9, 2) } else { (5, 1) };
        let simulation = Simulation::new(control_nodes, 6, losses);
        let simulated = simulation.clone();
        let callers = Callers { simulation: simulated, prompt, tries: TRIES, ..Callers::default() };
        World {
            rng: fastrand::Rng::with_seed(seed),
            simulation,
            told: callers.told.clone(),
            callers,
            losses,
            version: 0,
            born: 0,
            settled: Some(Instant::now()),
            seen: BTreeMap::new(),
            heals: Vec::new(),
        }
    }

    /// Where a side is named, its operator reaches only those of it for a while.
    fn order(&mut self, order: Order, side: Vec<Rc<Machine>>) {
        {
            let mut told = self.told.borrow_mut();
            told.history.sent(order);
            told.open.entry(order).or_insert_with(Instant::now);
        }
        spawn_local(self.callers.clone().order(order, side, self.rng.fork()));
    }

    fn put(&mut self, version: u64) {
        let salt = self.rng.u64(..3);
        self.order(Order { version, salt }, Vec::new());
    }

    /// One that names an unknown service, under a version far above all others.
    fn put_invalid(&mut self) {
        let bad =
            configuration(self.version + INVALID_FROM, 0).replace("\"service\":\"s\"", "\"service\":\"t\"");
        let control_nodes = self.simulation.control_nodes();
        let at = control_nodes[self.rng.usize(..control_nodes.len())].clone();
        let callers = self.callers.clone();
        spawn_local(async move {
            let put = async move |agent: Rc<Agent>| agent.put(bad.as_bytes()).await;
            let got = callers.call(&at, put).await;
            if !matches!(got, None | Some(PutOutcome::Invalid(_))) {
                callers.told.borrow_mut().history.fault("what is invalid is not refused".to_owned());
            }
        });
    }

    /// A server from its first beat to its end: it beats each second and leaves in order.
    fn server(&mut self) {
        self.born += 1;
        let id = format!("i-{}", self.born);
        let address = format!("10.1.{}.{}:8080", self.born / 250, self.born % 250);
        let (callers, mut rng) = (self.callers.clone(), self.rng.fork());
        let lives = rng.u64(3..20);
        spawn_local(async move {
            for seq in 1..=lives + 1 {
                let state = if seq > lives { ServerState::Draining } else { ServerState::Ready };
                let beat = Heartbeat {
                    id: id.clone().into(),
                    service: "s".into(),
                    address: address.clone().into(),
                    zone: "z0".to_owned().into(),
                    capacity: 3,
                    state,
                    sequence: seq,
                };
                let beats = async |at: Rc<Machine>| {
                    let beat = beat.clone();
                    let told = callers.call(&at, async move |agent| agent.record_heartbeat(beat).await).await;
                    log_line(&format!("{id} says {state:?} to {}: {told:?}", at.name));
                    told == Some(Ok(()))
                };
                if callers.until_clear(&[], rng.fork(), beats).await && state == ServerState::Draining {
                    callers.told.borrow_mut().left.insert(id.clone(), Instant::now());
                }
                sleep(ms(1000)).await;
            }
            let gone = async |at: Rc<Machine>| {
                let id = id.clone();
                let told =
                    callers.call(&at, async move |agent| agent.deregister(&id.as_str().into()).await).await;
                log_line(&format!("leaves {}: {told:?}", at.name));
                told == Some(Ok(()))
            };
            callers.until_clear(&[], rng.fork(), gone).await;
        });
    }

    fn gateways(&self) -> Vec<Rc<Machine>> {
        self.simulation.all_machines().into_iter().filter(|m| !m.is_control_node()).collect()
    }

    fn after(&mut self, wait: u64, heal: Heal) {
        self.heals.push((Instant::now() + ms(wait), heal));
    }

    fn down(&mut self, machine: &Rc<Machine>, for_ms: u64) {
        machine.kill(&self.simulation.network);
        machine.healthy_since.set(None);
        self.after(for_ms, Heal::Start(machine.clone()));
    }

    fn freeze(&mut self, machine: &Rc<Machine>, for_ms: u64) {
        machine.freeze(true);
        machine.healthy_since.set(None);
        self.after(for_ms, Heal::Thaw(machine.clone()));
    }

    fn stall(&mut self, machine: &Rc<Machine>, for_ms: u64) {
        machine.storage.as_ref().expect("a disk").sync_time.set(ms(for_ms));
        machine.healthy_since.set(None);
        self.after(for_ms, Heal::Sync(machine.clone()));
    }

    /// One is gone for good, and an empty one comes at another address.
    fn replace(&mut self, machine: &Rc<Machine>, for_ms: u64) {
        machine.kill(&self.simulation.network);
        machine.is_removed.set(true);
        let new = self.simulation.add_control_node();
        new.healthy_since.set(None);
        self.after(for_ms, Heal::Start(new));
    }

    fn cut(&mut self, direction: Direction, far: Vec<Rc<Machine>>, for_ms: u64) {
        far.iter().for_each(|m| m.healthy_since.set(None));
        let cut = self.simulation.network.partition(direction, far.iter().map(|m| m.ip.clone()));
        self.after(for_ms, Heal::Join(Some(cut), far));
    }

    /// Says how many there were.
    fn fall_after_an_acknowledgement(&mut self) -> usize {
        let struck = self.callers.struck.take();
        let many = struck.len();
        for machine in struck {
            let lasts = self.rng.u64(100..3000);
            self.settled = None;
            self.down(&machine, lasts);
        }
        many
    }

    /// Undoes what is due; says how many there were.
    fn heal(&mut self) -> usize {
        let now = Instant::now();
        let (due, rest) = std::mem::take(&mut self.heals).into_iter().partition(|(at, _)| *at <= now);
        self.heals = rest;
        let due: Vec<(Instant, Heal)> = due;
        let healed = due.len();
        for (_, heal) in due {
            log_line("HEALED");
            let machines = match heal {
                Heal::Start(machine) => {
                    machine.start(&self.simulation.network, false);
                    vec![machine]
                }
                Heal::Thaw(machine) => {
                    machine.freeze(false);
                    vec![machine]
                }
                Heal::Sync(machine) => {
                    machine.storage.as_ref().expect("a disk").sync_time.set(ms(5));
                    vec![machine]
                }
                Heal::Join(cut, machines) => {
                    cut.into_iter().for_each(|cut| self.simulation.network.heal_partition(cut));
                    machines
                }
            };
            // Another trouble may last on.
            let well = machines.iter().filter(|m| m.is_healthy(&self.simulation.network));
            well.for_each(|m| m.healthy_since.set(Some(now)));
        }
        healed
    }

    fn in_touch(&self, machine: &Machine) -> bool {
        let calm = |since: Option<Instant>| since.is_some_and(|at| at.elapsed() >= CONTACT);
        calm(self.settled) && calm(machine.healthy_since.get())
    }

    /// What must hold at any moment.
    fn check(&mut self) {
        let now = Instant::now();
        crate::simulation::assert_no_panics();
        for machine in self.simulation.all_machines() {
            let Some(agent) = machine.agent() else { continue };
            let config = agent.config();
            let version = config.as_ref().map_or(0, |c| c.version);
            let before = self.seen.entry((machine.name.clone(), machine.start_count.get())).or_insert(0);
            assert!(version >= *before, "{} went back from {before} to {version}", machine.name);
            *before = version;
            assert!(version < INVALID_FROM, "{}: what is invalid is in force", machine.name);
            if let Some(config) = config {
                let order = Order::of(&config).expect("a configuration as operators send them");
                self.told.borrow_mut().history.in_force(order, &machine.name);
            }
            if !self.in_touch(&machine) {
                continue;
            }
            let told = self.told.borrow();
            let due = told.held_before(now - APPLY);
            assert!(version >= due, "{} has {version}, {due} was acknowledged", machine.name);
            let drained = told.left.iter().filter(|(_, at)| now - **at > DRAIN);
            for (id, _) in drained {
                assert!(
                    !agent.is_server_available(&id.as_str().into()),
                    "{} offers work to {id}",
                    machine.name
                );
            }
        }
        let told = self.told.borrow();
        told.history.check();
        let core_is_well = !self.heals.iter().any(|(_, heal)| heal.concerns_core());
        if core_is_well && self.settled.is_some_and(|at| at.elapsed() >= ACK + CONTACT) {
            let late = told.open.iter().find(|(_, at)| at.elapsed() >= ACK);
            assert!(late.is_none(), "no word on a configuration in calm times: {late:?}");
        }
    }

    /// In the end all is well: what was acknowledged is there, and all know the same.
    async fn read_back(&mut self) {
        let newest = self.told.borrow().held.iter().map(|(version, _)| *version).max().unwrap_or(0);
        for machine in self.simulation.control_nodes() {
            let read = async |agent: Rc<Agent>| agent.read_newest().await;
            let found = machine.call(ACK, read).await.and_then(Result::ok).flatten();
            let found = found.unwrap_or_else(|| panic!("{} cannot read the register", machine.name));
            assert!(found.version >= newest, "{} of {newest} acknowledged is read", found.version);
            self.callers.read(&machine).await;
        }
        let known = |m: &Rc<Machine>| m.agent().map(|agent| agent.digest());
        let all: Vec<_> = self.simulation.all_machines().iter().map(|m| (m.name.clone(), known(m))).collect();
        assert!(all.iter().all(|(_, d)| *d == all[0].1), "they know different things: {all:?}");
        self.check();
    }
}
