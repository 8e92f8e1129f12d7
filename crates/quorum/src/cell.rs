//! One disk's part: what it keeps, and what it answers once that is on disk.

use serde::{Deserialize, Serialize};

use crate::{Ask, Ballot, DiskId, Filed, Seats, Told};

/// All that a disk keeps beside the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Kept {
    pub disk: DiskId,
    pub seats: Seats,
    pub promised: Ballot,
    /// What it has accepted to follow its set: from then on it takes no writes for this set.
    pub accepted: Option<(Ballot, Seats)>,
}

/// A disk's state. After [`Cell::asked`] its answer may leave only once what changed is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    kept: Kept,
    filed: Option<Filed>,
}

/// What has changed and has to be on disk before the answer leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    pub kept: bool,
    pub filed: bool,
}

impl Cell {
    /// An empty disk under a name of its own, told by others of the set that there is, or of the first one.
    pub fn empty(disk: DiskId, seats: Seats) -> Self {
        Cell { kept: Kept { disk, seats, promised: Ballot::default(), accepted: None }, filed: None }
    }

    pub fn restored(kept: Kept, filed: Option<Filed>) -> Self {
        Cell { kept, filed }
    }

    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    pub fn filed(&self) -> Option<&Filed> {
        self.filed.as_ref()
    }

    fn version(&self) -> u64 {
        self.filed.as_ref().map_or(0, |f| f.version)
    }

    /// The one place where the configuration changes: it only rises.
    fn raise(&mut self, filed: &Filed, changed: &mut Changed) {
        if self.filed.as_ref().is_none_or(|held| held < filed) {
            self.filed = Some(filed.clone());
            changed.filed = true;
        }
    }

    /// The one place where the set changes: its epoch only rises.
    fn follow(&mut self, seats: &Seats, changed: &mut Changed) {
        if seats.epoch > self.kept.seats.epoch {
            (self.kept.seats, self.kept.promised, self.kept.accepted) =
                (seats.clone(), Ballot::default(), None);
            changed.kept = true;
        }
    }

    /// The one place where a ballot is promised or accepted.
    fn vote(&mut self, ballot: &Ballot, next: Option<&Seats>, changed: &mut Changed) {
        debug_assert!(*ballot >= self.kept.promised, "a promise is never taken back");
        self.kept.promised = ballot.clone();
        if let Some(next) = next {
            debug_assert_eq!(next.epoch, self.kept.seats.epoch + 1, "one epoch follows another");
            self.kept.accepted = Some((ballot.clone(), next.clone()));
        }
        changed.kept = true;
    }

    pub fn asked(&mut self, ask: &Ask) -> (Told, Changed) {
        let mut changed = Changed::default();
        let (held, mine) = (self.kept.seats.epoch, self.kept.seats.has(&self.kept.disk));
        // Its own vote counts only in a set that names it under the name that it has now.
        let votes = |epoch: u64| mine && epoch == held;
        let mut tell = false;
        let done = match ask {
            Ask::Read { above } => {
                tell = self.version() > *above;
                true
            }
            Ask::Write { epoch, filed } => {
                let open = votes(*epoch) && self.kept.accepted.is_none();
                if open {
                    self.raise(filed, &mut changed);
                }
                open
            }
            Ask::Prepare { epoch, ballot } => {
                let open = votes(*epoch) && *ballot > self.kept.promised;
                if open {
                    self.vote(ballot, None, &mut changed);
                }
                open
            }
            Ask::Accept { epoch, ballot, next } => {
                let open = votes(*epoch) && *ballot >= self.kept.promised && next.epoch == epoch + 1;
                if open {
                    self.vote(ballot, Some(next), &mut changed);
                }
                tell = open;
                open
            }
            Ask::Install { seats, filed } => {
                self.follow(seats, &mut changed);
                if let Some(filed) = filed {
                    self.raise(filed, &mut changed);
                }
                self.kept.seats.epoch >= seats.epoch
            }
        };
        let told = Told {
            done,
            disk: self.kept.disk.clone(),
            seats: self.kept.seats.clone(),
            promised: self.kept.promised.clone(),
            accepted: self.kept.accepted.clone(),
            version: self.version(),
            filed: self.filed.clone().filter(|_| tell),
        };
        (told, changed)
    }
}
