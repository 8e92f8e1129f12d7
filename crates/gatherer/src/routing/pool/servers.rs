//! The shard servers that discovery lists, and what waits for each.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use ashvane::{Health, Outcome};

use super::connections::drain_connections;
use super::{CallKey, Pool};
use crate::protocol::list::ServerList;

pub(super) struct Server {
    pub(super) address: SocketAddr,
    pub(super) health: Health,
    pub(super) connections: Vec<u64>,
    pub(super) pending: VecDeque<CallKey>,
    /// It took no further connection beside those it has.
    pub(super) dial_failed: bool,
}

impl Pool {
    /// What the servers will take with this list, those that are gone and still have connections among them;
    /// `each` is what one takes beside its id.
    pub(in crate::routing) fn required_bytes(&self, list: &ServerList, each: u64) -> u64 {
        let new = list.servers.iter().filter(|server| !self.servers.contains_key(server.id.as_str()));
        let ids = self.servers.keys().map(|id| id.len()).chain(new.map(|server| server.id.len()));
        ids.map(|length| each + 5 * length as u64).sum()
    }

    /// The servers as discovery has them. What waits for one that drains is not sent there.
    pub(in crate::routing) fn apply_list(&mut self, list: &ServerList) {
        if list.complete {
            self.servers.values_mut().for_each(|server| server.health = Health::Gone);
        }
        for listed in &list.servers {
            let fresh = || Server {
                address: listed.address,
                health: listed.health,
                connections: Vec::new(),
                pending: VecDeque::new(),
                dial_failed: false,
            };
            let server = self.servers.entry(listed.id.as_str().into()).or_insert_with(fresh);
            if server.address != listed.address {
                server.address = listed.address;
                drain_connections(&mut self.connections, &server.connections);
            }
            server.health = listed.health;
        }
        let unready = |server: &Server| server.health != Health::Ready;
        let unready: BTreeSet<Rc<str>> =
            self.servers.iter().filter(|(_, server)| unready(server)).map(|(id, _)| id.clone()).collect();
        let keys: Vec<CallKey> =
            self.calls.iter().filter(|(_, c)| unready.contains(&c.server)).map(|(key, _)| *key).collect();
        for key in keys {
            self.withdraw(key, Outcome::NeverSent);
        }
        for id in unready {
            let Some(server) = self.servers.get(&id).filter(|server| server.health == Health::Gone) else {
                continue;
            };
            drain_connections(&mut self.connections, &server.connections);
            if server.connections.is_empty() {
                self.servers.remove(&id);
            }
        }
    }
}
