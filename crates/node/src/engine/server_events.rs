//! Events of servers: their heartbeats and deregistrations, and what was stored of them before a restart.

use std::time::Duration;

use ashvane_gossip::{Heartbeat, Liveness, Server, ServerState, Update};
use ashvane_identifiers::ServerId;

use super::{Engine, LogEvent};

impl Engine {
    /// Records a heartbeat that a server sent to this process.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) {
        let updates = self.directory.record_heartbeat(heartbeat, now);
        self.disseminate(updates, None, now);
    }

    /// Records that a server has deregistered from this process.
    pub fn deregister(&mut self, id: &ServerId, now: Duration) {
        let updates = self.directory.deregister(id, now);
        self.disseminate(updates, None, now);
    }

    /// Adds the servers saved before a restart, which are better than none until heartbeats arrive. Some may
    /// have ended since, so each is added as timed out with heartbeat sequence 0, which any newer entry from
    /// another process supersedes. The saved departures rank above them.
    pub fn restore_servers(&mut self, servers: Vec<Server>, departures: Vec<Server>, now: Duration) {
        self.departures.restored(departures.len());
        self.directory.restore_departures(departures, now);
        let restored =
            |server| Update::Server(Server { heartbeat_sequence: 0, liveness: Liveness::TimedOut, ..server });
        if let Some(first) = servers.first() {
            let draining = servers.iter().filter(|server| server.state == ServerState::Draining).count();
            self.log(LogEvent::ServersRestored { count: servers.len(), draining, first: first.id.clone() });
        }
        self.apply_updates(servers.into_iter().map(restored).collect(), None, now);
    }
}
