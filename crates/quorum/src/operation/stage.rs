//! An operation's goal and the stage that it is in.

use crate::{Accepted, Ballot, Member, Membership, Proposal, StoredConfig};

/// What an operation is after.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Goal {
    Write(StoredConfig),
    Read,
    /// To seal the epoch that it begins in.
    Change(Vec<Member>),
}

/// What is proposed under the ballot of this operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Proposed {
    pub(crate) base: Ballot,
    pub(crate) accepted: Accepted,
    /// The configuration that it adds.
    pub(crate) added: Option<StoredConfig>,
}

impl Proposed {
    /// As a replica is told of it that holds this ballot's value.
    pub(crate) fn for_holder_of(&self, ballot: Option<&Ballot>) -> Proposal {
        if ballot.is_some_and(|held| *held != self.base) {
            return Proposal::Whole(self.accepted.value.clone());
        }
        let base = self.base.clone();
        match &self.added {
            Some(config) => Proposal::With { base, config: config.clone() },
            None => Proposal::Same { base },
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stage {
    Reading,
    Preparing(Ballot),
    Accepting(Proposed),
    Installing(Membership, Accepted),
    Done,
}
