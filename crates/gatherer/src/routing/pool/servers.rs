//! The shard servers that discovery lists, and what waits for each.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use ashvane::{Health, Outcome};

use super::connections::retire;
use super::{Key, Pool};
use crate::protocol::list::ServerList;

pub(super) struct Server {
    pub(super) address: SocketAddr,
    pub(super) health: Health,
    pub(super) lanes: Vec<u64>,
    pub(super) waiting: VecDeque<Key>,
    /// It took no further connection beside those it has.
    pub(super) refuses: bool,
}

impl Pool {
    /// What the servers will take with this list, those that are gone and still have connections among them;
    /// `each` is what one takes beside its id.
    pub(in crate::routing) fn room_with(&self, list: &ServerList, each: u64) -> u64 {
        let new = list.servers.iter().filter(|s| !self.servers.contains_key(s.id.as_str()));
        let ids = self.servers.keys().map(|id| id.len()).chain(new.map(|s| s.id.len()));
        ids.map(|length| each + 5 * length as u64).sum()
    }

    /// The servers as discovery has them. What waits for one that drains is not sent there.
    pub(in crate::routing) fn listed(&mut self, list: &ServerList) {
        if list.complete {
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
        let unready: BTreeSet<Rc<str>> =
            self.servers.iter().filter(|(_, s)| unready(s)).map(|(id, _)| id.clone()).collect();
        let of: Vec<Key> =
            self.calls.iter().filter(|(_, c)| unready.contains(&c.server)).map(|(key, _)| *key).collect();
        for key in of {
            self.withdraw(key, Outcome::NeverSent);
        }
        for id in unready {
            let Some(s) = self.servers.get(&id).filter(|s| s.health == Health::Gone) else { continue };
            retire(&mut self.connections, &s.lanes);
            if s.lanes.is_empty() {
                self.servers.remove(&id);
            }
        }
    }
}
