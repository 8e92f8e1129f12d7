//! Decides on a keeper's own clock when a lease has expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Command, Lease, LeaseRecord, LeaseTerms, Reply};

/// Epoch and renewals of a lease, with the time at which this keeper received its last change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedLease {
    epoch: u64,
    renewals: u64,
    observed_at: Duration,
}

impl ObservedLease {
    fn matches(&self, lease: &Lease) -> bool {
        self.epoch == lease.epoch && self.renewals == lease.renewals
    }
}

/// Times, on a keeper's own clock, at which the keeper received the last change of each lease. Expiry is
/// decided by these times alone. A keeper that receives a change late, or receives it again after a restart,
/// finds the lease expired later than necessary but never too early.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseExpiry {
    observed: BTreeMap<String, ObservedLease>,
}

impl LeaseExpiry {
    /// Records the time of changed leases after the record was changed, read from disk or received from
    /// another keeper.
    pub fn observe(&mut self, record: &LeaseRecord, now: Duration) {
        for (role, lease) in &record.leases {
            if !self.observed.get(role).is_some_and(|observed| observed.matches(lease)) {
                let observed =
                    ObservedLease { epoch: lease.epoch, renewals: lease.renewals, observed_at: now };
                self.observed.insert(role.clone(), observed);
            }
        }
    }

    /// Returns whether a role's lease is free or has expired, so that another process may acquire it.
    #[must_use]
    pub fn is_expired(&self, record: &LeaseRecord, role: &str, now: Duration, terms: &LeaseTerms) -> bool {
        let lease = record.lease(role);
        let has_expired = |observed: &ObservedLease| {
            observed.matches(&lease) && now >= observed.observed_at + terms.expiry_delay()
        };
        lease.owner.is_none() || self.observed.get(role).is_some_and(has_expired)
    }

    /// Creates the command by which `owner` acquires a role, if its lease is free or has expired on this
    /// keeper's clock.
    ///
    /// # Errors
    ///
    /// Returns the reply for the caller if the role has an unexpired lease.
    pub fn acquire(
        &self, record: &LeaseRecord, role: &str, owner: &str, now: Duration, terms: &LeaseTerms,
    ) -> Result<Command, Reply> {
        let Lease { epoch, renewals, .. } = record.lease(role);
        if !self.is_expired(record, role, now, terms) {
            return Err(Reply::Fenced { epoch });
        }
        Ok(Command::Acquire { role: role.to_owned(), owner: owner.to_owned(), epoch, renewals })
    }
}
