//! What one process knows, and how it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_quorum::Membership;

use crate::departed::Departed;
use crate::{
    Authority, BUCKETS, Buckets, Digest, HearingTerm, Node, NodeRank, Server, ServerRank, Silence, State,
    Summary, Update, bucket, hash,
};

/// Beats missed in a row after which a server counts as silent: one or two are lost when its keeper changes.
const MISSED: u32 = 5;
/// Time after which the servers of a control node that is down are waited for: they beat elsewhere by then.
const ADOPTED_AFTER: Duration = Duration::from_secs(10);
/// A tick this much later than the one before shows that this process stood still, and heard nobody.
const STOOD_STILL: Duration = Duration::from_millis(1500);
/// Time for which a gateway that is down counts among those that share a budget: it is longer than the window of any.
const KEEPS_PART: Duration = Duration::from_secs(30);
/// Time for which the whole entry of a server that ended, or of a process that is down, is told to whoever lacks it. After
/// that only its name is remembered, so that late updates cannot bring it back.
const TOLD: Duration = Duration::from_secs(600);
/// Time for which the whole entry of a control node that is down is kept: until then the others call it, for it may be back
/// and know none of them.
const LOOKED_FOR: Duration = Duration::from_secs(24 * 3600);
/// Time after which a server that says nothing is taken for ended. One that was cut off for so long and still runs counts
/// again after [`TOLD`]: its name is not remembered.
const SILENT_MOST: Duration = Duration::from_secs(24 * 3600);

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    pub id: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub capacity: u32,
    pub state: State,
    pub seq: u64,
}

pub struct Directory {
    me: Node,
    nodes: BTreeMap<String, Node>,
    servers: BTreeMap<String, Server>,
    /// Of each address, the server that has it.
    addresses: BTreeMap<String, String>,
    membership: Membership,
    /// When each server that beats here was last heard, and by which beat.
    heard: BTreeMap<String, (Duration, u64)>,
    /// Since when each process has been down.
    down: BTreeMap<String, Duration>,
    /// Since when servers are known of a control node that is not.
    unknown: BTreeMap<String, Duration>,
    /// The highest term of the duty of hearing: what is claimed under an earlier one is void.
    hearing: HearingTerm,
    /// Since when each server has ended whose entry is still here.
    ended: BTreeMap<String, Duration>,
    /// Since when each server has been silent.
    silent: BTreeMap<String, Duration>,
    /// Servers that ended, and processes that went down, a while ago.
    ended_before: Departed<State>,
    down_before: Departed<NodeRank>,
    beat_every: Duration,
    ticked: Duration,
    /// Rises with each change, for those who follow it.
    changes: u64,
    /// The entries' hashes, joined for each part.
    entries: [u64; BUCKETS],
}

impl Directory {
    pub fn new(me: Node, beat_every: Duration, now: Duration) -> Self {
        let (nodes, servers, addresses, membership, heard, down, unknown, hearing, ended) =
            Default::default();
        let (silent, ended_before, down_before) = Default::default();
        let mut directory = Directory {
            me: me.clone(),
            nodes,
            servers,
            addresses,
            membership,
            heard,
            down,
            unknown,
            hearing,
            ended,
            silent,
            ended_before,
            down_before,
            beat_every,
            ticked: now,
            changes: 0,
            entries: [0; BUCKETS],
        };
        directory.put_node(me, now);
        directory
    }

    pub fn me(&self) -> &Node {
        &self.me
    }

    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values()
    }

    pub fn node(&self, name: &str) -> Option<&Node> {
        self.nodes.get(name)
    }

    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    pub fn server(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The highest term of the duty of hearing that is known here.
    pub fn hearing(&self) -> &HearingTerm {
        &self.hearing
    }

    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Gateways that take clients' requests, those among them that were up of late: one that is down may be back before
    /// others know, and uses its part of what all share.
    pub fn fronts(&self, now: Duration) -> usize {
        let counts = |n: &Node| self.down.get(&n.name).is_none_or(|at| *at + KEEPS_PART > now);
        self.nodes.values().filter(|n| n.front && counts(n)).count()
    }

    /// What is down is left out: some have forgotten it, and others have not.
    fn node_hash(node: &Node) -> u64 {
        let (age, life, down) = node.rank();
        if down { 0 } else { hash(&[node.name.as_bytes(), &age.to_le_bytes(), &life.to_le_bytes()]) }
    }

    /// What has ended is left out: some have forgotten it, and others have not.
    fn server_hash(server: &Server) -> u64 {
        let counts = server.state < State::Gone;
        let (state, silence) = ([server.state as u8], server.silence.as_bytes());
        if counts { hash(&[server.id.as_bytes(), &server.seq.to_le_bytes(), &state, &silence]) } else { 0 }
    }

    /// The one place where a process's entry changes.
    fn put_node(&mut self, node: Node, now: Duration) {
        if node.down {
            self.down.entry(node.name.clone()).or_insert(now);
        } else {
            self.down.remove(&node.name);
        }
        self.unknown.remove(&node.name);
        self.down_before.remove(&node.name);
        let part = bucket(&node.name);
        self.entries[part] ^= Self::node_hash(&node);
        if let Some(before) = self.nodes.insert(node.name.clone(), node) {
            self.entries[part] ^= Self::node_hash(&before);
        }
        self.changes += 1;
    }

    /// Whether a server that is heard has this address.
    fn has_live_server(&self, address: &str) -> bool {
        let held = self.addresses.get(address).and_then(|id| self.servers.get(id));
        held.is_some_and(|s| s.state == State::Ready && !s.is_silent())
    }

    /// The one place where a server's entry changes.
    fn put_server(&mut self, server: Server, now: Duration) {
        if server.state == State::Gone {
            self.ended.entry(server.id.clone()).or_insert(now);
            self.heard.remove(&server.id);
            if self.addresses.get(&server.address) == Some(&server.id) {
                self.addresses.remove(&server.address);
            }
        } else if !server.is_silent() || !self.has_live_server(&server.address) {
            self.addresses.insert(server.address.clone(), server.id.clone());
        }
        if server.is_silent() && server.state < State::Gone {
            self.silent.entry(server.id.clone()).or_insert(now);
        } else {
            self.silent.remove(&server.id);
        }
        let part = bucket(&server.id);
        self.entries[part] ^= Self::server_hash(&server);
        if let Some(before) = self.servers.insert(server.id.clone(), server) {
            let valid = |s: &Server| s.silence.is_valid(&self.hearing);
            debug_assert!(
                !valid(&before) || before.rank() <= self.servers[&before.id].rank(),
                "an entry's rank only rises"
            );
            debug_assert!(valid(&self.servers[&before.id]), "what is claimed under an earlier term is void");
            self.entries[part] ^= Self::server_hash(&before);
        }
        self.changes += 1;
    }

    /// The one place where the term of the duty of hearing changes: it only rises. All that was claimed under
    /// earlier ones is void from here on; those servers stand in the answer as they were heard.
    fn raise_hearing(&mut self, term: HearingTerm, now: Duration) -> Vec<Update> {
        if term <= self.hearing {
            return Vec::new();
        }
        let part = bucket(HearingTerm::ENTRY);
        self.entries[part] ^= self.hearing.hash() ^ term.hash();
        self.hearing = term.clone();
        self.changes += 1;
        let void = self.servers.values().filter(|s| !s.silence.is_valid(&term));
        let heard: Vec<Server> = void.map(|s| Server { silence: Silence::Heard, ..s.clone() }).collect();
        heard.iter().for_each(|server| self.put_server(server.clone(), now));
        let heard = heard.into_iter().map(Update::Server);
        std::iter::once(Update::Hearing(term)).chain(heard).collect()
    }

    /// The term under which this process may take the duty of hearing: above all that it knows. None while others
    /// know a later membership.
    pub fn next_hearing(&self) -> Option<HearingTerm> {
        let (epoch, known) = (self.membership.epoch, &self.hearing);
        let round = if known.epoch == epoch { known.round + 1 } else { 1 };
        let holder = self.me.name.clone();
        (known.epoch <= epoch).then_some(HearingTerm { epoch, round, holder })
    }

    /// Takes over an entry if it is newer; what has to be told on stands in the answer: the entry itself, or
    /// what had to be said against it.
    pub fn learn(&mut self, updates: Update, now: Duration) -> Vec<Update> {
        match updates {
            Update::Membership(membership) => {
                if membership.epoch <= self.membership.epoch {
                    return Vec::new();
                }
                self.membership = membership;
                self.changes += 1;
                let mut told = vec![Update::Membership(self.membership.clone())];
                told.extend(self.raise_hearing(HearingTerm::of_epoch(self.membership.epoch), now));
                told
            }
            Update::Hearing(term) => self.raise_hearing(term, now),
            Update::Node(node) if node.name == self.me.name => {
                let other = node.life != self.me.life || node.down;
                if !other || node.rank() < self.me.rank() {
                    return Vec::new();
                }
                // Somebody takes us for gone, or knows an earlier life of ours.
                self.me.age = node.age + 1;
                self.put_node(self.me.clone(), now);
                vec![Update::Node(self.me.clone())]
            }
            Update::Node(node) => {
                if self.nodes.get(&node.name).is_some_and(|held| held.rank() >= node.rank())
                    || self.down_before.covers(&node.name, &node.rank())
                {
                    return Vec::new();
                }
                self.put_node(node.clone(), now);
                vec![Update::Node(node)]
            }
            Update::Server(mut server) => {
                let mut told = Vec::new();
                if let Silence::Claimed(term) = &server.silence {
                    told = self.raise_hearing(term.clone(), now);
                }
                // A claim under an earlier term is refused; that the server was heard before stands.
                if !server.silence.is_valid(&self.hearing) {
                    server.silence = Silence::Heard;
                }
                if self.servers.get(&server.id).is_some_and(|held| held.rank() >= server.rank())
                    || self.ended_before.covers(&server.id, &server.state)
                {
                    return told;
                }
                let held = self.servers.get(&server.id).filter(|_| server.service.is_empty());
                if let Some(held) = held.filter(|_| server.state == State::Gone) {
                    // Told by one that knows only its name.
                    server = Server { state: State::Gone, ..held.clone() };
                }
                told.extend(self.take_address(&server.id, &server.address, server.state, now));
                self.put_server(server.clone(), now);
                told.push(Update::Server(server));
                told
            }
        }
    }

    /// An address has one server: that of which was heard last. A new one ends the one before.
    fn take_address(&mut self, id: &str, address: &str, state: State, now: Duration) -> Vec<Update> {
        let new = !self.servers.contains_key(id) && state < State::Gone;
        let before = self.addresses.get(address).filter(|held| new && *held != id);
        let Some(before) = before.and_then(|held| self.servers.get(held)) else { return Vec::new() };
        // Of two that nobody has heard together, the one that is heard of as new may be the older one: only
        // what is silent or leaving is ended for certain; else the server itself tells, by 421.
        if !before.is_silent() && before.state == State::Ready && !self.heard.contains_key(id) {
            return Vec::new();
        }
        let ended = Server { state: State::Gone, ..before.clone() };
        self.put_server(ended.clone(), now);
        vec![Update::Server(ended)]
    }

    /// A server has said something of itself, here.
    pub fn beat(&mut self, beat: Heartbeat, now: Duration) -> Vec<Update> {
        let known = self.servers.get(&beat.id);
        let late = self.heard.get(&beat.id).is_some_and(|(_, seq)| *seq >= beat.seq);
        if known.is_some_and(|s| s.state == State::Gone) || self.ended_before.covers(&beat.id, &beat.state) {
            return Vec::new();
        }
        let seq = known.map_or(beat.seq, |s| s.seq.max(beat.seq));
        if beat.state < State::Gone && !late {
            self.heard.insert(beat.id.clone(), (now, beat.seq));
        }
        // The entry stems from this heartbeat, or from a later one that came elsewhere.
        let told_before = |s: &Server| s.seq >= beat.seq;
        let same = |s: &Server| !s.is_silent() && s.keeper == self.me.name;
        if known.is_some_and(|s| s.state >= beat.state && (late || told_before(s) || same(s))) {
            return Vec::new();
        }
        let state = known.map_or(beat.state, |s| s.state.max(beat.state));
        let mut told = self.take_address(&beat.id, &beat.address, beat.state, now);
        let server = Server {
            id: beat.id,
            service: beat.service,
            address: beat.address,
            zone: beat.zone,
            capacity: beat.capacity,
            state,
            seq,
            silence: Silence::Heard,
            keeper: self.me.name.clone(),
        };
        self.put_server(server.clone(), now);
        told.push(Update::Server(server));
        told
    }

    /// A server has said that it ends. One that nobody knows is remembered as ended all the same.
    pub fn left(&mut self, id: &str, now: Duration) -> Vec<Update> {
        let blank = || Server { state: State::Ready, ..self.ended_server(id) };
        let server = self.servers.get(id).cloned().unwrap_or_else(blank);
        if server.state == State::Gone || self.ended_before.rank(id).is_some() {
            return Vec::new();
        }
        let server = Server { state: State::Gone, silence: Silence::Heard, ..server };
        self.put_server(server.clone(), now);
        vec![Update::Server(server)]
    }

    /// A server of which only the name is known, and that it has ended.
    fn ended_server(&self, id: &str) -> Server {
        Server {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            capacity: 0,
            state: State::Gone,
            seq: 0,
            silence: Silence::Heard,
            keeper: self.me.name.clone(),
        }
    }

    /// A process that is watched from here does not answer.
    pub fn node_lost(&mut self, name: &str, now: Duration) -> Vec<Update> {
        let Some(node) = self.nodes.get(name).filter(|n| !n.down && n.name != self.me.name) else {
            return Vec::new();
        };
        let node = Node { down: true, ..node.clone() };
        self.put_node(node.clone(), now);
        vec![Update::Node(node)]
    }

    /// Since when the control node that heard a server is down, or known to nobody here.
    fn gone_since(&self, keeper: &str) -> Option<Duration> {
        self.down.get(keeper).or_else(|| self.unknown.get(keeper)).copied()
    }

    /// Whether a server has missed its heartbeats at a control node that is gone: what the duty of hearing is for.
    fn is_orphan(&self, server: &Server, now: Duration) -> bool {
        let waited = ADOPTED_AFTER + self.beat_every * MISSED;
        let gone = self.gone_since(&server.keeper).is_some_and(|at| at + waited < now);
        gone && server.state < State::Gone && !server.is_silent()
    }

    /// Whether the holder of the duty of hearing would have anything to say.
    pub fn has_orphans(&self, now: Duration) -> bool {
        self.servers.values().any(|s| self.is_orphan(s, now))
    }

    fn look_at_unknown(&mut self, now: Duration) {
        let keepers: BTreeSet<&String> =
            self.servers.values().filter(|s| s.state < State::Gone).map(|s| &s.keeper).collect();
        self.unknown.retain(|keeper, _| keepers.contains(keeper));
        for keeper in keepers.into_iter().filter(|k| !self.nodes.contains_key(*k)) {
            self.unknown.entry(keeper.clone()).or_insert(now);
        }
    }

    /// Of what has been gone for a while only the names are kept, and of those only the latest.
    fn forget_gone(&mut self, now: Duration) {
        let ended = self.ended.iter().filter(|(_, at)| **at + TOLD <= now);
        for id in ended.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.ended.remove(&id);
            // One that was only missed may still run, and counts again from its next heartbeat on.
            if self.servers.remove(&id).is_some_and(|server| !server.is_silent()) {
                self.ended_before.add(id, State::Gone, now);
            }
        }
        let has_disk = |name: &str| self.nodes.get(name).is_some_and(|n| n.disk.is_some());
        let kept = |name: &str| if has_disk(name) { LOOKED_FOR } else { TOLD };
        let down = self.down.iter().filter(|(name, at)| **at + kept(name) <= now && **name != self.me.name);
        for name in down.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
            self.down.remove(&name);
            if let Some(node) = self.nodes.remove(&name) {
                self.down_before.add(name, node.rank(), now);
            }
        }
        self.ended_before.forget(now);
        self.down_before.forget(now);
    }

    /// Whether a server that is silent has ended for certain: another one is heard at its address, or it has said nothing
    /// for longer than any cut lasts.
    fn has_ended(&self, server: &Server, now: Duration) -> bool {
        let Some(since) = self.silent.get(&server.id) else { return false };
        // It is not the one itself, which is silent.
        *since + SILENT_MOST <= now || self.has_live_server(&server.address)
    }

    /// Looks for servers that fell silent, as far as this process may say so.
    pub fn tick(&mut self, authority: &Authority, now: Duration) -> Vec<Update> {
        let still = now.saturating_sub(self.ticked) > STOOD_STILL;
        self.ticked = now;
        if still || *authority == Authority::None {
            // Nobody could be heard: missed heartbeats are counted anew.
            self.heard.values_mut().for_each(|(at, _)| *at = now);
        }
        self.forget_gone(now);
        if *authority == Authority::None {
            return Vec::new();
        }
        self.look_at_unknown(now);
        let silent_after = self.beat_every * MISSED;
        let mut silent = Vec::new();
        for s in self.servers.values().filter(|s| s.state < State::Gone && !s.is_silent()) {
            if s.keeper == self.me.name {
                let (at, seq) = *self.heard.entry(s.id.clone()).or_insert((now, s.seq));
                if at + silent_after < now {
                    silent.push(Server { silence: Silence::Missed, seq: s.seq.max(seq), ..s.clone() });
                }
            } else if let Authority::Holder(term) = authority
                && *term == self.hearing
                && self.is_orphan(s, now)
            {
                silent.push(Server { silence: Silence::Claimed(term.clone()), ..s.clone() });
            }
        }
        let speaks_for = |s: &Server| s.keeper == self.me.name || matches!(authority, Authority::Holder(_));
        let ended = self.silent.keys().filter_map(|id| self.servers.get(id));
        let ended = ended.filter(|s| speaks_for(s) && self.has_ended(s, now));
        silent.extend(ended.map(|s| Server { state: State::Gone, ..s.clone() }).collect::<Vec<_>>());
        for server in &silent {
            self.put_server(server.clone(), now);
        }
        silent.into_iter().map(Update::Server).collect()
    }

    pub fn digest(&self, version: u64) -> Digest {
        // Joined so that two parts that differ alike do not cancel out.
        let entries = self.entries.iter().fold(0u64, |all, e| all.rotate_left(5) ^ e);
        Digest { entries, epoch: self.membership.epoch, version, alone: false }
    }

    pub fn buckets(&self) -> Buckets {
        Buckets { entries: self.entries.to_vec(), epoch: self.membership.epoch }
    }

    /// The parts in which this one and another differ, a bit for each; all where it can't be told.
    pub fn differing(&self, other: &Buckets) -> u32 {
        let differs = |n: &usize| other.entries.get(*n) != Some(&self.entries[*n]);
        (0..BUCKETS).filter(differs).fold(0, |parts, n| parts | 1 << n)
    }

    pub fn summary(&self, parts: u32) -> Summary {
        let within = |name: &str| parts & (1 << bucket(name)) != 0;
        let servers = self.servers.iter().filter(|(id, s)| s.state < State::Gone && within(id));
        let nodes = self.nodes.iter().filter(|(name, n)| !n.down && within(name));
        Summary {
            parts,
            nodes: nodes.map(|(name, n)| (name.clone(), n.rank())).collect(),
            servers: servers.map(|(id, s)| (id.clone(), s.rank())).collect(),
            epoch: self.membership.epoch,
            hearing: self.hearing.clone(),
        }
    }

    /// What is newer here than what another knows, in the parts that it speaks of.
    pub fn newer_than(&self, summary: &Summary) -> Vec<Update> {
        let within = |name: &str| summary.parts & (1 << bucket(name)) != 0;
        let nodes = self.nodes.values().filter(|n| match summary.nodes.get(&n.name) {
            Some(rank) => *rank < n.rank(),
            // It may have forgotten what is down.
            None => within(&n.name) && (!n.down || self.is_told(&n.name)),
        });
        let servers = self.servers.values().filter(|s| match summary.servers.get(&s.id) {
            Some(rank) => *rank < s.rank(),
            // It may have forgotten what ended.
            None => s.state < State::Gone && within(&s.id),
        });
        let membership =
            (summary.epoch < self.membership.epoch).then(|| Update::Membership(self.membership.clone()));
        let hearing = (summary.hearing < self.hearing).then(|| Update::Hearing(self.hearing.clone()));
        let nodes = nodes.cloned().map(Update::Node);
        let ended = summary.servers.keys().filter(|id| self.ended_before.rank(id).is_some());
        let ended = ended.map(|id| Update::Server(self.ended_server(id)));
        let servers = servers.cloned().map(Update::Server).chain(ended);
        nodes.chain(servers).chain(membership).chain(hearing).collect()
    }

    /// Whether a process went down so lately that others are told of it.
    fn is_told(&self, name: &str) -> bool {
        self.down.get(name).is_some_and(|at| *at + TOLD > self.ticked)
    }

    /// What is to be said against an update that is older than what is known here: of what is down or has ended no digest
    /// speaks, so that whoever tells of it as running would not hear otherwise.
    pub fn against(&self, update: &Update) -> Option<Update> {
        match update {
            Update::Node(node) => {
                let rank = match self.nodes.get(&node.name) {
                    Some(held) => held.rank(),
                    None => *self.down_before.rank(&node.name)?,
                };
                let (age, life, down) = rank;
                let is_older = down && rank > node.rank();
                is_older.then(|| Update::Node(Node { age, life, down, ..node.clone() }))
            }
            Update::Server(server) if server.state < State::Gone => match self.servers.get(&server.id) {
                Some(held) => (held.state == State::Gone).then(|| Update::Server(held.clone())),
                None => {
                    let ended = self.ended_before.rank(&server.id).is_some();
                    ended.then(|| Update::Server(self.ended_server(&server.id)))
                }
            },
            _ => None,
        }
    }

    /// How many names of what is gone are remembered beside the entries.
    pub fn remembered(&self) -> usize {
        self.ended_before.len() + self.down_before.len()
    }

    /// Whether an update is in force here, or something that stands above it. A term of the duty of hearing is in
    /// force only as long as it is the highest.
    pub fn knows(&self, update: &Update) -> bool {
        match update {
            Update::Node(node) => self.nodes.get(&node.name).is_some_and(|n| n.rank() >= node.rank()),
            Update::Server(server) => match self.servers.get(&server.id) {
                Some(held) => held.rank() >= server.rank(),
                None => server.state == State::Gone || self.ended_before.rank(&server.id).is_some(),
            },
            Update::Membership(membership) => self.membership.epoch >= membership.epoch,
            Update::Hearing(term) => self.hearing == *term,
        }
    }

    /// Whether another knows something newer than this one does.
    pub fn is_behind(&self, summary: &Summary) -> bool {
        let node = |(name, rank): (&String, &NodeRank)| match self.nodes.get(name) {
            Some(node) => node.rank() < *rank,
            None => !self.down_before.covers(name, rank),
        };
        let server = |(id, rank): (&String, &ServerRank)| match self.servers.get(id) {
            Some(server) => server.rank() < *rank,
            None => self.ended_before.rank(id).is_none(),
        };
        summary.epoch > self.membership.epoch
            || summary.hearing > self.hearing
            || summary.nodes.iter().any(node)
            || summary.servers.iter().any(server)
    }
}
