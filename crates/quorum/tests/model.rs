//! Model-checks the register: explores every order of events of writes, reads and membership changes over a
//! few replicas. Messages are delayed, lost, duplicated and reordered, proposers stop, and disks are wiped at
//! any time. The model calls the functions of the crate itself. Most tests also remove one guard of the
//! protocol, and check that the model checker then finds a violation.
//!
//! A lost message is one that is never delivered, and a crashed proposer is one whose messages are not
//! delivered. Since every state is checked, these need no events of their own. Not modelled: power loss with
//! unsynced state (responses are sent after the sync), clocks, and anything beyond the events and the depth
//! of each run.

#[allow(dead_code, reason = "no test uses all functions of the module")]
mod acknowledgements;

use std::sync::Arc;

use acknowledgements::Acknowledgements;
use ashvane_quorum::{
    AcceptedProposal, AddressedRequest, ChosenProposal, ChosenVersions, ContentDigest, Member, Membership,
    Operation, Outcome, ProposalNumber, RegisterValue, Replica, ReplicaState, Request, Response, Step,
    VersionedConfig,
};
use stateright::{Checker as _, HasDiscoveries, Model, Property};

/// A guard of the protocol that is removed to check that the model checker detects its absence. The comments
/// describe the faulty behaviour without the guard.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RemovedGuard {
    Nothing,
    /// A replica accepts a proposal with a lower number than it has promised.
    ProposalNumberCheck,
    /// A replica promises a lower number than it has promised before.
    MonotonicPromise,
    /// A proposer ignores the values that replicas have accepted.
    AdoptAcceptedValue,
    /// All operations use the same proposal numbers.
    UniqueProposalNumbers,
    /// A proposer ignores that the epoch is sealed, and continues in it.
    SealedEpoch,
    /// A read ignores that the epoch is sealed.
    SealedEpochInRead,
    /// The state is installed on the next members before a quorum has sealed the epoch.
    SealBeforeInstall,
    /// The state of the previous members is not transferred to the next ones.
    StateTransfer,
    /// A replica votes in the newest epoch with its old state, without an installed state.
    VoteWithState,
    /// A wiped disk keeps its identifier.
    NewDiskId,
    /// A read returns a value that only some replicas have accepted.
    WriteBack,
    /// The digests of older versions are not stored.
    ChosenVersionHistory,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { operation: usize, member: Member, request: Request },
    Response { operation: usize, request: Request, response: Response },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: Vec<Replica>,
    operations: Vec<Operation>,
    started_count: usize,
    /// Whether each operation waits for a retry after contention.
    awaiting_retry: Vec<bool>,
    messages: Vec<Message>,
    wipes_left: u8,
    duplicates_left: u8,
    retries_left: u8,
    acknowledgements: Acknowledgements,
    /// The newest version that was acknowledged when each operation started.
    minimum_versions: Vec<u64>,
    /// The proposal with the highest number that each read has received. Used only without the guard
    /// [`RemovedGuard::WriteBack`].
    newest_received: Vec<Option<AcceptedProposal>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Starts the next operation, with the newest membership of any replica if true, and else with the
    /// initial one.
    Start(bool),
    Retry(usize),
    Deliver(usize),
    /// Delivers a message and keeps it for a second delivery.
    Duplicate(usize),
    Wipe(usize),
}

/// The model to explore.
#[derive(Clone)]
struct Register {
    /// Number of initial members.
    member_count: usize,
    /// Number of standby replicas.
    standby_count: usize,
    /// The operations in the order in which they start. Each may start at any time after the previous one.
    plans: Vec<Plan>,
    /// Maximum number of disk wipes.
    wipes: u8,
    /// Maximum number of duplicated messages.
    duplicates: u8,
    /// Maximum number of retries of all operations together.
    retries: u8,
    removed_guard: RemovedGuard,
}

/// An operation to run.
#[derive(Clone, Copy)]
enum Plan {
    /// Write this version with this content.
    Write(u64, &'static str),
    Read,
    /// Change the membership to these disks.
    Change(&'static [&'static str]),
}

/// Returns the member with this disk. Its address is the digit in the identifier, so that a wiped disk keeps
/// its address.
fn member(disk: &str) -> Member {
    Member { disk: disk.into(), address: disk[1..2].into() }
}

fn config(version: u64, content: &str) -> VersionedConfig {
    VersionedConfig {
        version,
        digest: ContentDigest::of(content.as_bytes()),
        compressed_text: content.into(),
    }
}

/// Returns a replica with a modified state.
fn tampered(replica: &Replica, change: impl FnOnce(&mut ReplicaState)) -> Replica {
    let mut state = replica.state().clone();
    change(&mut state);
    Replica::from_state(state)
}

impl Register {
    fn initial_membership(&self) -> Membership {
        Membership::new(1, (0..self.member_count).map(|n| member(&format!("d{n}"))).collect())
    }

    fn operation(&self, number: usize, membership: Membership) -> Operation {
        let id: Arc<str> = match self.removed_guard {
            RemovedGuard::UniqueProposalNumbers => "o".into(),
            _ => format!("o{number}").into(),
        };
        match self.plans[number] {
            Plan::Write(version, text) => Operation::write(id, membership, config(version, text)),
            Plan::Read => Operation::read(id, membership),
            Plan::Change(disks) => {
                Operation::change_membership(id, membership, disks.iter().map(|d| member(d)).collect())
            }
        }
    }

    /// Returns the machine on which an operation runs.
    fn home_machine(&self, operation: usize) -> usize {
        operation % (self.member_count + self.standby_count)
    }

    /// Returns the response of a replica without the removed guard.
    fn handle(&self, state: &mut State, machine: usize, request: &Request) -> Response {
        let newest = state.newest_membership();
        let replica = &mut state.replicas[machine];
        match (self.removed_guard, request) {
            (RemovedGuard::ProposalNumberCheck, Request::Accept { number, .. }) => {
                // Give the accepted proposal a number that is lower than all others and that no proposer
                // uses.
                let lowest = ProposalNumber { round: 0, operation: "-".into() };
                *replica = tampered(replica, |state| {
                    state.promised = ProposalNumber::default();
                    if state.accepted.number > *number {
                        state.accepted.number = lowest;
                    }
                });
                replica.handle(request).response
            }
            (RemovedGuard::MonotonicPromise, Request::Prepare { .. }) => {
                // A promise below the accepted number would violate an assertion of the replica instead.
                *replica = tampered(replica, |state| state.promised = state.accepted.number.clone());
                replica.handle(request).response
            }
            (RemovedGuard::AdoptAcceptedValue, Request::Prepare { .. }) => {
                let mut response = replica.handle(request).response;
                (response.accepted_number, response.value) =
                    (ProposalNumber::default(), Some(Arc::default()));
                response
            }
            (RemovedGuard::StateTransfer, Request::Install { membership, .. }) => {
                let accepted = AcceptedProposal::default();
                replica.handle(&Request::Install { membership: membership.clone(), accepted }).response
            }
            (RemovedGuard::VoteWithState, _) if newest.epoch > replica.state().membership.epoch => {
                *replica = tampered(replica, |state| {
                    state.membership = newest;
                    (state.promised, state.accepted.number) = Default::default();
                    state.accepted.next_membership = None;
                });
                replica.handle(request).response
            }
            (RemovedGuard::SealedEpoch, _) => {
                let mut response = replica.handle(request).response;
                response.next_membership = None;
                response
            }
            (RemovedGuard::ChosenVersionHistory, _) => {
                let mut response = replica.handle(request).response;
                response.value = response.value.map(|v| {
                    Arc::new(RegisterValue {
                        config: v.config.clone(),
                        chosen_versions: ChosenVersions::default(),
                    })
                });
                response
            }
            _ => replica.handle(request).response,
        }
    }

    /// Modifies a response before the proposer handles it, without the removed guard.
    fn tamper_response(
        &self, state: &mut State, operation: usize, request: &Request, response: &mut Response,
    ) {
        if !matches!(request, Request::Read { .. }) {
            return;
        }
        match self.removed_guard {
            RemovedGuard::SealedEpochInRead => response.next_membership = None,
            RemovedGuard::WriteBack => {
                let newest = &mut state.newest_received[operation];
                let is_newer = newest.as_ref().is_none_or(|newest| newest.number <= response.accepted_number);
                match response.accepted().filter(|_| is_newer) {
                    Some(accepted) => *newest = Some(accepted),
                    None => {
                        let Some(newest) = newest.clone() else { return };
                        (response.accepted_number, response.value) = (newest.number, Some(newest.value));
                    }
                }
            }
            _ => {}
        }
    }

    fn apply_step(&self, state: &mut State, operation: usize, step: Step) {
        let requests = step.requests.into_iter();
        let messages = requests.map(|AddressedRequest { member, request }| Message::Request {
            operation,
            member,
            request,
        });
        state.messages.extend(messages);
        state.awaiting_retry[operation] |= step.is_contended;
        if let Some(outcome) = step.outcome {
            self.handle_outcome(state, operation, outcome);
        }
        // Responses to operations that are complete have no effect.
        let done: Vec<bool> = state.operations.iter().map(Operation::is_done).collect();
        state.messages.retain(|m| !matches!(m, Message::Response { operation, .. } if done[*operation]));
        state.messages.sort();
        state.messages.dedup();
    }

    fn handle_outcome(&self, state: &mut State, operation: usize, outcome: Outcome) {
        let chosen = match (outcome, self.plans[operation]) {
            (Outcome::Read(chosen), _) => {
                state.acknowledgements.record_read(state.minimum_versions[operation], &chosen);
                chosen
            }
            (Outcome::Written(status, chosen), Plan::Write(version, text)) => {
                state.acknowledgements.record_write((version, text.into()), status, &chosen);
                chosen
            }
            _ => return,
        };
        self.learn(state, operation, chosen);
    }

    /// The replica on the proposer's machine stores a chosen proposal.
    fn learn(&self, state: &mut State, operation: usize, ChosenProposal { epoch, accepted }: ChosenProposal) {
        if !matches!(self.removed_guard, RemovedGuard::ChosenVersionHistory) {
            state.replicas[self.home_machine(operation)].handle(&Request::Learn { epoch, accepted });
        }
    }

    /// Sends the installation of the next membership as soon as one replica has accepted the seal.
    fn install_immediately(state: &mut State, machine: usize, operation: usize, request: &Request) {
        let Request::Accept { next_membership: Some(next), .. } = request else { return };
        let (membership, value) = (next.clone(), state.replicas[machine].state().accepted.value.clone());
        let accepted = AcceptedProposal { value, ..AcceptedProposal::default() };
        let request = Request::Install { membership, accepted };
        let installs = next.members.iter().cloned();
        let messages =
            installs.map(|member| Message::Request { operation, member, request: request.clone() });
        state.messages.extend(messages);
    }

    fn deliver(&self, state: &mut State, message: Message) -> Option<()> {
        match message {
            Message::Request { operation, member, request } => {
                let machine: usize = member.address.as_str().parse().ok()?;
                let response = self.handle(state, machine, &request);
                if self.removed_guard == RemovedGuard::SealBeforeInstall && response.rejection.is_none() {
                    Self::install_immediately(state, machine, operation, &request);
                }
                state.messages.push(Message::Response { operation, request, response });
                self.apply_step(state, operation, Step::default());
            }
            Message::Response { operation, request, mut response } => {
                self.tamper_response(state, operation, &request, &mut response);
                let step = state.operations[operation].handle(&request, response);
                self.apply_step(state, operation, step);
            }
        }
        Some(())
    }
}

impl State {
    fn newest_membership(&self) -> Membership {
        let memberships = self.replicas.iter().map(|r| &r.state().membership);
        memberships.max_by_key(|m| m.epoch).cloned().unwrap_or_default()
    }

    /// Whether the last membership change is complete: all members have the state of the newest epoch.
    fn is_change_complete(&self) -> bool {
        let newest = self.newest_membership();
        let holds = |m: &Member| {
            self.replicas.iter().any(|r| r.state().disk == m.disk && r.state().membership == newest)
        };
        newest.members.iter().all(holds)
    }

    /// Whether this version is durable: in each epoch, the voting members without it are fewer than a quorum.
    /// A member that has accepted the seal of its epoch no longer counts as voting in it.
    fn is_durable(&self, version: u64) -> bool {
        let states = || self.replicas.iter().map(Replica::state);
        states().map(|s| &s.membership).all(|membership| {
            let decides = |s: &&ReplicaState| {
                s.membership == *membership
                    && membership.contains(&s.disk)
                    && s.accepted.next_membership.is_none()
            };
            let knows = |s: &ReplicaState| s.accepted.value.version().unwrap_or(0) >= version;
            states().filter(decides).filter(|s| !knows(s)).count() < membership.quorum_size()
        })
    }
}

impl Model for Register {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let operation_count = self.plans.len();
        let empty = |n: usize| match n < self.member_count {
            true => Replica::empty(format!("d{n}").into(), self.initial_membership()),
            false => Replica::empty(format!("d{n}").into(), Membership::default()),
        };
        vec![State {
            replicas: (0..self.member_count + self.standby_count).map(empty).collect(),
            operations: (0..operation_count).map(|n| self.operation(n, self.initial_membership())).collect(),
            started_count: 0,
            awaiting_retry: vec![false; operation_count],
            messages: Vec::new(),
            wipes_left: self.wipes,
            duplicates_left: self.duplicates,
            retries_left: self.retries,
            acknowledgements: Acknowledgements::default(),
            minimum_versions: vec![0; operation_count],
            newest_received: vec![None; operation_count],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.started_count < self.plans.len() {
            actions.push(Action::Start(false));
            if state.newest_membership().epoch > 1 {
                actions.push(Action::Start(true));
            }
        }
        actions.extend((0..state.messages.len()).map(Action::Deliver));
        if state.duplicates_left > 0 {
            actions.extend((0..state.messages.len()).map(Action::Duplicate));
        }
        if state.retries_left > 0 {
            let waiting = state.awaiting_retry.iter().enumerate().filter(|(_, waiting)| **waiting);
            actions.extend(waiting.map(|(operation, _)| Action::Retry(operation)));
        }
        // One failure at a time is tolerated: the next one may occur after the last membership change is
        // complete.
        if state.wipes_left > 0 && state.is_change_complete() {
            actions.extend((0..self.member_count + self.standby_count).map(Action::Wipe));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Start(knows_newest) => {
                let number = state.started_count;
                let membership =
                    if knows_newest { state.newest_membership() } else { self.initial_membership() };
                let own_state = state.replicas[self.home_machine(number)].state();
                state.operations[number] = match self.removed_guard {
                    RemovedGuard::SealedEpochInRead => self.operation(number, membership),
                    _ => self.operation(number, membership).with_local_state(own_state),
                };
                state.started_count += 1;
                state.minimum_versions[number] = state.acknowledgements.newest_version;
                let step = state.operations[number].start();
                self.apply_step(&mut state, number, step);
            }
            Action::Retry(operation) => {
                (state.awaiting_retry[operation], state.retries_left) = (false, state.retries_left - 1);
                let step = state.operations[operation].retry();
                self.apply_step(&mut state, operation, step);
            }
            Action::Wipe(machine) => {
                state.wipes_left -= 1;
                let replica = &mut state.replicas[machine];
                let disk = replica.state().disk.clone();
                *replica = match self.removed_guard {
                    RemovedGuard::NewDiskId => Replica::empty(disk, self.initial_membership()),
                    _ => Replica::empty(format!("{disk}-new").into(), Membership::default()),
                };
            }
            Action::Duplicate(index) => {
                state.duplicates_left -= 1;
                let message = state.messages[index].clone();
                self.deliver(&mut state, message)?;
            }
            Action::Deliver(index) => {
                let message = state.messages.remove(index);
                self.deliver(&mut state, message)?;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a quorum stores the acknowledged version", |_, state: &State| {
                state.is_durable(state.acknowledgements.newest_version)
            }),
            Property::always(
                "a read returns every version acknowledged before it started",
                |_, state: &State| !state.acknowledgements.has_stale_read,
            ),
            Property::always("a version has one content", |_, state: &State| {
                !state.acknowledgements.has_conflicting_contents
            }),
            Property::always("no submission is both acknowledged and rejected", |_, state: &State| {
                !state.acknowledgements.has_contradiction
            }),
            Property::always("an epoch has one membership", |_, state: &State| {
                let all = || state.replicas.iter().map(|r| &r.state().membership);
                all().all(|a| all().all(|b| a.epoch != b.epoch || a == b))
            }),
        ]
    }
}

impl Register {
    fn new(member_count: usize, plans: &[Plan]) -> Self {
        let plans = plans.to_vec();
        Register {
            member_count,
            standby_count: 1,
            plans,
            wipes: 0,
            duplicates: 0,
            retries: 0,
            removed_guard: RemovedGuard::Nothing,
        }
    }

    fn without_guard(&self, removed_guard: RemovedGuard) -> Self {
        Register { removed_guard, ..self.clone() }
    }

    /// Explores the model to this depth. Returns the names of the violated properties, and the number of
    /// states.
    fn explore(self, depth: usize) -> (Vec<&'static str>, usize) {
        let checker = self.checker().threads(THREAD_COUNT).target_max_depth(depth);
        let checker = checker.finish_when(HasDiscoveries::Any).spawn_bfs().join();
        (checker.discoveries().into_keys().collect(), checker.unique_state_count())
    }

    /// Checks that no property is violated, and that at least `min_states` states are explored.
    fn check_no_violation(self, depth: usize, min_states: usize) {
        let (violated, states) = self.explore(depth);
        println!("{states} states, depth {depth}");
        assert!(violated.is_empty() && states >= min_states, "{violated:?}, {states} states");
    }

    /// Checks that a violation of one of these properties is found.
    fn check_violation(self, depth: usize, expected: &[&str]) {
        let removed_guard = self.removed_guard;
        let (violated, states) = self.explore(depth);
        println!("without {removed_guard:?}: {violated:?} after {states} states");
        assert!(violated.iter().any(|name| expected.contains(name)), "{violated:?} after {states} states");
    }
}

const THREAD_COUNT: usize = 4;

const WRITE_AND_READ: [Plan; 2] = [Plan::Write(1, "a"), Plan::Read];
const MEMBER_REPLACED: [Plan; 3] = [Plan::Write(1, "a"), Plan::Change(&["d1", "d2", "d3"]), Plan::Read];
/// Two contents for the same version.
const CONFLICT: [Plan; 2] = [Plan::Write(1, "a"), Plan::Write(1, "b")];
/// A membership of one disk is replaced by that of another disk, concurrently with a write and a read.
const SINGLE_MEMBER_REPLACED: [Plan; 3] = [Plan::Write(1, "a"), Plan::Change(&["d1"]), Plan::Read];
const CHANGE_WRITE_AND_READ: [Plan; 3] = [Plan::Change(&["d1"]), Plan::Write(1, "a"), Plan::Read];

const DURABLE_WRITES: &str = "a quorum stores the acknowledged version";
const CURRENT_READS: &str = "a read returns every version acknowledged before it started";
const ONE_CONTENT: &str = "a version has one content";
const ONE_MEMBERSHIP: &str = "an epoch has one membership";

/// Checks that at this depth a property is violated without the guard, and none with all guards.
fn check_guard(guard: RemovedGuard, register: Register, depth: usize, violated: &[&str]) {
    register.without_guard(RemovedGuard::Nothing).check_no_violation(depth, 1);
    register.without_guard(guard).check_violation(depth, violated);
}

#[test]
fn a_lower_proposal_number_than_promised_is_not_accepted() {
    check_guard(RemovedGuard::ProposalNumberCheck, Register::new(2, &CONFLICT), 24, &[ONE_CONTENT]);
}

#[test]
fn the_promised_number_only_increases() {
    check_guard(
        RemovedGuard::MonotonicPromise,
        Register { duplicates: 2, ..Register::new(1, &CONFLICT) },
        20,
        &[ONE_CONTENT],
    );
}

#[test]
fn a_proposal_adopts_the_newest_accepted_value() {
    check_guard(
        RemovedGuard::AdoptAcceptedValue,
        Register { retries: 1, ..Register::new(2, &CONFLICT) },
        24,
        &[ONE_CONTENT],
    );
}

#[test]
fn no_two_operations_share_a_proposal_number() {
    check_guard(RemovedGuard::UniqueProposalNumbers, Register::new(2, &CONFLICT), 24, &[ONE_CONTENT]);
}

#[test]
fn a_sealed_epoch_accepts_no_writes() {
    check_guard(
        RemovedGuard::SealedEpoch,
        Register::new(1, &CHANGE_WRITE_AND_READ),
        24,
        &[CURRENT_READS, DURABLE_WRITES, ONE_MEMBERSHIP],
    );
}

#[test]
fn a_read_does_not_complete_in_a_sealed_epoch() {
    check_guard(
        RemovedGuard::SealedEpochInRead,
        Register::new(1, &CHANGE_WRITE_AND_READ),
        24,
        &[CURRENT_READS],
    );
}

#[test]
fn the_epoch_is_sealed_before_its_state_is_installed_on_the_next_members() {
    let plans = [Plan::Change(&["d0"]), Plan::Write(1, "a")];
    check_guard(RemovedGuard::SealBeforeInstall, Register::new(3, &plans), 14, &[DURABLE_WRITES]);
}

#[test]
fn the_state_is_transferred_to_the_next_members() {
    check_guard(
        RemovedGuard::StateTransfer,
        Register::new(1, &SINGLE_MEMBER_REPLACED),
        24,
        &[CURRENT_READS, DURABLE_WRITES],
    );
}

#[test]
fn a_member_votes_only_with_the_state_of_its_epoch() {
    let plans = [Plan::Write(1, "a"), Plan::Change(&["d1", "d2", "d3"]), Plan::Read];
    check_guard(
        RemovedGuard::VoteWithState,
        Register { standby_count: 3, ..Register::new(1, &plans) },
        16,
        &[CURRENT_READS, DURABLE_WRITES],
    );
}

#[test]
fn a_wiped_disk_does_not_vote_without_its_former_state() {
    check_guard(
        RemovedGuard::NewDiskId,
        Register { wipes: 1, standby_count: 0, ..Register::new(3, &WRITE_AND_READ) },
        15,
        &[CURRENT_READS, DURABLE_WRITES],
    );
}

#[test]
fn a_read_does_not_return_a_value_that_is_not_chosen() {
    check_guard(
        RemovedGuard::WriteBack,
        Register::new(3, &WRITE_AND_READ),
        14,
        &[CURRENT_READS, DURABLE_WRITES],
    );
}

#[test]
fn the_digests_of_older_versions_are_stored() {
    let plans = [Plan::Write(1, "a"), Plan::Write(2, "c"), Plan::Write(1, "b"), Plan::Write(1, "a")];
    check_guard(RemovedGuard::ChosenVersionHistory, Register::new(1, &plans), 20, &[ONE_CONTENT]);
}

/// Two operators submit different contents for one version, a newer version follows, and the first submission
/// is repeated.
const RESUBMISSION: [Plan; 4] =
    [Plan::Write(1, "a"), Plan::Write(1, "b"), Plan::Write(2, "c"), Plan::Write(1, "a")];
/// Two concurrent membership changes with different members, a write and a read.
const TWO_CHANGES: [Plan; 4] =
    [Plan::Change(&["d0"]), Plan::Change(&["d1", "d2"]), Plan::Write(1, "a"), Plan::Read];
/// The same two membership changes without other operations.
const TWO_CHANGES_ALONE: [Plan; 2] = [Plan::Change(&["d0"]), Plan::Change(&["d1", "d2"])];
/// A wiped disk returns at the same address and takes its own place.
const WIPED_MEMBER: [Plan; 3] = [Plan::Write(1, "a"), Plan::Change(&["d0-new", "d1", "d2"]), Plan::Read];
/// One member is replaced and then another. Both keep their state.
const TWO_REPLACEMENTS: [Plan; 4] = [
    Plan::Write(1, "a"),
    Plan::Change(&["d1", "d2", "d3"]),
    Plan::Change(&["d2", "d3", "d0-new"]),
    Plan::Read,
];
const MEMBER_REMOVED: [Plan; 4] =
    [Plan::Write(1, "a"), Plan::Change(&["d0", "d1"]), Plan::Write(1, "b"), Plan::Read];

/// Scenarios explored with all guards: name, model, depth and minimum number of states in continuous
/// integration, and depth of the manual run. No run has more than 99 events.
fn scenarios() -> Vec<(&'static str, Register, usize, usize, usize)> {
    vec![
        ("conflict", Register { retries: 1, ..Register::new(2, &CONFLICT) }, 99, 20_000, 99),
        (
            "conflict with duplicates",
            Register { retries: 2, duplicates: 1, ..Register::new(2, &CONFLICT) },
            14,
            10_000,
            99,
        ),
        ("conflict, three disks", Register { retries: 1, ..Register::new(3, &CONFLICT) }, 14, 50_000, 16),
        (
            "resubmission, one disk",
            Register { retries: 2, ..Register::new(1, &RESUBMISSION) },
            99,
            300_000,
            99,
        ),
        (
            "resubmission, two disks",
            Register { retries: 1, ..Register::new(2, &RESUBMISSION) },
            12,
            50_000,
            16,
        ),
        ("two changes", Register { retries: 1, ..Register::new(2, &TWO_CHANGES) }, 12, 50_000, 16),
        ("two changes only", Register::new(2, &TWO_CHANGES_ALONE), 22, 500, 99),
        ("replacement", Register::new(3, &MEMBER_REPLACED), 13, 20_000, 15),
        ("wiped member", Register { wipes: 1, ..Register::new(3, &WIPED_MEMBER) }, 10, 80_000, 12),
        ("two replacements", Register { wipes: 1, ..Register::new(3, &TWO_REPLACEMENTS) }, 9, 40_000, 12),
        ("removal", Register { wipes: 1, retries: 1, ..Register::new(3, &MEMBER_REMOVED) }, 9, 40_000, 12),
    ]
}

#[test]
fn no_property_is_violated_with_all_guards() {
    for (name, register, depth, min_states, _) in scenarios() {
        println!("{name}:");
        register.check_no_violation(depth, min_states);
    }
}

/// Run manually: `cargo test --release -p ashvane-quorum --test model -- --ignored --nocapture`.
#[test]
#[ignore = "tens of millions of states take a quarter of an hour"]
fn no_property_is_violated_at_greater_depth() {
    for (name, register, _, min_states, depth) in scenarios() {
        println!("{name}:");
        register.check_no_violation(depth, min_states);
    }
}
