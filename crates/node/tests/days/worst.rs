//! The worst days: partitions of 20 seconds in one or both directions, with gateways and seed nodes on the
//! separated side; operators that compete for the same version from both sides and repeat old submissions;
//! the next failure as soon as the last one has been caught up; hundreds of configurations; gateways that
//! restart meanwhile.

use super::*;

/// Duration of a partition or long freeze.
const LONG_FAULT_MS: u64 = 20_000;
/// Duration of the part of a day with faults. [`RECOVERY_TIME`] follows.
const DAY_LENGTH: Duration = ms(75_000);
/// Maximum number of submissions in flight.
const MAX_IN_FLIGHT: usize = 8;
/// On average one of this many responses to operators is lost.
const RESPONSE_LOSS_INTERVAL: u32 = 8;
/// Upper bound of the random delay of messages, on half of these days.
const MAX_JITTER: Duration = ms(12);

/// State of one of the worst days.
pub(crate) struct WorstDay {
    world: World,
    last_salt: u64,
    /// All submissions so far.
    submissions: Vec<Submission>,
    /// Machines that the current partition separates.
    partitioned: Vec<Rc<Machine>>,
    /// End of the current storm of submissions.
    storm_until: Instant,
}

impl WorstDay {
    fn new(seed: u64) -> Self {
        let mut world = World::new(seed, true);
        (world.callers.response_loss_interval, world.callers.max_tries) =
            (RESPONSE_LOSS_INTERVAL, MAX_TRIES_ON_WORST_DAYS);
        if world.rng.bool() {
            world.simulation.network.jitter.set(MAX_JITTER);
        }
        WorstDay {
            world,
            last_salt: 0,
            submissions: Vec::new(),
            partitioned: Vec::new(),
            storm_until: Instant::now(),
        }
    }

    /// Submits a text that has not been submitted before.
    fn submit_new(&mut self, version: u64, reachable: Vec<Rc<Machine>>) {
        self.last_salt += 1;
        let submission = Submission { version, salt: self.last_salt };
        self.submissions.push(submission);
        self.world.submit(submission, reachable);
    }

    /// Returns a random element.
    fn choose<T: Clone>(&mut self, all: &[T]) -> T {
        all[self.world.rng.usize(..all.len())].clone()
    }

    /// Submits from two operators at once, one on each side if the control nodes are partitioned.
    fn race(&mut self, first: u64, second: u64) {
        let is_partitioned =
            |m: &Rc<Machine>| self.partitioned.iter().any(|partitioned| partitioned.name == m.name);
        let (partitioned, others) =
            self.world.simulation.control_nodes().into_iter().partition(is_partitioned);
        self.submit_new(first, partitioned);
        self.submit_new(second, others);
    }

    /// Takes a random action of an operator, or starts a server.
    fn act_as_operator(&mut self) {
        let control_nodes = self.world.simulation.control_nodes();
        let control_node = self.choose(&control_nodes);
        let callers = self.world.callers.clone();
        let busy = callers.in_flight.get() + 2 > MAX_IN_FLIGHT;
        let kind = self.world.rng.usize(..14);
        match kind {
            0..7 if busy => {}
            0..3 => {
                self.world.version += self.world.rng.u64(1..4);
                self.submit_new(self.world.version, Vec::new());
            }
            3..6 => {
                self.world.version += self.world.rng.u64(1..4);
                self.race(self.world.version, self.world.version);
            }
            6 => {
                self.world.version += 2;
                self.race(self.world.version, self.world.version - 1);
            }
            // Repeats a submission, at any control node and after any time.
            7..10 if !self.submissions.is_empty() => {
                let index = self
                    .world
                    .rng
                    .usize(..self.submissions.len())
                    .max(self.world.rng.usize(..self.submissions.len()));
                let submission = self.submissions[index];
                drop(spawn_local(async move { callers.put(&control_node, submission).await }));
            }
            7..12 => drop(spawn_local(async move { callers.read(&control_node).await })),
            12 => self.world.submit_invalid(),
            _ => self.world.run_server(),
        }
    }

    /// Returns the number of control nodes that have a fault or have not caught up, or are about to crash.
    fn unavailable_count(&self) -> usize {
        let caught_up =
            |m: &Rc<Machine>| m.healthy_since.get().is_some_and(|at| at.elapsed() >= MAX_CATCH_UP_TIME);
        let unavailable = self.world.simulation.control_nodes().iter().filter(|m| !caught_up(m)).count();
        unavailable + usize::from(self.world.callers.crash_on_acknowledgement.get().is_some())
    }

    /// Sets the seed nodes of a machine to at most two control nodes with a fault, and healthy ones up to
    /// three in all. Without a healthy seed node the machine could not find any other.
    fn rewrite_seed_nodes(&mut self, machine: &Machine) {
        let mut control_nodes = self.world.simulation.control_nodes();
        self.world.rng.shuffle(&mut control_nodes);
        let (healthy, unhealthy): (Vec<_>, Vec<_>) =
            control_nodes.into_iter().partition(|m| m.healthy_since.get().is_some());
        let seed_nodes = unhealthy.iter().take(2).chain(&healthy).take(3).map(|m| format!("{}:8047", m.ip));
        *machine.seed_nodes.borrow_mut() = seed_nodes.collect();
    }

    /// Injects a random fault of a control node.
    fn fail_control_node(&mut self, control_node: Rc<Machine>) {
        let duration_ms = self.world.rng.u64(200..4000);
        let gateways = self.world.gateways();
        let half: Vec<Rc<Machine>> = gateways.iter().step_by(2).cloned().collect();
        let kind = self.world.rng.usize(..11);
        log_line(&format!("FAULT {kind} at {}", control_node.name));
        match kind {
            0 => self.partition(Direction::Both, vec![control_node]),
            1 => self.partition(Direction::Inbound, vec![control_node]),
            2 => self.partition(Direction::Outbound, vec![control_node]),
            3 => self.partition(Direction::Both, [vec![control_node], half].concat()),
            // Half of the gateways are separated with it, and restart with it as their only seed node.
            4 => {
                for gateway in &half {
                    gateway.kill(&self.world.simulation.network);
                    *gateway.seed_nodes.borrow_mut() = vec![format!("{}:8047", control_node.ip)];
                    self.world.stop_for(gateway, duration_ms);
                }
                self.partition(Direction::Both, [vec![control_node], half].concat());
            }
            5 => self.world.freeze_for(&control_node, LONG_FAULT_MS),
            6 => self.world.stall_disk_for(&control_node, duration_ms),
            7 => {
                control_node.wipe();
                self.world.stop_for(&control_node, duration_ms);
            }
            8 => self.world.replace(&control_node, duration_ms),
            9 => self.world.callers.crash_on_acknowledgement.set(Some(self.world.rng.bool())),
            _ => {
                self.rewrite_seed_nodes(&control_node);
                self.world.stop_for(&control_node, duration_ms);
            }
        }
    }

    /// Separates machines from all others.
    fn partition(&mut self, direction: Direction, partitioned: Vec<Rc<Machine>>) {
        self.partitioned.clone_from(&partitioned);
        self.world.partition_for(direction, partitioned, LONG_FAULT_MS);
    }

    /// Injects a fault of more machines than may fail at once, which does not destroy more disks than may be
    /// lost.
    fn fail_many(&mut self) {
        let (all, mut control_nodes) =
            (self.world.simulation.all_machines(), self.world.simulation.control_nodes());
        self.world.rng.shuffle(&mut control_nodes);
        let downtime_ms = self.world.rng.u64(100..900);
        let kind = self.world.rng.usize(..4);
        log_line(&format!("FAULT {kind} of many machines"));
        match kind {
            // Separates a minority of the control nodes, perhaps with seed nodes, and half of the gateways.
            0 => {
                let minority = (control_nodes.len() - 1) / 2;
                let half = self.world.gateways().into_iter().step_by(2);
                let partitioned = control_nodes.into_iter().take(minority).chain(half).collect();
                self.partition(Direction::Both, partitioned);
            }
            1 => all.iter().for_each(|m| self.world.stop_for(m, downtime_ms)),
            2 => control_nodes.iter().for_each(|m| self.world.stop_for(m, downtime_ms)),
            _ => {
                control_nodes.iter().take(self.world.max_failures).for_each(|m| m.wipe());
                all.iter().for_each(|m| self.world.stop_for(m, downtime_ms));
            }
        }
    }

    /// Injects a fault, if one more is tolerable. Returns whether it did.
    fn inject_fault(&mut self) -> bool {
        let unavailable = self.unavailable_count();
        if unavailable >= self.world.max_failures {
            return false;
        }
        if unavailable == 0 && self.world.rng.u32(..5) == 0 {
            self.fail_many();
            return true;
        }
        let healthy =
            |m: &Rc<Machine>| m.healthy_since.get().is_some_and(|at| at.elapsed() >= MAX_CATCH_UP_TIME);
        let control_nodes: Vec<_> =
            self.world.simulation.control_nodes().into_iter().filter(healthy).collect();
        let control_node = self.choose(&control_nodes);
        self.fail_control_node(control_node);
        true
    }

    /// Restarts or freezes one gateway, or all healthy ones, whatever other faults there are.
    fn restart_gateways(&mut self) {
        let gateways: Vec<_> =
            self.world.gateways().into_iter().filter(|m| m.healthy_since.get().is_some()).collect();
        let count = if self.world.rng.u32(..4) == 0 { gateways.len() } else { 1.min(gateways.len()) };
        let first = self.world.rng.usize(..gateways.len().max(1));
        for gateway in gateways.iter().cycle().skip(first).take(count) {
            let duration_ms = self.world.rng.u64(200..3000);
            self.rewrite_seed_nodes(gateway);
            match self.world.rng.u32(..3) {
                0 => self.world.freeze_for(gateway, duration_ms),
                _ => self.world.stop_for(gateway, duration_ms),
            }
        }
    }

    /// Updates since when the control nodes count as settled: from the last event on, as long as a majority
    /// is healthy and no disk is stalled.
    fn update_settled(&mut self, event: bool) {
        let control_nodes = self.world.simulation.control_nodes();
        let healthy = control_nodes.iter().filter(|m| m.healthy_since.get().is_some()).count();
        let has_stalled_disk = control_nodes.iter().any(|m| m.is_stalled());
        let is_settled = healthy * 2 > control_nodes.len() && !has_stalled_disk;
        self.world.settled_since = match self.world.settled_since {
            _ if !is_settled => None,
            Some(since) if !event => Some(since),
            _ => Some(Instant::now()),
        };
        if self.partitioned.iter().all(|m| m.healthy_since.get().is_some()) {
            self.partitioned.clear();
        }
    }

    /// Repeats all acknowledged and rejected submissions. The history checks that the outcomes are the same.
    async fn resubmit_all(&mut self) {
        let control_nodes = self.world.simulation.control_nodes();
        let submissions: Vec<Submission> = {
            let observations = self.world.observations.borrow();
            observations.history.acknowledged().chain(observations.history.rejected()).collect()
        };
        for submission in submissions {
            let control_node = self.choose(&control_nodes);
            let outcome = self.world.callers.put(&control_node, submission).await;
            let is_known = outcome != Outcome::Unknown;
            assert!(
                is_known,
                "{} gives no known outcome for {submission:?} though there are no faults",
                control_node.name
            );
        }
    }
}

/// Simulates a day. Panics if an invariant does not hold.
pub(crate) async fn simulate_day(seed: u64) {
    let mut day = WorstDay::new(seed);
    sleep(ms(2000)).await;
    day.world.version = 1;
    day.submit_new(1, Vec::new());
    let start = Instant::now();
    let (mut next_fault, mut next_operator_action, mut next_gateway_restart) =
        (start + ms(3000), start + ms(1500), start + ms(5000));
    let mut next_storm = start + ms(day.world.rng.u64(4000..30_000));
    let last_fault = start + DAY_LENGTH - ms(LONG_FAULT_MS);
    while Instant::now() < start + DAY_LENGTH + RECOVERY_TIME {
        sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let crashed = day.world.recover_crashed_machines();
        let healed = day.world.run_due_recoveries();
        let mut event = crashed + healed > 0;
        if now >= next_fault && now < last_fault && day.inject_fault() {
            event = true;
            // Half of the time the next fault comes as soon as it may.
            let wait_ms = if day.world.rng.bool() { 0 } else { day.world.rng.u64(0..6000) };
            next_fault = now + ms(wait_ms);
        }
        if now >= next_gateway_restart && now < last_fault {
            next_gateway_restart = now + ms(day.world.rng.u64(500..6000));
            day.restart_gateways();
        }
        day.update_settled(event);
        day.world.check_invariants();
        if now >= next_storm && now < last_fault {
            next_storm = now + ms(day.world.rng.u64(15_000..40_000));
            day.storm_until = now + ms(day.world.rng.u64(2000..15_000));
        }
        if now < day.storm_until && day.world.callers.in_flight.get() < MAX_IN_FLIGHT {
            day.world.version += 1;
            day.submit_new(day.world.version, Vec::new());
        }
        if now >= next_operator_action && now < start + DAY_LENGTH {
            next_operator_action = now + ms(day.world.rng.u64(50..900));
            day.act_as_operator();
        }
    }
    day.resubmit_all().await;
    day.world.check_final_state().await;
}
