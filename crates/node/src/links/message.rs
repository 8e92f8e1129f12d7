//! Messages between processes.

use ashvane_gossip::{BucketDigests, Digest, Node, RankSummary, Update};
use ashvane_quorum::membership_manager::ReplicaReport;
use ashvane_quorum::{Request, Response, VersionedConfig};
use serde::{Deserialize, Serialize};

/// Message between two processes. The serialized names are those of the first release, because processes of
/// different releases communicate while machines are upgraded one by one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// First message in both directions: entry of the sender.
    Hello(Node),
    /// Changed entries of the directory.
    Update {
        /// Number for the [`Message::UpdateApplied`] that is requested in return; 0 if none is requested.
        number: u64,
        /// Changed entries.
        updates: Vec<Update>,
    },
    /// Response to a numbered [`Message::Update`].
    #[serde(rename = "got")]
    UpdateApplied {
        /// Number of the update.
        number: u64,
        /// Whether the sender has applied all entries of the update.
        #[serde(rename = "taken")]
        is_applied: bool,
        /// Epoch of the membership known to the sender.
        epoch: u64,
    },
    /// Digest of the sender's directory and configuration version.
    Digest(Digest),
    /// Digest of each bucket of the directory, sent if the digests of two processes differ.
    Buckets(BucketDigests),
    /// Starts or stops a subscription of the sender to updates.
    #[serde(rename = "feed")]
    Subscribe(bool),
    /// Ranks of the entries in the buckets whose digests differ.
    Summary(RankSummary),
    /// Requests the configuration if the receiver has a newer version than the sender.
    #[serde(rename = "want")]
    RequestConfig {
        /// Version that the sender has.
        above: u64,
    },
    /// Response to [`Message::RequestConfig`].
    Config(VersionedConfig),
    /// Request of a register operation to the receiver's replica.
    #[serde(rename = "request")]
    ReplicaRequest {
        /// Number that identifies the request in the response.
        number: u64,
        /// Request to the replica.
        request: Request,
    },
    /// Response to a [`Message::ReplicaRequest`], sent over the link on which the request was received.
    #[serde(rename = "response")]
    ReplicaResponse {
        /// Number of the request.
        number: u64,
        /// Response of the replica.
        response: Response,
    },
    /// Request of a starting gateway that a control node verify its contact with a quorum.
    #[serde(rename = "verify")]
    VerifyQuorum {
        /// Number that identifies the request in the response.
        number: u64,
    },
    /// Response to [`Message::VerifyQuorum`], sent after a read of the register that began after the request
    /// arrived.
    #[serde(rename = "verified")]
    QuorumVerified {
        /// Number of the request.
        number: u64,
        /// Digest of the sender's directory and configuration version.
        digest: Digest,
    },
    /// Report of a control node on its replica, sent to the other control nodes when a link opens and on each
    /// change.
    #[serde(rename = "disk")]
    ReplicaReport(ReplicaReport),
    /// Compressed encoding of another message. Messages with many entries compress well, because the
    /// entries are similar.
    #[serde(rename = "packed")]
    Compressed(String),
}

impl Message {
    /// Returns the topic under which the message is counted. Operators see the topics in `show said`.
    #[must_use]
    pub fn topic(&self) -> &'static str {
        match self {
            Message::Hello(_) | Message::Subscribe(_) => "links",
            Message::Update { .. } | Message::UpdateApplied { .. } => "updates",
            Message::Digest(_) => "digests",
            Message::Buckets(_) | Message::Summary(_) => "gaps",
            Message::RequestConfig { .. } | Message::Config(_) => "configuration",
            Message::ReplicaRequest { .. } | Message::ReplicaResponse { .. } | Message::ReplicaReport(_) => {
                "register"
            }
            Message::VerifyQuorum { .. } | Message::QuorumVerified { .. } => "readiness",
            Message::Compressed(_) => "packed",
        }
    }
}
