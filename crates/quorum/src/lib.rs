//! What is kept on disks: one register, the configuration, of which the highest version wins, and the set of
//! disks that keep it. A write counts once a majority of the set has it on disk, a read once a majority has
//! answered. The set changes by one decision an epoch, taken by a majority of the set that ends; from then on
//! that set takes no writes, and what it held goes to a majority of the next one before that one takes any.
//!
//! Nothing here reads a clock, a socket or a file: [`Replica`] is one disk's part, [`Operation`] that of whoever asks.

pub mod duty;
pub mod operation;
pub mod replica;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use duty::Watch;
pub use operation::{Operation, Outcome};
pub use replica::{Replica, ReplicaState};

/// Names a disk for as long as it keeps its content: one that is wiped comes back under another name, so that
/// it has no vote for what it has forgotten.
pub type DiskId = Arc<str>;

/// A disk of the set and where it is asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    pub disk: DiskId,
    pub address: String,
}

/// The set of disks of one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Membership {
    pub epoch: u64,
    pub members: Vec<Member>,
}

impl Membership {
    pub fn new(epoch: u64, mut members: Vec<Member>) -> Self {
        members.sort();
        members.dedup_by(|a, b| a.disk == b.disk);
        Membership { epoch, members }
    }

    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub fn has(&self, disk: &str) -> bool {
        self.members.iter().any(|s| &*s.disk == disk)
    }
}

/// A configuration under its version. Of two under one version the greater text wins, so that all agree.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoredConfig {
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
        stored: StoredConfig,
    },
    Prepare {
        epoch: u64,
        ballot: Ballot,
    },
    Accept {
        epoch: u64,
        ballot: Ballot,
        next: Membership,
    },
    /// A set that was decided, and what the set before it held.
    Install {
        membership: Membership,
        stored: Option<StoredConfig>,
    },
}

/// What a disk answers, whatever it was asked: its state after that, and whether it did as asked.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Told {
    pub done: bool,
    pub disk: DiskId,
    pub membership: Membership,
    pub promised: Ballot,
    pub accepted: Option<(Ballot, Membership)>,
    pub version: u64,
    /// Where it was asked for, or is needed to go on.
    pub stored: Option<StoredConfig>,
}
