//! Acknowledgement of an update by a quorum of the members: over which links the update is sent, and which
//! responses count.

use std::collections::{BTreeMap, BTreeSet};

use ashvane_gossip::Update;
use ashvane_quorum::{DiskId, Membership};
use tokio::sync::oneshot;

use crate::links::LinkId;

/// Control node to which this process is linked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkedReplica {
    /// Link to the control node.
    pub link: LinkId,
    /// Disk of the control node.
    pub disk: DiskId,
}

/// Response of a member to an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateResponse {
    /// Whether the update is in force at the member.
    pub is_applied: bool,
    /// Epoch of the membership that the member knows.
    pub epoch: u64,
}

/// Update that waits for acknowledgement by a quorum. It has no time-out of its own; the caller sets one.
pub struct QuorumAcknowledgement {
    update: Update,
    /// Memberships that were in force since the wait began. A quorum of each is required.
    memberships: Vec<Membership>,
    /// Links over which the update was sent, with the disk of each peer. A link belongs to a single
    /// incarnation of a peer, so a response counts only if it comes from the incarnation that received the
    /// update.
    sent_over: BTreeMap<LinkId, DiskId>,
    applied_by: BTreeSet<DiskId>,
    /// Whether the local disk did not count from the start.
    waits_for_local_disk: bool,
    done: Option<oneshot::Sender<()>>,
}

impl QuorumAcknowledgement {
    /// Starts a wait for an update that this process has applied. `own`, the local disk, counts towards the
    /// quorum if it is a member; `None` if the update is not synced to it yet. `done` is notified once a quorum
    /// has applied the update.
    #[must_use]
    pub fn new(
        update: Update, membership: Membership, own: Option<DiskId>, done: oneshot::Sender<()>,
    ) -> Self {
        let mut acknowledgement = QuorumAcknowledgement {
            update,
            memberships: vec![membership],
            sent_over: BTreeMap::new(),
            waits_for_local_disk: own.is_none(),
            applied_by: own.into_iter().collect(),
            done: Some(done),
        };
        acknowledgement.notify_if_done();
        acknowledgement
    }

    /// Returns the update.
    #[must_use]
    pub fn update(&self) -> &Update {
        &self.update
    }

    /// Whether a quorum has applied the update.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.done.is_none()
    }

    /// Returns the disks of the processes that have applied the update, as far as they have responded.
    pub fn confirmed_by(&self) -> impl Iterator<Item = &DiskId> {
        self.applied_by.iter()
    }

    /// Returns the links over which the update must be sent now, and records them as sent. The update is sent
    /// to members only, and once over each link.
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

    /// Records the response received over a link. A response from a member that knows a later membership does
    /// not count until this process knows that membership too.
    pub fn response_received(&mut self, link: LinkId, response: UpdateResponse) {
        let known_epoch = self.memberships.iter().map(|membership| membership.epoch).max().unwrap_or(0);
        if response.epoch > known_epoch {
            // Allows another request once this process knows the later membership.
            self.sent_over.remove(&link);
        } else if let Some(disk) = self.sent_over.get(&link).filter(|_| response.is_applied) {
            self.applied_by.insert(disk.clone());
            self.notify_if_done();
        }
    }

    /// Records that the update is synced to the local disk.
    pub fn applied_locally(&mut self, own: &DiskId) {
        self.applied_by.insert(own.clone());
        self.notify_if_done();
    }

    /// Whether the update was new to this process when the wait began, so that it had to be synced first.
    #[must_use]
    pub fn is_first_wait(&self) -> bool {
        self.waits_for_local_disk
    }

    /// Adds a membership whose quorum is required too.
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
            // The receiver may have been dropped after a time-out.
            let _ = done.send(());
        }
    }
}
