//! Events of updates that wait until a quorum of the members has applied them.

use std::time::Duration;

use ashvane_gossip::Update;
use tokio::sync::oneshot;

use super::{Engine, LinkedReplica, LogEvent, QuorumAcknowledgement, UpdateResponse};
use crate::links::{LinkId, Message};

/// Update that waits for a quorum of the members to apply it.
pub struct PendingAcknowledgement {
    /// Identifies the pending acknowledgement in [`Engine::acknowledgement_ended`].
    pub number: u64,
    /// Notified once a quorum has applied the update.
    pub applied: oneshot::Receiver<()>,
}

impl Engine {
    /// Starts to wait until a quorum of the membership in force, and of each later membership that comes into
    /// force meanwhile, has applied an update. Returns `None` without contact with a quorum.
    pub fn await_quorum(&mut self, update: Update, now: Duration) -> Option<PendingAcknowledgement> {
        if !self.quorum_contact(now).exists() {
            return None;
        }
        let number = self.next_message_number();
        let (done, applied) = oneshot::channel();
        let own = self.own_disk().filter(|_| self.departures.is_synced(&update)).cloned();
        let membership = self.directory.membership().clone();
        let acknowledgement = QuorumAcknowledgement::new(update, membership, own, done);
        self.acknowledgements.insert(number, acknowledgement);
        self.request_acknowledgements();
        Some(PendingAcknowledgement { number, applied })
    }

    /// Removes a pending acknowledgement, completed or not.
    pub fn acknowledgement_ended(&mut self, number: u64) {
        let Some(ended) = self.acknowledgements.remove(&number) else { return };
        if let Update::Server(server) = ended.update()
            && ended.is_done()
            && ended.is_first_wait()
        {
            let (server, state) = (server.id.clone(), server.reported_state());
            let disks = ended.confirmed_by().cloned().collect();
            self.log(LogEvent::DepartureAcknowledged { server, state, disks });
        }
    }

    /// Sends the waiting updates to linked members that have not received them yet.
    pub(super) fn request_acknowledgements(&mut self) {
        let linked: Vec<LinkedReplica> = self
            .links
            .iter()
            .filter_map(|(link, open_link)| Some(LinkedReplica { link, disk: open_link.peer.disk.clone()? }))
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

    /// Passes the response of a member to the pending acknowledgement with this number.
    pub(super) fn update_response_received(&mut self, number: u64, link: LinkId, response: UpdateResponse) {
        if let Some(acknowledgement) = self.acknowledgements.get_mut(&number) {
            acknowledgement.response_received(link, response);
        }
    }

    /// Makes all waiting updates require a quorum of the current membership too.
    pub(super) fn require_quorum_of_next_membership(&mut self) {
        let membership = self.directory.membership().clone();
        for acknowledgement in self.acknowledgements.values_mut() {
            acknowledgement.membership_changed(membership.clone());
        }
        self.request_acknowledgements();
    }
}
