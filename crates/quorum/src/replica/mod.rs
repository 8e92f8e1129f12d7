//! The acceptor of the protocol.

mod replica_state;

use std::sync::Arc;

use crate::{
    AcceptedProposal, DiskId, Membership, ProposalNumber, ProposedValue, RegisterValue, Rejection, Request,
    Response, VersionedConfig,
};

pub use replica_state::ReplicaState;

/// A replica: an acceptor and a learner, as in "Paxos Made Simple".
///
/// Invariants: within an epoch, the promised number and the accepted number only increase (see
/// [`Replica::promise`] and [`Replica::set_accepted`]); the epoch only increases, and its state is installed
/// with it (see [`Replica::install`]).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica {
    state: ReplicaState,
}

/// The result of handling a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandledRequest {
    /// The response. If the state has changed, it may be sent only after the state is on disk.
    pub response: Response,
    /// Whether the request changed the state of the replica.
    pub state_changed: bool,
}

impl Replica {
    /// Creates a replica for an empty disk with a new identifier. `membership` is that of the first epoch, or
    /// of epoch 0 if the replica waits to become a member.
    #[must_use]
    pub fn empty(disk: DiskId, membership: Membership) -> Self {
        let promised = ProposalNumber::default();
        let accepted = AcceptedProposal::default();
        Replica { state: ReplicaState { disk, membership, promised, accepted } }
    }

    /// Restores a replica from its persistent state.
    #[must_use]
    pub fn from_state(state: ReplicaState) -> Self {
        Replica { state }
    }

    /// Returns the persistent state.
    #[must_use]
    pub fn state(&self) -> &ReplicaState {
        &self.state
    }

    /// Returns the configuration that the replica has accepted, whether or not it is chosen.
    #[must_use]
    pub fn accepted_config(&self) -> Option<&VersionedConfig> {
        self.state.accepted.value.config.as_ref()
    }

    /// Whether the replica is a member of its current epoch.
    #[must_use]
    pub fn is_voter(&self) -> bool {
        self.state.membership.contains(&self.state.disk)
    }

    /// Handles a request of a proposer.
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

    /// Returns the accepted value, if the request asks for it and the proposer does not have it.
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

    /// Checks that the replica may vote: only in its current epoch, and only if its current disk identifier
    /// is a member.
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

    /// Promises a number. Within an epoch, only this method and [`Replica::learn`] change the promised
    /// number, and both only increase it.
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
        let value = self.complete_value(value)?;
        self.promise(number)?;
        let next_membership = next_membership.cloned();
        self.set_accepted(AcceptedProposal { number: number.clone(), value, next_membership });
        Ok(())
    }

    /// Returns the complete proposed value. A difference is applied to the value that this replica has
    /// accepted.
    fn complete_value(&self, proposed: &ProposedValue) -> Result<Arc<RegisterValue>, Rejection> {
        match proposed {
            ProposedValue::Complete(value) => Ok(value.clone()),
            ProposedValue::Unchanged { base } => self.value_accepted_under(base).cloned(),
            ProposedValue::Extended { base, config } => {
                let accepted = self.value_accepted_under(base)?;
                Ok(Arc::new(accepted.with_config(config)))
            }
        }
    }

    /// Returns the accepted value, if it was accepted with this number.
    fn value_accepted_under(&self, number: &ProposalNumber) -> Result<&Arc<RegisterValue>, Rejection> {
        if number != self.accepted_number() {
            return Err(Rejection::NeedsCompleteValue);
        }
        Ok(&self.state.accepted.value)
    }

    /// Sets the accepted proposal. No other method changes it within an epoch, so that its number only
    /// increases.
    fn set_accepted(&mut self, accepted: AcceptedProposal) {
        debug_assert!(accepted.number > *self.accepted_number(), "the accepted number only increases");
        self.state.accepted = accepted;
    }

    /// Enters an epoch with its state. No other method changes the epoch, so that it only increases.
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

    /// Stores a chosen proposal. This is allowed regardless of the promised number, because every proposal
    /// with a higher number is based on the chosen one.
    fn learn(&mut self, epoch: u64, accepted: &AcceptedProposal) -> Result<(), Rejection> {
        self.check_voter(epoch)?;
        if accepted.number > *self.accepted_number() {
            let promised = self.state.promised.clone().max(accepted.number.clone());
            self.state.promised = promised;
            self.set_accepted(accepted.clone());
        }
        Ok(())
    }
}
