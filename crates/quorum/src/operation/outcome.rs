//! Outcomes of operations.

use crate::{AcceptedProposal, Membership, SubmissionStatus, VersionedConfig};

/// A proposal that a quorum of an epoch's members has accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ChosenProposal {
    /// The epoch in which the proposal was chosen.
    pub epoch: u64,
    /// The proposal: its number and value.
    pub accepted: AcceptedProposal,
}

impl ChosenProposal {
    /// Returns the configuration of the chosen value.
    #[must_use]
    pub fn config(&self) -> Option<&VersionedConfig> {
        self.accepted.value.config.as_ref()
    }
}

/// The outcome of an operation, based on the responses of a quorum to requests sent after the operation
/// started.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// A write is complete: the status of its configuration, which is never [`SubmissionStatus::New`], and
    /// the newest chosen proposal.
    Written(SubmissionStatus, ChosenProposal),
    /// A read is complete, and returns the newest chosen proposal.
    Read(ChosenProposal),
    /// The epoch has ended, and this is the next membership: the requested one, or the one that another
    /// proposer had chosen first.
    MembershipChanged(Membership),
}
