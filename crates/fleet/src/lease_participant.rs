//! One process's way to a lease and out of it.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::{LeaseTerms, Permit, Reply, SingletonRole};

/// A process that has lost a lease because its calls took too long leaves the role to others for so many leases: one that is
/// as badly off as that would only lose it again.
const BACKOFF_LEASES: u32 = 20;

/// Where a process stands with a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub enum ParticipantState {
    /// It is not the owner.
    #[default]
    Candidate,
    /// It is the owner.
    Owner {
        /// The epoch of its lease.
        epoch: u64,
        /// When the lease may be over, on its own clock.
        expires_at: Duration,
    },
}

/// What has changed for the role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The process is the owner from now on.
    Acquired {
        /// The epoch of its lease.
        epoch: u64,
    },
    /// It is not any more.
    Lost,
}

/// One process's part in a role. Time is what has passed on its own clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseParticipant {
    state: ParticipantState,
    /// The latest epoch that it owned or was fenced by.
    latest_epoch: u64,
    /// It does not seek the role before.
    backoff_until: Duration,
    /// Something that it sent since the last answer may have been received.
    has_unanswered_call: bool,
}

impl LeaseParticipant {
    /// Where it stands.
    #[must_use]
    pub fn state(&self) -> &ParticipantState {
        &self.state
    }

    /// The epoch in which it owns the role.
    #[must_use]
    pub fn epoch(&self) -> Option<u64> {
        match self.state {
            ParticipantState::Owner { epoch, .. } => Some(epoch),
            ParticipantState::Candidate => None,
        }
    }

    /// Whether it would take the role, if that is free, when its last call to a keeper took so long: one that could not
    /// renew its lease in time does not.
    #[must_use]
    pub fn is_seeking(&self, last_call_duration: Duration, now: Duration, terms: &LeaseTerms) -> bool {
        let is_candidate = self.state == ParticipantState::Candidate;
        is_candidate && now >= self.backoff_until && last_call_duration < terms.renewal_interval()
    }

    /// What it sent was not answered, and may have been received all the same.
    pub fn call_unanswered(&mut self) {
        self.has_unanswered_call = true;
    }

    /// Whether an owner still renews its lease. One that is heard and does not hear would hold up its successor with every
    /// renewal.
    #[must_use]
    pub fn may_renew(&self, now: Duration, terms: &LeaseTerms) -> bool {
        let ParticipantState::Owner { expires_at, .. } = self.state else { return false };
        !self.has_unanswered_call || now + terms.renewal_cutoff() < expires_at
    }

    /// Time goes on: an owner whose lease may be over stops.
    pub fn tick(&mut self, now: Duration, terms: &LeaseTerms) -> Option<Transition> {
        let ParticipantState::Owner { expires_at, .. } = self.state else { return None };
        (now >= expires_at).then(|| self.lose_lease(now, terms))
    }

    fn lose_lease(&mut self, now: Duration, terms: &LeaseTerms) -> Transition {
        self.backoff_until = now + terms.lease * BACKOFF_LEASES;
        self.release()
    }

    /// A call that was sent at `sent_at`, to acquire or renew, is answered.
    pub fn reply_received(
        &mut self, sent_at: Duration, reply: &Reply, now: Duration, terms: &LeaseTerms,
    ) -> Option<Transition> {
        match (reply, &mut self.state) {
            (Reply::Granted { epoch }, ParticipantState::Owner { epoch: own_epoch, expires_at })
                if epoch == own_epoch =>
            {
                // Answers may come in another order than they were asked for.
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

    /// A grant that comes after the lease is over, or of an epoch that is over, grants nothing.
    fn accept_grant(&mut self, epoch: u64, expires_at: Duration, now: Duration) -> Option<Transition> {
        if now >= expires_at || epoch <= self.latest_epoch {
            return None;
        }
        self.state = ParticipantState::Owner { epoch, expires_at };
        self.latest_epoch = epoch;
        self.has_unanswered_call = false;
        Some(Transition::Acquired { epoch })
    }

    /// It stops being the owner at once, whatever the keepers know of that.
    pub fn release(&mut self) -> Transition {
        self.state = ParticipantState::Candidate;
        Transition::Lost
    }

    /// Leave for one act.
    #[must_use]
    pub fn permit<R: SingletonRole>(&self, now: Duration) -> Option<Permit<R>> {
        let ParticipantState::Owner { epoch, expires_at } = self.state else { return None };
        (now < expires_at).then(|| Permit::new(epoch, expires_at))
    }
}
