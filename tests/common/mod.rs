//! A slow, plain model of the rules behind the host: it sees every action and panics at one they forbid.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Gatherer, Health, Host, Idempotency, Outcome, Settings, VerticalSettings};

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn number(server: &str) -> usize {
    server[1..].parse().expect("a number")
}

pub(crate) struct Call {
    pub part: u64,
    pub number: u32,
    pub server: String,
    pub sent: Duration,
    pub called_off: bool,
    pub ended: Option<Outcome>,
}

pub(crate) struct Part {
    pub query: u64,
    pub shard: u32,
    pub weight: f64,
    pub step: u32,
}

pub(crate) struct Query {
    pub vertical: usize,
    pub until: Duration,
    pub step: u32,
    pub whole: bool,
    pub open: bool,
}

pub(crate) struct Server {
    pub health: Health,
    pub cell: u32,
    pub started: Option<Duration>,
}

pub(crate) struct World {
    pub settings: Settings,
    pub now: Duration,
    pub calls: Vec<Call>,
    pub parts: BTreeMap<u64, Part>,
    pub queries: BTreeMap<u64, Query>,
    pub servers: BTreeMap<String, Server>,
    pub wakes: Vec<(Duration, u64)>,
    pub asks: Vec<Duration>,
    pub log: Vec<String>,
}

pub(crate) struct Seat(pub Rc<RefCell<World>>);

pub(crate) fn vertical(
    required_weight: f64, min_weight: f64, follow_up_parts: u32, idempotency: Idempotency,
) -> VerticalSettings {
    VerticalSettings {
        required_weight,
        min_weight,
        follow_up_parts,
        slo: ms(1000),
        late_utility: 0.1,
        idempotency,
    }
}

pub(crate) fn settings(verticals: Vec<VerticalSettings>) -> Settings {
    Settings {
        seed: 7,
        gatherer_count: 3,
        zone: None,
        tick: ms(5),
        verticals,
        tenant_rates: Vec::new(),
        cell_count: 6,
        cells_per_shard: 2,
        max_parts_per_call: 1,
        call_overhead: Duration::ZERO,
        max_calls_per_part: 3,
        allow_hedging: false,
        allow_cancel: true,
        max_retry_after: None,
        max_list_request_interval: None,
        retry_budget: None,
        cold_capacity_share: 0.2,
        warm_up_time: ms(10_000),
        overload_factor: 2.0,
        overload_window: ms(1000),
    }
}

fn ran(call: &Call) -> bool {
    !matches!(call.ended, Some(Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent))
}

impl World {
    pub(crate) fn holds(&self, server: &str, shard: u32) -> bool {
        let (cells, cell) = (self.settings.cell_count, self.servers[server].cell);
        (0..self.settings.cells_per_shard).any(|j| (shard + j) % cells == cell)
    }

    pub(crate) fn is_in(&self, part: u64) -> bool {
        self.calls.iter().any(|c| c.part == part && c.ended == Some(Outcome::Completed))
    }

    pub(crate) fn got(&self, query: u64) -> f64 {
        let step = self.queries[&query].step;
        let of = self.parts.iter().filter(|(_, p)| p.query == query && p.step == step);
        of.filter(|(id, _)| self.is_in(**id)).map(|(_, p)| p.weight).sum()
    }

    pub(crate) fn forbidden(&self, part: u64) -> Option<&'static str> {
        let p = &self.parts[&part];
        let q = &self.queries[&p.query];
        let earlier: Vec<&Call> = self.calls.iter().filter(|c| c.part == part).collect();
        let extra = |c: &&Call| c.number > 0;
        let budget = self.settings.retry_budget.is_some_and(|b| {
            let within = |t: Duration| self.now - t <= b.window;
            let extras = self.calls.iter().filter(extra).filter(|c| within(c.sent)).count();
            let asks = self.asks.iter().filter(|t| self.now - **t < b.window).count();
            extras as f64 + 1.0 > b.min_retries + b.ratio * asks as f64
        });
        let first = earlier.iter().find(|c| ran(c)).map_or(self.now, |c| c.sent);
        match self.settings.verticals[q.vertical].idempotency {
            _ if !q.open || p.step != q.step => Some("the query is over"),
            _ if self.is_in(part) => Some("the part is in"),
            _ if earlier.len() as u32 >= self.settings.max_calls_per_part => Some("too many leaf calls"),
            _ if !self.settings.allow_hedging && earlier.iter().any(|c| c.ended.is_none()) => {
                Some("a second copy")
            }
            _ if !earlier.is_empty() && budget => Some("over the budget"),
            Idempotency::NonIdempotent if earlier.iter().any(|c| ran(c)) => Some("it may have run"),
            Idempotency::Deduplicated(window) if self.now + self.settings.tick * 2 >= first + window => {
                Some("outside the window")
            }
            _ => None,
        }
    }

    fn end(&mut self, query: u64, what: &str) {
        let q = self.queries.get_mut(&query).expect("a query that came");
        assert!(q.open, "{what}: {query} had its final answer");
        assert!(self.now <= q.until, "{what}: {query} is late");
        q.open = false;
        self.log.push(format!("{what} {query}"));
    }
}

impl Host for Seat {
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration) {
        let w = &mut *self.0.borrow_mut();
        let why = w.forbidden(part);
        assert!(why.is_none(), "call of {part}: {why:?}");
        let p = &w.parts[&part];
        assert!(w.holds(server, p.shard), "{server} does not hold the shard of {part}");
        assert_eq!(w.servers[server].health, Health::Ready, "{server} is not ready");
        assert!(w.now + timeout <= w.queries[&p.query].until, "{part} may outlive its query");
        let number = w.calls.iter().filter(|c| c.part == part).count() as u32;
        let (server, sent) = (server.to_owned(), w.now);
        w.log.push(format!("call {part} {server}"));
        w.calls.push(Call { part, number, server, sent, called_off: false, ended: None });
    }

    fn cancel_call(&mut self, part: u64, call: u32) {
        let w = &mut *self.0.borrow_mut();
        assert!(w.settings.allow_cancel, "calling off is not allowed");
        w.log.push(format!("off {part}"));
        let known = w.calls.iter_mut().find(|c| c.part == part && c.number == call);
        known.expect("a call that was made").called_off = true;
    }

    fn answer(&mut self, query: u64, complete: bool) {
        let w = &mut *self.0.borrow_mut();
        let v = w.settings.verticals[w.queries[&query].vertical].clone();
        let (got, step) = (w.got(query) + 1e-4, w.queries[&query].step);
        let need = if step == 0 { v.required_weight } else { 1.0 };
        assert!(
            got >= if v.min_weight < v.required_weight { v.min_weight } else { need },
            "{query}: under the floor"
        );
        assert!(!complete || (got >= need && w.queries[&query].whole), "{query}: not whole");
        w.queries.get_mut(&query).expect("held").whole = complete;
        if step == 0 && v.follow_up_parts > 0 {
            w.queries.get_mut(&query).expect("held").step = 1;
            w.log.push(format!("first answer {query}"));
        } else {
            w.end(query, if complete { "answer" } else { "short answer" });
        }
    }

    fn reject(&mut self, query: u64, _retry_after: Option<Duration>) {
        let w = &mut *self.0.borrow_mut();
        let idempotency = w.settings.verticals[w.queries[&query].vertical].idempotency;
        let may_have_run = w.calls.iter().any(|c| w.parts[&c.part].query == query && ran(c));
        assert!(
            idempotency == Idempotency::Idempotent || !may_have_run,
            "{query} rejected, and may have run"
        );
        w.end(query, "reject");
    }

    fn abort(&mut self, query: u64) {
        self.0.borrow_mut().end(query, "abort");
    }

    fn set_timer(&mut self, token: u64, delay: Duration) {
        let w = &mut *self.0.borrow_mut();
        let at = w.now + delay.max(ms(1));
        w.wakes.push((at, token));
    }

    fn watch_server_list(&mut self) {
        self.0.borrow_mut().log.push("watch".into());
    }
}

pub(crate) struct Stage {
    pub world: Rc<RefCell<World>>,
    pub gatherer: Gatherer<Seat>,
}

impl Stage {
    pub(crate) fn new(settings: Settings) -> Stage {
        let world = World {
            settings: settings.clone(),
            now: ms(0),
            calls: Vec::new(),
            parts: BTreeMap::new(),
            queries: BTreeMap::new(),
            servers: BTreeMap::new(),
            wakes: Vec::new(),
            asks: Vec::new(),
            log: Vec::new(),
        };
        let world = Rc::new(RefCell::new(world));
        let gatherer = Gatherer::new(Seat(world.clone()), &settings, ms(0));
        let mut stage = Stage { world, gatherer };
        (0..settings.cell_count).for_each(|i| stage.list(&format!("s{i}"), Health::Ready, i, None));
        stage
    }

    pub(crate) fn list(&mut self, id: &str, health: Health, cell: u32, started: Option<Duration>) {
        let server = Server { health, cell, started };
        self.world.borrow_mut().servers.insert(id.into(), server);
        self.gatherer.begin_server_list(false);
        self.gatherer.update_server(id, health, cell, Some(cell % 3), started);
    }

    /// Query `id` with one part for each shard; the parts' ids are `id + 1` and on.
    pub(crate) fn query(&mut self, id: u64, vertical: usize, shards: &[u32]) {
        let until = self.world.borrow().now + ms(3000);
        let q = Query { vertical, until, step: 0, whole: true, open: true };
        self.world.borrow_mut().queries.insert(id, q);
        self.world.borrow_mut().asks.push(until - ms(3000));
        self.gatherer.query_arrived(id, id, vertical, None, None, until, shards.len());
        self.parts(id, id + 1, shards);
    }

    pub(crate) fn parts(&mut self, query: u64, first: u64, shards: &[u32]) {
        for (id, shard) in (first..).zip(shards) {
            let (weight, step) = (1.0 / shards.len() as f64, self.world.borrow().queries[&query].step);
            let part = Part { query, shard: *shard, weight, step };
            let now = self.world.borrow().now;
            self.world.borrow_mut().asks.push(now);
            self.world.borrow_mut().parts.insert(id, part);
            self.gatherer.part_arrived(id, query, *shard, weight);
        }
    }

    pub(crate) fn settle(&mut self, at: usize, outcome: Outcome) {
        let (part, number, server) = {
            let call = &mut self.world.borrow_mut().calls[at];
            call.ended = Some(outcome);
            (call.part, call.number, call.server.clone())
        };
        self.gatherer.call_ended(part, number, outcome, &server, outcome == Outcome::Completed);
    }

    /// Ends the calls that are out, each as it is told; those that are told nothing stay out.
    pub(crate) fn settle_all(&mut self, how: impl Fn(&World, &Call) -> Option<Outcome>) {
        for at in 0..self.calls() {
            let outcome = {
                let w = self.world.borrow();
                Some(&w.calls[at]).filter(|c| c.ended.is_none()).and_then(|c| how(&w, c))
            };
            if let Some(outcome) = outcome {
                self.settle(at, outcome);
            }
        }
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        let until = self.world.borrow().now + time;
        loop {
            let next = self.world.borrow().wakes.iter().min().copied().filter(|w| w.0 <= until);
            let at = next.map_or(until, |w| w.0);
            self.world.borrow_mut().now = at;
            self.gatherer.advance_to(at);
            let Some(wake) = next else { break };
            self.world.borrow_mut().wakes.retain(|w| *w != wake);
            self.gatherer.timer_fired(wake.1);
        }
    }

    pub(crate) fn calls(&self) -> usize {
        self.world.borrow().calls.len()
    }

    pub(crate) fn log(&self) -> Vec<String> {
        self.world.borrow().log.clone()
    }

    pub(crate) fn count(&self, what: &str) -> usize {
        self.world.borrow().log.iter().filter(|l| l.starts_with(what)).count()
    }
}
