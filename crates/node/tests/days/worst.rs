//! The worst days: cuts of twenty seconds, one way and both, with gateways and seeds on the far side; operators that
//! race under one number from both sides and send old orders again; the next loss as soon as the last one has caught
//! up; hundreds of changes; gateways that start anew in the midst of it.

use super::*;

/// How long a long cut or freeze lasts, in milliseconds.
const LONG: u64 = 20_000;
/// The day until its last trouble ends; the calm follows.
const DAY: Duration = ms(75_000);
/// Orders that may be under way at once.
const UNDER_WAY: usize = 8;
/// Of so many answers to operators one is lost on its way.
const ANSWER_LOST: u32 = 8;
/// What a message may take longer than others, in some of these days.
const JITTER: Duration = ms(12);

pub(crate) struct WorstDay {
    world: World,
    salts: u64,
    /// All orders that were sent.
    orders: Vec<Order>,
    /// Those on the far side of a cut, until it is mended.
    far: Vec<Rc<Machine>>,
    storm_until: Instant,
}

impl WorstDay {
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed, true);
        (world.callers.answer_lost, world.callers.tries) = (ANSWER_LOST, TRIES_OF_WORST);
        if world.rng.bool() {
            world.simulation.network.jitter.set(JITTER);
        }
        WorstDay { world, salts: 0, orders: Vec::new(), far: Vec::new(), storm_until: Instant::now() }
    }

    /// An order that nobody has sent before.
    fn new_order(&mut self, version: u64, side: Vec<Rc<Machine>>) {
        self.salts += 1;
        let order = Order { version, salt: self.salts };
        self.orders.push(order);
        self.world.order(order, side);
    }

    fn one_of<T: Clone>(&mut self, all: &[T]) -> T {
        all[self.world.rng.usize(..all.len())].clone()
    }

    /// Two operators, each at its side if the core is cut.
    fn race(&mut self, first: u64, second: u64) {
        let is_far = |m: &Rc<Machine>| self.far.iter().any(|far| far.name == m.name);
        let (far, near) = self.world.simulation.control_nodes().into_iter().partition(is_far);
        self.new_order(first, far);
        self.new_order(second, near);
    }

    fn operate(&mut self) {
        let control_nodes = self.world.simulation.control_nodes();
        let at = self.one_of(&control_nodes);
        let callers = self.world.callers.clone();
        let busy = callers.under_way.get() + 2 > UNDER_WAY;
        let what = self.world.rng.usize(..14);
        match what {
            0..7 if busy => {}
            0..3 => {
                self.world.version += self.world.rng.u64(1..4);
                self.new_order(self.world.version, Vec::new());
            }
            3..6 => {
                self.world.version += self.world.rng.u64(1..4);
                self.race(self.world.version, self.world.version);
            }
            6 => {
                self.world.version += 2;
                self.race(self.world.version, self.world.version - 1);
            }
            // Sent again as it was: to any machine, after any time.
            7..10 if !self.orders.is_empty() => {
                let late =
                    self.world.rng.usize(..self.orders.len()).max(self.world.rng.usize(..self.orders.len()));
                let order = self.orders[late];
                drop(spawn_local(async move { callers.put(&at, order).await }));
            }
            7..12 => drop(spawn_local(async move { callers.read(&at).await })),
            12 => self.world.put_invalid(),
            _ => self.world.server(),
        }
    }

    /// How many of the core count as lost: in trouble, or not yet caught up.
    fn lost(&self) -> usize {
        let caught_up = |m: &Rc<Machine>| m.healthy_since.get().is_some_and(|at| at.elapsed() >= CATCH_UP);
        let lost = self.world.simulation.control_nodes().iter().filter(|m| !caught_up(m)).count();
        lost + usize::from(self.world.callers.strike.get().is_some())
    }

    /// Its settings file was written anew: with two that are down or cut off, where there are so many, and one that is
    /// well. With none that it can reach it could know nobody.
    fn reseed(&mut self, machine: &Machine) {
        let mut control_nodes = self.world.simulation.control_nodes();
        self.world.rng.shuffle(&mut control_nodes);
        let (well, ill): (Vec<_>, Vec<_>) =
            control_nodes.into_iter().partition(|m| m.healthy_since.get().is_some());
        let seeds = ill.iter().take(2).chain(&well).take(3).map(|m| format!("{}:8047", m.ip));
        *machine.seeds.borrow_mut() = seeds.collect();
    }

    /// One of the core is lost in one way or another.
    fn lose(&mut self, control_node: Rc<Machine>) {
        let lasts = self.world.rng.u64(200..4000);
        let gateways = self.world.gateways();
        let half: Vec<Rc<Machine>> = gateways.iter().step_by(2).cloned().collect();
        let what = self.world.rng.usize(..11);
        log_line(&format!("LOSS {what} at {}", control_node.name));
        match what {
            0 => self.cut(Direction::Both, vec![control_node]),
            1 => self.cut(Direction::Inbound, vec![control_node]),
            2 => self.cut(Direction::Outbound, vec![control_node]),
            3 => self.cut(Direction::Both, [vec![control_node], half].concat()),
            // Some of those beside it start anew, and know of nobody else to begin with.
            4 => {
                for gateway in &half {
                    gateway.kill(&self.world.simulation.network);
                    *gateway.seeds.borrow_mut() = vec![format!("{}:8047", control_node.ip)];
                    self.world.down(gateway, lasts);
                }
                self.cut(Direction::Both, [vec![control_node], half].concat());
            }
            5 => self.world.freeze(&control_node, LONG),
            6 => self.world.stall(&control_node, lasts),
            7 => {
                control_node.wipe();
                self.world.down(&control_node, lasts);
            }
            8 => self.world.replace(&control_node, lasts),
            9 => self.world.callers.strike.set(Some(self.world.rng.bool())),
            _ => {
                self.reseed(&control_node);
                self.world.down(&control_node, lasts);
            }
        }
    }

    fn cut(&mut self, direction: Direction, far: Vec<Rc<Machine>>) {
        self.far.clone_from(&far);
        self.world.cut(direction, far, LONG);
    }

    /// What befalls more than may be lost, and takes nothing from the disks that are to remain.
    fn befall_all(&mut self) {
        let (all, mut control_nodes) =
            (self.world.simulation.all_machines(), self.world.simulation.control_nodes());
        self.world.rng.shuffle(&mut control_nodes);
        let back = self.world.rng.u64(100..900);
        let what = self.world.rng.usize(..4);
        log_line(&format!("ALL {what}"));
        match what {
            // The smaller part of the core, the seeds among them perhaps, and half of the gateways.
            0 => {
                let few = (control_nodes.len() - 1) / 2;
                let half = self.world.gateways().into_iter().step_by(2);
                let far = control_nodes.into_iter().take(few).chain(half).collect();
                self.cut(Direction::Both, far);
            }
            1 => all.iter().for_each(|m| self.world.down(m, back)),
            2 => control_nodes.iter().for_each(|m| self.world.down(m, back)),
            _ => {
                control_nodes.iter().take(self.world.losses).for_each(|m| m.wipe());
                all.iter().for_each(|m| self.world.down(m, back));
            }
        }
    }

    fn trouble(&mut self) -> bool {
        let lost = self.lost();
        if lost >= self.world.losses {
            return false;
        }
        if lost == 0 && self.world.rng.u32(..5) == 0 {
            self.befall_all();
            return true;
        }
        let well = |m: &Rc<Machine>| m.healthy_since.get().is_some_and(|at| at.elapsed() >= CATCH_UP);
        let control_nodes: Vec<_> = self.world.simulation.control_nodes().into_iter().filter(well).collect();
        let control_node = self.one_of(&control_nodes);
        self.lose(control_node);
        true
    }

    /// Gateways start anew, one or many, whatever goes on beside.
    fn trouble_of_gateways(&mut self) {
        let gateways: Vec<_> =
            self.world.gateways().into_iter().filter(|m| m.healthy_since.get().is_some()).collect();
        let many = if self.world.rng.u32(..4) == 0 { gateways.len() } else { 1.min(gateways.len()) };
        let first = self.world.rng.usize(..gateways.len().max(1));
        for gateway in gateways.iter().cycle().skip(first).take(many) {
            let lasts = self.world.rng.u64(200..3000);
            self.reseed(gateway);
            match self.world.rng.u32(..3) {
                0 => self.world.freeze(gateway, lasts),
                _ => self.world.down(gateway, lasts),
            }
        }
    }

    /// The core counts as settled from its last event on, while most of it runs, is connected and not slowed.
    fn settle(&mut self, event: bool) {
        let control_nodes = self.world.simulation.control_nodes();
        let well = control_nodes.iter().filter(|m| m.healthy_since.get().is_some()).count();
        let stalls = control_nodes.iter().any(|m| m.is_stalled());
        let settled = well * 2 > control_nodes.len() && !stalls;
        self.world.settled = match self.world.settled {
            _ if !settled => None,
            Some(since) if !event => Some(since),
            _ => Some(Instant::now()),
        };
        if self.far.iter().all(|m| m.healthy_since.get().is_some()) {
            self.far.clear();
        }
    }

    /// Whatever was acknowledged is acknowledged again, whatever was refused is not.
    async fn send_all_again(&mut self) {
        let control_nodes = self.world.simulation.control_nodes();
        let again: Vec<Order> = {
            let told = self.world.told.borrow();
            told.history.acknowledged().chain(told.history.refused()).collect()
        };
        for order in again {
            let at = self.one_of(&control_nodes);
            let answer = self.world.callers.put(&at, order).await;
            let clear = answer != Answer::Unclear;
            assert!(clear, "{} has no clear answer to {order:?} when all is calm", at.name);
        }
    }
}

pub(crate) async fn simulate_day(seed: u64) {
    let mut day = WorstDay::new(seed);
    sleep(ms(2000)).await;
    day.world.version = 1;
    day.new_order(1, Vec::new());
    let start = Instant::now();
    let (mut trouble, mut operate, mut gateways) = (start + ms(3000), start + ms(1500), start + ms(5000));
    let mut storm = start + ms(day.world.rng.u64(4000..30_000));
    let last = start + DAY - ms(LONG);
    while Instant::now() < start + DAY + CALM {
        sleep(STEP).await;
        let now = Instant::now();
        let struck = day.world.fall_after_an_acknowledgement();
        let healed = day.world.heal();
        let mut event = struck + healed > 0;
        if now >= trouble && now < last && day.trouble() {
            event = true;
            // Half of the time the next one comes as soon as it may.
            let wait = if day.world.rng.bool() { 0 } else { day.world.rng.u64(0..6000) };
            trouble = now + ms(wait);
        }
        if now >= gateways && now < last {
            gateways = now + ms(day.world.rng.u64(500..6000));
            day.trouble_of_gateways();
        }
        day.settle(event);
        day.world.check();
        if now >= storm && now < last {
            storm = now + ms(day.world.rng.u64(15_000..40_000));
            day.storm_until = now + ms(day.world.rng.u64(2000..15_000));
        }
        if now < day.storm_until && day.world.callers.under_way.get() < UNDER_WAY {
            day.world.version += 1;
            day.new_order(day.world.version, Vec::new());
        }
        if now >= operate && now < start + DAY {
            operate = now + ms(day.world.rng.u64(50..900));
            day.operate();
        }
    }
    day.send_all_again().await;
    day.world.read_back().await;
}
