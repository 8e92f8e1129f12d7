//! When a part is sent, for the first time or again: hedging with its breaker and cap, and limits on calls.

use super::*;

impl<H: Host> Gatherer<H> {
    /// Whether idempotency and limits allow another call of a part, with `in_flight` calls of it not ended.
    pub(super) fn may_call(&self, q: &Query, p: &Part, in_flight: u32) -> bool {
        let safe = match self.verticals[q.vertical].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated(window) => {
                p.calls == 0 || self.now + self.end_margin < p.first_sent + window
            }
            Idempotency::NonIdempotent => p.active == 0 && !p.may_have_run,
        };
        let in_budget = |b: &RetryBudgetSettings| {
            let requests = self.requests.len() - self.requests.partition_point(|t| self.now - *t >= b.window);
            let retries = self.retries.len() - self.retries.partition_point(|t| self.now - *t > b.window);
            retries as f64 + 1.0 <= b.min_retries + b.ratio * requests as f64
        };
        let permitted = || self.host.may_retry(p.shard);
        // With squared utility the limit is on servers that received the part: unreachable ones do not count.
        let v = &self.verticals[q.vertical];
        let unsent = if v.squared { p.unsent.min(MAX_UNSENT_CALLS) } else { 0 };
        let allowed = p.calls == unsent || (self.retry_budget.as_ref().is_none_or(in_budget) && permitted());
        let is_permitted = safe && allowed && self.may_begin_call(q);
        !p.done && p.calls < v.max_calls + unsent && (in_flight == 0 || self.allow_hedging) && is_permitted
    }

    pub(super) fn start_call(&mut self, number: u64, at: usize, id: &ServerId) {
        let now = self.now;
        let q = &self.queries[&number];
        let timeout = self.expiry(q).saturating_sub(now);
        let expected = self.latency_s(q);
        let q = self.queries.get_mut(&number).expect("the query is held");
        let p = &mut q.parts[at];
        if let (Some(b), 1..) = (&self.retry_budget, p.calls) {
            while self.retries.front().is_some_and(|t| now - *t > b.window) {
                self.retries.pop_front();
            }
            self.retries.push_back(now);
        }
        if !p.may_have_run && p.active == 0 {
            p.first_sent = now;
        }
        let (vertical, step) = (q.vertical, q.step);
        let (key, call) = ((p.id, p.calls), Call { sent: now, vertical, step });
        (p.hedged, p.last_sent) = (false, now);
        (p.calls, p.active) = (p.calls + 1, p.active + 1);
        p.tried.retain(|other| other != id);
        p.tried.push(id.clone());
        let s = self.servers.get_mut(id).expect("a replica is a known server");
        s.calls.insert(key, call);
        s.calls_by_age.insert((now, key), expected);
        self.observed.insert(id.clone());
        self.call_rate.count(now);
        self.host.start_call(p.id, id, timeout);
    }

    /// Parts that may be sent, as weight, calls so far, expected seconds and index: the heaviest first, then
    /// those with the fewest calls, then the fastest.
    pub(super) fn sendable_parts(&self, q: &Query) -> Vec<(f64, u32, f64, usize)> {
        let is_sendable = |p: &Part| (p.active == 0 || p.hedged) && self.may_call(q, p, p.active);
        let mut sendable = Vec::new();
        for (at, p) in q.parts.iter().enumerate().filter(|(_, p)| is_sendable(p)) {
            let Some((_, slowdown)) = self.pick(q, p) else { continue };
            sendable.push((p.weight, p.calls, slowdown * self.latency_s(q), at));
        }
        sendable.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.total_cmp(&b.2)));
        sendable
    }

    /// Sends parts, unsent before late ones, until enough weight is answered or in flight; true once it is.
    pub(super) fn send_missing_parts(&mut self, number: u64) -> bool {
        let q = &self.queries[&number];
        let pending = q.parts.iter().filter(|p| p.done || (p.active > 0 && !p.hedged)).map(|p| p.weight);
        let mut missing = q.need - pending.sum::<f64>() - self.weight_tolerance;
        if missing <= 0.0 {
            return true;
        }
        for (weight, _, _, at) in self.sendable_parts(q) {
            let q = &self.queries[&number];
            let p = &q.parts[at];
            // Parts sent in this loop may have filled that replica or used up the retry budget.
            let Some((id, _)) = self.pick(q, p).filter(|_| self.may_call(q, p, p.active)) else { continue };
            self.start_call(number, at, &id);
            missing -= weight;
            if missing <= 0.0 {
                return true;
            }
        }
        false
    }

    pub(super) fn scaled_latency(&self, q: &Query, ratio: f64) -> Duration {
        Duration::from_secs_f64(ratio * self.fleet_slowdown * self.latency_s(q))
    }

    /// Time after which a call of this query's parts is overdue.
    pub(super) fn overdue_after(&self, q: &Query) -> Duration {
        let has_held = q.parts.iter().any(|p| p.calls == 0);
        let ratio = if has_held { OVERDUE_RATIO_WITH_HELD } else { OVERDUE_RATIO_WITHOUT_HELD };
        self.verticals[q.vertical].slo.mul_f64(OVERDUE_SLO_RATIO).min(self.scaled_latency(q, ratio))
    }

    pub(super) fn overdue_at(&self, p: &Part, after: Duration) -> Option<Duration> {
        Some(p.last_sent.max(self.running_since) + after).filter(|_| p.active > 0 && !p.done && !p.hedged)
    }

    /// Marks the server of an overdue part as impaired, and hedges the part if breaker and cap allow it.
    pub(super) fn hedge(&mut self, number: u64, at: usize, due: Duration) {
        let since = self.now.saturating_sub(IMPAIRED_WINDOW);
        let (q, p) = (&self.queries[&number], &self.queries[&number].parts[at]);
        let last = p.tried.last().and_then(|id| Some((id, self.servers.get_mut(id)?)));
        if let Some((id, s)) = last.filter(|(_, s)| s.impaired_at < Some(due)) {
            // Once per call, not at each review: else a few late calls would halt hedging for good.
            let before = s.impaired_at.replace(due);
            before.map(|before| self.impaired.remove(&(before, id.clone())));
            self.impaired.insert((due, id.clone()));
        }
        while self.impaired.first().is_some_and(|(at, _)| *at <= since) {
            self.impaired.pop_first();
        }
        // A lost call is treated as a failed one: neither breaker nor cap holds back the next call.
        let v = &self.verticals[q.vertical];
        let lost_after =
            v.slo.mul_f64(OVERDUE_SLO_RATIO).max(Duration::from_secs_f64(LOST_RATIO * self.latency_s(q)));
        // Only while other calls are answered: if no server answers, sending again does not help.
        let answers_arrive = v.answered && self.now < v.last_answer + v.slo;
        let lost = answers_arrive && self.now >= p.last_sent.max(self.running_since) + lost_after;
        let impaired = self.impaired.len();
        let used_servers = self.call_rate.at(self.now).min(self.servers.len() as f64);
        let tripped = impaired as f64 > (used_servers * MAX_IMPAIRED_RATIO).max(MAX_IMPAIRED_COUNT);
        if tripped && self.now >= self.no_hedge_until {
            self.no_hedge_until = self.now + IMPAIRED_WINDOW;
        }
        let capped = self.hedge_rate.at(self.now) >= (self.call_rate.at(self.now) * MAX_HEDGE_RATIO).max(1.0);
        if (self.now < self.no_hedge_until || capped) && !lost {
            return;
        }
        if !self.may_call(q, p, p.active) && self.sendable_parts(q).is_empty() {
            // One call at a time: cancel it if another replica should be faster; its end triggers the next.
            let age = (self.now - p.last_sent).as_secs_f64() / self.latency_s(q);
            let is_sooner = |(id, slowdown): (ServerId, f64)| slowdown < age && !p.tried.contains(&id);
            if !self.may_call(q, p, 0) || !self.pick(q, p).is_some_and(is_sooner) {
                return;
            }
            let (part, tried) = (p.id, p.tried.clone());
            self.cancel_part_calls(part, &tried);
        }
        self.hedge_rate.count(self.now);
        self.queries.get_mut(&number).expect("the query is held").parts[at].hedged = true;
    }
}
