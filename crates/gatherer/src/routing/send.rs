//! Send: leaf calls go out in shared frames, over a bounded number of connections to each shard
//! server, and every one of them ends exactly once.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane::{Health, Outcome};
use ashvane_settings::Network;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::Event;
use super::book::Carried;
use crate::protocol::list::List;
use crate::transport::lane::{Lane, Queued};

/// Share of the idle time after which a connection is closed here, before the server closes it.
const IDLE_SHARE: f64 = 0.75;
/// How often idle connections are looked for, as a share of the same time.
const IDLE_LOOK_SHARE: f64 = 0.1;
/// Given-up parts a connection remembers, times what it carries at once: their answers may come late.
const LATE_TIMES: usize = 16;

/// A part and the number of its leaf call.
pub(super) type Key = (u64, u32);

pub(super) struct Ended {
    pub(super) key: Key,
    pub(super) server: Rc<str>,
    pub(super) outcome: Outcome,
}

struct Call {
    server: Rc<str>,
    carried: Carried,
    /// Since when it waits: for a connection, then for its answer.
    since: Instant,
    until: Instant,
    /// The connection it went out on; none while it waits for one.
    lane: Option<u64>,
}

impl Call {
    /// When its time is over: to be answered in, or to find a connection in.
    fn limit(&self, dial_limit: Duration) -> Instant {
        self.lane.map_or((self.since + dial_limit).min(self.until), |_| self.until)
    }
}

struct Connection {
    lane: Rc<Lane>,
    server: Rc<str>,
    up: bool,
    /// Takes no more calls, and is closed once none is out.
    retired: bool,
    out: BTreeMap<Arc<str>, Key>,
    /// Parts given up here, and until when they may still take room.
    late: VecDeque<(Arc<str>, Instant)>,
    /// The part answered last: a second copy of its answer is one that nobody waits for.
    answered: Option<Arc<str>>,
    used: Instant,
    /// Since when it has been asked and has said nothing.
    quiet: Option<Instant>,
}

struct Server {
    address: SocketAddr,
    health: Health,
    lanes: Vec<u64>,
    waiting: VecDeque<Key>,
    /// It took no further connection beside those it has.
    refuses: bool,
}

pub(super) struct Pool {
    servers: BTreeMap<Rc<str>, Server>,
    connections: BTreeMap<u64, Connection>,
    calls: BTreeMap<Key, Call>,
    /// When calls run out of time, or out of patience for a connection.
    limits: BTreeSet<(Instant, Key)>,
    ended: Vec<Ended>,
    events: mpsc::Sender<Event>,
    now: Instant,
    idle_look: Instant,
    next_lane: u64,
    most_lanes: usize,
    parts_a_call: usize,
    multiplex: usize,
    /// By vertical, whether a part must not run twice.
    runs_once: Vec<bool>,
    dial_limit: Duration,
    idle_limit: Duration,
}

impl Connection {
    fn room(&self, multiplex: usize, now: Instant) -> usize {
        let late = self.late.iter().filter(|(_, until)| *until > now).count();
        multiplex.saturating_sub(self.out.len() + late)
    }

    /// Whether an answer to this part could be taken for another leaf call's.
    fn knows(&self, id: &str) -> bool {
        self.out.contains_key(id) || self.late.iter().any(|(late, _)| &**late == id)
    }

    /// Whether it has said nothing for longer than a dial may take although it was asked: perhaps nothing
    /// comes through it any more, while the server is well.
    fn silent(&self, now: Instant, dial_limit: Duration) -> bool {
        self.quiet.is_some_and(|since| now >= since + dial_limit)
    }

    /// Whether calls may go out on it once it is up.
    fn dialling(&self) -> bool {
        !self.up && !self.retired
    }

    /// Is of no more use: ends at once, and with it what is out on it.
    fn end(&mut self) {
        self.retired = true;
        self.lane.close();
    }

    fn forget_if_done(&self) {
        if self.retired && self.out.is_empty() {
            self.lane.close();
        }
    }
}

fn retire(connections: &mut BTreeMap<u64, Connection>, lanes: &[u64]) {
    for lane in lanes {
        let Some(c) = connections.get_mut(lane) else { continue };
        c.retired = true;
        c.forget_if_done();
    }
}

impl Pool {
    pub(super) fn new(network: &Network, most_lanes: usize, events: mpsc::Sender<Event>) -> Self {
        let now = Instant::now();
        Pool {
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
            limits: BTreeSet::new(),
            ended: Vec::new(),
            events,
            now,
            idle_look: now,
            next_lane: 0,
            most_lanes,
            parts_a_call: network.parts_a_call.min(network.multiplex),
            multiplex: network.multiplex,
            runs_once: network.runs_once.clone(),
            dial_limit: network.dial_limit,
            idle_limit: network.idle_limit,
        }
    }

    pub(super) fn at(&mut self, now: Instant) {
        self.now = now;
    }

    pub(super) fn due(&self) -> Option<Instant> {
        let limit = self.limits.first().map(|(at, _)| *at);
        let ended = Some(self.now).filter(|_| !self.ended.is_empty());
        let idle = Some(self.idle_look).filter(|_| !self.connections.is_empty());
        limit.into_iter().chain(ended).chain(idle).min()
    }

    pub(super) fn take_ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.ended)
    }

    pub(super) fn call(&mut self, part: u64, carried: Carried, server: Rc<str>, until: Instant) {
        let key = (part, carried.number);
        let known = self.servers.get_mut(&server);
        let Some(s) = known else {
            return self.ended.push(Ended { key, server, outcome: Outcome::Unreachable });
        };
        s.waiting.push_back(key);
        let call = Call { server, carried, since: self.now, until, lane: None };
        self.limits.insert((call.limit(self.dial_limit), key));
        self.calls.insert(key, call);
    }

    fn drop_call(&mut self, key: Key) -> Option<Call> {
        let call = self.calls.remove(&key)?;
        self.limits.remove(&(call.limit(self.dial_limit), key));
        Some(call)
    }

    /// Ends a call by itself, with nothing more said to the server.
    fn end(&mut self, key: Key, outcome: Outcome) {
        if let Some(call) = self.drop_call(key) {
            self.ended.push(Ended { key, server: call.server, outcome });
        }
    }

    /// Takes a call back that is not begun to be written; false if it is.
    fn withdraw(&mut self, key: Key, outcome: Outcome) -> bool {
        let Some(call) = self.calls.get(&key) else { return true };
        if let Some(c) = call.lane.and_then(|lane| self.connections.get_mut(&lane)) {
            if !c.lane.withdraw(&call.carried.id) {
                return false;
            }
            c.out.remove(&call.carried.id);
            c.forget_if_done();
        } else if let Some(s) = self.servers.get_mut(&call.server) {
            s.waiting.retain(|waiting| *waiting != key);
        }
        self.end(key, outcome);
        true
    }

    /// Stops waiting for a call: it is not sent if it is not yet, else the server is told.
    fn give_up(&mut self, key: Key, unsent: Outcome, sent: Outcome) {
        if self.withdraw(key, unsent) {
            return;
        }
        let Some(call) = self.calls.get(&key) else { return };
        let (id, until) = (call.carried.id.clone(), call.until);
        if let Some(c) = call.lane.and_then(|lane| self.connections.get_mut(&lane)) {
            c.out.remove(&id);
            c.lane.give_up(id.clone());
            c.late.push_back((id, until));
            if c.late.len() > self.multiplex * LATE_TIMES {
                c.late.pop_front();
            }
            c.retired |= c.silent(self.now, self.dial_limit);
            c.forget_if_done();
        }
        self.end(key, sent);
    }

    pub(super) fn call_off(&mut self, key: Key) {
        self.give_up(key, Outcome::NeverSent, Outcome::CalledOff);
    }

    /// A part's query has ended: what was not sent is not sent any more.
    pub(super) fn over(&mut self, part: u64) {
        let of: Vec<Key> = self.calls.range((part, 0)..=(part, u32::MAX)).map(|(key, _)| *key).collect();
        for key in of {
            self.withdraw(key, Outcome::NeverSent);
        }
    }

    /// Ends the calls whose time is up, and closes connections that stand idle.
    pub(super) fn overdue(&mut self) {
        while let Some((_, key)) = self.limits.first().copied().filter(|(at, _)| *at <= self.now) {
            self.limits.pop_first();
            let waited = self.calls.get(&key).is_some_and(|c| c.until <= self.now);
            let unsent = if waited { Outcome::NeverSent } else { Outcome::Unreachable };
            self.give_up(key, unsent, Outcome::TimedOut);
        }
        for c in self.connections.values_mut() {
            let since = c.lane.reads_since().filter(|_| !c.retired);
            if since.is_some_and(|since| self.now >= since + self.dial_limit) {
                // A frame that has begun and does not go on brings nothing more.
                log::warn!("a frame from {} does not end: its connection is dropped", c.server);
                c.end();
            } else if c.out.is_empty() {
                c.retired |= c.silent(self.now, self.dial_limit);
                c.forget_if_done();
            }
        }
        if self.now < self.idle_look {
            return;
        }
        self.idle_look = self.now + self.idle_limit.mul_f64(IDLE_LOOK_SHARE);
        for c in self.connections.values_mut() {
            c.retired |= c.up && self.now >= c.used + self.idle_limit.mul_f64(IDLE_SHARE);
            c.forget_if_done();
        }
    }

    /// The servers as discovery has them. What waits for one that drains is not sent there.
    pub(super) fn listed(&mut self, list: &List) {
        if list.all {
            self.servers.values_mut().for_each(|s| s.health = Health::Gone);
        }
        for listed in &list.servers {
            let fresh = || Server {
                address: listed.address,
                health: listed.health,
                lanes: Vec::new(),
                waiting: VecDeque::new(),
                refuses: false,
            };
            let s = self.servers.entry(listed.id.as_str().into()).or_insert_with(fresh);
            if s.address != listed.address {
                s.address = listed.address;
                retire(&mut self.connections, &s.lanes);
            }
            s.health = listed.health;
        }
        let unready = |s: &Server| s.health != Health::Ready;
        let unready: Vec<Rc<str>> =
            self.servers.iter().filter(|(_, s)| unready(s)).map(|(id, _)| id.clone()).collect();
        for id in unready {
            let of: Vec<Key> =
                self.calls.iter().filter(|(_, c)| c.server == id).map(|(key, _)| *key).collect();
            for key in of {
                self.withdraw(key, Outcome::NeverSent);
            }
            let Some(s) = self.servers.get(&id).filter(|s| s.health == Health::Gone) else { continue };
            retire(&mut self.connections, &s.lanes);
            if s.lanes.is_empty() {
                self.servers.remove(&id);
            }
        }
    }

    pub(super) fn up(&mut self, lane: u64) {
        if let Some(c) = self.connections.get_mut(&lane) {
            (c.up, c.used) = (true, self.now);
            self.servers.get_mut(&c.server).into_iter().for_each(|s| s.refuses = false);
        }
    }

    pub(super) fn down(&mut self, lane: u64) {
        let Some(c) = self.connections.remove(&lane) else { return };
        for (id, key) in &c.out {
            let unsent = c.lane.unwritten(id);
            self.end(*key, if unsent { Outcome::Unreachable } else { Outcome::Broken });
        }
        let Some(s) = self.servers.get_mut(&c.server) else { return };
        s.lanes.retain(|known| *known != lane);
        if s.health == Health::Gone && s.lanes.is_empty() && s.waiting.is_empty() {
            self.servers.remove(&c.server);
            return;
        }
        // A dial that failed fails what waits, unless another connection is there or on its way.
        let serves = |lane: &u64| self.connections.get(lane).is_some_and(|c| !c.retired);
        s.refuses = c.dialling();
        if c.dialling() && !s.lanes.iter().any(serves) {
            for key in std::mem::take(&mut s.waiting) {
                self.end(key, Outcome::Unreachable);
            }
        }
    }

    /// Finds the leaf call that an answer belongs to; none if it was given up before.
    pub(super) fn answered(&mut self, lane: u64, id: &str, outcome: Outcome) -> Option<Ended> {
        let c = self.connections.get_mut(&lane)?;
        let asked = c.out.remove_entry(id);
        (c.used, c.quiet) = (self.now, Some(self.now).filter(|_| !c.out.is_empty()));
        let Some((id, key)) = asked else {
            if let Some(at) = c.late.iter().position(|(late, _)| &**late == id) {
                c.late.remove(at);
            } else if c.answered.as_deref() == Some(id) {
                // The answer was good, and so are those that the connection still owes.
                c.retired = true;
                c.forget_if_done();
            } else {
                log::warn!("a server answered {id:?}, which was not asked of it here");
                c.end();
            }
            return None;
        };
        c.answered = Some(id);
        c.forget_if_done();
        let call = self.drop_call(key)?;
        Some(Ended { key, server: call.server, outcome })
    }

    /// Sends what waits: each server's parts in as few frames as the settings allow.
    pub(super) fn flush(&mut self) {
        let waiting = |s: &Server| !s.waiting.is_empty();
        let ids: Vec<Rc<str>> =
            self.servers.iter().filter(|(_, s)| waiting(s)).map(|(id, _)| id.clone()).collect();
        for id in ids {
            while self.send_frame(&id) {}
            while self.dial_for(&id) {}
        }
    }

    fn send_frame(&mut self, id: &Rc<str>) -> bool {
        let Some(s) = self.servers.get(id) else { return false };
        // Two leaf calls of one part never share a connection: their answers look the same.
        let mut keys: Vec<Key> = s.waiting.iter().take(self.parts_a_call).copied().collect();
        if let Some(again) = (1..keys.len()).find(|at| keys[..*at].iter().any(|key| key.0 == keys[*at].0)) {
            keys.truncate(again);
        }
        let parts: Vec<&Carried> =
            keys.iter().filter_map(|key| Some(&self.calls.get(key)?.carried)).collect();
        // What breaks takes all along that is out there, so parts that must not run twice share a connection
        // with no other frame while another connection can be had.
        let once = |key: &Key| self.calls.get(key).is_some_and(|c| self.runs_once[c.carried.vertical]);
        let alone = keys.iter().any(once);
        let apart = |c: &Connection| if alone { c.out.is_empty() } else { !c.out.values().any(once) };
        let (multiplex, now) = (self.multiplex, self.now);
        let dial_limit = self.dial_limit;
        let fits = |c: &Connection| {
            c.up && !c.retired
                && !c.silent(now, dial_limit)
                && c.room(multiplex, now) >= parts.len()
                && !parts.iter().any(|p| c.knows(&p.id))
        };
        let find = |fits: &dyn Fn(&Connection) -> bool| {
            s.lanes.iter().copied().find(|lane| self.connections.get(lane).is_some_and(fits))
        };
        let more = s.lanes.len() < self.share() && !s.refuses;
        let lane = find(&|c| fits(c) && apart(c)).or_else(|| find(&fits).filter(|_| !more));
        let Some(lane) = lane.filter(|_| !keys.is_empty()) else { return false };
        let Some(s) = self.servers.get_mut(id) else { return false };
        s.waiting.drain(..keys.len());
        let Some(c) = self.connections.get_mut(&lane) else { return false };
        let mut frame = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(call) = self.calls.get_mut(&key) else { continue };
            self.limits.remove(&(call.limit(self.dial_limit), key));
            (call.since, call.lane) = (self.now, Some(lane));
            self.limits.insert((call.limit(self.dial_limit), key));
            let carried = &call.carried;
            c.out.insert(carried.id.clone(), key);
            frame.push(Queued {
                id: carried.id.clone(),
                shard: carried.shard,
                text: carried.text.clone(),
                until: call.until,
            });
        }
        c.used = self.now;
        c.quiet.get_or_insert(self.now);
        c.lane.call(frame);
        true
    }

    /// Every server has its even share of the connections.
    fn share(&self) -> usize {
        (self.most_lanes / self.servers.len().max(1)).max(1)
    }

    /// Closes the connection that has stood idle for longest, where there is one.
    fn make_room(&mut self) {
        let idle = |c: &&mut Connection| c.up && !c.retired && c.out.is_empty();
        if let Some(c) = self.connections.values_mut().filter(idle).min_by_key(|c| c.used) {
            c.end();
        }
    }

    /// Dials for what still waits.
    fn dial_for(&mut self, id: &Rc<str>) -> bool {
        let share = self.share();
        let Some(s) = self.servers.get_mut(id) else { return false };
        let dials = |lane: &&u64| self.connections.get(lane).is_some_and(Connection::dialling);
        let dialling = s.lanes.iter().filter(dials).count();
        let refused = s.refuses && !s.lanes.is_empty();
        if s.waiting.len() <= dialling * self.multiplex || s.lanes.len() >= share || refused {
            return false;
        }
        if self.connections.len() >= self.most_lanes {
            self.make_room();
            return false;
        }
        let number = self.next_lane;
        self.next_lane += 1;
        let lane = Rc::new(Lane::default());
        s.lanes.push(number);
        let connection = Connection {
            lane: lane.clone(),
            server: id.clone(),
            up: false,
            retired: false,
            out: BTreeMap::new(),
            late: VecDeque::new(),
            answered: None,
            used: self.now,
            quiet: None,
        };
        self.connections.insert(number, connection);
        tokio::task::spawn_local(lane.run(number, s.address, self.dial_limit, self.events.clone()));
        true
    }
}
