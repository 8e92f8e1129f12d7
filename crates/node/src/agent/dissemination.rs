//! What is known here and how it is told on: updates to a few others at once, digests to mend gaps, the
//! configuration that is in force.

use super::*;

impl Agent {
    /// Tells others what changed here; `from` is where it came from.
    pub(super) fn spread(&self, updates: Vec<Update>, from: Option<u64>) {
        if updates.is_empty() {
            return;
        }
        self.follow(&updates);
        if updates.iter().any(|n| matches!(n, Update::Server(s) if s.state > State::Ready)) {
            self.left.set(true);
        }
        let mut links = self.links.borrow_mut();
        let is_control_node = |l: &Link| l.peer.disk.is_some();
        // Those with disks tell each other what is new to one of them, and the gatherers that they feed; a
        // gatherer tells the one that feeds it. Whoever is missed finds out by the next digests.
        let between_control_nodes = from.is_some_and(|n| links.get(n).is_some_and(is_control_node));
        let told = |n: u64, l: &Link| match (self.is_control_node(), is_control_node(l)) {
            (true, true) => !between_control_nodes,
            (true, false) => l.fed,
            (false, _) => self.feed.get() == Some(n),
        };
        let numbers: Vec<u64> =
            links.iter().filter(|(n, l)| Some(*n) != from && told(*n, l)).map(|(n, _)| n).collect();
        links.send_all(&numbers, &Message::Update { number: 0, updates });
    }

    /// Hands what changed to the data plane.
    pub(super) fn follow(&self, updates: &[Update]) {
        let Some(plane) = &self.plane else { return };
        let directory = self.directory.borrow();
        plane.servers_changed(&directory, updates);
        plane.gatherers_are(directory.fronts(self.now()));
    }

    pub(super) fn learn(&self, updates: Vec<Update>, from: Option<u64>) {
        let now = self.now();
        let told: Vec<Update> = {
            let mut directory = self.directory.borrow_mut();
            updates.into_iter().flat_map(|n| directory.learn(n, now)).collect()
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
    pub(super) fn config_is(self: &Rc<Self>, stored: StoredConfig) {
        if self.stored.borrow().as_ref().is_some_and(|held| held.version >= stored.version) {
            return;
        }
        let Some(text) = packed::unpack(&stored.text) else {
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
            let peers = links.peers();
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
        link.alone = digest.alone;
        let control_node = link.peer.disk.is_some();
        if (mine.entries, mine.epoch) == (digest.entries, digest.epoch) {
            link.differs = 0;
            drop((directory, links));
            self.has_compared(number);
            return;
        }
        link.differs += 1;
        let begins = directory.me().name < link.peer.name;
        let new_here = match self.is_control_node() {
            true => control_node && !link.compared && begins,
            false => control_node && !self.synced.get(),
        };
        if new_here || (link.differs >= DIFFERS && begins) {
            link.differs = 0;
            links.send(number, &Message::Buckets(directory.buckets()));
        }
    }

    pub(super) fn want(&self, from: u64, version: u64) {
        let now = Instant::now();
        let asked = self.wanted.get().is_some_and(|(v, at)| v >= version && at + WANT_AGAIN > now);
        // The one that feeds this gatherer is near: it is waited for a moment where another is first.
        let nearer = self.feed.get().is_some_and(|feed| feed != from);
        if version > self.version() && !asked && nearer && !self.foretold.replace(true) {
            return;
        }
        if version > self.version() && !asked {
            self.foretold.set(false);
            self.wanted.set(Some((version, now)));
            self.links.borrow_mut().send(from, &Message::Want { above: self.version() });
        }
    }
}
