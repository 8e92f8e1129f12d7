//! The register as this process uses it: an operator's order written, the newest version read, requests and
//! responses carried between operations here and replicas elsewhere.

use ashvane_quorum::{Chosen, ContentDigest, Request, Response, SubmissionStatus};

use super::*;
use crate::register::{CALL_TIMEOUT, Outgoing, Via, Work};

impl Agent {
    /// Where control calls are settled, if not here: at a control node that is linked.
    pub fn settled_at(&self) -> Option<String> {
        let links = self.links.borrow();
        let mut control_nodes = links.iter().filter(|(_, l)| l.peer.disk.is_some());
        if self.is_control_node() {
            None
        } else {
            control_nodes.find_map(|(_, l)| l.peer.control_address.as_ref().map(|a| a.as_str().to_owned()))
        }
    }

    /// Sends what operations ask for, and sees to it that they go on after a pause.
    pub(super) fn carry_out(self: &Rc<Self>, work: Work) {
        work.requests.into_iter().for_each(|outgoing| self.send_request(outgoing));
        if let Some(pause) = work.look_after {
            let agent = self.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(pause).await;
                agent.look_at_operations();
            });
        }
        if let Some(membership) = work.membership {
            self.learn(vec![Update::Membership(membership)], None);
        }
    }

    pub(super) fn look_at_operations(self: &Rc<Self>) {
        if let Some(register) = &self.register {
            self.carry_out(register.look());
        }
    }

    /// A replica can be reached from now on: it is asked what is open for it.
    pub(super) fn carry_out_at(self: &Rc<Self>, address: &Address) {
        if let Some(register) = &self.register {
            self.carry_out(register.reached(address));
        }
    }

    fn send_request(self: &Rc<Self>, outgoing: Outgoing) {
        let Some(register) = &self.register else { return };
        let Outgoing { member, number, request } = outgoing;
        if member.address == self.directory.borrow().own().address {
            register.sent(number, Via::Own);
            let (agent, own) = (self.clone(), register.handle(&request));
            tokio::task::spawn_local(async move {
                if let Some(response) = own.await {
                    agent.report_disk();
                    agent.responded(number, Via::Own, response);
                }
            });
            return;
        }
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.at(&member.address) {
            register.sent(number, Via::Link(link));
            links.send(link, &Message::Request { number, request });
        }
    }

    /// A replica's answer to a request of an operation that runs here.
    pub(super) fn responded(self: &Rc<Self>, number: u64, via: Via, response: Response) {
        if let Some(register) = &self.register {
            self.carry_out(register.responded(number, via, response));
        }
    }

    /// Another process's operation asks this process's replica; the answer goes back on the link that it came on.
    pub(super) fn answer_request(self: &Rc<Self>, link: u64, number: u64, request: &Request) {
        let Some(register) = &self.register else { return };
        let (agent, own) = (self.clone(), register.handle(request));
        tokio::task::spawn_local(async move {
            if let Some(response) = own.await {
                agent.report_disk();
                agent.links.borrow_mut().send(link, &Message::Response { number, response });
            }
        });
    }

    /// The newest membership known here, if it has members.
    pub(super) fn membership(&self) -> Option<Membership> {
        let own = self.register.as_ref().map(|register| register.membership()).unwrap_or_default();
        let heard = self.directory.borrow().membership().clone();
        let newest = if own.epoch > heard.epoch { own } else { heard };
        (!newest.members.is_empty()).then_some(newest)
    }

    /// Whether so many members can be asked from here that an operation may end.
    fn reaches_majority(&self, membership: &Membership) -> bool {
        let (directory, links) = (self.directory.borrow(), self.links.borrow());
        let reached = |member: &&Member| {
            member.address == directory.own().address || links.at(&member.address).is_some()
        };
        membership.members.iter().filter(reached).count() >= membership.quorum_size()
    }

    /// Carries an operation to its outcome; none if no majority has settled it in time. What ends after that, since
    /// this process stood still, is no outcome either.
    async fn settled(&self, outcome: oneshot::Receiver<Outcome>) -> Option<Outcome> {
        let began = Instant::now();
        let outcome = tokio::time::timeout(CALL_TIMEOUT, outcome).await.ok()?.ok()?;
        (began.elapsed() <= CALL_TIMEOUT).then_some(outcome)
    }

    /// A chosen value is in force here, and on the own disk where that missed it.
    fn is_chosen(self: &Rc<Self>, chosen: &Chosen) {
        if let Some(register) = &self.register {
            let (agent, own) = (self.clone(), register.learn(chosen));
            tokio::task::spawn_local(async move {
                if own.await.is_some() {
                    agent.report_disk();
                }
            });
        }
        if let Some(config) = chosen.config() {
            self.config_is(config.clone());
        }
    }

    /// An operator's configuration: checked whole, then decided on a majority of disks, then in force.
    pub async fn put(self: &Rc<Self>, text: &[u8]) -> Put {
        let config = match Config::parse(text) {
            Ok(config) => config,
            Err(faults) => return Put::Invalid(faults),
        };
        let Some(register) = &self.register else { return Put::Unclear };
        let Some(membership) = self.membership().filter(|m| self.reaches_majority(m)) else {
            return Put::Unclear;
        };
        let (version, digest) = (config.version, ContentDigest::of(text));
        let order = VersionedConfig { version, digest, compressed_text: packed::pack(text).into() };
        let (work, outcome) = register.write(membership, order);
        self.carry_out(work);
        let Some(Outcome::Written(standing, chosen)) = self.settled(outcome).await else {
            return Put::Unclear;
        };
        self.is_chosen(&chosen);
        let held = chosen.config().map_or(0, |config| config.version);
        match standing {
            SubmissionStatus::Chosen | SubmissionStatus::Superseded => Put::Held(held),
            SubmissionStatus::Conflict => Put::Conflict { version, held },
            SubmissionStatus::Forgotten | SubmissionStatus::New => Put::Unclear,
        }
    }

    /// The newest configuration that is chosen. None: no majority answers.
    pub async fn newest(self: &Rc<Self>) -> Option<Option<VersionedConfig>> {
        let register = self.register.as_ref()?;
        let membership = self.membership().filter(|m| self.reaches_majority(m))?;
        let (work, outcome) = register.read(membership);
        self.carry_out(work);
        let Some(Outcome::Read(chosen)) = self.settled(outcome).await else { return None };
        self.read.set(true);
        self.is_chosen(&chosen);
        Some(chosen.config().cloned())
    }

    /// Reads the register at start, and where the own disk is behind: that brings it up, whether or not anybody writes.
    pub(super) fn look_at_register(self: &Rc<Self>) {
        let Some(register) = &self.register else { return };
        self.look_at_operations();
        if (!self.read.get() || self.is_behind(register)) && !self.reading.replace(true) {
            let agent = self.clone();
            tokio::task::spawn_local(async move {
                agent.newest().await;
                agent.reading.set(false);
            });
        }
    }
}
