//! The shard servers that discovery lists, and the pending calls of each.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use ashvane::{Health, Outcome};

use super::connections::drain_connections;
use super::{CallKey, Pool};
use crate::protocol::list::ServerList;

/// A shard server.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    pub(super) health: Health,
    /// Numbers of the connections to the server.
    pub(super) connections: Vec<u64>,
    /// Calls that wait for a connection.
    pub(super) pending: VecDeque<CallKey>,
    /// Whether the latest dial failed. No more connections are then dialled while the server has any.
    pub(super) dial_failed: bool,
}

impl Pool {
    /// Returns the memory of the servers' records once this list is applied. Servers that are gone count
    /// until they are removed. `record_bytes` is the memory of one server without its id.
    pub(in crate::routing) fn required_bytes(&self, list: &ServerList, record_bytes: u64) -> u64 {
        let new = list.servers.iter().filter(|server| !self.servers.contains_key(server.id.as_str()));
        let ids = self.servers.keys().map(|id| id.len()).chain(new.map(|server| server.id.len()));
        ids.map(|length| record_bytes + 5 * length as u64).sum()
    }

    /// Updates the servers from a list. Unsent calls to servers that are not ready are withdrawn.
    pub(in crate::routing) fn apply_list(&mut self, list: &ServerList) {
        if list.complete {
            self.servers.values_mut().for_each(|server| server.health = Health::Gone);
        }
        for listed in &list.servers {
            let new_server = || Server {
                address: listed.address,
                health: listed.health,
                connections: Vec::new(),
                pending: VecDeque::new(),
                dial_failed: false,
            };
            let server = self.servers.entry(listed.id.as_str().into()).or_insert_with(new_server);
            if server.address != listed.address {
                server.address = listed.address;
                drain_connections(&mut self.connections, &server.connections);
            }
            server.health = listed.health;
        }
        let is_unready = |server: &Server| server.health != Health::Ready;
        let unready: BTreeSet<Rc<str>> =
            self.servers.iter().filter(|(_, server)| is_unready(server)).map(|(id, _)| id.clone()).collect();
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
