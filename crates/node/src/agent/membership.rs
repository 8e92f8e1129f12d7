//! Duties done by one process for all: hearing for servers whose control node is down, and the membership.

use super::*;

impl Agent {
    pub(super) fn lives(&self, node: &Node) -> bool {
        let here = node.name == self.directory.borrow().own().name;
        here || (!node.is_down && self.links.borrow().to(&node.name).is_some())
    }

    /// Whether this process is the first live one with a disk, by name, and sees a majority of the disks.
    pub(super) fn is_first(&self) -> bool {
        let directory = self.directory.borrow();
        let control_nodes: Vec<&Node> =
            directory.nodes().filter(|n| n.disk.is_some() && self.lives(n)).collect();
        let seated = |n: &&&Node| n.disk.as_ref().is_some_and(|d| directory.membership().contains(d));
        let first = control_nodes.iter().map(|n| &n.name).min();
        first == Some(&directory.own().name)
            && control_nodes.iter().filter(seated).count() >= directory.membership().quorum_size()
    }

    /// What this process says of its own disk.
    pub(super) fn disk_report(&self, register: &Register) -> ReplicaReport {
        ReplicaReport { progress: register.held(), is_shutting_down: self.leaving.get() }
    }

    /// Tells the other control nodes what this disk holds, where that has changed.
    pub(super) fn report_disk(&self) {
        let Some(register) = &self.register else { return };
        let report = self.disk_report(register);
        if self.reported.replace(report) == report {
            return;
        }
        let mut links = self.links.borrow_mut();
        let control_nodes: Vec<u64> =
            links.iter().filter(|(_, l)| l.peer.disk.is_some()).map(|(number, _)| number).collect();
        links.send_all(&control_nodes, &Message::Disk(report));
    }

    /// The disks in sight: this process's own, and those of the processes that have been heard of just now, each
    /// with what its process says of it over its own connection.
    pub(super) fn live_disks(&self) -> Vec<LiveReplica> {
        let live = |node: &Node, report: Option<ReplicaReport>| {
            let member = Member { disk: node.disk.clone()?, address: node.address.clone() };
            Some((member.disk.clone(), LiveReplica { member, report }))
        };
        let (directory, links) = (self.directory.borrow(), self.links.borrow());
        let heard = links.iter().filter(|(_, l)| l.heard.elapsed() < membership_manager::LIVENESS_TIMEOUT);
        let mut disks: BTreeMap<_, LiveReplica> = heard.filter_map(|(_, l)| live(&l.peer, l.disk)).collect();
        let own = self.register.as_ref().map(|register| self.disk_report(register));
        disks.extend(live(directory.own(), own));
        disks.into_values().collect()
    }

    /// Sees to it that the members are disks that live, where that is this process's duty.
    pub(super) fn look_at_members(self: &Rc<Self>) {
        let Some(register) = &self.register else { return };
        let (now, live) = (self.now(), self.live_disks());
        let membership = self.membership().unwrap_or_default();
        let view = MembershipView { membership: &membership, live: &live };
        let me = self.directory.borrow().own().disk.clone().unwrap_or_default();
        let next = {
            let mut watch = self.watch.borrow_mut();
            watch.observe(now, view);
            watch.plan_change(now, &me, view).filter(|_| !self.changing.get())
        };
        let Some(next) = next else { return };
        info!(self.log, "the set of disks is to change"; "epoch" => membership.epoch + 1,
            "disks" => next.iter().map(|s| s.disk.as_str()).collect::<Vec<_>>().join(" "));
        self.changing.set(true);
        let (work, outcome) = register.change(membership, next);
        self.carry_out(work);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Outcome::MembershipChanged(membership)) = outcome.await {
                info!(agent.log, "the set of disks has changed"; "epoch" => membership.epoch);
                agent.learn(vec![Update::Membership(membership)], None);
            }
            agent.changing.set(false);
        });
    }

    /// Whether this process's disk is a member and holds the state of an earlier epoch, or another version than the one
    /// in force: it has missed a decision, or holds one that may not have been made.
    pub(super) fn is_behind(&self, register: &Register) -> bool {
        let membership = self.membership().unwrap_or_default();
        let named = self.directory.borrow().own().disk.as_ref().is_some_and(|disk| membership.contains(disk));
        let version = register.stored().map_or(0, |config| config.version);
        named && (register.held().epoch < membership.epoch || version != self.version())
    }

    /// Whether this process, told to end, leaves nothing undone in the membership.
    pub fn may_end(&self) -> bool {
        let Some(register) = &self.register else { return true };
        let (membership, live) = (self.membership().unwrap_or_default(), self.live_disks());
        let me = self.directory.borrow().own().disk.clone().unwrap_or_default();
        let view = MembershipView { membership: &membership, live: &live };
        membership_manager::may_shut_down(&me, register.held(), view, self.watch.borrow().policy())
    }

    /// Whether the duty over the membership is this process's, as seen from here.
    pub(super) fn holds_membership(&self) -> bool {
        let (directory, live) = (self.directory.borrow(), self.live_disks());
        let view = MembershipView { membership: directory.membership(), live: &live };
        view.coordinator().is_some_and(|m| Some(&m.disk) == directory.own().disk.as_ref())
    }
}
