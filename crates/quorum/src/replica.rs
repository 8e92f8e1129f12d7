//! One disk's part: what it keeps, and what it answers once that is on disk.

use serde::{Deserialize, Serialize};

use crate::{Ask, Ballot, DiskId, Membership, StoredConfig, Told};

/// All that a disk keeps beside the configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaState {
    pub disk: DiskId,
    pub membership: Membership,
    pub promised: Ballot,
    /// What it has accepted to follow its set: from then on it takes no writes for this set.
    pub accepted: Option<(Ballot, Membership)>,
}

/// A disk's state. After [`Replica::asked`] its answer may leave only once what changed is on disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    kept: ReplicaState,
    stored: Option<StoredConfig>,
}

/// What has changed and has to be on disk before the answer leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Changed {
    pub kept: bool,
    pub stored: bool,
}

impl Replica {
    /// An empty disk under a name of its own, told by others of the set that there is, or of the first one.
    pub fn empty(disk: DiskId, membership: Membership) -> Self {
        Replica {
            kept: ReplicaState { disk, membership, promised: Ballot::default(), accepted: None },
            stored: None,
        }
    }

    pub fn restored(kept: ReplicaState, stored: Option<StoredConfig>) -> Self {
        Replica { kept, stored }
    }

    pub fn kept(&self) -> &ReplicaState {
        &self.kept
    }

    pub fn stored(&self) -> Option<&StoredConfig> {
        self.stored.as_ref()
    }

    fn version(&self) -> u64 {
        self.stored.as_ref().map_or(0, |f| f.version)
    }

    /// The one place where the configuration changes: it only rises.
    fn raise(&mut self, stored: &StoredConfig, changed: &mut Changed) {
        if self.stored.as_ref().is_none_or(|held| held < stored) {
            self.stored = Some(stored.clone());
            changed.stored = true;
        }
    }

    /// The one place where the set changes: its epoch only rises.
    fn follow(&mut self, membership: &Membership, changed: &mut Changed) {
        if membership.epoch > self.kept.membership.epoch {
            (self.kept.membership, self.kept.promised, self.kept.accepted) =
                (membership.clone(), Ballot::default(), None);
            changed.kept = true;
        }
    }

    /// The one place where a ballot is promised or accepted.
    fn vote(&mut self, ballot: &Ballot, next: Option<&Membership>, changed: &mut Changed) {
        debug_assert!(*ballot >= self.kept.promised, "a promise is never taken back");
        self.kept.promised = ballot.clone();
        if let Some(next) = next {
            debug_assert_eq!(next.epoch, self.kept.membership.epoch + 1, "one epoch follows another");
            self.kept.accepted = Some((ballot.clone(), next.clone()));
        }
        changed.kept = true;
    }

    pub fn asked(&mut self, ask: &Ask) -> (Told, Changed) {
        let mut changed = Changed::default();
        let (held, mine) = (self.kept.membership.epoch, self.kept.membership.has(&self.kept.disk));
        // Its own vote counts only in a set that names it under the name that it has now.
        let votes = |epoch: u64| mine && epoch == held;
        let mut tell = false;
        let done = match ask {
            Ask::Read { above } => {
                tell = self.version() > *above;
                true
            }
            Ask::Write { epoch, stored } => {
                let open = votes(*epoch) && self.kept.accepted.is_none();
                if open {
                    self.raise(stored, &mut changed);
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
            Ask::Install { membership, stored } => {
                self.follow(membership, &mut changed);
                if let Some(stored) = stored {
                    self.raise(stored, &mut changed);
                }
                self.kept.membership.epoch >= membership.epoch
            }
        };
        let told = Told {
            done,
            disk: self.kept.disk.clone(),
            membership: self.kept.membership.clone(),
            promised: self.kept.promised.clone(),
            accepted: self.kept.accepted.clone(),
            version: self.version(),
            stored: self.stored.clone().filter(|_| tell),
        };
        (told, changed)
    }
}
