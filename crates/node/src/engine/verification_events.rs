//! Verification requests of starting gateways to control nodes, and the responses.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_gossip::Digest;

use super::{Command, Engine, VerificationRequest};
use crate::links::{LinkId, Message};

/// Result of the register read that answers verification requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationRead {
    /// A quorum of the members has responded.
    Succeeded,
    /// No quorum has responded before the time-out.
    Failed,
}

impl Engine {
    /// At a starting gateway, sends verification requests to the linked control nodes that are due for one.
    pub(super) fn verify_control_nodes(&mut self, now: Duration) {
        for id in self.readiness.links_to_verify(&self.links, now) {
            let number = self.next_message_number();
            self.send(vec![id], Message::VerifyQuorum { number });
            if let Some(link) = self.links.get_mut(id) {
                link.verification = Some(VerificationRequest { number, requested_at: now });
            }
        }
    }

    /// Sends verification requests that are due, and starts to answer those received if this process has
    /// caught up with a quorum.
    pub(super) fn answer_verifications(&mut self, now: Duration) {
        self.verify_control_nodes(now);
        if !self.quorum_contact(now).has_caught_up() {
            return;
        }
        if let Some(requests) = self.verification_requests.begin() {
            self.commands.push(Command::VerifyQuorum(requests));
        }
    }

    /// Answers these verification requests if the register read succeeded. Gateways that receive no response
    /// send another request.
    pub fn verification_ended(
        &mut self, requests: BTreeMap<LinkId, u64>, read: VerificationRead, now: Duration,
    ) {
        if read == VerificationRead::Succeeded && self.quorum_contact(now).has_caught_up() {
            let digest = self.digest(now);
            for (link, number) in requests {
                self.send(vec![link], Message::QuorumVerified { number, digest });
            }
        }
        self.verification_requests.end();
        self.answer_verifications(now);
    }

    /// Records the response of a control node to a verification request of this gateway. `digest` is that of
    /// the control node when it responded.
    pub(super) fn quorum_verified(&mut self, id: LinkId, number: u64, digest: Digest, now: Duration) {
        let Some(link) = self.links.get_mut(id) else { return };
        if link.verification.is_none_or(|request| request.number != number) {
            return;
        }
        link.verified_version = Some(digest.version);
        link.has_applied_peer_entries = false;
        self.digest_received(id, digest, now);
    }
}
