//! All that can happen to some candidates, the keepers' record and a receiver, to a stated depth: messages late, lost,
//! doubled and in any order, processes that stand still anywhere, clocks at both ends of their bound. The functions
//! checked are those that run. With a part of the protection taken out, the checker must find the run that breaks it.

use std::time::Duration;

use ashvane_fleet::roster::Roster;
use ashvane_fleet::{Command, LeaseExpiry, LeaseRecord, Reply};
use ashvane_fleet::{FencingGuard, FencingToken, LeaseParticipant, LeaseTerms, SingletonRole as _};
use stateright::{Checker as _, HasDiscoveries, Model, Property};

const DUTY: &str = Roster::NAME;

/// What is taken out of the protection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Without {
    Nothing,
    /// The receiver's fence.
    FencingGuard,
    /// The margin for clocks that differ.
    Margin,
    /// The comparison, as a take is applied, with what it was judged on.
    Comparison,
    /// The comparison of a write with the epoch that holds.
    WriteComparison,
    /// The owner's look at its own clock: it counts its lease from the answer, not from its question.
    Question,
}

struct Fleet {
    candidates: usize,
    /// How often each candidate may ask.
    asks: u8,
    /// Ticks of true time.
    ticks: u64,
    without: Without,
    /// Whether acts go to the record, as writes, or to a receiver with a fence.
    to_record: bool,
}

/// A tick, and the lease, in milliseconds of true time; a slow clock says one less and a fast one one more.
const TICK: u64 = 10;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// On its way through the keepers' log, with when it was asked for by the candidate's own clock: a take, which
    /// was judged on this epoch and renewals, or a renewal.
    Take {
        from: usize,
        sent: Duration,
        epoch: u64,
        renewals: u64,
    },
    Renew {
        from: usize,
        sent: Duration,
        epoch: u64,
    },
    Answer {
        to: usize,
        sent: Duration,
        granted: Option<u64>,
        fenced: Option<u64>,
    },
    Act {
        epoch: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    participant: LeaseParticipant,
    /// Milliseconds of its clock in a tick.
    rate: u64,
    asked: bool,
    asks: u8,
    /// An act for which it had leave, and which it has not sent yet.
    ready: Option<u64>,
    acted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u64,
    keeper_rate: u64,
    processes: Vec<Process>,
    record: LeaseRecord,
    expiry: LeaseExpiry,
    /// In flight, each with how often it may still be delivered.
    messages: Vec<(Message, u8)>,
    fence: FencingGuard,
    /// Epochs of the acts that took effect, in their order.
    effects: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    Ask(usize),
    /// Looks at its clock and gets leave to act; then sends, whenever that is.
    Check(usize),
    Send(usize),
    Deliver(usize),
}

impl State {
    fn clock(&self, rate: u64) -> Duration {
        Duration::from_millis(self.tick * rate)
    }

    fn send(&mut self, message: Message) {
        self.messages.push((message, 2));
        self.messages.sort();
    }
}

impl Fleet {
    fn terms(&self) -> LeaseTerms {
        let drift = if self.without == Without::Margin { 0.0 } else { 0.1 };
        LeaseTerms { lease: Duration::from_millis(TICK), drift }
    }

    /// What the leading keeper does with a command.
    fn apply(&self, state: &mut State, mut command: Command) -> Reply {
        let lease = state.record.lease(DUTY);
        match &mut command {
            Command::Acquire { epoch, renewals, .. } if self.without == Without::Comparison => {
                (*epoch, *renewals) = (lease.epoch, lease.renewals);
            }
            Command::Write { epoch, .. } if self.without == Without::WriteComparison => *epoch = lease.epoch,
            _ => {}
        }
        let reply = state.record.apply(&command);
        let now = state.clock(state.keeper_rate);
        state.expiry.observe(&state.record, now);
        reply
    }

    fn answer(&self, state: &mut State, to: usize, sent: Duration, reply: &Reply) {
        let (granted, fenced) = match reply {
            Reply::Granted { epoch } => (Some(*epoch), None),
            Reply::Fenced { epoch } => (None, Some(*epoch)),
            _ => return,
        };
        state.send(Message::Answer { to, sent, granted, fenced });
    }

    /// What a candidate or an owner asks: a take is judged by the leading keeper's clock, and goes into the log.
    fn asked(&self, state: &mut State, from: usize, sent: Duration, renews: Option<u64>) {
        let (now, owner) = (state.clock(state.keeper_rate), format!("p{from}"));
        if let Some(epoch) = renews {
            return state.send(Message::Renew { from, sent, epoch });
        }
        match state.expiry.acquire(&state.record, DUTY, &owner, now, &self.terms()) {
            Ok(Command::Acquire { epoch, renewals, .. }) => {
                state.send(Message::Take { from, sent, epoch, renewals })
            }
            Ok(_) => {}
            Err(reply) => self.answer(state, from, sent, &reply),
        }
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Renew { from, sent, epoch } => {
                let owner = format!("p{from}");
                let reply = self.apply(state, Command::Renew { role: DUTY.into(), owner, epoch });
                self.answer(state, from, sent, &reply);
            }
            Message::Take { from, sent, epoch, renewals } => {
                let owner = format!("p{from}");
                let reply = self.apply(state, Command::Acquire { role: DUTY.into(), owner, epoch, renewals });
                self.answer(state, from, sent, &reply);
            }
            Message::Answer { to, sent, granted, fenced } => {
                let now = state.clock(state.processes[to].rate);
                let reply = match (granted, fenced) {
                    (Some(epoch), _) => Reply::Granted { epoch },
                    (_, epoch) => Reply::Fenced { epoch: epoch.unwrap_or_default() },
                };
                let sent = if self.without == Without::Question { now } else { sent };
                state.processes[to].participant.reply_received(sent, &reply, now, &self.terms());
                state.processes[to].asked = false;
            }
            Message::Act { epoch } if self.to_record => {
                let write = Command::Write { role: DUTY.into(), epoch, text: String::new() };
                if matches!(self.apply(state, write), Reply::Written { .. }) {
                    state.effects.push(epoch);
                }
            }
            Message::Act { epoch } => {
                let lets = state.fence.admits(&FencingToken { role: DUTY.into(), epoch });
                if lets || self.without == Without::FencingGuard {
                    state.effects.push(epoch);
                }
            }
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // Every clock at either end: nine or eleven for ten.
        (0..1_u32 << (self.candidates + 1))
            .map(|ends| {
                let rate = |bit: usize| if ends >> bit & 1 == 0 { 9 } else { 11 };
                let process = |i| Process {
                    participant: LeaseParticipant::default(),
                    rate: rate(i),
                    asked: false,
                    asks: 0,
                    ready: None,
                    acted: false,
                };
                State {
                    tick: 0,
                    keeper_rate: rate(self.candidates),
                    processes: (0..self.candidates).map(process).collect(),
                    record: LeaseRecord::default(),
                    expiry: LeaseExpiry::default(),
                    messages: Vec::new(),
                    fence: FencingGuard::default(),
                    effects: Vec::new(),
                }
            })
            .collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.ticks {
            actions.push(Action::Tick);
        }
        for (i, p) in state.processes.iter().enumerate() {
            if !p.asked && p.asks < self.asks {
                actions.push(Action::Ask(i));
            }
            if !p.acted && p.ready.is_none() && p.participant.epoch().is_some() {
                actions.push(Action::Check(i));
            }
            if p.ready.is_some() {
                actions.push(Action::Send(i));
            }
        }
        for at in 0..state.messages.len() {
            // Lost is what is never delivered.
            actions.push(Action::Deliver(at));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => state.tick += 1,
            Action::Ask(i) => {
                let now = state.clock(state.processes[i].rate);
                let process = &mut state.processes[i];
                process.participant.tick(now, &self.terms());
                (process.asked, process.asks) = (true, process.asks + 1);
                let renews = process.participant.epoch();
                self.asked(&mut state, i, now, renews);
            }
            Action::Check(i) => {
                let now = state.clock(state.processes[i].rate);
                let process = &mut state.processes[i];
                let stamp = process.participant.permit::<Roster>(now).and_then(|permit| permit.token(now));
                process.ready = Some(stamp?.epoch);
            }
            Action::Send(i) => {
                let epoch = state.processes[i].ready.take()?;
                state.processes[i].acted = true;
                state.send(Message::Act { epoch });
            }
            Action::Deliver(at) => {
                let (message, times) = state.messages.remove(at);
                if times > 1 {
                    state.messages.push((message.clone(), times - 1));
                    state.messages.sort();
                }
                self.deliver(&mut state, message);
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("one owner at a time", |_, state| {
                let owns = |p: &&Process| p.participant.permit::<Roster>(state.clock(p.rate)).is_some();
                state.processes.iter().filter(owns).count() <= 1
            }),
            Property::<Self>::always("no act after one of a later epoch", |_, state| {
                state.effects.is_sorted()
            }),
            Property::<Self>::sometimes("a second owner acts", |_, state| {
                state.effects.windows(2).any(|w| w[0] < w[1])
            }),
        ]
    }
}

/// Plays all that can happen; which properties the checker found broken, and how many states it saw. With a part of
/// the protection taken out it ends with the first.
fn found(model: Fleet, depth: usize) -> (Vec<&'static str>, usize, bool) {
    let until =
        if model.without == Without::Nothing { HasDiscoveries::All } else { HasDiscoveries::AnyFailures };
    let checker = model.checker().threads(2).target_max_depth(depth).finish_when(until).spawn_bfs().join();
    let broken = ["one owner at a time", "no act after one of a later epoch"];
    let broken = broken.into_iter().filter(|name| checker.discovery(name).is_some()).collect();
    (broken, checker.unique_state_count(), checker.discovery("a second owner acts").is_some())
}

/// Deeper than anything goes where each candidate asks once: all states are seen.
const ALL: usize = 100;

fn fleet(without: Without) -> Fleet {
    Fleet { candidates: 2, asks: 1, ticks: 2, without, to_record: false }
}

#[test]
fn two_candidates_never_act_at_once_nor_in_the_wrong_order_in_any_state() {
    let (broken, states, second) = found(fleet(Without::Nothing), ALL);
    assert!(broken.is_empty(), "{broken:?}");
    assert!(second && states > 100_000, "{states} states, a second owner acts: {second}");
    let (broken, _, second) = found(Fleet { to_record: true, ..fleet(Without::Nothing) }, ALL);
    assert!(broken.is_empty() && second, "{broken:?}");
}

#[test]
fn nor_with_renewals_nor_three_of_them_to_a_depth_of_11() {
    let renews = Fleet { asks: 2, ..fleet(Without::Nothing) };
    let three = Fleet { candidates: 3, ..fleet(Without::Nothing) };
    for model in [renews, three] {
        let (broken, states, _) = found(model, 11);
        assert!(broken.is_empty() && states > 10_000, "{broken:?} in {states} states");
    }
}

/// Guards against a model that could not fail.
#[test]
fn without_each_part_of_the_protection_the_run_that_breaks_it_is_found() {
    for (without, breaks) in [
        (Without::FencingGuard, "no act after one of a later epoch"),
        (Without::Margin, "one owner at a time"),
        (Without::Comparison, "one owner at a time"),
        (Without::Question, "one owner at a time"),
    ] {
        let (broken, states, _) = found(fleet(without), ALL);
        assert!(broken.contains(&breaks), "{without:?} breaks {broken:?} in {states} states");
    }
    let to_record = Fleet { to_record: true, ..fleet(Without::WriteComparison) };
    assert!(found(to_record, ALL).0.contains(&"no act after one of a later epoch"));
}
