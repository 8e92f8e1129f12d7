//! Table of the directory entries of servers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_identifiers::{Address, ServerId};

use super::DEPARTED_ENTRY_RETENTION;
use crate::digest::EntryDigests;
use crate::tombstones::Tombstones;
use crate::{Heartbeat, OrphanMonitorTerm, Server, ServerRank, ServerState, TerminationEvidence};

/// Time after which a server that has timed out is considered terminated. It exceeds the duration of any
/// partition. A server that was partitioned for longer and still runs returns with its next heartbeat.
const TERMINATION_TIMEOUT: Duration = Duration::from_secs(24 * 3600);

/// A server at its address. Ordered by address, so that the servers of one address stand side by side.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ServerAtAddress {
    address: Address,
    id: ServerId,
}

/// The entries of servers, the running servers at each address, and the times at which servers timed out or
/// terminated.
#[derive(Default)]
pub(super) struct ServerTable {
    servers: BTreeMap<ServerId, Server>,
    /// Servers that have not terminated. An address has several while it is not known which one is newer.
    by_address: BTreeSet<ServerAtAddress>,
    terminated_since: BTreeMap<ServerId, Duration>,
    timed_out_since: BTreeMap<ServerId, Duration>,
    tombstones: Tombstones<ServerId, ServerState>,
}

impl ServerTable {
    pub(super) fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    pub(super) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns the servers at an address that have not terminated.
    pub(super) fn servers_at<'a>(&'a self, address: &'a Address) -> impl Iterator<Item = &'a Server> {
        let first = ServerAtAddress { address: address.clone(), id: ServerId::default() };
        let at_address = self.by_address.range(first..).take_while(move |entry| entry.address == *address);
        at_address.filter_map(|entry| self.servers.get(&entry.id))
    }

    pub(super) fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }

    pub(super) fn has_tombstone(&self, id: &ServerId) -> bool {
        self.tombstones.contains(id)
    }

    /// Returns the servers that have a tombstone.
    pub(super) fn tombstones(&self) -> impl Iterator<Item = &ServerId> {
        self.tombstones.ids()
    }

    /// Adds the tombstone of a server that has no entry and has reported its termination.
    pub(super) fn add_tombstone(&mut self, id: ServerId, now: Duration) {
        debug_assert!(!self.servers.contains_key(&id), "an entry and a tombstone exclude each other");
        self.tombstones.insert(id, ServerState::Terminated, now);
    }

    /// Whether the tombstone of a server has at least the state of this heartbeat.
    pub(super) fn has_tombstone_covering(&self, heartbeat: &Heartbeat) -> bool {
        self.tombstones.covers(&heartbeat.id, &heartbeat.state)
    }

    /// Whether an entry is not newer than the stored entry or the tombstone of the server.
    pub(super) fn is_stale(&self, server: &Server) -> bool {
        self.servers.get(&server.id).is_some_and(|known| known.rank() >= server.rank())
            || self.tombstones.covers(&server.id, &server.state)
    }

    /// Whether a rank is higher than that of the stored entry of a server, and the server has no tombstone.
    pub(super) fn is_newer(&self, id: &ServerId, rank: &ServerRank) -> bool {
        match self.servers.get(id) {
            Some(known) => known.rank() < *rank,
            None => !self.tombstones.contains(id),
        }
    }

    /// Stores the entry of a server. `term` is the highest known term of the orphan monitor. No other method
    /// changes an entry.
    pub(super) fn insert(
        &mut self, server: Server, term: &OrphanMonitorTerm, digests: &mut EntryDigests, now: Duration,
    ) {
        self.update_address(&server);
        self.update_timestamps(&server, now);
        digests.toggle(server.id.as_str(), server.digest());
        let (is_valid, rank) = (server.liveness.is_valid_in(term), server.rank());
        debug_assert!(is_valid, "a declaration under an earlier term of the orphan monitor is not stored");
        if let Some(previous) = self.servers.insert(server.id.clone(), server) {
            let was_valid = previous.liveness.is_valid_in(term);
            debug_assert!(!was_valid || previous.rank() <= rank, "the rank of an entry only increases");
            digests.toggle(previous.id.as_str(), previous.digest());
        }
    }

    fn update_address(&mut self, server: &Server) {
        let running_at = |server: &Server| (!server.is_terminated()).then(|| server.address.clone());
        let (before, after) = (self.servers.get(&server.id).and_then(running_at), running_at(server));
        if before == after {
            return;
        }
        let entry = |address| ServerAtAddress { address, id: server.id.clone() };
        if let Some(address) = before {
            self.by_address.remove(&entry(address));
        }
        if let Some(address) = after {
            self.by_address.insert(entry(address));
        }
    }

    fn update_timestamps(&mut self, server: &Server, now: Duration) {
        if server.is_terminated() {
            self.terminated_since.entry(server.id.clone()).or_insert(now);
        } else {
            self.terminated_since.remove(&server.id);
        }
        if server.has_timed_out() && !server.is_terminated() {
            self.timed_out_since.entry(server.id.clone()).or_insert(now);
        } else {
            self.timed_out_since.remove(&server.id);
        }
    }

    fn has_available_server_at(&self, address: &Address) -> bool {
        self.servers_at(address).any(Server::is_available)
    }

    /// Returns the timed-out servers that are confirmed to have terminated: either another server is
    /// available at their address, or they have been timed out for longer than any partition lasts.
    pub(super) fn confirmed_terminated(
        &self, now: Duration,
    ) -> impl Iterator<Item = (&Server, TerminationEvidence)> {
        self.timed_out_since.iter().filter_map(move |(id, since)| {
            let server = self.servers.get(id)?;
            if self.has_available_server_at(&server.address) {
                Some((server, TerminationEvidence::AddressInUse))
            } else {
                (*since + TERMINATION_TIMEOUT <= now).then_some((server, TerminationEvidence::TimedOut))
            }
        })
    }

    /// Replaces the entries of terminated servers by tombstones after the retention time, and removes expired
    /// tombstones. A server whose termination was only inferred gets no tombstone: it may still run, and its
    /// next heartbeat restores it.
    pub(super) fn expire(&mut self, now: Duration) {
        let is_expired = |(_, since): &(&ServerId, &Duration)| **since + DEPARTED_ENTRY_RETENTION <= now;
        let expired: Vec<ServerId> =
            self.terminated_since.iter().filter(is_expired).map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.terminated_since.remove(&id);
            if self.servers.remove(&id).is_some_and(|server| server.has_reported_termination()) {
                self.tombstones.insert(id, ServerState::Terminated, now);
            }
        }
        self.tombstones.expire(now);
    }
}
