//! Model check of candidates, the keepers' record and a receiver, over all states up to a given depth.
//! Messages may be delayed, lost, duplicated and reordered, processes may pause at any point, and clocks run
//! at both ends of the drift bound. The model calls the production code. With one safeguard disabled the
//! checker must find a violation.

use std::time::Duration;

use ashvane_fleet::roster::Roster;
use ashvane_fleet::{Command, LeaseExpiry, LeaseRecord, Reply};
use ashvane_fleet::{FencingGuard, FencingToken, LeaseParticipant, LeaseTerms, SingletonRole as _};
use stateright::{Checker as _, HasDiscoveries, Model, Property};

const ROLE: &str = Roster::NAME;

/// Safeguard that the model leaves out, if any.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Disabled {
    Nothing,
    /// The receiver's check of the epoch.
    FencingGuard,
    /// The margin for clock drift.
    DriftMargin,
    /// The comparison, when an acquisition is applied, with the lease on which it was decided.
    AcquireComparison,
    /// The comparison of a write's epoch with the current one.
    WriteComparison,
    /// Counting the lease from the send time of the call. If disabled, the owner counts from the arrival of
    /// the reply.
    SendTime,
}

struct Fleet {
    candidates: usize,
    /// Maximum number of calls of each candidate.
    max_calls: u8,
    /// Maximum number of ticks of true time.
    max_ticks: u64,
    disabled: Disabled,
    /// Whether actions go to the record as writes, or to a receiver with a fencing guard.
    to_record: bool,
}

/// Length of a tick, and of the lease, in milliseconds of true time. A slow clock advances by one less, a
/// fast one by one more.
const TICK_MS: u64 = 10;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// Acquisition in the keepers' log, decided on this epoch and number of renewals, with the send time on
    /// the candidate's clock.
    Acquire { from: usize, sent_at: Duration, epoch: u64, renewals: u64 },
    /// Renewal in the keepers' log, with the send time on the owner's clock.
    Renew { from: usize, sent_at: Duration, epoch: u64 },
    /// Reply to a call that was sent at the given time on the receiver's clock.
    Reply { to: usize, sent_at: Duration, granted: Option<u64>, fenced: Option<u64> },
    /// Action of an owner on its way to the receiver.
    Action { epoch: u64 },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    participant: LeaseParticipant,
    /// Milliseconds by which its clock advances in a tick.
    rate: u64,
    is_waiting: bool,
    calls: u8,
    /// Epoch of an action that was permitted and is not sent yet.
    pending_epoch: Option<u64>,
    acted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    tick: u64,
    keeper_rate: u64,
    processes: Vec<Process>,
    record: LeaseRecord,
    expiry: LeaseExpiry,
    /// Messages in flight, each with the number of times that it may still be delivered.
    messages: Vec<(Message, u8)>,
    guard: FencingGuard,
    /// Epochs of the actions that took effect, in order.
    effects: Vec<u64>,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Tick,
    Call(usize),
    /// Reads the clock and obtains a permit.
    ObtainPermit(usize),
    /// Sends the permitted action, any time later.
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
        let drift = if self.disabled == Disabled::DriftMargin { 0.0 } else { 0.1 };
        LeaseTerms { lease: Duration::from_millis(TICK_MS), drift }
    }

    /// Applies a command at the leading keeper.
    fn apply(&self, state: &mut State, mut command: Command) -> Reply {
        let lease = state.record.lease(ROLE);
        match &mut command {
            Command::Acquire { epoch, renewals, .. } if self.disabled == Disabled::AcquireComparison => {
                (*epoch, *renewals) = (lease.epoch, lease.renewals);
            }
            Command::Write { epoch, .. } if self.disabled == Disabled::WriteComparison => {
                *epoch = lease.epoch
            }
            _ => {}
        }
        let reply = state.record.apply(&command);
        let now = state.clock(state.keeper_rate);
        state.expiry.observe(&state.record, now);
        reply
    }

    fn send_reply(&self, state: &mut State, to: usize, sent_at: Duration, reply: &Reply) {
        let (granted, fenced) = match reply {
            Reply::Granted { epoch } => (Some(*epoch), None),
            Reply::Fenced { epoch } => (None, Some(*epoch)),
            _ => return,
        };
        state.send(Message::Reply { to, sent_at, granted, fenced });
    }

    /// Handles a call at the leading keeper: an acquisition is decided on the keeper's clock before it enters
    /// the log.
    fn handle_request(&self, state: &mut State, from: usize, sent_at: Duration, renewed_epoch: Option<u64>) {
        let (now, owner) = (state.clock(state.keeper_rate), format!("p{from}"));
        if let Some(epoch) = renewed_epoch {
            return state.send(Message::Renew { from, sent_at, epoch });
        }
        match state.expiry.acquire(&state.record, ROLE, &owner, now, &self.terms()) {
            Ok(Command::Acquire { epoch, renewals, .. }) => {
                state.send(Message::Acquire { from, sent_at, epoch, renewals })
            }
            Ok(_) => {}
            Err(reply) => self.send_reply(state, from, sent_at, &reply),
        }
    }

    fn deliver(&self, state: &mut State, message: Message) {
        match message {
            Message::Renew { from, sent_at, epoch } => {
                let owner = format!("p{from}");
                let reply = self.apply(state, Command::Renew { role: ROLE.into(), owner, epoch });
                self.send_reply(state, from, sent_at, &reply);
            }
            Message::Acquire { from, sent_at, epoch, renewals } => {
                let owner = format!("p{from}");
                let reply = self.apply(state, Command::Acquire { role: ROLE.into(), owner, epoch, renewals });
                self.send_reply(state, from, sent_at, &reply);
            }
            Message::Reply { to, sent_at, granted, fenced } => {
                let now = state.clock(state.processes[to].rate);
                let reply = match (granted, fenced) {
                    (Some(epoch), _) => Reply::Granted { epoch },
                    (_, epoch) => Reply::Fenced { epoch: epoch.unwrap_or_default() },
                };
                let sent_at = if self.disabled == Disabled::SendTime { now } else { sent_at };
                state.processes[to].participant.reply_received(sent_at, &reply, now, &self.terms());
                state.processes[to].is_waiting = false;
            }
            Message::Action { epoch } if self.to_record => {
                let write = Command::Write { role: ROLE.into(), epoch, text: String::new() };
                if matches!(self.apply(state, write), Reply::Written { .. }) {
                    state.effects.push(epoch);
                }
            }
            Message::Action { epoch } => {
                let is_admitted = state.guard.admits(&FencingToken { role: ROLE.into(), epoch });
                if is_admitted || self.disabled == Disabled::FencingGuard {
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
        // Each clock runs at either end of the drift bound: 9 or 11 ms for 10 ms of true time.
        (0..1_u32 << (self.candidates + 1))
            .map(|extremes| {
                let rate = |bit: usize| if extremes >> bit & 1 == 0 { 9 } else { 11 };
                let process = |i| Process {
                    participant: LeaseParticipant::default(),
                    rate: rate(i),
                    is_waiting: false,
                    calls: 0,
                    pending_epoch: None,
                    acted: false,
                };
                State {
                    tick: 0,
                    keeper_rate: rate(self.candidates),
                    processes: (0..self.candidates).map(process).collect(),
                    record: LeaseRecord::default(),
                    expiry: LeaseExpiry::default(),
                    messages: Vec::new(),
                    guard: FencingGuard::default(),
                    effects: Vec::new(),
                }
            })
            .collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        if state.tick < self.max_ticks {
            actions.push(Action::Tick);
        }
        for (i, p) in state.processes.iter().enumerate() {
            if !p.is_waiting && p.calls < self.max_calls {
                actions.push(Action::Call(i));
            }
            if !p.acted && p.pending_epoch.is_none() && p.participant.epoch().is_some() {
                actions.push(Action::ObtainPermit(i));
            }
            if p.pending_epoch.is_some() {
                actions.push(Action::Send(i));
            }
        }
        for at in 0..state.messages.len() {
            // A lost message is one for which this action is never taken.
            actions.push(Action::Deliver(at));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Tick => state.tick += 1,
            Action::Call(i) => {
                let now = state.clock(state.processes[i].rate);
                let process = &mut state.processes[i];
                process.participant.tick(now, &self.terms());
                (process.is_waiting, process.calls) = (true, process.calls + 1);
                let renewed_epoch = process.participant.epoch();
                self.handle_request(&mut state, i, now, renewed_epoch);
            }
            Action::ObtainPermit(i) => {
                let now = state.clock(state.processes[i].rate);
                let process = &mut state.processes[i];
                let token = process.participant.permit::<Roster>(now).and_then(|permit| permit.token(now));
                process.pending_epoch = Some(token?.epoch);
            }
            Action::Send(i) => {
                let epoch = state.processes[i].pending_epoch.take()?;
                state.processes[i].acted = true;
                state.send(Message::Action { epoch });
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
            Property::<Self>::always("no action after one of a later epoch", |_, state| {
                state.effects.is_sorted()
            }),
            Property::<Self>::sometimes("a second owner acts", |_, state| {
                state.effects.windows(2).any(|w| w[0] < w[1])
            }),
        ]
    }
}

/// Checks the model to a depth. Returns the violated properties, the number of states, and whether a second
/// owner acted in some run. With a safeguard disabled the check ends at the first violation.
fn run_checker(model: Fleet, depth: usize) -> (Vec<&'static str>, usize, bool) {
    let until =
        if model.disabled == Disabled::Nothing { HasDiscoveries::All } else { HasDiscoveries::AnyFailures };
    let checker = model.checker().threads(2).target_max_depth(depth).finish_when(until).spawn_bfs().join();
    let violated = ["one owner at a time", "no action after one of a later epoch"];
    let violated = violated.into_iter().filter(|name| checker.discovery(name).is_some()).collect();
    (violated, checker.unique_state_count(), checker.discovery("a second owner acts").is_some())
}

/// Greater than the depth of any run in which each candidate calls once, so that all states are checked.
const UNBOUNDED_DEPTH: usize = 100;

fn fleet(disabled: Disabled) -> Fleet {
    Fleet { candidates: 2, max_calls: 1, max_ticks: 2, disabled, to_record: false }
}

#[test]
fn two_candidates_never_own_at_once_or_act_out_of_epoch_order_in_any_state() {
    let (violated, states, second_owner_acts) = run_checker(fleet(Disabled::Nothing), UNBOUNDED_DEPTH);
    assert!(violated.is_empty(), "{violated:?}");
    assert!(
        second_owner_acts && states > 100_000,
        "{states} states, a second owner acts: {second_owner_acts}"
    );
    let (violated, _, second_owner_acts) =
        run_checker(Fleet { to_record: true, ..fleet(Disabled::Nothing) }, UNBOUNDED_DEPTH);
    assert!(violated.is_empty() && second_owner_acts, "{violated:?}");
}

#[test]
fn renewals_and_three_candidates_keep_both_properties_to_a_depth_of_11() {
    let with_renewals = Fleet { max_calls: 2, ..fleet(Disabled::Nothing) };
    let three = Fleet { candidates: 3, ..fleet(Disabled::Nothing) };
    for model in [with_renewals, three] {
        let (violated, states, _) = run_checker(model, 11);
        assert!(violated.is_empty() && states > 10_000, "{violated:?} in {states} states");
    }
}

/// Guards against a model whose properties cannot fail.
#[test]
fn the_checker_finds_a_violation_when_a_safeguard_is_disabled() {
    for (disabled, property) in [
        (Disabled::FencingGuard, "no action after one of a later epoch"),
        (Disabled::DriftMargin, "one owner at a time"),
        (Disabled::AcquireComparison, "one owner at a time"),
        (Disabled::SendTime, "one owner at a time"),
    ] {
        let (violated, states, _) = run_checker(fleet(disabled), UNBOUNDED_DEPTH);
        assert!(violated.contains(&property), "{disabled:?} violates {violated:?} in {states} states");
    }
    let to_record = Fleet { to_record: true, ..fleet(Disabled::WriteComparison) };
    assert!(run_checker(to_record, UNBOUNDED_DEPTH).0.contains(&"no action after one of a later epoch"));
}
