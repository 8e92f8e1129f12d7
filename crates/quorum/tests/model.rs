//! Every order of events, to the end, of a write, a change of the set and a read over a few disks: messages late,
//! lost and in any order, a disk wiped anywhere. The functions are those that run. With one guard taken out, the
//! checker must find the run that breaks the register.

use std::sync::Arc;

use ashvane_quorum::{Ask, Cell, Filed, Outcome, Quest, Seat, Seats, Told};
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
    Ask { quest: usize, seat: Seat, ask: Ask },
    Told { quest: usize, ask: Ask, told: Told },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    cells: Vec<Cell>,
    quests: Vec<Quest>,
    begun: Vec<bool>,
    messages: Vec<Message>,
    wipes: u8,
    /// The newest version that was acknowledged, at all and when each quest began.
    held: u64,
    floors: Vec<u64>,
    /// What each quest found.
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
    seats: usize,
    quests: Vec<Plan>,
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

fn seat(number: usize) -> Seat {
    Seat { disk: format!("d{number}").into(), address: format!("{number}") }
}

impl Register {
    fn first(&self) -> Seats {
        Seats::new(1, (0..self.seats).map(seat).collect())
    }

    fn quest(&self, number: usize, plan: Plan, seats: Seats) -> Quest {
        let by: Arc<str> = format!("q{number}").into();
        match plan {
            Plan::Write(version) => {
                Quest::write(by, seats, Filed { version, text: format!("v{version}").into() })
            }
            Plan::Read => Quest::read(by, seats, None),
            Plan::Change => Quest::change(by, seats, Some((1..=self.seats).map(seat).collect())),
            Plan::Shrink => Quest::change(by, seats, Some((0..self.seats - 1).map(seat).collect())),
        }
    }

    /// A disk's answer, with the guard taken out.
    fn asked(&self, cell: &mut Cell, ask: &Ask) -> Told {
        let kept = cell.kept().clone();
        let bare = |cell: &Cell, strip: &dyn Fn(&mut ashvane_quorum::Kept)| {
            let mut kept = cell.kept().clone();
            strip(&mut kept);
            Cell::restored(kept, cell.filed().cloned())
        };
        match (self.without, ask) {
            (Without::Seal, Ask::Write { .. }) => {
                let mut open = bare(cell, &|kept| kept.accepted = None);
                let told = open.asked(ask).0;
                *cell = Cell::restored(kept, open.filed().cloned());
                told
            }
            (Without::Promise, Ask::Accept { .. }) => {
                let mut open = bare(cell, &|kept| kept.promised = Default::default());
                let told = open.asked(ask).0;
                *cell = open;
                told
            }
            (Without::HandOver, Ask::Install { seats, .. }) => {
                cell.asked(&Ask::Install { seats: seats.clone(), filed: None }).0
            }
            _ => cell.asked(ask).0,
        }
    }

    fn post(state: &mut State, quest: usize, asks: Vec<(Seat, Ask)>) {
        let asks = asks.into_iter().map(|(seat, ask)| Message::Ask { quest, seat, ask });
        state.messages.extend(asks);
        state.messages.sort();
        state.messages.dedup();
    }
}

impl Model for Register {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let cells = (0..=self.seats).map(|n| Cell::empty(seat(n).disk, self.first())).collect();
        let quests = self.quests.iter().enumerate().map(|(n, p)| self.quest(n, *p, self.first()));
        let quests: Vec<Quest> = quests.collect();
        let many = quests.len();
        vec![State {
            cells,
            quests,
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
            if state.cells.iter().any(|c| c.kept().seats.epoch > 1) {
                actions.push(Action::Begin(next, true));
            }
        }
        actions.extend((0..state.messages.len()).map(Action::Deliver));
        if self.losses {
            actions.extend((0..state.messages.len()).map(Action::Lose));
        }
        if state.wipes > 0 {
            actions.extend((0..self.seats).map(Action::Wipe));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Begin(n, newest) => {
                if newest {
                    let seats = state.cells.iter().map(|c| &c.kept().seats).max_by_key(|s| s.epoch);
                    state.quests[n] = self.quest(n, self.quests[n], seats.cloned().unwrap_or_default());
                }
                state.begun[n] = true;
                state.floors[n] = state.held;
                let asks = state.quests[n].begin();
                Self::post(&mut state, n, asks);
            }
            Action::Lose(at) => drop(state.messages.remove(at)),
            Action::Wipe(n) => {
                state.wipes -= 1;
                let name = match self.without {
                    Without::NewName => seat(n).disk,
                    _ => format!("d{n}-new").into(),
                };
                state.cells[n] = Cell::empty(name, self.first());
            }
            Action::Deliver(at) => match state.messages.remove(at) {
                Message::Ask { quest, seat, ask } => {
                    let number: usize = seat.address.parse().ok()?;
                    let told = self.asked(&mut state.cells[number], &ask);
                    state.messages.push(Message::Told { quest, ask, told });
                    state.messages.sort();
                }
                Message::Told { quest, ask, mut told } => {
                    if self.without == Without::WriteBack && matches!(ask, Ask::Read { .. }) {
                        told.accepted = None;
                    }
                    let (asks, outcome) = state.quests[quest].told(&ask, told);
                    match (outcome, &self.quests[quest]) {
                        (Some(Outcome::Held), Plan::Write(version)) => state.held = state.held.max(*version),
                        (Some(Outcome::Found(found)), _) => {
                            state.found[quest] = Some(found.map_or(0, |f| f.version));
                        }
                        _ => {}
                    }
                    Self::post(&mut state, quest, asks);
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
                let sets: Vec<&Seats> = state.cells.iter().map(|c| &c.kept().seats).collect();
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

fn plain(quests: Vec<Plan>) -> Register {
    Register { seats: 3, quests, wipes: 0, losses: false, without: Without::Nothing }
}

#[test]
fn a_write_beside_a_change_of_the_set_is_read_afterwards() {
    let quests = vec![Plan::Write(1), Plan::Change, Plan::Read];
    let (broken, states) = check(plain(quests), 13);
    assert_eq!(broken, None);
    assert!(states > 20_000, "{states} states");
}

#[test]
fn a_wiped_disk_does_not_vote_for_what_it_forgot() {
    let quests = || vec![Plan::Write(1), Plan::Read];
    let (broken, states) = check(Register { wipes: 1, ..plain(quests()) }, 16);
    assert!(broken.is_none() && states > 2_000, "{broken:?}, {states} states");
    let (broken, _) = check(Register { wipes: 1, without: Without::NewName, ..plain(quests()) }, 16);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_seal_a_write_is_lost_in_the_change() {
    let quests = vec![Plan::Change, Plan::Write(1), Plan::Read];
    let (broken, _) = check(Register { seats: 1, without: Without::Seal, ..plain(quests) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_hand_over_the_new_set_knows_nothing() {
    let quests = || vec![Plan::Write(1), Plan::Change, Plan::Read];
    let (broken, _) = check(Register { seats: 1, ..plain(quests()) }, 24);
    assert_eq!(broken, None);
    let (broken, _) = check(Register { seats: 1, without: Without::HandOver, ..plain(quests()) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}

#[test]
fn without_the_promise_an_epoch_gets_two_sets() {
    let quests = || vec![Plan::Shrink, Plan::Change];
    let (broken, _) = check(Register { seats: 2, ..plain(quests()) }, 22);
    assert_eq!(broken, None);
    let (broken, _) = check(Register { seats: 2, without: Without::Promise, ..plain(quests()) }, 22);
    assert_eq!(broken, Some("an epoch has one set"));
}

#[test]
fn a_read_that_overlooks_a_change_misses_what_came_after_it() {
    let quests = || vec![Plan::Change, Plan::Write(1), Plan::Read];
    let (broken, _) = check(Register { seats: 1, ..plain(quests()) }, 24);
    assert_eq!(broken, None);
    let (broken, _) = check(Register { seats: 1, without: Without::WriteBack, ..plain(quests()) }, 24);
    assert_eq!(broken, Some("what was acknowledged is read"));
}
