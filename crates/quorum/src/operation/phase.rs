//! Goal and phases of an operation.

use crate::{AcceptedProposal, Member, Membership, ProposalNumber, ProposedValue, VersionedConfig};

/// The goal of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Goal {
    /// Have a configuration chosen, if its version is new.
    Write(VersionedConfig),
    /// Return the chosen value.
    Read,
    /// Seal the epoch in which the operation starts. The next epoch has these members.
    ChangeMembership(Vec<Member>),
}

/// A proposal that an operation has sent to the members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingProposal {
    /// The number of the accepted proposal on whose value this proposal is based.
    pub(crate) base: ProposalNumber,
    /// The proposal in the form in which a replica stores it once accepted.
    pub(crate) proposal: AcceptedProposal,
    /// The configuration added to the base value, if any.
    pub(crate) added_config: Option<VersionedConfig>,
}

impl PendingProposal {
    /// Returns the value to send to a replica that has accepted `accepted_number`: the complete value if that
    /// number is not the base, otherwise only the difference. With `None`, the replica is assumed to have
    /// accepted the base.
    pub(crate) fn value_for(&self, accepted_number: Option<&ProposalNumber>) -> ProposedValue {
        if accepted_number.is_some_and(|number| *number != self.base) {
            return ProposedValue::Complete(self.proposal.value.clone());
        }
        let base = self.base.clone();
        match &self.added_config {
            Some(config) => ProposedValue::Extended { base, config: config.clone() },
            None => ProposedValue::Unchanged { base },
        }
    }
}

/// The phase of an operation, with the data of its requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Reading what the members have accepted, without a proposal.
    Reading,
    /// Phase 1 of the protocol, with this proposal number.
    Preparing(ProposalNumber),
    /// Phase 2 of the protocol.
    Accepting(PendingProposal),
    /// The epoch is sealed, and its value is being installed on the members of the next epoch.
    Installing(Membership, AcceptedProposal),
    /// The operation is complete.
    Done,
}
