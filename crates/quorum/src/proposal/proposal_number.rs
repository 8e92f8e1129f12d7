//! The number that orders proposals.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Orders proposals within an epoch ("proposal number" in "Paxos Made Simple", "ballot" elsewhere). No two operations share
/// one: each adds its own id. The default stands below every number that an operation draws.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Above all rounds that the proposer has seen.
    pub round: u64,
    /// The id of the operation that proposes, unique over all processes and their incarnations.
    #[serde(rename = "by")]
    pub operation: Arc<str>,
}
