//! What one process knows, and how it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_quorum::Membership;

use crate::{BUCKETS, Buckets, Digest, Node, NodeRank, Server, State, Summary, Update, bucket, hash};

/// Beats missed in a row after which a server counts as silent: one or two are lost when its keeper changes.
const MISSED: u32 = 5;
/// Time after which another process hears for the servers of one that is down: theirs beat elsewhere by then.
const ADOPTED_AFTER: Duration = Duration::from_secs(10);
/// A tick this much later than the one before shows that this process stood still, and heard nobody.
const STOOD_STILL: Duration = Duration::from_millis(1500);
/// Time for which a server that ended is remembered, so that late updates cannot bring it back.
const REMEMBERED: Duration = Duration::from_secs(600);

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
    ended: BTreeMap<String, Duration>,
    beat_every: Duration,
    ticked: Duration,
    /// Rises with each change, for those who follow it.
    changes: u64,
    /// The entries' hashes, joined for each part.
    entries: [u64; BUCKETS],
}

impl Directory {
    pub fn new(me: Node, beat_every: Duration, now: Duration) -> Self {
        let (nodes, servers, addresses, membership, heard, down, ended) = Default::default();
        let mut directory = Directory {
            me: me.clone(),
            nodes,
            servers,
            addresses,
            membership,
            heard,
            down,
            ended,
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

    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Gatherers that take clients' requests and are not known to be down.
    pub fn fronts(&self) -> usize {
        self.nodes.values().filter(|n| n.front && !n.down).count()
    }

    fn node_hash(node: &Node) -> u64 {
        let (age, life, down) = node.rank();
        hash(&[node.name.as_bytes(), &age.to_le_bytes(), &life.to_le_bytes(), &[u8::from(down)]])
    }

    /// What has ended is left out: some have forgotten it, and others have not.
    fn server_hash(server: &Server) -> u64 {
        let tail = [server.state as u8, u8::from(server.silent)];
        let counts = server.state < State::Gone;
        if counts { hash(&[server.id.as_bytes(), &server.seq.to_le_bytes(), &tail]) } else { 0 }
    }

    /// The one place where a process's entry changes.
    fn put_node(&mut self, node: Node, now: Duration) {
        if node.down {
            self.down.entry(node.name.clone()).or_insert(now);
        } else {
            self.down.remove(&node.name);
        }
        let part = bucket(&node.name);
        self.entries[part] ^= Self::node_hash(&node);
        if let Some(before) = self.nodes.insert(node.name.clone(), node) {
            self.entries[part] ^= Self::node_hash(&before);
        }
        self.changes += 1;
    }

    /// The one place where a server's entry changes.
    fn put_server(&mut self, server: Server, now: Duration) {
        if server.state == State::Gone {
            self.ended.entry(server.id.clone()).or_insert(now);
            self.heard.remove(&server.id);
            if self.addresses.get(&server.address) == Some(&server.id) {
                self.addresses.remove(&server.address);
            }
        } else {
            self.addresses.insert(server.address.clone(), server.id.clone());
        }
        let part = bucket(&server.id);
        self.entries[part] ^= Self::server_hash(&server);
        if let Some(before) = self.servers.insert(server.id.clone(), server) {
            debug_assert!(before.rank() <= self.servers[&before.id].rank(), "an entry's rank only rises");
            self.entries[part] ^= Self::server_hash(&before);
        }
        self.changes += 1;
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
                vec![Update::Membership(self.membership.clone())]
            }
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
                if self.nodes.get(&node.name).is_some_and(|held| held.rank() >= node.rank()) {
                    return Vec::new();
                }
                self.put_node(node.clone(), now);
                vec![Update::Node(node)]
            }
            Update::Server(server) => {
                if self.servers.get(&server.id).is_some_and(|held| held.rank() >= server.rank()) {
                    return Vec::new();
                }
                let mut told = self.take_address(&server.id, &server.address, server.state, now);
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
        if !before.silent && before.state == State::Ready && !self.heard.contains_key(id) {
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
        if known.is_some_and(|s| s.state == State::Gone) {
            return Vec::new();
        }
        let seq = known.map_or(beat.seq, |s| s.seq.max(beat.seq));
        if beat.state < State::Gone && !late {
            self.heard.insert(beat.id.clone(), (now, beat.seq));
        }
        let same = |s: &Server| s.state >= beat.state && !s.silent && s.keeper == self.me.name;
        if known.is_some_and(|s| same(s) || (late && s.state >= beat.state)) {
            return Vec::new();
        }
        let state = known.map_or(beat.state, |s| s.state.max(beat.state));
        // One more than what was told before, so that this entry stands above it even where its number is not.
        let seq = known.map_or(seq, |s| seq.max(s.seq + 1));
        let mut told = self.take_address(&beat.id, &beat.address, beat.state, now);
        let server = Server {
            id: beat.id,
            service: beat.service,
            address: beat.address,
            zone: beat.zone,
            capacity: beat.capacity,
            state,
            seq,
            silent: false,
            keeper: self.me.name.clone(),
        };
        self.put_server(server.clone(), now);
        told.push(Update::Server(server));
        told
    }

    /// A server has said that it ends. One that nobody knows is remembered as ended all the same.
    pub fn left(&mut self, id: &str, now: Duration) -> Vec<Update> {
        let blank = || Server {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            capacity: 0,
            state: State::Ready,
            seq: 0,
            silent: false,
            keeper: self.me.name.clone(),
        };
        let server = self.servers.get(id).cloned().unwrap_or_else(blank);
        if server.state == State::Gone {
            return Vec::new();
        }
        let server = Server { state: State::Gone, ..server };
        self.put_server(server.clone(), now);
        vec![Update::Server(server)]
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

    /// Looks for servers that fell silent. `first`: whether this process has the duty to hear for the servers
    /// of those that are down.
    pub fn tick(&mut self, first: bool, now: Duration) -> Vec<Update> {
        let (still, silent_after) = (now.saturating_sub(self.ticked) > STOOD_STILL, self.beat_every * MISSED);
        self.ticked = now;
        if still {
            self.heard.values_mut().for_each(|(at, _)| *at = now);
        }
        let kept = |at: &Duration| *at + REMEMBERED > now;
        let forgotten: BTreeSet<_> =
            self.ended.iter().filter(|(_, at)| !kept(at)).map(|(id, _)| id.clone()).collect();
        self.ended.retain(|_, at| kept(at));
        self.servers.retain(|id, _| !forgotten.contains(id));
        let orphan = |s: &Server| {
            let gone = self.down.get(&s.keeper).is_some_and(|at| *at + ADOPTED_AFTER < now);
            first && (gone || !self.nodes.contains_key(&s.keeper))
        };
        let mine = |s: &&Server| s.state < State::Gone && !s.silent;
        let mut changed = Vec::new();
        for s in self.servers.values().filter(mine) {
            if s.keeper == self.me.name {
                let (at, seq) = *self.heard.entry(s.id.clone()).or_insert((now, s.seq));
                if at + silent_after < now {
                    changed.push(Server { silent: true, seq: s.seq.max(seq), ..s.clone() });
                }
            } else if orphan(s) {
                changed.push(Server { keeper: self.me.name.clone(), seq: s.seq + 1, ..s.clone() });
            }
        }
        for server in &changed {
            self.put_server(server.clone(), now);
        }
        changed.into_iter().map(Update::Server).collect()
    }

    pub fn digest(&self, version: u64) -> Digest {
        // Joined so that two parts that differ alike do not cancel out.
        let entries = self.entries.iter().fold(0u64, |all, e| all.rotate_left(5) ^ e);
        Digest { entries, epoch: self.membership.epoch, version }
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
        let nodes = self.nodes.iter().filter(|(name, _)| within(name));
        Summary {
            parts,
            nodes: nodes.map(|(name, n)| (name.clone(), n.rank())).collect(),
            servers: servers.map(|(id, s)| (id.clone(), s.rank())).collect(),
            epoch: self.membership.epoch,
        }
    }

    /// What is newer here than what another knows, in the parts that it speaks of.
    pub fn newer_than(&self, summary: &Summary) -> Vec<Update> {
        let within = |name: &str| summary.parts & (1 << bucket(name)) != 0;
        let newer = |n: &&Node| within(&n.name) && summary.nodes.get(&n.name).is_none_or(|r| *r < n.rank());
        let nodes = self.nodes.values().filter(newer);
        let servers = self.servers.values().filter(|s| match summary.servers.get(&s.id) {
            Some(rank) => *rank < s.rank(),
            // It may have forgotten what ended.
            None => s.state < State::Gone && within(&s.id),
        });
        let membership =
            (summary.epoch < self.membership.epoch).then(|| Update::Membership(self.membership.clone()));
        let nodes = nodes.cloned().map(Update::Node);
        nodes.chain(servers.cloned().map(Update::Server)).chain(membership).collect()
    }

    /// Whether another knows something newer than this one does.
    pub fn is_behind(&self, summary: &Summary) -> bool {
        let node = |(name, rank): (&String, &NodeRank)| self.nodes.get(name).is_none_or(|n| n.rank() < *rank);
        let server = |(id, rank): (&String, &(State, u64, bool))| {
            self.servers.get(id).is_none_or(|s| s.rank() < *rank)
        };
        summary.epoch > self.membership.epoch
            || summary.nodes.iter().any(node)
            || summary.servers.iter().any(server)
    }
}
