//! Which queries and calls are begun while the gatherer shuts down, so that they end before it does.

use super::*;

impl<H: Host> Gatherer<H> {
    /// Limits all queries, those held and those that arrive, to end at `limit`. From now on a query is admitted
    /// only if nearly all queries of its vertical would be answered by then, or its deadline is not later.
    /// Queries that are held at the limit end as at their deadline.
    pub fn set_answer_limit(&mut self, limit: Duration) {
        self.answer_limit = Some(limit);
        let numbers: Vec<u64> = self.queries.keys().copied().collect();
        for number in numbers {
            let end = self.expiry(&self.queries[&number]);
            self.schedule_review(number, end);
        }
    }

    /// Whether a query that has not been sent would be answered before the limit.
    pub(super) fn may_begin_query(&self, q: &Query) -> bool {
        let usual_maximum_s = self.verticals[q.vertical].latency_quantile.estimate_s();
        self.is_answerable_in(q, usual_maximum_s)
    }

    /// Whether a further call of a query would be answered before the limit. A call that must not run twice
    /// needs the time that nearly all queries take: if it were cut, its client could not send it again.
    pub(super) fn may_begin_call(&self, q: &Query) -> bool {
        match self.verticals[q.vertical].idempotency {
            Idempotency::Idempotent => self.is_answerable_in(q, self.fleet_slowdown * self.latency_s(q)),
            Idempotency::Deduplicated(_) | Idempotency::NonIdempotent => self.may_begin_query(q),
        }
    }

    /// Whether an answer that takes this many seconds comes before the limit. A query whose deadline is not
    /// later than the limit is not affected by it.
    fn is_answerable_in(&self, q: &Query, needed_s: f64) -> bool {
        let Some(limit) = self.answer_limit.filter(|limit| *limit < q.deadline) else { return true };
        needed_s <= limit.saturating_sub(self.now + self.end_margin).as_secs_f64()
    }
}
