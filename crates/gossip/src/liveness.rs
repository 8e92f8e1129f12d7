//! Whether a server is alive, and who may say that it has timed out.

use serde::{Deserialize, Serialize};

use crate::OrphanMonitorTerm;

/// What is known of a server's liveness, in the order in which one statement stands above another about the same heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// Its heartbeat was received.
    #[default]
    #[serde(rename = "heard")]
    Alive,
    /// The orphan monitor says that it has timed out, for a control node that is down.
    #[serde(rename = "claimed")]
    DeclaredTimedOut(OrphanMonitorTerm),
    /// The control node that monitors it says that it has timed out.
    #[serde(rename = "missed")]
    TimedOut,
}

impl Liveness {
    /// Whether its last heartbeat counts.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        *self == Liveness::Alive
    }

    /// Whether the statement may be kept where this is the highest term that is known.
    pub(crate) fn is_valid_in(&self, highest: &OrphanMonitorTerm) -> bool {
        !matches!(self, Liveness::DeclaredTimedOut(term) if term < highest)
    }

    /// Its part of a server's digest.
    pub(crate) fn digest_bytes(&self) -> Vec<u8> {
        match self {
            Liveness::Alive => vec![0],
            Liveness::DeclaredTimedOut(term) => [&[1], &term.digest().to_le_bytes()[..]].concat(),
            Liveness::TimedOut => vec![2],
        }
    }
}

/// Of which servers a process may say that they have timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LivenessAuthority {
    /// Of none: it is in contact with no quorum, so it may itself be the one that is partitioned off.
    None,
    /// Of those that it monitors.
    Monitored,
    /// Of those that it monitors, and of those whose control node is down, under this term.
    MonitoredAndOrphans(OrphanMonitorTerm),
}
