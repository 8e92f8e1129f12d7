//! State of one process that seeks, holds and releases a lease.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::{LeaseTerms, Permit, Reply, SingletonRole};

/// Number of lease durations for which a process does not seek the role after its lease ended without being
/// released. A process whose calls are too slow to renew a lease would soon lose it again.
const BACKOFF_LEASES: u32 = 20;

/// Relation of a process to a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum ParticipantState {
    /// The process is not the owner.
    #[default]
    Candidate,
    /// The process is the owner.
    Owner {
        /// Epoch of its lease.
        epoch: u64,
        /// Time on its own clock from which the lease may have expired.
        expires_at: Duration,
    },
}

/// Change of ownership of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The process has become the owner.
    Acquired {
        /// Epoch of its lease.
        epoch: u64,
    },
    /// The process is no longer the owner.
    Lost,
}

/// Participation of one process in a role. All times are on the process's own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseParticipant {
    state: ParticipantState,
    /// Highest epoch that the process has owned or was fenced by.
    latest_epoch: u64,
    /// Time before which the process does not seek the role.
    backoff_until: Duration,
    /// Whether a call sent since the last grant went unanswered and may still have been received.
    has_unanswered_call: bool,
}

impl LeaseParticipant {
    /// Returns whether the process is a candidate or the owner.
    #[must_use]
    pub fn state(&self) -> &ParticipantState {
        &self.state
    }

    /// Returns the epoch in which the process owns the role, if it does.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        match self.state {
            ParticipantState::Owner { epoch, .. } => Some(epoch),
            ParticipantState::Candidate => None,
        }
    }

    /// Returns whether the process seeks the role. It does not during the backoff after losing a lease, nor
    /// if its last call to a keeper took so long that it could not renew a lease in time.
    #[must_use]
    pub fn is_seeking(&self, last_call_duration: Duration, now: Duration, terms: &LeaseTerms) -> bool {
        let is_candidate = self.state == ParticipantState::Candidate;
        is_candidate && now >= self.backoff_until && last_call_duration < terms.renewal_interval()
    }

    /// Records that a call was not answered although it may have been received.
    pub fn call_unanswered(&mut self) {
        self.has_unanswered_call = true;
    }

    /// Returns whether the owner may send a renewal. If keepers receive its calls but their replies are lost,
    /// each renewal extends the lease at the keepers and delays the next owner; so the owner stops renewing
    /// before its lease ends.
    #[must_use]
    pub fn may_renew(&self, now: Duration, terms: &LeaseTerms) -> bool {
        let ParticipantState::Owner { expires_at, .. } = self.state else { return false };
        !self.has_unanswered_call || now + terms.renewal_cutoff() < expires_at
    }

    /// Ends the ownership if the lease may have expired at `now`.
    pub fn tick(&mut self, now: Duration, terms: &LeaseTerms) -> Option<Transition> {
        let ParticipantState::Owner { expires_at, .. } = self.state else { return None };
        (now >= expires_at).then(|| self.lose_lease(now, terms))
    }

    /// Ends the ownership and starts the backoff.
    fn lose_lease(&mut self, now: Duration, terms: &LeaseTerms) -> Transition {
        self.backoff_until = now + terms.lease * BACKOFF_LEASES;
        self.release()
    }

    /// Processes the reply to a call that was sent at `sent_at` to acquire or renew the lease.
    pub fn reply_received(
        &mut self, sent_at: Duration, reply: &Reply, now: Duration, terms: &LeaseTerms,
    ) -> Option<Transition> {
        match (reply, &mut self.state) {
            (Reply::Granted { epoch }, ParticipantState::Owner { epoch: own_epoch, expires_at })
                if epoch == own_epoch =>
            {
                // Replies may arrive in a different order than their calls were sent.
                *expires_at = (*expires_at).max(sent_at + terms.holder_duration());
                self.has_unanswered_call = false;
                self.tick(now, terms)
            }
            (Reply::Granted { epoch }, ParticipantState::Candidate) => {
                self.accept_grant(*epoch, sent_at + terms.holder_duration(), now)
            }
            (Reply::Fenced { epoch }, ParticipantState::Owner { epoch: own_epoch, .. })
                if *epoch >= *own_epoch =>
            {
                self.latest_epoch = self.latest_epoch.max(*epoch);
                Some(self.lose_lease(now, terms))
            }
            _ => None,
        }
    }

    /// Becomes the owner, unless the granted lease has already expired or its epoch is not later than the
    /// latest known.
    fn accept_grant(&mut self, epoch: u64, expires_at: Duration, now: Duration) -> Option<Transition> {
        if now >= expires_at || epoch <= self.latest_epoch {
            return None;
        }
        self.state = ParticipantState::Owner { epoch, expires_at };
        self.latest_epoch = epoch;
        self.has_unanswered_call = false;
        Some(Transition::Acquired { epoch })
    }

    /// Ends the ownership at once, without waiting for the keepers.
    pub fn release(&mut self) -> Transition {
        self.state = ParticipantState::Candidate;
        Transition::Lost
    }

    /// Returns a permit for one action if the process owns the role at `now`.
    #[must_use]
    pub fn permit<R: SingletonRole>(&self, now: Duration) -> Option<Permit<R>> {
        let ParticipantState::Owner { epoch, expires_at } = self.state else { return None };
        (now < expires_at).then(|| Permit::new(epoch, expires_at))
    }
}
