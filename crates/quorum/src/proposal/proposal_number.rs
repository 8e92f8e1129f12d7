//! Proposal numbers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Orders the proposals of an epoch ("proposal number" in "Paxos Made Simple", also known as "ballot"). No
/// two operations use the same number, since each number contains the identifier of its operation. The
/// default is lower than every number of an operation.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// Round number, higher than every round that the proposer has observed.
    pub round: u64,
    /// Identifier of the proposing operation, unique across all processes and incarnations.
    #[serde(rename = "by")]
    pub operation: Arc<str>,
}
