//! The duty of hearing: one process says of the servers of a control node that is down that they are silent. It takes
//! the duty under a term that a majority of the members has taken in; what is claimed under an earlier term is void.

use super::*;

impl Agent {
    /// What this process may say of servers' silence.
    pub(super) fn authority(&self) -> LivenessAuthority {
        match self.holding.borrow().clone() {
            _ if !self.is_control_node() || !self.in_contact() => LivenessAuthority::None,
            Some(term) => LivenessAuthority::MonitoredAndOrphans(term),
            None => LivenessAuthority::Monitored,
        }
    }

    pub(super) fn holds_hearing(&self) -> bool {
        let term = self.holding.borrow();
        term.as_ref().is_some_and(|term| term == self.directory.borrow().orphan_monitor_term())
    }

    /// Takes the duty where there is something to do and this process is the first that may; gives it up where it is
    /// not, or where another has taken a higher term.
    pub(super) fn look_at_hearing(self: &Rc<Self>) {
        let first = self.is_control_node() && self.in_contact() && self.is_first();
        if first && self.holds_hearing() {
            return;
        }
        self.holding.take();
        let term = {
            let directory = self.directory.borrow();
            let wanted = first && !self.taking.get() && directory.has_orphans(self.now());
            directory.next_orphan_monitor_term().filter(|_| wanted)
        };
        let Some(term) = term else { return };
        self.taking.set(true);
        self.learn(vec![Update::OrphanMonitor(term.clone())], None);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            if agent.confirm(Update::OrphanMonitor(term.clone())).await {
                info!(agent.log, "holds the duty of hearing"; "epoch" => term.epoch, "round" => term.round);
                *agent.holding.borrow_mut() = Some(term);
            }
            agent.taking.set(false);
        });
    }
}
