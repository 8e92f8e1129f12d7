//! A host with a simple model of the rules: it checks every action of the gatherer and panics at a violation.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Gatherer, Health, Host, Idempotency, Outcome, Settings, VerticalSettings};

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn server_index(server: &str) -> usize {
    server[1..].parse().expect("a server id is `s` and a number")
}

pub(crate) struct Call {
    pub part: u64,
    /// Number among the calls of the part, from 0.
    pub number: u32,
    pub server: String,
    pub sent: Duration,
    pub cancelled: bool,
    pub outcome: Option<Outcome>,
}

pub(crate) struct Part {
    pub query: u64,
    pub shard: u32,
    pub weight: f64,
    pub step: u32,
}

pub(crate) struct Query {
    pub vertical: usize,
    pub deadline: Duration,
    pub step: u32,
    /// Whether all answers so far had the required weight.
    pub complete: bool,
    pub open: bool,
}

pub(crate) struct Server {
    pub health: Health,
    pub cell: u32,
    pub started: Option<Duration>,
}

pub(crate) struct Model {
    pub settings: Settings,
    pub now: Duration,
    pub calls: Vec<Call>,
    pub parts: BTreeMap<u64, Part>,
    pub queries: BTreeMap<u64, Query>,
    pub servers: BTreeMap<String, Server>,
    pub timers: Vec<(Duration, u64)>,
    /// Times at which queries and parts arrived.
    pub arrivals: Vec<Duration>,
    /// Actions of the gatherer.
    pub log: Vec<String>,
}

pub(crate) struct CheckingHost(pub Rc<RefCell<Model>>);

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
        weight_tolerance: 5e-5,
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

fn may_have_run(call: &Call) -> bool {
    !matches!(call.outcome, Some(Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent))
}

impl Model {
    pub(crate) fn holds_shard(&self, server: &str, shard: u32) -> bool {
        let (cells, cell) = (self.settings.cell_count, self.servers[server].cell);
        (0..self.settings.cells_per_shard).any(|j| (shard + j) % cells == cell)
    }

    pub(crate) fn is_answered(&self, part: u64) -> bool {
        self.calls.iter().any(|c| c.part == part && c.outcome == Some(Outcome::Completed))
    }

    pub(crate) fn answered_weight(&self, query: u64) -> f64 {
        let step = self.queries[&query].step;
        let parts = self.parts.iter().filter(|(_, p)| p.query == query && p.step == step);
        parts.filter(|(id, _)| self.is_answered(**id)).map(|(_, p)| p.weight).sum()
    }

    /// The rule that a call of this part would violate now.
    pub(crate) fn violation(&self, part: u64) -> Option<&'static str> {
        let p = &self.parts[&part];
        let q = &self.queries[&p.query];
        let calls: Vec<&Call> = self.calls.iter().filter(|c| c.part == part).collect();
        let is_retry = |c: &&Call| c.number > 0;
        let over_budget = self.settings.retry_budget.is_some_and(|b| {
            let in_window = |t: Duration| self.now - t <= b.window;
            let retries = self.calls.iter().filter(is_retry).filter(|c| in_window(c.sent)).count();
            let arrivals = self.arrivals.iter().filter(|t| self.now - **t < b.window).count();
            retries as f64 + 1.0 > b.min_retries + b.ratio * arrivals as f64
        });
        let first_run = calls.iter().find(|c| may_have_run(c)).map_or(self.now, |c| c.sent);
        match self.settings.verticals[q.vertical].idempotency {
            _ if !q.open || p.step != q.step => Some("the query has ended"),
            _ if self.is_answered(part) => Some("the part is answered"),
            _ if calls.len() as u32 >= self.settings.max_calls_per_part => Some("the call limit is used up"),
            _ if !self.settings.allow_hedging && calls.iter().any(|c| c.outcome.is_none()) => {
                Some("another call of the part is in flight")
            }
            _ if !calls.is_empty() && over_budget => Some("the retry budget is used up"),
            Idempotency::NonIdempotent if calls.iter().any(|c| may_have_run(c)) => Some("it may have run"),
            Idempotency::Deduplicated(window) if self.now + self.settings.tick * 2 >= first_run + window => {
                Some("the deduplication window has passed")
            }
            _ => None,
        }
    }

    fn end_query(&mut self, query: u64, result: &str) {
        let q = self.queries.get_mut(&query).expect("the query has arrived");
        assert!(q.open, "{result} of query {query}, which has already ended");
        assert!(self.now <= q.deadline, "{result} of query {query} after its deadline");
        q.open = false;
        self.log.push(format!("{result} {query}"));
    }
}

impl Host for CheckingHost {
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration) {
        let model = &mut *self.0.borrow_mut();
        let violation = model.violation(part);
        assert!(violation.is_none(), "part {part} must not be sent: {violation:?}");
        let p = &model.parts[&part];
        assert!(model.holds_shard(server, p.shard), "server {server} does not hold the shard of part {part}");
        assert_eq!(
            model.servers[server].health,
            Health::Ready,
            "server {server} must be ready to get a call"
        );
        assert!(
            model.now + timeout <= model.queries[&p.query].deadline,
            "a call of part {part} must time out by the deadline of its query"
        );
        let number = model.calls.iter().filter(|c| c.part == part).count() as u32;
        let (server, sent) = (server.to_owned(), model.now);
        model.log.push(format!("call {part} {server}"));
        model.calls.push(Call { part, number, server, sent, cancelled: false, outcome: None });
    }

    fn cancel_call(&mut self, part: u64, call: u32) {
        let model = &mut *self.0.borrow_mut();
        assert!(model.settings.allow_cancel, "cancelling calls is not allowed");
        model.log.push(format!("off {part}"));
        let found = model.calls.iter_mut().find(|c| c.part == part && c.number == call);
        found.expect("only started calls are cancelled").cancelled = true;
    }

    fn answer(&mut self, query: u64, complete: bool) {
        let model = &mut *self.0.borrow_mut();
        let v = model.settings.verticals[model.queries[&query].vertical].clone();
        let (weight, step) = (model.answered_weight(query) + 1e-4, model.queries[&query].step);
        let required = if step == 0 { v.required_weight } else { 1.0 };
        assert!(
            weight >= if v.min_weight < v.required_weight { v.min_weight } else { required },
            "answer to query {query} below the smallest allowed weight"
        );
        assert!(
            !complete || (weight >= required && model.queries[&query].complete),
            "answer to query {query} marked complete without the required weight"
        );
        model.queries.get_mut(&query).expect("the query has arrived").complete = complete;
        if step == 0 && v.follow_up_parts > 0 {
            model.queries.get_mut(&query).expect("the query has arrived").step = 1;
            model.log.push(format!("first answer {query}"));
        } else {
            model.end_query(query, if complete { "answer" } else { "short answer" });
        }
    }

    fn reject(&mut self, query: u64, _retry_after: Option<Duration>) {
        let model = &mut *self.0.borrow_mut();
        let idempotency = model.settings.verticals[model.queries[&query].vertical].idempotency;
        let any_ran = model.calls.iter().any(|c| model.parts[&c.part].query == query && may_have_run(c));
        assert!(
            idempotency == Idempotency::Idempotent || !any_ran,
            "query {query} rejected although it may have run"
        );
        model.end_query(query, "reject");
    }

    fn abort(&mut self, query: u64) {
        self.0.borrow_mut().end_query(query, "abort");
    }

    fn set_timer(&mut self, token: u64, delay: Duration) {
        let model = &mut *self.0.borrow_mut();
        let at = model.now + delay.max(ms(1));
        model.timers.push((at, token));
    }

    fn watch_server_list(&mut self) {
        self.0.borrow_mut().log.push("watch".into());
    }
}

pub(crate) struct Harness {
    pub model: Rc<RefCell<Model>>,
    pub gatherer: Gatherer<CheckingHost>,
}

impl Harness {
    pub(crate) fn new(settings: Settings) -> Harness {
        let model = Model {
            settings: settings.clone(),
            now: ms(0),
            calls: Vec::new(),
            parts: BTreeMap::new(),
            queries: BTreeMap::new(),
            servers: BTreeMap::new(),
            timers: Vec::new(),
            arrivals: Vec::new(),
            log: Vec::new(),
        };
        let model = Rc::new(RefCell::new(model));
        let gatherer = Gatherer::new(CheckingHost(model.clone()), &settings, ms(0));
        let mut harness = Harness { model, gatherer };
        (0..settings.cell_count).for_each(|i| harness.list_server(&format!("s{i}"), Health::Ready, i, None));
        harness
    }

    pub(crate) fn list_server(&mut self, id: &str, health: Health, cell: u32, started: Option<Duration>) {
        let server = Server { health, cell, started };
        self.model.borrow_mut().servers.insert(id.into(), server);
        self.gatherer.begin_server_list(false);
        self.gatherer.update_server(id, health, cell, Some(cell % 3), started);
    }

    /// Starts query `id` with one part for each shard; the ids of the parts start at `id + 1`.
    pub(crate) fn start_query(&mut self, id: u64, vertical: usize, shards: &[u32]) {
        let deadline = self.model.borrow().now + ms(3000);
        let q = Query { vertical, deadline, step: 0, complete: true, open: true };
        self.model.borrow_mut().queries.insert(id, q);
        self.model.borrow_mut().arrivals.push(deadline - ms(3000));
        self.gatherer.query_arrived(id, id, vertical, None, None, deadline, shards.len());
        self.add_parts(id, id + 1, shards);
    }

    /// Adds one part for each shard to a query; their ids start at `first`.
    pub(crate) fn add_parts(&mut self, query: u64, first: u64, shards: &[u32]) {
        for (id, shard) in (first..).zip(shards) {
            let (weight, step) = (1.0 / shards.len() as f64, self.model.borrow().queries[&query].step);
            let part = Part { query, shard: *shard, weight, step };
            let now = self.model.borrow().now;
            self.model.borrow_mut().arrivals.push(now);
            self.model.borrow_mut().parts.insert(id, part);
            self.gatherer.part_arrived(id, query, *shard, weight);
        }
    }

    /// Ends the call at this index of [`Model::calls`].
    pub(crate) fn end_call(&mut self, index: usize, outcome: Outcome) {
        let (part, number, server) = {
            let call = &mut self.model.borrow_mut().calls[index];
            call.outcome = Some(outcome);
            (call.part, call.number, call.server.clone())
        };
        self.gatherer.call_ended(part, number, outcome, &server, outcome == Outcome::Completed);
    }

    /// Ends the calls in flight for which the function returns an outcome.
    pub(crate) fn end_calls(&mut self, outcome_of: impl Fn(&Model, &Call) -> Option<Outcome>) {
        for index in 0..self.call_count() {
            let outcome = {
                let model = self.model.borrow();
                Some(&model.calls[index]).filter(|c| c.outcome.is_none()).and_then(|c| outcome_of(&model, c))
            };
            if let Some(outcome) = outcome {
                self.end_call(index, outcome);
            }
        }
    }

    /// Advances the clock and fires the timers that become due.
    pub(crate) fn advance(&mut self, time: Duration) {
        let until = self.model.borrow().now + time;
        loop {
            let next = self.model.borrow().timers.iter().min().copied().filter(|t| t.0 <= until);
            let at = next.map_or(until, |t| t.0);
            self.model.borrow_mut().now = at;
            self.gatherer.advance_to(at);
            let Some(timer) = next else { break };
            self.model.borrow_mut().timers.retain(|t| *t != timer);
            self.gatherer.timer_fired(timer.1);
        }
    }

    pub(crate) fn call_count(&self) -> usize {
        self.model.borrow().calls.len()
    }

    pub(crate) fn log(&self) -> Vec<String> {
        self.model.borrow().log.clone()
    }

    /// Number of logged actions that start with the prefix.
    pub(crate) fn count_logged(&self, prefix: &str) -> usize {
        self.model.borrow().log.iter().filter(|l| l.starts_with(prefix)).count()
    }
}
