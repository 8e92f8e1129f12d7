//! Tenants' shares of one purpose: lent out while others don't need them, given back when they do.

use std::time::Duration;

/// A tenant that has taken something within this time may need its whole share: bursts of one client are
/// closer together, and what was lent comes back within a query's time.
const ACTIVE_FOR: Duration = Duration::from_secs(5);
/// Share of the cap that is never lent out while another tenant is idle: with it the first queries of one
/// that wakes find room before what it lent has come back.
const KEPT_BACK: f64 = 0.25;

#[derive(Clone, Debug)]
pub(crate) struct Tenant {
    pub now: u64,
    pub peak: u64,
    pub refused: u64,
    weight: f64,
    active: Option<Duration>,
}

/// The tenants of one purpose, the last of them all that have no name.
#[derive(Clone, Debug)]
pub(crate) struct Shares {
    pub tenants: Vec<Tenant>,
    weights: f64,
}

impl Shares {
    pub(crate) fn new(weights: &[f64]) -> Shares {
        let tenant = |weight: f64| Tenant { now: 0, peak: 0, refused: 0, weight, active: None };
        let tenants: Vec<Tenant> = weights.iter().map(|w| tenant(*w)).collect();
        let weights = tenants.iter().map(|t| t.weight).sum::<f64>();
        // The nameless have no share where there are names, and all of it where there are none.
        let rest = if weights > 0.0 { 0.0 } else { 1.0 };
        let tenants = tenants.into_iter().chain([tenant(rest)]).collect();
        Shares { tenants, weights: weights + rest }
    }

    pub(crate) fn index(&self, tenant: Option<usize>) -> usize {
        let last = self.tenants.len() - 1;
        tenant.filter(|t| *t < last).unwrap_or(last)
    }

    /// What a tenant may always take of a cap.
    pub(crate) fn share(&self, tenant: usize, cap: u64) -> u64 {
        (cap as f64 * self.tenants[tenant].weight / self.weights) as u64
    }

    /// Whether a tenant may take so much more while so much of the cap is in use: within its share always;
    /// beyond it only what the others that are active, or may wake, don't need.
    pub(crate) fn may_take(&mut self, tenant: usize, bytes: u64, used: u64, cap: u64, now: Duration) -> bool {
        let own = &mut self.tenants[tenant];
        own.active = Some(now);
        if own.now + bytes <= self.share(tenant, cap) {
            return true;
        }
        let (mut owed, mut idle) = (0, 0);
        for (at, t) in self.tenants.iter().enumerate().filter(|(at, _)| *at != tenant) {
            let unused = self.share(at, cap).saturating_sub(t.now);
            match t.active {
                Some(active) if now < active + ACTIVE_FOR => owed += unused,
                _ => idle += unused,
            }
        }
        let kept_back = idle.min((cap as f64 * KEPT_BACK) as u64);
        used + bytes + owed + kept_back <= cap
    }

    pub(crate) fn add(&mut self, tenant: usize, bytes: u64) {
        let t = &mut self.tenants[tenant];
        t.now += bytes;
        t.peak = t.peak.max(t.now);
    }

    pub(crate) fn give_back(&mut self, tenant: usize, bytes: u64) {
        self.tenants[tenant].now -= bytes;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CAP: u64 = 1000;

    /// Takes units of ten until refused; how much that was.
    fn fill(shares: &mut Shares, tenant: usize, now: Duration) -> u64 {
        let mut got = 0;
        loop {
            let used: u64 = shares.tenants.iter().map(|t| t.now).sum();
            if used + 10 > CAP || !shares.may_take(tenant, 10, used, CAP, now) {
                return got;
            }
            shares.add(tenant, 10);
            got += 10;
        }
    }

    #[test]
    fn a_tenant_alone_takes_all() {
        assert_eq!(fill(&mut Shares::new(&[]), 0, Duration::ZERO), CAP);
        let mut shares = Shares::new(&[1.0]);
        assert_eq!(fill(&mut shares, 0, Duration::ZERO), CAP);
    }

    #[test]
    fn what_is_idle_is_lent_but_for_what_is_kept_back_and_comes_back_when_it_is_needed() {
        let mut shares = Shares::new(&[1.0, 1.0]);
        let mut now = Duration::from_secs(100);
        assert_eq!(fill(&mut shares, 0, now), 750, "a quarter is kept back for the other");
        assert_eq!(fill(&mut shares, 1, now), 250, "which gets it at once");
        // What was lent is given back as it ends, and not taken again.
        shares.give_back(0, 100);
        assert_eq!(fill(&mut shares, 0, now), 0);
        assert_eq!(fill(&mut shares, 1, now), 100);
        shares.give_back(0, 150);
        assert_eq!(fill(&mut shares, 0, now), 0, "at its share, and the other is active");
        now += ACTIVE_FOR;
        shares.give_back(1, 350);
        assert_eq!(fill(&mut shares, 0, now), 250, "the other is idle again");
    }

    #[test]
    fn shares_go_by_weight_and_the_nameless_only_borrow() {
        let mut shares = Shares::new(&[3.0, 1.0]);
        let now = Duration::from_secs(1);
        assert_eq!((shares.share(0, CAP), shares.share(1, CAP), shares.share(2, CAP)), (750, 250, 0));
        assert_eq!(shares.index(Some(7)), 2);
        assert_eq!(fill(&mut shares, 2, now), 750);
        assert_eq!(fill(&mut shares, 1, now), 250);
    }
}
