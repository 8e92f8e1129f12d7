//! Why a replica did not do as asked.

use serde::{Deserialize, Serialize};

/// Why a replica did not do as asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// It holds the state of another epoch.
    OtherEpoch,
    /// Its disk has no vote in that epoch.
    NotAMember,
    /// It has promised a higher ballot.
    Outbid,
    /// It does not hold the value that the proposal differs from.
    NeedsWhole,
    /// What is asked contradicts itself.
    Malformed,
}
