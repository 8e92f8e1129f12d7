//! The changes of state that are logged. Each variant is one line in the log of a process; the operators' page explains
//! them.

use ashvane_gossip::OrphanMonitorTerm;
use ashvane_identifiers::{DiskId, NodeName};

use super::UnusableConfig;

/// A change of state that is logged.
#[derive(Debug)]
pub enum LogEvent {
    /// A configuration is in force here from now on.
    ConfigInForce {
        /// Its version.
        version: u64,
    },
    /// A configuration was chosen that cannot be used here.
    ConfigUnusable {
        /// Its version.
        version: u64,
        /// Why.
        reason: UnusableConfig,
    },
    /// A gateway has applied what a control node in contact with a quorum knew: it may be ready.
    CaughtUp {
        /// The version of the configuration in force.
        version: u64,
    },
    /// A gateway has waited long enough for such a control node: it uses the newest that it knows.
    QuorumWaitTimedOut,
    /// A process that was linked has not been linked for a while: it is marked as down.
    NodeFailed {
        /// Its name.
        name: NodeName,
    },
    /// This process, as coordinator, begins to change the membership.
    MembershipChanging {
        /// The epoch that follows.
        epoch: u64,
        /// The disks that are to be members then.
        disks: Vec<DiskId>,
    },
    /// The change has ended.
    MembershipChanged {
        /// The epoch that is in force.
        epoch: u64,
    },
    /// This process has taken the role of the orphan monitor.
    OrphanMonitorClaimed {
        /// Its term.
        term: OrphanMonitorTerm,
    },
    /// This process shuts down.
    ShuttingDown,
    /// The settings file names other seeds.
    SeedsChanged {
        /// The seeds.
        seeds: Vec<String>,
    },
}
