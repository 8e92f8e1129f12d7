//! Questions of gateways that start, whether a control node is in contact with a quorum, and the answers.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_gossip::Digest;

use super::{Command, Engine, VerificationRequest};
use crate::links::{LinkId, Message};

/// How the read of the register that answers requests has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerificationRead {
    /// A quorum has answered.
    Succeeded,
    /// None has in time.
    Failed,
}

impl Engine {
    /// A gateway that starts asks each control node that it is linked to.
    pub(super) fn verify_control_nodes(&mut self, now: Duration) {
        for id in self.readiness.links_to_verify(&self.links, now) {
            let number = self.next_message_number();
            self.send(vec![id], Message::VerifyQuorum { number });
            if let Some(link) = self.links.get_mut(id) {
                link.verification = Some(VerificationRequest { number, requested_at: now });
            }
        }
    }

    /// Asks, or answers those that ask.
    pub(super) fn answer_verifications(&mut self, now: Duration) {
        self.verify_control_nodes(now);
        if !self.quorum_contact(now).has_caught_up() {
            return;
        }
        if let Some(requests) = self.verification_requests.begin() {
            self.commands.push(Command::VerifyQuorum(requests));
        }
    }

    /// The register was read for these requests, or could not be. Those that get no answer ask again.
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

    /// A control node has compared itself with a quorum after this gateway asked it, and knew this.
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
