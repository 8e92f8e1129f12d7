//! Tenants' shares of one purpose. Unused shares are lent to other tenants and return to their tenant when it
//! needs them.

use std::time::Duration;

/// Time after its last request for which a tenant counts as active and may need its whole share. Bursts of
/// one client are closer together, and lent memory is released within the duration of a query.
const ACTIVE_WINDOW: Duration = Duration::from_secs(5);
/// Fraction of the cap that is never lent while another tenant is idle. The first queries of a tenant that
/// becomes active find room there before its lent memory is released.
const IDLE_RESERVE_RATIO: f64 = 0.25;

#[derive(Clone, Debug)]
pub(crate) struct Tenant {
    pub used: u64,
    pub peak: u64,
    pub refused: u64,
    weight: f64,
    last_active: Option<Duration>,
}

/// Tenants of one purpose. The last entry stands for all requests without a known tenant.
#[derive(Clone, Debug)]
pub(crate) struct Shares {
    pub tenants: Vec<Tenant>,
    total_weight: f64,
}

impl Shares {
    pub(crate) fn new(weights: &[f64]) -> Shares {
        let tenant = |weight: f64| Tenant { used: 0, peak: 0, refused: 0, weight, last_active: None };
        let tenants: Vec<Tenant> = weights.iter().map(|w| tenant(*w)).collect();
        let total_weight = tenants.iter().map(|t| t.weight).sum::<f64>();
        // Requests without a known tenant have no share if tenants are configured, and the whole cap if none
        // are.
        let unnamed_weight = if total_weight > 0.0 { 0.0 } else { 1.0 };
        let tenants = tenants.into_iter().chain([tenant(unnamed_weight)]).collect();
        Shares { tenants, total_weight: total_weight + unnamed_weight }
    }

    /// Returns the position of a tenant in `tenants`; unknown tenants map to the last entry.
    pub(crate) fn index(&self, tenant: Option<usize>) -> usize {
        let last = self.tenants.len() - 1;
        tenant.filter(|t| *t < last).unwrap_or(last)
    }

    /// Returns the bytes of a cap that a tenant may always use.
    pub(crate) fn share(&self, tenant: usize, cap: u64) -> u64 {
        (cap as f64 * self.tenants[tenant].weight / self.total_weight) as u64
    }

    /// Whether a tenant may take `bytes` more while `used` bytes of the cap are in use. Within its share it
    /// always may; beyond it, only memory that neither active tenants nor the reserve for idle ones need.
    pub(crate) fn may_take(&mut self, tenant: usize, bytes: u64, used: u64, cap: u64, now: Duration) -> bool {
        let own = &mut self.tenants[tenant];
        own.last_active = Some(now);
        if own.used + bytes <= self.share(tenant, cap) {
            return true;
        }
        let (mut active_unused, mut idle_unused) = (0, 0);
        for (index, t) in self.tenants.iter().enumerate().filter(|(index, _)| *index != tenant) {
            let unused = self.share(index, cap).saturating_sub(t.used);
            match t.last_active {
                Some(last_active) if now < last_active + ACTIVE_WINDOW => active_unused += unused,
                _ => idle_unused += unused,
            }
        }
        let idle_reserve = idle_unused.min((cap as f64 * IDLE_RESERVE_RATIO) as u64);
        used + bytes + active_unused + idle_reserve <= cap
    }

    pub(crate) fn add(&mut self, tenant: usize, bytes: u64) {
        let t = &mut self.tenants[tenant];
        t.used += bytes;
        t.peak = t.peak.max(t.used);
    }

    pub(crate) fn release(&mut self, tenant: usize, bytes: u64) {
        self.tenants[tenant].used -= bytes;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CAP: u64 = 1000;

    /// Takes units of ten bytes until refused, and returns the bytes taken.
    fn fill(shares: &mut Shares, tenant: usize, now: Duration) -> u64 {
        let mut taken = 0;
        loop {
            let used: u64 = shares.tenants.iter().map(|t| t.used).sum();
            if used + 10 > CAP || !shares.may_take(tenant, 10, used, CAP, now) {
                return taken;
            }
            shares.add(tenant, 10);
            taken += 10;
        }
    }

    #[test]
    fn a_single_tenant_may_use_the_whole_cap() {
        assert_eq!(fill(&mut Shares::new(&[]), 0, Duration::ZERO), CAP);
        let mut shares = Shares::new(&[1.0]);
        assert_eq!(fill(&mut shares, 0, Duration::ZERO), CAP);
    }

    #[test]
    fn idle_shares_are_lent_except_for_the_reserve_and_return_when_needed() {
        let mut shares = Shares::new(&[1.0, 1.0]);
        let mut now = Duration::from_secs(100);
        assert_eq!(fill(&mut shares, 0, now), 750, "a quarter of the cap stays reserved for the idle tenant");
        assert_eq!(fill(&mut shares, 1, now), 250, "the second tenant gets the reserve at once");
        // Lent memory is released as requests end, and cannot be borrowed again while the other is active.
        shares.release(0, 100);
        assert_eq!(fill(&mut shares, 0, now), 0);
        assert_eq!(fill(&mut shares, 1, now), 100);
        shares.release(0, 150);
        assert_eq!(fill(&mut shares, 0, now), 0, "the first tenant is at its share and the other is active");
        now += ACTIVE_WINDOW;
        shares.release(1, 350);
        assert_eq!(fill(&mut shares, 0, now), 250, "the other is idle again");
    }

    #[test]
    fn shares_follow_weights_and_unknown_tenants_only_borrow() {
        let mut shares = Shares::new(&[3.0, 1.0]);
        let now = Duration::from_secs(1);
        assert_eq!((shares.share(0, CAP), shares.share(1, CAP), shares.share(2, CAP)), (750, 250, 0));
        assert_eq!(shares.index(Some(7)), 2);
        assert_eq!(fill(&mut shares, 2, now), 750);
        assert_eq!(fill(&mut shares, 1, now), 250);
    }
}
