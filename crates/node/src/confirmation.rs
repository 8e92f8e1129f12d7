//! Waiting for a majority of the members to take in an update: whom to ask over which link, which answers count.
//! Without I/O or a clock; whoever holds it bounds its time.

use std::collections::{BTreeMap, BTreeSet};

use ashvane_gossip::Update;
use ashvane_quorum::{DiskId, Membership};
use tokio::sync::oneshot;

/// An update on its way to a majority of the members.
pub struct Confirmation {
    update: Update,
    /// The membership that was in force when it began, and each that has followed: every one needs its majority.
    memberships: Vec<Membership>,
    /// The links over which it was asked, each with the disk that it reaches. A link has one number, one peer and one
    /// life of it, so that an answer counts only for the one that was asked.
    asked: BTreeMap<u64, DiskId>,
    taken: BTreeSet<DiskId>,
    done: Option<oneshot::Sender<()>>,
}

impl Confirmation {
    /// `own`: the disk of the process that asks, which knows the update; it counts where it is a member.
    pub fn new(
        update: Update, membership: Membership, own: Option<DiskId>, done: oneshot::Sender<()>,
    ) -> Self {
        let mut confirmation = Confirmation {
            update,
            memberships: vec![membership],
            asked: BTreeMap::new(),
            taken: own.into_iter().collect(),
            done: Some(done),
        };
        confirmation.look();
        confirmation
    }

    pub fn update(&self) -> &Update {
        &self.update
    }

    /// Of these links, each with the disk that it reaches, those over which it is to be asked now.
    pub fn ask(&mut self, linked: &[(u64, DiskId)]) -> Vec<u64> {
        let member = |disk: &DiskId| self.memberships.iter().any(|m| m.contains(disk));
        let asked: Vec<_> = linked
            .iter()
            .filter(|(link, disk)| {
                member(disk) && !self.taken.contains(disk) && !self.asked.contains_key(link)
            })
            .cloned()
            .collect();
        self.asked.extend(asked.iter().cloned());
        asked.into_iter().map(|(link, _)| link).collect()
    }

    /// An answer over a link: whether the update is in force there, and the epoch of the membership that is known there.
    /// One that knows a later membership does not count until this process knows it as well.
    pub fn answered(&mut self, link: u64, taken: bool, epoch: u64) {
        let known = self.memberships.iter().map(|m| m.epoch).max().unwrap_or(0);
        if epoch > known {
            // Asked again once the later membership is known here.
            self.asked.remove(&link);
        } else if let Some(disk) = self.asked.get(&link).filter(|_| taken) {
            self.taken.insert(disk.clone());
            self.look();
        }
    }

    pub fn membership_changed(&mut self, membership: Membership) {
        self.memberships.push(membership);
    }

    fn has_majority(&self, membership: &Membership) -> bool {
        let taken = membership.members.iter().filter(|m| self.taken.contains(&m.disk)).count();
        !membership.members.is_empty() && taken >= membership.quorum_size()
    }

    fn look(&mut self) {
        if self.memberships.iter().all(|m| self.has_majority(m))
            && let Some(done) = self.done.take()
        {
            let _ = done.send(());
        }
    }
}
