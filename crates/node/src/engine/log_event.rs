//! Changes of state that are logged. Each variant produces one line in the log of the process; the operators'
//! documentation explains these lines.

use ashvane_gossip::{InferredTermination, OrphanMonitorTerm, ServerState};
use ashvane_identifiers::{DiskId, NodeName, ServerId};

use super::UnusableConfig;

/// Change of state that is logged.
#[derive(Debug)]
pub enum LogEvent {
    /// A configuration was put in force by this process.
    ConfigInForce {
        /// Version of the configuration.
        version: u64,
    },
    /// A chosen configuration cannot be used by this process.
    ConfigUnusable {
        /// Version of the configuration.
        version: u64,
        /// Reason why it cannot be used.
        reason: UnusableConfig,
    },
    /// A gateway has applied the entries of a control node in contact with a quorum, and may become ready.
    CaughtUp {
        /// Version of the configuration in force.
        version: u64,
    },
    /// No control node in contact with a quorum answered this gateway in time: the gateway uses the newest
    /// state it has received.
    QuorumWaitTimedOut,
    /// A process that was linked has had no link for the failure time-out, and was marked as down.
    NodeFailed {
        /// Name of the process.
        name: NodeName,
    },
    /// This process, as coordinator, has started a membership change.
    MembershipChanging {
        /// Epoch that the change starts.
        epoch: u64,
        /// Disks of the members after the change.
        disks: Vec<DiskId>,
    },
    /// A membership change started by this process has completed.
    MembershipChanged {
        /// Epoch of the membership in force.
        epoch: u64,
    },
    /// This process has acquired the orphan monitor role.
    OrphanMonitorClaimed {
        /// Term under which it holds the role.
        term: OrphanMonitorTerm,
    },
    /// This process has inferred that servers have terminated which did not report it.
    TerminationsInferred {
        /// Number of servers since the last such line.
        count: usize,
        /// The first one of them.
        first: InferredTermination,
    },
    /// This process has added the servers that were stored on its disk before the start.
    ServersRestored {
        /// Number of servers.
        count: usize,
        /// Number of them that were draining.
        draining: usize,
        /// The first one of them.
        first: ServerId,
    },
    /// Reports of servers that they are draining or have terminated are synced to the local disk.
    DeparturesStored {
        /// Number of servers.
        count: usize,
        /// The first one of them.
        first: ServerId,
    },
    /// A quorum has synced a server's report that it is draining or has terminated. The server's call, which
    /// this process received, is acknowledged.
    DepartureAcknowledged {
        /// The server.
        server: ServerId,
        /// State that the server reported.
        state: ServerState,
        /// Disks that hold it, as far as their members have responded.
        disks: Vec<DiskId>,
    },
    /// The graceful shutdown of this process has started.
    ShuttingDown,
    /// The seeds in the settings file have changed.
    SeedsChanged {
        /// New seeds, as `host:port` of the control addresses.
        seeds: Vec<String>,
    },
}
