//! Reasons for which a replica rejects a request.

use serde::{Deserialize, Serialize};

/// Reason for which a replica rejected a request. A rejected request does not change the state of the
/// replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The replica is in a different epoch.
    #[serde(rename = "other_epoch")]
    EpochMismatch,
    /// The replica's disk is not a member of that epoch.
    NotAMember,
    /// The replica has promised a higher proposal number.
    #[serde(rename = "outbid")]
    HigherNumberPromised,
    /// The proposed value was sent as a difference from a value that the replica has not accepted.
    #[serde(rename = "needs_whole")]
    NeedsCompleteValue,
    /// The request is inconsistent: the next membership is not that of the following epoch.
    Malformed,
}
