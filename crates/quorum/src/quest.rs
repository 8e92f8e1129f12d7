//! The part of whoever asks: a write, a read or a change of the set, from its first question to its end. It
//! hands out what to ask of which disk and is told the answers; whoever carries it bounds its time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::{Ask, Ballot, DiskId, Filed, Seat, Seats, Told};

/// What a quest is after.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Aim {
    Write(Filed),
    Read,
    /// To end the epoch of the set it began with; none: only to finish what others began.
    Change(Option<Vec<Seat>>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Reading,
    Writing(Filed),
    Preparing(Ballot),
    Accepting(Ballot, Seats),
    Installing(Seats),
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A majority of the set has it on disk.
    Held,
    /// The newest that a majority knows, now itself held by one.
    Found(Option<Filed>),
    /// The set that is in force now.
    Seated(Seats),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Quest {
    by: Arc<str>,
    aim: Aim,
    seats: Seats,
    stage: Stage,
    answers: BTreeMap<DiskId, Told>,
    refused: BTreeSet<DiskId>,
    round: u64,
    /// The newest configuration met on the way.
    filed: Option<Filed>,
}

impl Quest {
    fn new(by: Arc<str>, seats: Seats, aim: Aim) -> Self {
        let (answers, refused) = Default::default();
        Quest { by, aim, seats, stage: Stage::Done, answers, refused, round: 0, filed: None }
    }

    pub fn write(by: Arc<str>, seats: Seats, filed: Filed) -> Self {
        Quest::new(by, seats, Aim::Write(filed))
    }

    /// `known`: what the asker holds itself, which need not be sent again.
    pub fn read(by: Arc<str>, seats: Seats, known: Option<Filed>) -> Self {
        Quest { filed: known, ..Quest::new(by, seats, Aim::Read) }
    }

    pub fn change(by: Arc<str>, seats: Seats, next: Option<Vec<Seat>>) -> Self {
        Quest::new(by, seats, Aim::Change(next))
    }

    pub fn seats(&self) -> &Seats {
        &self.seats
    }

    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// What to ask first, and whom.
    pub fn begin(&mut self) -> Vec<(Seat, Ask)> {
        match self.aim.clone() {
            Aim::Write(filed) => self.enter(Stage::Writing(filed)),
            Aim::Read => self.enter(Stage::Reading),
            Aim::Change(_) => self.prepare(),
        }
    }

    /// Asks again those of this stage that have not answered: questions and answers may be lost.
    pub fn again(&mut self) -> Vec<(Seat, Ask)> {
        // A refusal may stem from a race that is over: from the top.
        if !self.refused.is_empty() {
            return self.begin();
        }
        let answered = |seat: &Seat| self.answers.contains_key(&seat.disk);
        self.asks().into_iter().filter(|(seat, _)| !answered(seat)).collect()
    }

    fn prepare(&mut self) -> Vec<(Seat, Ask)> {
        self.round += 1;
        self.enter(Stage::Preparing(Ballot { round: self.round, by: self.by.clone() }))
    }

    /// The one place where the stage changes.
    fn enter(&mut self, stage: Stage) -> Vec<(Seat, Ask)> {
        self.answers.clear();
        self.refused.clear();
        self.stage = stage;
        self.asks()
    }

    /// What this stage asks, of all that it is asked of.
    fn asks(&self) -> Vec<(Seat, Ask)> {
        let epoch = self.seats.epoch;
        let (asked, ask) = match &self.stage {
            Stage::Done => return Vec::new(),
            Stage::Reading => {
                (&self.seats, Ask::Read { above: self.filed.as_ref().map_or(0, |f| f.version) })
            }
            Stage::Writing(filed) => (&self.seats, Ask::Write { epoch, filed: filed.clone() }),
            Stage::Preparing(ballot) => (&self.seats, Ask::Prepare { epoch, ballot: ballot.clone() }),
            Stage::Accepting(ballot, next) => {
                let (ballot, next) = (ballot.clone(), next.clone());
                (&self.seats, Ask::Accept { epoch, ballot, next })
            }
            Stage::Installing(next) => {
                (next, Ask::Install { seats: next.clone(), filed: self.filed.clone() })
            }
        };
        asked.seats.iter().map(|seat| (seat.clone(), ask.clone())).collect()
    }

    /// The set moved on: go on with the newer one.
    fn moved(&mut self, seats: Seats) -> (Vec<(Seat, Ask)>, Option<Outcome>) {
        self.seats = seats;
        if matches!(self.aim, Aim::Change(_)) {
            // Another ended the epoch that this one was to end.
            return self.end(Outcome::Seated(self.seats.clone()));
        }
        self.round = 0;
        (self.begin(), None)
    }

    fn end(&mut self, outcome: Outcome) -> (Vec<(Seat, Ask)>, Option<Outcome>) {
        self.enter(Stage::Done);
        (Vec::new(), Some(outcome))
    }

    /// Answers to other stages than the one it is in: `ask` is what was asked.
    fn fits(&self, ask: &Ask) -> bool {
        match (&self.stage, ask) {
            (Stage::Reading, Ask::Read { .. }) => true,
            (Stage::Writing(f), Ask::Write { epoch, filed }) => f == filed && *epoch == self.seats.epoch,
            (Stage::Preparing(b), Ask::Prepare { ballot, .. }) => b == ballot,
            (Stage::Accepting(b, _), Ask::Accept { ballot, .. }) => b == ballot,
            (Stage::Installing(next), Ask::Install { seats, .. }) => next == seats,
            _ => false,
        }
    }

    /// A disk has answered.
    pub fn told(&mut self, ask: &Ask, told: Told) -> (Vec<(Seat, Ask)>, Option<Outcome>) {
        if !self.fits(ask) {
            return (Vec::new(), None);
        }
        if let Some(filed) = told.filed.as_ref().filter(|f| self.filed.as_ref().is_none_or(|held| held < *f))
        {
            self.filed = Some(filed.clone());
        }
        let ending = match &self.stage {
            Stage::Installing(next) => next.clone(),
            _ => self.seats.clone(),
        };
        if told.seats.epoch > ending.epoch {
            return self.moved(told.seats);
        }
        if !ending.has(&told.disk) {
            return (Vec::new(), None);
        }
        if !told.done {
            return self.refused(told);
        }
        self.answers.insert(told.disk.clone(), told);
        if self.answers.len() < ending.majority() {
            return (Vec::new(), None);
        }
        self.majority()
    }

    fn refused(&mut self, told: Told) -> (Vec<(Seat, Ask)>, Option<Outcome>) {
        self.round = self.round.max(told.promised.round);
        // One that holds an older set can't vote; once it is told of this one it can.
        if told.seats.epoch < self.seats.epoch {
            let seat = self.seats.seats.iter().find(|s| s.disk == told.disk).cloned();
            let install = Ask::Install { seats: self.seats.clone(), filed: None };
            return (seat.map(|seat| (seat, install)).into_iter().collect(), None);
        }
        self.refused.insert(told.disk.clone());
        match self.stage {
            // The set is being ended: that has to be finished before anything can be written.
            Stage::Writing(_) if told.accepted.is_some() => (self.prepare(), None),
            _ => (Vec::new(), None),
        }
    }

    /// A majority has done what this stage asks.
    fn majority(&mut self) -> (Vec<(Seat, Ask)>, Option<Outcome>) {
        match self.stage.clone() {
            Stage::Reading => self.read_whole(),
            Stage::Writing(_) => match &self.aim {
                Aim::Read => self.end(Outcome::Found(self.filed.clone())),
                _ => self.end(Outcome::Held),
            },
            Stage::Preparing(ballot) => {
                let accepted =
                    self.answers.values().filter_map(|t| t.accepted.clone()).max_by(|a, b| a.0.cmp(&b.0));
                let wanted = match &self.aim {
                    Aim::Change(next) => next.clone(),
                    _ => None,
                };
                let next = match accepted {
                    Some((_, next)) => next,
                    None => {
                        let seats = wanted.unwrap_or_else(|| self.seats.seats.clone());
                        Seats::new(self.seats.epoch + 1, seats)
                    }
                };
                (self.enter(Stage::Accepting(ballot, next)), None)
            }
            // What this set ever held by a majority is in one of these answers at least.
            Stage::Accepting(_, next) => (self.enter(Stage::Installing(next)), None),
            Stage::Installing(next) => self.moved(next),
            Stage::Done => (Vec::new(), None),
        }
    }

    fn read_whole(&mut self) -> (Vec<(Seat, Ask)>, Option<Outcome>) {
        // An answer that knows of a set that may follow, or of an older one, says nothing of this epoch.
        if self.answers.values().any(|t| t.accepted.is_some()) {
            return (self.prepare(), None);
        }
        let behind: Vec<_> = self
            .answers
            .values()
            .filter(|t| t.seats.epoch < self.seats.epoch)
            .map(|t| t.disk.clone())
            .collect();
        if !behind.is_empty() {
            let install = Ask::Install { seats: self.seats.clone(), filed: None };
            let seats = self.seats.seats.iter().filter(|s| behind.contains(&s.disk));
            let asks = seats.map(|seat| (seat.clone(), install.clone())).collect();
            self.answers.retain(|disk, _| !behind.contains(disk));
            return (asks, None);
        }
        match self.filed.clone() {
            None => self.end(Outcome::Found(None)),
            Some(filed) if self.answers.values().all(|t| t.version == filed.version) => {
                self.end(Outcome::Found(Some(filed)))
            }
            // Held by some only: it is made whole before it is told, lest the next read find it gone.
            Some(filed) => (self.enter(Stage::Writing(filed)), None),
        }
    }
}
