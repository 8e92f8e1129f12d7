//! Which replica a part goes to: its home, or the one with fewest calls out.

use super::*;

impl<H: Host> Gatherer<H> {
    /// Share of a cold server's usual traffic that it bears: were all gatherers like this one, what comes to
    /// it in a fall time must stay within the stated multiple. Does harm where they differ: it warms slowly.
    pub(super) fn cold_share(&self, s: &Server) -> f64 {
        let age = |t| self.now.saturating_sub(t).as_secs_f64() / self.cold_time.as_secs_f64();
        let Some(age) = s.started.map(age).filter(|age| *age < 1.0) else { return 1.0 };
        let each = self.sends.at(self.now) / self.even_share / self.ready.max(1) as f64;
        let usual = (each * self.fall_time.as_secs_f64()).max(0.01);
        let most = (self.cold_from + (1.0 - self.cold_from) * age) * self.cold_factor * usual;
        ((COLD_CHANCE + most).sqrt() - COLD_CHANCE.sqrt()).powi(2) / usual
    }

    /// The replica for a part, with its pace: the home, unless past its bound or shunned; then that with
    /// fewest calls out. A shunned one gets a trial now and then.
    pub(super) fn place(&self, q: &Query, p: &Part) -> Option<(ServerId, f64)> {
        let v = &self.verticals[q.vertical];
        let bears = p.calls == 0 && v.idempotency != Idempotency::NonIdempotent;
        let cell = |j| self.holders.get(&((p.shard % self.cells + j) % self.cells));
        let holders = (0..self.span).filter_map(cell).flatten().map(|id| (id, &self.servers[id]));
        let near = |s: &Server| s.zone == self.zone && self.zone_pace(s) <= NEAR * self.usual_pace;
        let ready = holders.filter(|(_, s)| s.health == Health::Ready);
        let placed = ready.map(|(id, s)| ((near(s), hash(q.key, id)), self.pace(s, q.vertical), id, s));
        let mut replicas: Vec<Replica<'_>> = placed.collect();
        let home = replicas.iter().map(|r| r.0).max()?;
        // Clearly slower than the fleet's well servers and than the others that hold the shard.
        let best = replicas.iter().map(|r| r.1).fold(f64::INFINITY, f64::min).max(self.usual_pace);
        replicas.retain(|(place, _, _, s)| {
            let share = self.cold_share(s);
            share >= 1.0 || (q.luck < share && *place == home && s.calls.is_empty())
        });
        // The worse it looks, the fewer queries try a shunned one; each draws once for all its parts.
        let trial = |pace: f64| (SHUN * best / pace).powi(2);
        let fit = |pace: f64| trial(pace) >= 1.0 || (bears && q.luck < trial(pace));
        let fresh = |id: &ServerId| !p.tried.contains(id);
        let &(_, pace, id, s) = replicas.iter().max_by_key(|r| r.0)?;
        let easy = self.expected(q) * self.usual_pace < v.slo.as_secs_f64() * EASY_SHARE;
        let bound = if easy { HOME_BOUND } else { HOME_BOUND_BUSY };
        let sharing = s.ages.range((self.now, (0, 0))..).count();
        let (apart, most) = (s.calls.len() - sharing, self.shared_most);
        if fit(pace) && apart < bound && (s.calls.len() < bound || sharing < most) && fresh(id) {
            return Some((id.clone(), pace));
        }
        // A server that has failed this part gets it again only after some usual answers' time.
        let wait = self.expected(q) * f64::from(1 << p.calls.min(8));
        let again = (self.now - p.last_sent).as_secs_f64() >= wait;
        let rank = |&&(place, pace, id, s): &&Replica<'_>| {
            let slow = if fit(pace) { 0 } else { (pace * 100.0) as u64 };
            (!fresh(id), slow, s.calls.len(), std::cmp::Reverse(place))
        };
        let &(_, pace, id, _) = replicas.iter().min_by_key(rank)?;
        Some((id.clone(), pace)).filter(|_| again || fresh(id))
    }
}
