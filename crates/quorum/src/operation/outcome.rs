//! How an operation ends.

use crate::{AcceptedProposal, Membership, SubmissionStatus, VersionedConfig};

/// A proposal that a quorum of an epoch's members has accepted under one number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChosenProposal {
    /// The epoch that it was chosen in.
    pub epoch: u64,
    /// The value and its number.
    pub accepted: AcceptedProposal,
}

impl ChosenProposal {
    /// The configuration that the value holds.
    #[must_use]
    pub fn config(&self) -> Option<&VersionedConfig> {
        self.accepted.value.config.as_ref()
    }
}

/// How an operation ended. Each rests on responses of a quorum to requests that were sent after the operation began.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// How the configuration of a write relates to what is chosen; never [`SubmissionStatus::New`].
    Written(SubmissionStatus, ChosenProposal),
    /// The newest chosen value.
    Read(ChosenProposal),
    /// The membership in force after a change: the requested one, or that of the proposer that was first.
    MembershipChanged(Membership),
}
