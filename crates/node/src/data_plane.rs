//! The data plane: each query by the decisions of the `ashvane` module. What happens is told to the module, and
//! what it decides is done here; nothing is decided here but what the configuration itself says.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Effect, Gatherer, Health, Host, Outcome, Settings as GathererSettings, VerticalSettings};
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
use crate::merge::merge_top_k;
use crate::pool::{Connector, ForwardedRequest, Pool, SERVER_SEAL, ServerResponse};
use crate::settings::Settings;

/// Utility of an answer after the target time, as a share of the full: the configuration doesn't say.
const LATE_UTILITY: f64 = 0.5;
/// The shortest time between two looks at a query, and half of what is left for the way back to the client.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(5);
/// The longest time to come back that clients are told: they follow a third of what they have left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What becomes of a query.
pub enum Reply {
    /// The server's own answer, unchanged.
    Relayed(ServerResponse),
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

enum Action {
    Call { part_id: u64, server: Rc<str>, limit: Duration },
    Answer(u64),
    Reject(u64, Option<Duration>),
    Abort(u64),
    Wake(u64, Duration),
}

/// The limits that all gatherers share, as this one sees them.
struct SharedLimits {
    retry_budget: RetryBudget,
    retry_allowances: BTreeMap<u32, RetryAllowance>,
    gateway_count: GatewayCount,
    now: Duration,
}

/// The module's hands: what it decides is queued and done as soon as it is through.
struct ActionQueue {
    actions: Rc<RefCell<VecDeque<Action>>>,
    shared_limits: Rc<RefCell<SharedLimits>>,
}

impl Host for ActionQueue {
    fn call(&mut self, part_id: u64, server: &str, limit: Duration) {
        self.actions.borrow_mut().push_back(Action::Call { part_id, server: server.into(), limit });
    }
    fn call_off(&mut self, _part: u64, _call: u32) {}
    fn answer(&mut self, query_id: u64, _whole: bool) {
        self.actions.borrow_mut().push_back(Action::Answer(query_id));
    }
    fn reject(&mut self, query_id: u64, back_after: Option<Duration>) {
        self.actions.borrow_mut().push_back(Action::Reject(query_id, back_after));
    }
    fn abort(&mut self, query_id: u64) {
        self.actions.borrow_mut().push_back(Action::Abort(query_id));
    }
    fn wake(&mut self, token: u64, after: Duration) {
        self.actions.borrow_mut().push_back(Action::Wake(token, after));
    }
    fn watch_list(&mut self) {}
    fn may_call_again(&self, shard: u32) -> bool {
        let shared_limits = self.shared_limits.borrow();
        let gateways = shared_limits.gateway_count.current();
        shared_limits.retry_allowances.get(&shard).is_none_or(|allowance| {
            allowance.allows_retry(shared_limits.now, &shared_limits.retry_budget, gateways)
        })
    }
}

struct Part {
    shard: u32,
    call_count: u32,
    /// Of those, how many may have reached a server, ...
    received_count: u32,
    /// ... and how many have not ended.
    pending_count: u32,
    response: Option<ServerResponse>,
}

struct Query {
    reply_sender: oneshot::Sender<Reply>,
    request: Rc<ForwardedRequest>,
    route: Rc<Route>,
    /// A part for each shard.
    parts: Vec<Part>,
    /// A server's own word that it failed.
    failure_response: Option<ServerResponse>,
    may_have_run: bool,
}

impl Query {
    /// Whether a call has not ended yet: it may run.
    fn has_pending_calls(&self) -> bool {
        self.parts.iter().any(|part| part.pending_count > 0)
    }
}

#[derive(Default)]
struct Counters {
    queries: Cell<u64>,
    calls: Cell<u64>,
    retries: Cell<u64>,
    complete: Cell<u64>,
    partial: Cell<u64>,
    rejected: Cell<u64>,
    aborted: Cell<u64>,
    failed_calls: RefCell<BTreeMap<String, u64>>,
}

/// What a vertical is to the module: routes that are alike in all of this are one.
type VerticalKey = (Vec<Rc<str>>, bool, Duration, u32, u64);

pub struct DataPlane {
    log: Logger,
    started_at: Instant,
    gatherer: RefCell<Gatherer<ActionQueue>>,
    actions: Rc<RefCell<VecDeque<Action>>>,
    shared_limits: Rc<RefCell<SharedLimits>>,
    zones: Vec<String>,
    shards: RefCell<BTreeMap<Rc<str>, u32>>,
    verticals: RefCell<BTreeMap<VerticalKey, usize>>,
    config: RefCell<Option<Rc<Config>>>,
    queries: RefCell<BTreeMap<u64, Query>>,
    parts: RefCell<BTreeMap<u64, (u64, usize)>>,
    servers: RefCell<BTreeMap<String, (Server, Health)>>,
    pool: Pool,
    timers: RefCell<BTreeSet<(Instant, u64)>>,
    timer_added: Notify,
    last_id: Cell<u64>,
    counters: Counters,
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

impl DataPlane {
    pub fn new(settings: &Settings, connector: Rc<dyn Connector>, log: Logger) -> Rc<Self> {
        let started_at = Instant::now();
        let zone = settings.zones.iter().position(|z| *z == settings.zone).map(|z| z as u32);
        let gatherer_settings = GathererSettings {
            seed: fastrand::u64(..),
            gatherers: 1,
            zone,
            tick: MIN_REVIEW_INTERVAL,
            verticals: Vec::new(),
            tenant_rates: Vec::new(),
            cells: u32::MAX,
            span: 1,
            parts_a_call: 1,
            call_cost: Duration::ZERO,
            most_calls: 1,
            second_copies: true,
            // A call that is broken off takes its server's work along: the answer is let come.
            call_off: false,
            back_after: Some(MAX_RETRY_AFTER),
            ask_within: None,
            budget: None,
            cold_from: 1.0,
            cold_time: Duration::ZERO,
            overload_factor: 1.0,
            fall_time: Duration::from_secs(1),
        };
        let retry_budget = RetryBudget {
            ratio: settings.retry_budget.ratio,
            slack: settings.retry_budget.slack,
            window: settings.retry_budget.window,
            is_restarted: !settings.is_first_start,
        };
        let (retry_allowances, gateway_count, now) = Default::default();
        let shared_limits =
            Rc::new(RefCell::new(SharedLimits { retry_budget, retry_allowances, gateway_count, now }));
        let actions = Rc::default();
        let action_queue = ActionQueue { actions: Rc::clone(&actions), shared_limits: shared_limits.clone() };
        let gatherer = Gatherer::new(action_queue, &gatherer_settings, Duration::ZERO).into();
        let (shards, verticals, config, queries, parts, servers, timers) = Default::default();
        let data_plane = Rc::new(DataPlane {
            log,
            started_at,
            gatherer,
            actions,
            shared_limits,
            zones: settings.zones.clone(),
            shards,
            verticals,
            config,
            queries,
            parts,
            servers,
            pool: Pool::new(connector),
            timers,
            timer_added: Notify::new(),
            last_id: Cell::new(0),
            counters: Counters::default(),
        });
        tokio::task::spawn_local(data_plane.clone().run_timers());
        data_plane
    }

    /// Tells the module what happened, and does what it decides.
    fn process_event(self: &Rc<Self>, event: impl FnOnce(&mut Gatherer<ActionQueue>)) {
        let now = self.started_at.elapsed();
        self.shared_limits.borrow_mut().now = now;
        {
            let mut gatherer = self.gatherer.borrow_mut();
            gatherer.at(now);
            event(&mut gatherer);
        }
        loop {
            let Some(action) = self.actions.borrow_mut().pop_front() else { return };
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Call { part_id, server, limit } => self.send_call(part_id, server, limit),
            Action::Answer(query_id) => self.send_response(query_id),
            Action::Reject(query_id, retry_after) => {
                let Some(query) = self.remove_query(query_id) else { return };
                // Harmless to repeat is not the same as never run: only that is promised.
                let reply = if query.may_have_run || query.has_pending_calls() {
                    self.failure_reply(query.failure_response)
                } else {
                    self.rejection_reply(retry_after)
                };
                let _ = query.reply_sender.send(reply);
            }
            Action::Abort(query_id) => {
                let Some(query) = self.remove_query(query_id) else { return };
                let reply = self.failure_reply(query.failure_response);
                let _ = query.reply_sender.send(reply);
            }
            Action::Wake(token, after) => {
                let at = Instant::now() + after;
                let is_earliest = self.timers.borrow().first().is_none_or(|(earliest, _)| at < *earliest);
                self.timers.borrow_mut().insert((at, token));
                if is_earliest {
                    self.timer_added.notify_one();
                }
            }
        }
    }

    fn rejection_reply(&self, retry_after: Option<Duration>) -> Reply {
        increment(&self.counters.rejected);
        Reply::Rejected(retry_after)
    }

    fn failure_reply(&self, response: Option<ServerResponse>) -> Reply {
        increment(&self.counters.aborted);
        response.map_or(Reply::Aborted, Reply::Relayed)
    }

    /// Wakes the module when it asked for it.
    async fn run_timers(self: Rc<Self>) {
        loop {
            let earliest = self.timers.borrow().first().map(|(at, _)| *at);
            let Some(earliest) = earliest else {
                self.timer_added.notified().await;
                continue;
            };
            tokio::select! {
                () = sleep_until(earliest) => {}
                () = self.timer_added.notified() => continue,
            }
            let due: Vec<u64> = {
                let mut timers = self.timers.borrow_mut();
                let later = timers.split_off(&(Instant::now() + Duration::from_nanos(1), 0));
                std::mem::replace(&mut *timers, later).into_iter().map(|(_, token)| token).collect()
            };
            self.process_event(|gatherer| due.iter().for_each(|token| gatherer.woke(*token)));
        }
    }

    fn shard_index(&self, service: &Rc<str>) -> u32 {
        let mut shards = self.shards.borrow_mut();
        let next = shards.len() as u32;
        *shards.entry(service.clone()).or_insert(next)
    }

    // What is known of servers and gatherers.

    /// How many servers are kept here.
    pub fn server_count(&self) -> usize {
        self.servers.borrow().len()
    }

    pub fn has_ready_server(&self) -> bool {
        self.servers.borrow().values().any(|(_, health)| *health == Health::Ready)
    }

    pub fn gateways_changed(self: &Rc<Self>, count: usize) {
        let now = self.started_at.elapsed();
        self.shared_limits.borrow_mut().gateway_count.observe(now, count);
        self.process_event(|gatherer| gatherer.fleet_is(u32::try_from(count).ok()));
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
            self.update_servers(&listed);
        }
    }

    /// Lists servers to the module, those of whole services at once.
    fn update_servers(self: &Rc<Self>, listed: &[&Server]) {
        let mut ready_counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for s in listed.iter().filter(|s| s.state == ServerState::Ready) {
            let (all, timed_out) = ready_counts.entry(s.service.as_str()).or_default();
            (*all, *timed_out) = (*all + 1, *timed_out + usize::from(s.has_timed_out()));
        }
        let health = |s: &Server| match s.state {
            ServerState::Terminated => Health::Gone,
            ServerState::Draining => Health::Draining,
            // Most of a service is not silent at once: those who hear it are cut off from it.
            ServerState::Ready
                if s.has_timed_out()
                    && ready_counts
                        .get(s.service.as_str())
                        .is_some_and(|(all, timed_out)| timed_out * 2 <= *all) =>
            {
                Health::Draining
            }
            ServerState::Ready => Health::Ready,
        };
        let mut changed = Vec::new();
        for s in listed {
            let health = health(s);
            let mut servers = self.servers.borrow_mut();
            let previous = servers.get(s.id.as_str()).map(|(_, health)| *health);
            // Of one that has ended nothing is kept.
            if s.state == ServerState::Terminated {
                servers.remove(s.id.as_str());
                changed.extend(previous.map(|_| (*s, health)));
            } else if previous != Some(health) {
                servers.insert(s.id.to_string(), ((*s).clone(), health));
                changed.push((*s, health));
            }
        }
        for (s, health) in &changed {
            match health {
                Health::Ready => self.pool.add_server(
                    s.id.as_str(),
                    s.address.as_str(),
                    self.connection_limit(s.service.as_str()),
                ),
                _ if s.state > ServerState::Ready => self.pool.remove_server(s.id.as_str()),
                _ => {}
            }
        }
        if changed.is_empty() {
            return;
        }
        self.process_event(|gatherer| {
            gatherer.list_begins(false);
            for (s, health) in changed {
                let shard = self.shard_index(&s.service.as_str().into());
                let zone = self.zones.iter().position(|z| s.zone == z.as_str()).map(|z| z as u32);
                gatherer.server_listed(s.id.as_str(), health, shard, zone, None);
            }
        });
    }

    fn connection_limit(&self, service: &str) -> usize {
        let max_connections =
            self.config.borrow().as_ref().and_then(|c| c.services.get(service).map(|s| s.max_connections));
        connections_per_gateway(
            max_connections.unwrap_or(1),
            self.shared_limits.borrow().gateway_count.current(),
        )
    }

    /// Another server has this one's address, as the server there says.
    fn mark_server_gone(self: &Rc<Self>, id: &str) {
        let Some((server, health)) = self.servers.borrow().get(id).cloned() else { return };
        if health != Health::Gone {
            self.servers.borrow_mut().insert(id.to_owned(), (server.clone(), Health::Gone));
            self.pool.remove_server(id);
            let shard = self.shard_index(&server.service.as_str().into());
            self.process_event(|gatherer| {
                gatherer.list_begins(false);
                gatherer.server_listed(id, Health::Gone, shard, None, None);
            });
        }
    }

    // The configuration.

    /// From here on each new query goes by this version.
    pub fn config_changed(self: &Rc<Self>, config: Rc<Config>) {
        *self.config.borrow_mut() = Some(config.clone());
        let servers: Vec<Server> = self.servers.borrow().values().map(|(s, _)| s.clone()).collect();
        for s in servers.iter().filter(|s| s.state == ServerState::Ready) {
            self.pool.add_server(
                s.id.as_str(),
                s.address.as_str(),
                self.connection_limit(s.service.as_str()),
            );
        }
        for route in config.routes() {
            match &route.target {
                Target::All(services) => {
                    self.vertical_index(route, services);
                }
                Target::One(services) => {
                    for part in services {
                        self.vertical_index(route, std::slice::from_ref(&part.service));
                    }
                }
            }
        }
    }

    /// The vertical of a route at these services; the module is told of one that is new.
    fn vertical_index(self: &Rc<Self>, route: &Route, services: &[Rc<str>]) -> usize {
        let slo = route.latency_target.min(route.deadline);
        let key: VerticalKey =
            (services.to_vec(), route.is_idempotent, slo, route.max_attempts, route.min_coverage.to_bits());
        if let Some(at) = self.verticals.borrow().get(&key) {
            return *at;
        }
        let at = self.verticals.borrow().len();
        self.verticals.borrow_mut().insert(key, at);
        let settings = VerticalSettings {
            need: 1.0,
            floor: if services.len() > 1 { route.min_coverage } else { 1.0 },
            follow_up: 0,
            slo,
            late_utility: LATE_UTILITY,
            effect: if route.is_idempotent { Effect::Repeatable } else { Effect::SideEffecting },
        };
        self.process_event(|gatherer| gatherer.vertical_is(at, &settings, route.max_attempts, true));
        at
    }

    // Queries.

    /// Takes a query; the reply comes once it is settled. Its number is for [`DataPlane::left`].
    pub fn submit(
        self: &Rc<Self>, route: &Rc<Route>, request: ForwardedRequest, deadline: Instant,
    ) -> (u64, oneshot::Receiver<Reply>) {
        increment(&self.counters.queries);
        let (reply_sender, reply_receiver) = oneshot::channel();
        let services: Vec<Rc<str>> = match &route.target {
            Target::All(services) => services.clone(),
            Target::One(services) => vec![pick_service(services)],
        };
        let vertical = self.vertical_index(route, &services);
        let first_id = self.last_id.get() + 1;
        self.last_id.set(first_id + services.len() as u64);
        let now = self.started_at.elapsed();
        let key = request.uri.to_string();
        let shards: Vec<u32> = services.iter().map(|s| self.shard_index(s)).collect();
        {
            let mut shared_limits = self.shared_limits.borrow_mut();
            let budget = shared_limits.retry_budget;
            shards.iter().for_each(|shard| {
                shared_limits.retry_allowances.entry(*shard).or_default().record_request(now, &budget)
            });
        }
        let part = |shard: &u32| Part {
            shard: *shard,
            call_count: 0,
            received_count: 0,
            pending_count: 0,
            response: None,
        };
        let parts: Vec<Part> = shards.iter().map(part).collect();
        {
            let mut positions = self.parts.borrow_mut();
            positions.extend((0..parts.len()).map(|at| (first_id + 1 + at as u64, (first_id, at))));
        }
        let (request, route) = (Rc::new(request), route.clone());
        let query =
            Query { reply_sender, request, route, parts, failure_response: None, may_have_run: false };
        self.queries.borrow_mut().insert(first_id, query);
        let deadline = deadline.saturating_duration_since(self.started_at);
        let weight = 1.0 / shards.len() as f64;
        self.process_event(|gatherer| {
            gatherer.query_came(first_id, first_id, vertical, None, Some(&key), deadline, shards.len());
            for (at, shard) in shards.iter().enumerate() {
                gatherer.part_came(first_id + 1 + at as u64, first_id, *shard, weight);
            }
        });
        (first_id, reply_receiver)
    }

    /// The client has left.
    pub fn client_disconnected(self: &Rc<Self>, query_id: u64) {
        if self.remove_query(query_id).is_some() {
            self.process_event(|gatherer| gatherer.abandoned(query_id));
        }
    }

    fn send_call(self: &Rc<Self>, part_id: u64, server: Rc<str>, limit: Duration) {
        let Some((query_id, at)) = self.parts.borrow().get(&part_id).copied() else { return };
        let (request, call, retried_shard) = {
            let mut queries = self.queries.borrow_mut();
            let Some(query) = queries.get_mut(&query_id) else { return };
            let part = &mut query.parts[at];
            let (call, retried_shard) = (part.call_count, (part.received_count > 0).then_some(part.shard));
            (part.call_count, part.received_count, part.pending_count) =
                (part.call_count + 1, part.received_count + 1, part.pending_count + 1);
            if let Some(shard) = retried_shard {
                let now = self.started_at.elapsed();
                self.shared_limits.borrow_mut().retry_allowances.entry(shard).or_default().record_retry(now);
                increment(&self.counters.retries);
            }
            (query.request.clone(), call, retried_shard)
        };
        increment(&self.counters.calls);
        let data_plane = self.clone();
        tokio::task::spawn_local(async move {
            let result = data_plane.pool.send(&server, &request, limit).await;
            if let (Err(e), Some(shard)) = (&result, retried_shard)
                && !e.may_have_arrived()
            {
                data_plane
                    .shared_limits
                    .borrow_mut()
                    .retry_allowances
                    .entry(shard)
                    .or_default()
                    .cancel_retry();
            }
            data_plane.call_finished(part_id, call, &server, result);
        });
    }

    fn call_finished(
        self: &Rc<Self>, part_id: u64, call: u32, server: &str, result: Result<ServerResponse, CallError>,
    ) {
        if let Err(e) = &result {
            let kind = format!("{e:?}").split([' ', '{']).next().unwrap_or_default().to_owned();
            *self.counters.failed_calls.borrow_mut().entry(kind).or_default() += 1;
            if *e == CallError::OtherServer {
                self.mark_server_gone(server);
            }
        }
        let position = self.parts.borrow().get(&part_id).copied();
        let mut queries = self.queries.borrow_mut();
        let mut query = position.and_then(|(query_id, at)| Some((queries.get_mut(&query_id)?, at)));
        if let Some((query, at)) = &mut query {
            query.parts[*at].pending_count -= 1;
        }
        let outcome = match (result, query) {
            (Ok(response), query) if response.status.is_success() => {
                if let Some((query, at)) = query {
                    query.parts[at].response.get_or_insert(response);
                }
                Outcome::Completed
            }
            (Ok(response), query) => {
                let error = CallError::Failed { status: response.status.as_u16() };
                if let Some((query, _)) = query {
                    query.may_have_run = true;
                    query.failure_response = (query.parts.len() == 1).then_some(response);
                }
                error.outcome()
            }
            (Err(error), query) => {
                if let Some((query, at)) = query {
                    query.may_have_run |= error.execution() == Execution::MayHaveRun;
                    query.parts[at].received_count -= u32::from(!error.may_have_arrived());
                }
                error.outcome()
            }
        };
        drop(queries);
        self.process_event(|gatherer| gatherer.settled(part_id, call, outcome, server, false));
    }

    /// Ends a query: what its calls still bring is for the module only.
    fn remove_query(&self, query_id: u64) -> Option<Query> {
        let query = self.queries.borrow_mut().remove(&query_id)?;
        let mut parts = self.parts.borrow_mut();
        for part_id in query_id + 1..=query_id + query.parts.len() as u64 {
            parts.remove(&part_id);
        }
        Some(query)
    }

    fn send_response(&self, query_id: u64) {
        let Some(query) = self.remove_query(query_id) else { return };
        let part_count = query.parts.len();
        let responses: Vec<ServerResponse> =
            query.parts.into_iter().filter_map(|part| part.response).collect();
        increment(if responses.len() < part_count {
            &self.counters.partial
        } else {
            &self.counters.complete
        });
        let reply = match (&query.route.target, responses.len()) {
            (_, 0) => Reply::Aborted,
            (Target::One(_), _) => responses.into_iter().next().map_or(Reply::Aborted, Reply::Relayed),
            (Target::All(_), received) => {
                let seals = responses
                    .iter()
                    .filter_map(|response| response.headers.get(SERVER_SEAL).cloned())
                    .collect();
                let parts: Vec<Bytes> = responses.into_iter().map(|response| response.body).collect();
                Reply::Gathered {
                    seals,
                    missing: part_count - received,
                    body: merge_top_k(&parts, query.route.top_k),
                }
            }
        };
        let _ = query.reply_sender.send(reply);
    }

    /// Connections that are open to servers.
    pub fn open_connection_count(&self) -> usize {
        self.pool.open_count()
    }

    /// This gatherer's part of what all share, by service.
    pub fn budget_usage(&self) -> Value {
        let shared_limits = self.shared_limits.borrow();
        let services: BTreeMap<u32, Rc<str>> =
            self.shards.borrow().iter().map(|(name, shard)| (*shard, name.clone())).collect();
        let rows = shared_limits.retry_allowances.iter().map(|(shard, allowance)| {
            let RetryUsage { requests, retries } = allowance.usage();
            let service = services.get(shard).map_or("", |s| s);
            json!({"service": service, "requests": requests, "again": retries,
                "among gatherers": shared_limits.gateway_count.current(),
                "connections a server": self.connection_limit(service)})
        });
        rows.collect()
    }

    pub fn log_counters(&self) {
        let counters = &self.counters;
        let pool = &self.pool.counters;
        let failed_calls = counters.failed_calls.borrow();
        let failed: Vec<String> =
            failed_calls.iter().map(|(kind, count)| format!("{kind}:{count}")).collect();
        info!(self.log, "queries"; "queries" => counters.queries.get(), "calls" => counters.calls.get(),
            "again" => counters.retries.get(), "whole" => counters.complete.get(), "partial" => counters.partial.get(),
            "rejected" => counters.rejected.get(), "aborted" => counters.aborted.get(), "failed" => failed.join(" "),
            "held" => self.queries.borrow().len(), "parts" => self.parts.borrow().len(),
            "open" => self.pool.open_count(), "connects" => pool.connects.get(), "refused" => pool.failed_connects.get(),
            "reused" => pool.reused.get(), "foreign" => pool.mismatched_responses.get());
    }
}

/// One of the services, by weight.
fn pick_service(services: &[WeightedService]) -> Rc<str> {
    let total: f64 = services.iter().map(|part| part.weight).sum();
    let mut point = fastrand::f64() * total;
    for part in services {
        point -= part.weight;
        if point < 0.0 {
            return part.service.clone();
        }
    }
    let last = services.iter().rev().find(|part| part.weight > 0.0);
    last.map_or_else(|| "".into(), |part| part.service.clone())
}
