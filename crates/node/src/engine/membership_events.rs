//! Events of the membership: reports on the local disk, and the membership changes that this process makes as
//! coordinator.

use std::time::Duration;

use ashvane_gossip::Update;
use ashvane_quorum::Membership;
use ashvane_quorum::membership_manager::{MembershipView, ReplicaReport};

use super::{Command, Engine, LogEvent, live_replicas};
use crate::links::Message;

impl Engine {
    /// Returns the report on the local disk, or `None` at a gateway.
    pub(super) fn replica_report(&self) -> Option<ReplicaReport> {
        let register = self.register.as_ref()?;
        Some(ReplicaReport { progress: register.synced_progress(), is_shutting_down: self.is_shutting_down })
    }

    /// Sends the report on the local disk to the other control nodes if it has changed.
    pub(super) fn report_replica(&mut self) {
        let Some(report) = self.replica_report() else { return };
        if self.membership_role.record_report(report) {
            let control_nodes = self.links.to_control_nodes().map(|(id, _)| id).collect();
            self.send(control_nodes, Message::ReplicaReport(report));
        }
    }

    /// Starts a membership change if this process is the coordinator and a change is due.
    pub(super) fn change_membership_if_due(&mut self, now: Duration) {
        if !self.is_control_node() {
            return;
        }
        let live = live_replicas(&self.directory, &self.links, self.replica_report(), now);
        let membership = self.membership().unwrap_or_default();
        let own = self.own_disk().cloned().unwrap_or_default();
        let view = MembershipView { membership: &membership, live: &live };
        let Some(next) = self.membership_role.plan_change(&own, view, now) else { return };
        let disks = next.iter().map(|member| member.disk.clone()).collect();
        self.log(LogEvent::MembershipChanging { epoch: membership.epoch + 1, disks });
        self.membership_role.change_started();
        let Some(register) = &mut self.register else { return };
        let started = register.change_membership(membership, next, now);
        self.execute_register_commands(started.commands, now);
        self.commands.push(Command::AwaitMembershipChange(started.outcome));
    }

    /// Records the end of a membership change. `membership` is `None` if the change failed or timed out.
    pub fn membership_change_ended(&mut self, membership: Option<Membership>, now: Duration) {
        if let Some(membership) = membership {
            self.log(LogEvent::MembershipChanged { epoch: membership.epoch });
            self.apply_updates(vec![Update::Membership(membership)], None, now);
        }
        self.membership_role.change_ended();
    }

    /// Whether this process, which is shutting down, may exit: it has left the membership where possible, and
    /// a quorum of the remaining members holds its state.
    #[must_use]
    pub fn may_shut_down(&self, now: Duration) -> bool {
        let Some(register) = &self.register else { return true };
        let live = live_replicas(&self.directory, &self.links, self.replica_report(), now);
        let membership = self.membership().unwrap_or_default();
        let own = self.own_disk().cloned().unwrap_or_default();
        let view = MembershipView { membership: &membership, live: &live };
        self.membership_role.may_shut_down(&own, register, view)
    }
}
