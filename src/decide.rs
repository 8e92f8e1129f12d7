//! Decisions of a gatherer: which replica a part is sent to, when an overdue part is hedged, when a query is
//! answered, rejected or aborted, and which servers are ejected. For each event, set the time with
//! [`Gatherer::advance_to`] and call the method named after the event; it acts through the [`Host`] before it
//! returns. `docs/design.md` gives the reasons.

mod admission;
mod home;
mod latency_quantile;
mod servers;
mod shutdown;
mod spares;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use self::latency_quantile::LatencyQuantile;
use crate::{Health, Host, Idempotency, Outcome, RetryBudgetSettings, Settings, VerticalSettings};

/// A part is overdue at the latest after this share of its SLO time.
const OVERDUE_SLO_RATIO: f64 = 0.5;
/// Multiples of its usual latency after which a part is overdue: with an unsent part to replace it, or none.
const OVERDUE_RATIO_WITH_HELD: f64 = 1.7;
const OVERDUE_RATIO_WITHOUT_HELD: f64 = 4.0;
/// An overdue call counts as lost after this many times its usual latency. The fleet's slowdown is left out,
/// since lost calls raise it too; a slowdown of all servers also raises the usual latency.
const LOST_RATIO: f64 = 4.0;
/// Impaired servers above which the breaker halts hedging: this many, or this share of those in use if more.
const MAX_IMPAIRED_COUNT: f64 = 2.0;
const MAX_IMPAIRED_RATIO: f64 = 0.34;
/// Time for which a server counts as impaired, and a tripped breaker halts hedging: about that of a query.
const IMPAIRED_WINDOW: Duration = Duration::from_secs(1);
/// Hedges per call, with at least one per second allowed: a query of a dozen parts may meet two bad servers.
const MAX_HEDGE_RATIO: f64 = 0.25;
/// Calls in flight at which a home replica is full: if usual latency is below this share of the SLO time, and
/// otherwise. With more, queues form: servers have few cores, and other gatherers call them too.
const MAX_HOME_CALLS: usize = 4;
const LIGHT_LOAD_RATIO: f64 = 0.05;
const MAX_BUSY_HOME_CALLS: usize = 2;
/// Parts in one batched call that a home replica takes even if they exceed its limit, where each batched call
/// costs it work of its own: splitting the parts over several calls would cost that work several times.
const MAX_HOME_BATCH_PARTS: usize = 8;
/// Servers this many times slower than the fleet are ejected; latencies of healthy servers vary by less.
const EJECTION_RATIO: f64 = 2.0;
/// The gatherer's own zone is preferred while it is at most this many times slower than the fastest zone.
const LOCAL_ZONE_RATIO: f64 = 1.4;
/// Factors by which failed and rejected calls raise a slowdown: two failures or one rejection eject a server.
const FAILURE_FACTOR: f64 = 2.0;
const REJECTION_FACTOR: f64 = 4.0;
/// Upper bound of a server's slowdown; larger values carry no more information.
const MAX_SLOWDOWN: f64 = 16.0;
/// Half-life of observations of a server: this, or this many times the shortest SLO time if that is less.
/// Faults last some twenty seconds; where SLO times are short, so are work, warm-up and faults.
const MAX_HALF_LIFE: Duration = Duration::from_secs(20);
const HALF_LIFE_SLO_RATIO: f64 = 20.0;
/// Smallest number of recently observed servers from which a zone's slowdown is computed.
const MIN_ZONE_SERVERS: usize = 3;
/// Calls in flight per server whose age is examined, the oldest first. Younger ones add no information, and
/// examining all would make each event cost more the more calls are in flight.
const MAX_SCANNED_CALLS: usize = 16;
/// Weights of the latest answer in a server's slowdown and in a vertical's usual latency.
const SLOWDOWN_WEIGHT: f64 = 0.3;
const LATENCY_WEIGHT: f64 = 0.02;
/// Bound on a slow answer's excess, in usual latencies: a quarter of bad servers must not define the usual.
const MAX_LATENCY_EXCESS_RATIO: f64 = 1.5;
/// Usual latency of a part before the first answer, as a share of the SLO time.
const INITIAL_LATENCY_SLO_RATIO: f64 = 0.1;
/// Excess of a query's latency over its parts' mean per e-fold of parts: the slowest or its hedge decides.
const FAN_OUT_RATIO: f64 = 0.35;
/// Weight of the latest answered or abandoned query in the time that a vertical's clients wait.
const CLIENT_WAIT_WEIGHT: f64 = 0.1;
/// Share of the clients' waiting time in which a query above its tenant's quota must be predicted to finish.
const OVER_QUOTA_TIME_RATIO: f64 = 0.7;
/// Multiple of its quota up to which a tenant is within it: its traffic varies by this much.
const QUOTA_SLACK_RATIO: f64 = 1.3;
/// Seconds over which rates of calls, hedges and a tenant's queries are averaged.
const RATE_WINDOW_S: f64 = 10.0;
/// Headroom for bursts below a cold server's call limit: k * k / 4 for k > 4 standard deviations.
const COLD_HEADROOM_CALLS: f64 = 5.0;
/// A timer that fires later than this shows that the gatherer was starved of CPU time.
const STARVATION_DELAY: Duration = Duration::from_millis(100);
/// Calls of a part that reached no server and are not counted against its limit of calls.
const MAX_UNSENT_CALLS: u32 = 3;
/// Shortest time between reviews of a query with an overdue or unsendable part, and of the fleet.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before a failed request for the server list is repeated; it doubles up to the regular interval.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Regular interval between requests for the server list, as a share of the longest allowed.
const LIST_REQUEST_RATIO: f64 = 0.4;
/// Timer token of the server list; the other tokens are query numbers, which are smaller.
const LIST_TIMER_TOKEN: u64 = 1 << 60;

type ServerId = Rc<str>;
/// A replica that may take a part: its rank as home (own zone first, then hash), slowdown, id and state.
type Candidate<'a> = ((bool, u64), f64, &'a ServerId, &'a Server);

struct Vertical {
    need: f64,
    min_weight: f64,
    follow_up: u32,
    slo: Duration,
    late_utility: f64,
    idempotency: Idempotency,
    max_calls: u32,
    squared: bool,
    /// Usual latency of a part in seconds, in the first and the second step.
    latency_s: [f64; 2],
    last_answer: Duration,
    answered: bool,
    /// Seconds that clients wait: the SLO time, or less while many abandon their queries before it.
    client_wait_s: f64,
    /// Time from the arrival of nearly all queries to their first answer.
    latency_quantile: LatencyQuantile,
}

/// Events per second, averaged over [`RATE_WINDOW_S`], and the time of the last event.
#[derive(Default)]
struct Rate(f64, Duration);

/// Id of a part and the number of its call.
type CallKey = (u64, u32);

struct Call {
    sent: Duration,
    vertical: usize,
    step: usize,
}

#[derive(Default)]
struct Server {
    health: Health,
    cell: u32,
    zone: Option<u32>,
    /// Start time, if it is so recent that the server may be cold.
    started: Option<Duration>,
    calls: BTreeMap<CallKey, Call>,
    /// The usual latency in seconds of each call in flight, by its time of sending.
    calls_by_age: BTreeMap<(Duration, CallKey), f64>,
    /// Time and result of the last [`Gatherer::pending_slowdown`]; a call sent at that time adds nothing.
    pending_cache: Cell<(Duration, f64)>,
    /// Latency of answers as a multiple of the usual, raised by failures; errors count by vertical.
    slowdown: f64,
    last_seen: Duration,
    error_slowdowns: BTreeMap<usize, f64>,
    impaired_at: Option<Duration>,
}

#[derive(Default)]
struct Part {
    id: u64,
    shard: u32,
    weight: f64,
    done: bool,
    /// Whether its call no longer counts as pending, so that another part or call is sent in its place.
    hedged: bool,
    /// Numbers of calls started, of those that reached no server, and of those in flight.
    calls: u32,
    unsent: u32,
    active: u32,
    may_have_run: bool,
    first_sent: Duration,
    last_sent: Duration,
    tried: Vec<ServerId>,
}

#[derive(Default)]
struct Query {
    id: u64,
    vertical: usize,
    tenant: Option<usize>,
    key: u64,
    /// Random number that decides for all parts at once whether they may try cold or ejected servers.
    draw: f64,
    arrived: Duration,
    deadline: Duration,
    parts: Vec<Part>,
    step: usize,
    /// Weight of parts that completes the current step, and its number of parts.
    need: f64,
    size: usize,
    is_partial: bool,
    review_at: Option<Duration>,
}

/// The decisions of one gatherer and the state behind them.
pub struct Gatherer<H: Host> {
    host: H,
    now: Duration,
    /// Earliest time from which waits are measured: before it the gatherer was starved of CPU time.
    running_since: Duration,
    rng: fastrand::Rng,
    zone: Option<u32>,
    verticals: Vec<Vertical>,
    /// Largest amount by which rounding makes sums of part weights fall short.
    weight_tolerance: f64,
    /// Quota of each tenant in queries per second, and its rate of queries.
    tenants: Vec<(f64, Rate)>,
    /// This gatherer's even share of the load: by the settings, and by the live gatherers if known.
    configured_share: f64,
    gatherer_share: f64,
    /// A hash map, since each part looks up every holder of its shard; nothing depends on the order.
    servers: HashMap<ServerId, Server>,
    /// Listed servers by cell.
    cells: BTreeMap<u32, Vec<ServerId>>,
    /// Slowdown of each zone, and of the fastest one, at the last [`Gatherer::update_fleet_slowdown`].
    zone_slowdowns: BTreeMap<Option<u32>, f64>,
    fleet_slowdown: f64,
    ready_count: usize,
    fleet_updated: Duration,
    half_life: Duration,
    /// Servers that count for their zones: observed recently, or with calls in flight.
    observed: BTreeSet<ServerId>,
    /// Impaired servers by time, complete for the last [`IMPAIRED_WINDOW`].
    impaired: BTreeSet<(Duration, ServerId)>,
    queries: BTreeMap<u64, Query>,
    /// Next review of each query, by time and number.
    reviews: BTreeSet<(Duration, u64)>,
    /// Number of the query for the id of each query and part.
    query_numbers: BTreeMap<u64, u64>,
    cell_count: u32,
    cells_per_shard: u32,
    allow_hedging: bool,
    allow_cancel: bool,
    max_retry_after: Option<Duration>,
    /// Time by which all queries end, once the gatherer shuts down.
    answer_limit: Option<Duration>,
    /// Margin by which the gatherer acts before a deadline or time limit.
    end_margin: Duration,
    list_interval: Option<Duration>,
    list_retry_delay: Duration,
    list_request_at: Duration,
    retry_budget: Option<RetryBudgetSettings>,
    /// Times of queries and parts that arrived, and of retries, within the retry budget's window.
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
    /// Largest batch of parts that a home replica takes even if the batch exceeds its limit.
    max_batch_parts: usize,
    cold_capacity: f64,
    warm_up_time: Duration,
    overload_window: Duration,
    overload_factor: f64,
    call_rate: Rate,
    hedge_rate: Rate,
    no_hedge_until: Duration,
}

fn hash(key: u64, text: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let h = text.bytes().fold(key ^ 0xcbf2_9ce4_8422_2325, step);
    let h = (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 32)
}

impl Rate {
    fn at(&self, now: Duration) -> f64 {
        self.0 * (-(now - self.1).as_secs_f64() / RATE_WINDOW_S).exp()
    }

    fn count(&mut self, now: Duration) {
        *self = Rate(self.at(now) + 1.0 / RATE_WINDOW_S, now);
    }
}

impl Vertical {
    fn new(v: &VerticalSettings, max_calls: u32, squared: bool, now: Duration) -> Self {
        let (need, min_weight, follow_up, slo) = (v.required_weight, v.min_weight, v.follow_up_parts, v.slo);
        let (late_utility, idempotency) = (v.late_utility, v.idempotency);
        let (last_answer, answered, client_wait_s) = (now, false, slo.as_secs_f64());
        let first = client_wait_s * INITIAL_LATENCY_SLO_RATIO;
        let latency_s = [first, first * f64::from(follow_up.min(1))];
        Vertical {
            need,
            min_weight,
            follow_up,
            slo,
            late_utility,
            idempotency,
            max_calls,
            squared,
            latency_s,
            last_answer,
            answered,
            client_wait_s,
            latency_quantile: LatencyQuantile::new(client_wait_s),
        }
    }
}

impl<H: Host> Gatherer<H> {
    /// Creates a gatherer and requests the server list through `host` if the settings call for it.
    pub fn new(host: H, settings: &Settings, now: Duration) -> Self {
        let max_calls = settings.max_calls_per_part.max(1);
        let verticals = settings.verticals.iter().map(|v| Vertical::new(v, max_calls, false, now));
        let gatherer_count = f64::from(settings.gatherer_count.max(1));
        let min_slo = settings.verticals.iter().map(|v| v.slo).min().unwrap_or_default();
        let half_life = MAX_HALF_LIFE.min(min_slo.mul_f64(HALF_LIFE_SLO_RATIO)).max(IMPAIRED_WINDOW);
        let tenants = settings.tenant_rates.iter().map(|rate| (rate.max(1e-6), Rate::default()));
        let mut gatherer = Gatherer {
            host,
            now,
            running_since: now,
            rng: fastrand::Rng::with_seed(settings.seed),
            zone: settings.zone,
            verticals: verticals.collect(),
            weight_tolerance: settings.weight_tolerance,
            tenants: tenants.collect(),
            configured_share: 1.0 / gatherer_count,
            gatherer_share: 1.0 / gatherer_count,
            servers: HashMap::new(),
            cells: BTreeMap::new(),
            zone_slowdowns: BTreeMap::new(),
            fleet_slowdown: 1.0,
            ready_count: 0,
            fleet_updated: now,
            half_life,
            observed: BTreeSet::new(),
            impaired: BTreeSet::new(),
            queries: BTreeMap::new(),
            reviews: BTreeSet::new(),
            query_numbers: BTreeMap::new(),
            cell_count: settings.cell_count.max(1),
            cells_per_shard: settings.cells_per_shard,
            allow_hedging: settings.allow_hedging,
            allow_cancel: settings.allow_cancel,
            max_retry_after: settings.max_retry_after,
            answer_limit: None,
            end_margin: settings.tick * 2,
            list_interval: settings.max_list_request_interval.map(|t| t.mul_f64(LIST_REQUEST_RATIO)),
            list_retry_delay: LIST_RETRY_DELAY,
            list_request_at: now,
            retry_budget: settings.retry_budget,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
            max_batch_parts: if settings.call_overhead.is_zero() {
                0
            } else {
                MAX_HOME_BATCH_PARTS.min(settings.max_parts_per_call)
            },
            cold_capacity: settings.cold_capacity_share,
            warm_up_time: settings.warm_up_time,
            overload_window: settings.overload_window,
            overload_factor: settings.overload_factor,
            call_rate: Rate::default(),
            hedge_rate: Rate::default(),
            no_hedge_until: now,
        };
        gatherer.request_list_if_due();
        gatherer
    }

    /// Sets the time of the next events. An overdue timer shows starvation: calls in flight then count as
    /// sent now, and not against their servers. Drawback: if timers always fire late, hedges are as late.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.reviews.first().is_some_and(|(due, _)| self.now > *due + STARVATION_DELAY) {
            self.running_since = self.now;
        }
        if self.now >= self.fleet_updated + MIN_REVIEW_INTERVAL {
            self.update_fleet_slowdown();
        }
    }

    /// Adds or changes a vertical; what was observed of it is kept if its SLO time is the same. Each of its
    /// parts may have `max_calls` calls. If `squared`, an answer's utility is the square of its weight.
    pub fn set_vertical(&mut self, index: usize, settings: &VerticalSettings, max_calls: u32, squared: bool) {
        let mut new = Vertical::new(settings, max_calls.max(1), squared, self.now);
        match self.verticals.get_mut(index) {
            Some(v) => {
                if v.slo == new.slo {
                    (new.latency_s, new.last_answer, new.answered) = (v.latency_s, v.last_answer, v.answered);
                    (new.client_wait_s, new.latency_quantile) = (v.client_wait_s, v.latency_quantile);
                }
                *v = new;
            }
            None => self.verticals.push(new),
        }
        let min_slo = self.verticals.iter().map(|v| v.slo).min().unwrap_or_default();
        self.half_life = MAX_HALF_LIFE.min(min_slo.mul_f64(HALF_LIFE_SLO_RATIO)).max(IMPAIRED_WINDOW);
    }

    /// Sets the number of live gatherers, including this one; with `None` that in the settings applies.
    pub fn set_gatherer_count(&mut self, live: Option<u32>) {
        self.gatherer_share = live.map_or(self.configured_share, |live| 1.0 / f64::from(live.max(1)));
    }

    /// Adds a query. Its `size` parts, which refer to it by `number`, must be added before time advances.
    #[allow(clippy::too_many_arguments)]
    pub fn query_arrived(
        &mut self, id: u64, number: u64, vertical: usize, tenant: Option<usize>, key: Option<&str>,
        deadline: Duration, size: usize,
    ) {
        let since = self.now.saturating_sub(self.retry_budget.map_or(Duration::ZERO, |b| b.window));
        while self.requests.front().is_some_and(|t| *t < since) {
            self.requests.pop_front();
        }
        self.requests.push_back(self.now);
        if vertical >= self.verticals.len() || self.queries.contains_key(&number) {
            return self.host.abort(id);
        }
        self.query_numbers.insert(id, number);
        let key = key.map_or_else(|| hash(number, ""), |k| hash(0, k));
        let (arrived, draw, need) = (self.now, self.rng.f64(), self.verticals[vertical].need);
        let q = Query { id, vertical, tenant, key, draw, arrived, deadline, need, size, ..Query::default() };
        let end = self.expiry(&q);
        self.queries.insert(number, q);
        self.schedule_review(number, end);
    }

    /// Adds a part to a query; the last part of a step starts the step.
    pub fn part_arrived(&mut self, id: u64, number: u64, shard: u32, weight: f64) {
        self.requests.push_back(self.now);
        let Some(q) = self.queries.get_mut(&number) else { return };
        self.query_numbers.insert(id, number);
        q.parts.push(Part { id, shard, weight, ..Part::default() });
        if q.parts.len() == q.size {
            if q.step == 0 { self.admit(number) } else { self.review(number) }
        }
    }

    /// Handles a timer that was set through [`Host::set_timer`].
    pub fn timer_fired(&mut self, token: u64) {
        if token == LIST_TIMER_TOKEN {
            return self.request_list_if_due();
        }
        let Some(q) = self.queries.get_mut(&token) else { return };
        if let Some(due) = q.review_at.take_if(|due| self.now >= *due) {
            self.reviews.remove(&(due, token));
            self.review(token);
        }
    }

    /// Handles the end of a call; with `is_final`, its part must not be sent again.
    pub fn call_ended(&mut self, part: u64, call: u32, outcome: Outcome, server: &str, is_final: bool) {
        let is_known = self.record_outcome(part, call, outcome, server);
        let Some(number) = self.query_numbers.get(&part).copied().filter(|_| is_known) else { return };
        let Some(q) = self.queries.get_mut(&number) else { return };
        let Some(p) = q.parts.iter_mut().find(|p| p.id == part && p.active > 0) else { return };
        p.active -= 1;
        p.unsent += u32::from(matches!(outcome, Outcome::Unreachable | Outcome::NeverSent));
        p.may_have_run |= !matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent);
        if outcome == Outcome::Completed {
            p.done = true;
            let tried = std::mem::take(&mut p.tried);
            self.cancel_part_calls(part, &tried);
        } else if is_final {
            p.calls = self.verticals[q.vertical].max_calls;
        }
        self.review(number);
    }

    /// Drops a query that its client has left or whose time is over.
    pub fn query_abandoned(&mut self, id: u64) {
        let Some(number) = self.query_numbers.get(&id).copied() else { return };
        let Some(q) = self.queries.get(&number).filter(|q| q.id == id) else { return };
        let v = &mut self.verticals[q.vertical];
        if self.now + self.end_margin < q.deadline {
            let (age, slo) = ((self.now - q.arrived).as_secs_f64(), v.slo.as_secs_f64());
            v.client_wait_s += (age.min(slo) - v.client_wait_s) * CLIENT_WAIT_WEIGHT;
        }
        self.drop_query(number);
    }

    /// Ends a query whose results cannot be buffered for lack of memory.
    pub fn result_buffer_full(&mut self, id: u64) {
        let is_held = |n: &u64| self.queries.get(n).is_some_and(|q| q.id == id);
        if let Some(number) = self.query_numbers.get(&id).copied().filter(is_held) {
            self.end_unanswered(number);
        }
    }

    fn review(&mut self, number: u64) {
        let Some(q) = self.queries.get(&number) else { return };
        let v = &self.verticals[q.vertical];
        let end = self.expiry(q);
        if q.parts.len() < q.size && self.now < end {
            return self.schedule_review(number, end);
        }
        let min_weight = if v.min_weight < v.need { v.min_weight } else { q.need };
        let weight = |parts: &dyn Fn(&&Part) -> bool| -> f64 {
            q.parts.iter().filter(parts).map(|p| p.weight).sum::<f64>() + self.weight_tolerance
        };
        let got = weight(&|p| p.done);
        if got >= q.need {
            return self.answer(number, true);
        }
        let may_begin = self.may_begin_call(q);
        let is_unsent = |p: &Part| p.calls == 0 && may_begin;
        let reach = weight(&|p| p.done || p.active > 0 || is_unsent(p) || self.may_call(q, p, p.active));
        // After the SLO time a complete answer has late utility only: a better partial one is sent by then.
        let cutoff = (q.arrived + v.slo).saturating_sub(self.end_margin);
        let cutoff = Some(cutoff).filter(|_| v.squared && got >= min_weight && got * got > v.late_utility);
        let is_cut_off = cutoff.is_some_and(|cutoff| self.now >= cutoff);
        // Each further part raises the utility, so a partial answer waits for parts that may still arrive.
        let more = v.squared && got < weight(&|p| p.done || p.active > 0 || is_unsent(p)) && self.now < end;
        if self.now >= end || reach < q.need || is_cut_off {
            if got >= min_weight && (is_cut_off || !more) {
                return self.answer(number, false);
            }
            if self.now >= end || reach < min_weight {
                return self.end_unanswered(number);
            }
        }
        let after = self.overdue_after(q);
        for at in 0..q.parts.len() {
            let due = self.overdue_at(&self.queries[&number].parts[at], after);
            due.filter(|due| self.now >= *due).into_iter().for_each(|due| self.hedge(number, at, due));
        }
        let all_sent = self.send_missing_parts(number);
        let q = &self.queries[&number];
        let (after, soon) = (self.overdue_after(q), self.now + MIN_REVIEW_INTERVAL);
        let next = q.parts.iter().filter_map(|p| self.overdue_at(p, after)).min().filter(|_| all_sent);
        let next = next.unwrap_or(if all_sent { end } else { soon }).max(soon);
        self.schedule_review(number, cutoff.map_or(next, |cutoff| next.min(cutoff)).min(end));
    }

    fn schedule_review(&mut self, number: u64, next: Duration) {
        let q = self.queries.get_mut(&number).expect("the query is held");
        if q.review_at.is_none_or(|due| next < due || due <= self.now) {
            q.review_at.replace(next).map(|before| self.reviews.remove(&(before, number)));
            self.reviews.insert((next, number));
            self.host.set_timer(number, next.saturating_sub(self.now));
        }
    }

    /// Answers a query, and starts the second step if the vertical has one.
    fn answer(&mut self, number: u64, complete: bool) {
        let q = self.queries.get_mut(&number).expect("the query is held");
        let v = &mut self.verticals[q.vertical];
        let follow_up = if q.step == 0 { v.follow_up as usize } else { 0 };
        let done = q.parts.iter().filter(|p| p.done).count();
        q.is_partial |= !complete;
        v.client_wait_s += (v.slo.as_secs_f64() - v.client_wait_s) * CLIENT_WAIT_WEIGHT;
        if q.step == 0 {
            v.latency_quantile.observe((self.now - q.arrived).as_secs_f64());
        }
        self.host.answer(q.id, !q.is_partial);
        if follow_up == 0 {
            return self.drop_query(number);
        }
        self.clear_parts(number);
        let q = self.queries.get_mut(&number).expect("the query is held");
        (q.step, q.need, q.size) = (1, 1.0, follow_up.min(done));
        self.review(number);
    }

    fn drop_query(&mut self, number: u64) {
        self.clear_parts(number);
        let Some(q) = self.queries.remove(&number) else { return };
        self.query_numbers.remove(&q.id);
        q.review_at.map(|due| self.reviews.remove(&(due, number)));
    }

    /// Removes a query's parts and cancels their calls in flight, if cancelling is allowed.
    fn clear_parts(&mut self, number: u64) {
        let parts = self.queries.get_mut(&number).map(|q| std::mem::take(&mut q.parts));
        for p in parts.unwrap_or_default() {
            self.query_numbers.remove(&p.id);
            self.cancel_part_calls(p.id, &p.tried);
        }
    }

    fn cancel_part_calls(&mut self, part: u64, tried: &[ServerId]) {
        let servers = tried.iter().filter_map(|id| self.servers.get(id)).filter(|_| self.allow_cancel);
        let calls = servers.flat_map(|s| s.calls.range((part, 0)..=(part, u32::MAX)));
        calls.for_each(|((_, number), _)| self.host.cancel_call(part, *number));
    }
}
