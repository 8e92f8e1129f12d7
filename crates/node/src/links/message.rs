//! What processes send each other.

use ashvane_gossip::{BucketDigests, Digest, Node, RankSummary, Update};
use ashvane_quorum::membership_manager::ReplicaReport;
use ashvane_quorum::{Request, Response, VersionedConfig};
use serde::{Deserialize, Serialize};

/// What processes send each other. The serialized names are those of the first release: a fleet is upgraded machine by
/// machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The first message both ways: who sends it.
    Hello(Node),
    /// Entries that rose.
    Update {
        /// Above 0 where [`Message::UpdateApplied`] is wanted in return.
        number: u64,
        /// The entries.
        updates: Vec<Update>,
    },
    /// The answer to a numbered [`Message::Update`].
    #[serde(rename = "got")]
    UpdateApplied {
        /// The number of the update.
        number: u64,
        /// Whether all its entries are in force at the sender.
        #[serde(rename = "taken")]
        is_applied: bool,
        /// The epoch of the membership that the sender knows.
        epoch: u64,
    },
    /// All that the sender knows, in a few bytes.
    Digest(Digest),
    /// Where digests differ: those of each bucket.
    Buckets(BucketDigests),
    /// Whether the sender is to be sent updates as they come.
    #[serde(rename = "feed")]
    Subscribe(bool),
    /// Where digests of buckets differ: the ranks of the entries in them.
    Summary(RankSummary),
    /// The configuration is requested if its version is above this.
    #[serde(rename = "want")]
    RequestConfig {
        /// The version that the sender has.
        above: u64,
    },
    /// A configuration that was requested.
    Config(VersionedConfig),
    /// What an operation requests of the receiver's replica.
    #[serde(rename = "request")]
    ReplicaRequest {
        /// Names the request in the response.
        number: u64,
        /// The request.
        request: Request,
    },
    /// The response to a [`Message::ReplicaRequest`], on the link on which that came.
    #[serde(rename = "response")]
    ReplicaResponse {
        /// The number of the request.
        number: u64,
        /// The response.
        response: Response,
    },
    /// A gateway that starts asks a control node to verify that it is in contact with a quorum.
    #[serde(rename = "verify")]
    VerifyQuorum {
        /// Names the question in the answer.
        number: u64,
    },
    /// The answer to [`Message::VerifyQuorum`], after a read of the register that began after the question.
    #[serde(rename = "verified")]
    QuorumVerified {
        /// The number of the question.
        number: u64,
        /// What the sender knows now.
        digest: Digest,
    },
    /// What a control node reports of its own disk to the others: at first, and whenever it changes.
    #[serde(rename = "disk")]
    ReplicaReport(ReplicaReport),
    /// Another message, compressed: where many entries go at once they are much alike.
    #[serde(rename = "packed")]
    Compressed(String),
}

impl Message {
    /// What it is about, for counting. Operators see these words (`show said`).
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
