//! Updates of the directory.

use ashvane_quorum::Membership;
use serde::{Deserialize, Serialize};

use crate::{Node, OrphanMonitorTerm, Server};

/// A changed entry of the directory, in the form in which it is sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// A process has started, has gone down, or refutes that it is down.
    Node(Node),
    /// The rank of a server entry has increased.
    Server(Server),
    /// A new epoch with this membership has started.
    Membership(Membership),
    /// A process has taken the role of the orphan monitor with this term.
    #[serde(rename = "hearing")]
    OrphanMonitor(OrphanMonitorTerm),
}
