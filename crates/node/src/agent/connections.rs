//! Whom this process connects to, who feeds it, and what it takes from each message.

use super::*;
use crate::register::Via;

impl Agent {
    pub(super) fn call(self: &Rc<Self>, address: Address) {
        let now = Instant::now();
        let mut dialled = self.dialled.borrow_mut();
        if dialled.get(&address).is_some_and(|at| *at + DIAL_AGAIN > now) {
            return;
        }
        // One call at a time: a process that is slow to answer must not be called once more with each tick.
        if !self.calling.borrow_mut().insert(address.clone()) {
            return;
        }
        dialled.insert(address.clone(), now);
        let agent = self.clone();
        tokio::task::spawn_local(async move {
            let linked = dial(address.clone(), agent.clone()).await;
            agent.calling.borrow_mut().remove(&address);
            if !linked {
                agent.unreached.borrow_mut().insert(address, Instant::now() + UNREACHED);
            }
        });
    }

    pub(super) fn look_at_links(self: &Rc<Self>) {
        let now = Instant::now();
        self.unreached.borrow_mut().retain(|_, until| *until > now);
        self.dialled.borrow_mut().retain(|_, at| *at + DIAL_AGAIN > now);
        let wanted: Vec<Address> = {
            let (directory, unreached, links) =
                (self.directory.borrow(), self.unreached.borrow(), self.links.borrow());
            let reached = |n: &Node| self.is_control_node() || !unreached.contains_key(&n.address);
            let chosen = select_peers(directory.own(), directory.nodes(), self.settings.losses, reached);
            let missing = chosen.iter().filter(|n| links.to(&n.name).is_none());
            let mut wanted: Vec<Address> = missing.map(|n| n.address.clone()).collect();
            // One with a disk that is down may be back with nothing but seeds that are gone: the others look for it.
            let down = directory.nodes().filter(|n| self.is_control_node() && n.is_down && n.disk.is_some());
            let down = down.filter(|n| !unreached.contains_key(&n.address) && links.to(&n.name).is_none());
            wanted.extend(down.map(|n| n.address.clone()));
            let useful = links.iter().filter(|(_, l)| self.is_useful(l)).count();
            if useful == 0 || (self.is_control_node() && directory.membership().epoch == 0) {
                let own = &directory.own().address;
                wanted
                    .extend(self.seed_addresses().into_iter().filter(|a| a != own && links.at(a).is_none()));
                // None of those that one would choose answers: any other may.
                let others = directory.nodes().filter(|n| n.disk.is_some() && links.to(&n.name).is_none());
                wanted.extend(others.filter(|n| &n.address != own).map(|n| n.address.clone()));
            }
            wanted
        };
        wanted.into_iter().for_each(|address| self.call(address));
        self.look_at_feed();
        let lost: Vec<NodeName> = {
            // One that is cut off can't tell others that are down from those that it merely can't hear.
            let watches = self.in_contact();
            let links = self.links.borrow();
            let mut lost = self.lost.borrow_mut();
            for (name, since) in lost.iter_mut() {
                match links.to(name) {
                    None if !watches => *since = Some(now),
                    Some(_) => *since = None,
                    None => *since = since.or(Some(now)),
                }
            }
            let gone = |since: &Option<Instant>| since.is_some_and(|at| at + LOST_AFTER < now);
            let names = lost.iter().filter(|(_, since)| gone(since)).map(|(name, _)| name.clone()).collect();
            lost.retain(|_, since| !gone(since));
            names
        };
        for name in lost {
            let told = self.directory.borrow_mut().mark_down(&name, self.now());
            if !told.is_empty() {
                info!(self.log, "does not answer"; "node" => name.as_str());
            }
            self.spread(told, None);
        }
    }

    /// A gateway has one that tells it what changes: the first of its peers with a disk that is linked, and is not cut
    /// off from the other ones, if there is such a one.
    pub(super) fn look_at_feed(&self) {
        if self.is_control_node() {
            return;
        }
        let directory = self.directory.borrow();
        let mut links = self.links.borrow_mut();
        let chosen = select_peers(directory.own(), directory.nodes(), self.settings.losses, |_| true);
        let chosen = chosen.iter().filter(|n| n.disk.is_some()).filter_map(|n| links.to(&n.name));
        let any = links.iter().filter(|(_, l)| l.peer.disk.is_some()).map(|(n, _)| n);
        let ordered: Vec<u64> = chosen.chain(any).collect();
        let in_contact = |n: &&u64| links.get(**n).is_some_and(|l| !l.alone);
        let feed = ordered.iter().find(in_contact).or(ordered.first()).copied();
        let before = self.feed.replace(feed);
        if before != feed {
            if let Some(before) = before {
                links.send(before, &Message::Feed(false));
            }
            if let Some(feed) = feed {
                links.send(feed, &Message::Feed(true));
                links.send(feed, &Message::Buckets(directory.bucket_digests()));
                self.mending.set(Some(Instant::now()));
            }
        }
    }

    /// The settings file has changed: of it only the machines to begin with hold from now on.
    pub fn reloaded(&self, settings: &Settings) {
        if *self.seeds.borrow() != settings.seeds {
            info!(self.log, "other machines to begin with"; "seeds" => settings.seeds.join(" "));
            self.seeds.borrow_mut().clone_from(&settings.seeds);
        }
    }

    /// The addresses at which the machines of the settings file reach each other.
    pub fn seed_addresses(&self) -> Vec<Address> {
        let ip = |seed: &String| seed.rsplit_once(':').map(|(ip, _)| ip.to_owned());
        let port = self.settings.ports.0;
        self.seeds.borrow().iter().filter_map(ip).map(|ip| format!("{ip}:{port}").into()).collect()
    }
}

impl Listener for Agent {
    fn me(&self) -> Node {
        self.directory.borrow().own().clone()
    }

    fn net(&self) -> &dyn Net {
        &*self.net
    }

    fn links(&self) -> &RefCell<Links> {
        &self.links
    }

    fn linked(self: &Rc<Self>, number: u64) {
        let peer = {
            let mut links = self.links.borrow_mut();
            let Some(link) = links.get_mut(number) else { return };
            let (peer, ours) = (link.peer.clone(), link.ours);
            // Of two connections to one process, both sides keep the one that the lower address called.
            let we_call = self.directory.borrow().own().address < peer.address;
            let others: Vec<(u64, bool)> = links
                .iter()
                .filter(|(other, l)| *other != number && l.peer.name == peer.name)
                .map(|(other, l)| {
                    (other, l.peer.incarnation == peer.incarnation && l.ours == we_call && ours != we_call)
                })
                .collect();
            for (other, keep) in others {
                links.close(if keep { number } else { other });
            }
            peer
        };
        let address = peer.address.clone();
        self.lost.borrow_mut().insert(peer.name.clone(), None);
        self.unreached.borrow_mut().remove(&peer.address);
        let control_node = peer.disk.is_some();
        self.learn(vec![Update::Node(peer)], Some(number));
        self.compare(&mut self.links.borrow_mut(), &[number]);
        self.ask_for_verification();
        self.confirm_again();
        if let Some(register) = self.register.as_ref().filter(|_| control_node) {
            self.links.borrow_mut().send(number, &Message::Disk(self.disk_report(register)));
            self.carry_out_at(&address);
        }
    }

    fn heard(self: &Rc<Self>, number: u64, line: Message) {
        match line {
            Message::Hello(_) | Message::Packed(_) => {}
            Message::Update { number: asked, updates } => {
                let wanted = (asked > 0).then(|| updates.clone());
                self.learn(updates, Some(number));
                if let Some(updates) = wanted {
                    let directory = self.directory.borrow();
                    let taken = updates.iter().all(|update| directory.has_applied(update));
                    let got = Message::Got { number: asked, taken, epoch: directory.membership().epoch };
                    self.links.borrow_mut().send(number, &got);
                }
            }
            Message::Got { number: asked, taken, epoch } => self.confirmed(asked, number, taken, epoch),
            Message::Verify { number: asked } => self.verify(number, asked),
            Message::Verified { number: asked, digest } => self.verified(number, asked, digest),
            Message::Digest(digest) => self.compared_with(number, digest),
            Message::Feed(fed) => {
                if let Some(link) = self.links.borrow_mut().get_mut(number) {
                    link.fed = fed;
                }
            }
            Message::Buckets(buckets) => {
                let summary = {
                    let directory = self.directory.borrow();
                    let parts = directory.differing_buckets(&buckets);
                    (!parts.is_empty() || buckets.epoch != directory.membership().epoch)
                        .then(|| directory.summary(parts))
                };
                if let Some(summary) = summary {
                    self.links.borrow_mut().send(number, &Message::Summary(summary));
                }
            }
            Message::Summary(summary) => {
                let (updates, behind, mine) = {
                    let directory = self.directory.borrow();
                    let behind = directory.is_behind(&summary);
                    (
                        directory.newer_than(&summary),
                        behind,
                        behind.then(|| directory.summary(summary.buckets)),
                    )
                };
                let mut links = self.links.borrow_mut();
                if !updates.is_empty() {
                    links.send(number, &Message::Update { number: 0, updates });
                    // The other side sees at once whether that was all.
                    self.compare(&mut links, &[number]);
                }
                if let Some(mine) = mine {
                    links.send(number, &Message::Summary(mine));
                }
                drop(links);
                if !behind {
                    self.has_compared(number);
                }
            }
            Message::Want { above } => {
                let stored = self.stored.borrow().clone().filter(|f| f.version > above);
                if let Some(stored) = stored {
                    self.links.borrow_mut().send(number, &Message::Config(stored));
                }
            }
            Message::Config(stored) => self.config_came(number, stored),
            Message::Disk(report) => {
                if let Some(link) = self.links.borrow_mut().get_mut(number) {
                    link.disk = Some(report);
                }
            }
            Message::Request { number: asked, request } => self.answer_request(number, asked, &request),
            Message::Response { number: asked, response } => {
                self.responded(asked, Via::Link(number), response);
            }
        }
    }

    fn unlinked(self: &Rc<Self>, _number: u64, link: Link) {
        // Called again at once: it may only have started anew.
        self.dialled.borrow_mut().remove(&link.peer.address);
    }
}
