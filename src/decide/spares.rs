//! When a part goes out, first or again: spares, threshold, breaker, cap, the limits on leaf calls.

use super::*;

impl<H: Host> Gatherer<H> {
    /// Whether the rules allow a leaf call for this part now, with so many of its own still waited for.
    pub(super) fn may_call(&self, q: &Query, p: &Part, out: u32) -> bool {
        let apart = match self.verticals[q.vertical].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated(window) => {
                p.calls == 0 || self.now + self.end_margin < p.first_sent + window
            }
            Idempotency::NonIdempotent => p.out == 0 && !p.maybe_ran,
        };
        let room = |b: &RetryBudgetSettings| {
            let taken = self.taken.len() - self.taken.partition_point(|t| self.now - *t >= b.window);
            let extras = self.extras.len() - self.extras.partition_point(|t| self.now - *t > b.window);
            extras as f64 + 1.0 <= b.min_retries + b.ratio * taken as f64
        };
        let shared = || self.host.may_retry(p.shard);
        // Where the limits are on servers that were sent it, one that could not be reached takes nothing of them.
        let v = &self.verticals[q.vertical];
        let unsent = if v.squared { p.unsent.min(UNSENT_MOST) } else { 0 };
        let room = p.calls == unsent || (self.budget.as_ref().is_none_or(room) && shared());
        !p.done && p.calls < v.most_calls + unsent && (out == 0 || self.second_copies) && apart && room
    }

    pub(super) fn call_part(&mut self, number: u64, at: usize, id: &ServerId) {
        let now = self.now;
        let q = &self.queries[&number];
        let limit = self.end_of(q).saturating_sub(now);
        let expected = self.expected(q);
        let q = self.queries.get_mut(&number).expect("held");
        let p = &mut q.parts[at];
        if let (Some(b), 1..) = (&self.budget, p.calls) {
            while self.extras.front().is_some_and(|t| now - *t > b.window) {
                self.extras.pop_front();
            }
            self.extras.push_back(now);
        }
        if !p.maybe_ran && p.out == 0 {
            p.first_sent = now;
        }
        let (vertical, step) = (q.vertical, q.step);
        let (key, call) = ((p.id, p.calls), Call { sent: now, vertical, step });
        (p.spared, p.last_sent) = (false, now);
        (p.calls, p.out) = (p.calls + 1, p.out + 1);
        p.tried.retain(|known| known != id);
        p.tried.push(id.clone());
        let s = self.servers.get_mut(id).expect("placed");
        s.calls.insert(key, call);
        s.ages.insert((now, key), expected);
        self.told.insert(id.clone());
        self.sends.count(now);
        self.host.start_call(p.id, id, limit);
    }

    /// Parts that may be sent next: heaviest first, then not sent so far, then those that answer soonest.
    pub(super) fn waiting(&self, q: &Query) -> Vec<(f64, u32, f64, usize)> {
        let free = |p: &Part| (p.out == 0 || p.spared) && self.may_call(q, p, p.out);
        let mut waiting = Vec::new();
        for (at, p) in q.parts.iter().enumerate().filter(|(_, p)| free(p)) {
            let Some((_, pace)) = self.place(q, p) else { continue };
            waiting.push((p.weight, p.calls, pace * self.expected(q), at));
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.total_cmp(&b.2)));
        waiting
    }

    /// Sends held parts until the n needed are in or on their way; with none held, late ones again.
    pub(super) fn fill(&mut self, number: u64) -> bool {
        let q = &self.queries[&number];
        let coming = q.parts.iter().filter(|p| p.done || (p.out > 0 && !p.spared)).map(|p| p.weight);
        let mut missing = q.need - coming.sum::<f64>() - WEIGHT_SLACK;
        if missing <= 0.0 {
            return true;
        }
        for (weight, _, _, at) in self.waiting(q) {
            let q = &self.queries[&number];
            let p = &q.parts[at];
            // What was sent since may have moved it, or used up the budget.
            let Some((id, _)) = self.place(q, p).filter(|_| self.may_call(q, p, p.out)) else { continue };
            self.call_part(number, at, &id);
            missing -= weight;
            if missing <= 0.0 {
                return true;
            }
        }
        false
    }

    /// So many times a part's usual latency at the fleet's usual pace.
    pub(super) fn usual_times(&self, q: &Query, times: f64) -> Duration {
        Duration::from_secs_f64(times * self.usual_pace * self.expected(q))
    }

    /// After how long a part that is out falls overdue, unless it has its spare.
    pub(super) fn overdue_after(&self, q: &Query) -> Duration {
        let held = q.parts.iter().any(|p| p.calls == 0);
        let times = if held { LATE_WITH_SPARE } else { LATE_WITHOUT };
        self.verticals[q.vertical].slo.mul_f64(THRESHOLD).min(self.usual_times(q, times))
    }

    pub(super) fn overdue_at(&self, p: &Part, after: Duration) -> Option<Duration> {
        Some(p.last_sent.max(self.awake) + after).filter(|_| p.out > 0 && !p.done && !p.spared)
    }

    /// An overdue part: its server is impaired, and a spare may go out if breaker and cap allow.
    pub(super) fn overdue(&mut self, number: u64, at: usize, due: Duration) {
        let since = self.now.saturating_sub(IMPAIRED_WINDOW);
        let (q, p) = (&self.queries[&number], &self.queries[&number].parts[at]);
        let last = p.tried.last().and_then(|id| Some((id, self.servers.get_mut(id)?)));
        if let Some((id, s)) = last.filter(|(_, s)| s.impaired < Some(due)) {
            // Once a call, not at each look, or a few late ones halt spares for good.
            let before = s.impaired.replace(due);
            before.map(|before| self.impaired.remove(&(before, id.clone())));
            self.impaired.insert((due, id.clone()));
        }
        while self.impaired.first().is_some_and(|(at, _)| *at <= since) {
            self.impaired.pop_first();
        }
        // A lost part is like a failed one, which neither breaker nor cap holds back.
        let v = &self.verticals[q.vertical];
        let lost_after = v.slo.mul_f64(THRESHOLD).max(Duration::from_secs_f64(LOST * self.expected(q)));
        // Others have been answered of late: where nobody answers, to ask again helps nobody.
        let answers = v.answered && self.now < v.heard + v.slo;
        let lost = answers && self.now >= p.last_sent.max(self.awake) + lost_after;
        let impaired = self.impaired.len();
        let used = self.sends.at(self.now).min(self.servers.len() as f64);
        let many = impaired as f64 > (used * IMPAIRED_SHARE).max(IMPAIRED_MOST);
        if many && self.now >= self.halted_until {
            self.halted_until = self.now + IMPAIRED_WINDOW;
        }
        let capped = self.spares.at(self.now) >= (self.sends.at(self.now) * CAP_SHARE).max(1.0);
        if (self.now < self.halted_until || capped) && !lost {
            return;
        }
        if !self.may_call(q, p, p.out) && self.waiting(q).is_empty() {
            // No second copy is allowed: the outcome of this one sends the next, if sooner elsewhere.
            let age = (self.now - p.last_sent).as_secs_f64() / self.expected(q);
            let sooner = |(id, pace): (ServerId, f64)| pace < age && !p.tried.contains(&id);
            if !self.may_call(q, p, 0) || !self.place(q, p).is_some_and(sooner) {
                return;
            }
            let (part, tried) = (p.id, p.tried.clone());
            self.call_off_part(part, &tried);
        }
        self.spares.count(self.now);
        self.queries.get_mut(&number).expect("held").parts[at].spared = true;
    }
}
