//! Every order of events, to the end, of writes, changes of the membership and reads over a few disks: messages late,
//! lost and in any order, a disk wiped anywhere. The functions are those that run. With one guard taken out, the
//! checker must find the run that breaks the register.

use std::sync::Arc;

use ashvane_quorum::{
    Accepted, Ballot, Member, Membership, Operation, Outcome, Replica, ReplicaState, Request, Response,
    Standing, Step, StoredConfig, TextDigest,
};
use stateright::{Checker as _, HasDiscoveries, Model, Property};

/// What is taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A proposer overlooks that the epoch is sealed, and goes on writing in it.
    Seal,
    /// An older ballot is accepted after a newer one was promised.
    Promise,
    /// What the old members held is not handed to the new ones.
    HandOver,
    /// A wiped disk comes back under its old name.
    NewName,
    /// A read overlooks that the epoch is sealed.
    SealInRead,
    /// A proposer overlooks what others have accepted.
    Adopt,
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
    begun: Vec<bool>,
    /// Operations that wait to try again.
    waiting: Vec<bool>,
    messages: Vec<Message>,
    wipes: u8,
    /// The newest version that was acknowledged, at all and when each operation began.
    held: u64,
    floors: Vec<u64>,
    /// Every text that was acknowledged or read, with its version.
    told: Vec<StoredConfig>,
    /// What each read found.
    found: Vec<Option<u64>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Whether it knows the newest membership that any disk knows, or only the first one.
    Begin(usize, bool),
    Again(usize),
    Deliver(usize),
    Lose(usize),
    Wipe(usize),
}

struct Register {
    /// The first members, beside whom one disk waits.
    members: usize,
    plans: Vec<Plan>,
    wipes: u8,
    losses: bool,
    without: Without,
}

#[derive(Clone, Copy)]
enum Plan {
    /// Of this version, with this text.
    Write(u64, &'static str),
    Read,
    /// To the members without the first one, with the one that waits.
    Replace,
    /// To the members without the last one.
    Shrink,
}

fn member(number: usize) -> Member {
    Member { disk: format!("d{number}").into(), address: format!("{number}") }
}

fn config(version: u64, text: &str) -> StoredConfig {
    StoredConfig { version, digest: TextDigest::of(text.as_bytes()), text: text.into() }
}

impl Register {
    fn first(&self) -> Membership {
        Membership::new(1, (0..self.members).map(member).collect())
    }

    fn operation(&self, number: usize, membership: Membership) -> Operation {
        let name: Arc<str> = format!("o{number}").into();
        match self.plans[number] {
            Plan::Write(version, text) => Operation::write(name, membership, config(version, text)),
            Plan::Read => Operation::read(name, membership),
            Plan::Replace => Operation::change(name, membership, (1..=self.members).map(member).collect()),
            Plan::Shrink => Operation::change(name, membership, (0..self.members - 1).map(member).collect()),
        }
    }

    /// A replica's answer, with the guard taken out.
    fn handle(&self, replica: &mut Replica, request: &Request) -> Response {
        let bare = |replica: &Replica, strip: &dyn Fn(&mut ReplicaState)| {
            let mut state = replica.state().clone();
            strip(&mut state);
            Replica::restored(state)
        };
        match (self.without, request) {
            (Without::Promise, Request::Accept { ballot, .. }) => {
                // It forgets what it has promised, and the ballot of what it has accepted where that is higher.
                *replica = bare(replica, &|state| {
                    state.promised = Ballot::default();
                    if state.accepted.ballot > *ballot {
                        state.accepted.ballot = Ballot::default();
                    }
                });
                replica.handle(request).0
            }
            (Without::HandOver, Request::Install { membership, .. }) => {
                let accepted = Accepted::default();
                replica.handle(&Request::Install { membership: membership.clone(), accepted }).0
            }
            (Without::Adopt, Request::Prepare { .. }) => {
                let mut response = replica.handle(request).0;
                (response.ballot, response.value) = (Ballot::default(), Some(Arc::default()));
                response
            }
            _ => replica.handle(request).0,
        }
    }

    fn post(state: &mut State, operation: usize, step: &Step) {
        let requests = step.requests.iter().cloned();
        let messages = requests.map(|(member, request)| Message::Request { operation, member, request });
        state.messages.extend(messages);
        state.messages.sort();
        state.messages.dedup();
        state.waiting[operation] |= step.back_off;
    }

    fn ended(&self, state: &mut State, operation: usize, outcome: Outcome) {
        match outcome {
            Outcome::Written(standing, chosen) => {
                let Plan::Write(version, text) = self.plans[operation] else { return };
                if standing == Standing::Held {
                    state.held = state.held.max(version);
                    state.told.push(config(version, text));
                }
                state.told.extend(chosen.config().cloned());
            }
            Outcome::Found(chosen) => {
                state.found[operation] = Some(chosen.config().map_or(0, |c| c.version));
                state.told.extend(chosen.config().cloned());
            }
            Outcome::Changed(_) => {}
        }
        state.told.sort();
        state.told.dedup();
    }
}

impl Model for Register {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let many = self.plans.len();
        vec![State {
            replicas: (0..=self.members).map(|n| Replica::empty(member(n).disk, self.first())).collect(),
            operations: (0..many).map(|n| self.operation(n, self.first())).collect(),
            begun: vec![false; many],
            waiting: vec![false; many],
            messages: Vec::new(),
            wipes: self.wipes,
            held: 0,
            floors: vec![0; many],
            told: Vec::new(),
            found: vec![None; many],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // In their order: what comes later may begin any time after what came first.
        if let Some(next) = state.begun.iter().position(|begun| !begun) {
            actions.push(Action::Begin(next, false));
            if state.replicas.iter().any(|r| r.state().membership.epoch > 1) {
                actions.push(Action::Begin(next, true));
            }
        }
        actions.extend((0..state.messages.len()).map(Action::Deliver));
        let waiting = state.waiting.iter().enumerate().filter(|(_, waiting)| **waiting);
        actions.extend(waiting.map(|(operation, _)| Action::Again(operation)));
        if self.losses {
            actions.extend((0..state.messages.len()).map(Action::Lose));
        }
        if state.wipes > 0 {
            actions.extend((0..self.members).map(Action::Wipe));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begin(n, newest) => {
                if newest {
                    let known = state.replicas.iter().map(|r| &r.state().membership).max_by_key(|m| m.epoch);
                    state.operations[n] = self.operation(n, known.cloned().unwrap_or_default());
                }
                state.begun[n] = true;
                state.floors[n] = state.held;
                let step = state.operations[n].begin();
                Self::post(&mut state, n, &step);
            }
            Action::Again(n) => {
                state.waiting[n] = false;
                let step = state.operations[n].again();
                Self::post(&mut state, n, &step);
            }
            Action::Lose(at) => drop(state.messages.remove(at)),
            Action::Wipe(n) => {
                state.wipes -= 1;
                let name = match self.without {
                    Without::NewName => member(n).disk,
                    _ => format!("d{n}-new").into(),
                };
                state.replicas[n] = Replica::empty(name, self.first());
            }
            Action::Deliver(at) => match state.messages.remove(at) {
                Message::Request { operation, member, request } => {
                    let number: usize = member.address.parse().ok()?;
                    let mut response = self.handle(&mut state.replicas[number], &request);
                    if self.without == Without::Seal {
                        response.next = None;
                    }
                    state.messages.push(Message::Response { operation, request, response });
                    state.messages.sort();
                }
                Message::Response { operation, request, mut response } => {
                    if self.without == Without::SealInRead && matches!(request, Request::Read { .. }) {
                        response.next = None;
                    }
                    let step = state.operations[operation].handle(&request, response);
                    Self::post(&mut state, operation, &step);
                    if let Some(outcome) = step.outcome {
                        self.ended(&mut state, operation, outcome);
                    }
                }
            },
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("what was acknowledged is read", |_, state: &State| {
                state.found.iter().zip(&state.floors).all(|(found, floor)| found.is_none_or(|f| f >= *floor))
            }),
            Property::always("an epoch has one membership", |_, state: &State| {
                let all: Vec<&Membership> = state.replicas.iter().map(|r| &r.state().membership).collect();
                all.iter().all(|a| all.iter().all(|b| a.epoch != b.epoch || a == b))
            }),
            Property::always("a version has one text", |_, state: &State| {
                state.told.iter().all(|a| state.told.iter().all(|b| a.version != b.version || a == b))
            }),
        ]
    }
}

fn check(register: Register, depth: usize) -> (Option<&'static str>, usize) {
    let checker = register.checker().threads(4).target_max_depth(depth);
    let checker = checker.finish_when(HasDiscoveries::Any).spawn_bfs().join();
    (checker.discoveries().keys().next().copied(), checker.unique_state_count())
}

fn plain(members: usize, plans: Vec<Plan>) -> Register {
    Register { members, plans, wipes: 0, losses: false, without: Without::Nothing }
}

#[test]
fn a_write_beside_a_change_of_the_membership_is_read_afterwards() {
    let plans = vec![Plan::Write(1, "a"), Plan::Replace, Plan::Read];
    let (broken, states) = check(plain(3, plans), 13);
    assert_eq!(broken, None);
    assert!(states > 20_000, "{states} states");
}

#[test]
fn of_two_texts_under_one_version_one_is_acknowledged() {
    let plans = || vec![Plan::Write(1, "a"), Plan::Write(1, "b")];
    let (broken, states) = check(plain(2, plans()), 24);
    assert!(broken.is_none() && states > 2_000, "{broken:?}, {states} states");
    let (broken, _) = check(Register { without: Without::Adopt, ..plain(2, plans()) }, 24);
    assert_eq!(broken, Some("a version has one text"));
}

#[test]
fn a_wiped_disk_does_not_vote_for_what_it_forgot() {
    let plans = || vec![Plan::Write(1, "a"), Plan::Read];
    let (broken, states) = check(Register { wipes: 1, ..plain(3, plans()) }, 15);
    assert!(broken.is_none() && states > 2_000, "{broken:?}, {states} states");
    let (broken, _) = check(Register { wipes: 1, without: Without::NewName, ..plain(3, plans()) }, 18);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_seal_a_write_is_lost_in_the_change() {
    let plans = || vec![Plan::Replace, Plan::Write(1, "a"), Plan::Read];
    let (broken, _) = check(plain(1, plans()), 24);
    assert_eq!(broken, None);
    let (broken, _) = check(Register { without: Without::Seal, ..plain(1, plans()) }, 24);
    assert!(broken.is_some());
}

#[test]
fn without_the_hand_over_the_new_members_know_nothing() {
    let plans = || vec![Plan::Write(1, "a"), Plan::Replace, Plan::Read];
    let (broken, _) = check(plain(1, plans()), 24);
    assert_eq!(broken, None);
    let (broken, _) = check(Register { without: Without::HandOver, ..plain(1, plans()) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_promise_an_epoch_gets_two_memberships() {
    let plans = || vec![Plan::Shrink, Plan::Replace];
    let (broken, _) = check(plain(2, plans()), 22);
    assert_eq!(broken, None);
    let (broken, _) = check(Register { without: Without::Promise, ..plain(2, plans()) }, 22);
    assert_eq!(broken, Some("an epoch has one membership"));
}

#[test]
fn a_read_that_overlooks_a_change_misses_what_came_after_it() {
    let plans = || vec![Plan::Replace, Plan::Write(1, "a"), Plan::Read];
    let (broken, _) = check(Register { without: Without::SealInRead, ..plain(1, plans()) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}
