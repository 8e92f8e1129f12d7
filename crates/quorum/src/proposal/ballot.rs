//! The number that orders proposals.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Orders proposals within an epoch. No two operations share one: each adds a name of its own.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Above all that the proposer has seen.
    pub round: u64,
    /// The operation's name, unique over all processes and their lives.
    pub by: Arc<str>,
}
