//! State of the shard servers: the server list, and slowdowns of servers, zones and the fleet.

use super::*;

impl<H: Host> Gatherer<H> {
    /// Computes the slowdown of each zone, the median of its recently observed servers: several must be bad
    /// before the link to the zone is blamed. It stands in for servers without recent observations. The
    /// fleet's slowdown is the fastest zone's: other zones may be cut off, while a slowdown of all servers
    /// raises it and ejects none. Drawback: this fails if half of a zone's servers are bad.
    pub(super) fn update_fleet_slowdown(&mut self) {
        self.fleet_updated = self.now;
        let mut by_zone: BTreeMap<Option<u32>, Vec<f64>> = BTreeMap::new();
        let (now, half_life, servers) = (self.now, self.half_life, &self.servers);
        let is_observed = |s: &Server| !s.calls.is_empty() || now < s.last_seen + half_life;
        self.observed.retain(|id| servers.get(id).is_some_and(is_observed));
        let observed = self.observed.iter().filter_map(|id| self.servers.get(id));
        for s in observed.filter(|s| s.health == Health::Ready) {
            let pending = self.pending_slowdown(s);
            if self.now < s.last_seen + half_life || pending > EJECTION_RATIO {
                by_zone.entry(s.zone).or_default().push(s.slowdown.max(pending));
            }
        }
        let median = |slowdowns: &mut Vec<f64>| {
            slowdowns.sort_unstable_by(f64::total_cmp);
            if slowdowns.len() < MIN_ZONE_SERVERS { 1.0 } else { slowdowns[(slowdowns.len() - 1) / 2] }
        };
        self.zone_slowdowns = by_zone.iter_mut().map(|(zone, values)| (*zone, median(values))).collect();
        self.fleet_slowdown = self.zone_slowdowns.values().copied().reduce(f64::min).unwrap_or(1.0).max(1.0);
    }

    /// Begins a complete server list or one of changes, and drops gone servers without calls in flight.
    pub fn begin_server_list(&mut self, is_complete: bool) {
        self.list_retry_delay = LIST_RETRY_DELAY;
        self.list_request_at = self.now + self.list_interval.unwrap_or_default();
        self.servers.retain(|_, s| s.health != Health::Gone || !s.calls.is_empty());
        if is_complete {
            self.servers.values_mut().for_each(|s| s.health = Health::Gone);
            self.ready_count = 0;
            // Servers missing from the complete list must not get parts.
            return self.cells.clear();
        }
        self.cells.values_mut().for_each(|ids| ids.retain(|id| self.servers.contains_key(id)));
    }

    /// Adds or updates a listed server. After a restart its slowdown starts anew, and it may be cold.
    pub fn update_server(
        &mut self, id: &str, health: Health, cell: u32, zone: Option<u32>, started: Option<Duration>,
    ) {
        let started = started.filter(|t| *t + self.warm_up_time > self.now);
        let id: ServerId = id.into();
        let new = || Server { slowdown: 1.0, health: Health::Gone, cell, ..Server::default() };
        let server = self.servers.entry(id.clone()).or_insert_with(new);
        let was_listed = server.cell == cell && server.health != Health::Gone;
        if started.is_some() && server.started != started {
            (server.slowdown, server.error_slowdowns) = (1.0, BTreeMap::new());
        }
        let ready = |health| usize::from(health == Health::Ready);
        self.ready_count = self.ready_count + ready(health) - ready(server.health);
        let before = std::mem::replace(&mut server.cell, cell);
        (server.health, server.zone, server.started) = (health, zone, started);
        if !was_listed {
            self.cells.get_mut(&before).into_iter().for_each(|ids| ids.retain(|other| *other != id));
            self.cells.entry(cell).or_default().push(id);
        }
    }

    /// Schedules another request for the server list, with backoff, after a request or its stream failed.
    pub fn server_list_failed(&mut self) {
        let Some(interval) = self.list_interval else { return };
        self.list_request_at = self.now + self.list_retry_delay.mul_f64(0.75 + self.rng.f64() / 2.0);
        self.list_retry_delay = (self.list_retry_delay * 2).min(interval);
    }

    pub(super) fn request_list_if_due(&mut self) {
        let Some(interval) = self.list_interval else { return };
        if self.now >= self.list_request_at {
            self.host.watch_server_list();
            self.list_request_at = self.now + interval;
        }
        self.host.set_timer(LIST_TIMER_TOKEN, LIST_RETRY_DELAY);
    }

    pub(super) fn latency_s(&self, q: &Query) -> f64 {
        self.verticals[q.vertical].latency_s[q.step]
    }

    /// Largest age of a server's calls in flight as a multiple of their usual latency.
    pub(super) fn pending_slowdown(&self, s: &Server) -> f64 {
        let age = |sent: Duration| (self.now - sent.max(self.running_since).min(self.now)).as_secs_f64();
        let (at, slowdown) = s.pending_cache.get();
        if at == self.now {
            return slowdown;
        }
        let oldest = s.calls_by_age.iter().take(MAX_SCANNED_CALLS);
        let slowdown = oldest.map(|((sent, _), expected)| age(*sent) / expected).fold(0.0, f64::max);
        s.pending_cache.set((self.now, slowdown));
        slowdown
    }

    /// Slowdown of a server for a vertical: that of its answers, or of its errors to this vertical, which
    /// decays to its zone's, or that of its calls in flight, if larger.
    pub(super) fn slowdown(&self, s: &Server, vertical: usize) -> f64 {
        let zone = self.zone_slowdown(s);
        let own = s.error_slowdowns.get(&vertical).map_or(s.slowdown, |e| e.max(s.slowdown));
        (zone + (own - zone) * self.recency(s.last_seen)).max(self.pending_slowdown(s))
    }

    pub(super) fn zone_slowdown(&self, s: &Server) -> f64 {
        self.zone_slowdowns.get(&s.zone).copied().unwrap_or(1.0)
    }

    /// Weight of an observation made at that time.
    pub(super) fn recency(&self, at: Duration) -> f64 {
        (-self.now.saturating_sub(at).as_secs_f64() / self.half_life.as_secs_f64()).exp2()
    }

    /// Updates a server's slowdown by the outcome of a call. Returns whether the call was known.
    pub(super) fn record_outcome(&mut self, part: u64, call: u32, outcome: Outcome, server: &str) -> bool {
        let now = self.now;
        let Some(s) = self.servers.get(server) else { return false };
        let (zone, recency) = (self.zone_slowdown(s), self.recency(s.last_seen));
        let s = self.servers.get_mut(server).expect("the server was found above");
        let Some(c) = s.calls.remove(&(part, call)) else { return false };
        let Some(expected) = s.calls_by_age.remove(&(c.sent, (part, call))) else { return false };
        s.pending_cache.set((Duration::MAX, 0.0));
        let latency = (now - c.sent).as_secs_f64();
        let ratio = latency / expected;
        // The latency of a call that was in flight while the gatherer was starved says nothing of the server.
        let is_evidence = c.sent >= self.running_since && outcome != Outcome::NeverSent;
        if !is_evidence || (outcome == Outcome::Cancelled && ratio <= 1.0) {
            return true;
        }
        (s.slowdown, s.last_seen) = (zone + (s.slowdown - zone) * recency, now);
        match outcome {
            Outcome::Completed => {
                let errors = s.error_slowdowns.remove(&c.vertical).unwrap_or(1.0);
                let ejected = s.slowdown.max(errors) > EJECTION_RATIO * self.fleet_slowdown;
                s.slowdown += (ratio - s.slowdown)
                    * if ejected { 1.0 } else { 1.0 - (1.0 - SLOWDOWN_WEIGHT) * recency };
                if !ejected {
                    s.error_slowdowns.insert(c.vertical, errors + (1.0 - errors) * SLOWDOWN_WEIGHT);
                }
                let v = &mut self.verticals[c.vertical];
                let usual = &mut v.latency_s[c.step];
                *usual += (latency - *usual).min(*usual * MAX_LATENCY_EXCESS_RATIO) * LATENCY_WEIGHT;
                (v.last_answer, v.answered) = (now, true);
            }
            Outcome::Cancelled | Outcome::TimedOut => s.slowdown = s.slowdown.max(ratio),
            Outcome::Errored => *s.error_slowdowns.entry(c.vertical).or_insert(1.0) *= FAILURE_FACTOR,
            Outcome::Rejected => s.slowdown = s.slowdown.max(1.0) * REJECTION_FACTOR,
            _ => s.slowdown = s.slowdown.max(1.0) * FAILURE_FACTOR,
        }
        s.slowdown = s.slowdown.min(MAX_SLOWDOWN);
        true
    }
}
