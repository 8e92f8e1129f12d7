//! Which queries are admitted, and how queries without an answer end.

use super::*;

impl<H: Host> Gatherer<H> {
    /// Time up to which an answer has any utility and can be given, less a margin.
    pub(super) fn expiry(&self, q: &Query) -> Duration {
        let v = &self.verticals[q.vertical];
        let useful = if v.late_utility > 0.0 { q.deadline } else { q.deadline.min(q.arrived + v.slo) };
        self.answer_limit.map_or(useful, |limit| useful.min(limit)).saturating_sub(self.end_margin)
    }

    /// Whether a tenant uses at most this gatherer's share of its quota, or as much as another tenant does.
    pub(super) fn is_within_quota(&mut self, tenant: Option<usize>) -> bool {
        let Some(t) = tenant.filter(|t| *t < self.tenants.len()) else { return true };
        self.tenants[t].1.count(self.now);
        let used = |(quota, rate): &(f64, Rate)| rate.at(self.now) / quota;
        let others = self.tenants.iter().enumerate().filter(|(u, _)| *u != t).map(|(_, u)| used(u));
        let allowed = others.fold(self.gatherer_share, f64::max);
        self.rng.f64() * used(&self.tenants[t]) <= allowed * QUOTA_SLACK_RATIO
    }

    /// Admits a query if it is predicted to finish in time; above its tenant's quota, well in time.
    pub(super) fn admit(&mut self, number: u64) {
        let within_quota = self.is_within_quota(self.queries[&number].tenant);
        let q = &self.queries[&number];
        let v = &self.verticals[q.vertical];
        let (mut weight, mut latencies) = (0.0, Vec::new());
        // If partial answers have utility, one bad shard must not get the query rejected.
        let need = if v.squared { v.min_weight } else { v.need };
        for (w, _, latency, _) in self.sendable_parts(q) {
            if weight < need - self.weight_tolerance {
                weight += w;
                latencies.push(latency);
            }
        }
        let n = latencies.len().max(1) as f64;
        let predicted = latencies.iter().sum::<f64>() / n + v.latency_s[1] * self.fleet_slowdown;
        let ratio = if within_quota { 1.0 } else { OVER_QUOTA_TIME_RATIO };
        let limit = (v.client_wait_s * ratio).min(self.expiry(q).saturating_sub(self.now).as_secs_f64());
        // The prediction decays: else rejecting all queries would keep it from ever being corrected.
        let slowest = latencies.iter().copied().fold(predicted * (1.0 + FAN_OUT_RATIO * n.ln()), f64::max);
        let is_too_late = slowest * self.recency(v.last_answer) > limit || !self.may_begin_query(q);
        if weight < v.min_weight - self.weight_tolerance || is_too_late {
            return self.end_unanswered(number);
        }
        self.review(number);
    }

    /// Ends a query without an answer: rejects it if a retry is safe, else aborts it.
    pub(super) fn end_unanswered(&mut self, number: u64) {
        let q = &self.queries[&number];
        let v = &mut self.verticals[q.vertical];
        if q.parts.iter().any(|p| p.calls > 0) {
            v.latency_quantile.observe_unanswered((self.now - q.arrived).as_secs_f64());
        }
        let may_have_run = q.step > 0 || q.parts.iter().any(|p| p.may_have_run || p.active > 0);
        if v.idempotency == Idempotency::Idempotent || !may_have_run {
            let wait = Duration::from_secs_f64(v.latency_s[0] * self.fleet_slowdown);
            self.host.reject(q.id, self.max_retry_after.map(|max| wait.min(max)));
        } else {
            self.host.abort(q.id);
        }
        self.drop_query(number);
    }
}
