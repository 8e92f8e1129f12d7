//! The part of whoever asks: a write, a read or a change of the set, from its first question to its end. It
//! hands out what to ask of which disk and is told the answers; whoever carries it bounds its time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::{Ask, Ballot, DiskId, Member, Membership, StoredConfig, Told};

/// What a operation is after.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Aim {
    Write(StoredConfig),
    Read,
    /// To end the epoch of the set it began with; none: only to finish what others began.
    Change(Option<Vec<Member>>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Reading,
    Writing(StoredConfig),
    Preparing(Ballot),
    Accepting(Ballot, Membership),
    Installing(Membership),
    Done,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A majority of the set has it on disk.
    Held,
    /// The newest that a majority knows, now itself held by one.
    Found(Option<StoredConfig>),
    /// The set that is in force now.
    Seated(Membership),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Operation {
    by: Arc<str>,
    aim: Aim,
    membership: Membership,
    stage: Stage,
    answers: BTreeMap<DiskId, Told>,
    refused: BTreeSet<DiskId>,
    round: u64,
    /// The newest configuration met on the way.
    stored: Option<StoredConfig>,
}

impl Operation {
    fn new(by: Arc<str>, membership: Membership, aim: Aim) -> Self {
        let (answers, refused) = Default::default();
        Operation { by, aim, membership, stage: Stage::Done, answers, refused, round: 0, stored: None }
    }

    pub fn write(by: Arc<str>, membership: Membership, stored: StoredConfig) -> Self {
        Operation::new(by, membership, Aim::Write(stored))
    }

    /// `known`: what the asker holds itself, which need not be sent again.
    pub fn read(by: Arc<str>, membership: Membership, known: Option<StoredConfig>) -> Self {
        Operation { stored: known, ..Operation::new(by, membership, Aim::Read) }
    }

    pub fn change(by: Arc<str>, membership: Membership, next: Option<Vec<Member>>) -> Self {
        Operation::new(by, membership, Aim::Change(next))
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }

    /// What to ask first, and whom.
    pub fn begin(&mut self) -> Vec<(Member, Ask)> {
        match self.aim.clone() {
            Aim::Write(stored) => self.enter(Stage::Writing(stored)),
            Aim::Read => self.enter(Stage::Reading),
            Aim::Change(_) => self.prepare(),
        }
    }

    /// Asks again those of this stage that have not answered: questions and answers may be lost.
    pub fn again(&mut self) -> Vec<(Member, Ask)> {
        // A refusal may stem from a race that is over: from the top.
        if !self.refused.is_empty() {
            return self.begin();
        }
        let answered = |member: &Member| self.answers.contains_key(&member.disk);
        self.asks().into_iter().filter(|(member, _)| !answered(member)).collect()
    }

    /// What this stage asks of the replica at an address, if that has not answered.
    pub fn unanswered(&self, address: &str) -> Vec<(Member, Ask)> {
        let open = |member: &Member| member.address == address && !self.answers.contains_key(&member.disk);
        self.asks().into_iter().filter(|(member, _)| open(member)).collect()
    }

    fn prepare(&mut self) -> Vec<(Member, Ask)> {
        self.round += 1;
        self.enter(Stage::Preparing(Ballot { round: self.round, by: self.by.clone() }))
    }

    /// The one place where the stage changes.
    fn enter(&mut self, stage: Stage) -> Vec<(Member, Ask)> {
        self.answers.clear();
        self.refused.clear();
        self.stage = stage;
        self.asks()
    }

    /// What this stage asks, of all that it is asked of.
    fn asks(&self) -> Vec<(Member, Ask)> {
        let epoch = self.membership.epoch;
        let (asked, ask) = match &self.stage {
            Stage::Done => return Vec::new(),
            Stage::Reading => {
                (&self.membership, Ask::Read { above: self.stored.as_ref().map_or(0, |f| f.version) })
            }
            Stage::Writing(stored) => (&self.membership, Ask::Write { epoch, stored: stored.clone() }),
            Stage::Preparing(ballot) => (&self.membership, Ask::Prepare { epoch, ballot: ballot.clone() }),
            Stage::Accepting(ballot, next) => {
                let (ballot, next) = (ballot.clone(), next.clone());
                (&self.membership, Ask::Accept { epoch, ballot, next })
            }
            Stage::Installing(next) => {
                (next, Ask::Install { membership: next.clone(), stored: self.stored.clone() })
            }
        };
        asked.members.iter().map(|member| (member.clone(), ask.clone())).collect()
    }

    /// The set moved on: go on with the newer one.
    fn moved(&mut self, membership: Membership) -> (Vec<(Member, Ask)>, Option<Outcome>) {
        self.membership = membership;
        if matches!(self.aim, Aim::Change(_)) {
            // Another ended the epoch that this one was to end.
            return self.end(Outcome::Seated(self.membership.clone()));
        }
        self.round = 0;
        (self.begin(), None)
    }

    fn end(&mut self, outcome: Outcome) -> (Vec<(Member, Ask)>, Option<Outcome>) {
        self.enter(Stage::Done);
        (Vec::new(), Some(outcome))
    }

    /// Answers to other stages than the one it is in: `ask` is what was asked.
    fn fits(&self, ask: &Ask) -> bool {
        match (&self.stage, ask) {
            (Stage::Reading, Ask::Read { .. }) => true,
            (Stage::Writing(f), Ask::Write { epoch, stored }) => {
                f == stored && *epoch == self.membership.epoch
            }
            (Stage::Preparing(b), Ask::Prepare { ballot, .. }) => b == ballot,
            (Stage::Accepting(b, _), Ask::Accept { ballot, .. }) => b == ballot,
            (Stage::Installing(next), Ask::Install { membership, .. }) => next == membership,
            _ => false,
        }
    }

    /// A disk has answered.
    pub fn told(&mut self, ask: &Ask, told: Told) -> (Vec<(Member, Ask)>, Option<Outcome>) {
        if !self.fits(ask) {
            return (Vec::new(), None);
        }
        if let Some(stored) =
            told.stored.as_ref().filter(|f| self.stored.as_ref().is_none_or(|held| held < *f))
        {
            self.stored = Some(stored.clone());
        }
        let ending = match &self.stage {
            Stage::Installing(next) => next.clone(),
            _ => self.membership.clone(),
        };
        if told.membership.epoch > ending.epoch {
            return self.moved(told.membership);
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

    fn refused(&mut self, told: Told) -> (Vec<(Member, Ask)>, Option<Outcome>) {
        self.round = self.round.max(told.promised.round);
        // One that holds an older set can't vote; once it is told of this one it can.
        if told.membership.epoch < self.membership.epoch {
            let member = self.membership.members.iter().find(|s| s.disk == told.disk).cloned();
            let install = Ask::Install { membership: self.membership.clone(), stored: None };
            return (member.map(|member| (member, install)).into_iter().collect(), None);
        }
        self.refused.insert(told.disk.clone());
        match self.stage {
            // The set is being ended: that has to be finished before anything can be written.
            Stage::Writing(_) if told.accepted.is_some() => (self.prepare(), None),
            _ => (Vec::new(), None),
        }
    }

    /// A majority has done what this stage asks.
    fn majority(&mut self) -> (Vec<(Member, Ask)>, Option<Outcome>) {
        match self.stage.clone() {
            Stage::Reading => self.read_whole(),
            Stage::Writing(_) => match &self.aim {
                Aim::Read => self.end(Outcome::Found(self.stored.clone())),
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
                        let membership = wanted.unwrap_or_else(|| self.membership.members.clone());
                        Membership::new(self.membership.epoch + 1, membership)
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

    fn read_whole(&mut self) -> (Vec<(Member, Ask)>, Option<Outcome>) {
        // An answer that knows of a set that may follow, or of an older one, says nothing of this epoch.
        if self.answers.values().any(|t| t.accepted.is_some()) {
            return (self.prepare(), None);
        }
        let behind: Vec<_> = self
            .answers
            .values()
            .filter(|t| t.membership.epoch < self.membership.epoch)
            .map(|t| t.disk.clone())
            .collect();
        if !behind.is_empty() {
            let install = Ask::Install { membership: self.membership.clone(), stored: None };
            let membership = self.membership.members.iter().filter(|s| behind.contains(&s.disk));
            let asks = membership.map(|member| (member.clone(), install.clone())).collect();
            self.answers.retain(|disk, _| !behind.contains(disk));
            return (asks, None);
        }
        match self.stored.clone() {
            None => self.end(Outcome::Found(None)),
            Some(stored) if self.answers.values().all(|t| t.version == stored.version) => {
                self.end(Outcome::Found(Some(stored)))
            }
            // Held by some only: it is made whole before it is told, lest the next read find it gone.
            Some(stored) => (self.enter(Stage::Writing(stored)), None),
        }
    }
}
