//! Every order of events, to the end, of orders, reads and changes of the membership over a few disks: messages late,
//! lost, repeated and in any order, proposers that go no further, disks wiped anywhere. The functions are those that
//! run. With one guard taken out, the checker must find the run that breaks the register.
//!
//! A message that is never delivered is a lost one, and a proposer whose messages are not delivered has died: each
//! state is checked, so that both need no events of their own. Left out: what a disk has not synced when its power goes
//! (an answer leaves after the sync), clocks, and anything beyond the events and the depth of each run.

#[allow(dead_code, reason = "each test uses its part")]
mod acknowledgements;

use std::sync::Arc;

use acknowledgements::Acknowledgements;
use ashvane_quorum::{
    AcceptedProposal, AddressedRequest, ChosenProposal, ChosenVersions, ContentDigest, Member, Membership,
    Operation, Outcome, ProposalNumber, RegisterValue, Replica, ReplicaState, Request, Response, Step,
    VersionedConfig,
};
use stateright::{Checker as _, HasDiscoveries, Model, Property};

/// The guard that is taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A replica accepts a ballot below the one that it has promised.
    BallotCheck,
    /// A replica promises a ballot below the one that it has promised.
    PromiseRises,
    /// A proposer overlooks what others have accepted.
    Adopt,
    /// Two operations share their ballots.
    UniqueBallots,
    /// A proposer overlooks that the epoch is sealed, and goes on in it.
    Seal,
    /// A read overlooks that the epoch is sealed.
    SealInRead,
    /// The next members are installed before a majority has sealed the epoch.
    SealBeforeInstall,
    /// What the old members held is not handed to the new ones.
    HandOver,
    /// A replica votes in an epoch that it has only heard of, with the state that it has.
    VoteWithState,
    /// A wiped disk comes back under its old name.
    NewName,
    /// A read takes what some hold for what a majority holds.
    WriteBack,
    /// The texts of older versions are forgotten.
    DecidedDigests,
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
    begun: usize,
    /// Operations that wait to try again.
    waiting: Vec<bool>,
    messages: Vec<Message>,
    wipes: u8,
    repeats: u8,
    tries: u8,
    acknowledged: Acknowledgements,
    /// The newest version that callers knew when each operation began.
    floors: Vec<u64>,
    /// What each read has met with the highest ballot; only where the guard on mixed reads is taken out.
    met: Vec<Option<AcceptedProposal>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Whether it knows the newest membership that any disk knows, or only the first one.
    Begin(bool),
    Again(usize),
    Deliver(usize),
    /// It comes again later.
    Repeat(usize),
    Wipe(usize),
}

/// What is explored.
#[derive(Clone)]
struct Register {
    /// The first members, ...
    members: usize,
    /// ... and the disks that wait beside them.
    spares: usize,
    /// In the order in which they begin, each any time after the one before.
    plans: Vec<Plan>,
    wipes: u8,
    repeats: u8,
    /// New tries of operations that were outbid, all together.
    tries: u8,
    without: Without,
}

#[derive(Clone, Copy)]
enum Plan {
    /// Of this version, with this text.
    Write(u64, &'static str),
    Read,
    /// To members with these disks.
    Change(&'static [&'static str]),
}

/// A disk stands at the address that its name begins with, wiped or not.
fn member(disk: &str) -> Member {
    Member { disk: disk.into(), address: disk[1..2].into() }
}

fn config(version: u64, text: &str) -> VersionedConfig {
    VersionedConfig { version, digest: ContentDigest::of(text.as_bytes()), compressed_text: text.into() }
}

/// A replica whose state was tampered with.
fn tampered(replica: &Replica, change: impl FnOnce(&mut ReplicaState)) -> Replica {
    let mut state = replica.state().clone();
    change(&mut state);
    Replica::from_state(state)
}

impl Register {
    fn first(&self) -> Membership {
        Membership::new(1, (0..self.members).map(|n| member(&format!("d{n}"))).collect())
    }

    fn operation(&self, number: usize, membership: Membership) -> Operation {
        let name: Arc<str> = match self.without {
            Without::UniqueBallots => "o".into(),
            _ => format!("o{number}").into(),
        };
        match self.plans[number] {
            Plan::Write(version, text) => Operation::write(name, membership, config(version, text)),
            Plan::Read => Operation::read(name, membership),
            Plan::Change(disks) => {
                Operation::change_membership(name, membership, disks.iter().map(|d| member(d)).collect())
            }
        }
    }

    /// The machine from which an operation runs.
    fn home(&self, operation: usize) -> usize {
        operation % (self.members + self.spares)
    }

    /// A replica's answer, with the guard taken out.
    fn handle(&self, state: &mut State, at: usize, request: &Request) -> Response {
        let newest = state.newest_membership();
        let replica = &mut state.replicas[at];
        match (self.without, request) {
            (Without::BallotCheck, Request::Accept { number, .. }) => {
                // What it has accepted stands below all others, under a ballot that nobody names.
                let lowest = ProposalNumber { round: 0, operation: "-".into() };
                *replica = tampered(replica, |state| {
                    state.promised = ProposalNumber::default();
                    if state.accepted.number > *number {
                        state.accepted.number = lowest;
                    }
                });
                replica.handle(request).response
            }
            (Without::PromiseRises, Request::Prepare { .. }) => {
                // Below what it has accepted, its own assertion finds it first.
                *replica = tampered(replica, |state| state.promised = state.accepted.number.clone());
                replica.handle(request).response
            }
            (Without::Adopt, Request::Prepare { .. }) => {
                let mut response = replica.handle(request).response;
                (response.accepted_number, response.value) =
                    (ProposalNumber::default(), Some(Arc::default()));
                response
            }
            (Without::HandOver, Request::Install { membership, .. }) => {
                let accepted = AcceptedProposal::default();
                replica.handle(&Request::Install { membership: membership.clone(), accepted }).response
            }
            (Without::VoteWithState, _) if newest.epoch > replica.state().membership.epoch => {
                *replica = tampered(replica, |state| {
                    state.membership = newest;
                    (state.promised, state.accepted.number) = Default::default();
                    state.accepted.next_membership = None;
                });
                replica.handle(request).response
            }
            (Without::Seal, _) => {
                let mut response = replica.handle(request).response;
                response.next_membership = None;
                response
            }
            (Without::DecidedDigests, _) => {
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

    /// What a proposer takes from an answer, with the guard taken out.
    fn tamper(&self, state: &mut State, operation: usize, request: &Request, response: &mut Response) {
        if !matches!(request, Request::Read { .. }) {
            return;
        }
        match self.without {
            Without::SealInRead => response.next_membership = None,
            Without::WriteBack => {
                let met = &mut state.met[operation];
                let newer = met.as_ref().is_none_or(|met| met.number <= response.accepted_number);
                match response.accepted().filter(|_| newer) {
                    Some(accepted) => *met = Some(accepted),
                    None => {
                        let Some(met) = met.clone() else { return };
                        (response.accepted_number, response.value) = (met.number, Some(met.value));
                    }
                }
            }
            _ => {}
        }
    }

    fn post(&self, state: &mut State, operation: usize, step: Step) {
        let requests = step.requests.into_iter();
        let messages = requests.map(|AddressedRequest { member, request }| Message::Request {
            operation,
            member,
            request,
        });
        state.messages.extend(messages);
        state.waiting[operation] |= step.is_contended;
        if let Some(outcome) = step.outcome {
            self.ended(state, operation, outcome);
        }
        // What is answered to an operation that has ended is heard by nobody.
        let done: Vec<bool> = state.operations.iter().map(Operation::is_done).collect();
        state.messages.retain(|m| !matches!(m, Message::Response { operation, .. } if done[*operation]));
        state.messages.sort();
        state.messages.dedup();
    }

    fn ended(&self, state: &mut State, operation: usize, outcome: Outcome) {
        let chosen = match (outcome, self.plans[operation]) {
            (Outcome::Read(chosen), _) => {
                state.acknowledged.read(state.floors[operation], &chosen);
                chosen
            }
            (Outcome::Written(standing, chosen), Plan::Write(version, text)) => {
                state.acknowledged.written((version, text.into()), standing, &chosen);
                chosen
            }
            _ => return,
        };
        self.learn(state, operation, chosen);
    }

    /// The replica beside the proposer takes over what it knows to be chosen.
    fn learn(&self, state: &mut State, operation: usize, ChosenProposal { epoch, accepted }: ChosenProposal) {
        if !matches!(self.without, Without::DecidedDigests) {
            state.replicas[self.home(operation)].handle(&Request::Learn { epoch, accepted });
        }
    }

    /// The next members are installed as soon as one replica has accepted the seal.
    fn install_at_once(state: &mut State, at: usize, operation: usize, request: &Request) {
        let Request::Accept { next_membership: Some(next), .. } = request else { return };
        let (membership, value) = (next.clone(), state.replicas[at].state().accepted.value.clone());
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
                let at: usize = member.address.as_str().parse().ok()?;
                let response = self.handle(state, at, &request);
                if self.without == Without::SealBeforeInstall && response.rejection.is_none() {
                    Self::install_at_once(state, at, operation, &request);
                }
                state.messages.push(Message::Response { operation, request, response });
                self.post(state, operation, Step::default());
            }
            Message::Response { operation, request, mut response } => {
                self.tamper(state, operation, &request, &mut response);
                let step = state.operations[operation].handle(&request, response);
                self.post(state, operation, step);
            }
        }
        Some(())
    }
}

impl State {
    fn newest_membership(&self) -> Membership {
        let known = self.replicas.iter().map(|r| &r.state().membership);
        known.max_by_key(|m| m.epoch).cloned().unwrap_or_default()
    }

    /// The last change of the membership is over: all members hold the state of their epoch.
    fn is_settled(&self) -> bool {
        let newest = self.newest_membership();
        let holds = |m: &Member| {
            self.replicas.iter().any(|r| r.state().disk == m.disk && r.state().membership == newest)
        };
        newest.members.iter().all(holds)
    }

    /// Of each epoch, so few members would decide in it without knowing this version that no majority does. One that
    /// has accepted the seal of its epoch decides nothing more in it.
    fn is_held(&self, version: u64) -> bool {
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
        let many = self.plans.len();
        let empty = |n: usize| match n < self.members {
            true => Replica::empty(format!("d{n}").into(), self.first()),
            false => Replica::empty(format!("d{n}").into(), Membership::default()),
        };
        vec![State {
            replicas: (0..self.members + self.spares).map(empty).collect(),
            operations: (0..many).map(|n| self.operation(n, self.first())).collect(),
            begun: 0,
            waiting: vec![false; many],
            messages: Vec::new(),
            wipes: self.wipes,
            repeats: self.repeats,
            tries: self.tries,
            acknowledged: Acknowledgements::default(),
            floors: vec![0; many],
            met: vec![None; many],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.begun < self.plans.len() {
            actions.push(Action::Begin(false));
            if state.newest_membership().epoch > 1 {
                actions.push(Action::Begin(true));
            }
        }
        actions.extend((0..state.messages.len()).map(Action::Deliver));
        if state.repeats > 0 {
            actions.extend((0..state.messages.len()).map(Action::Repeat));
        }
        if state.tries > 0 {
            let waiting = state.waiting.iter().enumerate().filter(|(_, waiting)| **waiting);
            actions.extend(waiting.map(|(operation, _)| Action::Again(operation)));
        }
        // One loss is borne at once: the next may come when the last one has been made good.
        if state.wipes > 0 && state.is_settled() {
            actions.extend((0..self.members + self.spares).map(Action::Wipe));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begin(newest) => {
                let n = state.begun;
                let membership = if newest { state.newest_membership() } else { self.first() };
                let own = state.replicas[self.home(n)].state();
                state.operations[n] = match self.without {
                    Without::SealInRead => self.operation(n, membership),
                    _ => self.operation(n, membership).with_local_state(own),
                };
                state.begun += 1;
                state.floors[n] = state.acknowledged.newest;
                let step = state.operations[n].start();
                self.post(&mut state, n, step);
            }
            Action::Again(n) => {
                (state.waiting[n], state.tries) = (false, state.tries - 1);
                let step = state.operations[n].retry();
                self.post(&mut state, n, step);
            }
            Action::Wipe(n) => {
                state.wipes -= 1;
                let state = &mut state.replicas[n];
                let disk = state.state().disk.clone();
                *state = match self.without {
                    Without::NewName => Replica::empty(disk, self.first()),
                    _ => Replica::empty(format!("{disk}-new").into(), Membership::default()),
                };
            }
            Action::Repeat(at) => {
                state.repeats -= 1;
                let message = state.messages[at].clone();
                self.deliver(&mut state, message)?;
            }
            Action::Deliver(at) => {
                let message = state.messages.remove(at);
                self.deliver(&mut state, message)?;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a majority holds what was told", |_, state: &State| {
                state.is_held(state.acknowledged.newest)
            }),
            Property::always("a read finds what was told before it began", |_, state: &State| {
                !state.acknowledged.is_behind
            }),
            Property::always("a version has one text", |_, state: &State| !state.acknowledged.has_two_texts),
            Property::always("nothing is both acknowledged and refused", |_, state: &State| {
                !state.acknowledged.says_both
            }),
            Property::always("an epoch has one membership", |_, state: &State| {
                let all = || state.replicas.iter().map(|r| &r.state().membership);
                all().all(|a| all().all(|b| a.epoch != b.epoch || a == b))
            }),
        ]
    }
}

impl Register {
    fn of(members: usize, plans: &[Plan]) -> Self {
        let plans = plans.to_vec();
        Register { members, spares: 1, plans, wipes: 0, repeats: 0, tries: 0, without: Without::Nothing }
    }

    fn without(&self, without: Without) -> Self {
        Register { without, ..self.clone() }
    }

    /// Explores to this depth; what is broken, and the number of states.
    fn explore(self, depth: usize) -> (Vec<&'static str>, usize) {
        let checker = self.checker().threads(THREADS).target_max_depth(depth);
        let checker = checker.finish_when(HasDiscoveries::Any).spawn_bfs().join();
        (checker.discoveries().into_keys().collect(), checker.unique_state_count())
    }

    /// Nothing is broken in any of so many states at least.
    fn holds(self, depth: usize, least: usize) {
        let (broken, states) = self.explore(depth);
        println!("{states} states, depth {depth}");
        assert!(broken.is_empty() && states >= least, "{broken:?}, {states} states");
    }

    /// The run is found that breaks one of these.
    fn breaks(self, depth: usize, expected: &[&str]) {
        let without = self.without;
        let (broken, states) = self.explore(depth);
        println!("without {without:?}: {broken:?} after {states} states");
        assert!(broken.iter().any(|b| expected.contains(b)), "{broken:?} after {states} states");
    }
}

const THREADS: usize = 4;

const WRITTEN: [Plan; 2] = [Plan::Write(1, "a"), Plan::Read];
const REPLACED: [Plan; 3] = [Plan::Write(1, "a"), Plan::Change(&["d1", "d2", "d3"]), Plan::Read];
/// Two texts under one version.
const RACE: [Plan; 2] = [Plan::Write(1, "a"), Plan::Write(1, "b")];
/// A membership of one disk gives way to one of another, beside a write and a read.
const HANDED_OVER: [Plan; 3] = [Plan::Write(1, "a"), Plan::Change(&["d1"]), Plan::Read];
const SEALED: [Plan; 3] = [Plan::Change(&["d1"]), Plan::Write(1, "a"), Plan::Read];

const HELD: &str = "a majority holds what was told";
const READ: &str = "a read finds what was told before it began";
const ONE_TEXT: &str = "a version has one text";
const ONE_MEMBERSHIP: &str = "an epoch has one membership";

/// With all guards nothing is broken at this depth; without this one it is.
fn needs(guard: Without, register: Register, depth: usize, broken: &[&str]) {
    register.without(Without::Nothing).holds(depth, 1);
    register.without(guard).breaks(depth, broken);
}

#[test]
fn no_older_ballot_is_accepted() {
    needs(Without::BallotCheck, Register::of(2, &RACE), 24, &[ONE_TEXT]);
}

#[test]
fn a_promise_only_rises() {
    needs(Without::PromiseRises, Register { repeats: 2, ..Register::of(1, &RACE) }, 20, &[ONE_TEXT]);
}

#[test]
fn the_highest_accepted_value_is_taken_on() {
    needs(Without::Adopt, Register { tries: 1, ..Register::of(2, &RACE) }, 24, &[ONE_TEXT]);
}

#[test]
fn no_two_operations_share_a_ballot() {
    needs(Without::UniqueBallots, Register::of(2, &RACE), 24, &[ONE_TEXT]);
}

#[test]
fn a_sealed_epoch_takes_no_writes() {
    needs(Without::Seal, Register::of(1, &SEALED), 24, &[READ, HELD, ONE_MEMBERSHIP]);
}

#[test]
fn a_read_does_not_end_in_a_sealed_epoch() {
    needs(Without::SealInRead, Register::of(1, &SEALED), 24, &[READ]);
}

#[test]
fn the_epoch_is_sealed_before_the_next_members_are_installed() {
    let plans = [Plan::Change(&["d0"]), Plan::Write(1, "a")];
    needs(Without::SealBeforeInstall, Register::of(3, &plans), 14, &[HELD]);
}

#[test]
fn the_next_members_are_given_the_state() {
    needs(Without::HandOver, Register::of(1, &HANDED_OVER), 24, &[READ, HELD]);
}

#[test]
fn a_member_votes_only_with_the_state_of_its_epoch() {
    let plans = [Plan::Write(1, "a"), Plan::Change(&["d1", "d2", "d3"]), Plan::Read];
    needs(Without::VoteWithState, Register { spares: 3, ..Register::of(1, &plans) }, 16, &[READ, HELD]);
}

#[test]
fn a_wiped_disk_does_not_vote_for_what_it_forgot() {
    needs(Without::NewName, Register { wipes: 1, spares: 0, ..Register::of(3, &WRITTEN) }, 15, &[READ, HELD]);
}

#[test]
fn a_read_makes_whole_what_only_some_hold() {
    needs(Without::WriteBack, Register::of(3, &WRITTEN), 14, &[READ, HELD]);
}

#[test]
fn the_texts_of_older_versions_are_remembered() {
    let plans = [Plan::Write(1, "a"), Plan::Write(2, "c"), Plan::Write(1, "b"), Plan::Write(1, "a")];
    needs(Without::DecidedDigests, Register::of(1, &plans), 20, &[ONE_TEXT]);
}

/// Two operators race, a newer order follows, and the first one comes again.
const SENT_AGAIN: [Plan; 4] =
    [Plan::Write(1, "a"), Plan::Write(1, "b"), Plan::Write(2, "c"), Plan::Write(1, "a")];
/// Two proposers want different members at once.
const TWO_CHANGES: [Plan; 4] =
    [Plan::Change(&["d0"]), Plan::Change(&["d1", "d2"]), Plan::Write(1, "a"), Plan::Read];
/// The same changes, with nothing written beside them.
const TWO_CHANGES_ALONE: [Plan; 2] = [Plan::Change(&["d0"]), Plan::Change(&["d1", "d2"])];
/// A wiped disk comes back under its old address and takes its own place.
const RENEWED: [Plan; 3] = [Plan::Write(1, "a"), Plan::Change(&["d0-new", "d1", "d2"]), Plan::Read];
/// One is replaced, then another; both leave behind what they had.
const REPLACED_TWICE: [Plan; 4] = [
    Plan::Write(1, "a"),
    Plan::Change(&["d1", "d2", "d3"]),
    Plan::Change(&["d2", "d3", "d0-new"]),
    Plan::Read,
];
const LEFT: [Plan; 4] = [Plan::Write(1, "a"), Plan::Change(&["d0", "d1"]), Plan::Write(1, "b"), Plan::Read];

/// What is explored beyond the guards: its name, the register, the depth and the least number of states in continuous
/// integration, and the depth by hand. A depth of 99 is beyond the last event of all runs.
fn scenarios() -> Vec<(&'static str, Register, usize, usize, usize)> {
    vec![
        ("a race", Register { tries: 1, ..Register::of(2, &RACE) }, 99, 20_000, 99),
        ("a race, repeated", Register { tries: 2, repeats: 1, ..Register::of(2, &RACE) }, 14, 10_000, 99),
        ("a race of three", Register { tries: 1, ..Register::of(3, &RACE) }, 14, 50_000, 16),
        ("sent again, one disk", Register { tries: 2, ..Register::of(1, &SENT_AGAIN) }, 99, 300_000, 99),
        ("sent again, two disks", Register { tries: 1, ..Register::of(2, &SENT_AGAIN) }, 12, 50_000, 16),
        ("two changes", Register { tries: 1, ..Register::of(2, &TWO_CHANGES) }, 12, 50_000, 16),
        ("two changes alone", Register::of(2, &TWO_CHANGES_ALONE), 22, 500, 99),
        ("replaced", Register::of(3, &REPLACED), 13, 20_000, 15),
        ("renewed", Register { wipes: 1, ..Register::of(3, &RENEWED) }, 10, 80_000, 12),
        ("replaced twice", Register { wipes: 1, ..Register::of(3, &REPLACED_TWICE) }, 9, 40_000, 12),
        ("left", Register { wipes: 1, tries: 1, ..Register::of(3, &LEFT) }, 9, 40_000, 12),
    ]
}

#[test]
fn nothing_is_broken_with_all_guards() {
    for (name, register, depth, least, _) in scenarios() {
        println!("{name}:");
        register.holds(depth, least);
    }
}

/// By hand: `cargo test --release -p ashvane-quorum --test model -- --ignored --nocapture`.
#[test]
#[ignore = "some tens of millions of states take a quarter of an hour"]
fn nothing_is_broken_further_on() {
    for (name, register, _, least, depth) in scenarios() {
        println!("{name}:");
        register.holds(depth, least);
    }
}
