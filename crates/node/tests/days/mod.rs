//! A simulated day: the callers of the system, the faults of its machines, and the invariants that are
//! checked all the time.

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
use history::{History, Outcome, Submission};

/// Time after a fault within which a process is in contact again. This and the following limits are the
/// requirements for small sites.
const MAX_CONTACT_TIME: Duration = ms(5000);
/// Time within which an acknowledged configuration is in force in every process that is in contact.
const MAX_APPLY_TIME: Duration = ms(3000);
/// Time after an acknowledged drain within which no process in contact offers the server.
const MAX_DRAIN_TIME: Duration = ms(3000);
/// Time within which a submission is acknowledged or rejected, as long as there are no faults.
const MAX_ACKNOWLEDGEMENT_TIME: Duration = ms(6000);
/// Time after a fault within which a control node has caught up, so that the next one may fail.
const MAX_CATCH_UP_TIME: Duration = ms(4000);
/// Time that a caller waits for the result of a call.
const CALL_TIMEOUT: Duration = ms(1000);
/// Time between two checks of the invariants.
const CHECK_INTERVAL: Duration = ms(100);
/// Time without new faults at the end of a day.
const RECOVERY_TIME: Duration = ms(25_000);
/// Number of tries after which a caller gives up.
const MAX_TRIES: u64 = 40;
/// Number of tries on the worst days. It is high because a majority may be unreachable for long, and
/// operators keep trying until the submission has a known outcome.
const MAX_TRIES_ON_WORST_DAYS: u64 = 400;
/// Lowest version of invalid configurations, higher than that of any valid one.
const MIN_INVALID_VERSION: u64 = 1_000_000;

/// What callers have observed, and when.
#[derive(Default)]
struct Observations {
    history: History,
    /// Acknowledged versions, and when each was acknowledged.
    acknowledged: Vec<(u64, Instant)>,
    /// Submissions without a known outcome, and when each was first sent.
    pending: BTreeMap<Submission, Instant>,
    /// Servers whose drain was acknowledged, and when.
    drained: BTreeMap<String, Instant>,
}

impl Observations {
    /// Returns the newest version that was acknowledged before this time, or 0.
    fn newest_acknowledged_before(&self, at: Instant) -> u64 {
        self.acknowledged
            .iter()
            .filter(|(_, when)| *when < at)
            .map(|(version, _)| *version)
            .max()
            .unwrap_or(0)
    }
}

/// How a fault ends.
enum Recovery {
    Start(Rc<Machine>),
    Unfreeze(Rc<Machine>),
    /// Heals a partition, if one is given. Broken connections recover by themselves.
    Reconnect(Option<u64>, Vec<Rc<Machine>>),
    RestoreDisk(Rc<Machine>),
}

impl Recovery {
    /// Whether the fault concerns a control node.
    fn affects_control_node(&self) -> bool {
        match self {
            Recovery::Start(machine) | Recovery::Unfreeze(machine) | Recovery::RestoreDisk(machine) => {
                machine.is_control_node()
            }
            Recovery::Reconnect(_, machines) => machines.iter().any(|machine| machine.is_control_node()),
        }
    }
}

/// Operators and servers that call the system. Shared by their tasks, which run concurrently with the day.
#[derive(Clone, Default)]
struct Callers {
    simulation: Rc<Simulation>,
    observations: Rc<RefCell<Observations>>,
    /// Whether it is a violation if an undisturbed process does not respond within [`CALL_TIMEOUT`].
    must_respond_in_time: bool,
    /// On average one of this many responses to operators is lost; none if this is 0.
    response_loss_interval: u32,
    max_tries: u64,
    /// Number of submissions that operators are still sending.
    in_flight: Rc<Cell<usize>>,
    /// If set, the next control node that acknowledges a submission crashes at once; `true` means that its
    /// disk is wiped too.
    crash_on_acknowledgement: Rc<Cell<Option<bool>>>,
    /// Machines that have crashed this way and have no recovery scheduled yet.
    crashed: Rc<RefCell<Vec<Rc<Machine>>>>,
}

impl Callers {
    /// Calls a machine like operators and servers do, with [`CALL_TIMEOUT`].
    async fn call<T: 'static, F: Future<Output = T> + 'static>(
        &self, machine: &Machine, job: impl FnOnce(Rc<Agent>) -> F + 'static,
    ) -> Option<T> {
        let before = machine.running_disturbance_count();
        let outcome = machine.call(CALL_TIMEOUT, job).await;
        if self.must_respond_in_time
            && outcome.is_none()
            && before.is_some()
            && before == machine.running_disturbance_count()
        {
            self.observations.borrow_mut().history.report_violation(format!(
                "{} did not respond to a call within {CALL_TIMEOUT:?}",
                machine.name
            ));
        }
        outcome
    }

    /// Submits a configuration to one control node, once.
    async fn put(&self, control_node: &Rc<Machine>, submission: Submission) -> Outcome {
        let text = configuration(submission.version, submission.salt);
        let put =
            self.call(control_node, async move |agent: Rc<Agent>| agent.put(text.as_bytes()).await).await;
        let outcome = match put {
            Some(PutOutcome::Accepted { version: held }) if held >= submission.version => {
                Outcome::Acknowledged { held }
            }
            Some(PutOutcome::Conflict { .. }) => Outcome::Rejected,
            Some(PutOutcome::Accepted { version: held }) => {
                let violation = format!(
                    "{} acknowledges {submission:?} but holds only version {held}",
                    control_node.name
                );
                self.observations.borrow_mut().history.report_violation(violation);
                Outcome::Unknown
            }
            Some(PutOutcome::Invalid(faults)) => {
                let violation =
                    format!("{} rejects {submission:?} as invalid: {faults:?}", control_node.name);
                self.observations.borrow_mut().history.report_violation(violation);
                Outcome::Rejected
            }
            Some(PutOutcome::Unknown(_)) | None => Outcome::Unknown,
        };
        log_line(&format!("{submission:?} at {}: {outcome:?}", control_node.name));
        self.observations.borrow_mut().history.record_outcome(submission, outcome, &control_node.name);
        outcome
    }

    /// Reads the newest configuration and checks it.
    async fn read(&self, control_node: &Rc<Machine>) {
        let min_version = self.observations.borrow().history.min_version();
        let read = async |agent: Rc<Agent>| agent.read_newest().await;
        let Some(Ok(found)) = self.call(control_node, read).await else { return };
        let text = found.and_then(|found| compression::decompress(&found.compressed_text).ok());
        let submission = text.and_then(|text| Submission::of(&Config::parse(&text).ok()?));
        self.observations.borrow_mut().history.record_read(min_version, submission, &control_node.name);
    }

    /// Calls random control nodes, like operators and servers do, until one gives a known result.
    /// `job` returns whether it is. If `reachable` is not empty, the first half of [`MAX_TRIES`] goes to
    /// these control nodes only.
    async fn retry_until_known<F>(
        &self, reachable: &[Rc<Machine>], mut rng: fastrand::Rng, job: impl Fn(Rc<Machine>) -> F,
    ) -> bool
    where
        F: Future<Output = bool>,
    {
        for n in 0..self.max_tries {
            let only_reachable = n < MAX_TRIES / 2 && !reachable.is_empty();
            let control_nodes =
                if only_reachable { reachable.to_vec() } else { self.simulation.control_nodes() };
            let control_node = control_nodes[rng.usize(..control_nodes.len())].clone();
            if job(control_node).await {
                return true;
            }
            sleep(ms(50 + 50 * n.min(5))).await;
        }
        false
    }

    /// Submits a configuration until its outcome is known.
    async fn submit(self, submission: Submission, reachable: Vec<Rc<Machine>>, mut rng: fastrand::Rng) {
        self.in_flight.set(self.in_flight.get() + 1);
        let loss_rng = RefCell::new((self.response_loss_interval > 0).then(|| rng.fork()));
        let put = async |control_node: Rc<Machine>| {
            let outcome = self.put(&control_node, submission).await;
            let acknowledged = matches!(outcome, Outcome::Acknowledged { .. });
            if let Some(wiped) = self.crash_on_acknowledgement.get().filter(|_| acknowledged) {
                self.crash_on_acknowledgement.set(None);
                log_line(&format!("CRASH of {} after an acknowledgement, wiped: {wiped}", control_node.name));
                control_node.kill(&self.simulation.network);
                if wiped {
                    control_node.wipe();
                }
                self.crashed.borrow_mut().push(control_node);
            }
            if loss_rng.borrow_mut().as_mut().is_some_and(|rng| rng.u32(..self.response_loss_interval) == 0) {
                return false;
            }
            let mut observations = self.observations.borrow_mut();
            if outcome != Outcome::Unknown {
                observations.pending.remove(&submission);
                log_line(&format!("{outcome:?} {submission:?}"));
            }
            if acknowledged {
                observations.acknowledged.push((submission.version, Instant::now()));
            }
            outcome != Outcome::Unknown
        };
        self.retry_until_known(&reachable, rng, put).await;
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

/// State of a simulated day.
pub(crate) struct World {
    rng: fastrand::Rng,
    callers: Callers,
    simulation: Rc<Simulation>,
    observations: Rc<RefCell<Observations>>,
    version: u64,
    server_count: u64,
    /// Time since which the control nodes have had no fault; `None` during a fault.
    settled_since: Option<Instant>,
    /// Version that each process has had in force last, by machine and start of its process.
    last_versions: BTreeMap<(String, u32), u64>,
    /// Scheduled ends of the current faults.
    recoveries: Vec<(Instant, Recovery)>,
    /// Number of control nodes that may fail at once.
    max_failures: usize,
}

impl World {
    fn new(seed: u64, must_respond_in_time: bool) -> Self {
        fastrand::seed(seed);
        // Control nodes of a small site, or of a large one.
        let (control_nodes, max_failures) = if seed % 4 == 3 { (9, 2) } else { (5, 1) };
        let simulation = Simulation::new(control_nodes, 6, max_failures);
        let shared_simulation = simulation.clone();
        let callers = Callers {
            simulation: shared_simulation,
            must_respond_in_time,
            max_tries: MAX_TRIES,
            ..Callers::default()
        };
        World {
            rng: fastrand::Rng::with_seed(seed),
            simulation,
            observations: callers.observations.clone(),
            callers,
            max_failures,
            version: 0,
            server_count: 0,
            settled_since: Some(Instant::now()),
            last_versions: BTreeMap::new(),
            recoveries: Vec::new(),
        }
    }

    /// Starts an operator that submits a configuration. If `reachable` is not empty, the operator reaches
    /// only these control nodes at first.
    fn submit(&mut self, submission: Submission, reachable: Vec<Rc<Machine>>) {
        {
            let mut observations = self.observations.borrow_mut();
            observations.history.record_sent(submission);
            observations.pending.entry(submission).or_insert_with(Instant::now);
        }
        spawn_local(self.callers.clone().submit(submission, reachable, self.rng.fork()));
    }

    /// Submits one of three texts of a version.
    fn submit_version(&mut self, version: u64) {
        let salt = self.rng.u64(..3);
        self.submit(Submission { version, salt }, Vec::new());
    }

    /// Submits an invalid configuration, which names an unknown service, with a version far above all others.
    fn submit_invalid(&mut self) {
        let invalid = configuration(self.version + MIN_INVALID_VERSION, 0)
            .replace("\"service\":\"s\"", "\"service\":\"t\"");
        let control_nodes = self.simulation.control_nodes();
        let control_node = control_nodes[self.rng.usize(..control_nodes.len())].clone();
        let callers = self.callers.clone();
        spawn_local(async move {
            let put = async move |agent: Rc<Agent>| agent.put(invalid.as_bytes()).await;
            let outcome = callers.call(&control_node, put).await;
            if !matches!(outcome, None | Some(PutOutcome::Invalid(_))) {
                callers
                    .observations
                    .borrow_mut()
                    .history
                    .report_violation("an invalid configuration was not rejected as invalid".to_owned());
            }
        });
    }

    /// Starts a server that sends a heartbeat every second, then drains and deregisters.
    fn run_server(&mut self) {
        self.server_count += 1;
        let id = format!("i-{}", self.server_count);
        let address = format!("10.1.{}.{}:8080", self.server_count / 250, self.server_count % 250);
        let (callers, mut rng) = (self.callers.clone(), self.rng.fork());
        let heartbeat_count = rng.u64(3..20);
        spawn_local(async move {
            for seq in 1..=heartbeat_count + 1 {
                let state = if seq > heartbeat_count { ServerState::Draining } else { ServerState::Ready };
                let heartbeat = Heartbeat {
                    id: id.clone().into(),
                    service: "s".into(),
                    address: address.clone().into(),
                    zone: "z0".to_owned().into(),
                    capacity: 3,
                    state,
                    sequence: seq,
                };
                let send_heartbeat = async |control_node: Rc<Machine>| {
                    let heartbeat = heartbeat.clone();
                    let result = callers
                        .call(&control_node, async move |agent| agent.record_heartbeat(heartbeat).await)
                        .await;
                    log_line(&format!("{id} reports {state:?} to {}: {result:?}", control_node.name));
                    result == Some(Ok(()))
                };
                if callers.retry_until_known(&[], rng.fork(), send_heartbeat).await
                    && state == ServerState::Draining
                {
                    callers.observations.borrow_mut().drained.insert(id.clone(), Instant::now());
                }
                sleep(ms(1000)).await;
            }
            let deregister = async |control_node: Rc<Machine>| {
                let id = id.clone();
                let result = callers
                    .call(&control_node, async move |agent| agent.deregister(&id.as_str().into()).await)
                    .await;
                log_line(&format!("deregisters at {}: {result:?}", control_node.name));
                result == Some(Ok(()))
            };
            callers.retry_until_known(&[], rng.fork(), deregister).await;
        });
    }

    fn gateways(&self) -> Vec<Rc<Machine>> {
        self.simulation.all_machines().into_iter().filter(|m| !m.is_control_node()).collect()
    }

    /// Schedules the end of a fault.
    fn schedule_recovery(&mut self, delay_ms: u64, recovery: Recovery) {
        self.recoveries.push((Instant::now() + ms(delay_ms), recovery));
    }

    /// Kills a process and schedules its restart.
    fn stop_for(&mut self, machine: &Rc<Machine>, duration_ms: u64) {
        machine.kill(&self.simulation.network);
        machine.healthy_since.set(None);
        self.schedule_recovery(duration_ms, Recovery::Start(machine.clone()));
    }

    /// Freezes a process for this time.
    fn freeze_for(&mut self, machine: &Rc<Machine>, duration_ms: u64) {
        machine.freeze(true);
        machine.healthy_since.set(None);
        self.schedule_recovery(duration_ms, Recovery::Unfreeze(machine.clone()));
    }

    /// Makes each sync of a disk take this long, for the same time.
    fn stall_disk_for(&mut self, machine: &Rc<Machine>, duration_ms: u64) {
        machine.storage.as_ref().expect("a control node has a disk").sync_time.set(ms(duration_ms));
        machine.healthy_since.set(None);
        self.schedule_recovery(duration_ms, Recovery::RestoreDisk(machine.clone()));
    }

    /// Removes a control node permanently, and schedules the start of a new one with an empty disk and
    /// another address.
    fn replace(&mut self, machine: &Rc<Machine>, duration_ms: u64) {
        machine.kill(&self.simulation.network);
        machine.is_removed.set(true);
        let new = self.simulation.add_control_node();
        new.healthy_since.set(None);
        self.schedule_recovery(duration_ms, Recovery::Start(new));
    }

    /// Separates machines from all others for this time.
    fn partition_for(&mut self, direction: Direction, machines: Vec<Rc<Machine>>, duration_ms: u64) {
        machines.iter().for_each(|m| m.healthy_since.set(None));
        let partition = self.simulation.network.partition(direction, machines.iter().map(|m| m.ip.clone()));
        self.schedule_recovery(duration_ms, Recovery::Reconnect(Some(partition), machines));
    }

    /// Schedules the restart of machines that have crashed after an acknowledgement. Returns their number.
    fn recover_crashed_machines(&mut self) -> usize {
        let crashed = self.callers.crashed.take();
        let count = crashed.len();
        for machine in crashed {
            let duration_ms = self.rng.u64(100..3000);
            self.settled_since = None;
            self.stop_for(&machine, duration_ms);
        }
        count
    }

    /// Ends the faults whose time has come. Returns their number.
    fn run_due_recoveries(&mut self) -> usize {
        let now = Instant::now();
        let (due, rest) = std::mem::take(&mut self.recoveries).into_iter().partition(|(at, _)| *at <= now);
        self.recoveries = rest;
        let due: Vec<(Instant, Recovery)> = due;
        let healed = due.len();
        for (_, recovery) in due {
            log_line("RECOVERY");
            let machines = match recovery {
                Recovery::Start(machine) => {
                    machine.start(&self.simulation.network, false);
                    vec![machine]
                }
                Recovery::Unfreeze(machine) => {
                    machine.freeze(false);
                    vec![machine]
                }
                Recovery::RestoreDisk(machine) => {
                    machine.storage.as_ref().expect("a control node has a disk").sync_time.set(ms(5));
                    vec![machine]
                }
                Recovery::Reconnect(partition, machines) => {
                    partition
                        .into_iter()
                        .for_each(|partition| self.simulation.network.heal_partition(partition));
                    machines
                }
            };
            // A machine may still have another fault.
            let healthy = machines.iter().filter(|m| m.is_healthy(&self.simulation.network));
            healthy.for_each(|m| m.healthy_since.set(Some(now)));
        }
        healed
    }

    /// Whether a machine and the control nodes have had no fault for long enough that it must be in contact.
    fn is_in_contact(&self, machine: &Machine) -> bool {
        let is_long_enough =
            |since: Option<Instant>| since.is_some_and(|at| at.elapsed() >= MAX_CONTACT_TIME);
        is_long_enough(self.settled_since) && is_long_enough(machine.healthy_since.get())
    }

    /// Asserts what must hold at any time.
    fn check_invariants(&mut self) {
        let now = Instant::now();
        crate::simulation::assert_no_panics();
        for machine in self.simulation.all_machines() {
            let Some(agent) = machine.agent() else { continue };
            let config = agent.config();
            let version = config.as_ref().map_or(0, |c| c.version);
            let before =
                self.last_versions.entry((machine.name.clone(), machine.start_count.get())).or_insert(0);
            assert!(version >= *before, "{} went back from version {before} to {version}", machine.name);
            *before = version;
            assert!(version < MIN_INVALID_VERSION, "{}: an invalid configuration is in force", machine.name);
            if let Some(config) = config {
                let submission = Submission::of(&config).expect("the configuration comes from an operator");
                self.observations.borrow_mut().history.record_in_force(submission, &machine.name);
            }
            if !self.is_in_contact(&machine) {
                continue;
            }
            let observations = self.observations.borrow();
            let expected = observations.newest_acknowledged_before(now - MAX_APPLY_TIME);
            assert!(
                version >= expected,
                "{} has version {version} in force, but {expected} was acknowledged",
                machine.name
            );
            let due = observations.drained.iter().filter(|(_, at)| now - **at > MAX_DRAIN_TIME);
            for (id, _) in due {
                assert!(
                    !agent.is_server_available(&id.as_str().into()),
                    "{} offers the drained server {id}",
                    machine.name
                );
            }
        }
        let observations = self.observations.borrow();
        observations.history.check();
        let no_control_node_faults =
            !self.recoveries.iter().any(|(_, recovery)| recovery.affects_control_node());
        if no_control_node_faults
            && self
                .settled_since
                .is_some_and(|at| at.elapsed() >= MAX_ACKNOWLEDGEMENT_TIME + MAX_CONTACT_TIME)
        {
            let overdue =
                observations.pending.iter().find(|(_, at)| at.elapsed() >= MAX_ACKNOWLEDGEMENT_TIME);
            assert!(
                overdue.is_none(),
                "a configuration has no outcome though there are no faults: {overdue:?}"
            );
        }
    }

    /// Asserts the state at the end of a day: the control nodes return what was acknowledged, and all
    /// processes have equal digests.
    async fn check_final_state(&mut self) {
        let newest =
            self.observations.borrow().acknowledged.iter().map(|(version, _)| *version).max().unwrap_or(0);
        for machine in self.simulation.control_nodes() {
            let read = async |agent: Rc<Agent>| agent.read_newest().await;
            let found = machine.call(MAX_ACKNOWLEDGEMENT_TIME, read).await.and_then(Result::ok).flatten();
            let found = found.unwrap_or_else(|| panic!("{} does not read the register", machine.name));
            assert!(
                found.version >= newest,
                "version {} is read, but {newest} was acknowledged",
                found.version
            );
            self.callers.read(&machine).await;
        }
        let known = |m: &Rc<Machine>| m.agent().map(|agent| agent.digest());
        let all: Vec<_> = self.simulation.all_machines().iter().map(|m| (m.name.clone(), known(m))).collect();
        assert!(all.iter().all(|(_, d)| *d == all[0].1), "the digests differ: {all:?}");
        self.check_invariants();
    }
}
