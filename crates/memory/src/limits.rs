//! Caps and reserves of memory by purpose.

use crate::purpose::Purpose;

/// Fraction of the configured memory that all purposes may use together. The rest covers the program itself,
/// allocations without a purpose, temporary copies, and memory that the allocator cannot return.
const USABLE_MEMORY_RATIO: f64 = 0.55;
/// Cap and reserve of each purpose as fractions of the usable memory. Purposes that clients fill have their
/// whole cap reserved: otherwise one tenant could overload one purpose and use up the memory on which the
/// shares of other tenants in another purpose depend.
const CAP_AND_RESERVE_RATIOS: [(Purpose, f64, f64); Purpose::COUNT] = [
    (Purpose::Connections, 0.22, 0.18),
    (Purpose::Bodies, 0.07, 0.07),
    (Purpose::Queries, 0.13, 0.13),
    (Purpose::Calls, 0.10, 0.05),
    (Purpose::Frames, 0.14, 0.08),
    (Purpose::Values, 0.18, 0.18),
    (Purpose::Answers, 0.18, 0.18),
    (Purpose::Servers, 0.14, 0.04),
    (Purpose::Logs, 0.02, 0.02),
];
/// Lower bound of each cap: twice the longest body or frame fits under it.
const MIN_CAP_BYTES: u64 = 128 * 1024;

/// Limits of one purpose, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Maximum of the open charges.
    pub cap: u64,
    /// Part of the total that other purposes cannot use.
    pub reserve: u64,
}

/// Limits of all purposes, in bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum of the open charges of all purposes together.
    pub total: u64,
    by_purpose: [Limit; Purpose::COUNT],
}

impl Limits {
    /// Derives the limits from the memory configured for the process, in bytes.
    pub fn of_memory(memory: u64) -> Limits {
        let total = (memory as f64 * USABLE_MEMORY_RATIO) as u64;
        let mut by_purpose = [Limit { cap: 0, reserve: 0 }; Purpose::COUNT];
        for (purpose, cap, reserve) in CAP_AND_RESERVE_RATIOS {
            let cap = ((total as f64 * cap) as u64).max(MIN_CAP_BYTES.min(total));
            let reserve = ((total as f64 * reserve) as u64).min(cap);
            by_purpose[purpose.index()] = Limit { cap, reserve };
        }
        Limits { total, by_purpose }
    }

    /// Scales all limits in proportion to a new total.
    pub fn scale(&mut self, total: u64) {
        let factor = total as f64 / self.total as f64;
        let scaled = |bytes: u64| (bytes as f64 * factor) as u64;
        let scaled =
            |l: Limit| Limit { cap: scaled(l.cap).max(MIN_CAP_BYTES.min(total)), reserve: scaled(l.reserve) };
        *self = Limits { total, by_purpose: self.by_purpose.map(scaled) };
    }

    /// Returns the limits of one purpose.
    pub fn of(&self, purpose: Purpose) -> Limit {
        self.by_purpose[purpose.index()]
    }

    /// Sets the limits of one purpose.
    pub fn set(&mut self, purpose: Purpose, limit: Limit) {
        self.by_purpose[purpose.index()] = limit;
    }

    /// Returns every contradiction between the limits, with the bound that is violated.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        for purpose in Purpose::ALL {
            let (Limit { cap, reserve }, name) = (self.of(purpose), purpose.name());
            if cap == 0 {
                faults.push(format!("{name}: a cap of 0 admits nothing; set at least {MIN_CAP_BYTES} bytes"));
            }
            if reserve > cap {
                faults.push(format!("{name}: its reserve of {reserve} is above its cap of {cap}"));
            }
            if cap > self.total {
                faults.push(format!("{name}: its cap of {cap} is above the total of {}", self.total));
            }
        }
        let reserves: u64 = self.by_purpose.iter().map(|l| l.reserve).fold(0, u64::saturating_add);
        if reserves > self.total {
            faults.push(format!("the reserves make {reserves}, above the total of {}", self.total));
        }
        faults
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn limits_from_any_memory_are_consistent() {
        for mb in [2, 32, 64, 192, 100_000] {
            let limits = Limits::of_memory(mb << 20);
            assert_eq!(limits.faults(), Vec::<String>::new(), "{mb} MB");
            assert!(limits.total < (mb << 20) * 6 / 10);
        }
    }

    #[test]
    fn every_contradiction_is_reported() {
        let mut limits = Limits::of_memory(32 << 20);
        limits.set(Purpose::Logs, Limit { cap: 0, reserve: 0 });
        limits.set(Purpose::Values, Limit { cap: 1000, reserve: 2000 });
        limits.set(Purpose::Frames, Limit { cap: u64::MAX, reserve: u64::MAX });
        let faults = limits.faults();
        assert!(faults.iter().any(|f| f.starts_with("logs: a cap of 0")), "{faults:?}");
        assert!(faults.iter().any(|f| f.starts_with("values: its reserve of 2000")), "{faults:?}");
        assert!(faults.iter().any(|f| f.starts_with("frames: its cap")), "{faults:?}");
        assert!(faults.iter().any(|f| f.starts_with("the reserves make")), "{faults:?}");
    }
}
