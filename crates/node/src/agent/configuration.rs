//! The register as this process uses it: an operator's order written, the newest version read, requests and
//! responses carried between operations here and replicas elsewhere.

use super::*;

impl Agent {
    /// Where control calls are settled, if not here: at a control_node that is linked.
    pub fn settled_at(&self) -> Option<String> {
        let links = self.links.borrow();
        let mut control_nodes = links.iter().filter(|(_, l)| l.peer.disk.is_some());
        if self.is_control_node() { None } else { control_nodes.find_map(|(_, l)| l.peer.control.clone()) }
    }

    pub(super) fn ask(self: &Rc<Self>, asks: Asks) {
        let Some(register) = &self.register else { return };
        for (member, number, ask) in asks {
            if member.address == self.directory.borrow().me().address {
                let (agent, own) = (self.clone(), register.ask_own(&ask));
                tokio::task::spawn_local(async move {
                    if let Some(told) = own.await {
                        agent.told(number, told);
                    }
                });
                continue;
            }
            let mut links = self.links.borrow_mut();
            if let Some(link) = links.at(&member.address) {
                links.send(link, &Message::Ask { number, ask });
            }
        }
    }

    pub(super) fn told(self: &Rc<Self>, number: u64, told: ashvane_quorum::Told) {
        let Some(register) = &self.register else { return };
        let (asks, membership) = register.told(number, told);
        if let Some(membership) = membership {
            self.learn(vec![Update::Membership(membership)], None);
        }
        self.ask(asks);
    }

    /// An operator's configuration: checked whole, then kept on a majority of disks, then in force.
    pub async fn put(self: &Rc<Self>, text: &[u8]) -> Put {
        let config = match Config::parse(text) {
            Ok(config) => config,
            Err(faults) => return Put::Invalid(faults),
        };
        let Some(register) = &self.register else { return Put::Unclear };
        let stored = StoredConfig { version: config.version, text: packed::pack(text).into() };
        let membership = self.directory.borrow().membership().clone();
        if membership.members.is_empty() {
            return Put::Unclear;
        }
        let (asks, outcome) = register.write(membership, stored.clone());
        self.ask(asks);
        match outcome.await {
            Ok(Outcome::Held) => {
                self.config_is(stored);
                Put::Held(self.version())
            }
            _ => Put::Unclear,
        }
    }

    /// The newest configuration that a majority of disks holds. None: no majority answers.
    pub async fn newest(self: &Rc<Self>) -> Option<Option<StoredConfig>> {
        let register = self.register.as_ref()?;
        let membership = self.directory.borrow().membership().clone();
        if membership.members.is_empty() {
            return None;
        }
        let (asks, outcome) = register.read(membership);
        self.ask(asks);
        match outcome.await {
            Ok(Outcome::Found(stored)) => {
                self.read.set(true);
                if let Some(stored) = &stored {
                    self.config_is(stored.clone());
                }
                Some(stored)
            }
            _ => None,
        }
    }

    /// Reads the register at start, and whenever this disk holds something that may be held by no majority.
    pub(super) fn look_at_register(self: &Rc<Self>) {
        let Some(register) = &self.register else { return };
        self.ask(register.look());
        let ahead = register.stored().map_or(0, |f| f.version) > self.version();
        if (!self.read.get() || ahead) && !self.reading.replace(true) {
            let agent = self.clone();
            tokio::task::spawn_local(async move {
                agent.newest().await;
                agent.reading.set(false);
            });
        }
    }
}
