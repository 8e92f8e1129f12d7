//! Departures: servers that have reported that they are draining or have terminated. A control node stores them
//! on its disk, because a server that has departed may never report it again.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_identifiers::ServerId;

use super::Directory;
use crate::{Liveness, Server, ServerState, Update};

impl Directory {
    /// Records an entry that is about to be stored, if it shows that its server has departed further than was
    /// known.
    pub(super) fn record_departure(&mut self, server: &Server) {
        let known = self.servers.get(&server.id).map_or(ServerState::Ready, Server::reported_state);
        if server.reported_state() > known {
            self.new_departures.push(server.as_reported());
        }
    }

    /// Returns the departures that were not known before the last call, each as the server reported it.
    pub fn take_departures(&mut self) -> Vec<Server> {
        std::mem::take(&mut self.new_departures)
    }

    /// Returns all known departures. Of a server that terminated long ago only the identifier is known.
    #[must_use]
    pub fn departures(&self) -> Vec<Server> {
        let departed = self.servers.iter().filter(|server| server.has_reported_departure());
        let tombstones = self.servers.tombstones().map(|id| self.terminated_server(id));
        departed.map(Server::as_reported).chain(tombstones).collect()
    }

    /// Adds departures that were stored before a restart, to a directory that has no entries of these servers
    /// yet. Draining servers are added as timed out, because they may have ended since. The retention time
    /// of a termination starts anew.
    pub fn restore_departures(&mut self, departures: Vec<Server>, now: Duration) {
        let mut last_reports: BTreeMap<ServerId, Server> = BTreeMap::new();
        for server in departures {
            let known = last_reports.get(&server.id).map_or(ServerState::Ready, |known| known.state);
            if server.state > known {
                last_reports.insert(server.id.clone(), server);
            }
        }
        for (id, server) in last_reports {
            if server.is_terminated() {
                self.servers.add_tombstone(id, now);
            } else {
                let (heartbeat_sequence, liveness) = (0, Liveness::TimedOut);
                self.apply(Update::Server(Server { heartbeat_sequence, liveness, ..server }), now);
            }
        }
        self.new_departures.clear();
    }
}
