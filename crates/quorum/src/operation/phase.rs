//! An operation's goal and the phase that it is in.

use crate::{AcceptedProposal, Member, Membership, ProposalNumber, ProposedValue, VersionedConfig};

/// What an operation is to achieve.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Goal {
    /// To have a configuration chosen, if its version is new.
    Write(VersionedConfig),
    /// To find what is chosen.
    Read,
    /// To seal the epoch that the operation begins in, with these members in the next one.
    ChangeMembership(Vec<Member>),
}

/// What an operation proposes under its number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingProposal {
    /// The number of the accepted proposal that this one follows from.
    pub(crate) base: ProposalNumber,
    /// The proposal as a replica will have accepted it.
    pub(crate) proposal: AcceptedProposal,
    /// The configuration that it adds to its base.
    pub(crate) added: Option<VersionedConfig>,
}

impl PendingProposal {
    /// The value as it is sent to a replica that has accepted this number: complete where that is not the base. None: what
    /// the replica has accepted is not known, and the base is assumed.
    pub(crate) fn value_for(&self, accepted_number: Option<&ProposalNumber>) -> ProposedValue {
        if accepted_number.is_some_and(|number| *number != self.base) {
            return ProposedValue::Complete(self.proposal.value.clone());
        }
        let base = self.base.clone();
        match &self.added {
            Some(config) => ProposedValue::Extended { base, config: config.clone() },
            None => ProposedValue::Unchanged { base },
        }
    }
}

/// The phase that an operation is in, with what it requests of every member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Phase {
    /// Requests what is accepted, without a proposal.
    Reading,
    /// Phase 1 of the protocol, under this number.
    Preparing(ProposalNumber),
    /// Phase 2 of the protocol.
    Accepting(PendingProposal),
    /// The epoch is sealed: its value is installed on the next members.
    Installing(Membership, AcceptedProposal),
    /// The operation has ended.
    Done,
}
