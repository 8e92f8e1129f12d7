//! Contact with a majority of the members: whether this process has it, whether a neighbour does, and what a gateway
//! that starts waits for before it calls itself ready.
//!
//! A gateway asks each control node that it is linked to. That one answers only after a read of the register that began
//! after the question, and only if it has compared its directory with a majority of the members. The gateway is ready
//! once it has taken in what that control node knew then.

use super::*;

/// Time after which a gateway asks a control node again whether it is in contact: a read of the register takes less.
const VERIFY_AGAIN: Duration = Duration::from_millis(1000);
/// Time for which a gateway that starts waits for one control node before it calls all others.
const VERIFIED_SOON: Duration = Duration::from_millis(1500);
/// Time after which a gateway that starts goes by the newest that it has heard, if no control node has found a majority:
/// longer than a cut of a single machine has to be borne, and than a core takes that starts whole. Counted in ticks, so
/// that a standstill is no wait.
const UNVERIFIED_MOST: Duration = Duration::from_secs(30);

impl Agent {
    /// Whether this process hears a majority of the members, itself included where it is one; a gateway: whether it
    /// hears a control node that does.
    pub(super) fn in_contact(&self) -> bool {
        self.in_contact_over(&self.links.borrow())
    }

    fn in_contact_over(&self, links: &Links) -> bool {
        if !self.is_control_node() {
            return links.iter().any(|(_, l)| l.peer.disk.is_some() && l.is_heard() && !l.alone);
        }
        self.counts_majority(links, |_| true)
    }

    /// A control node says so of itself in its digests.
    pub(super) fn is_alone(&self, links: &Links) -> bool {
        self.is_control_node() && !self.in_contact_over(links)
    }

    /// Whether the links for which this holds, and this process, make up a majority of the members.
    fn counts_majority(&self, links: &Links, holds: impl Fn(&Link) -> bool) -> bool {
        let directory = self.directory.borrow();
        let membership = directory.membership();
        let own = directory.own().disk.as_ref();
        let linked =
            |disk| links.iter().any(|(_, l)| l.peer.disk.as_ref() == Some(disk) && l.is_heard() && holds(l));
        let members = membership.members.iter().filter(|m| own == Some(&m.disk) || linked(&m.disk));
        !membership.members.is_empty() && members.count() >= membership.quorum_size()
    }

    /// Whether a gateway can go by what it hears over this link: for a while every control node may yet prove to be in
    /// contact, and one that says that it is not is no use.
    pub(super) fn is_useful(&self, link: &Link) -> bool {
        let proven = self.synced.get() || link.verified.is_some() || link.since.elapsed() < VERIFIED_SOON;
        link.peer.disk.is_some() && (self.is_control_node() || (proven && !link.alone))
    }

    /// A gateway that starts asks each control node that it is linked to.
    pub(super) fn ask_for_verification(&self) {
        if self.synced.get() {
            return;
        }
        let now = Instant::now();
        let mut links = self.links.borrow_mut();
        let due = |l: &Link| l.verifying.is_none_or(|(_, at)| at + VERIFY_AGAIN <= now);
        let asked: Vec<u64> =
            links.iter().filter(|(_, l)| l.peer.disk.is_some() && due(l)).map(|(link, _)| link).collect();
        for link in asked {
            let number = self.next_number();
            links.send(link, &Message::Verify { number });
            if let Some(link) = links.get_mut(link) {
                link.verifying = Some((number, now));
            }
        }
    }

    /// A gateway asks whether this control node is in contact.
    pub(super) fn verify(self: &Rc<Self>, link: u64, number: u64) {
        self.verifications.borrow_mut().insert(link, number);
        self.look_at_verifications();
    }

    /// Whether this control node has taken in what a majority of the members knew, over links that still hold.
    fn has_caught_up(&self) -> bool {
        self.counts_majority(&self.links.borrow(), |link| link.compared)
    }

    /// Asks, or answers those that ask: a read that begins now serves all questions that have come.
    pub(super) fn look_at_verifications(self: &Rc<Self>) {
        self.ask_for_verification();
        if self.verifications.borrow().is_empty() || self.answering.get() || !self.has_caught_up() {
            return;
        }
        self.answering.set(true);
        let questions = self.verifications.take();
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            // Those that get no answer ask again.
            if agent.newest().await.is_some() && agent.has_caught_up() {
                let digest = agent.digest();
                for (link, number) in questions {
                    agent.links.borrow_mut().send(link, &Message::Verified { number, digest });
                }
            }
            agent.answering.set(false);
            agent.look_at_verifications();
        });
    }

    /// A control node has compared itself with a majority after this gateway asked it, and knew this.
    pub(super) fn verified(&self, number: u64, asked: u64, digest: Digest) {
        {
            let mut links = self.links.borrow_mut();
            let Some(link) = links.get_mut(number) else { return };
            if link.verifying.is_none_or(|(question, _)| question != asked) {
                return;
            }
            link.verified = Some(digest.version);
            link.compared = false;
        }
        self.compared_with(number, digest);
    }

    /// All that a neighbour knew has been taken in.
    pub(super) fn has_compared(&self, number: u64) {
        if let Some(link) = self.links.borrow_mut().get_mut(number) {
            link.compared = true;
        }
        self.look_at_readiness();
    }

    /// The one place where a gateway becomes one that may be ready; it stays so for its life, whatever becomes of the
    /// core.
    pub(super) fn look_at_readiness(&self) {
        let version = self.version();
        let links = self.links.borrow();
        let proven = |l: &Link| l.compared && l.verified.is_some_and(|verified| verified <= version);
        if !self.synced.get() && links.iter().any(|(_, l)| proven(l)) {
            self.synced.set(true);
            info!(self.log, "compared with a control node in contact with a majority"; "version" => version);
        }
    }

    /// Counts the time for which a gateway waits for a control node with a majority.
    pub(super) fn look_at_wait(&self) {
        if self.synced.get() || self.has_waited_for_a_majority() {
            return;
        }
        self.waited.set(self.waited.get() + TICK);
        if self.has_waited_for_a_majority() {
            warn!(
                self.log,
                "no control node has found a majority: the newest that is known is used from here on"
            );
        }
    }

    /// Whether it has waited long enough: there may be none for long.
    pub(super) fn has_waited_for_a_majority(&self) -> bool {
        self.waited.get() >= UNVERIFIED_MOST
    }
}
