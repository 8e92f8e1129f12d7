//! Which replica a part is sent to: its home, or the one with the fewest calls in flight.

use super::*;

impl<H: Host> Gatherer<H> {
    /// Share of its usual traffic that a cold server gets, so that all gatherers together do not overload it
    /// if each sends as much as this one. Drawback: if they differ, it warms up slowly.
    pub(super) fn traffic_share(&self, s: &Server) -> f64 {
        let age = |t| self.now.saturating_sub(t).as_secs_f64() / self.warm_up_time.as_secs_f64();
        let Some(age) = s.started.map(age).filter(|age| *age < 1.0) else { return 1.0 };
        let rate = self.call_rate.at(self.now) / self.gatherer_share / self.ready_count.max(1) as f64;
        let normal = (rate * self.overload_window.as_secs_f64()).max(0.01);
        let max = (self.cold_capacity + (1.0 - self.cold_capacity) * age) * self.overload_factor * normal;
        ((COLD_HEADROOM_CALLS + max).sqrt() - COLD_HEADROOM_CALLS.sqrt()).powi(2) / normal
    }

    /// Picks a part's replica, with its slowdown: the home, by rendezvous hashing, unless full or ejected;
    /// else the one with the fewest calls in flight. Ejected replicas get an occasional trial call.
    pub(super) fn pick(&self, q: &Query, p: &Part) -> Option<(ServerId, f64)> {
        let v = &self.verticals[q.vertical];
        let may_try = p.calls == 0 && v.idempotency != Idempotency::NonIdempotent;
        let cell = |j| self.cells.get(&((p.shard % self.cell_count + j) % self.cell_count));
        let holders = (0..self.cells_per_shard).filter_map(cell).flatten().map(|id| (id, &self.servers[id]));
        let local = |s: &Server| {
            s.zone == self.zone && self.zone_slowdown(s) <= LOCAL_ZONE_RATIO * self.fleet_slowdown
        };
        let ready = holders.filter(|(_, s)| s.health == Health::Ready);
        let ranked = ready.map(|(id, s)| ((local(s), hash(q.key, id)), self.slowdown(s, q.vertical), id, s));
        let mut candidates: Vec<Candidate<'_>> = ranked.collect();
        let home = candidates.iter().map(|r| r.0).max()?;
        // A server is ejected only if slower than both the fleet and the fastest replica of the shard.
        let best = candidates.iter().map(|r| r.1).fold(f64::INFINITY, f64::min).max(self.fleet_slowdown);
        candidates.retain(|(rank, _, _, s)| {
            let share = self.traffic_share(s);
            share >= 1.0 || (q.draw < share && *rank == home && s.calls.is_empty())
        });
        // The slower an ejected server, the fewer queries try it; a query draws once for all its parts.
        let trial = |slowdown: f64| (EJECTION_RATIO * best / slowdown).powi(2);
        let usable = |slowdown: f64| trial(slowdown) >= 1.0 || (may_try && q.draw < trial(slowdown));
        let untried = |id: &ServerId| !p.tried.contains(id);
        let &(_, slowdown, id, s) = candidates.iter().max_by_key(|r| r.0)?;
        let light = self.latency_s(q) * self.fleet_slowdown < v.slo.as_secs_f64() * LIGHT_LOAD_RATIO;
        let limit = if light { MAX_HOME_CALLS } else { MAX_BUSY_HOME_CALLS };
        let batch = s.calls_by_age.range((self.now, (0, 0))..).count();
        let (older, max_batch) = (s.calls.len() - batch, self.max_batch_parts);
        if usable(slowdown) && older < limit && (s.calls.len() < limit || batch < max_batch) && untried(id) {
            return Some((id.clone(), slowdown));
        }
        // A server that was already sent this part gets it again only after a backoff.
        let wait = self.latency_s(q) * f64::from(1 << p.calls.min(8));
        let may_repeat = (self.now - p.last_sent).as_secs_f64() >= wait;
        let order = |&&(rank, slowdown, id, s): &&Candidate<'_>| {
            let penalty = if usable(slowdown) { 0 } else { (slowdown * 100.0) as u64 };
            (!untried(id), penalty, s.calls.len(), std::cmp::Reverse(rank))
        };
        let &(_, slowdown, id, _) = candidates.iter().min_by_key(order)?;
        Some((id.clone(), slowdown)).filter(|_| may_repeat || untried(id))
    }
}
