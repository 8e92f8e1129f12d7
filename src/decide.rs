//! Every decision of a gatherer: which replica a part goes to, when a spare is released, when a
//! query is answered or given up, which servers are shunned.
//!
//! How to call it: make one [`Gatherer`] from a [`Host`] and the start [`Settings`], tell it the
//! time with `at`, then call the method named after what happened. It acts at once by calling the
//! host. Both types, and how a leaf call can end, stand in `lib.rs`. `docs/design.md` has the why.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use crate::{BudgetSettings, Effect, Health, Host, Outcome, Settings};

/// Share of the SLO time after which a part is overdue. The design's start value.
const THRESHOLD: f64 = 0.5;
/// A part is overdue sooner at so many times its expected latency at the fleet's usual pace: where
/// a held part is its spare, which costs little, and where only another leaf call of it is.
const LATE_WITH_SPARE: f64 = 1.7;
const LATE_WITHOUT: f64 = 4.0;
/// Servers that may look impaired at once: the source's number, or this share of the fleet if more.
const IMPAIRED_MOST: usize = 2;
const IMPAIRED_SHARE: f64 = 0.34;
/// How long a server counts as impaired, and the cap's second. Short, as ordinary parts fall overdue too.
const IMPAIRED_WINDOW: Duration = Duration::from_secs(1);
/// How long the tripped breaker halts spares: a few queries' time, then it judges afresh.
const COOLDOWN: Duration = Duration::from_secs(1);
/// Spares a second for each part sent in that second, at least one. The design's start value.
const CAP_SHARE: f64 = 0.1;
/// Calls out at which a part leaves its home. The design's start value.
const HOME_BOUND: usize = 2;
/// Times the fleet's usual pace at which a server is shunned. Below 2 the spread among healthy
/// servers' answers would do it; far above, a server at a third of its speed would keep its parts.
const SHUN: f64 = 2.0;
/// The usual pace is that of the server one such part up from the quickest: a cut into three zones
/// leaves a third of the fleet, and half of these may be slow besides.
const USUAL_RANK: usize = 6;
/// Times by which each failed leaf call raises a pace: two running shun a server, a stray one does
/// not, and one that only fails soon looks worse than any that is merely slow.
const FAILED_TIMES: f64 = 2.0;
/// Weight of the latest answer in a server's pace: some five answers change it.
const PACE_WEIGHT: f64 = 0.3;
/// Weight of the latest answer in a vertical's usual latency: some fifty answers change it.
const USUAL_WEIGHT: f64 = 0.02;
/// Usual latency of a part before any answer, as a share of the SLO time.
const USUAL_AT_FIRST: f64 = 0.1;
/// Wait from one trial of a shunned server to the next, doubling from the first to the second.
const TRIAL_FIRST: Duration = Duration::from_secs(1);
const TRIAL_LAST: Duration = Duration::from_secs(8);
/// A whole query's time against its parts' mean: the slowest of some ten, and their spares.
const STRETCH: f64 = 1.8;
/// Share of the calls seen out below which a prediction shrinks: above it, latency varies as it may.
const EMPTY: f64 = 0.5;
/// Share of the SLO time in which queries beyond a tenant's share must be predicted to be done.
const BEYOND_SHARE: f64 = 0.7;
/// Times its share at which a tenant is beyond it: over a few seconds traffic varies by so much.
const SHARE_SLACK: f64 = 1.3;
/// Seconds over which a server's answers and a tenant's queries a second are averaged.
const RATE_SPAN: f64 = 5.0;
/// Share of the cold servers' limit that is used: our view of what a warm one takes is rough.
const COLD_SAFETY: f64 = 0.7;
/// A wake this much later than asked shows that this gatherer was starved.
const STARVED: Duration = Duration::from_millis(100);
/// Least wait before a query with an overdue or unplaced part is looked at again.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// First wait before the list is asked for again; it doubles, up to the next share of the stated time,
/// after which a quiet list is asked for again.
const ASK_AGAIN: Duration = Duration::from_millis(500);
const ASK_SHARE: f64 = 0.4;
/// Weights may fall short by rounding; the rules bear twice this.
const WEIGHT_SLACK: f64 = 5e-5;
/// The list's token for wakes; a query's is its number, and those stay below.
const LIST_TOKEN: u64 = 1 << 60;

type ServerId = Rc<str>;

struct Vertical {
    need: f64,
    floor: f64,
    follow_up: u32,
    slo: Duration,
    late_utility: f64,
    effect: Effect,
    /// Usual latency of a part, in seconds, in the first and the second step.
    usual: [f64; 2],
    /// Mean logarithm of the cost hints, its variance, and its covariance with the latency's.
    hint: [f64; 3],
}

/// So many a second, of late.
#[derive(Default)]
struct Rate(f64, Duration);

struct Tenant {
    share: f64,
    rate: Rate,
}

/// A leaf call that is out.
struct Call {
    part: u64,
    number: u32,
    sent: Duration,
    expected: f64,
    vertical: usize,
    step: usize,
    hint: f64,
    crowd: usize,
}

/// All that is known of a shard server.
#[derive(Default)]
struct Server {
    health: Health,
    cell: u32,
    /// When it started, while that can still mean that it is cold.
    started: Option<Duration>,
    calls: Vec<Call>,
    /// Latency of its answers against the expected one.
    pace: f64,
    /// The same for errors, by vertical: 1 without any.
    faults: BTreeMap<usize, f64>,
    trial: Duration,
    trial_wait: Duration,
    impaired: Option<Duration>,
    answers: Rate,
    /// Sends to it within the last fall time.
    sends: Vec<Duration>,
}

#[derive(Default)]
struct Part {
    id: u64,
    shard: u32,
    weight: f64,
    /// Logarithm of its cost hint, from the mean; 0 without a hint.
    hint: f64,
    done: bool,
    /// Its call is overdue and has its spare.
    spared: bool,
    calls: u32,
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
    came: Duration,
    until: Duration,
    parts: Vec<Part>,
    step: usize,
    awaited: usize,
    short: bool,
    due: Option<Duration>,
}

/// One gatherer's decisions.
pub struct Gatherer<H: Host> {
    host: H,
    now: Duration,
    /// Waits are counted from here on at the earliest: before it this gatherer was starved.
    awake: Duration,
    rng: fastrand::Rng,
    verticals: Vec<Vertical>,
    tenants: Vec<Tenant>,
    /// This gatherer's part of all traffic, were it spread evenly.
    even_share: f64,
    servers: BTreeMap<ServerId, Server>,
    queries: BTreeMap<u64, Query>,
    /// The query's number for the id of each query and part held.
    numbers: BTreeMap<u64, u64>,
    cells: u32,
    span: u32,
    parts_a_call: usize,
    most_calls: u32,
    most_held: f64,
    second_copies: bool,
    call_off: bool,
    back_after: Option<Duration>,
    end_margin: Duration,
    ask_every: Option<Duration>,
    ask_wait: Duration,
    ask_at: Duration,
    /// When the list was last heard of; none when it must be asked for.
    list_heard: Option<Duration>,
    budget: Option<BudgetSettings>,
    taken: Vec<Duration>,
    extras: Vec<Duration>,
    cold_from: f64,
    cold_time: Duration,
    fall_time: Duration,
    /// Seconds of a cold server's full capacity that this gatherer may send in one fall time.
    cold_allowance: f64,
    sends: Vec<Duration>,
    spares: Vec<Duration>,
    halted_until: Duration,
    /// Calls out when those were sent whose latencies were lately seen.
    crowd: f64,
}

fn hash(key: u64, text: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let h = text.bytes().fold(key ^ 0xcbf2_9ce4_8422_2325, step);
    let h = (h ^ (h >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 32)
}

impl Vertical {
    /// What a cost hint says of a part's latency, by how well hints have told it so far. Keeps a
    /// costly part from making its server look sick, and a poor hint from saying anything.
    fn hint_scale(&self, hint: f64) -> f64 {
        let [_, variance, covariance] = self.hint;
        (hint * (covariance / variance.max(0.01)).clamp(0.0, 1.0)).exp()
    }
}

impl Rate {
    fn at(&self, now: Duration) -> f64 {
        self.0 * (-(now - self.1).as_secs_f64() / RATE_SPAN).exp()
    }

    fn count(&mut self, now: Duration) {
        *self = Rate(self.at(now) + 1.0 / RATE_SPAN, now);
    }
}

impl<H: Host> Gatherer<H> {
    pub fn new(host: H, settings: &Settings, now: Duration) -> Self {
        let verticals = settings.verticals.iter().map(|v| {
            let (need, floor, follow_up, slo) = (v.need, v.floor, v.follow_up, v.slo);
            let (late_utility, effect, hint) = (v.late_utility, v.effect, [f64::NAN, 1.0, 0.0]);
            let usual = [slo.as_secs_f64() * USUAL_AT_FIRST; 2];
            Vertical { need, floor, follow_up, slo, late_utility, effect, usual, hint }
        });
        let gatherers = f64::from(settings.gatherers.max(1));
        let tenant = |rate: &f64| Tenant { share: rate.max(1e-6), rate: Rate::default() };
        let tenants = settings.tenant_rates.iter().map(tenant);
        let mut gatherer = Gatherer {
            host,
            now,
            awake: now,
            rng: fastrand::Rng::with_seed(settings.seed),
            verticals: verticals.collect(),
            tenants: tenants.collect(),
            even_share: 1.0 / gatherers,
            servers: BTreeMap::new(),
            queries: BTreeMap::new(),
            numbers: BTreeMap::new(),
            cells: settings.cells.max(1),
            span: settings.span,
            parts_a_call: settings.parts_a_call.max(1) as usize,
            most_calls: settings.most_calls.max(1),
            most_held: settings.most_held.max(1) as f64,
            second_copies: settings.second_copies,
            call_off: settings.call_off,
            back_after: settings.back_after,
            end_margin: settings.tick * 2,
            ask_every: settings.ask_within.map(|t| t.mul_f64(ASK_SHARE)),
            ask_wait: ASK_AGAIN,
            ask_at: now,
            list_heard: Some(now),
            budget: settings.budget,
            taken: Vec::new(),
            extras: Vec::new(),
            cold_from: settings.cold_from,
            cold_time: settings.cold_time,
            fall_time: settings.fall_time,
            cold_allowance: settings.overload_factor * settings.fall_time.as_secs_f64() * COLD_SAFETY,
            sends: Vec::new(),
            spares: Vec::new(),
            halted_until: now,
            crowd: 0.0,
        };
        if let Some(every) = gatherer.ask_every {
            gatherer.host.watch_list();
            gatherer.ask_later(every);
        }
        gatherer
    }

    /// The time of what happens next to this gatherer.
    ///
    /// An overdue wake shows that this gatherer itself stood still, whatever the cause. Calls out then
    /// count as young and teach nothing, lest their servers be taken for late. Does harm where wakes
    /// are always late: spares are late by as much.
    pub fn at(&mut self, now: Duration) {
        self.now = self.now.max(now);
        let due = self.queries.values().filter_map(|q| q.due).min();
        if due.is_some_and(|due| self.now > due + STARVED) {
            self.awake = self.now;
        }
    }

    /// A list of servers begins: all of them, or changes only. Those that were gone before are
    /// forgotten once nothing is out at them.
    pub fn list_begins(&mut self, all: bool) {
        self.list_heard = Some(self.now);
        self.ask_wait = ASK_AGAIN;
        self.servers.retain(|_, s| s.health != Health::Gone || !s.calls.is_empty());
        self.servers.values_mut().filter(|_| all).for_each(|s| s.health = Health::Gone);
    }

    /// The list names a server. A start that we have not seen makes it new, and perhaps cold.
    pub fn server_listed(&mut self, id: &str, health: Health, cell: u32, started: Option<Duration>) {
        let started = started.filter(|t| *t + self.cold_time > self.now);
        let fresh = || Server { pace: 1.0, trial_wait: TRIAL_FIRST, ..Server::default() };
        let server = self.servers.entry(id.into()).or_insert_with(fresh);
        if started.is_some() && server.started != started {
            (server.pace, server.trial_wait, server.faults) = (1.0, TRIAL_FIRST, BTreeMap::new());
        }
        (server.health, server.cell, server.started) = (health, cell, started);
    }

    /// The list could not be had, or no longer follows its changes: ask again, ever more slowly.
    pub fn list_failed(&mut self) {
        let Some(every) = self.ask_every else { return };
        self.list_heard = None;
        let wait = self.ask_wait.mul_f64(0.75 + self.rng.f64() / 2.0);
        self.ask_later(wait);
        self.ask_wait = (self.ask_wait * 2).min(every);
    }

    /// A query came; its parts follow before time moves on.
    #[allow(clippy::too_many_arguments)]
    pub fn query_came(
        &mut self, id: u64, number: u64, vertical: usize, tenant: Option<usize>, key: Option<&str>,
        until: Duration, awaited: usize,
    ) {
        self.taken.push(self.now);
        if vertical >= self.verticals.len() || self.queries.contains_key(&number) {
            return self.host.abort(id);
        }
        self.numbers.insert(id, number);
        let key = key.map_or_else(|| hash(number, ""), |k| hash(0, k));
        let q = Query { id, vertical, tenant, key, came: self.now, until, awaited, ..Query::default() };
        let end = self.end_of(&q);
        self.queries.insert(number, q);
        self.see_to(number, end);
    }

    /// A part of a query came. With the last one of a step, the step begins.
    pub fn part_came(&mut self, id: u64, number: u64, shard: u32, weight: f64, hint: Option<Duration>) {
        self.taken.push(self.now);
        self.taken.retain(|t| *t >= self.now.saturating_sub(self.budget.map_or(Duration::ZERO, |b| b.span)));
        let Some(q) = self.queries.get_mut(&number) else { return };
        let [mean, variance, _] = &mut self.verticals[q.vertical].hint;
        let hint = hint.filter(|h| !h.is_zero() && q.step == 0).map_or(0.0, |h| {
            let h = h.as_secs_f64().ln();
            *mean = if mean.is_nan() { h } else { *mean + (h - *mean) * USUAL_WEIGHT };
            *variance += ((h - *mean).powi(2) - *variance) * USUAL_WEIGHT;
            h - *mean
        });
        self.numbers.insert(id, number);
        q.parts.push(Part { id, shard, weight, hint, ..Part::default() });
        if q.parts.len() == q.awaited {
            if q.step == 0 { self.admit(number) } else { self.review(number) }
        }
    }

    /// A wake that was asked for.
    pub fn woke(&mut self, token: u64) {
        if token == LIST_TOKEN {
            return self.list_due();
        }
        let Some(q) = self.queries.get_mut(&token) else { return };
        if q.due.take_if(|due| self.now >= *due).is_some() {
            self.review(token);
        }
    }

    /// A leaf call ended.
    pub fn settled(&mut self, part: u64, call: u32, outcome: Outcome, server: &str, over: bool) {
        let known = self.learn(part, call, outcome, server);
        let Some(number) = self.numbers.get(&part).copied().filter(|_| known) else { return };
        let Some(q) = self.queries.get_mut(&number) else { return };
        let Some(p) = q.parts.iter_mut().find(|p| p.id == part && p.out > 0) else { return };
        p.out -= 1;
        p.maybe_ran |= !matches!(outcome, Outcome::TurnedAway | Outcome::Unreachable | Outcome::NeverSent);
        if outcome == Outcome::Completed {
            p.done = true;
            self.call_off_part(part);
        } else if over {
            p.calls = self.most_calls;
        }
        self.review(number);
    }

    /// The client left, or its time is over: the query needs nothing more. One part may end alone.
    pub fn abandoned(&mut self, id: u64) {
        let Some(number) = self.numbers.get(&id).copied() else { return };
        let Some(q) = self.queries.get_mut(&number) else { return };
        if q.id == id {
            return self.drop_query(number);
        }
        q.parts.iter_mut().filter(|p| p.id == id).for_each(|p| (p.calls, p.out) = (self.most_calls, 0));
        self.review(number);
    }

    fn list_due(&mut self) {
        let Some(every) = self.ask_every.filter(|_| self.now >= self.ask_at) else { return };
        let mut wait = self.list_heard.map_or(Duration::ZERO, |t| (t + every).saturating_sub(self.now));
        if wait.is_zero() {
            self.host.watch_list();
            wait = every;
        }
        self.ask_later(wait);
    }

    fn ask_later(&mut self, wait: Duration) {
        self.ask_at = self.now + wait;
        self.host.wake(LIST_TOKEN, wait);
    }

    /// Latency to expect of a part, in seconds, from a server that answers as usual.
    fn expected(&self, q: &Query, p: &Part) -> f64 {
        self.verticals[q.vertical].usual[q.step] * self.verticals[q.vertical].hint_scale(p.hint)
    }

    /// A server's pace as it shows now to a vertical: that of its answers, of a silent call out, or of
    /// its errors by vertical, so that one it cannot serve (a bad release, bad data) is kept from it
    /// though others are answered. Does harm where it fails all: each learns it by itself.
    fn pace(&self, s: &Server, vertical: usize) -> f64 {
        let silence = |c: &Call| (self.now - c.sent.max(self.awake).min(self.now)).as_secs_f64() / c.expected;
        let faults = s.faults.get(&vertical).copied().unwrap_or(1.0);
        s.calls.iter().map(silence).fold(s.pace.max(faults), f64::max)
    }

    /// The pace of the fleet's well servers, low enough among all that most may be silent, as beyond a
    /// cut link. A slowdown of all still raises it. Does harm where a few are far quicker than the rest.
    fn usual_pace(&self, vertical: usize) -> f64 {
        let ready = self.servers.values().filter(|s| s.health == Health::Ready);
        let mut paces: Vec<f64> = ready.map(|s| self.pace(s, vertical)).collect();
        paces.sort_by(f64::total_cmp);
        paces.get(paces.len() / USUAL_RANK).copied().unwrap_or(1.0).max(1.0)
    }

    /// What a server does with a leaf call shows in its pace, the one figure for slowness,
    /// silence, errors, refusals and failed connects.
    fn learn(&mut self, part: u64, call: u32, outcome: Outcome, server: &str) -> bool {
        let now = self.now;
        let is_it = |c: &Call| c.part == part && c.number == call;
        let at = self.servers.get(server).and_then(|s| s.calls.iter().position(is_it));
        let Some(at) = at else { return false };
        let usual = self.usual_pace(self.servers[server].calls[at].vertical);
        let s = self.servers.get_mut(server).expect("known");
        let c = s.calls.swap_remove(at);
        let took = (now - c.sent).as_secs_f64();
        let ratio = took / c.expected;
        match outcome {
            // What was out while this gatherer stood still says nothing of its server.
            _ if c.sent < self.awake || outcome == Outcome::NeverSent => {}
            Outcome::Completed => {
                let faults = s.faults.remove(&c.vertical).unwrap_or(1.0);
                let shunned = s.pace.max(faults) > SHUN * usual;
                s.pace += (ratio - s.pace) * if shunned { 1.0 } else { PACE_WEIGHT };
                if !shunned {
                    s.trial_wait =
                        if s.faults.values().any(|f| *f > SHUN) { s.trial_wait } else { TRIAL_FIRST };
                    s.faults.insert(c.vertical, faults + (1.0 - faults) * PACE_WEIGHT);
                }
                s.answers.count(now);
                let v = &mut self.verticals[c.vertical];
                let plain = took / v.hint_scale(c.hint);
                let usual = &mut v.usual[c.step];
                v.hint[2] += (c.hint * (took / *usual).max(0.01).ln() - v.hint[2]) * USUAL_WEIGHT;
                *usual += (plain - *usual).min(*usual * 4.0) * USUAL_WEIGHT;
                self.crowd += (c.crowd as f64 - self.crowd) * USUAL_WEIGHT;
            }
            Outcome::CalledOff | Outcome::TimedOut => s.pace = s.pace.max(ratio),
            Outcome::Errored => *s.faults.entry(c.vertical).or_insert(1.0) *= FAILED_TIMES,
            _ => s.pace = s.pace.max(1.0) * FAILED_TIMES,
        }
        true
    }

    /// Whether a server bears one more send while cold, by what warm ones answer. Does harm where none
    /// of these is busy: then a cold one gets one part in a fall time, and its peers the rest.
    fn cold_room(&self, s: &Server) -> bool {
        let age = |t| self.now.saturating_sub(t).as_secs_f64() / self.cold_time.as_secs_f64();
        let Some(age) = s.started.map(age).filter(|age| *age < 1.0) else { return true };
        let share = self.cold_from + (1.0 - self.cold_from) * age;
        let rates = self.servers.values().map(|s| s.answers.at(self.now));
        let allowed = share * self.cold_allowance * rates.fold(0.0, f64::max);
        let since = s.started.max(Some(self.now.saturating_sub(self.fall_time)));
        let sent = s.sends.iter().filter(|t| Some(**t) >= since).count();
        ((sent + 1) as f64) <= allowed.max(1.0)
    }

    /// Calls out at a server. Parts that travel in one call count once, and those that would
    /// join a part now count not at all.
    fn load(&self, s: &Server) -> usize {
        if self.parts_a_call == 1 {
            return s.calls.len();
        }
        let joined = s.calls.iter().filter(|c| c.sent == self.now).count();
        let times: BTreeSet<Duration> = s.calls.iter().map(|c| c.sent).collect();
        times.len() - usize::from(joined > 0 && joined < self.parts_a_call)
    }

    /// The replica for a part: its home, unless that is past its bound or shunned; then the one
    /// with fewest calls out. A shunned server gets a part now and then that can bear the wait.
    fn place(&self, q: &Query, p: &Part) -> Option<ServerId> {
        let usual = self.usual_pace(q.vertical);
        let holds = |s: &Server| (s.cell + self.cells - p.shard % self.cells) % self.cells < self.span;
        let bears = p.calls == 0 && self.verticals[q.vertical].effect != Effect::SideEffecting;
        let mut replicas: Vec<(&ServerId, &Server, bool)> = Vec::new();
        for (id, s) in &self.servers {
            if s.health == Health::Ready && holds(s) && self.cold_room(s) {
                // Beside others' calls only where nothing but this vertical's errors speaks against it.
                let well = |vertical| self.pace(s, vertical) <= SHUN * usual;
                let tried = |c: &Call| c.vertical == q.vertical || !well(self.verticals.len());
                let trial = bears && self.now >= s.trial && !s.calls.iter().any(tried);
                replicas.push((id, s, trial || well(q.vertical)));
            }
        }
        let fresh = |id: &ServerId| !p.tried.contains(id);
        let home = replicas.iter().max_by_key(|(id, _, _)| hash(q.key, id))?;
        if home.2 && self.load(home.1) < HOME_BOUND && fresh(home.0) {
            return Some(home.0.clone());
        }
        let rank = |(id, s, fit): &&(&ServerId, &Server, bool)| {
            let pace = if *fit { 0 } else { (self.pace(s, q.vertical) * 100.0) as u64 };
            (!fresh(id), pace, self.load(s), std::cmp::Reverse(hash(q.key, id)))
        };
        replicas.iter().min_by_key(rank).map(|r| r.0.clone())
    }

    /// Whether the rules allow a leaf call for this part now, with so many of its own still waited for.
    fn may_call(&self, q: &Query, p: &Part, out: u32) -> bool {
        let apart = match self.verticals[q.vertical].effect {
            Effect::Repeatable => true,
            Effect::Deduplicated(window) => {
                p.calls == 0 || self.now + self.end_margin < p.first_sent + window
            }
            Effect::SideEffecting => p.out == 0 && !p.maybe_ran,
        };
        let room = |b: &BudgetSettings| {
            let taken = self.taken.iter().filter(|t| self.now - **t < b.span).count() as f64;
            let extras = self.extras.iter().filter(|t| self.now - **t <= b.span).count() as f64;
            extras + 1.0 <= b.least + b.share * taken
        };
        let room = p.calls == 0 || self.budget.as_ref().is_none_or(room);
        !p.done && p.calls < self.most_calls && (out == 0 || self.second_copies) && apart && room
    }

    /// Sends a part to the server that it was placed at.
    fn call_part(&mut self, number: u64, part: u64, id: &ServerId) {
        let now = self.now;
        let q = &self.queries[&number];
        let limit = self.end_of(q).saturating_sub(now);
        let at = q.parts.iter().position(|p| p.id == part).expect("held");
        let expected = self.expected(q, &q.parts[at]);
        let crowd = self.servers.values().map(|s| s.calls.len()).sum();
        let shunned = self.pace(&self.servers[id], q.vertical) > SHUN * self.usual_pace(q.vertical);
        let q = self.queries.get_mut(&number).expect("held");
        let p = &mut q.parts[at];
        if let (Some(b), 1..) = (&self.budget, p.calls) {
            self.extras.retain(|t| now - *t <= b.span);
            self.extras.push(now);
        }
        if !p.maybe_ran && p.out == 0 {
            p.first_sent = now;
        }
        let (vertical, step, hint) = (q.vertical, q.step, p.hint);
        let call = Call { part, number: p.calls, sent: now, expected, vertical, step, hint, crowd };
        (p.spared, p.last_sent) = (false, now);
        (p.calls, p.out) = (p.calls + 1, p.out + 1);
        p.tried.push(id.clone());
        let s = self.servers.get_mut(id).expect("placed");
        if shunned {
            s.trial = now + s.trial_wait;
            s.trial_wait = (s.trial_wait * 2).min(TRIAL_LAST);
        }
        s.sends.retain(|t| *t >= now.saturating_sub(self.fall_time));
        s.sends.push(now);
        s.calls.push(call);
        self.sends.retain(|t| *t >= now.saturating_sub(IMPAIRED_WINDOW));
        self.sends.push(now);
        self.host.call(part, id, limit);
    }

    /// When nothing of utility can come of a query any more, a little before its time is up.
    fn end_of(&self, q: &Query) -> Duration {
        let v = &self.verticals[q.vertical];
        let useful = if v.late_utility > 0.0 { q.until } else { q.until.min(q.came + v.slo) };
        useful.saturating_sub(self.end_margin)
    }

    fn need(&self, q: &Query) -> f64 {
        if q.step == 0 { self.verticals[q.vertical].need } else { 1.0 }
    }

    /// Whether a query is within its tenant's share. This gatherer's part of the share is the even
    /// one, or more where the other tenants' traffic shows that it gets more than the even part.
    fn within_share(&mut self, tenant: Option<usize>) -> bool {
        let Some(t) = tenant.filter(|t| *t < self.tenants.len()) else { return true };
        self.tenants[t].rate.count(self.now);
        let used = |t: &Tenant| t.rate.at(self.now) / t.share;
        let others = self.tenants.iter().enumerate().filter(|(u, _)| *u != t).map(|(_, u)| used(u));
        let part = others.fold(self.even_share, f64::max);
        self.rng.f64() * used(&self.tenants[t]) <= part * SHARE_SLACK
    }

    /// Parts that may be sent next, with their servers: the heaviest first, then those with no leaf
    /// call so far, then those that should answer soonest.
    fn waiting(&self, q: &Query) -> Vec<(f64, u32, f64, u64, ServerId)> {
        let v = &self.verticals[q.vertical];
        let usual = self.usual_pace(q.vertical);
        let free = |p: &&Part| (p.out == 0 || p.spared) && self.may_call(q, p, p.out);
        let mut waiting = Vec::new();
        for p in q.parts.iter().filter(free) {
            let Some(id) = self.place(q, p) else { continue };
            let expected = self.expected(q, p);
            let s = &self.servers[&id];
            let trial = s.calls.is_empty() && self.now >= s.trial;
            let late = if trial { v.slo.as_secs_f64() * THRESHOLD } else { f64::INFINITY };
            let time = (self.pace(s, q.vertical) * expected).min(late + usual * expected);
            // A server that has just failed this part gets it again only after a usual answer's time.
            if !p.tried.contains(&id) || (self.now - p.last_sent).as_secs_f64() >= expected {
                waiting.push((p.weight, p.calls, time, p.id, id));
            }
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)).then(a.2.total_cmp(&b.2)));
        waiting
    }

    /// Takes a query if it is predicted to be in time; beyond its tenant's share, well in time.
    fn admit(&mut self, number: u64) {
        let within = self.within_share(self.queries[&number].tenant);
        let q = &self.queries[&number];
        let v = &self.verticals[q.vertical];
        let (mut weight, mut times) = (0.0, Vec::new());
        for (w, _, time, _, _) in self.waiting(q) {
            if weight < v.need - WEIGHT_SLACK {
                weight += w;
                times.push(time);
            }
        }
        let second = if v.follow_up > 0 { v.usual[1] * self.usual_pace(q.vertical) } else { 0.0 };
        // With little out less is expected than was seen, so that no prediction keeps itself true, whatever
        // raised it. Does harm where others' load alone is the cause: a few queries are late.
        let out: usize = self.servers.values().map(|s| s.calls.len()).sum();
        let emptier = ((out + 1) as f64 / (self.crowd * EMPTY + 1.0)).min(1.0);
        let predicted = times.iter().sum::<f64>() / times.len().max(1) as f64 + second;
        let room = BEYOND_SHARE * (1.0 - self.numbers.len() as f64 / self.most_held).max(0.0);
        let time =
            v.slo.mul_f64(if within { 1.0 } else { room }).min(self.end_of(q).saturating_sub(self.now));
        let slowest = times.iter().copied().fold(predicted * STRETCH, f64::max);
        if weight < v.floor - WEIGHT_SLACK || slowest * emptier > time.as_secs_f64() {
            return self.give_up(number);
        }
        self.review(number);
    }

    /// Sends held parts until the n that are needed are in or on their way: the n at first, later
    /// one spare for each overdue or failed part, or where none is held another leaf call of it.
    fn fill(&mut self, number: u64) -> bool {
        loop {
            let q = &self.queries[&number];
            let need = self.need(q);
            let coming = q.parts.iter().filter(|p| p.done || (p.out > 0 && !p.spared));
            if coming.map(|p| p.weight).sum::<f64>() >= need - WEIGHT_SLACK {
                return true;
            }
            let Some((_, _, _, part, id)) = self.waiting(q).into_iter().next() else { return false };
            self.call_part(number, part, &id);
        }
    }

    /// When a part that is out falls overdue, unless it has its spare.
    fn overdue_at(&self, q: &Query, p: &Part) -> Option<Duration> {
        let held = q.parts.iter().any(|p| p.calls == 0);
        let times = if held { LATE_WITH_SPARE } else { LATE_WITHOUT };
        let usual = Duration::from_secs_f64(times * self.usual_pace(q.vertical) * self.expected(q, p));
        let due = p.last_sent.max(self.awake) + self.verticals[q.vertical].slo.mul_f64(THRESHOLD).min(usual);
        Some(due).filter(|_| p.out > 0 && !p.done && !p.spared)
    }

    /// An overdue part: its server is impaired, and a spare may go out if breaker and cap allow.
    fn overdue(&mut self, number: u64, part: u64) {
        let since = self.now.saturating_sub(IMPAIRED_WINDOW);
        for s in self.servers.values_mut().filter(|s| s.calls.iter().any(|c| c.part == part)) {
            s.impaired = Some(self.now);
        }
        let impaired = self.servers.values().filter(|s| s.impaired > Some(since)).count();
        let most = (self.servers.len() as f64 * IMPAIRED_SHARE).max(IMPAIRED_MOST as f64);
        if impaired as f64 > most && self.now >= self.halted_until {
            self.halted_until = self.now + COOLDOWN;
        }
        self.spares.retain(|t| *t >= since);
        let cap = (self.sends.len() as f64 * CAP_SHARE).max(1.0);
        if self.now < self.halted_until || (self.spares.len() + 1) as f64 > cap {
            return;
        }
        let q = &self.queries[&number];
        let p = q.parts.iter().find(|p| p.id == part).expect("held");
        if !self.may_call(q, p, p.out) && self.waiting(q).is_empty() {
            // No second copy is allowed: the outcome of this one, whatever it is, sends the next.
            let elsewhere = self.place(q, p).is_some_and(|s| !p.tried.contains(&s));
            if !elsewhere || !self.may_call(q, p, 0) {
                return;
            }
            self.call_off_part(part);
        }
        self.spares.push(self.now);
        let q = self.queries.get_mut(&number).expect("held");
        q.parts.iter_mut().filter(|p| p.id == part).for_each(|p| p.spared = true);
    }

    /// Looks at a query afresh: answer it, give it up, release spares, or see to it later.
    fn review(&mut self, number: u64) {
        let Some(q) = self.queries.get(&number) else { return };
        let v = &self.verticals[q.vertical];
        let end = self.end_of(q);
        if q.parts.len() < q.awaited && self.now < end {
            return self.see_to(number, end);
        }
        let need = self.need(q);
        let floor = if v.floor < v.need { v.floor } else { need };
        let weight = |parts: &dyn Fn(&&Part) -> bool| -> f64 {
            q.parts.iter().filter(parts).map(|p| p.weight).sum::<f64>() + WEIGHT_SLACK
        };
        let got = weight(&|p| p.done);
        if got >= need {
            return self.answer(number, true);
        }
        let reach = weight(&|p| p.done || p.out > 0 || p.calls == 0 || self.may_call(q, p, p.out));
        if self.now >= end || reach < need {
            if got >= floor {
                return self.answer(number, false);
            }
            if self.now >= end || reach < floor {
                return self.give_up(number);
            }
        }
        let late = q.parts.iter().filter(|p| self.overdue_at(q, p).is_some_and(|due| self.now >= due));
        for id in late.map(|p| p.id).collect::<Vec<_>>() {
            self.overdue(number, id);
        }
        let filled = self.fill(number);
        let q = &self.queries[&number];
        let soon = self.now + LOOK_AGAIN;
        let next = q.parts.iter().filter_map(|p| self.overdue_at(q, p)).min().unwrap_or(end).max(soon);
        let next = if filled { next.min(end) } else { soon.min(end) };
        self.see_to(number, next);
    }

    /// Looks at a query again at the latest then.
    fn see_to(&mut self, number: u64, next: Duration) {
        let q = self.queries.get_mut(&number).expect("held");
        if q.due.is_none_or(|due| next < due || due <= self.now) {
            q.due = Some(next);
            self.host.wake(number, next.saturating_sub(self.now));
        }
    }

    /// Answers a query. A vertical with a second step goes on with it after the first answer.
    fn answer(&mut self, number: u64, enough: bool) {
        let q = self.queries.get_mut(&number).expect("held");
        let v = &self.verticals[q.vertical];
        let more = if q.step == 0 { v.follow_up as usize } else { 0 };
        let done = q.parts.iter().filter(|p| p.done).count();
        q.short |= !enough;
        self.host.answer(q.id, !q.short);
        if more == 0 {
            return self.drop_query(number);
        }
        self.clear_parts(number);
        let q = self.queries.get_mut(&number).expect("held");
        (q.step, q.awaited) = (1, more.min(done));
        self.review(number);
    }

    /// Ends a query without an answer: sent back where that is honest, else given up.
    fn give_up(&mut self, number: u64) {
        let q = &self.queries[&number];
        let v = &self.verticals[q.vertical];
        let ran = q.step > 0 || q.parts.iter().any(|p| p.maybe_ran || p.out > 0);
        if v.effect == Effect::Repeatable || !ran {
            let wait = Duration::from_secs_f64(v.usual[0] * self.usual_pace(q.vertical));
            self.host.reject(q.id, self.back_after.map(|most| wait.min(most)));
        } else {
            self.host.abort(q.id);
        }
        self.drop_query(number);
    }

    fn drop_query(&mut self, number: u64) {
        self.clear_parts(number);
        self.queries.remove(&number).map(|q| self.numbers.remove(&q.id));
    }

    /// Lets go of a query's parts; what is still out is called off where that is allowed.
    fn clear_parts(&mut self, number: u64) {
        let parts = self.queries.get_mut(&number).map(|q| std::mem::take(&mut q.parts));
        for p in parts.unwrap_or_default() {
            self.numbers.remove(&p.id);
            self.call_off_part(p.id);
        }
    }

    fn call_off_part(&mut self, part: u64) {
        let calls = self.servers.values().flat_map(|s| &s.calls);
        calls.filter(|c| self.call_off && c.part == part).for_each(|c| self.host.call_off(part, c.number));
    }
}
