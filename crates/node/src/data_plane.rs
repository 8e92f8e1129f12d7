//! The data plane: each query by the decisions of the `ashvane` module. What happens is told to the module, and
//! what it decides is done here; nothing is decided here but what the configuration itself says.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Gatherer, Health, Host, Idempotency, Outcome, Settings as Start, VerticalSettings};
use ashvane_gossip::{Directory, Server, ServerState, Update};
use ashvane_quota::{GatewayCount, RetryAllowance, RetryBudget, RetryUsage, connections_per_gateway};
use axum::http::HeaderValue;
use bytes::Bytes;
use serde_json::{Value, json};
use slog::{Logger, info};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::call_error::{CallError, Execution};
use crate::config::{Config, Route, Target, WeightedService};
use crate::merge::greatest;
use crate::pool::{Answer, Asked, Connector, Pool, SERVER_SEAL};
use crate::settings::Settings;

/// Utility of an answer after the target time, as a share of the full: the configuration doesn't say.
const LATE_UTILITY: f64 = 0.5;
/// The shortest time between two looks at a query, and half of what is left for the way back to the client.
const TICK: Duration = Duration::from_millis(5);
/// The longest time to come back that clients are told: they follow a third of what they have left.
const BACK_AFTER: Duration = Duration::from_millis(500);

/// What becomes of a query.
pub enum Reply {
    /// The server's own answer, unchanged.
    Relayed(Answer),
    Gathered {
        seals: Vec<HeaderValue>,
        missing: usize,
        body: Bytes,
    },
    /// It has not run and never will; when to come back.
    Rejected(Option<Duration>),
    /// No promise is made.
    Aborted,
}

enum Act {
    Call { part: u64, server: Rc<str>, limit: Duration },
    Answer(u64),
    Reject(u64, Option<Duration>),
    Abort(u64),
    Wake(u64, Duration),
}

/// The limits that all gatherers share, as this one sees them.
struct Shares {
    budget: RetryBudget,
    retries: BTreeMap<u32, RetryAllowance>,
    gateways: GatewayCount,
    now: Duration,
}

/// The module's hands: what it decides is queued and done as soon as it is through.
struct Hands {
    acts: Rc<RefCell<VecDeque<Act>>>,
    shares: Rc<RefCell<Shares>>,
}

impl Host for Hands {
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration) {
        self.acts.borrow_mut().push_back(Act::Call { part, server: server.into(), limit: timeout });
    }
    fn cancel_call(&mut self, _part: u64, _call: u32) {}
    fn answer(&mut self, query: u64, _complete: bool) {
        self.acts.borrow_mut().push_back(Act::Answer(query));
    }
    fn reject(&mut self, query: u64, retry_after: Option<Duration>) {
        self.acts.borrow_mut().push_back(Act::Reject(query, retry_after));
    }
    fn abort(&mut self, query: u64) {
        self.acts.borrow_mut().push_back(Act::Abort(query));
    }
    fn set_timer(&mut self, token: u64, delay: Duration) {
        self.acts.borrow_mut().push_back(Act::Wake(token, delay));
    }
    fn watch_server_list(&mut self) {}
    fn may_retry(&self, shard: u32) -> bool {
        let shares = self.shares.borrow();
        let gateways = shares.gateways.current();
        shares.retries.get(&shard).is_none_or(|r| r.allows_retry(shares.now, &shares.budget, gateways))
    }
}

struct Part {
    cell: u32,
    calls: u32,
    /// Of those, how many may have reached a server, ...
    arrived: u32,
    /// ... and how many have not ended.
    out: u32,
    answer: Option<Answer>,
}

struct Query {
    reply: oneshot::Sender<Reply>,
    asked: Rc<Asked>,
    route: Rc<Route>,
    /// A part for each shard.
    parts: Vec<Part>,
    /// A server's own word that it failed.
    failure: Option<Answer>,
    may_have_run: bool,
}

impl Query {
    /// Whether a call has not ended yet: it may run.
    fn is_out(&self) -> bool {
        self.parts.iter().any(|part| part.out > 0)
    }
}

#[derive(Default)]
struct Counters {
    queries: Cell<u64>,
    calls: Cell<u64>,
    again: Cell<u64>,
    whole: Cell<u64>,
    partial: Cell<u64>,
    rejected: Cell<u64>,
    aborted: Cell<u64>,
    failed: RefCell<BTreeMap<String, u64>>,
}

/// What a vertical is to the module: routes that are alike in all of this are one.
type Likeness = (Vec<Rc<str>>, bool, Duration, u32, u64);

pub struct DataPlane {
    log: Logger,
    started: Instant,
    gatherer: RefCell<Gatherer<Hands>>,
    acts: Rc<RefCell<VecDeque<Act>>>,
    shares: Rc<RefCell<Shares>>,
    zones: Vec<String>,
    cells: RefCell<BTreeMap<Rc<str>, u32>>,
    verticals: RefCell<BTreeMap<Likeness, usize>>,
    config: RefCell<Option<Rc<Config>>>,
    queries: RefCell<BTreeMap<u64, Query>>,
    parts: RefCell<BTreeMap<u64, (u64, usize)>>,
    known: RefCell<BTreeMap<String, (Server, Health)>>,
    pool: Pool,
    wakes: RefCell<BTreeSet<(Instant, u64)>>,
    woken: Notify,
    next: Cell<u64>,
    counters: Counters,
}

fn bump(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl DataPlane {
    pub fn new(settings: &Settings, servers: Rc<dyn Connector>, log: Logger) -> Rc<Self> {
        let started = Instant::now();
        let zone = settings.zones.iter().position(|z| *z == settings.zone).map(|z| z as u32);
        let start = Start {
            seed: fastrand::u64(..),
            gatherer_count: 1,
            zone,
            tick: TICK,
            verticals: Vec::new(),
            tenant_rates: Vec::new(),
            cell_count: u32::MAX,
            cells_per_shard: 1,
            max_parts_per_call: 1,
            call_overhead: Duration::ZERO,
            max_calls_per_part: 1,
            allow_hedging: true,
            // A call that is broken off takes its server's work along: the answer is let come.
            allow_cancel: false,
            max_retry_after: Some(BACK_AFTER),
            max_list_request_interval: None,
            retry_budget: None,
            cold_capacity_share: 1.0,
            warm_up_time: Duration::ZERO,
            overload_factor: 1.0,
            overload_window: Duration::from_secs(1),
        };
        let budget = RetryBudget {
            ratio: settings.retry_budget.ratio,
            slack: settings.retry_budget.slack,
            window: settings.retry_budget.window,
            is_restarted: !settings.is_first_start,
        };
        let (retries, gateways, now) = Default::default();
        let shares = Rc::new(RefCell::new(Shares { budget, retries, gateways, now }));
        let acts = Rc::default();
        let hands = Hands { acts: Rc::clone(&acts), shares: shares.clone() };
        let gatherer = Gatherer::new(hands, &start, Duration::ZERO).into();
        let (cells, verticals, config, queries, parts, known, wakes) = Default::default();
        let plane = Rc::new(DataPlane {
            log,
            started,
            gatherer,
            acts,
            shares,
            zones: settings.zones.clone(),
            cells,
            verticals,
            config,
            queries,
            parts,
            known,
            pool: Pool::new(servers),
            wakes,
            woken: Notify::new(),
            next: Cell::new(0),
            counters: Counters::default(),
        });
        tokio::task::spawn_local(plane.clone().keep_time());
        plane
    }

    /// Tells the module what happened, and does what it decides.
    fn tell(self: &Rc<Self>, what: impl FnOnce(&mut Gatherer<Hands>)) {
        let now = self.started.elapsed();
        self.shares.borrow_mut().now = now;
        {
            let mut gatherer = self.gatherer.borrow_mut();
            gatherer.advance_to(now);
            what(&mut gatherer);
        }
        loop {
            let Some(act) = self.acts.borrow_mut().pop_front() else { return };
            self.act(act);
        }
    }

    fn act(self: &Rc<Self>, act: Act) {
        match act {
            Act::Call { part, server, limit } => self.call(part, server, limit),
            Act::Answer(query) => self.answer(query),
            Act::Reject(query, after) => {
                let Some(q) = self.take(query) else { return };
                // Harmless to repeat is not the same as never run: only that is promised.
                let reply =
                    if q.may_have_run || q.is_out() { self.failed(q.failure) } else { self.rejected(after) };
                let _ = q.reply.send(reply);
            }
            Act::Abort(query) => {
                let Some(q) = self.take(query) else { return };
                let reply = self.failed(q.failure);
                let _ = q.reply.send(reply);
            }
            Act::Wake(token, after) => {
                let at = Instant::now() + after;
                let first = self.wakes.borrow().first().is_none_or(|(first, _)| at < *first);
                self.wakes.borrow_mut().insert((at, token));
                if first {
                    self.woken.notify_one();
                }
            }
        }
    }

    fn rejected(&self, after: Option<Duration>) -> Reply {
        bump(&self.counters.rejected);
        Reply::Rejected(after)
    }

    fn failed(&self, failure: Option<Answer>) -> Reply {
        bump(&self.counters.aborted);
        failure.map_or(Reply::Aborted, Reply::Relayed)
    }

    /// Wakes the module when it asked for it.
    async fn keep_time(self: Rc<Self>) {
        loop {
            let first = self.wakes.borrow().first().map(|(at, _)| *at);
            let Some(first) = first else {
                self.woken.notified().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(first) => {}
                () = self.woken.notified() => continue,
            }
            let due: Vec<u64> = {
                let mut wakes = self.wakes.borrow_mut();
                let later = wakes.split_off(&(Instant::now() + Duration::from_nanos(1), 0));
                std::mem::replace(&mut *wakes, later).into_iter().map(|(_, token)| token).collect()
            };
            self.tell(|g| due.iter().for_each(|token| g.timer_fired(*token)));
        }
    }

    fn cell(&self, service: &Rc<str>) -> u32 {
        let mut cells = self.cells.borrow_mut();
        let next = cells.len() as u32;
        *cells.entry(service.clone()).or_insert(next)
    }

    // What is known of servers and gatherers.

    /// How many servers are kept here.
    pub fn servers_kept(&self) -> usize {
        self.known.borrow().len()
    }

    pub fn knows_servers(&self) -> bool {
        self.known.borrow().values().any(|(_, health)| *health == Health::Ready)
    }

    pub fn gateways_changed(self: &Rc<Self>, count: usize) {
        let now = self.started.elapsed();
        self.shares.borrow_mut().gateways.observe(now, count);
        self.tell(|g| g.set_gatherer_count(u32::try_from(count).ok()));
    }

    pub fn servers_changed(self: &Rc<Self>, directory: &Directory, updates: &[Update]) {
        let services: BTreeSet<&str> = updates
            .iter()
            .filter_map(|n| match n {
                Update::Server(s) => Some(s.service.as_str()),
                _ => None,
            })
            .collect();
        if !services.is_empty() {
            let listed: Vec<&Server> =
                directory.servers().filter(|s| services.contains(s.service.as_str())).collect();
            self.list(&listed);
        }
    }

    /// Lists servers to the module, those of whole services at once.
    fn list(self: &Rc<Self>, listed: &[&Server]) {
        let mut silent: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for s in listed.iter().filter(|s| s.state == ServerState::Ready) {
            let (all, quiet) = silent.entry(s.service.as_str()).or_default();
            (*all, *quiet) = (*all + 1, *quiet + usize::from(s.has_timed_out()));
        }
        let health = |s: &Server| match s.state {
            ServerState::Terminated => Health::Gone,
            ServerState::Draining => Health::Draining,
            // Most of a service is not silent at once: those who hear it are cut off from it.
            ServerState::Ready
                if s.has_timed_out()
                    && silent.get(s.service.as_str()).is_some_and(|(all, quiet)| quiet * 2 <= *all) =>
            {
                Health::Draining
            }
            ServerState::Ready => Health::Ready,
        };
        let mut changed = Vec::new();
        for s in listed {
            let health = health(s);
            let mut known = self.known.borrow_mut();
            let before = known.get(s.id.as_str()).map(|(_, health)| *health);
            // Of one that has ended nothing is kept.
            if s.state == ServerState::Terminated {
                known.remove(s.id.as_str());
                changed.extend(before.map(|_| (*s, health)));
            } else if before != Some(health) {
                known.insert(s.id.to_string(), ((*s).clone(), health));
                changed.push((*s, health));
            }
        }
        for (s, health) in &changed {
            match health {
                Health::Ready => {
                    self.pool.is_there(s.id.as_str(), s.address.as_str(), self.most(s.service.as_str()))
                }
                _ if s.state > ServerState::Ready => self.pool.is_gone(s.id.as_str()),
                _ => {}
            }
        }
        if changed.is_empty() {
            return;
        }
        self.tell(|g| {
            g.begin_server_list(false);
            for (s, health) in changed {
                let cell = self.cell(&s.service.as_str().into());
                let zone = self.zones.iter().position(|z| s.zone == z.as_str()).map(|z| z as u32);
                g.update_server(s.id.as_str(), health, cell, zone, None);
            }
        });
    }

    fn most(&self, service: &str) -> usize {
        let most =
            self.config.borrow().as_ref().and_then(|c| c.services.get(service).map(|s| s.max_connections));
        connections_per_gateway(most.unwrap_or(1), self.shares.borrow().gateways.current())
    }

    /// Another server has this one's address, as the server there says.
    fn server_is_gone(self: &Rc<Self>, id: &str) {
        let Some((server, health)) = self.known.borrow().get(id).cloned() else { return };
        if health != Health::Gone {
            self.known.borrow_mut().insert(id.to_owned(), (server.clone(), Health::Gone));
            self.pool.is_gone(id);
            let cell = self.cell(&server.service.as_str().into());
            self.tell(|g| {
                g.begin_server_list(false);
                g.update_server(id, Health::Gone, cell, None, None);
            });
        }
    }

    // The configuration.

    /// From here on each new query goes by this version.
    pub fn config_changed(self: &Rc<Self>, config: Rc<Config>) {
        *self.config.borrow_mut() = Some(config.clone());
        let known: Vec<Server> = self.known.borrow().values().map(|(s, _)| s.clone()).collect();
        for s in known.iter().filter(|s| s.state == ServerState::Ready) {
            self.pool.is_there(s.id.as_str(), s.address.as_str(), self.most(s.service.as_str()));
        }
        for route in config.routes() {
            match &route.target {
                Target::All(services) => {
                    self.vertical(route, services);
                }
                Target::One(services) => {
                    for part in services {
                        self.vertical(route, std::slice::from_ref(&part.service));
                    }
                }
            }
        }
    }

    /// The vertical of a route at these services; the module is told of one that is new.
    fn vertical(self: &Rc<Self>, route: &Route, services: &[Rc<str>]) -> usize {
        let slo = route.latency_target.min(route.deadline);
        let likeness: Likeness =
            (services.to_vec(), route.is_idempotent, slo, route.max_attempts, route.min_coverage.to_bits());
        if let Some(at) = self.verticals.borrow().get(&likeness) {
            return *at;
        }
        let at = self.verticals.borrow().len();
        self.verticals.borrow_mut().insert(likeness, at);
        let settings = VerticalSettings {
            required_weight: 1.0,
            min_weight: if services.len() > 1 { route.min_coverage } else { 1.0 },
            follow_up_parts: 0,
            slo,
            late_utility: LATE_UTILITY,
            idempotency: if route.is_idempotent {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
        };
        self.tell(|g| g.set_vertical(at, &settings, route.max_attempts, true));
        at
    }

    // Queries.

    /// Takes a query; the reply comes once it is settled. Its number is for [`DataPlane::left`].
    pub fn ask(
        self: &Rc<Self>, route: &Rc<Route>, asked: Asked, until: Instant,
    ) -> (u64, oneshot::Receiver<Reply>) {
        bump(&self.counters.queries);
        let (reply, answer) = oneshot::channel();
        let services: Vec<Rc<str>> = match &route.target {
            Target::All(services) => services.clone(),
            Target::One(services) => vec![pick(services)],
        };
        let vertical = self.vertical(route, &services);
        let first = self.next.get() + 1;
        self.next.set(first + services.len() as u64);
        let now = self.started.elapsed();
        let key = asked.uri.to_string();
        let cells: Vec<u32> = services.iter().map(|s| self.cell(s)).collect();
        {
            let mut shares = self.shares.borrow_mut();
            let budget = shares.budget;
            cells.iter().for_each(|c| shares.retries.entry(*c).or_default().record_request(now, &budget));
        }
        let part = |cell: &u32| Part { cell: *cell, calls: 0, arrived: 0, out: 0, answer: None };
        let parts: Vec<Part> = cells.iter().map(part).collect();
        {
            let mut known = self.parts.borrow_mut();
            known.extend((0..parts.len()).map(|at| (first + 1 + at as u64, (first, at))));
        }
        let (asked, route) = (Rc::new(asked), route.clone());
        let query = Query { reply, asked, route, parts, failure: None, may_have_run: false };
        self.queries.borrow_mut().insert(first, query);
        let until = until.saturating_duration_since(self.started);
        let weight = 1.0 / cells.len() as f64;
        self.tell(|g| {
            g.query_arrived(first, first, vertical, None, Some(&key), until, cells.len());
            for (at, cell) in cells.iter().enumerate() {
                g.part_arrived(first + 1 + at as u64, first, *cell, weight);
            }
        });
        (first, answer)
    }

    /// The client has left.
    pub fn left(self: &Rc<Self>, query: u64) {
        if self.take(query).is_some() {
            self.tell(|g| g.query_abandoned(query));
        }
    }

    fn call(self: &Rc<Self>, part: u64, server: Rc<str>, limit: Duration) {
        let Some((query, at)) = self.parts.borrow().get(&part).copied() else { return };
        let (asked, call, again) = {
            let mut queries = self.queries.borrow_mut();
            let Some(q) = queries.get_mut(&query) else { return };
            let part = &mut q.parts[at];
            let (call, again) = (part.calls, (part.arrived > 0).then_some(part.cell));
            (part.calls, part.arrived, part.out) = (part.calls + 1, part.arrived + 1, part.out + 1);
            if let Some(cell) = again {
                let now = self.started.elapsed();
                self.shares.borrow_mut().retries.entry(cell).or_default().record_retry(now);
                bump(&self.counters.again);
            }
            (q.asked.clone(), call, again)
        };
        bump(&self.counters.calls);
        let plane = self.clone();
        tokio::task::spawn_local(async move {
            let sent = plane.pool.send(&server, &asked, limit).await;
            if let (Err(e), Some(cell)) = (&sent, again)
                && !e.may_have_arrived()
            {
                plane.shares.borrow_mut().retries.entry(cell).or_default().cancel_retry();
            }
            plane.settled(part, call, &server, sent);
        });
    }

    fn settled(self: &Rc<Self>, part: u64, call: u32, server: &str, sent: Result<Answer, CallError>) {
        if let Err(e) = &sent {
            let word = format!("{e:?}").split([' ', '{']).next().unwrap_or_default().to_owned();
            *self.counters.failed.borrow_mut().entry(word).or_default() += 1;
            if *e == CallError::OtherServer {
                self.server_is_gone(server);
            }
        }
        let place = self.parts.borrow().get(&part).copied();
        let mut queries = self.queries.borrow_mut();
        let mut query = place.and_then(|(query, at)| Some((queries.get_mut(&query)?, at)));
        if let Some((q, at)) = &mut query {
            q.parts[*at].out -= 1;
        }
        let outcome = match (sent, query) {
            (Ok(answer), query) if answer.status.is_success() => {
                if let Some((q, at)) = query {
                    q.parts[at].answer.get_or_insert(answer);
                }
                Outcome::Completed
            }
            (Ok(answer), query) => {
                let error = CallError::Failed { status: answer.status.as_u16() };
                if let Some((q, _)) = query {
                    q.may_have_run = true;
                    q.failure = (q.parts.len() == 1).then_some(answer);
                }
                error.outcome()
            }
            (Err(error), query) => {
                if let Some((q, at)) = query {
                    q.may_have_run |= error.execution() == Execution::MayHaveRun;
                    q.parts[at].arrived -= u32::from(!error.may_have_arrived());
                }
                error.outcome()
            }
        };
        drop(queries);
        self.tell(|g| g.call_ended(part, call, outcome, server, false));
    }

    /// Ends a query: what its calls still bring is for the module only.
    fn take(&self, query: u64) -> Option<Query> {
        let q = self.queries.borrow_mut().remove(&query)?;
        let mut parts = self.parts.borrow_mut();
        for part in query + 1..=query + q.parts.len() as u64 {
            parts.remove(&part);
        }
        Some(q)
    }

    fn answer(&self, query: u64) {
        let Some(q) = self.take(query) else { return };
        let asked_for = q.parts.len();
        let answers: Vec<Answer> = q.parts.into_iter().filter_map(|part| part.answer).collect();
        bump(if answers.len() < asked_for { &self.counters.partial } else { &self.counters.whole });
        let reply = match (&q.route.target, answers.len()) {
            (_, 0) => Reply::Aborted,
            (Target::One(_), _) => answers.into_iter().next().map_or(Reply::Aborted, Reply::Relayed),
            (Target::All(_), got) => {
                let seals = answers.iter().filter_map(|a| a.headers.get(SERVER_SEAL).cloned()).collect();
                let parts: Vec<Bytes> = answers.into_iter().map(|a| a.body).collect();
                Reply::Gathered { seals, missing: asked_for - got, body: greatest(&parts, q.route.top_k) }
            }
        };
        let _ = q.reply.send(reply);
    }

    /// Connections that are open to servers.
    pub fn open_connections(&self) -> usize {
        self.pool.open()
    }

    /// This gatherer's part of what all share, by service.
    pub fn allotments(&self) -> Value {
        let shares = self.shares.borrow();
        let services: BTreeMap<u32, Rc<str>> =
            self.cells.borrow().iter().map(|(name, cell)| (*cell, name.clone())).collect();
        let rows = shares.retries.iter().map(|(cell, retries)| {
            let RetryUsage { requests, retries: again } = retries.usage();
            let service = services.get(cell).map_or("", |s| s);
            json!({"service": service, "requests": requests, "again": again,
                "among gatherers": shares.gateways.current(), "connections a server": self.most(service)})
        });
        rows.collect()
    }

    pub fn log_counters(&self) {
        let c = &self.counters;
        let p = &self.pool.counters;
        let failed = c.failed.borrow();
        let failed: Vec<String> = failed.iter().map(|(word, n)| format!("{word}:{n}")).collect();
        info!(self.log, "queries"; "queries" => c.queries.get(), "calls" => c.calls.get(),
            "again" => c.again.get(), "whole" => c.whole.get(), "partial" => c.partial.get(),
            "rejected" => c.rejected.get(), "aborted" => c.aborted.get(), "failed" => failed.join(" "),
            "held" => self.queries.borrow().len(), "parts" => self.parts.borrow().len(),
            "open" => self.pool.open(), "connects" => p.connects.get(), "refused" => p.refused.get(),
            "reused" => p.reused.get(), "foreign" => p.foreign.get());
    }
}

/// One of the services, by weight.
fn pick(services: &[WeightedService]) -> Rc<str> {
    let total: f64 = services.iter().map(|part| part.weight).sum();
    let mut at = fastrand::f64() * total;
    for part in services {
        at -= part.weight;
        if at < 0.0 {
            return part.service.clone();
        }
    }
    let last = services.iter().rev().find(|part| part.weight > 0.0);
    last.map_or_else(|| "".into(), |part| part.service.clone())
}
