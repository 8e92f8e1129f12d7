//! What servers say, and the acknowledgement that a quorum of the members knows it.

use std::time::Duration;

use ashvane_gossip::{Heartbeat, Liveness, Server, Update};
use ashvane_identifiers::ServerId;
use tokio::sync::oneshot;

use super::{Engine, LinkedReplica, QuorumAcknowledgement, UpdateResponse};
use crate::links::{LinkId, Message};

/// An update that waits for a quorum of the members to apply it.
pub struct PendingAcknowledgement {
    /// Names it at [`Engine::acknowledgement_ended`].
    pub number: u64,
    /// Notified once a quorum has applied the update.
    pub applied: oneshot::Receiver<()>,
}

impl Engine {
    /// A server has sent a heartbeat.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Duration) {
        let updates = self.directory.record_heartbeat(heartbeat, now);
        self.disseminate(updates, None, now);
    }

    /// A server has said that it ends.
    pub fn deregister(&mut self, id: &ServerId, now: Duration) {
        let updates = self.directory.deregister(id, now);
        self.disseminate(updates, None, now);
    }

    /// Servers that were known before a restart: until they send heartbeats, better than none. Some may have ended since,
    /// so they count as timed out here, and whatever others know of them stands above it.
    pub fn restore_servers(&mut self, servers: Vec<Server>, now: Duration) {
        let restored =
            |server| Update::Server(Server { heartbeat_sequence: 0, liveness: Liveness::TimedOut, ..server });
        self.apply_updates(servers.into_iter().map(restored).collect(), None, now);
    }

    /// Waits for a quorum of the members to apply an update: of the membership in force, and of each that follows it
    /// meanwhile. None where no quorum is in contact.
    pub fn await_quorum(&mut self, update: Update, now: Duration) -> Option<PendingAcknowledgement> {
        if !self.quorum_contact(now).exists() {
            return None;
        }
        let number = self.next_message_number();
        let (done, applied) = oneshot::channel();
        let (membership, own) = (self.directory.membership().clone(), self.own_disk().cloned());
        let acknowledgement = QuorumAcknowledgement::new(update, membership, own, done);
        self.acknowledgements.insert(number, acknowledgement);
        self.request_acknowledgements();
        Some(PendingAcknowledgement { number, applied })
    }

    /// Whoever waited does so no longer.
    pub fn acknowledgement_ended(&mut self, number: u64) {
        self.acknowledgements.remove(&number);
    }

    /// Asks the members that are linked and have not been asked yet, over the links that they have now.
    pub(super) fn request_acknowledgements(&mut self) {
        let linked: Vec<LinkedReplica> = self
            .links
            .iter()
            .filter_map(|(link, state)| Some(LinkedReplica { link, disk: state.peer.disk.clone()? }))
            .collect();
        let mut messages = Vec::new();
        for (number, acknowledgement) in &mut self.acknowledgements {
            let links = acknowledgement.links_to_send_over(&linked);
            let updates = vec![acknowledgement.update().clone()];
            messages.push((links, Message::Update { number: *number, updates }));
        }
        for (links, message) in messages {
            self.send(links, message);
        }
    }

    pub(super) fn update_response_received(&mut self, number: u64, link: LinkId, response: UpdateResponse) {
        if let Some(acknowledgement) = self.acknowledgements.get_mut(&number) {
            acknowledgement.response_received(link, response);
        }
    }

    /// What waits for a quorum waits for one of the next membership as well.
    pub(super) fn require_quorum_of_next_membership(&mut self) {
        let membership = self.directory.membership().clone();
        for acknowledgement in self.acknowledgements.values_mut() {
            acknowledgement.membership_changed(membership.clone());
        }
        self.request_acknowledgements();
    }
}
