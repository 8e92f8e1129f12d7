//! One disk's part: what it has promised and accepted, and what it answers once that is on disk.

mod replica_state;

use std::sync::Arc;

use crate::{
    Accepted, Ballot, DiskId, Membership, Proposal, Refusal, Request, Response, StoredConfig, Value,
};

pub use replica_state::ReplicaState;

/// A replica. After [`Replica::handle`] its answer may leave only once what changed is on disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Replica {
    state: ReplicaState,
}

impl Replica {
    /// An empty disk under a name of its own. It holds the empty state of the first epoch, or of none.
    pub fn empty(disk: DiskId, membership: Membership) -> Self {
        let (promised, accepted) = Default::default();
        Replica { state: ReplicaState { disk, membership, promised, accepted } }
    }

    /// A replica as its disk has it.
    pub fn restored(state: ReplicaState) -> Self {
        Replica { state }
    }

    /// What has to be on disk.
    pub fn state(&self) -> &ReplicaState {
        &self.state
    }

    /// The configuration that it has accepted; it need not be chosen.
    pub fn stored(&self) -> Option<&StoredConfig> {
        self.state.accepted.value.config.as_ref()
    }

    /// Whether it votes in the epoch whose state it holds.
    pub fn votes(&self) -> bool {
        self.state.membership.has(&self.state.disk)
    }

    /// Answers a request, and says whether the state has changed.
    pub fn handle(&mut self, request: &Request) -> (Response, bool) {
        let before = (self.state.membership.epoch, self.state.promised.clone(), self.ballot().clone());
        let refusal = match request {
            Request::Read { .. } => Ok(()),
            Request::Prepare { epoch, ballot, .. } => self.prepare(*epoch, ballot),
            Request::Accept { epoch, ballot, proposal, next } => {
                self.accept(*epoch, ballot, proposal, next.as_ref())
            }
            Request::Install { membership, accepted } => self.install(membership, accepted),
            Request::Learn { epoch, accepted } => self.learn(*epoch, accepted),
        };
        let changed = before.0 != self.state.membership.epoch
            || before.1 != self.state.promised
            || before.2 != *self.ballot();
        let response = Response {
            refusal: refusal.err(),
            disk: self.state.disk.clone(),
            membership: self.state.membership.clone(),
            promised: self.state.promised.clone(),
            ballot: self.ballot().clone(),
            next: self.state.accepted.next.clone(),
            value: self.value_for(request),
        };
        (response, changed)
    }

    fn ballot(&self) -> &Ballot {
        &self.state.accepted.ballot
    }

    /// The value, where it is asked for and the proposer does not have it.
    fn value_for(&self, request: &Request) -> Option<Arc<Value>> {
        let epoch = self.state.membership.epoch;
        let has = match request {
            Request::Read { known } => known.as_ref().is_some_and(|(e, b)| *e == epoch && b == self.ballot()),
            Request::Prepare { epoch: asked, known, .. } => {
                *asked != epoch || known.as_ref() == Some(self.ballot())
            }
            _ => true,
        };
        (!has).then(|| self.state.accepted.value.clone())
    }

    /// Its vote counts only in the epoch whose state it holds, and only under the name that it has now.
    fn may_vote(&self, epoch: u64) -> Result<(), Refusal> {
        if epoch != self.state.membership.epoch {
            return Err(Refusal::OtherEpoch);
        }
        if self.votes() { Ok(()) } else { Err(Refusal::NotAMember) }
    }

    fn prepare(&mut self, epoch: u64, ballot: &Ballot) -> Result<(), Refusal> {
        self.may_vote(epoch)?;
        self.promise(ballot)
    }

    /// The one place where a ballot is promised: the promise only rises.
    fn promise(&mut self, ballot: &Ballot) -> Result<(), Refusal> {
        if *ballot < self.state.promised {
            return Err(Refusal::Outbid);
        }
        self.state.promised = ballot.clone();
        Ok(())
    }

    fn accept(
        &mut self, epoch: u64, ballot: &Ballot, proposal: &Proposal, next: Option<&Membership>,
    ) -> Result<(), Refusal> {
        self.may_vote(epoch)?;
        if next.is_some_and(|next| next.epoch != epoch + 1) {
            return Err(Refusal::Malformed);
        }
        // It came twice.
        if ballot == self.ballot() {
            return Ok(());
        }
        if *ballot < self.state.promised {
            return Err(Refusal::Outbid);
        }
        let value = self.whole(proposal)?;
        self.promise(ballot)?;
        self.take_over(Accepted { ballot: ballot.clone(), value, next: next.cloned() });
        Ok(())
    }

    /// A proposal's value, worked out from what is held here.
    fn whole(&self, proposal: &Proposal) -> Result<Arc<Value>, Refusal> {
        let held = |base: &Ballot| (base == self.ballot()).then(|| self.state.accepted.value.clone());
        match proposal {
            Proposal::Whole(value) => Ok(value.clone()),
            Proposal::Same { base } => held(base).ok_or(Refusal::NeedsWhole),
            Proposal::With { base, config } => {
                let value = held(base).ok_or(Refusal::NeedsWhole)?;
                Ok(Arc::new(value.with(config)))
            }
        }
    }

    /// The one place where the accepted value changes within an epoch: its ballot only rises.
    fn take_over(&mut self, accepted: Accepted) {
        debug_assert!(accepted.ballot > *self.ballot(), "the accepted ballot only rises");
        self.state.accepted = accepted;
    }

    /// The one place where the epoch changes: it only rises, and comes with its state.
    fn install(&mut self, membership: &Membership, accepted: &Accepted) -> Result<(), Refusal> {
        if !membership.has(&self.state.disk) {
            return Err(Refusal::NotAMember);
        }
        if membership.epoch > self.state.membership.epoch {
            self.state.membership = membership.clone();
            self.state.promised = accepted.ballot.clone();
            self.state.accepted = accepted.clone();
        }
        Ok(())
    }

    /// A chosen value may be taken over whatever was promised: every later proposal follows from it.
    fn learn(&mut self, epoch: u64, accepted: &Accepted) -> Result<(), Refusal> {
        self.may_vote(epoch)?;
        if accepted.ballot > *self.ballot() {
            let promised = self.state.promised.clone().max(accepted.ballot.clone());
            self.state.promised = promised;
            self.take_over(accepted.clone());
        }
        Ok(())
    }
}
