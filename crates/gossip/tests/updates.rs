//! Directories under random load: servers come, beat, leave and crash; updates are lost, doubled, late and in any order;
//! processes restart with nothing. What must hold is checked all along, and agreement once the updates get through.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_gossip::{
    BucketSet, Directory, Heartbeat, Liveness, LivenessAuthority, Node, OrphanMonitorTerm, Role, ServerState,
    Update, select_peers,
};
use ashvane_identifiers::{Address, NodeName, ServerId, Zone};
use ashvane_quorum::Membership;

const BEAT: Duration = Duration::from_millis(1000);

fn node(number: usize, incarnation: u64) -> Node {
    Node {
        name: format!("n{number}").into(),
        incarnation,
        generation: 1,
        is_down: false,
        address: format!("10.0.0.{number}:7000").into(),
        control_address: None,
        zone: format!("z{}", number % 3).into(),
        is_gateway: number >= 4,
        disk: (number < 4).then(|| format!("disk-{number}").into()),
    }
}

struct Hall {
    rng: fastrand::Rng,
    now: Duration,
    directories: Vec<Directory>,
    lives: u64,
    /// On their way: to whom, and what.
    updates: Vec<(usize, Vec<Update>)>,
    /// Servers that live, with the number of their next beat.
    servers: BTreeMap<ServerId, (Heartbeat, u64)>,
    /// Those whose word that they leave was taken in by some directory that still has it.
    leaving: BTreeSet<ServerId>,
    born: u64,
    /// The term that each believes to hold; some have been overtaken and don't know it.
    holding: Vec<Option<OrphanMonitorTerm>>,
}

impl Hall {
    fn new(seed: u64, directories: usize) -> Self {
        let start = |n| Directory::new(node(n, n as u64), BEAT, Duration::ZERO);
        Hall {
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            directories: (0..directories).map(start).collect(),
            lives: 1000,
            updates: Vec::new(),
            servers: BTreeMap::new(),
            leaving: BTreeSet::new(),
            born: 0,
            holding: vec![None; directories],
        }
    }

    /// Two of them take the duty of hearing time and again, whatever the other one does.
    fn authority(&mut self, at: usize) -> LivenessAuthority {
        if at < 2
            && self.rng.usize(0..10) == 0
            && let Some(term) = self.directories[at].next_orphan_monitor_term()
        {
            let told = self.directories[at].apply(Update::OrphanMonitor(term.clone()), self.now);
            self.tell(at, told);
            self.holding[at] = Some(term);
        }
        match (at < 4 && self.rng.usize(0..10) > 0, self.holding[at].clone()) {
            (false, _) => LivenessAuthority::None,
            (true, Some(term)) => LivenessAuthority::MonitoredAndOrphans(term),
            (true, None) => LivenessAuthority::Monitored,
        }
    }

    fn tell(&mut self, from: usize, updates: Vec<Update>) {
        if updates.is_empty() {
            return;
        }
        for to in (0..self.directories.len()).filter(|to| *to != from) {
            // Lost, once or twice.
            for _ in 0..self.rng.usize(0..3) {
                self.updates.push((to, updates.clone()));
            }
        }
    }

    fn send_heartbeat(&mut self, id: &ServerId, state: ServerState) {
        let at = self.rng.usize(0..4);
        let Some((beat, seq)) = self.servers.get_mut(id) else { return };
        *seq += 1;
        let beat = Heartbeat { state, sequence: *seq, ..beat.clone() };
        let told = self.directories[at].record_heartbeat(beat, self.now);
        if state == ServerState::Draining {
            self.leaving.insert(id.clone());
        }
        self.tell(at, told);
    }

    /// A gap is mended by ranks, as between two neighbours.
    fn compare(&mut self, a: usize, b: usize) {
        for (from, to) in [(a, b), (b, a)] {
            let parts = self.directories[from].differing_buckets(&self.directories[to].bucket_digests());
            let updates = self.directories[from].updates_missing_from(&self.directories[to].summary(parts));
            for updates in updates {
                self.directories[to].apply(updates, self.now);
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "not done yet: The rest reads as well")]
    fn step(&mut self, crashes: bool) {
        self.now += Duration::from_millis(self.rng.u64(1..120));
        match self.rng.usize(0..100) {
            0..5 => {
                self.born += 1;
                let id = ServerId::from(format!("s{}", self.born));
                let address = Address::from(format!("10.1.0.{}:80", self.rng.u32(0..30)));
                let taken = self.servers.values().any(|(b, _)| b.address == address);
                let service = format!("v{}", self.born % 3);
                let beat = Heartbeat {
                    id: id.clone(),
                    service: service.into(),
                    address,
                    zone: "z0".into(),
                    capacity: 2,
                    state: ServerState::Ready,
                    sequence: 0,
                };
                if !taken {
                    self.servers.insert(id.clone(), (beat, 0));
                    self.send_heartbeat(&id, ServerState::Ready);
                }
            }
            5..35 if !self.servers.is_empty() => {
                let at = self.rng.usize(0..self.servers.len());
                let id = self.servers.keys().nth(at).cloned().unwrap_or_default();
                let state =
                    if self.leaving.contains(&id) { ServerState::Draining } else { ServerState::Ready };
                self.send_heartbeat(&id, state);
            }
            35..37 if !self.servers.is_empty() => {
                let at = self.rng.usize(0..self.servers.len());
                let id = self.servers.keys().nth(at).cloned().unwrap_or_default();
                self.send_heartbeat(&id, ServerState::Draining);
            }
            37..39 if crashes => {
                let at = self.rng.usize(0..self.directories.len());
                self.lives += 1;
                let life = self.lives;
                self.directories[at] = Directory::new(node(at, life), BEAT, self.now);
                self.holding[at] = None;
            }
            39..42 if crashes => {
                let (from, of) =
                    (self.rng.usize(0..self.directories.len()), self.rng.usize(0..self.directories.len()));
                let told = self.directories[from].mark_down(&format!("n{of}").into(), self.now);
                self.tell(from, told);
            }
            42..60 => {
                let at = self.rng.usize(0..self.directories.len());
                let authority = self.authority(at);
                let told = self.directories[at].tick(&authority, self.now);
                self.tell(at, told);
            }
            60..70 => {
                let (a, b) =
                    (self.rng.usize(0..self.directories.len()), self.rng.usize(0..self.directories.len()));
                self.compare(a, b);
            }
            _ if !self.updates.is_empty() => {
                let at = self.rng.usize(0..self.updates.len());
                let (to, updates) = self.updates.swap_remove(at);
                let told: Vec<Update> =
                    updates.into_iter().flat_map(|n| self.directories[to].apply(n, self.now)).collect();
                self.tell(to, told);
            }
            _ => {}
        }
        if self.updates.len() > 200 {
            self.updates.truncate(100);
        }
    }

    /// All compare with all until nothing changes.
    fn settle(&mut self) {
        self.updates.clear();
        for _ in 0..4 {
            for a in 0..self.directories.len() {
                for b in 0..a {
                    self.compare(a, b);
                }
            }
        }
    }
}

#[test]
fn all_agree_once_news_gets_through_and_a_leaving_server_never_comes_back() {
    for seed in 0..16 {
        let mut hall = Hall::new(seed, 8);
        for _ in 0..1200 {
            let before: Vec<BTreeMap<ServerId, ServerState>> = hall.directories.iter().map(states).collect();
            let lives: Vec<u64> = hall.directories.iter().map(|b| b.own_node().incarnation).collect();
            hall.step(seed % 2 == 0);
            for (n, directory) in
                hall.directories.iter().enumerate().filter(|(n, b)| b.own_node().incarnation == lives[*n])
            {
                let now = states(directory);
                assert!(before[n].iter().all(|(id, state)| now.get(id) >= Some(state)), "seed {seed}");
            }
        }
        hall.settle();
        let digests: BTreeSet<u64> = hall.directories.iter().map(|b| b.digest(0).entries).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
        let all = hall.directories.iter().flat_map(|b| b.servers());
        let held: Vec<_> = all.filter(|s| hall.leaving.contains(&s.id)).collect();
        if seed % 2 == 1 {
            // Nobody has lost what it knew, so every word that a server leaves is known to all.
            assert!(!held.is_empty() && held.iter().all(|s| s.state > ServerState::Ready), "seed {seed}");
        }
    }
}

fn states(directory: &Directory) -> BTreeMap<ServerId, ServerState> {
    directory.servers().map(|s| (s.id.clone(), s.state)).collect()
}

fn heartbeat(id: &str, address: &str, state: ServerState, sequence: u64) -> Heartbeat {
    let (service, zone) = ("v".into(), "z0".into());
    Heartbeat { id: id.into(), service, address: address.into(), zone, capacity: 2, state, sequence }
}

#[test]
fn late_beats_change_nothing() {
    let mut directory = Directory::new(node(0, 1), BEAT, Duration::ZERO);
    assert_eq!(directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 5), BEAT).len(), 1);
    assert!(directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Draining, 6), BEAT).len() == 1);
    assert!(directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 4), BEAT).is_empty());
    assert_eq!(directory.server(&"a".into()).map(|s| s.state), Some(ServerState::Draining));
    directory.deregister(&"a".into(), BEAT);
    assert!(
        directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 7), BEAT).is_empty(),
        "it has ended"
    );
    // One that nobody knew: a late beat of it does not bring it to life.
    directory.deregister(&"b".into(), BEAT);
    assert!(directory.record_heartbeat(heartbeat("b", "x:2", ServerState::Ready, 3), BEAT).is_empty());
}

#[test]
fn silence_is_told_after_missed_beats_but_not_after_a_standstill() {
    let mut directory = Directory::new(node(0, 1), BEAT, Duration::ZERO);
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let mut at = Duration::ZERO;
    let mut told = Vec::new();
    while told.is_empty() && at < BEAT * 20 {
        at += BEAT / 4;
        told = directory.tick(&LivenessAuthority::Monitored, at);
    }
    assert!(at > BEAT * 4 && at < BEAT * 7, "{at:?}");
    assert!(matches!(&told[..], [Update::Server(s)] if s.has_timed_out() && s.state == ServerState::Ready));
    assert_eq!(
        directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 2), at).len(),
        1,
        "it is heard again"
    );
    // This process stood still for longer than everything.
    assert!(directory.tick(&LivenessAuthority::Monitored, at + BEAT * 100).is_empty());
}

#[test]
fn a_new_server_at_an_address_ends_the_one_that_left_it() {
    let mut directory = Directory::new(node(0, 1), BEAT, Duration::ZERO);
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let told = directory.record_heartbeat(heartbeat("b", "x:1", ServerState::Ready, 1), BEAT);
    assert_eq!(told.len(), 2);
    assert_eq!(directory.server(&"a".into()).map(|s| s.state), Some(ServerState::Terminated));
}

#[test]
fn a_process_taken_for_gone_says_that_it_is_there() {
    let (mut here, mut there) =
        (Directory::new(node(0, 1), BEAT, BEAT), Directory::new(node(1, 2), BEAT, BEAT));
    there.apply(Update::Node(here.own_node().clone()), BEAT);
    let told = there.mark_down(&"n0".into(), BEAT);
    let answer = told.into_iter().flat_map(|n| here.apply(n, BEAT)).collect::<Vec<_>>();
    for updates in answer {
        there.apply(updates, BEAT);
    }
    assert!(there.node(&"n0".into()).is_some_and(|n| !n.is_down && n.generation == 2));
}

/// Guards against a set of peers that leaves somebody alone, or that grows with the number of processes.
#[test]
fn partners_are_few_reach_all_and_move_little() {
    let nodes: Vec<Node> = (0..60).map(|n| node(n, n as u64)).collect();
    let of = |me: &Node, nodes: &[Node]| -> BTreeSet<NodeName> {
        select_peers(me, nodes.iter(), 2, |_| true).into_iter().map(|n| n.name.clone()).collect()
    };
    let (mut called, mut moved) = (BTreeSet::new(), 0);
    let without: Vec<Node> = nodes.iter().filter(|n| n.name != "n17").cloned().collect();
    for me in &nodes {
        let mine = of(me, &nodes);
        assert!(mine.len() <= 5 && !mine.contains(&me.name));
        if me.role() == Role::Gateway {
            let control_nodes: Vec<&Node> =
                nodes.iter().filter(|n| mine.contains(&n.name) && n.disk.is_some()).collect();
            let zones: BTreeSet<&Zone> = control_nodes.iter().map(|n| &n.zone).collect();
            assert!(
                control_nodes.len() == 3 && zones.len() == 3,
                "one more than may be lost, of several zones"
            );
        }
        moved += mine.symmetric_difference(&of(me, &without)).filter(|n| *n != "n17").count();
        called.extend(mine);
    }
    assert!(called.len() > 30, "{} are called by somebody", called.len());
    assert!(moved < 10, "{moved} moved for one that left");
}

/// Guards against a machine that was wiped and came back before it was missed: both its lives have age 1, and whoever knew
/// the first one counted its old disk as live for good.
#[test]
fn of_two_lives_under_one_age_the_one_that_runs_is_known_in_the_end() {
    for (earlier, later) in [(1, 2), (2, 1)] {
        let disk = |incarnation: u64| Some(format!("disk of incarnation {incarnation}").into());
        let own = |life| Node { disk: disk(life), ..node(3, life) };
        let mut other = Directory::new(node(0, 9), BEAT, Duration::ZERO);
        other.apply(Update::Node(own(earlier)), Duration::ZERO);
        let mut back = Directory::new(own(later), BEAT, Duration::ZERO);
        for _ in 0..3 {
            let (mine, theirs) = (back.summary(BucketSet::ALL), other.summary(BucketSet::ALL));
            back.updates_missing_from(&theirs).into_iter().for_each(|n| drop(other.apply(n, Duration::ZERO)));
            other.updates_missing_from(&mine).into_iter().for_each(|n| drop(back.apply(n, Duration::ZERO)));
        }
        let known = other.nodes().find(|n| n.name == "n3").expect("known");
        assert_eq!((&known.disk, known.incarnation), (&disk(later), later), "{} after {}", later, earlier);
        assert_eq!(back.digest(1), other.digest(1));
    }
}

/// Guards against a control node that is cut off and takes for silent what it merely can't hear.
#[test]
fn who_may_be_cut_off_calls_nobody_silent_and_counts_anew_afterwards() {
    let mut directory = Directory::new(node(0, 1), BEAT, Duration::ZERO);
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let mut at = Duration::ZERO;
    let mut ticks = |authority, until| {
        while at < until {
            at += BEAT / 4;
            if !directory.tick(authority, at).is_empty() {
                return Some(at);
            }
        }
        None
    };
    assert_eq!(ticks(&LivenessAuthority::None, BEAT * 30), None);
    let silent = ticks(&LivenessAuthority::Monitored, BEAT * 60).expect("it is back, and the server is not");
    assert!(silent > BEAT * 34, "{silent:?}");
}

/// A directory that knows a server of `n1`, which has been down for long.
fn with_an_orphan(number: usize) -> Directory {
    let mut directory = Directory::new(node(number, number as u64), BEAT, Duration::ZERO);
    let mut lost = Directory::new(node(1, 1), BEAT, Duration::ZERO);
    let updates = lost.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let known = std::iter::once(Update::Node(lost.own_node().clone())).chain(updates);
    known.for_each(|update| drop(directory.apply(update, Duration::ZERO)));
    directory.mark_down(&"n1".into(), Duration::ZERO);
    directory
}

fn silence(directory: &Directory) -> Liveness {
    directory.server(&"a".into()).expect("known").liveness.clone()
}

/// Guards against a holder of the duty of hearing that was overtaken and does not know it: what it claims is refused by
/// whoever knows the later term, void for whoever took it in before, and all agree.
#[test]
fn a_claim_under_an_earlier_term_is_refused_and_void() {
    let late = BEAT * 40;
    let (mut stale, mut other, mut newer) = (with_an_orphan(0), with_an_orphan(2), with_an_orphan(3));
    let earlier = stale.next_orphan_monitor_term().expect("a term");
    stale.apply(Update::OrphanMonitor(earlier.clone()), late);
    assert!(stale.tick(&LivenessAuthority::Monitored, late).is_empty(), "without the duty it says nothing");
    let claim = stale.tick(&LivenessAuthority::MonitoredAndOrphans(earlier.clone()), late);
    assert_eq!(silence(&stale), Liveness::DeclaredTimedOut(earlier.clone()));
    // One takes the claim in, another has learnt of a later term.
    claim.iter().for_each(|update| drop(other.apply(update.clone(), late)));
    assert_eq!(silence(&other), Liveness::DeclaredTimedOut(earlier.clone()));
    newer.apply(Update::OrphanMonitor(earlier.clone()), late);
    let later = newer.next_orphan_monitor_term().expect("a term");
    assert!(later > earlier);
    newer.apply(Update::OrphanMonitor(later.clone()), late);
    claim.iter().for_each(|update| drop(newer.apply(update.clone(), late)));
    assert_eq!(silence(&newer), Liveness::Alive, "a claim under an earlier term is refused");
    assert!(!newer.has_applied(&Update::OrphanMonitor(earlier)), "an earlier term is not confirmed");
    other.apply(Update::OrphanMonitor(later.clone()), late);
    assert_eq!(silence(&other), Liveness::Alive, "what was claimed under an earlier term is void");
    stale.apply(Update::OrphanMonitor(later.clone()), late);
    assert_eq!(silence(&stale), Liveness::Alive);
    assert_eq!(
        newer.tick(&LivenessAuthority::MonitoredAndOrphans(later), late).len(),
        1,
        "the holder says it anew"
    );
}

/// Guards against a claim that outlasts the membership it was made in, and one that stands above a server's own word.
#[test]
fn a_claim_ends_with_its_membership_and_with_the_next_heartbeat() {
    let late = BEAT * 40;
    let mut directory = with_an_orphan(0);
    let membership = |epoch| Update::Membership(Membership { epoch, members: Vec::new() });
    directory.apply(membership(1), late);
    let term = directory.next_orphan_monitor_term().expect("a term");
    directory.apply(Update::OrphanMonitor(term.clone()), late);
    directory.tick(&LivenessAuthority::MonitoredAndOrphans(term.clone()), late);
    assert_eq!(silence(&directory), Liveness::DeclaredTimedOut(term.clone()));
    directory.apply(membership(2), late);
    assert_eq!(silence(&directory), Liveness::Alive);
    assert!(
        directory.tick(&LivenessAuthority::MonitoredAndOrphans(term), late).is_empty(),
        "the term has ended"
    );
    let term = directory.next_orphan_monitor_term().expect("a term");
    directory.apply(Update::OrphanMonitor(term.clone()), late);
    directory.tick(&LivenessAuthority::MonitoredAndOrphans(term), late);
    assert!(directory.server(&"a".into()).is_some_and(|s| s.has_timed_out()));
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 2), late);
    assert_eq!(silence(&directory), Liveness::Alive);
}

/// Guards against a gateway that starts after many were lost at once and takes the parts of those that will be back.
#[test]
fn a_gateway_that_is_down_keeps_its_part_for_a_while() {
    let mut other = Directory::new(node(0, 1), BEAT, Duration::ZERO);
    (4..24).for_each(|n| drop(other.apply(Update::Node(node(n, n as u64)), Duration::ZERO)));
    (4..16).for_each(|n| drop(other.mark_down(&format!("n{n}").into(), Duration::ZERO)));
    // It learns of all of them at once, later.
    let (late, mut new) = (BEAT * 20, Directory::new(node(4, 99), BEAT, BEAT * 20));
    other
        .updates_missing_from(&new.summary(BucketSet::ALL))
        .into_iter()
        .for_each(|update| drop(new.apply(update, late)));
    assert_eq!((new.gateways_sharing_budgets(late), new.gateways_sharing_budgets(late + BEAT * 60)), (20, 9));
}
