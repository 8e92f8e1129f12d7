//! What a lease is worth, by whose clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The least lease: some elections of the keepers must fit into it, or each of them would cost an owner.
pub const LEASE_LEAST: Duration = Duration::from_millis(1500);
/// The longest: so long a fleet may be without an owner.
pub const LEASE_MOST: Duration = Duration::from_secs(60);
/// The most by which two clocks' rates may be taken to differ from true time. Quartz is off by 0.0001 at worst, a
/// virtual machine's clock that is slewed by 0.0005.
pub const DRIFT_MOST: f64 = 0.1;
/// Renewals are asked for after this share of an owner's time.
const RENEW_SHARE: f64 = 0.25;
/// A call may take this share of the time until then: further tries fit in before an owner falls silent.
const CALL_SHARE: f64 = 0.5;
/// After this share of its time without an answer an owner asks no more: what it asks may be heard although no answer
/// comes back, and each time it is heard keepers wait a whole lease anew.
const SILENT_SHARE: f64 = 0.5;
const KEEPERS_FEWEST: usize = 3;
const KEEPERS_MOST: usize = 5;

/// A lease, and how far any clock's rate may be from the true one, as a share. With d for that, an owner acts for
/// lease x (1 - d) of its own clock from when it *sent* what was granted, and keepers wait lease x (1 + d) of theirs from
/// when they *heard* of it. Whatever two clocks do within the bound, the first is over before the second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Terms {
    pub lease: Duration,
    pub drift: f64,
}

impl Terms {
    /// So long an owner acts, by its own clock, from when it sent the call that was granted.
    pub fn owner_acts(&self) -> Duration {
        self.lease.mul_f64(1.0 - self.drift)
    }

    /// So long a keeper waits, by its own clock, from when it heard of a lease's last renewal.
    pub fn keeper_waits(&self) -> Duration {
        self.lease.mul_f64(1.0 + self.drift)
    }

    /// After so long an owner asks for its lease again, and as long after each try that was not answered.
    pub fn renews_after(&self) -> Duration {
        self.owner_acts().mul_f64(RENEW_SHARE)
    }

    /// The longest that a call may take.
    pub fn call_most(&self) -> Duration {
        self.renews_after().mul_f64(CALL_SHARE)
    }

    /// So long before the end of its time an owner whose questions may have been heard and are not answered asks no
    /// more: another is in at most a lease and a half after the last answer.
    pub fn silent_for(&self) -> Duration {
        self.owner_acts().mul_f64(1.0 - SILENT_SHARE)
    }

    /// What is wrong with them, in words for an operator.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if !(LEASE_LEAST..=LEASE_MOST).contains(&self.lease) {
            let (ms, least, most) = (self.lease.as_millis(), LEASE_LEAST.as_millis(), LEASE_MOST.as_millis());
            let words = "keepers cannot hold a shorter one through an election";
            faults.push(format!("a lease of {ms} ms is not from {least} to {most}: {words}"));
        }
        if !(0.0..=DRIFT_MOST).contains(&self.drift) {
            faults.push(format!("a drift of {} is not from 0 to {DRIFT_MOST}", self.drift));
        }
        faults
    }
}

/// What is wrong with a set of keepers' numbers and addresses.
pub fn keepers_faults<'a>(keepers: impl Iterator<Item = (u64, &'a str)> + Clone) -> Vec<String> {
    let mut faults = Vec::new();
    let count = keepers.clone().count();
    if count.is_multiple_of(2) || !(KEEPERS_FEWEST..=KEEPERS_MOST).contains(&count) {
        faults.push(format!("{count} keepers; {KEEPERS_FEWEST} or {KEEPERS_MOST} are wanted, an odd number"));
    }
    let mut seen = std::collections::BTreeMap::new();
    for (number, address) in keepers {
        if let Some(other) = seen.insert(address, number) {
            faults.push(format!("keepers {other} and {number} both have the address {address}"));
        }
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whatever_two_clocks_do_within_the_bound_an_owner_stops_before_a_keeper_lets_another_in() {
        for drift in [0.0, 0.001, 0.01, 0.1] {
            let terms = Terms { lease: Duration::from_secs(3), drift };
            // The slowest owner's clock and the fastest keeper's, in true time.
            let owner = terms.owner_acts().as_secs_f64() / (1.0 - drift);
            let keeper = terms.keeper_waits().as_secs_f64() / (1.0 + drift);
            assert!(owner <= keeper + 1e-9, "{drift}: {owner} and {keeper}");
            let asks = terms.owner_acts() - terms.silent_for();
            assert!(terms.renews_after() + terms.call_most() * 2 <= asks + Duration::from_micros(1));
        }
    }

    #[test]
    fn what_keepers_cannot_hold_is_refused_in_words() {
        let good = Terms { lease: Duration::from_secs(3), drift: 0.01 };
        assert!(good.faults().is_empty());
        assert!(Terms { lease: Duration::from_millis(500), ..good }.faults()[0].contains("500 ms"));
        assert!(Terms { drift: 0.5, ..good }.faults()[0].contains("drift"));
        let faults = |keepers: &[(u64, &str)]| keepers_faults(keepers.iter().copied()).join("; ");
        assert_eq!(faults(&[(1, "a"), (2, "b"), (3, "c")]), "");
        assert!(faults(&[(1, "a"), (2, "b"), (3, "c"), (4, "d")]).contains("4 keepers"));
        assert!(faults(&[(1, "a")]).contains("1 keepers"));
        assert!(faults(&[(1, "a"), (2, "b"), (3, "a")]).contains("1 and 3"));
    }
}
