//! What a lease is worth, by whose clock.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The shortest lease: some elections of the keepers must fit into it, or each of them would cost an owner.
pub const MIN_LEASE: Duration = Duration::from_millis(1500);
/// The longest lease: so long a fleet may be without an owner.
pub const MAX_LEASE: Duration = Duration::from_secs(60);
/// The most by which two clocks' rates may be taken to differ from true time. Quartz is off by 0.0001 at worst, a
/// virtual machine's clock that is slewed by 0.0005.
pub const MAX_DRIFT: f64 = 0.1;
/// A renewal is sent after this fraction of an owner's time.
const RENEWAL_FRACTION: f64 = 0.25;
/// A call may take this fraction of the time until then: retries fit in before an owner falls silent.
const CALL_TIMEOUT_FRACTION: f64 = 0.5;
/// After this fraction of its time without an answer an owner renews no more: a renewal may be received although no answer
/// comes back, and each time it is keepers wait a complete lease anew.
const RENEWAL_CUTOFF_FRACTION: f64 = 0.5;
/// The fewest and the most keepers of a fleet.
const MIN_KEEPERS: usize = 3;
const MAX_KEEPERS: usize = 5;

/// A lease, and how far any clock's rate may be from the true one, as a fraction. With d for that, an owner acts for
/// lease x (1 - d) of its own clock from when it *sent* the call that was granted, and keepers wait lease x (1 + d) of
/// theirs from when they *received* it. Whatever two clocks do within the bound, the first is over before the second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// The lease, in true time.
    pub lease: Duration,
    /// How far any clock's rate may be from the true one, as a fraction.
    pub drift: f64,
}

/// What is wrong with a lease's terms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TermsFault {
    /// The lease is too short or too long.
    Lease(Duration),
    /// The drift is out of bounds.
    Drift(f64),
}

impl fmt::Display for TermsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TermsFault::Lease(lease) => {
                let (ms, min, max) = (lease.as_millis(), MIN_LEASE.as_millis(), MAX_LEASE.as_millis());
                let reason = "keepers cannot hold a shorter one through an election";
                write!(f, "a lease of {ms} ms is not from {min} to {max}: {reason}")
            }
            TermsFault::Drift(drift) => write!(f, "a drift of {drift} is not from 0 to {MAX_DRIFT}"),
        }
    }
}

impl LeaseTerms {
    /// How long an owner acts, by its own clock, from when it sent the call that was granted.
    #[must_use]
    pub fn holder_duration(&self) -> Duration {
        self.lease.mul_f64(1.0 - self.drift)
    }

    /// How long a keeper waits, by its own clock, from when it received a lease's last renewal.
    #[must_use]
    pub fn expiry_delay(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.drift)
    }

    /// Time after which an owner renews its lease, and after each renewal that was not answered.
    #[must_use]
    pub fn renewal_interval(&self) -> Duration {
        self.holder_duration().mul_f64(RENEWAL_FRACTION)
    }

    /// The longest that a call may take.
    #[must_use]
    pub fn max_call_duration(&self) -> Duration {
        self.renewal_interval().mul_f64(CALL_TIMEOUT_FRACTION)
    }

    /// How long before the end of its time an owner whose renewals may have been received and are not answered sends no
    /// more: another one is in at most a lease and a half after the last answer.
    #[must_use]
    pub fn renewal_cutoff(&self) -> Duration {
        self.holder_duration().mul_f64(1.0 - RENEWAL_CUTOFF_FRACTION)
    }

    /// What is wrong with the terms.
    #[must_use]
    pub fn faults(&self) -> Vec<TermsFault> {
        let mut faults = Vec::new();
        if !(MIN_LEASE..=MAX_LEASE).contains(&self.lease) {
            faults.push(TermsFault::Lease(self.lease));
        }
        if !(0.0..=MAX_DRIFT).contains(&self.drift) {
            faults.push(TermsFault::Drift(self.drift));
        }
        faults
    }
}

/// What is wrong with a set of keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeepersFault {
    /// There are too few, too many, or an even number.
    Count(usize),
    /// Two have one address.
    SameAddress {
        /// The number of the first.
        first: u64,
        /// The number of the second.
        second: u64,
        /// Their address.
        address: String,
    },
}

impl fmt::Display for KeepersFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeepersFault::Count(count) => {
                write!(f, "{count} keepers; {MIN_KEEPERS} or {MAX_KEEPERS} are wanted, an odd number")
            }
            KeepersFault::SameAddress { first, second, address } => {
                write!(f, "keepers {first} and {second} both have the address {address}")
            }
        }
    }
}

/// What is wrong with a set of keepers, each with its number and address.
pub fn keepers_faults<'a>(keepers: impl Iterator<Item = (u64, &'a str)> + Clone) -> Vec<KeepersFault> {
    let mut faults = Vec::new();
    let count = keepers.clone().count();
    if count.is_multiple_of(2) || !(MIN_KEEPERS..=MAX_KEEPERS).contains(&count) {
        faults.push(KeepersFault::Count(count));
    }
    let mut seen = BTreeMap::new();
    for (second, address) in keepers {
        if let Some(first) = seen.insert(address, second) {
            faults.push(KeepersFault::SameAddress { first, second, address: address.to_owned() });
        }
    }
    faults
}
