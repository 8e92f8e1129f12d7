//! Which queries are taken, and how those are given up that are not.

use super::*;

impl<H: Host> Gatherer<H> {
    /// When nothing of utility can come of a query any more, a little before its time is up.
    pub(super) fn end_of(&self, q: &Query) -> Duration {
        let v = &self.verticals[q.vertical];
        let useful = if v.late_utility > 0.0 { q.until } else { q.until.min(q.came + v.slo) };
        useful.saturating_sub(self.end_margin)
    }

    /// Whether a query is within its tenant's share: the even part of it, or more if others get more here.
    pub(super) fn within_share(&mut self, tenant: Option<usize>) -> bool {
        let Some(t) = tenant.filter(|t| *t < self.tenants.len()) else { return true };
        self.tenants[t].1.count(self.now);
        let used = |(share, rate): &(f64, Rate)| rate.at(self.now) / share;
        let others = self.tenants.iter().enumerate().filter(|(u, _)| *u != t).map(|(_, u)| used(u));
        let part = others.fold(self.even_share, f64::max);
        self.rng.f64() * used(&self.tenants[t]) <= part * SHARE_SLACK
    }

    /// Takes a query if it is predicted to be in time; beyond its tenant's share, well in time.
    pub(super) fn admit(&mut self, number: u64) {
        let within = self.within_share(self.queries[&number].tenant);
        let q = &self.queries[&number];
        let v = &self.verticals[q.vertical];
        let (mut weight, mut times) = (0.0, Vec::new());
        // Where a partial answer is worth its part, one bad shard must not turn the query away.
        let need = if v.squared { v.floor } else { v.need };
        for (w, _, time, _) in self.waiting(q) {
            if weight < need - WEIGHT_SLACK {
                weight += w;
                times.push(time);
            }
        }
        let n = times.len().max(1) as f64;
        let predicted = times.iter().sum::<f64>() / n + v.usual[1] * self.usual_pace;
        let share = if within { 1.0 } else { BEYOND_SHARE };
        let time = (v.patience * share).min(self.end_of(q).saturating_sub(self.now).as_secs_f64());
        // What was predicted fades, so that none keeps itself true by rejecting all.
        let slowest = times.iter().copied().fold(predicted * (1.0 + STRETCH * n.ln()), f64::max);
        if weight < v.floor - WEIGHT_SLACK || slowest * self.fresh(v.heard) > time {
            return self.give_up(number);
        }
        self.review(number);
    }

    /// Ends a query without an answer: sent back where that is honest, else given up.
    pub(super) fn give_up(&mut self, number: u64) {
        let q = &self.queries[&number];
        let v = &self.verticals[q.vertical];
        let ran = q.step > 0 || q.parts.iter().any(|p| p.maybe_ran || p.out > 0);
        if v.idempotency == Idempotency::Idempotent || !ran {
            let wait = Duration::from_secs_f64(v.usual[0] * self.usual_pace);
            self.host.reject(q.id, self.back_after.map(|most| wait.min(most)));
        } else {
            self.host.abort(q.id);
        }
        self.drop_query(number);
    }
}
