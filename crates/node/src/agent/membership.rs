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
        let seated = |n: &&&Node| n.disk.as_ref().is_some_and(|d| directory.seats().has(d));
        let first = control_nodes.iter().map(|n| &n.name).min();
        first == Some(&directory.me().name)
            && control_nodes.iter().filter(seated).count() >= directory.seats().majority()
    }

    /// The disks that live, as seen from here.
    pub(super) fn live_seats(&self) -> Vec<Seat> {
        let seat = |n: &Node| Some(Seat { disk: n.disk.clone()?, address: n.address.clone() });
        self.directory.borrow().nodes().filter(|n| self.lives(n)).filter_map(seat).collect()
    }

    /// Sees to it that the seats are those of disks that live, where that is this process's duty.
    pub(super) fn look_at_seats(self: &Rc<Self>) {
        let Some(register) = &self.register else { return };
        let (now, directory) = (self.now(), self.directory.borrow());
        let live = self.live_seats();
        let mut watch = self.watch.borrow_mut();
        watch.look(now, directory.seats(), &live);
        let me = directory.me().disk.clone().unwrap_or_default();
        let next = watch.next(now, &me, directory.seats(), &live).filter(|_| !self.changing.get());
        let Some(next) = next else { return };
        info!(self.log, "the set of disks is to change"; "epoch" => directory.seats().epoch + 1,
            "disks" => next.iter().map(|s| &*s.disk).collect::<Vec<_>>().join(" "));
        drop((directory, watch));
        self.changing.set(true);
        let seats = self.directory.borrow().seats().clone();
        let (asks, outcome) = register.change(seats, next);
        self.ask(asks);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            if let Ok(Outcome::Seated(seats)) = outcome.await {
                info!(agent.log, "the set of disks has changed"; "epoch" => seats.epoch);
                agent.learn(vec![Update::Seats(seats)], None);
            }
            agent.changing.set(false);
        });
    }

    pub(super) fn has_seats_duty(&self) -> bool {
        let directory = self.directory.borrow();
        let holder = duty::holder(directory.seats(), &self.live_seats());
        holder.is_some_and(|s| Some(&s.disk) == directory.me().disk.as_ref())
    }
}
