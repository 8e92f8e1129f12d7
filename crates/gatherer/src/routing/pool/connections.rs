//! Connections to shard servers: dialled for what waits, shared out evenly, closed when they stand idle or
//! fall silent.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane::{Health, Outcome};
use ashvane_memory::{Charge, Purpose};
use tokio::time::Instant;

use super::{Key, Pool};
use crate::transport::lane::{LANE_BYTES, Lane};

pub(super) struct Connection {
    pub(super) lane: Rc<Lane>,
    pub(super) server: Rc<str>,
    pub(super) up: bool,
    /// Takes no more calls, and is closed once none is out.
    pub(super) retired: bool,
    pub(super) out: BTreeMap<Arc<str>, Key>,
    /// Parts given up here, and until when they may still take room.
    pub(super) late: VecDeque<(Arc<str>, Instant)>,
    /// The part answered last: a second copy of its answer is one that nobody waits for.
    pub(super) answered: Option<Arc<str>>,
    pub(super) used: Instant,
    /// Since when it has been asked and has said nothing.
    pub(super) quiet: Option<Instant>,
    _room: Charge,
}

impl Connection {
    pub(super) fn room(&self, multiplex: usize, now: Instant) -> usize {
        let late = self.late.iter().filter(|(_, until)| *until > now).count();
        multiplex.saturating_sub(self.out.len() + late)
    }

    /// Whether an answer to this part could be taken for another leaf call's.
    pub(super) fn knows(&self, id: &str) -> bool {
        self.out.contains_key(id) || self.late.iter().any(|(late, _)| &**late == id)
    }

    /// Whether it has said nothing for longer than a dial may take although it was asked: perhaps nothing
    /// comes through it any more, while the server is well.
    pub(super) fn silent(&self, now: Instant, dial_limit: Duration) -> bool {
        self.quiet.is_some_and(|since| now >= since + dial_limit)
    }

    /// Whether calls may go out on it once it is up.
    pub(super) fn dialling(&self) -> bool {
        !self.up && !self.retired
    }

    /// Is of no more use: ends at once, and with it what is out on it.
    pub(super) fn end(&mut self) {
        self.retired = true;
        self.lane.close();
    }

    pub(super) fn forget_if_done(&self) {
        if self.retired && self.out.is_empty() {
            self.lane.close();
        }
    }
}

pub(super) fn retire(connections: &mut BTreeMap<u64, Connection>, lanes: &[u64]) {
    for lane in lanes {
        let Some(c) = connections.get_mut(lane) else { continue };
        c.retired = true;
        c.forget_if_done();
    }
}

impl Pool {
    pub(in crate::routing) fn up(&mut self, lane: u64) {
        if let Some(c) = self.connections.get_mut(&lane) {
            (c.up, c.used) = (true, self.now);
            self.servers.get_mut(&c.server).into_iter().for_each(|s| s.refuses = false);
        }
    }

    pub(in crate::routing) fn down(&mut self, lane: u64) {
        let Some(c) = self.connections.remove(&lane) else { return };
        for (id, key) in &c.out {
            let unsent = c.lane.unwritten(id);
            self.end(*key, if unsent { Outcome::Unreachable } else { Outcome::ConnectionLost });
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

    /// Every server has its even share of the connections.
    pub(super) fn share(&self) -> usize {
        (self.most_lanes / self.servers.len().max(1)).max(1)
    }

    /// Closes the connection that has stood idle for longest, where there is one.
    pub(super) fn make_room(&mut self) {
        let idle = |c: &&mut Connection| c.up && !c.retired && c.out.is_empty();
        if let Some(c) = self.connections.values_mut().filter(idle).min_by_key(|c| c.used) {
            c.end();
        }
    }

    /// Dials for what still waits.
    pub(super) fn dial_for(&mut self, id: &Rc<str>) -> bool {
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
        // The number of connections follows from the room for them: only a lowered cap leaves none.
        let Ok(room) = self.ledger.take(Purpose::Connections, None, LANE_BYTES) else { return false };
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
            _room: room,
        };
        self.connections.insert(number, connection);
        let (events, ledger) = (self.events.clone(), self.ledger.clone());
        tokio::task::spawn_local(lane.run(number, s.address, self.dial_limit, events, ledger));
        true
    }
}
