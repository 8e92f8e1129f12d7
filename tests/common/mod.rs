//! A slow, plain model of the rules behind the host: it sees every action and panics at one they forbid.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Effect, Gatherer, Health, Host, Outcome, Settings, VerticalSettings};

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

pub(crate) fn vertical(need: f64, floor: f64, follow_up: u32, effect: Effect) -> VerticalSettings {
    VerticalSettings { need, floor, follow_up, slo: ms(1000), late_utility: 0.1, effect }
}

pub(crate) fn settings(verticals: Vec<VerticalSettings>) -> Settings {
    Settings {
        seed: 7,
        gatherers: 3,
        zone: None,
        tick: ms(5),
        verticals,
        tenant_rates: Vec::new(),
        cells: 6,
        span: 2,
        parts_a_call: 1,
        call_cost: Duration::ZERO,
        most_calls: 3,
        second_copies: false,
        call_off: true,
        back_after: None,
        ask_within: None,
        budget: None,
        cold_from: 0.2,
        cold_time: ms(10_000),
        overload_factor: 2.0,
        fall_time: ms(1000),
    }
}

fn ran(call: &Call) -> bool {
    !matches!(call.ended, Some(Outcome::TurnedAway | Outcome::Unreachable | Outcome::NeverSent))
}

impl World {
    pub(crate) fn holds(&self, server: &str, shard: u32) -> bool {
        let (cells, cell) = (self.settings.cells, self.servers[server].cell);
        (0..self.settings.span).any(|j| (shard + j) % cells == cell)
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
        let budget = self.settings.budget.is_some_and(|b| {
            let within = |t: Duration| self.now - t <= b.span;
            let extras = self.calls.iter().filter(extra).filter(|c| within(c.sent)).count();
            let asks = self.asks.iter().filter(|t| self.now - **t < b.span).count();
            extras as f64 + 1.0 > b.least + b.share * asks as f64
        });
        let first = earlier.iter().find(|c| ran(c)).map_or(self.now, |c| c.sent);
        match self.settings.verticals[q.vertical].effect {
            _ if !q.open || p.step != q.step => Some("the query is over"),
            _ if self.is_in(part) => Some("the part is in"),
            _ if earlier.len() as u32 >= self.settings.most_calls => Some("too many leaf calls"),
            _ if !self.settings.second_copies && earlier.iter().any(|c| c.ended.is_none()) => {
                Some("a second copy")
            }
            _ if !earlier.is_empty() && budget => Some("over the budget"),
            Effect::SideEffecting if earlier.iter().any(|c| ran(c)) => Some("it may have run"),
            Effect::Deduplicated(window) if self.now + self.settings.tick * 2 >= first + window => {
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
    fn call(&mut self, part: u64, server: &str, limit: Duration) {
        let w = &mut *self.0.borrow_mut();
        let why = w.forbidden(part);
        assert!(why.is_none(), "call of {part}: {why:?}");
        let p = &w.parts[&part];
        assert!(w.holds(server, p.shard), "{server} does not hold the shard of {part}");
        assert_eq!(w.servers[server].health, Health::Ready, "{server} is not ready");
        assert!(w.now + limit <= w.queries[&p.query].until, "{part} may outlive its query");
        let number = w.calls.iter().filter(|c| c.part == part).count() as u32;
        let (server, sent) = (server.to_owned(), w.now);
        w.log.push(format!("call {part} {server}"));
        w.calls.push(Call { part, number, server, sent, called_off: false, ended: None });
    }

    fn call_off(&mut self, part: u64, call: u32) {
        let w = &mut *self.0.borrow_mut();
        assert!(w.settings.call_off, "calling off is not allowed");
        w.log.push(format!("off {part}"));
        let known = w.calls.iter_mut().find(|c| c.part == part && c.number == call);
        known.expect("a call that was made").called_off = true;
    }

    fn answer(&mut self, query: u64, whole: bool) {
        let w = &mut *self.0.borrow_mut();
        let v = w.settings.verticals[w.queries[&query].vertical].clone();
        let (got, step) = (w.got(query) + 1e-4, w.queries[&query].step);
        let need = if step == 0 { v.need } else { 1.0 };
        assert!(got >= if v.floor < v.need { v.floor } else { need }, "{query}: under the floor");
        assert!(!whole || (got >= need && w.queries[&query].whole), "{query}: not whole");
        w.queries.get_mut(&query).expect("held").whole = whole;
        if step == 0 && v.follow_up > 0 {
            w.queries.get_mut(&query).expect("held").step = 1;
            w.log.push(format!("first answer {query}"));
        } else {
            w.end(query, if whole { "answer" } else { "short answer" });
        }
    }

    fn reject(&mut self, query: u64, _back_after: Option<Duration>) {
        let w = &mut *self.0.borrow_mut();
        let effect = w.settings.verticals[w.queries[&query].vertical].effect;
        let may_have_run = w.calls.iter().any(|c| w.parts[&c.part].query == query && ran(c));
        assert!(effect == Effect::Repeatable || !may_have_run, "{query} rejected, and may have run");
        w.end(query, "reject");
    }

    fn abort(&mut self, query: u64) {
        self.0.borrow_mut().end(query, "abort");
    }

    fn wake(&mut self, token: u64, after: Duration) {
        let w = &mut *self.0.borrow_mut();
        let at = w.now + after.max(ms(1));
        w.wakes.push((at, token));
    }

    fn watch_list(&mut self) {
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
        (0..settings.cells).for_each(|i| stage.list(&format!("s{i}"), Health::Ready, i, None));
        stage
    }

    pub(crate) fn list(&mut self, id: &str, health: Health, cell: u32, started: Option<Duration>) {
        let server = Server { health, cell, started };
        self.world.borrow_mut().servers.insert(id.into(), server);
        self.gatherer.list_begins(false);
        self.gatherer.server_listed(id, health, cell, Some(cell % 3), started);
    }

    /// Query `id` with one part for each shard; the parts' ids are `id + 1` and on.
    pub(crate) fn query(&mut self, id: u64, vertical: usize, shards: &[u32]) {
        let until = self.world.borrow().now + ms(3000);
        let q = Query { vertical, until, step: 0, whole: true, open: true };
        self.world.borrow_mut().queries.insert(id, q);
        self.world.borrow_mut().asks.push(until - ms(3000));
        self.gatherer.query_came(id, id, vertical, None, None, until, shards.len());
        self.parts(id, id + 1, shards);
    }

    pub(crate) fn parts(&mut self, query: u64, first: u64, shards: &[u32]) {
        for (id, shard) in (first..).zip(shards) {
            let (weight, step) = (1.0 / shards.len() as f64, self.world.borrow().queries[&query].step);
            let part = Part { query, shard: *shard, weight, step };
            let now = self.world.borrow().now;
            self.world.borrow_mut().asks.push(now);
            self.world.borrow_mut().parts.insert(id, part);
            self.gatherer.part_came(id, query, *shard, weight);
        }
    }

    pub(crate) fn settle(&mut self, at: usize, outcome: Outcome) {
        let (part, number, server) = {
            let call = &mut self.world.borrow_mut().calls[at];
            call.ended = Some(outcome);
            (call.part, call.number, call.server.clone())
        };
        self.gatherer.settled(part, number, outcome, &server, outcome == Outcome::Completed);
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
            self.gatherer.at(at);
            let Some(wake) = next else { break };
            self.world.borrow_mut().wakes.retain(|w| *w != wake);
            self.gatherer.woke(wake.1);
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
