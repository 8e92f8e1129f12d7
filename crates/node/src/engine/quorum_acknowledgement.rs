//! Waiting until a quorum of the members has applied an update: whom to ask over which link, which answers count.

use std::collections::{BTreeMap, BTreeSet};

use ashvane_gossip::Update;
use ashvane_quorum::{DiskId, Membership};
use tokio::sync::oneshot;

use crate::links::LinkId;

/// A control node that is linked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkedReplica {
    /// The link to it.
    pub link: LinkId,
    /// Its disk.
    pub disk: DiskId,
}

/// What a member has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateResponse {
    /// Whether the update is in force there.
    pub is_applied: bool,
    /// The epoch of the membership that is known there.
    pub epoch: u64,
}

/// An update on its way to a quorum of the members. Whoever holds it bounds its time.
pub struct QuorumAcknowledgement {
    update: Update,
    /// The membership that was in force when it began, and each that has followed: every one needs its quorum.
    memberships: Vec<Membership>,
    /// The links over which it was asked, and the disk that each reaches. A link has one peer and one incarnation of it, so
    /// that an answer counts only for the one that was asked.
    sent_over: BTreeMap<LinkId, DiskId>,
    applied_by: BTreeSet<DiskId>,
    done: Option<oneshot::Sender<()>>,
}

impl QuorumAcknowledgement {
    /// Begins with the disk of this process, which has applied the update; it counts where it is a member. `done` is
    /// notified once a quorum has.
    #[must_use]
    pub fn new(
        update: Update, membership: Membership, own: Option<DiskId>, done: oneshot::Sender<()>,
    ) -> Self {
        let mut acknowledgement = QuorumAcknowledgement {
            update,
            memberships: vec![membership],
            sent_over: BTreeMap::new(),
            applied_by: own.into_iter().collect(),
            done: Some(done),
        };
        acknowledgement.notify_if_done();
        acknowledgement
    }

    /// The update that is to be applied.
    #[must_use]
    pub fn update(&self) -> &Update {
        &self.update
    }

    /// Of the control nodes that are linked, the links over which members are to be asked now. Each link is asked once.
    pub fn links_to_send_over(&mut self, linked: &[LinkedReplica]) -> Vec<LinkId> {
        let is_due = |replica: &&LinkedReplica| {
            self.memberships.iter().any(|membership| membership.contains(&replica.disk))
                && !self.applied_by.contains(&replica.disk)
                && !self.sent_over.contains_key(&replica.link)
        };
        let due: Vec<LinkedReplica> = linked.iter().filter(is_due).cloned().collect();
        let links = due.iter().map(|replica| replica.link).collect();
        self.sent_over.extend(due.into_iter().map(|replica| (replica.link, replica.disk)));
        links
    }

    /// A member has answered over a link. One that knows a later membership does not count until this process knows it as
    /// well.
    pub fn response_received(&mut self, link: LinkId, response: UpdateResponse) {
        let known_epoch = self.memberships.iter().map(|membership| membership.epoch).max().unwrap_or(0);
        if response.epoch > known_epoch {
            // Asked again once the later membership is known here.
            self.sent_over.remove(&link);
        } else if let Some(disk) = self.sent_over.get(&link).filter(|_| response.is_applied) {
            self.applied_by.insert(disk.clone());
            self.notify_if_done();
        }
    }

    /// From now on a quorum of this membership is needed as well.
    pub fn membership_changed(&mut self, membership: Membership) {
        self.memberships.push(membership);
    }

    fn has_quorum(&self, membership: &Membership) -> bool {
        let applied =
            membership.members.iter().filter(|member| self.applied_by.contains(&member.disk)).count();
        !membership.members.is_empty() && applied >= membership.quorum_size()
    }

    fn notify_if_done(&mut self) {
        if !self.memberships.iter().all(|membership| self.has_quorum(membership)) {
            return;
        }
        if let Some(done) = self.done.take() {
            // Whoever waited may have given up.
            let _ = done.send(());
        }
    }
}
