//! Duties done by one process for all: hearing for servers whose control node is down, and the set of disks.

use super::*;

impl Agent {
    pub(super) fn lives(&self, node: &Node) -> bool {
        let here = node.name == self.directory.borrow().me().name;
        here || (!node.down && self.links.borrow().to(&node.name).is_some())
    }

    /// Whether this process is the first live one with a disk, by name, and sees a majority of the disks.
    pub(super) fn is_first(&self) -> bool {
        let directory = self.directory.borrow();
        let control_nodes: Vec<&Node> =
            directory.nodes().filter(|n| n.disk.is_some() && self.lives(n)).collect();
        let seated = |n: &&&Node| n.disk.as_ref().is_some_and(|d| directory.membership().has(d));
        let first = control_nodes.iter().map(|n| &n.name).min();
        first == Some(&directory.me().name)
            && control_nodes.iter().filter(seated).count() >= directory.membership().majority()
    }

    /// The disks that live, as seen from here.
    pub(super) fn live_members(&self) -> Vec<Member> {
        let member = |n: &Node| Some(Member { disk: n.disk.clone()?, address: n.address.clone() });
        self.directory.borrow().nodes().filter(|n| self.lives(n)).filter_map(member).collect()
    }

    /// Sees to it that the membership are those of disks that live, where that is this process's duty.
    pub(super) fn look_at_members(self: &Rc<Self>) {
        let Some(register) = &self.register else { return };
        let (now, directory) = (self.now(), self.directory.borrow());
        let live = self.live_members();
        let mut watch = self.watch.borrow_mut();
        watch.look(now, directory.membership(), &live);
        let me = directory.me().disk.clone().unwrap_or_default();
        let next = watch.next(now, &me, directory.membership(), &live).filter(|_| !self.changing.get());
        let Some(next) = next else { return };
        info!(self.log, "the set of disks is to change"; "epoch" => directory.membership().epoch + 1,
            "disks" => next.iter().map(|s| &*s.disk).collect::<Vec<_>>().join(" "));
        drop((directory, watch));
        self.changing.set(true);
        let membership = self.directory.borrow().membership().clone();
        let (work, outcome) = register.change(membership, next);
        self.carry_out(work);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Outcome::Changed(membership)) = outcome.await {
                info!(agent.log, "the set of disks has changed"; "epoch" => membership.epoch);
                agent.learn(vec![Update::Membership(membership)], None);
            }
            agent.changing.set(false);
        });
    }

    pub(super) fn has_seats_duty(&self) -> bool {
        let directory = self.directory.borrow();
        let holder = duty::holder(directory.membership(), &self.live_members());
        holder.is_some_and(|s| Some(&s.disk) == directory.me().disk.as_ref())
    }
}
