//! Every order of events, to the end, of a write, a change of the set and a read over a few disks: messages late,
//! lost and in any order, a disk wiped anywhere. The functions are those that run. With one guard taken out, the
//! checker must find the run that breaks the register.

use std::sync::Arc;

use ashvane_quorum::{Ask, Member, Membership, Operation, Outcome, Replica, StoredConfig, Told};
use stateright::{Checker as _, HasDiscoveries, Model, Property};

/// What is taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// A disk that has voted for the next set takes writes for this one all the same.
    Seal,
    /// An older ballot is accepted after a newer one was promised.
    Promise,
    /// What the old set held is not handed to the new one.
    HandOver,
    /// A wiped disk comes back under its old name.
    NewName,
    /// A read takes what some hold for what a majority holds.
    WriteBack,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Ask { operation: usize, member: Member, ask: Ask },
    Told { operation: usize, ask: Ask, told: Told },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    replicas: Vec<Replica>,
    operations: Vec<Operation>,
    begun: Vec<bool>,
    messages: Vec<Message>,
    wipes: u8,
    /// The newest version that was acknowledged, at all and when each operation began.
    held: u64,
    floors: Vec<u64>,
    /// What each operation found.
    found: Vec<Option<u64>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    /// Whether it knows the newest set that any disk knows, or only the first one.
    Begin(usize, bool),
    Deliver(usize),
    Lose(usize),
    Wipe(usize),
}

struct Register {
    /// The first set's disks, and one that waits beside them.
    membership: usize,
    operations: Vec<Plan>,
    wipes: u8,
    losses: bool,
    without: Without,
}

#[derive(Clone, Copy)]
enum Plan {
    Write(u64),
    Read,
    /// To the set without its first disk, with the one that waits.
    Change,
    /// To the set without its last disk.
    Shrink,
}

fn member(number: usize) -> Member {
    Member { disk: format!("d{number}").into(), address: format!("{number}") }
}

impl Register {
    fn first(&self) -> Membership {
        Membership::new(1, (0..self.membership).map(member).collect())
    }

    fn operation(&self, number: usize, plan: Plan, membership: Membership) -> Operation {
        let by: Arc<str> = format!("q{number}").into();
        match plan {
            Plan::Write(version) => {
                Operation::write(by, membership, StoredConfig { version, text: format!("v{version}").into() })
            }
            Plan::Read => Operation::read(by, membership, None),
            Plan::Change => {
                Operation::change(by, membership, Some((1..=self.membership).map(member).collect()))
            }
            Plan::Shrink => {
                Operation::change(by, membership, Some((0..self.membership - 1).map(member).collect()))
            }
        }
    }

    /// A disk's answer, with the guard taken out.
    fn asked(&self, replica: &mut Replica, ask: &Ask) -> Told {
        let kept = replica.kept().clone();
        let bare = |replica: &Replica, strip: &dyn Fn(&mut ashvane_quorum::ReplicaState)| {
            let mut kept = replica.kept().clone();
            strip(&mut kept);
            Replica::restored(kept, replica.stored().cloned())
        };
        match (self.without, ask) {
            (Without::Seal, Ask::Write { .. }) => {
                let mut open = bare(replica, &|kept| kept.accepted = None);
                let told = open.asked(ask).0;
                *replica = Replica::restored(kept, open.stored().cloned());
                told
            }
            (Without::Promise, Ask::Accept { .. }) => {
                let mut open = bare(replica, &|kept| kept.promised = Default::default());
                let told = open.asked(ask).0;
                *replica = open;
                told
            }
            (Without::HandOver, Ask::Install { membership, .. }) => {
                replica.asked(&Ask::Install { membership: membership.clone(), stored: None }).0
            }
            _ => replica.asked(ask).0,
        }
    }

    fn post(state: &mut State, operation: usize, asks: Vec<(Member, Ask)>) {
        let asks = asks.into_iter().map(|(member, ask)| Message::Ask { operation, member, ask });
        state.messages.extend(asks);
        state.messages.sort();
        state.messages.dedup();
    }
}

impl Model for Register {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let replicas = (0..=self.membership).map(|n| Replica::empty(member(n).disk, self.first())).collect();
        let operations = self.operations.iter().enumerate().map(|(n, p)| self.operation(n, *p, self.first()));
        let operations: Vec<Operation> = operations.collect();
        let many = operations.len();
        vec![State {
            replicas,
            operations,
            begun: vec![false; many],
            messages: Vec::new(),
            wipes: self.wipes,
            held: 0,
            floors: vec![0; many],
            found: vec![None; many],
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        // In their order: what comes later may begin any time after what came first.
        if let Some(next) = state.begun.iter().position(|begun| !begun) {
            actions.push(Action::Begin(next, false));
            if state.replicas.iter().any(|c| c.kept().membership.epoch > 1) {
                actions.push(Action::Begin(next, true));
            }
        }
        actions.extend((0..state.messages.len()).map(Action::Deliver));
        if self.losses {
            actions.extend((0..state.messages.len()).map(Action::Lose));
        }
        if state.wipes > 0 {
            actions.extend((0..self.membership).map(Action::Wipe));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begin(n, newest) => {
                if newest {
                    let membership =
                        state.replicas.iter().map(|c| &c.kept().membership).max_by_key(|s| s.epoch);
                    state.operations[n] =
                        self.operation(n, self.operations[n], membership.cloned().unwrap_or_default());
                }
                state.begun[n] = true;
                state.floors[n] = state.held;
                let asks = state.operations[n].begin();
                Self::post(&mut state, n, asks);
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
                Message::Ask { operation, member, ask } => {
                    let number: usize = member.address.parse().ok()?;
                    let told = self.asked(&mut state.replicas[number], &ask);
                    state.messages.push(Message::Told { operation, ask, told });
                    state.messages.sort();
                }
                Message::Told { operation, ask, mut told } => {
                    if self.without == Without::WriteBack && matches!(ask, Ask::Read { .. }) {
                        told.accepted = None;
                    }
                    let (asks, outcome) = state.operations[operation].told(&ask, told);
                    match (outcome, &self.operations[operation]) {
                        (Some(Outcome::Held), Plan::Write(version)) => state.held = state.held.max(*version),
                        (Some(Outcome::Found(found)), _) => {
                            state.found[operation] = Some(found.map_or(0, |f| f.version));
                        }
                        _ => {}
                    }
                    Self::post(&mut state, operation, asks);
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
            Property::always("an epoch has one set", |_, state: &State| {
                let sets: Vec<&Membership> = state.replicas.iter().map(|c| &c.kept().membership).collect();
                sets.iter().all(|a| sets.iter().all(|b| a.epoch != b.epoch || a == b))
            }),
        ]
    }
}

fn check(register: Register, depth: usize) -> (Option<&'static str>, usize) {
    let checker = register.checker().threads(4).target_max_depth(depth);
    let checker = checker.finish_when(HasDiscoveries::Any).spawn_bfs().join();
    (checker.discoveries().keys().next().copied(), checker.unique_state_count())
}

fn plain(operations: Vec<Plan>) -> Register {
    Register { membership: 3, operations, wipes: 0, losses: false, without: Without::Nothing }
}

#[test]
fn a_write_beside_a_change_of_the_set_is_read_afterwards() {
    let operations = vec![Plan::Write(1), Plan::Change, Plan::Read];
    let (broken, states) = check(plain(operations), 13);
    assert_eq!(broken, None);
    assert!(states > 20_000, "{states} states");
}

#[test]
fn a_wiped_disk_does_not_vote_for_what_it_forgot() {
    let operations = || vec![Plan::Write(1), Plan::Read];
    let (broken, states) = check(Register { wipes: 1, ..plain(operations()) }, 16);
    assert!(broken.is_none() && states > 2_000, "{broken:?}, {states} states");
    let (broken, _) = check(Register { wipes: 1, without: Without::NewName, ..plain(operations()) }, 16);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_seal_a_write_is_lost_in_the_change() {
    let operations = vec![Plan::Change, Plan::Write(1), Plan::Read];
    let (broken, _) = check(Register { membership: 1, without: Without::Seal, ..plain(operations) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_hand_over_the_new_set_knows_nothing() {
    let operations = || vec![Plan::Write(1), Plan::Change, Plan::Read];
    let (broken, _) = check(Register { membership: 1, ..plain(operations()) }, 24);
    assert_eq!(broken, None);
    let (broken, _) =
        check(Register { membership: 1, without: Without::HandOver, ..plain(operations()) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_promise_an_epoch_gets_two_sets() {
    let operations = || vec![Plan::Shrink, Plan::Change];
    let (broken, _) = check(Register { membership: 2, ..plain(operations()) }, 22);
    assert_eq!(broken, None);
    let (broken, _) = check(Register { membership: 2, without: Without::Promise, ..plain(operations()) }, 22);
    assert_eq!(broken, Some("an epoch has one set"));
}

#[test]
fn a_read_that_overlooks_a_change_misses_what_came_after_it() {
    let operations = || vec![Plan::Change, Plan::Write(1), Plan::Read];
    let (broken, _) = check(Register { membership: 1, ..plain(operations()) }, 24);
    assert_eq!(broken, None);
    let (broken, _) =
        check(Register { membership: 1, without: Without::WriteBack, ..plain(operations()) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}
