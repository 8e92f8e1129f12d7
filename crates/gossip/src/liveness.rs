//! Liveness of servers, and the authority to declare that a server has timed out.

use serde::{Deserialize, Serialize};

use crate::OrphanMonitorTerm;

/// A statement about the liveness of a server, in ascending order of precedence among statements based on the
/// same heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Liveness {
    /// The heartbeat was received.
    #[default]
    #[serde(rename = "heard")]
    Alive,
    /// The orphan monitor has declared that the server timed out, because the control node that monitors it
    /// is down.
    #[serde(rename = "claimed")]
    DeclaredTimedOut(OrphanMonitorTerm),
    /// The control node that monitors the server has found that it timed out.
    #[serde(rename = "missed")]
    TimedOut,
}

impl Liveness {
    /// Whether the server has not timed out since its last heartbeat.
    #[must_use]
    pub fn is_alive(&self) -> bool {
        *self == Liveness::Alive
    }

    /// Whether the statement is valid if `highest` is the highest known term of the orphan monitor.
    pub(crate) fn is_valid_in(&self, highest: &OrphanMonitorTerm) -> bool {
        !matches!(self, Liveness::DeclaredTimedOut(term) if term < highest)
    }

    /// Returns the input of the digest of a server.
    pub(crate) fn digest_bytes(&self) -> Vec<u8> {
        match self {
            Liveness::Alive => vec![0],
            Liveness::DeclaredTimedOut(term) => [&[1], &term.digest().to_le_bytes()[..]].concat(),
            Liveness::TimedOut => vec![2],
        }
    }
}

/// The servers that a process may declare timed out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LivenessAuthority {
    /// None, because the process is not in contact with a quorum and may itself be partitioned.
    None,
    /// The servers that it monitors.
    Monitored,
    /// The servers that it monitors, and as the orphan monitor with this term also those whose control node
    /// is down.
    MonitoredAndOrphans(OrphanMonitorTerm),
}
