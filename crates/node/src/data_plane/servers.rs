//! The servers of a data plane: which ones the gatherer may use, and how many connections each may have.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use ashvane::Health;
use ashvane_gossip::{Directory, Server, ServerState, Update};
use ashvane_quota::connections_per_gateway;
use slog::info;

use super::DataPlane;

impl DataPlane {
    /// Number of servers that are stored.
    pub fn server_count(&self) -> usize {
        self.servers.borrow().len()
    }

    /// Whether any server is ready.
    pub fn has_ready_server(&self) -> bool {
        self.servers.borrow().values().any(|(_, health)| *health == Health::Ready)
    }

    /// Records how many gateways share the budgets.
    pub fn gateways_changed(self: &Rc<Self>, count: usize) {
        let now = self.started_at.elapsed();
        self.shared_limits.borrow_mut().gateway_count.observe(now, count);
        self.process_event(|gatherer| gatherer.set_gatherer_count(u32::try_from(count).ok()));
    }

    /// Updates the servers of all services that the updates concern.
    pub fn servers_changed(self: &Rc<Self>, directory: &Directory, updates: &[Update]) {
        let services: BTreeSet<&str> = updates
            .iter()
            .filter_map(|update| match update {
                Update::Server(server) => Some(server.service.as_str()),
                _ => None,
            })
            .collect();
        if !services.is_empty() {
            let listed: Vec<&Server> =
                directory.servers().filter(|server| services.contains(server.service.as_str())).collect();
            self.update_servers(&listed);
        }
    }

    /// Reports changes of servers to the pool and the gatherer. `listed` has all servers of each service that
    /// it has any of.
    fn update_servers(self: &Rc<Self>, listed: &[&Server]) {
        let mut ready_counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for server in listed.iter().filter(|server| server.state == ServerState::Ready) {
            let (all, timed_out) = ready_counts.entry(server.service.as_str()).or_default();
            (*all, *timed_out) = (*all + 1, *timed_out + usize::from(server.has_timed_out()));
        }
        let health = |server: &Server| match server.state {
            ServerState::Terminated => Health::Gone,
            ServerState::Draining => Health::Draining,
            // If more than half of a service has timed out, this gateway is probably partitioned from it, so
            // its servers stay ready.
            ServerState::Ready
                if server.has_timed_out()
                    && ready_counts
                        .get(server.service.as_str())
                        .is_some_and(|(all, timed_out)| timed_out * 2 <= *all) =>
            {
                Health::Draining
            }
            ServerState::Ready => Health::Ready,
        };
        let mut changed = Vec::new();
        for server in listed {
            let health = health(server);
            let mut servers = self.servers.borrow_mut();
            let previous = servers.get(server.id.as_str()).map(|(_, health)| *health);
            // Terminated servers are removed.
            if server.state == ServerState::Terminated {
                servers.remove(server.id.as_str());
                changed.extend(previous.map(|_| (*server, health)));
            } else if previous != Some(health) {
                servers.insert(server.id.to_string(), ((*server).clone(), health));
                changed.push((*server, health));
            }
        }
        self.report_timed_out_servers(&changed);
        for (server, health) in &changed {
            match health {
                Health::Ready => self.pool.add_server(
                    server.id.as_str(),
                    server.address.as_str(),
                    self.connection_limit(server.service.as_str()),
                ),
                _ if server.state > ServerState::Ready => self.pool.remove_server(server.id.as_str()),
                _ => {}
            }
        }
        if changed.is_empty() {
            return;
        }
        self.process_event(|gatherer| {
            gatherer.begin_server_list(false);
            for (server, health) in changed {
                let shard = self.shard_index(&server.service.as_str().into());
                let zone = self.zones.iter().position(|z| server.zone == z.as_str()).map(|z| z as u32);
                gatherer.update_server(server.id.as_str(), health, shard, zone, None);
            }
        });
    }

    /// Logs and counts the servers that are used from now on although they have timed out.
    fn report_timed_out_servers(&self, changed: &[(&Server, Health)]) {
        let is_reported =
            |(server, health): &&(&Server, Health)| *health == Health::Ready && server.has_timed_out();
        let mut used = changed.iter().filter(is_reported);
        let Some((first, _)) = used.next() else { return };
        let count = 1 + used.count();
        let counter = &self.counters.timed_out_servers;
        counter.set(counter.get() + count as u64);
        info!(self.log, "timed-out servers used, because most of their service has timed out";
            "count" => count, "first" => first.id.as_str(), "service" => first.service.as_str());
    }

    /// Returns how many connections this gateway may have open to each server of a service.
    pub(super) fn connection_limit(&self, service: &str) -> usize {
        let max_connections =
            self.config.borrow().as_ref().and_then(|c| c.services.get(service).map(|s| s.max_connections));
        connections_per_gateway(
            max_connections.unwrap_or(1),
            self.shared_limits.borrow().gateway_count.current(),
        )
    }

    /// Marks a server as gone after the server at its address reported another id.
    pub(super) fn mark_server_gone(self: &Rc<Self>, id: &str) {
        let Some((server, health)) = self.servers.borrow().get(id).cloned() else { return };
        if health != Health::Gone {
            self.servers.borrow_mut().insert(id.to_owned(), (server.clone(), Health::Gone));
            self.pool.remove_server(id);
            let shard = self.shard_index(&server.service.as_str().into());
            self.process_event(|gatherer| {
                gatherer.begin_server_list(false);
                gatherer.update_server(id, Health::Gone, shard, None, None);
            });
        }
    }
}
