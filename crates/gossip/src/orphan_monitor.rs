//! The singleton role of monitoring orphans: servers whose control node is down.
//!
//! The control node that received a server's last heartbeat says by itself that the server has timed out. For the servers
//! of a control node that is down one process does, under a term that all others refuse to go below.

use ashvane_identifiers::NodeName;
use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;

/// A term of the orphan monitor. Ordered by the epoch of the membership in which it was taken, then by round; no two
/// holders share one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrphanMonitorTerm {
    /// The epoch of the membership in which it was taken.
    pub epoch: u64,
    /// Rises with each term of the epoch; 0 at its start, when nobody has taken the role yet.
    pub round: u64,
    /// The process that has the role; empty before anybody has taken it.
    pub holder: NodeName,
}

impl OrphanMonitorTerm {
    /// The term counts in digests as an entry of this name. It is compared between releases: it stays as it is.
    pub(crate) const ENTRY_NAME: &str = "duty of hearing";

    /// The start of an epoch, in which nobody has taken the role yet.
    #[must_use]
    pub fn start_of(epoch: u64) -> Self {
        OrphanMonitorTerm { epoch, ..OrphanMonitorTerm::default() }
    }

    /// Its part of the digests.
    pub(crate) fn digest(&self) -> u64 {
        let (epoch, round) = (self.epoch.to_le_bytes(), self.round.to_le_bytes());
        stable_hash(&[Self::ENTRY_NAME.as_bytes(), &epoch, &round, self.holder.as_str().as_bytes()])
    }
}
