//! Why a replica did not do as requested.

use serde::{Deserialize, Serialize};

/// Why a replica did not do as requested. A rejected request has changed nothing on the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The replica holds the state of another epoch.
    #[serde(rename = "other_epoch")]
    EpochMismatch,
    /// The replica's disk has no vote in that epoch.
    NotAMember,
    /// The replica has promised a higher number.
    #[serde(rename = "outbid")]
    HigherNumberPromised,
    /// The replica has not accepted the value that the proposal differs from.
    #[serde(rename = "needs_whole")]
    NeedsCompleteValue,
    /// The request contradicts itself.
    Malformed,
}
