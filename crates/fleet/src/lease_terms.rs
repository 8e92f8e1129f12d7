//! Duration of a lease, and how owners and keepers measure it on clocks that drift.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Minimum lease. Several leader elections of the keepers must fit into it; otherwise each election would
/// cost the owner its lease.
pub const MIN_LEASE: Duration = Duration::from_millis(1500);
/// Maximum lease. A fleet may be without an owner for about this long.
pub const MAX_LEASE: Duration = Duration::from_secs(60);
/// Maximum configurable drift of a clock's rate from true time, as a fraction. Quartz clocks drift by at most
/// 0.0001, the slewed clock of a virtual machine by 0.0005.
pub const MAX_DRIFT: f64 = 0.1;
/// Fraction of the holder duration after which the owner renews its lease.
const RENEWAL_FRACTION: f64 = 0.25;
/// Maximum duration of a call, as a fraction of the renewal interval. It leaves time for retries before an
/// owner whose calls go unanswered stops renewing.
const CALL_TIMEOUT_FRACTION: f64 = 0.5;
/// Fraction of the holder duration after which an owner without a reply stops renewing. Keepers may receive a
/// renewal whose reply is lost, and wait for another complete lease after each one they receive.
const RENEWAL_CUTOFF_FRACTION: f64 = 0.5;
/// Minimum number of keepers.
const MIN_KEEPERS: usize = 3;
/// Maximum number of keepers.
const MAX_KEEPERS: usize = 5;

/// Duration of a lease and the drift bound of the clocks that measure it.
///
/// With drift d, an owner acts for `lease * (1 - d)` on its own clock from the time it *sent* the granted
/// call, and keepers wait for `lease * (1 + d)` on theirs from the time they *received* it. With any two
/// clocks within the bound, the owner's time ends first.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseTerms {
    /// Duration of the lease in true time.
    pub lease: Duration,
    /// Maximum deviation of any clock's rate from the true rate, as a fraction.
    pub drift: f64,
}

/// Invalid value in the terms of a lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TermsFault {
    /// The lease is shorter than [`MIN_LEASE`] or longer than [`MAX_LEASE`].
    Lease(Duration),
    /// The drift is not between 0 and [`MAX_DRIFT`].
    Drift(f64),
}

impl fmt::Display for TermsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TermsFault::Lease(lease) => {
                let (ms, min, max) = (lease.as_millis(), MIN_LEASE.as_millis(), MAX_LEASE.as_millis());
                let reason = "a shorter lease would not survive an election of the keepers";
                write!(f, "lease of {ms} ms is outside the range of {min} to {max} ms: {reason}")
            }
            TermsFault::Drift(drift) => {
                write!(f, "drift of {drift} is outside the range of 0 to {MAX_DRIFT}")
            }
        }
    }
}

impl LeaseTerms {
    /// Returns how long an owner may act, on its own clock, from the time it sent the granted call.
    #[must_use]
    pub fn holder_duration(&self) -> Duration {
        self.lease.mul_f64(1.0 - self.drift)
    }

    /// Returns how long a keeper waits, on its own clock, from the time it received the last change of a
    /// lease.
    #[must_use]
    pub fn expiry_delay(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.drift)
    }

    /// Returns the time between a granted call and the next renewal.
    #[must_use]
    pub fn renewal_interval(&self) -> Duration {
        self.holder_duration().mul_f64(RENEWAL_FRACTION)
    }

    /// Returns the maximum duration of a call to a keeper.
    #[must_use]
    pub fn max_call_duration(&self) -> Duration {
        self.renewal_interval().mul_f64(CALL_TIMEOUT_FRACTION)
    }

    /// Returns how long before the end of its lease an owner stops renewing if a call went unanswered but may
    /// have been received. With this cutoff the role has a new owner at most one and a half leases after the
    /// last reply.
    #[must_use]
    pub fn renewal_cutoff(&self) -> Duration {
        self.holder_duration().mul_f64(1.0 - RENEWAL_CUTOFF_FRACTION)
    }

    /// Returns all invalid values of the terms.
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

/// Invalid set of keepers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeepersFault {
    /// The number of keepers is too small, too large or even.
    Count(usize),
    /// Two keepers have the same address.
    SameAddress {
        /// Number of the first keeper.
        first: u64,
        /// Number of the second keeper.
        second: u64,
        /// The common address.
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

/// Returns all faults of a set of keepers, given as pairs of number and address.
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
