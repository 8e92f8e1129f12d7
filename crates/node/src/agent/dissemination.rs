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

    /// Whoever tells of what is down or has ended as if it ran is told so.
    pub(super) fn say_against(&self, link: u64, updates: &[Update]) {
        let directory = self.directory.borrow();
        let against: Vec<Update> = updates.iter().filter_map(|update| directory.against(update)).collect();
        if !against.is_empty() {
            self.links.borrow_mut().send(link, &Message::Update { number: 0, updates: against });
        }
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
    pub(super) fn config_came(self: &Rc<Self>, from: u64, stored: StoredConfig) {
        self.wanted.borrow_mut().asked.remove(&from);
        self.config_is(stored);
        let named = self.wanted.borrow().named.filter(|(version, _)| *version > self.version());
        if let Some((version, by)) = named {
            self.wanted.borrow_mut().foretold = true;
            self.want(by, version);
        }
    }
}
