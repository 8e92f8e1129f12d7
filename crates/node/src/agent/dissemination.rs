//! What is known here and how it is told on: updates to a few others at once, digests to mend gaps, the
//! configuration that is in force.

use super::*;

/// Which configuration is wanted, and of whom it was asked for.
#[derive(Default)]
pub(super) struct Wanted {
    /// The newest version that another has named, and over which link.
    named: Option<(u64, u64)>,
    /// The links on which it was asked for and has not come, and since when.
    asked: BTreeMap<u64, Instant>,
    /// Another than the one that feeds this gateway has named a newer configuration first.
    foretold: bool,
}

impl Agent {
    /// Tells others what changed here; `from` is where it came from.
    pub(super) fn spread(self: &Rc<Self>, updates: Vec<Update>, from: Option<u64>) {
        if updates.is_empty() {
            return;
        }
        self.follow(&updates);
        if updates.iter().any(|n| matches!(n, Update::Server(s) if s.state > ServerState::Ready)) {
            self.left.set(true);
        }
        let links = self.links.borrow();
        let control_node = from.and_then(|n| links.get(n)).is_some_and(|l| l.peer.disk.is_some());
        drop(links);
        self.outbox.borrow_mut().add(updates, control_node);
        self.flush();
    }

    /// Sends what waits, or sees to it that it is sent once the pause since the last time is over.
    fn flush(self: &Rc<Self>) {
        let now = Instant::now();
        match self.outbox.borrow_mut().due(now) {
            Due::Now => {}
            Due::Waits => return,
            Due::At(time) => {
                let agent = self.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep_until(time).await;
                    agent.flush();
                });
                return;
            }
        }
        let (for_all, for_fed) = self.outbox.borrow_mut().take(now);
        // Those with disks tell each other what is new to one of them, and the gatherers that they feed; a
        // gatherer tells the one that feeds it. Whoever is missed finds out by the next digests.
        let mut links = self.links.borrow_mut();
        let of = |told: &dyn Fn(u64, &Link) -> bool| -> Vec<u64> {
            links.iter().filter(|(n, l)| told(*n, l)).map(|(n, _)| n).collect()
        };
        let (control_nodes, fed) = match self.is_control_node() {
            true => (of(&|_, l| l.peer.disk.is_some()), of(&|_, l| l.peer.disk.is_none() && l.fed)),
            false => (of(&|n, _| self.feed.get() == Some(n)), Vec::new()),
        };
        if !for_all.is_empty() {
            links.send_all(&control_nodes, &Message::Update { number: 0, updates: for_all.clone() });
        }
        let updates: Vec<Update> = for_all.into_iter().chain(for_fed).collect();
        links.send_all(&fed, &Message::Update { number: 0, updates });
    }

    /// Hands what changed to the data plane.
    pub(super) fn follow(&self, updates: &[Update]) {
        let Some(plane) = &self.plane else { return };
        let directory = self.directory.borrow();
        plane.servers_changed(&directory, updates);
        plane.gatherers_are(directory.gateways_sharing_budgets(self.now()));
    }

    /// Whoever tells of what is down or has ended as if it ran is told so.
    fn say_against(&self, link: u64, updates: &[Update]) {
        let directory = self.directory.borrow();
        let against: Vec<Update> =
            updates.iter().filter_map(|update| directory.refutation_of(update)).collect();
        if !against.is_empty() {
            self.links.borrow_mut().send(link, &Message::Update { number: 0, updates: against });
        }
    }

    /// Takes over what is newer, and tells it on; whoever told what is gone as running hears so over the same link.
    pub(super) fn learn(self: &Rc<Self>, updates: Vec<Update>, from: Option<u64>) {
        let now = self.now();
        if let Some(link) = from {
            self.say_against(link, &updates);
        }
        let told: Vec<Update> = {
            let mut directory = self.directory.borrow_mut();
            updates.into_iter().flat_map(|n| directory.apply(n, now)).collect()
        };
        let moved = told.iter().any(|update| matches!(update, Update::Membership(_)));
        self.spread(told, from);
        if moved {
            self.membership_changed();
        }
    }

    pub(super) fn compare(&self, links: &mut Links, numbers: &[u64]) {
        links.send_all(numbers, &Message::Digest(self.digest_over(links)));
    }

    /// A configuration that a majority of disks holds: from here on it is in force here.
    pub(super) fn config_is(self: &Rc<Self>, stored: VersionedConfig) {
        if self.stored.borrow().as_ref().is_some_and(|held| held.version >= stored.version) {
            return;
        }
        let Some(text) = packed::unpack(&stored.compressed_text) else {
            warn!(self.log, "a configuration that others hold cannot be unpacked"; "version" => stored.version);
            return;
        };
        let config = match Config::parse(&text) {
            Ok(config) => Rc::new(config),
            Err(faults) => {
                warn!(self.log, "a configuration that others hold cannot be read here";
                    "version" => stored.version, "faults" => faults.join("; "));
                return;
            }
        };
        info!(self.log, "configuration in force"; "version" => stored.version);
        self.in_force_since.set(Some(Instant::now()));
        *self.config.borrow_mut() = Some(config.clone());
        *self.stored.borrow_mut() = Some(stored.clone());
        if let Some(plane) = &self.plane {
            plane.configured(config);
        }
        {
            let mut links = self.links.borrow_mut();
            let peers = links.select_peers();
            self.compare(&mut links, &peers);
        }
        self.look_at_readiness();
    }

    /// A neighbour's digest: where it differs twice in a row, updates has been missed; before that it may be on its
    /// way. The one with the lower name begins, or the one that has just come.
    pub(super) fn compared_with(&self, number: u64, digest: Digest) {
        self.want(number, digest.version);
        let directory = self.directory.borrow();
        let mine = directory.digest(self.version());
        let mut links = self.links.borrow_mut();
        let Some(link) = links.get_mut(number) else { return };
        link.alone = digest.lacks_quorum;
        let control_node = link.peer.disk.is_some();
        if mine.has_same_entries(&digest) {
            link.differs = 0;
            drop((directory, links));
            self.has_compared(number);
            return;
        }
        link.differs += 1;
        let begins = directory.own().name < link.peer.name;
        let new_here = match self.is_control_node() {
            true => control_node && !link.compared && begins,
            false => control_node && !self.synced.get(),
        };
        // One at a time: what is missed is mostly known to all others alike, and a start would bring all of it over
        // every link. Members are compared with at once: a majority of them has to be.
        let now = Instant::now();
        let is_member = link.peer.disk.as_ref().is_some_and(|disk| directory.membership().contains(disk));
        let at_once = new_here && (is_member || !self.is_control_node());
        let free = self.mending.get().is_none_or(|at| at + MEND_AGAIN <= now);
        let mends = new_here || (link.differs >= DIFFERS && begins);
        if at_once || (mends && free) {
            if !at_once {
                self.mending.set(Some(now));
            }
            link.differs = 0;
            links.send(number, &Message::Buckets(directory.bucket_digests()));
        }
    }

    /// Another has named a version. Where it is newer, the configuration is asked for: of one that has not been asked
    /// before it has answered, so that on a narrow link no more than one transfer is on its way, and whatever is
    /// overtaken meanwhile is skipped.
    pub(super) fn want(&self, from: u64, version: u64) {
        if version <= self.version() {
            return;
        }
        let (now, mut wanted, mut links) =
            (Instant::now(), self.wanted.borrow_mut(), self.links.borrow_mut());
        wanted.asked.retain(|link, _| links.get(*link).is_some());
        if wanted.named.is_none_or(|(named, _)| named < version) {
            wanted.named = Some((version, from));
        }
        let just_asked = wanted.asked.values().any(|at| *at + WANT_ELSEWHERE > now);
        let under_way = wanted.asked.get(&from).is_some_and(|at| *at + WANT_AGAIN > now);
        if just_asked || under_way {
            return;
        }
        // The one that feeds this gatherer is near: it is waited for a moment where another is first.
        let nearer = self.feed.get().is_some_and(|feed| feed != from);
        if nearer && !std::mem::replace(&mut wanted.foretold, true) {
            return;
        }
        wanted.foretold = false;
        wanted.asked.insert(from, now);
        links.send(from, &Message::Want { above: self.version() });
    }

    /// A configuration has come that was asked for. If a newer one was named meanwhile, that is asked for at once.
    pub(super) fn config_came(self: &Rc<Self>, from: u64, stored: VersionedConfig) {
        self.wanted.borrow_mut().asked.remove(&from);
        self.config_is(stored);
        let named = self.wanted.borrow().named.filter(|(version, _)| *version > self.version());
        if let Some((version, by)) = named {
            self.wanted.borrow_mut().foretold = true;
            self.want(by, version);
        }
    }
}
