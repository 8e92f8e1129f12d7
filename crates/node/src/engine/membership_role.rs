//! The role of the coordinator of the membership, as far as this process has it.

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

/// What this process does for the membership. Times are since the start of the process.
#[derive(Debug)]
pub struct MembershipRole {
    planner: MembershipPlanner,
    is_changing: bool,
    /// What the other control nodes were told last of this process's disk.
    last_report: ReplicaReport,
}

impl MembershipRole {
    /// A process that starts.
    #[must_use]
    pub fn new(policy: MembershipPolicy) -> Self {
        let planner = MembershipPlanner::new(policy);
        MembershipRole { planner, is_changing: false, last_report: ReplicaReport::default() }
    }

    /// Whether others are to be told of this report, which is the last one from now on.
    pub fn report_changed(&mut self, report: ReplicaReport) -> bool {
        std::mem::replace(&mut self.last_report, report) != report
    }

    /// The members that there should be next, where that is for this process to change, and no change is under way.
    pub fn plan_change(
        &mut self, own: &DiskId, view: MembershipView<'_>, now: Duration,
    ) -> Option<Vec<Member>> {
        self.planner.observe(now, view);
        self.planner.plan_change(now, own, view).filter(|_| !self.is_changing)
    }

    /// A change is under way.
    pub fn change_started(&mut self) {
        self.is_changing = true;
    }

    /// The change has ended.
    pub fn change_ended(&mut self) {
        self.is_changing = false;
    }

    /// Whether this process, which is shutting down, leaves nothing undone in the membership.
    #[must_use]
    pub fn may_shut_down(&self, own: &DiskId, register: &Register, view: MembershipView<'_>) -> bool {
        may_shut_down(own, register.synced(), view, self.planner.policy())
    }
}

/// The newest membership known to a process; none where it has no members.
#[must_use]
pub fn newest_membership(directory: &Directory, register: Option<&Register>) -> Option<Membership> {
    let known = directory.membership();
    let newest = match register.map(Register::membership) {
        Some(own) if own.epoch > known.epoch => own,
        _ => known,
    };
    (!newest.members.is_empty()).then(|| newest.clone())
}

/// The live replicas: this process's own, and those of the processes that were heard just now, each with what its process
/// reports of it over its own connection.
#[must_use]
pub fn live_replicas(
    directory: &Directory, links: &LinkTable, own_report: Option<ReplicaReport>, now: Duration,
) -> Vec<LiveReplica> {
    let replica = |node: &Node, report: Option<ReplicaReport>| {
        let member = Member { disk: node.disk.clone()?, address: node.address.clone() };
        Some((member.disk.clone(), LiveReplica { member, report }))
    };
    let heard = links.iter().filter(|(_, link)| now.saturating_sub(link.last_received_at) < LIVENESS_TIMEOUT);
    let mut replicas: BTreeMap<DiskId, LiveReplica> =
        heard.filter_map(|(_, link)| replica(&link.peer, link.replica_report)).collect();
    replicas.extend(replica(directory.own_node(), own_report));
    replicas.into_values().collect()
}
