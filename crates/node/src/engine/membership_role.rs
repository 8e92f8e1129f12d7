//! This process's part in the role of membership coordinator.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_gossip::{Directory, Node};
use ashvane_identifiers::DiskId;
use ashvane_quorum::membership_manager::{
    LIVENESS_TIMEOUT, LiveReplica, MembershipPlanner, MembershipPolicy, MembershipView, ReplicaReport,
    may_shut_down,
};
use ashvane_quorum::{Member, Membership};

use super::{LinkTable, Register};

/// State of this process's membership changes and reports. Times are since the start of the process.
#[derive(Debug)]
pub struct MembershipRole {
    planner: MembershipPlanner,
    is_changing: bool,
    /// Report on the local disk that was last sent to the other control nodes.
    last_report: ReplicaReport,
}

impl MembershipRole {
    /// Creates the state at the start of the process.
    #[must_use]
    pub fn new(policy: MembershipPolicy) -> Self {
        let planner = MembershipPlanner::new(policy);
        MembershipRole { planner, is_changing: false, last_report: ReplicaReport::default() }
    }

    /// Records the current report on the local disk. Returns whether it differs from the last one and must be
    /// sent.
    pub fn record_report(&mut self, report: ReplicaReport) -> bool {
        std::mem::replace(&mut self.last_report, report) != report
    }

    /// Returns the members of the next epoch if this process is the coordinator, a change is due and none is
    /// in progress.
    pub fn plan_change(
        &mut self, own: &DiskId, view: MembershipView<'_>, now: Duration,
    ) -> Option<Vec<Member>> {
        self.planner.observe(now, view);
        self.planner.plan_change(now, own, view).filter(|_| !self.is_changing)
    }

    /// Records the start of a membership change.
    pub fn change_started(&mut self) {
        self.is_changing = true;
    }

    /// Records the end of the membership change.
    pub fn change_ended(&mut self) {
        self.is_changing = false;
    }

    /// Whether this process, which is shutting down, may exit: it has left the membership where possible, and
    /// a quorum of the remaining members holds its state.
    #[must_use]
    pub fn may_shut_down(&self, own: &DiskId, register: &Register, view: MembershipView<'_>) -> bool {
        may_shut_down(own, register.synced_progress(), view, self.planner.policy())
    }
}

/// Returns the newest membership known to a process, or `None` if it has no members.
#[must_use]
pub fn newest_membership(directory: &Directory, register: Option<&Register>) -> Option<Membership> {
    let known = directory.membership();
    let newest = match register.map(Register::membership) {
        Some(own) if own.epoch > known.epoch => own,
        _ => known,
    };
    (!newest.members.is_empty()).then(|| newest.clone())
}

/// Returns the live replicas: that of this process, and those of the peers that sent a line within
/// [`LIVENESS_TIMEOUT`]. Each comes with the last report that its process sent over its own link.
#[must_use]
pub fn live_replicas(
    directory: &Directory, links: &LinkTable, own_report: Option<ReplicaReport>, now: Duration,
) -> Vec<LiveReplica> {
    let replica = |node: &Node, report: Option<ReplicaReport>| {
        let member = Member { disk: node.disk.clone()?, address: node.address.clone() };
        Some((member.disk.clone(), LiveReplica { member, report }))
    };
    let recently_active =
        links.iter().filter(|(_, link)| now.saturating_sub(link.last_received_at) < LIVENESS_TIMEOUT);
    let mut replicas: BTreeMap<DiskId, LiveReplica> =
        recently_active.filter_map(|(_, link)| replica(&link.peer, link.replica_report)).collect();
    replicas.extend(replica(directory.own_node(), own_report));
    replicas.into_values().collect()
}
