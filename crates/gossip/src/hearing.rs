//! Who may call a server silent. The control node that heard a server's last heartbeat says so by itself; for the
//! servers of a control node that is down, one process does, under a term that all others refuse to go below.

use serde::{Deserialize, Serialize};

use crate::hash;

/// A term of the duty of hearing for the servers of lost control nodes. Ordered by the epoch of the membership in
/// which it was taken, then by round; no two holders share one.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HearingTerm {
    pub epoch: u64,
    pub round: u64,
    /// The process that holds the duty; empty before anybody has taken it.
    pub holder: String,
}

impl HearingTerm {
    /// The term counts as an entry under this name in digests.
    pub(crate) const ENTRY: &str = "duty of hearing";

    /// The start of an epoch, in which nobody has taken the duty yet.
    pub fn of_epoch(epoch: u64) -> Self {
        HearingTerm { epoch, ..HearingTerm::default() }
    }

    /// Its part of the digests.
    pub(crate) fn hash(&self) -> u64 {
        let (epoch, round) = (self.epoch.to_le_bytes(), self.round.to_le_bytes());
        hash(&[Self::ENTRY.as_bytes(), &epoch, &round, self.holder.as_bytes()])
    }
}

/// What is known of a server's silence, in the order in which one statement stands above another about the same
/// heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Silence {
    /// None: it was heard.
    #[default]
    Heard,
    /// The holder of the duty of hearing says so, for a control node that is down.
    Claimed(HearingTerm),
    /// The control node that heard it says so.
    Missed,
}

impl Silence {
    pub fn is_heard(&self) -> bool {
        *self == Silence::Heard
    }

    /// Whether it may be held where this is the highest term that is known.
    pub(crate) fn is_valid(&self, highest: &HearingTerm) -> bool {
        !matches!(self, Silence::Claimed(term) if term < highest)
    }

    pub(crate) fn as_bytes(&self) -> Vec<u8> {
        match self {
            Silence::Heard => vec![0],
            Silence::Claimed(term) => [&[1], &term.hash().to_le_bytes()[..]].concat(),
            Silence::Missed => vec![2],
        }
    }
}

/// What a process may say of servers' silence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Authority {
    /// Nothing: it is in contact with no majority of the members, so it may be the one that is cut off.
    None,
    /// That those are silent which it heard itself.
    Own,
    /// The same, and of those whose control node is down, under this term.
    Holder(HearingTerm),
}
