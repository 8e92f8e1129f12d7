//! An entry that rose.

use ashvane_quorum::Membership;
use serde::{Deserialize, Serialize};

use crate::{Node, OrphanMonitorTerm, Server};

/// An entry of the directory, as it is sent to others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// A process started, went down, or refutes that it did.
    Node(Node),
    /// A server's entry rose.
    Server(Server),
    /// An epoch has ended, and these are the members of the next one.
    Membership(Membership),
    /// A process takes the role of the orphan monitor, under this term.
    #[serde(rename = "hearing")]
    OrphanMonitor(OrphanMonitorTerm),
}
