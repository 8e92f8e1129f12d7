//! Table of the links to other processes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_gossip::Node;
use ashvane_identifiers::{Address, NodeName};
use ashvane_quorum::membership_manager::ReplicaReport;

use crate::links::codec::DecodeError;
use crate::links::{Direction, LinkId, Message, PEER_TIMEOUT};

/// Request to a control node to verify that it is in contact with a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerificationRequest {
    /// Identifies the request in the response.
    pub number: u64,
    /// Time at which the request was sent.
    pub requested_at: Duration,
}

/// Link to another process. Times are since the start of the process.
#[derive(Debug)]
pub struct Link {
    /// Process at the other end, as sent in its handshake.
    pub peer: Node,
    /// Side that opened the connection.
    pub direction: Direction,
    /// Time of the handshake.
    pub opened_at: Duration,
    /// Time at which the peer last sent a line.
    pub last_received_at: Duration,
    /// Whether the peer has subscribed to updates.
    pub is_subscribed: bool,
    /// Number of consecutive differing digests from the peer.
    pub differing_digests: u32,
    /// Whether all entries known to the peer have been applied here since the link was opened, or since the
    /// peer's last verification of its quorum.
    pub has_applied_peer_entries: bool,
    /// Whether the peer has reported that it has no contact with a quorum.
    pub lacks_quorum: bool,
    /// Last verification request to the peer.
    pub verification: Option<VerificationRequest>,
    /// Version that was in force at the peer when it last verified its quorum in response to a request.
    pub verified_version: Option<u64>,
    /// Last report of the peer on its disk.
    pub replica_report: Option<ReplicaReport>,
    /// Number of configurations requested from the peer and not received.
    requested_configs: u32,
}

impl Link {
    /// Whether the peer is a control node.
    #[must_use]
    pub fn is_to_control_node(&self) -> bool {
        self.peer.disk.is_some()
    }

    /// Whether a line was received within [`PEER_TIMEOUT`]. After this process has stalled, a connection may
    /// still be open although its peer died long before.
    #[must_use]
    pub fn is_alive(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_received_at) < PEER_TIMEOUT
    }

    /// Whether to accept a message. A configuration is accepted only on the link over which it was requested,
    /// and so only from the incarnation of the peer that received the request. The senders of other requests
    /// match responses to links themselves.
    fn accept_if_requested(&mut self, message: &Message) -> bool {
        if !matches!(message, Message::Config(_)) {
            return true;
        }
        let is_requested = self.requested_configs > 0;
        self.requested_configs = self.requested_configs.saturating_sub(1);
        is_requested
    }
}

/// Number and size of the messages of one topic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages.
    pub messages: u64,
    /// Total size of the encoded messages.
    pub bytes: u64,
}

/// Counters of sent and received messages.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Sent messages by topic.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// Number of received lines.
    pub received_lines: u64,
    /// Number of received lines that could not be decoded, and of failed handshakes.
    pub malformed_lines: u64,
    /// Number of received configurations that had not been requested over the same link.
    pub unrequested_answers: u64,
    /// Number of closed connections.
    pub closed_connections: u64,
}

/// Result of receiving a line.
#[derive(Debug)]
pub enum Receipt {
    /// The line is a message that must be handled.
    Accepted(Message),
    /// The line is a configuration that was not requested; it is dropped.
    Ignored,
    /// The line cannot be decoded, or the link is not in the table: the connection must be closed.
    Closed,
}

/// Open links of this process.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<LinkId, Link>,
    last_id: u64,
    /// Counters of the messages sent and received over all links.
    pub counters: TrafficCounters,
}

impl LinkTable {
    /// Returns all links in the order in which they were opened.
    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.links.iter().map(|(id, link)| (*id, link))
    }

    /// Returns the links to control nodes.
    pub fn to_control_nodes(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.iter().filter(|(_, link)| link.is_to_control_node())
    }

    /// Returns the number of links.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether the table has no links.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns the link with this identifier.
    #[must_use]
    pub fn get(&self, id: LinkId) -> Option<&Link> {
        self.links.get(&id)
    }

    /// Returns the link with this identifier for modification.
    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id)
    }

    /// Returns the oldest link to a process.
    #[must_use]
    pub fn to_node(&self, name: &NodeName) -> Option<LinkId> {
        self.iter().find(|(_, link)| link.peer.name == *name).map(|(id, _)| id)
    }

    /// Returns the oldest link to the process at an address.
    #[must_use]
    pub fn to_address(&self, address: &Address) -> Option<LinkId> {
        self.iter().find(|(_, link)| link.peer.address == *address).map(|(id, _)| id)
    }

    /// Returns one link for each linked process.
    #[must_use]
    pub fn one_per_peer(&self) -> Vec<LinkId> {
        let mut seen_peers = BTreeSet::new();
        self.iter().filter(|(_, link)| seen_peers.insert(&link.peer.name)).map(|(id, _)| id).collect()
    }

    /// Adds a link after the handshake with the peer.
    pub fn open(&mut self, peer: Node, direction: Direction, now: Duration) -> LinkId {
        self.last_id += 1;
        let id = LinkId::from(self.last_id);
        let link = Link {
            peer,
            direction,
            opened_at: now,
            last_received_at: now,
            is_subscribed: false,
            differing_digests: 0,
            has_applied_peer_entries: false,
            lacks_quorum: false,
            verification: None,
            verified_version: None,
            replica_report: None,
            requested_configs: 0,
        };
        self.links.insert(id, link);
        id
    }

    /// Returns the links to close among all links to the peer of a new link. Of two connections between the
    /// same two processes, both sides keep the one that the process with the lower address opened.
    #[must_use]
    pub fn redundant_with(&self, new: LinkId, own_address: &Address) -> Vec<LinkId> {
        let Some(link) = self.links.get(&new) else { return Vec::new() };
        let kept_direction =
            if *own_address < link.peer.address { Direction::Outgoing } else { Direction::Incoming };
        let is_kept = |other: &Link| {
            other.peer.incarnation == link.peer.incarnation
                && other.direction == kept_direction
                && link.direction != kept_direction
        };
        let others = self.iter().filter(|(id, other)| *id != new && other.peer.name == link.peer.name);
        others.map(|(id, other)| if is_kept(other) { new } else { id }).collect()
    }

    /// Removes a link. Returns `None` if it was removed before.
    pub fn remove(&mut self, id: LinkId) -> Option<Link> {
        self.links.remove(&id)
    }

    /// Records that a configuration was requested over a link, so that one is accepted there.
    pub fn config_requested(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.requested_configs = link.requested_configs.saturating_add(1);
        }
    }

    /// Counts a message sent over a link.
    pub fn count_sent(&mut self, message: &Message, bytes: usize) {
        let traffic = self.counters.sent.entry(message.topic()).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// Processes a line received over a link.
    pub fn receive(&mut self, id: LinkId, line: Result<Message, DecodeError>, now: Duration) -> Receipt {
        self.counters.received_lines += 1;
        self.counters.malformed_lines += u64::from(line.is_err());
        let Some(link) = self.links.get_mut(&id) else { return Receipt::Closed };
        link.last_received_at = now;
        let Ok(message) = line else { return Receipt::Closed };
        if !link.accept_if_requested(&message) {
            self.counters.unrequested_answers += 1;
            return Receipt::Ignored;
        }
        Receipt::Accepted(message)
    }
}
