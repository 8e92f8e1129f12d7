//! What is known of shard servers: the list, their pace, their silence, what their zones tell.

use super::*;

impl<H: Host> Gatherer<H> {
    /// A zone's pace is the median of its servers of which something was seen of late: several must be
    /// bad before the way to all is blamed. A server not seen of late counts as its zone. The usual pace is
    /// the best zone's: others may be silent beyond a cut link, while a slowdown of all raises it and blames
    /// nobody. Does harm where half a zone's servers are bad.
    pub(super) fn look_at_fleet(&mut self) {
        self.looked_at = self.now;
        let mut seen: BTreeMap<Option<u32>, Vec<f64>> = BTreeMap::new();
        let (now, keep, servers) = (self.now, self.keep, &self.servers);
        let tells = |s: &Server| !s.calls.is_empty() || now < s.seen + keep;
        self.told.retain(|id| servers.get(id).is_some_and(tells));
        let told = self.told.iter().filter_map(|id| self.servers.get(id));
        for s in told.filter(|s| s.health == Health::Ready) {
            let silence = self.silence(s);
            if self.now < s.seen + keep || silence > SHUN {
                seen.entry(s.zone).or_default().push(s.pace.max(silence));
            }
        }
        let median = |paces: &mut Vec<f64>| {
            paces.sort_unstable_by(f64::total_cmp);
            if paces.len() < SEVERAL { 1.0 } else { paces[(paces.len() - 1) / 2] }
        };
        self.zones = seen.iter_mut().map(|(zone, paces)| (*zone, median(paces))).collect();
        self.usual_pace = self.zones.values().copied().reduce(f64::min).unwrap_or(1.0).max(1.0);
    }

    /// A list of servers begins, or of changes. Those gone before are forgotten once nothing is out there.
    pub fn begin_server_list(&mut self, all: bool) {
        self.ask_wait = ASK_AGAIN;
        self.ask_at = self.now + self.ask_every.unwrap_or_default();
        self.servers.retain(|_, s| s.health != Health::Gone || !s.calls.is_empty());
        if all {
            self.servers.values_mut().for_each(|s| s.health = Health::Gone);
            self.ready = 0;
            // Those that the list does not name hold nothing: no part looks at them.
            return self.holders.clear();
        }
        self.holders.values_mut().for_each(|ids| ids.retain(|id| self.servers.contains_key(id)));
    }

    /// The list names a server. A start that we have not seen makes it new, and perhaps cold.
    pub fn update_server(
        &mut self, id: &str, health: Health, cell: u32, zone: Option<u32>, started: Option<Duration>,
    ) {
        let started = started.filter(|t| *t + self.cold_time > self.now);
        let id: ServerId = id.into();
        let fresh = || Server { pace: 1.0, health: Health::Gone, cell, ..Server::default() };
        let server = self.servers.entry(id.clone()).or_insert_with(fresh);
        let held = server.cell == cell && server.health != Health::Gone;
        if started.is_some() && server.started != started {
            (server.pace, server.faults) = (1.0, BTreeMap::new());
        }
        let ready = |health| usize::from(health == Health::Ready);
        self.ready = self.ready + ready(health) - ready(server.health);
        let before = std::mem::replace(&mut server.cell, cell);
        (server.health, server.zone, server.started) = (health, zone, started);
        if !held {
            self.holders.get_mut(&before).into_iter().for_each(|ids| ids.retain(|known| *known != id));
            self.holders.entry(cell).or_default().push(id);
        }
    }

    /// The list could not be had, or no longer follows its changes: ask again, ever more slowly.
    pub fn server_list_failed(&mut self) {
        let Some(every) = self.ask_every else { return };
        self.ask_at = self.now + self.ask_wait.mul_f64(0.75 + self.rng.f64() / 2.0);
        self.ask_wait = (self.ask_wait * 2).min(every);
    }

    pub(super) fn list_due(&mut self) {
        let Some(every) = self.ask_every else { return };
        if self.now >= self.ask_at {
            self.host.watch_server_list();
            self.ask_at = self.now + every;
        }
        self.host.set_timer(LIST_TOKEN, ASK_AGAIN);
    }

    /// Latency to expect of a part, in seconds, from a server that answers as usual.
    pub(super) fn expected(&self, q: &Query) -> f64 {
        self.verticals[q.vertical].usual[q.step]
    }

    /// Age of the oldest leaf call out at a server, against its expected latency.
    pub(super) fn silence(&self, s: &Server) -> f64 {
        let age = |sent: Duration| (self.now - sent.max(self.awake).min(self.now)).as_secs_f64();
        let (at, silence) = s.silent.get();
        if at == self.now {
            return silence;
        }
        let oldest = s.ages.iter().take(OLDEST);
        let silence = oldest.map(|((sent, _), expected)| age(*sent) / expected).fold(0.0, f64::max);
        s.silent.set((self.now, silence));
        silence
    }

    /// A server's pace as a vertical sees it now: that of its answers or its errors to this vertical, drawn
    /// to its zone's the more the longer ago they were, or that of its silence.
    pub(super) fn pace(&self, s: &Server, vertical: usize) -> f64 {
        let zone = self.zone_pace(s);
        let own = s.faults.get(&vertical).map_or(s.pace, |f| f.max(s.pace));
        (zone + (own - zone) * self.fresh(s.seen)).max(self.silence(s))
    }

    pub(super) fn zone_pace(&self, s: &Server) -> f64 {
        self.zones.get(&s.zone).copied().unwrap_or(1.0)
    }

    /// How much what was seen then still counts.
    pub(super) fn fresh(&self, seen: Duration) -> f64 {
        (-self.now.saturating_sub(seen).as_secs_f64() / self.keep.as_secs_f64()).exp2()
    }

    /// What a server does with a leaf call shows in its pace: slowness, silence, refusals, broken connects.
    pub(super) fn learn(&mut self, part: u64, call: u32, outcome: Outcome, server: &str) -> bool {
        let now = self.now;
        let Some(s) = self.servers.get(server) else { return false };
        let (zone, fresh) = (self.zone_pace(s), self.fresh(s.seen));
        let s = self.servers.get_mut(server).expect("known");
        let Some(c) = s.calls.remove(&(part, call)) else { return false };
        let Some(expected) = s.ages.remove(&(c.sent, (part, call))) else { return false };
        s.silent.set((Duration::MAX, 0.0));
        let took = (now - c.sent).as_secs_f64();
        let ratio = took / expected;
        // What was out while this gatherer stood still says nothing of its server.
        let tells = c.sent >= self.awake && outcome != Outcome::NeverSent;
        if !tells || (outcome == Outcome::Cancelled && ratio <= 1.0) {
            return true;
        }
        (s.pace, s.seen) = (zone + (s.pace - zone) * fresh, now);
        match outcome {
            Outcome::Completed => {
                let faults = s.faults.remove(&c.vertical).unwrap_or(1.0);
                let shunned = s.pace.max(faults) > SHUN * self.usual_pace;
                s.pace += (ratio - s.pace) * if shunned { 1.0 } else { 1.0 - (1.0 - PACE_WEIGHT) * fresh };
                if !shunned {
                    s.faults.insert(c.vertical, faults + (1.0 - faults) * PACE_WEIGHT);
                }
                let v = &mut self.verticals[c.vertical];
                let usual = &mut v.usual[c.step];
                *usual += (took - *usual).min(*usual * OUTLIER) * USUAL_WEIGHT;
                (v.heard, v.answered) = (now, true);
            }
            Outcome::Cancelled | Outcome::TimedOut => s.pace = s.pace.max(ratio),
            Outcome::Errored => *s.faults.entry(c.vertical).or_insert(1.0) *= FAILED_TIMES,
            Outcome::Rejected => s.pace = s.pace.max(1.0) * FULL_TIMES,
            _ => s.pace = s.pace.max(1.0) * FAILED_TIMES,
        }
        s.pace = s.pace.min(PACE_MOST);
        true
    }
}
