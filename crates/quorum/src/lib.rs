//! What is kept on disks: one register, the configuration, of which the highest version wins, and the set of
//! disks that keep it. A write counts once a majority of the set has it on disk, a read once a majority has
//! answered. The set changes by one decision an epoch, taken by a majority of the set that ends; from then on
//! that set takes no writes, and what it held goes to a majority of the next one before that one takes any.
//!
//! Nothing here reads a clock, a socket or a file: [`Cell`] is one disk's part, [`Quest`] that of whoever asks.

pub mod cell;
pub mod duty;
pub mod quest;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use cell::{Cell, Kept};
pub use duty::Watch;
pub use quest::{Outcome, Quest};

/// Names a disk for as long as it keeps its content: one that is wiped comes back under another name, so that
/// it has no vote for what it has forgotten.
pub type DiskId = Arc<str>;

/// A disk of the set and where it is asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seat {
    pub disk: DiskId,
    pub address: String,
}

/// The set of disks of one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Seats {
    pub epoch: u64,
    pub seats: Vec<Seat>,
}

impl Seats {
    pub fn new(epoch: u64, mut seats: Vec<Seat>) -> Self {
        seats.sort();
        seats.dedup_by(|a, b| a.disk == b.disk);
        Seats { epoch, seats }
    }

    pub fn majority(&self) -> usize {
        self.seats.len() / 2 + 1
    }

    pub fn has(&self, disk: &str) -> bool {
        self.seats.iter().any(|s| &*s.disk == disk)
    }
}

/// A configuration under its version. Of two under one version the greater text wins, so that all agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Filed {
    pub version: u64,
    pub text: Arc<str>,
}

/// Orders the tries to end an epoch; no two are alike, for each asker adds its own name.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Ask {
    /// What is held, with the text only if its version is above this.
    Read {
        above: u64,
    },
    Write {
        epoch: u64,
        filed: Filed,
    },
    Prepare {
        epoch: u64,
        ballot: Ballot,
    },
    Accept {
        epoch: u64,
        ballot: Ballot,
        next: Seats,
    },
    /// A set that was decided, and what the set before it held.
    Install {
        seats: Seats,
        filed: Option<Filed>,
    },
}

/// What a disk answers, whatever it was asked: its state after that, and whether it did as asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Told {
    pub done: bool,
    pub disk: DiskId,
    pub seats: Seats,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Seats)>,
    pub version: u64,
    /// Where it was asked for, or is needed to go on.
    pub filed: Option<Filed>,
}
