//! Simulates machines with disks under random schedules of faults: process crashes and power losses at any
//! moment, wiped disks, machines replaced at other addresses, network partitions, and messages that are
//! delayed or lost. Time is simulated. Checks that every read returns at least the versions acknowledged
//! before it started, that each epoch has one membership, and that writes complete in calm periods. With
//! competing operators, several contents are submitted for the same version, old submissions are repeated,
//! and messages are duplicated; each version must still have one content.

#[allow(dead_code, reason = "no test uses all functions of the module")]
mod acknowledgements;

use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use acknowledgements::{Acknowledgements, Submission};
use ashvane_identifiers::Address;
use ashvane_quorum::membership_manager::{
    LiveReplica, MembershipPlanner, MembershipView, ReplicaProgress, ReplicaReport,
};
use ashvane_quorum::{
    AddressedRequest, ContentDigest, DiskId, HandledRequest, Member, Membership, Operation, Outcome, Replica,
    ReplicaState, Request, Response, RetrySchedule, Step, VersionedConfig,
};

/// Simulated time, in milliseconds.
type Millis = u64;

/// Interval between ticks, as in the program.
const TICK_INTERVAL_MS: Millis = 250;
const OPERATION_TIMEOUT_MS: Millis = 4000;
/// Minimum time from the end of a fault to the next one.
const CATCH_UP_MS: Millis = 4000;
/// Time after the end of a fault from which a period counts as calm.
const SETTLING_TIME_MS: Millis = 6000;
/// With competing operators, one of this many requests is duplicated.
const DUPLICATE_ONE_IN: u32 = 12;

struct Machine {
    address: Address,
    is_up: bool,
    /// Increases with each stop. Messages from and to earlier incarnations are ignored.
    incarnation: u64,
    replica: Replica,
    /// The state that survives a power loss.
    disk: Replica,
    known_membership: Membership,
    planner: MembershipPlanner,
    is_changing_membership: bool,
}

struct RunningOperation {
    machine: usize,
    incarnation: u64,
    operation: Operation,
    goal: Goal,
    deadline: Millis,
    started_in_calm: bool,
    retries: RetrySchedule,
    retry_at: Millis,
}

#[derive(Clone, Debug, PartialEq)]
enum Goal {
    Write(Submission),
    Read { minimum_version: u64 },
    ChangeMembership,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request {
        operation: u64,
        from: usize,
        to: Address,
        request: Request,
    },
    /// The disk has synced the state on which the response is based.
    Synced {
        operation: u64,
        from: usize,
        machine: usize,
        incarnation: u64,
        request: Request,
        response: Response,
    },
    Response {
        operation: u64,
        machine: usize,
        request: Request,
        response: Response,
    },
    /// An operation is retried after its delay.
    Retry(u64),
    Tick(usize),
    Restart {
        machine: usize,
        wiped: bool,
    },
    HealPartition,
    Submit,
    InjectFault,
}

struct Simulation {
    rng: fastrand::Rng,
    now: Millis,
    machines: Vec<Machine>,
    /// The machine that is partitioned from all others, if any.
    partitioned: Option<usize>,
    operations: BTreeMap<u64, RunningOperation>,
    operation_count: u64,
    events: BinaryHeap<std::cmp::Reverse<(Millis, u64, Event)>>,
    event_count: u64,
    acknowledgements: Acknowledgements,
    version: u64,
    /// All submissions, if competing operators repeat them; `None` without competing operators.
    submissions: Option<Vec<Submission>>,
    memberships: BTreeMap<u64, Membership>,
    /// Time at which the last fault ends.
    fault_ends_at: Millis,
    faults: Vec<String>,
    /// Numbers of writes that were started in calm periods, and of those that completed.
    calm_writes: (u64, u64),
    /// One of this many messages is lost.
    loss_one_in: u32,
    /// Removes a guard of the protocol: a wiped disk keeps its identifier.
    keeps_disk_id: bool,
    is_violated: bool,
}

/// Returns the replica of a machine as seen by the others, with the progress synced to disk.
fn live_replica(machine: &Machine) -> LiveReplica {
    let member = Member { disk: machine.replica.state().disk.clone(), address: machine.address.clone() };
    let epoch = machine.disk.state().membership.epoch;
    let progress =
        ReplicaProgress { epoch, version: machine.disk.accepted_config().map_or(0, |config| config.version) };
    LiveReplica { member, report: Some(ReplicaReport { progress, is_shutting_down: false }) }
}

impl Simulation {
    fn new(seed: u64, competing_operators: bool, keeps_disk_id: bool) -> Self {
        let initial_membership = Membership::new(
            1,
            (0..3)
                .map(|n| Member { disk: format!("first{n}").into(), address: format!("m{n}").into() })
                .collect(),
        );
        let machine = |n: usize| {
            let disk_id: DiskId = if n < 3 { format!("first{n}") } else { format!("d{n}") }.into();
            let replica = Replica::empty(disk_id, initial_membership.clone());
            let disk = replica.clone();
            let (known_membership, planner) = (initial_membership.clone(), MembershipPlanner::default());
            Machine {
                address: format!("m{n}").into(),
                is_up: true,
                incarnation: 1,
                replica,
                disk,
                known_membership,
                planner,
                is_changing_membership: false,
            }
        };
        let mut simulation = Simulation {
            rng: fastrand::Rng::with_seed(seed),
            now: 0,
            machines: (0..5).map(machine).collect(),
            partitioned: None,
            operations: BTreeMap::new(),
            operation_count: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            acknowledgements: Acknowledgements::default(),
            version: 0,
            submissions: competing_operators.then(Vec::new),
            memberships: BTreeMap::new(),
            fault_ends_at: 0,
            faults: Vec::new(),
            calm_writes: (0, 0),
            // With competing operators, more proposers lose messages, and a membership change must still
            // complete within CATCH_UP_MS.
            loss_one_in: [if competing_operators { 5 } else { 3 }, 10, 50][(seed % 3) as usize],
            keeps_disk_id,
            is_violated: false,
        };
        (0..5).for_each(|n| simulation.schedule(1 + n as u64, Event::Tick(n)));
        simulation.schedule(2000, Event::Submit);
        simulation.schedule(5000, Event::InjectFault);
        simulation
    }

    fn schedule(&mut self, delay_ms: Millis, event: Event) {
        self.event_count += 1;
        self.events.push(std::cmp::Reverse((self.now + delay_ms, self.event_count, event)));
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        a == b || (self.partitioned != Some(a) && self.partitioned != Some(b))
    }

    fn is_calm(&self) -> bool {
        self.now >= self.fault_ends_at + SETTLING_TIME_MS
    }

    fn apply_step(&mut self, operation: u64, step: &Step, is_resend: bool) {
        let random = self.rng.u64(..);
        if let Some(running) = self.operations.get_mut(&operation) {
            let delay = match (step.is_contended, is_resend) {
                (true, _) => running.retries.contention_delay(random),
                (false, true) => running.retries.delay_after_resend(),
                (false, false) => running.retries.delay_after_first_send(),
            };
            let delay_ms = delay.as_millis() as Millis;
            if step.is_contended || is_resend || !step.requests.is_empty() {
                running.retry_at = self.now + delay_ms;
                self.schedule(delay_ms, Event::Retry(operation));
            }
        }
        let requests = step.requests.clone();
        let Some(from) = self.operations.get(&operation).map(|q| q.machine) else { return };
        for AddressedRequest { member, request } in requests {
            if self.submissions.is_some() && self.rng.u32(0..DUPLICATE_ONE_IN) == 0 {
                // Deliver a duplicate, possibly much later.
                let (delay_ms, to) = (self.rng.u64(1..2000), member.address.clone());
                self.schedule(delay_ms, Event::Request { operation, from, to, request: request.clone() });
            }
            if self.rng.u32(0..self.loss_one_in) > 0 {
                let delay_ms = self.rng.u64(1..30);
                self.schedule(delay_ms, Event::Request { operation, from, to: member.address, request });
            }
        }
    }

    fn start_operation(&mut self, machine: usize, mut operation: Operation, goal: Goal) {
        self.operation_count += 1;
        let step = operation.start();
        let (incarnation, now) = (self.machines[machine].incarnation, self.now);
        let started_in_calm = self.is_calm();
        let deadline = now + OPERATION_TIMEOUT_MS;
        let running = RunningOperation {
            machine,
            incarnation,
            operation,
            goal,
            deadline,
            started_in_calm,
            retries: RetrySchedule::default(),
            retry_at: now,
        };
        self.operations.insert(self.operation_count, running);
        self.apply_step(self.operation_count, &step, false);
    }

    fn record_membership(&mut self, machine: usize, membership: &Membership) {
        let known = &mut self.machines[machine].known_membership;
        if membership.epoch > known.epoch {
            *known = membership.clone();
        }
        let recorded = self.memberships.entry(membership.epoch).or_insert_with(|| membership.clone());
        assert_eq!(recorded, membership, "an epoch has one membership; {:?}", self.faults);
    }

    fn tick(&mut self, n: usize) {
        self.schedule(TICK_INTERVAL_MS, Event::Tick(n));
        if !self.machines[n].is_up {
            return;
        }
        // Receive the membership from a random reachable machine.
        let other = self.rng.usize(0..self.machines.len());
        if self.machines[other].is_up && self.can_reach(n, other) {
            let membership = self.machines[other].known_membership.clone();
            self.record_membership(n, &membership);
        }
        let live: Vec<LiveReplica> = (0..self.machines.len())
            .filter(|m| self.machines[*m].is_up && self.can_reach(n, *m))
            .map(|m| live_replica(&self.machines[m]))
            .collect();
        let now = Duration::from_millis(self.now);
        let m = &mut self.machines[n];
        let view = MembershipView { membership: &m.known_membership, live: &live };
        m.planner.observe(now, view);
        let own_disk = m.replica.state().disk.clone();
        let next = m.planner.plan_change(now, &own_disk, view).filter(|_| !m.is_changing_membership);
        if let Some(next) = next {
            m.is_changing_membership = true;
            let operation = Operation::change_membership(
                format!("{own_disk}/{}/{}", m.incarnation, self.operation_count).into(),
                m.known_membership.clone(),
                next,
            );
            self.start_operation(n, operation, Goal::ChangeMembership);
        }
    }

    /// Retries an operation, or removes it after its time-out or a restart of its machine.
    fn retry(&mut self, number: u64) {
        let Some(running) = self.operations.get_mut(&number) else { return };
        let incarnation = self.machines[running.machine].incarnation;
        if running.deadline < self.now || running.incarnation != incarnation {
            if running.goal == Goal::ChangeMembership && running.incarnation == incarnation {
                self.machines[running.machine].is_changing_membership = false;
            }
            self.operations.remove(&number);
            return;
        }
        if running.retry_at <= self.now {
            let step = running.operation.retry();
            self.apply_step(number, &step, true);
        }
    }

    fn submit(&mut self) {
        let delay_ms = self.rng.u64(100..900);
        self.schedule(delay_ms, Event::Submit);
        let at = self.rng.usize(0..self.machines.len());
        if !self.machines[at].is_up {
            return;
        }
        let m = &self.machines[at];
        let id: Arc<str> =
            format!("{}/{}/{}", m.replica.state().disk, m.incarnation, self.operation_count).into();
        let membership = m.known_membership.clone();
        if self.rng.bool() {
            self.calm_writes.0 += u64::from(self.is_calm());
            let (version, content) = self.next_submission();
            let digest = ContentDigest::of(content.as_bytes());
            let config = VersionedConfig { version, digest, compressed_text: content.clone() };
            self.start_operation(
                at,
                Operation::write(id, membership, config),
                Goal::Write((version, content)),
            );
        } else {
            self.start_operation(
                at,
                Operation::read(id, membership),
                Goal::Read { minimum_version: self.acknowledgements.newest_version },
            );
        }
    }

    /// Returns the next submission of an operator: a new version, or with competing operators also another
    /// content for the last version or a repeated submission.
    fn next_submission(&mut self) -> Submission {
        let kind = if self.submissions.is_some() { self.rng.u32(0..4) } else { 0 };
        let submissions = self.submissions.as_deref().unwrap_or_default();
        if kind == 3 && !submissions.is_empty() {
            return submissions[self.rng.usize(0..submissions.len())].clone();
        }
        self.version += u64::from(kind < 2 || self.version == 0);
        let submission = (self.version, format!("v{}/{}", self.version, submissions.len()).into());
        self.submissions.iter_mut().for_each(|submissions| submissions.push(submission.clone()));
        submission
    }

    /// Stops a process. After a power loss, its disk contains only the synced state, and otherwise all of it.
    fn stop(&mut self, n: usize, loses_power: bool, wiped: bool, delay_ms: Millis) {
        let m = &mut self.machines[n];
        m.is_up = false;
        m.incarnation += 1;
        if !loses_power {
            m.disk = m.replica.clone();
        }
        self.schedule(delay_ms, Event::Restart { machine: n, wiped });
    }

    fn restart(&mut self, n: usize, wiped: bool) {
        let new_disk_id: DiskId = format!("new{}", self.rng.u64(..)).into();
        let keeps_disk_id = self.keeps_disk_id;
        let m = &mut self.machines[n];
        if wiped {
            let state = m.replica.state().clone();
            let (disk_id, membership) = if keeps_disk_id {
                (state.disk, state.membership)
            } else {
                (new_disk_id, Membership::default())
            };
            m.disk = Replica::empty(disk_id, membership);
        }
        (m.replica, m.is_up, m.is_changing_membership, m.planner) =
            (m.disk.clone(), true, false, MembershipPlanner::default());
        m.known_membership = m.replica.state().membership.clone();
        self.check_durability();
    }

    /// Checks that every quorum of the newest epoch includes a member that stores the newest acknowledged
    /// version: the voting members without it are fewer than a quorum.
    fn check_durability(&mut self) {
        let states = || self.machines.iter().map(|m| m.disk.state());
        let Some(newest) = states().map(|s| &s.membership).max_by_key(|m| m.epoch) else { return };
        let is_voter = |s: &&ReplicaState| s.membership.epoch == newest.epoch && newest.contains(&s.disk);
        let knows = |s: &ReplicaState| {
            s.accepted.value.version().unwrap_or(0) >= self.acknowledgements.newest_version
        };
        let unaware = states().filter(is_voter).filter(|s| !knows(s)).count();
        self.is_violated |= !newest.members.is_empty() && unaware >= newest.quorum_size();
    }

    fn inject_fault(&mut self) {
        let (now, machine_count) = (self.now, self.machines.len());
        let delay_ms = self.rng.u64(200..14_000);
        if now < self.fault_ends_at + CATCH_UP_MS
            || self.partitioned.is_some()
            || self.machines.iter().any(|m| !m.is_up)
        {
            return self.schedule(200, Event::InjectFault);
        }
        self.schedule(delay_ms, Event::InjectFault);
        let machine = self.rng.usize(0..machine_count);
        let downtime = self.rng.u64(100..2500);
        let kind = self.rng.usize(0..8);
        self.faults.push(format!("{now}: {kind} at {machine} for {downtime}"));
        match kind {
            0 => self.stop(machine, false, false, downtime),
            1 => self.stop(machine, true, false, downtime),
            2 => self.stop(machine, true, true, downtime),
            3 => (0..machine_count).for_each(|n| self.stop(n, false, false, downtime / 3)),
            4 => (0..machine_count).for_each(|n| self.stop(n, true, false, downtime / 3)),
            // All machines lose power, and one loses its disk.
            5 => (0..machine_count).for_each(|n| self.stop(n, true, n == machine, downtime / 3)),
            6 => {
                self.partitioned = Some(machine);
                self.schedule(downtime * 2, Event::HealPartition);
                self.fault_ends_at = now + downtime * 2;
                return;
            }
            // The machine is lost, and replaced by one with an empty disk at another address.
            _ => {
                self.machines[machine].address = format!("m{}", now).into();
                self.stop(machine, true, true, downtime);
            }
        }
        self.fault_ends_at = now + downtime;
    }

    fn handle_outcome(&mut self, running: RunningOperation, outcome: Outcome) {
        self.check_durability();
        match (running.goal, outcome) {
            (Goal::Write(submission), Outcome::Written(status, chosen)) => {
                self.acknowledgements.record_write(submission, status, &chosen);
                self.calm_writes.1 += u64::from(running.started_in_calm);
            }
            (Goal::Read { minimum_version }, Outcome::Read(chosen)) => {
                self.acknowledgements.record_read(minimum_version, &chosen)
            }
            (Goal::ChangeMembership, Outcome::MembershipChanged(membership)) => {
                self.record_membership(running.machine, &membership);
                self.machines[running.machine].is_changing_membership = false;
            }
            _ => {}
        }
        self.is_violated |= !self.acknowledgements.is_consistent();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Retry(operation) => self.retry(operation),
            Event::Tick(n) => self.tick(n),
            Event::Submit => self.submit(),
            Event::InjectFault => self.inject_fault(),
            Event::HealPartition => self.partitioned = None,
            Event::Restart { machine, wiped } => self.restart(machine, wiped),
            Event::Request { operation, from, to, request } => {
                let at = self.machines.iter().position(|m| m.address == to && m.is_up);
                let Some(at) = at.filter(|at| self.can_reach(from, *at)) else { return };
                let HandledRequest { response, state_changed } = self.machines[at].replica.handle(&request);
                let incarnation = self.machines[at].incarnation;
                let delay_ms = if !state_changed { 1 } else { self.rng.u64(5..40) };
                self.schedule(
                    delay_ms,
                    Event::Synced { operation, from, machine: at, incarnation, request, response },
                );
            }
            Event::Synced { operation, from, machine, incarnation, request, response } => {
                if self.machines[machine].incarnation != incarnation {
                    return;
                }
                // The sync covers all changes made until now.
                let m = &mut self.machines[machine];
                m.disk = m.replica.clone();
                if self.can_reach(from, machine) && self.rng.u32(0..self.loss_one_in) > 0 {
                    let delay_ms = self.rng.u64(1..30);
                    self.schedule(delay_ms, Event::Response { operation, machine: from, request, response });
                }
            }
            Event::Response { operation, machine, request, response } => {
                let Some(running) = self.operations.get_mut(&operation) else { return };
                if running.incarnation != self.machines[machine].incarnation {
                    return;
                }
                let step = running.operation.handle(&request, response);
                let membership = running.operation.membership().clone();
                self.record_membership(machine, &membership);
                self.apply_step(operation, &step, false);
                if let Some(outcome) = step.outcome
                    && let Some(running) = self.operations.remove(&operation)
                {
                    self.handle_outcome(running, outcome);
                }
            }
        }
    }

    fn run(&mut self, end: Millis) {
        while let Some(std::cmp::Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at > end {
                return;
            }
            self.handle_event(event);
        }
    }
}

fn run_seeds(seeds: std::ops::Range<u64>, competing_operators: bool) {
    let (mut writes, mut completed, mut epochs) = (0, 0, 0);
    for seed in seeds.clone() {
        let mut simulation = Simulation::new(seed, competing_operators, false);
        simulation.run(60_000);
        writes += simulation.calm_writes.0;
        completed += simulation.calm_writes.1;
        epochs += simulation.memberships.len();
        assert!(
            !simulation.is_violated,
            "seed {seed}: an acknowledged result was lost or contradicted; {:?}; {:?}",
            simulation.acknowledgements, simulation.faults
        );
        assert!(
            simulation.acknowledgements.newest_version > 0,
            "seed {seed}: no version was acknowledged; {:?}",
            simulation.faults
        );
    }
    // A write started in a calm period may still overlap with the next fault, and some seeds lose every third
    // message.
    assert!(
        writes > 100 && completed * 100 >= writes * 85,
        "{completed} of {writes} writes in calm periods were acknowledged"
    );
    assert!(epochs > 5 * seeds.clone().count(), "only {epochs} epochs");
}

#[test]
fn acknowledged_versions_survive_random_faults() {
    run_seeds(0..60, false);
}

#[test]
fn each_version_has_one_content_with_competing_operators() {
    run_seeds(0..40, true);
}

/// Guards against schedules that do not exercise the protocol: they must detect the removal of a guard.
#[test]
fn a_wiped_disk_that_keeps_its_identifier_is_detected() {
    let is_detected = (0..3000).any(|seed| {
        let mut simulation = Simulation::new(seed, false, true);
        simulation.run(60_000);
        simulation.is_violated
    });
    assert!(is_detected);
}

/// Run manually: `cargo test --release -p ashvane-quorum --test schedule -- --ignored`.
#[test]
#[ignore = "ten thousand seeds take minutes"]
fn ten_thousand_seeds() {
    run_seeds(1000..11_000, false);
}

/// Run manually, as above.
#[test]
#[ignore = "ten thousand seeds take minutes"]
fn ten_thousand_seeds_with_competing_operators() {
    run_seeds(1000..11_000, true);
}
