//! The data plane of a gateway: executes queries as the [`Gatherer`] decides. Events are passed to the
//! gatherer, and the actions that it chooses are carried out here. The data plane itself decides only what
//! the configuration prescribes.

mod actions;
mod counters;
mod servers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Gatherer, Health, Idempotency, Outcome, Settings as GathererSettings, VerticalSettings};
use ashvane_gossip::{Server, ServerState};
use ashvane_quota::RetryBudget;
use axum::http::HeaderValue;
use bytes::Bytes;
use slog::Logger;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use self::actions::{Action, ActionQueue, SharedLimits};
use self::counters::{Counters, increment};
use crate::call_error::{CallError, Execution};
use crate::config::{Config, Route, Target, WeightedService};
use crate::merge::merge_top_k;
use crate::pool::{Connector, ForwardedRequest, Pool, SERVER_SEAL, ServerResponse};
use crate::settings::Settings;

/// Utility of an answer that misses the latency target, as a share of the full utility. The configuration has
/// no key for it.
const LATE_UTILITY: f64 = 0.5;
/// Rounding error of sums of shard weights. All shards of a query have the same weight, which is far larger for
/// any number of shards that a configuration can name.
const WEIGHT_TOLERANCE: f64 = 1e-9;
/// Shortest time between two reviews of a query. The gatherer ends a query two of these before its deadline,
/// which leaves time for the response to reach the client.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(5);
/// Longest `Retry-After` that clients are sent. Clients wait for at most a third of the time that they have
/// left.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Result of a query.
pub enum Reply {
    /// The response of one server, unchanged.
    Relayed(ServerResponse),
    /// The merged responses of several shards.
    Gathered {
        /// The `Server-Seal` of each shard that answered.
        seals: Vec<HeaderValue>,
        /// Number of shards whose responses are missing.
        missing: usize,
        /// The merged records.
        body: Bytes,
    },
    /// The request has not run and never will. Holds the time after which the client should retry.
    Rejected(Option<Duration>),
    /// The query failed, and its request may have run.
    Aborted,
}

/// Part of a query that one shard answers.
struct Part {
    shard: u32,
    /// Calls that were started.
    call_count: u32,
    /// Calls that may have reached a server, pending ones included.
    received_count: u32,
    /// Calls that have not ended.
    pending_count: u32,
    /// The first successful response.
    response: Option<ServerResponse>,
}

/// Query in flight.
struct Query {
    reply_sender: oneshot::Sender<Reply>,
    request: Rc<ForwardedRequest>,
    route: Rc<Route>,
    /// One part for each shard.
    parts: Vec<Part>,
    /// Failure that a server reported, relayed if the query fails. Only kept for queries of one part.
    failure_response: Option<ServerResponse>,
    /// Whether a call that has ended may have run the request.
    may_have_run: bool,
}

impl Query {
    /// Whether calls are pending, any of which may still run the request.
    fn has_pending_calls(&self) -> bool {
        self.parts.iter().any(|part| part.pending_count > 0)
    }
}

/// Identity of a vertical: services, whether requests are idempotent, latency target, attempt limit,
/// and bits of the minimal coverage. Routes that agree in all of them share a vertical.
type VerticalKey = (Vec<Rc<str>>, bool, Duration, u32, u64);

/// Executes the queries of a gateway's clients.
pub struct DataPlane {
    log: Logger,
    started_at: Instant,
    gatherer: RefCell<Gatherer<ActionQueue>>,
    actions: Rc<RefCell<VecDeque<Action>>>,
    shared_limits: Rc<RefCell<SharedLimits>>,
    zones: Vec<String>,
    /// Shard index of each service. Each service is one shard to the gatherer.
    shards: RefCell<BTreeMap<Rc<str>, u32>>,
    /// Indexes of the verticals that the gatherer knows.
    verticals: RefCell<BTreeMap<VerticalKey, usize>>,
    config: RefCell<Option<Rc<Config>>>,
    queries: RefCell<BTreeMap<u64, Query>>,
    /// Query id of each part, and the part's position in the query, by part id.
    parts: RefCell<BTreeMap<u64, (u64, usize)>>,
    /// Servers that have not terminated, with the health that the gatherer was given.
    servers: RefCell<BTreeMap<String, (Server, Health)>>,
    pool: Pool,
    /// Due time and token of each timer that the gatherer has set.
    timers: RefCell<BTreeSet<(Instant, u64)>>,
    /// Notified when a timer is added that is due before all others.
    timer_added: Notify,
    /// Last id that was given out. The parts of a query have the ids that follow its own.
    last_id: Cell<u64>,
    counters: Counters,
}

impl DataPlane {
    /// Creates a data plane without servers or configuration, and starts its timers.
    pub fn new(settings: &Settings, connector: Rc<dyn Connector>, log: Logger) -> Rc<Self> {
        let started_at = Instant::now();
        let zone = settings.zones.iter().position(|z| *z == settings.zone).map(|z| z as u32);
        let gatherer_settings = GathererSettings {
            seed: fastrand::u64(..),
            gatherer_count: 1,
            zone,
            tick: MIN_REVIEW_INTERVAL,
            weight_tolerance: WEIGHT_TOLERANCE,
            verticals: Vec::new(),
            tenant_rates: Vec::new(),
            cell_count: u32::MAX,
            cells_per_shard: 1,
            max_parts_per_call: 1,
            call_overhead: Duration::ZERO,
            max_calls_per_part: 1,
            allow_hedging: true,
            // Cancelling a call would discard the work that its server has done, so calls run to their end.
            allow_cancel: false,
            max_retry_after: Some(MAX_RETRY_AFTER),
            max_list_request_interval: None,
            retry_budget: None,
            cold_capacity_share: 1.0,
            warm_up_time: Duration::ZERO,
            overload_factor: 1.0,
            overload_window: Duration::from_secs(1),
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

    /// Passes an event to the gatherer, then executes the actions that it has queued.
    fn process_event(self: &Rc<Self>, event: impl FnOnce(&mut Gatherer<ActionQueue>)) {
        let now = self.started_at.elapsed();
        self.shared_limits.borrow_mut().now = now;
        {
            let mut gatherer = self.gatherer.borrow_mut();
            gatherer.advance_to(now);
            event(&mut gatherer);
        }
        loop {
            let Some(action) = self.actions.borrow_mut().pop_front() else { return };
            self.execute(action);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Call { part_id, server, timeout } => self.send_call(part_id, server, timeout),
            Action::Answer(query_id) => self.send_response(query_id),
            Action::Reject(query_id, retry_after) => {
                let Some(query) = self.remove_query(query_id) else { return };
                // The gatherer also rejects idempotent queries that may have run. A rejection promises that
                // the request never ran, so these fail instead.
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
            Action::SetTimer(token, delay) => {
                let at = Instant::now() + delay;
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

    /// Fires the timers that the gatherer has set.
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
            self.process_event(|gatherer| due.iter().for_each(|token| gatherer.timer_fired(*token)));
        }
    }

    /// Returns the shard index of a service. A new service gets the next one.
    fn shard_index(&self, service: &Rc<str>) -> u32 {
        let mut shards = self.shards.borrow_mut();
        let next = shards.len() as u32;
        *shards.entry(service.clone()).or_insert(next)
    }

    /// Applies a configuration to all queries that are submitted from here on.
    pub fn config_changed(self: &Rc<Self>, config: Rc<Config>) {
        *self.config.borrow_mut() = Some(config.clone());
        let servers: Vec<Server> = self.servers.borrow().values().map(|(server, _)| server.clone()).collect();
        for server in servers.iter().filter(|server| server.state == ServerState::Ready) {
            self.pool.add_server(
                server.id.as_str(),
                server.address.as_str(),
                self.connection_limit(server.service.as_str()),
            );
        }
        for route in config.routes() {
            match &route.target {
                Target::All(services) => {
                    self.vertical_index(route, services);
                }
                Target::One(services) => {
                    for entry in services {
                        self.vertical_index(route, std::slice::from_ref(&entry.service));
                    }
                }
            }
        }
    }

    /// Returns the index of the vertical of a route at these services. A new vertical is announced to the
    /// gatherer.
    fn vertical_index(self: &Rc<Self>, route: &Route, services: &[Rc<str>]) -> usize {
        let slo = route.latency_target.min(route.deadline);
        let key: VerticalKey =
            (services.to_vec(), route.is_idempotent, slo, route.max_attempts, route.min_coverage.to_bits());
        if let Some(index) = self.verticals.borrow().get(&key) {
            return *index;
        }
        let index = self.verticals.borrow().len();
        self.verticals.borrow_mut().insert(key, index);
        let settings = VerticalSettings {
            required_weight: 1.0,
            min_weight: route.required_shards(services.len()) as f64 / services.len() as f64,
            follow_up_parts: 0,
            slo,
            late_utility: LATE_UTILITY,
            idempotency: if route.is_idempotent {
                Idempotency::Idempotent
            } else {
                Idempotency::NonIdempotent
            },
        };
        self.process_event(|gatherer| gatherer.set_vertical(index, &settings, route.max_attempts, true));
        index
    }

    /// Submits a query. Returns its id, for [`DataPlane::client_disconnected`], and the receiver of its
    /// reply.
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
        let query_id = self.last_id.get() + 1;
        self.last_id.set(query_id + services.len() as u64);
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
            positions.extend((0..parts.len()).map(|at| (query_id + 1 + at as u64, (query_id, at))));
        }
        let (request, route) = (Rc::new(request), route.clone());
        let query =
            Query { reply_sender, request, route, parts, failure_response: None, may_have_run: false };
        self.queries.borrow_mut().insert(query_id, query);
        let deadline = deadline.saturating_duration_since(self.started_at);
        let weight = 1.0 / shards.len() as f64;
        self.process_event(|gatherer| {
            gatherer.query_arrived(query_id, query_id, vertical, None, Some(&key), deadline, shards.len());
            for (at, shard) in shards.iter().enumerate() {
                gatherer.part_arrived(query_id + 1 + at as u64, query_id, *shard, weight);
            }
        });
        (query_id, reply_receiver)
    }

    /// Limits all queries, those in flight and those that are submitted from here on, to be answered by this
    /// time, because the process exits after it.
    pub fn limit_answers(self: &Rc<Self>, by: Instant) {
        let limit = by.saturating_duration_since(self.started_at);
        self.process_event(|gatherer| gatherer.set_answer_limit(limit));
    }

    /// Number of calls to servers that were started for a query; 0 for one that has ended.
    pub fn call_count(&self, query_id: u64) -> u32 {
        let queries = self.queries.borrow();
        queries.get(&query_id).map_or(0, |query| query.parts.iter().map(|part| part.call_count).sum())
    }

    /// Abandons a query whose client has disconnected.
    pub fn client_disconnected(self: &Rc<Self>, query_id: u64) {
        if self.remove_query(query_id).is_some() {
            self.process_event(|gatherer| gatherer.query_abandoned(query_id));
        }
    }

    /// Starts a call for a part. A call after one that may have reached a server counts as a retry.
    fn send_call(self: &Rc<Self>, part_id: u64, server: Rc<str>, timeout: Duration) {
        let Some((query_id, at)) = self.parts.borrow().get(&part_id).copied() else { return };
        let (request, call_index, retried_shard) = {
            let mut queries = self.queries.borrow_mut();
            let Some(query) = queries.get_mut(&query_id) else { return };
            let part = &mut query.parts[at];
            let (call_index, retried_shard) =
                (part.call_count, (part.received_count > 0).then_some(part.shard));
            (part.call_count, part.received_count, part.pending_count) =
                (part.call_count + 1, part.received_count + 1, part.pending_count + 1);
            if let Some(shard) = retried_shard {
                let now = self.started_at.elapsed();
                self.shared_limits.borrow_mut().retry_allowances.entry(shard).or_default().record_retry(now);
                increment(&self.counters.retries);
            }
            (query.request.clone(), call_index, retried_shard)
        };
        increment(&self.counters.calls);
        let data_plane = self.clone();
        tokio::task::spawn_local(async move {
            let result = data_plane.pool.send(&server, &request, timeout).await;
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
            data_plane.call_ended(part_id, call_index, &server, result);
        });
    }

    /// Records the result of a call and passes its outcome to the gatherer.
    fn call_ended(
        self: &Rc<Self>, part_id: u64, call_index: u32, server: &str,
        result: Result<ServerResponse, CallError>,
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
        self.process_event(|gatherer| gatherer.call_ended(part_id, call_index, outcome, server, false));
    }

    /// Removes a query. Results of its pending calls are from here on only passed to the gatherer.
    fn remove_query(&self, query_id: u64) -> Option<Query> {
        let query = self.queries.borrow_mut().remove(&query_id)?;
        let mut parts = self.parts.borrow_mut();
        for part_id in query_id + 1..=query_id + query.parts.len() as u64 {
            parts.remove(&part_id);
        }
        Some(query)
    }

    /// Ends a query with the responses that have arrived.
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
}

/// Picks a service at random, by weight.
fn pick_service(services: &[WeightedService]) -> Rc<str> {
    let total: f64 = services.iter().map(|entry| entry.weight).sum();
    let mut point = fastrand::f64() * total;
    for entry in services {
        point -= entry.weight;
        if point < 0.0 {
            return entry.service.clone();
        }
    }
    let last = services.iter().rev().find(|entry| entry.weight > 0.0);
    last.map_or_else(|| "".into(), |entry| entry.service.clone())
}
