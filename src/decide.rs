//! Every decision of a gatherer: which replica a part goes to, when a spare is released, when a
//! query is answered or given up, which servers are shunned.
//!
//! How to call it: make one [`Gatherer`] from a [`Host`] and the start [`Settings`], tell it the
//! time with `at`, then call the method named after what happened. It acts at once by calling the
//! host. Both types, and how a leaf call can end, stand in `lib.rs`. `docs/design.md` has the why.

mod admission;
mod home;
mod servers;
mod spares;

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use crate::{Health, Host, Idempotency, Outcome, RetryBudgetSettings, Settings, VerticalSettings};

/// Share of the SLO time after which a part is overdue. The design's start value.
const THRESHOLD: f64 = 0.5;
/// Or sooner, at so many times its usual latency: where a spare is held, and where it must go again itself.
const LATE_WITH_SPARE: f64 = 1.7;
const LATE_WITHOUT: f64 = 4.0;
/// Times its usual latency at which a part past the threshold is lost, not late. The usual latency follows the
/// answers, so a slowdown of all moves it. The fleet's pace does not count here: silence raises that too.
const LOST: f64 = 4.0;
/// Servers that may look impaired at once: the source's number, or this share of those used in a second.
const IMPAIRED_MOST: f64 = 2.0;
const IMPAIRED_SHARE: f64 = 0.34;
/// How long a server counts as impaired and the tripped breaker halts spares: a query's time.
const IMPAIRED_WINDOW: Duration = Duration::from_secs(1);
/// Spares for each part sent, at least one a second: a query of a dozen parts may meet two bad servers.
const CAP_SHARE: f64 = 0.25;
/// Parts out at which a part leaves its home: the design's start value while parts usually take less than
/// this share of their SLO time. Beyond it queues form: servers have few cores, and others send them parts.
const HOME_BOUND: usize = 4;
const EASY_SHARE: f64 = 0.05;
const HOME_BOUND_BUSY: usize = 2;
/// Parts that its home takes in one call where a call costs it work of its own: they are counted apart from
/// what was out there before, for what is split into several calls costs that work several times.
const SHARED_BOUND: usize = 8;
/// Times the fleet's usual pace at which a server is shunned: more than healthy servers' answers spread.
const SHUN: f64 = 2.0;
/// Times the best zone's pace up to which this gatherer's own zone is preferred.
const NEAR: f64 = 1.4;
/// Times by which each failed leaf call raises a pace: two running shun a server, a stray one does not.
const FAILED_TIMES: f64 = 2.0;
/// The same where it was turned away as full: once is enough.
const FULL_TIMES: f64 = 4.0;
/// A pace worse than this says no more.
const PACE_MOST: f64 = 16.0;
/// Time in which what was seen of a server loses half its weight: troubles last some twenty seconds, ...
const KEEP: Duration = Duration::from_secs(20);
/// ... or so many of the shortest SLO time: where it is short, so are work, cold times and troubles.
const KEEP_SLO: f64 = 20.0;
/// Servers of a zone that must have been seen before the zone as a whole is judged.
const SEVERAL: usize = 3;
/// Leaf calls out at a server that tell how silent it is: the oldest; younger ones say no more, and looking
/// through all of them would make each event cost more the more is held.
const OLDEST: usize = 16;
/// Weights of the latest answer in a server's pace and in a vertical's usual latency.
const PACE_WEIGHT: f64 = 0.3;
const USUAL_WEIGHT: f64 = 0.02;
/// Times the usual latency that an answer above it pulls at the most: a bad quarter must not pass for usual.
const OUTLIER: f64 = 1.5;
/// Usual latency of a part before any answer, as a share of the SLO time.
const USUAL_AT_FIRST: f64 = 0.1;
/// A whole query's time beyond its parts' mean, for each e-fold of parts: the slowest, or its spare.
const STRETCH: f64 = 0.35;
/// Weight of the latest query, left or answered, in how long a vertical's clients wait.
const PATIENCE_WEIGHT: f64 = 0.1;
/// Share of the SLO time in which queries beyond a tenant's share must be predicted to be done.
const BEYOND_SHARE: f64 = 0.7;
/// Times its share at which a tenant is beyond it: its traffic varies by so much.
const SHARE_SLACK: f64 = 1.3;
/// Seconds over which this gatherer's sends and a tenant's queries a second are averaged.
const RATE_SPAN: f64 = 10.0;
/// Room below a cold server's limit: over four deviations of chance sends, squared and quartered.
const COLD_CHANCE: f64 = 5.0;
/// A wake this much later than asked shows that this gatherer was starved.
const STARVED: Duration = Duration::from_millis(100);
/// Calls of a part that reached no server and take nothing of its limit.
const UNSENT_MOST: u32 = 3;
/// Least wait before a query with an overdue or unplaced part, or the fleet, is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// First wait before the list is asked for again; it doubles, up to the next share of the stated time.
const ASK_AGAIN: Duration = Duration::from_millis(500);
const ASK_SHARE: f64 = 0.4;
/// Weights may fall short by rounding; the rules bear twice this.
const WEIGHT_SLACK: f64 = 5e-5;
/// The list's token for wakes, above those of queries: their numbers.
const LIST_TOKEN: u64 = 1 << 60;

type ServerId = Rc<str>;
/// A part's replica: how near to its home it stands, its pace, its id and its record.
type Replica<'a> = ((bool, u64), f64, &'a ServerId, &'a Server);

struct Vertical {
    need: f64,
    floor: f64,
    follow_up: u32,
    slo: Duration,
    late_utility: f64,
    idempotency: Idempotency,
    most_calls: u32,
    /// Whether an answer's utility is the square of the weight that is in.
    squared: bool,
    /// Usual seconds of a part, in the first and the second step.
    usual: [f64; 2],
    heard: Duration,
    /// Whether any answer has come yet.
    answered: bool,
    /// Seconds that its clients wait: the SLO time, or less while many leave before their time.
    patience: f64,
}

/// So many a second, of late.
#[derive(Default)]
struct Rate(f64, Duration);

/// A part and the number of its leaf call.
type CallKey = (u64, u32);

struct Call {
    sent: Duration,
    vertical: usize,
    step: usize,
}

/// All that is known of a shard server.
#[derive(Default)]
struct Server {
    health: Health,
    cell: u32,
    zone: Option<u32>,
    /// When it started, if that could still mean that it is cold.
    started: Option<Duration>,
    calls: BTreeMap<CallKey, Call>,
    /// The same by when they were sent, each with its expected seconds.
    ages: BTreeMap<(Duration, CallKey), f64>,
    /// Its silence as last looked at, and when: a call that is sent adds none at that time.
    silent: Cell<(Duration, f64)>,
    /// Latency of its answers against the expected one; the same for errors, by vertical.
    pace: f64,
    seen: Duration,
    faults: BTreeMap<usize, f64>,
    impaired: Option<Duration>,
}

#[derive(Default)]
struct Part {
    id: u64,
    shard: u32,
    weight: f64,
    done: bool,
    spared: bool,
    calls: u32,
    /// Of its calls, those that reached no server.
    unsent: u32,
    out: u32,
    maybe_ran: bool,
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
    /// Drawn once, so that all its parts find their cold servers open, or none.
    luck: f64,
    came: Duration,
    until: Duration,
    parts: Vec<Part>,
    step: usize,
    /// Weight that makes this step whole.
    need: f64,
    awaited: usize,
    short: bool,
    due: Option<Duration>,
}

pub struct Gatherer<H: Host> {
    host: H,
    now: Duration,
    /// Waits are counted from here on at the earliest: before it this gatherer was starved.
    awake: Duration,
    rng: fastrand::Rng,
    zone: Option<u32>,
    verticals: Vec<Vertical>,
    tenants: Vec<(f64, Rate)>,
    /// By the settings' number of gatherers, and by that of those alive where it is known.
    stated_share: f64,
    even_share: f64,
    /// Hashed, for each part looks up each of its holders; nothing goes by its order.
    servers: HashMap<ServerId, Server>,
    holders: BTreeMap<u32, Vec<ServerId>>,
    /// Each zone's pace and the fleet's usual one, as last looked at.
    zones: BTreeMap<Option<u32>, f64>,
    usual_pace: f64,
    ready: usize,
    looked_at: Duration,
    /// Time in which what was seen of a server loses half its weight.
    keep: Duration,
    /// Servers that may tell something of their zones: seen of late, or with leaf calls out.
    told: BTreeSet<ServerId>,
    /// Those that looked impaired, by when: at least all of the last while.
    impaired: BTreeSet<(Duration, ServerId)>,
    queries: BTreeMap<u64, Query>,
    /// When each query is due, the earliest first.
    dues: BTreeSet<(Duration, u64)>,
    /// The query's number for the id of each query and part held.
    numbers: BTreeMap<u64, u64>,
    cells: u32,
    span: u32,
    second_copies: bool,
    call_off: bool,
    back_after: Option<Duration>,
    end_margin: Duration,
    ask_every: Option<Duration>,
    ask_wait: Duration,
    ask_at: Duration,
    budget: Option<RetryBudgetSettings>,
    taken: VecDeque<Duration>,
    extras: VecDeque<Duration>,
    /// The most parts of one call that a home takes whatever its bound.
    shared_most: usize,
    cold_from: f64,
    cold_time: Duration,
    fall_time: Duration,
    cold_factor: f64,
    sends: Rate,
    spares: Rate,
    halted_until: Duration,
}

fn hash(key: u64, text: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let h = text.bytes().fold(key ^ 0xcbf2_9ce4_8422_2325, step);
    let h = (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 32)
}

impl Rate {
    fn at(&self, now: Duration) -> f64 {
        self.0 * (-(now - self.1).as_secs_f64() / RATE_SPAN).exp()
    }

    fn count(&mut self, now: Duration) {
        *self = Rate(self.at(now) + 1.0 / RATE_SPAN, now);
    }
}

impl Vertical {
    fn new(v: &VerticalSettings, most_calls: u32, squared: bool, now: Duration) -> Self {
        let (need, floor, follow_up, slo) = (v.required_weight, v.min_weight, v.follow_up_parts, v.slo);
        let (late_utility, idempotency) = (v.late_utility, v.idempotency);
        let (heard, answered, patience) = (now, false, slo.as_secs_f64());
        let first = patience * USUAL_AT_FIRST;
        let usual = [first, first * f64::from(follow_up.min(1))];
        Vertical {
            need,
            floor,
            follow_up,
            slo,
            late_utility,
            idempotency,
            most_calls,
            squared,
            usual,
            heard,
            answered,
            patience,
        }
    }
}

impl<H: Host> Gatherer<H> {
    pub fn new(host: H, settings: &Settings, now: Duration) -> Self {
        let most_calls = settings.max_calls_per_part.max(1);
        let verticals = settings.verticals.iter().map(|v| Vertical::new(v, most_calls, false, now));
        let gatherers = f64::from(settings.gatherer_count.max(1));
        let shortest = settings.verticals.iter().map(|v| v.slo).min().unwrap_or_default();
        let keep = KEEP.min(shortest.mul_f64(KEEP_SLO)).max(IMPAIRED_WINDOW);
        let tenants = settings.tenant_rates.iter().map(|share| (share.max(1e-6), Rate::default()));
        let mut gatherer = Gatherer {
            host,
            now,
            awake: now,
            rng: fastrand::Rng::with_seed(settings.seed),
            zone: settings.zone,
            verticals: verticals.collect(),
            tenants: tenants.collect(),
            stated_share: 1.0 / gatherers,
            even_share: 1.0 / gatherers,
            servers: HashMap::new(),
            holders: BTreeMap::new(),
            zones: BTreeMap::new(),
            usual_pace: 1.0,
            ready: 0,
            looked_at: now,
            keep,
            told: BTreeSet::new(),
            impaired: BTreeSet::new(),
            queries: BTreeMap::new(),
            dues: BTreeSet::new(),
            numbers: BTreeMap::new(),
            cells: settings.cell_count.max(1),
            span: settings.cells_per_shard,
            second_copies: settings.allow_hedging,
            call_off: settings.allow_cancel,
            back_after: settings.max_retry_after,
            end_margin: settings.tick * 2,
            ask_every: settings.max_list_request_interval.map(|t| t.mul_f64(ASK_SHARE)),
            ask_wait: ASK_AGAIN,
            ask_at: now,
            budget: settings.retry_budget,
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            shared_most: if settings.call_overhead.is_zero() {
                0
            } else {
                SHARED_BOUND.min(settings.max_parts_per_call)
            },
            cold_from: settings.cold_capacity_share,
            cold_time: settings.warm_up_time,
            fall_time: settings.overload_window,
            cold_factor: settings.overload_factor,
            sends: Rate::default(),
            spares: Rate::default(),
            halted_until: now,
        };
        gatherer.list_due();
        gatherer
    }

    /// The time of what happens next to this gatherer. An overdue wake shows that it stood still: calls out
    /// count as young and teach nothing, lest their servers be taken for late. Does harm where wakes are
    /// always late: spares are late by as much.
    pub fn advance_to(&mut self, now: Duration) {
        self.now = self.now.max(now);
        if self.dues.first().is_some_and(|(due, _)| self.now > *due + STARVED) {
            self.awake = self.now;
        }
        if self.now >= self.looked_at + LOOK_AGAIN {
            self.look_at_fleet();
        }
    }

    /// A vertical that came or changed after the start: what was learnt of it stays while its SLO time does.
    /// Its parts may have so many leaf calls each; `squared`: a partial answer has the square of its weight.
    pub fn set_vertical(&mut self, at: usize, settings: &VerticalSettings, most_calls: u32, squared: bool) {
        let mut new = Vertical::new(settings, most_calls.max(1), squared, self.now);
        match self.verticals.get_mut(at) {
            Some(v) => {
                if v.slo == new.slo {
                    (new.usual, new.heard, new.answered) = (v.usual, v.heard, v.answered);
                    new.patience = v.patience;
                }
                *v = new;
            }
            None => self.verticals.push(new),
        }
        let shortest = self.verticals.iter().map(|v| v.slo).min().unwrap_or_default();
        self.keep = KEEP.min(shortest.mul_f64(KEEP_SLO)).max(IMPAIRED_WINDOW);
    }

    /// So many gatherers are alive, this one among them; none where only the settings tell.
    pub fn set_gatherer_count(&mut self, alive: Option<u32>) {
        self.even_share = alive.map_or(self.stated_share, |alive| 1.0 / f64::from(alive.max(1)));
    }

    /// A query came; its parts follow before time moves on.
    #[allow(clippy::too_many_arguments)]
    pub fn query_arrived(
        &mut self, id: u64, number: u64, vertical: usize, tenant: Option<usize>, key: Option<&str>,
        until: Duration, awaited: usize,
    ) {
        let since = self.now.saturating_sub(self.budget.map_or(Duration::ZERO, |b| b.window));
        while self.taken.front().is_some_and(|t| *t < since) {
            self.taken.pop_front();
        }
        self.taken.push_back(self.now);
        if vertical >= self.verticals.len() || self.queries.contains_key(&number) {
            return self.host.abort(id);
        }
        self.numbers.insert(id, number);
        let key = key.map_or_else(|| hash(number, ""), |k| hash(0, k));
        let (came, luck, need) = (self.now, self.rng.f64(), self.verticals[vertical].need);
        let q = Query { id, vertical, tenant, key, luck, came, until, need, awaited, ..Query::default() };
        let end = self.end_of(&q);
        self.queries.insert(number, q);
        self.see_to(number, end);
    }

    /// A part of a query came; with the last one of a step, the step begins.
    pub fn part_arrived(&mut self, id: u64, number: u64, shard: u32, weight: f64) {
        self.taken.push_back(self.now);
        let Some(q) = self.queries.get_mut(&number) else { return };
        self.numbers.insert(id, number);
        q.parts.push(Part { id, shard, weight, ..Part::default() });
        if q.parts.len() == q.awaited {
            if q.step == 0 { self.admit(number) } else { self.review(number) }
        }
    }

    pub fn timer_fired(&mut self, token: u64) {
        if token == LIST_TOKEN {
            return self.list_due();
        }
        let Some(q) = self.queries.get_mut(&token) else { return };
        if let Some(due) = q.due.take_if(|due| self.now >= *due) {
            self.dues.remove(&(due, token));
            self.review(token);
        }
    }

    /// A leaf call ended.
    pub fn call_ended(&mut self, part: u64, call: u32, outcome: Outcome, server: &str, over: bool) {
        let known = self.learn(part, call, outcome, server);
        let Some(number) = self.numbers.get(&part).copied().filter(|_| known) else { return };
        let Some(q) = self.queries.get_mut(&number) else { return };
        let Some(p) = q.parts.iter_mut().find(|p| p.id == part && p.out > 0) else { return };
        p.out -= 1;
        p.unsent += u32::from(matches!(outcome, Outcome::Unreachable | Outcome::NeverSent));
        p.maybe_ran |= !matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NeverSent);
        if outcome == Outcome::Completed {
            p.done = true;
            let tried = std::mem::take(&mut p.tried);
            self.call_off_part(part, &tried);
        } else if over {
            p.calls = self.verticals[q.vertical].most_calls;
        }
        self.review(number);
    }

    /// The client left, or its time is over: the query needs nothing more.
    pub fn query_abandoned(&mut self, id: u64) {
        let Some(number) = self.numbers.get(&id).copied() else { return };
        let Some(q) = self.queries.get(&number).filter(|q| q.id == id) else { return };
        let v = &mut self.verticals[q.vertical];
        if self.now + self.end_margin < q.until {
            let (age, slo) = ((self.now - q.came).as_secs_f64(), v.slo.as_secs_f64());
            v.patience += (age.min(slo) - v.patience) * PATIENCE_WEIGHT;
        }
        self.drop_query(number);
    }

    /// Nothing can be held any more of what a query's parts brought: it is given up, as honestly as can be.
    pub fn result_buffer_full(&mut self, id: u64) {
        let held = |n: &u64| self.queries.get(n).is_some_and(|q| q.id == id);
        if let Some(number) = self.numbers.get(&id).copied().filter(held) {
            self.give_up(number);
        }
    }

    fn review(&mut self, number: u64) {
        let Some(q) = self.queries.get(&number) else { return };
        let v = &self.verticals[q.vertical];
        let end = self.end_of(q);
        if q.parts.len() < q.awaited && self.now < end {
            return self.see_to(number, end);
        }
        let floor = if v.floor < v.need { v.floor } else { q.need };
        let weight = |parts: &dyn Fn(&&Part) -> bool| -> f64 {
            q.parts.iter().filter(parts).map(|p| p.weight).sum::<f64>() + WEIGHT_SLACK
        };
        let got = weight(&|p| p.done);
        if got >= q.need {
            return self.answer(number, true);
        }
        let reach = weight(&|p| p.done || p.out > 0 || p.calls == 0 || self.may_call(q, p, p.out));
        // Past the SLO time the whole is worth no more than a late answer.
        let cut = (q.came + v.slo).saturating_sub(self.end_margin);
        let cut = Some(cut).filter(|_| v.squared && got >= floor && got * got > v.late_utility);
        let settles = cut.is_some_and(|cut| self.now >= cut);
        // With more on its way each part counts: what can still come is waited for.
        let coming = v.squared && got < weight(&|p| p.done || p.out > 0 || p.calls == 0) && self.now < end;
        if self.now >= end || reach < q.need || settles {
            if got >= floor && (settles || !coming) {
                return self.answer(number, false);
            }
            if self.now >= end || reach < floor {
                return self.give_up(number);
            }
        }
        let after = self.overdue_after(q);
        for at in 0..q.parts.len() {
            let due = self.overdue_at(&self.queries[&number].parts[at], after);
            due.filter(|due| self.now >= *due).into_iter().for_each(|due| self.overdue(number, at, due));
        }
        let filled = self.fill(number);
        let q = &self.queries[&number];
        let (after, soon) = (self.overdue_after(q), self.now + LOOK_AGAIN);
        let next = q.parts.iter().filter_map(|p| self.overdue_at(p, after)).min().filter(|_| filled);
        let next = next.unwrap_or(if filled { end } else { soon }).max(soon);
        self.see_to(number, cut.map_or(next, |cut| next.min(cut)).min(end));
    }

    fn see_to(&mut self, number: u64, next: Duration) {
        let q = self.queries.get_mut(&number).expect("held");
        if q.due.is_none_or(|due| next < due || due <= self.now) {
            q.due.replace(next).map(|before| self.dues.remove(&(before, number)));
            self.dues.insert((next, number));
            self.host.set_timer(number, next.saturating_sub(self.now));
        }
    }

    /// Answers a query. A vertical with a second step goes on with it after the first answer.
    fn answer(&mut self, number: u64, enough: bool) {
        let q = self.queries.get_mut(&number).expect("held");
        let v = &mut self.verticals[q.vertical];
        let more = if q.step == 0 { v.follow_up as usize } else { 0 };
        let done = q.parts.iter().filter(|p| p.done).count();
        q.short |= !enough;
        v.patience += (v.slo.as_secs_f64() - v.patience) * PATIENCE_WEIGHT;
        self.host.answer(q.id, !q.short);
        if more == 0 {
            return self.drop_query(number);
        }
        self.clear_parts(number);
        let q = self.queries.get_mut(&number).expect("held");
        (q.step, q.need, q.awaited) = (1, 1.0, more.min(done));
        self.review(number);
    }

    fn drop_query(&mut self, number: u64) {
        self.clear_parts(number);
        let Some(q) = self.queries.remove(&number) else { return };
        self.numbers.remove(&q.id);
        q.due.map(|due| self.dues.remove(&(due, number)));
    }

    /// Lets go of a query's parts; what is still out is called off where that is allowed.
    fn clear_parts(&mut self, number: u64) {
        let parts = self.queries.get_mut(&number).map(|q| std::mem::take(&mut q.parts));
        for p in parts.unwrap_or_default() {
            self.numbers.remove(&p.id);
            self.call_off_part(p.id, &p.tried);
        }
    }

    fn call_off_part(&mut self, part: u64, tried: &[ServerId]) {
        let servers = tried.iter().filter_map(|id| self.servers.get(id)).filter(|_| self.call_off);
        let calls = servers.flat_map(|s| s.calls.range((part, 0)..=(part, u32::MAX)));
        calls.for_each(|((_, number), _)| self.host.cancel_call(part, *number));
    }
}
