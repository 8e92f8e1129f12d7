//! The orphan monitor: a singleton role that monitors orphans, which are servers whose control node is down.
//!
//! The control node that received the last heartbeat of a server declares that the server has timed out. If
//! that control node is down, the orphan monitor does so instead, under a term. All processes reject
//! declarations under a lower term than the highest that they know.

use ashvane_identifiers::NodeName;
use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;

/// A term of the orphan monitor. Terms are ordered by membership epoch and then by round. Two holders never
/// have the same term.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrphanMonitorTerm {
    /// Epoch of the membership in which the term started.
    pub epoch: u64,
    /// Round, which increases with each term of the epoch. It is 0 at the start of the epoch, before any
    /// process has the role.
    pub round: u64,
    /// The process that has the role, or an empty name before any process has it.
    pub holder: NodeName,
}

impl OrphanMonitorTerm {
    /// Name of the digest entry that represents the term. Releases compare digests with each other, so it
    /// must not change.
    pub(crate) const ENTRY_NAME: &str = "duty of hearing";

    /// Returns the initial term of an epoch, in which no process has the role.
    #[must_use]
    pub fn start_of(epoch: u64) -> Self {
        OrphanMonitorTerm { epoch, ..OrphanMonitorTerm::default() }
    }

    /// Returns the digest of this term.
    pub(crate) fn digest(&self) -> u64 {
        let (epoch, round) = (self.epoch.to_le_bytes(), self.round.to_le_bytes());
        stable_hash(&[Self::ENTRY_NAME.as_bytes(), &epoch, &round, self.holder.as_str().as_bytes()])
    }
}
