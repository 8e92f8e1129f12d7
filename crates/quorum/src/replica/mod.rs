//! The acceptor of the protocol: what one disk has promised and accepted.

mod replica_state;

use std::sync::Arc;

use crate::{
    AcceptedProposal, DiskId, Membership, ProposalNumber, ProposedValue, RegisterValue, Rejection, Request,
    Response, VersionedConfig,
};

pub use replica_state::ReplicaState;

/// A replica: the acceptor of "Paxos Made Simple", and a learner.
///
/// Invariants, each kept by the one function that changes it: within an epoch the promised number only rises
/// ([`Replica::promise`]) and so does the accepted one ([`Replica::take_over`]); the epoch only rises and comes with its
/// state ([`Replica::install`]).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica {
    state: ReplicaState,
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandledRequest {
    /// May be sent only once the state is on disk, if it has changed.
    pub response: Response,
    /// Whether the state has changed.
    pub state_changed: bool,
}

impl Replica {
    /// An empty disk under an id of its own. It holds the empty state of the first epoch, or of none.
    #[must_use]
    pub fn empty(disk: DiskId, membership: Membership) -> Self {
        let promised = ProposalNumber::default();
        let accepted = AcceptedProposal::default();
        Replica { state: ReplicaState { disk, membership, promised, accepted } }
    }

    /// A replica as its disk has it.
    #[must_use]
    pub fn from_state(state: ReplicaState) -> Self {
        Replica { state }
    }

    /// What has to be on disk.
    #[must_use]
    pub fn state(&self) -> &ReplicaState {
        &self.state
    }

    /// The configuration that it has accepted; it need not be chosen.
    #[must_use]
    pub fn accepted_config(&self) -> Option<&VersionedConfig> {
        self.state.accepted.value.config.as_ref()
    }

    /// Whether it votes in the epoch whose state it holds.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        self.state.membership.contains(&self.state.disk)
    }

    /// Handles a request.
    pub fn handle(&mut self, request: &Request) -> HandledRequest {
        let epoch_before = self.state.membership.epoch;
        let promised_before = self.state.promised.clone();
        let accepted_before = self.accepted_number().clone();
        let rejection = self.apply(request).err();
        let state_changed = epoch_before != self.state.membership.epoch
            || promised_before != self.state.promised
            || accepted_before != *self.accepted_number();
        let response = Response {
            rejection,
            disk: self.state.disk.clone(),
            membership: self.state.membership.clone(),
            promised: self.state.promised.clone(),
            accepted_number: self.accepted_number().clone(),
            next_membership: self.state.accepted.next_membership.clone(),
            value: self.value_for(request),
        };
        HandledRequest { response, state_changed }
    }

    fn apply(&mut self, request: &Request) -> Result<(), Rejection> {
        match request {
            Request::Read { .. } => Ok(()),
            Request::Prepare { epoch, number, .. } => self.prepare(*epoch, number),
            Request::Accept { epoch, number, value, next_membership } => {
                self.accept(*epoch, number, value, next_membership.as_ref())
            }
            Request::Install { membership, accepted } => self.install(membership, accepted),
            Request::Learn { epoch, accepted } => self.learn(*epoch, accepted),
        }
    }

    fn accepted_number(&self) -> &ProposalNumber {
        &self.state.accepted.number
    }

    /// The value, where it is requested and the proposer does not have it.
    fn value_for(&self, request: &Request) -> Option<Arc<RegisterValue>> {
        let own_epoch = self.state.membership.epoch;
        let is_known = match request {
            Request::Read { known } => known
                .as_ref()
                .is_some_and(|known| known.epoch == own_epoch && known.number == *self.accepted_number()),
            Request::Prepare { epoch, known, .. } => {
                *epoch != own_epoch || known.as_ref() == Some(self.accepted_number())
            }
            _ => true,
        };
        (!is_known).then(|| self.state.accepted.value.clone())
    }

    /// Its vote counts only in the epoch whose state it holds, and only under the id that its disk has now.
    fn check_voter(&self, epoch: u64) -> Result<(), Rejection> {
        if epoch != self.state.membership.epoch {
            return Err(Rejection::EpochMismatch);
        }
        if !self.is_voter() {
            return Err(Rejection::NotAMember);
        }
        Ok(())
    }

    fn prepare(&mut self, epoch: u64, number: &ProposalNumber) -> Result<(), Rejection> {
        self.check_voter(epoch)?;
        self.promise(number)
    }

    /// The one place where a number is promised: the promise only rises.
    fn promise(&mut self, number: &ProposalNumber) -> Result<(), Rejection> {
        if *number < self.state.promised {
            return Err(Rejection::HigherNumberPromised);
        }
        self.state.promised = number.clone();
        Ok(())
    }

    fn accept(
        &mut self, epoch: u64, number: &ProposalNumber, value: &ProposedValue,
        next_membership: Option<&Membership>,
    ) -> Result<(), Rejection> {
        self.check_voter(epoch)?;
        if next_membership.is_some_and(|next| next.epoch != epoch + 1) {
            return Err(Rejection::Malformed);
        }
        let is_duplicate = number == self.accepted_number();
        if is_duplicate {
            return Ok(());
        }
        if *number < self.state.promised {
            return Err(Rejection::HigherNumberPromised);
        }
        let value = self.complete(value)?;
        self.promise(number)?;
        let next_membership = next_membership.cloned();
        self.take_over(AcceptedProposal { number: number.clone(), value, next_membership });
        Ok(())
    }

    /// A proposed value, completed with what this replica has accepted.
    fn complete(&self, proposed: &ProposedValue) -> Result<Arc<RegisterValue>, Rejection> {
        match proposed {
            ProposedValue::Complete(value) => Ok(value.clone()),
            ProposedValue::Unchanged { base } => self.accepted_under(base).cloned(),
            ProposedValue::Extended { base, config } => {
                let accepted = self.accepted_under(base)?;
                Ok(Arc::new(accepted.with_config(config)))
            }
        }
    }

    /// The value that was accepted under a number.
    fn accepted_under(&self, number: &ProposalNumber) -> Result<&Arc<RegisterValue>, Rejection> {
        if number != self.accepted_number() {
            return Err(Rejection::NeedsCompleteValue);
        }
        Ok(&self.state.accepted.value)
    }

    /// The one place where the accepted proposal changes within an epoch: its number only rises.
    fn take_over(&mut self, accepted: AcceptedProposal) {
        debug_assert!(accepted.number > *self.accepted_number(), "the accepted number only rises");
        self.state.accepted = accepted;
    }

    /// The one place where the epoch changes: it only rises, and comes with its state.
    fn install(&mut self, membership: &Membership, accepted: &AcceptedProposal) -> Result<(), Rejection> {
        if !membership.contains(&self.state.disk) {
            return Err(Rejection::NotAMember);
        }
        if membership.epoch > self.state.membership.epoch {
            self.state.membership = membership.clone();
            self.state.promised = accepted.number.clone();
            self.state.accepted = accepted.clone();
        }
        Ok(())
    }

    /// A chosen proposal may be taken over whatever was promised: every later proposal follows from it.
    fn learn(&mut self, epoch: u64, accepted: &AcceptedProposal) -> Result<(), Rejection> {
        self.check_voter(epoch)?;
        if accepted.number > *self.accepted_number() {
            let promised = self.state.promised.clone().max(accepted.number.clone());
            self.state.promised = promised;
            self.take_over(accepted.clone());
        }
        Ok(())
    }
}
