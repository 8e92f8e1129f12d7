//! The links to other processes, as this process keeps them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_gossip::Node;
use ashvane_identifiers::{Address, NodeName};
use ashvane_quorum::membership_manager::ReplicaReport;

use crate::links::codec::DecodeError;
use crate::links::{Direction, LinkId, Message, PEER_TIMEOUT};

/// The question whether a control node is in contact with a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerificationRequest {
    /// Names it in the answer.
    pub number: u64,
    /// When it was asked.
    pub requested_at: Duration,
}

/// One link. Times are since the start of the process.
#[derive(Debug)]
pub struct Link {
    /// The process at the other end, as it presented itself.
    pub peer: Node,
    /// Which side connected.
    pub direction: Direction,
    /// When the peer presented itself.
    pub opened_at: Duration,
    /// When the peer sent something last.
    pub last_received_at: Duration,
    /// The peer is to be sent updates as they come.
    pub is_subscribed: bool,
    /// How many times in a row the peer's digest differed.
    pub differing_digests: u32,
    /// All that the peer knew has been applied here once, since its last answer to a verification where it was asked.
    pub has_applied_peer_entries: bool,
    /// The peer has said that it is in contact with no quorum.
    pub lacks_quorum: bool,
    /// The last question to the peer whether it is in contact with a quorum.
    pub verification: Option<VerificationRequest>,
    /// The version that was in force at the peer when it had verified that, after the question.
    pub verified_version: Option<u64>,
    /// What the peer has reported of its disk.
    pub replica_report: Option<ReplicaReport>,
    /// Configurations that were requested of the peer and have not come.
    requested_configs: u32,
}

impl Link {
    /// Whether the peer is a control node.
    #[must_use]
    pub fn is_to_control_node(&self) -> bool {
        self.peer.disk.is_some()
    }

    /// Whether something was received of late. After a stall of this process a connection may still be open that is long
    /// dead.
    #[must_use]
    pub fn is_alive(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_received_at) < PEER_TIMEOUT
    }

    /// A configuration counts only on the link on which it was requested, and so from the incarnation that was asked. Other
    /// answers are bound to their links by whoever asks.
    fn accept_if_requested(&mut self, message: &Message) -> bool {
        if !matches!(message, Message::Config(_)) {
            return true;
        }
        let is_requested = self.requested_configs > 0;
        self.requested_configs = self.requested_configs.saturating_sub(1);
        is_requested
    }
}

/// Messages of one topic, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many messages.
    pub messages: u64,
    /// How many bytes.
    pub bytes: u64,
}

/// Counters of what was sent and received.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// What was sent, by topic.
    pub sent: BTreeMap<&'static str, Traffic>,
    /// Lines received.
    pub received_lines: u64,
    /// Lines that were no messages.
    pub malformed_lines: u64,
    /// Answers that nobody had asked for where they came.
    pub unrequested_answers: u64,
    /// Connections that have ended.
    pub closed_connections: u64,
}

/// What to do with a line that has come.
#[derive(Debug)]
pub enum Receipt {
    /// It is a message to be handled.
    Accepted(Message),
    /// It is an answer that was not asked for.
    Ignored,
    /// The link is to be closed: the line is no message, or the link is closed already.
    Closed,
}

/// All open links.
#[derive(Debug, Default)]
pub struct LinkTable {
    links: BTreeMap<LinkId, Link>,
    last_id: u64,
    /// Counters of what was sent and received over all links.
    pub counters: TrafficCounters,
}

impl LinkTable {
    /// All links, in the order in which they were opened.
    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.links.iter().map(|(id, link)| (*id, link))
    }

    /// Links to control nodes.
    pub fn to_control_nodes(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.iter().filter(|(_, link)| link.is_to_control_node())
    }

    /// How many links there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there is no link.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// A link.
    #[must_use]
    pub fn get(&self, id: LinkId) -> Option<&Link> {
        self.links.get(&id)
    }

    /// A link, to be changed.
    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id)
    }

    /// The first link to a process.
    #[must_use]
    pub fn to_node(&self, name: &NodeName) -> Option<LinkId> {
        self.iter().find(|(_, link)| link.peer.name == *name).map(|(id, _)| id)
    }

    /// The first link to the process at an address.
    #[must_use]
    pub fn to_address(&self, address: &Address) -> Option<LinkId> {
        self.iter().find(|(_, link)| link.peer.address == *address).map(|(id, _)| id)
    }

    /// One link for each process that is linked.
    #[must_use]
    pub fn one_per_peer(&self) -> Vec<LinkId> {
        let mut seen = BTreeSet::new();
        self.iter().filter(|(_, link)| seen.insert(&link.peer.name)).map(|(id, _)| id).collect()
    }

    /// A peer has presented itself.
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

    /// Of the links to the peer of a new link, those that are to be closed. Of two connections between two processes both
    /// sides keep the one that the process with the lower address opened.
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

    /// A link is closed; none if it was before.
    pub fn remove(&mut self, id: LinkId) -> Option<Link> {
        self.links.remove(&id)
    }

    /// A configuration is requested over a link: one is admitted there in return.
    pub fn config_requested(&mut self, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.requested_configs = link.requested_configs.saturating_add(1);
        }
    }

    /// A message of so many bytes goes out over a link.
    pub fn count_sent(&mut self, message: &Message, bytes: usize) {
        let traffic = self.counters.sent.entry(message.topic()).or_default();
        traffic.messages += 1;
        traffic.bytes += bytes as u64;
    }

    /// A line has come over a link.
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
