//! The membership: what this process reports of its own disk, and the changes that it makes as coordinator.

use std::time::Duration;

use ashvane_gossip::Update;
use ashvane_quorum::Membership;
use ashvane_quorum::membership_manager::{MembershipView, ReplicaReport};

use super::{Command, Engine, LogEvent, live_replicas};
use crate::links::Message;

impl Engine {
    /// What this process reports of its own disk.
    pub(super) fn replica_report(&self) -> Option<ReplicaReport> {
        let register = self.register.as_ref()?;
        Some(ReplicaReport { progress: register.synced_progress(), is_shutting_down: self.is_shutting_down })
    }

    /// Tells the other control nodes what this disk holds, where that has changed.
    pub(super) fn report_replica(&mut self) {
        let Some(report) = self.replica_report() else { return };
        if self.membership_role.record_report(report) {
            let control_nodes = self.links.to_control_nodes().map(|(id, _)| id).collect();
            self.send(control_nodes, Message::ReplicaReport(report));
        }
    }

    /// Sees to it that the members are replicas that live, where that is this process's role.
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

    /// A membership change of this process has ended; none if it took too long.
    pub fn membership_change_ended(&mut self, membership: Option<Membership>, now: Duration) {
        if let Some(membership) = membership {
            self.log(LogEvent::MembershipChanged { epoch: membership.epoch });
            self.apply_updates(vec![Update::Membership(membership)], None, now);
        }
        self.membership_role.change_ended();
    }

    /// Whether this process, which is shutting down, leaves nothing undone in the membership.
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
