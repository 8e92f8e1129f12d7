//! When a keeper takes a lease for expired.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Command, Lease, LeaseRecord, LeaseTerms, Reply};

/// A lease as it was when a keeper received its last change.
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

/// When a keeper received each lease's last change, by its own clock: it judges by that alone whether the lease is expired.
/// A keeper that receives late, or starts again and receives anew, judges later than it might, never sooner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseExpiry {
    observed: BTreeMap<String, ObservedLease>,
}

impl LeaseExpiry {
    /// The record has changed, or was read from a disk or another keeper.
    pub fn observe(&mut self, record: &LeaseRecord, now: Duration) {
        for (role, lease) in &record.leases {
            if !self.observed.get(role).is_some_and(|observed| observed.matches(lease)) {
                let observed =
                    ObservedLease { epoch: lease.epoch, renewals: lease.renewals, observed_at: now };
                self.observed.insert(role.clone(), observed);
            }
        }
    }

    /// Whether a role may have another owner.
    #[must_use]
    pub fn is_expired(&self, record: &LeaseRecord, role: &str, now: Duration, terms: &LeaseTerms) -> bool {
        let lease = record.lease(role);
        let has_expired = |observed: &ObservedLease| {
            observed.matches(&lease) && now >= observed.observed_at + terms.expiry_delay()
        };
        lease.owner.is_none() || self.observed.get(role).is_some_and(has_expired)
    }

    /// The command by which somebody acquires a role, if that is free by this keeper's clock.
    ///
    /// # Errors
    ///
    /// The reply to who asks, if the role is not free.
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
