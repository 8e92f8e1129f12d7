//! Directories under random load: servers start, send heartbeats, drain and crash, updates are lost,
//! duplicated, delayed and reordered, and processes restart without state. Checks the invariants after each
//! step, and that the directories converge once updates are delivered.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ashvane_gossip::{
    BucketSet, Directory, Heartbeat, Liveness, LivenessAuthority, Node, OrphanMonitorTerm, Role, ServerState,
    Update, select_peers,
};
use ashvane_identifiers::{Address, NodeName, ServerId, Zone};
use ashvane_quorum::Membership;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

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

struct Simulation {
    rng: fastrand::Rng,
    now: Duration,
    directories: Vec<Directory>,
    last_incarnation: u64,
    /// Updates in flight, with the index of the receiving directory.
    in_flight: Vec<(usize, Vec<Update>)>,
    /// Running servers, with the sequence number of their last heartbeat.
    servers: BTreeMap<ServerId, (Heartbeat, u64)>,
    /// Servers that have sent a heartbeat in the draining state.
    draining: BTreeSet<ServerId>,
    server_count: u64,
    /// The term of the orphan monitor that each process believes to hold. It may have been superseded without
    /// the process knowing.
    held_terms: Vec<Option<OrphanMonitorTerm>>,
}

impl Simulation {
    fn new(seed: u64, directories: usize) -> Self {
        let start = |n| Directory::new(node(n, n as u64), HEARTBEAT_INTERVAL, Duration::ZERO);
        Simulation {
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            directories: (0..directories).map(start).collect(),
            last_incarnation: 1000,
            in_flight: Vec::new(),
            servers: BTreeMap::new(),
            draining: BTreeSet::new(),
            server_count: 0,
            held_terms: vec![None; directories],
        }
    }

    /// Returns the authority of a process. Two processes repeatedly take the role of the orphan monitor from
    /// each other.
    fn authority(&mut self, at: usize) -> LivenessAuthority {
        if at < 2
            && self.rng.usize(0..10) == 0
            && let Some(term) = self.directories[at].next_orphan_monitor_term()
        {
            let updates = self.directories[at].apply(Update::OrphanMonitor(term.clone()), self.now);
            self.send(at, updates);
            self.held_terms[at] = Some(term);
        }
        match (at < 4 && self.rng.usize(0..10) > 0, self.held_terms[at].clone()) {
            (false, _) => LivenessAuthority::None,
            (true, Some(term)) => LivenessAuthority::MonitoredAndOrphans(term),
            (true, None) => LivenessAuthority::Monitored,
        }
    }

    fn send(&mut self, from: usize, updates: Vec<Update>) {
        if updates.is_empty() {
            return;
        }
        for to in (0..self.directories.len()).filter(|to| *to != from) {
            // The update is lost, delivered once, or delivered twice.
            for _ in 0..self.rng.usize(0..3) {
                self.in_flight.push((to, updates.clone()));
            }
        }
    }

    fn send_heartbeat(&mut self, id: &ServerId, state: ServerState) {
        let at = self.rng.usize(0..4);
        let Some((heartbeat, sequence)) = self.servers.get_mut(id) else { return };
        *sequence += 1;
        let heartbeat = Heartbeat { state, sequence: *sequence, ..heartbeat.clone() };
        let updates = self.directories[at].record_heartbeat(heartbeat, self.now);
        if state == ServerState::Draining {
            self.draining.insert(id.clone());
        }
        self.send(at, updates);
    }

    /// Repairs missed updates by comparing ranks, as peers do.
    fn synchronize(&mut self, a: usize, b: usize) {
        for (from, to) in [(a, b), (b, a)] {
            let buckets = self.directories[from].differing_buckets(&self.directories[to].bucket_digests());
            let updates = self.directories[from].updates_missing_from(&self.directories[to].summary(buckets));
            for update in updates {
                self.directories[to].apply(update, self.now);
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each random step; not split yet")]
    fn step(&mut self, with_crashes: bool) {
        self.now += Duration::from_millis(self.rng.u64(1..120));
        match self.rng.usize(0..100) {
            0..5 => {
                self.server_count += 1;
                let id = ServerId::from(format!("s{}", self.server_count));
                let address = Address::from(format!("10.1.0.{}:80", self.rng.u32(0..30)));
                let is_address_used =
                    self.servers.values().any(|(heartbeat, _)| heartbeat.address == address);
                let service = format!("v{}", self.server_count % 3);
                let heartbeat = Heartbeat {
                    id: id.clone(),
                    service: service.into(),
                    address,
                    zone: "z0".into(),
                    capacity: 2,
                    state: ServerState::Ready,
                    sequence: 0,
                };
                if !is_address_used {
                    self.servers.insert(id.clone(), (heartbeat, 0));
                    self.send_heartbeat(&id, ServerState::Ready);
                }
            }
            5..35 if !self.servers.is_empty() => {
                let at = self.rng.usize(0..self.servers.len());
                let id = self.servers.keys().nth(at).cloned().unwrap_or_default();
                let state =
                    if self.draining.contains(&id) { ServerState::Draining } else { ServerState::Ready };
                self.send_heartbeat(&id, state);
            }
            35..37 if !self.servers.is_empty() => {
                let at = self.rng.usize(0..self.servers.len());
                let id = self.servers.keys().nth(at).cloned().unwrap_or_default();
                self.send_heartbeat(&id, ServerState::Draining);
            }
            37..39 if with_crashes => {
                let at = self.rng.usize(0..self.directories.len());
                self.last_incarnation += 1;
                let incarnation = self.last_incarnation;
                self.directories[at] = Directory::new(node(at, incarnation), HEARTBEAT_INTERVAL, self.now);
                self.held_terms[at] = None;
            }
            39..42 if with_crashes => {
                let (from, of) =
                    (self.rng.usize(0..self.directories.len()), self.rng.usize(0..self.directories.len()));
                let updates = self.directories[from].mark_down(&format!("n{of}").into(), self.now);
                self.send(from, updates);
            }
            42..60 => {
                let at = self.rng.usize(0..self.directories.len());
                let authority = self.authority(at);
                let updates = self.directories[at].tick(&authority, self.now);
                self.send(at, updates);
            }
            60..70 => {
                let (a, b) =
                    (self.rng.usize(0..self.directories.len()), self.rng.usize(0..self.directories.len()));
                self.synchronize(a, b);
            }
            _ if !self.in_flight.is_empty() => {
                let at = self.rng.usize(0..self.in_flight.len());
                let (to, updates) = self.in_flight.swap_remove(at);
                let updates: Vec<Update> = updates
                    .into_iter()
                    .flat_map(|update| self.directories[to].apply(update, self.now))
                    .collect();
                self.send(to, updates);
            }
            _ => {}
        }
        if self.in_flight.len() > 200 {
            self.in_flight.truncate(100);
        }
    }

    /// Synchronizes all pairs of directories until they have converged.
    fn settle(&mut self) {
        self.in_flight.clear();
        for _ in 0..4 {
            for a in 0..self.directories.len() {
                for b in 0..a {
                    self.synchronize(a, b);
                }
            }
        }
    }
}

#[test]
fn directories_converge_and_a_draining_server_never_becomes_ready_again() {
    for seed in 0..16 {
        let mut simulation = Simulation::new(seed, 8);
        for _ in 0..1200 {
            let before: Vec<BTreeMap<ServerId, ServerState>> =
                simulation.directories.iter().map(states).collect();
            let incarnations: Vec<u64> =
                simulation.directories.iter().map(|directory| directory.own_node().incarnation).collect();
            simulation.step(seed % 2 == 0);
            for (n, directory) in simulation
                .directories
                .iter()
                .enumerate()
                .filter(|(n, directory)| directory.own_node().incarnation == incarnations[*n])
            {
                let now = states(directory);
                assert!(before[n].iter().all(|(id, state)| now.get(id) >= Some(state)), "seed {seed}");
            }
        }
        simulation.settle();
        let digests: BTreeSet<u64> =
            simulation.directories.iter().map(|directory| directory.digest(0).entries).collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
        let all = simulation.directories.iter().flat_map(|directory| directory.servers());
        let known_draining: Vec<_> = all.filter(|s| simulation.draining.contains(&s.id)).collect();
        if seed % 2 == 1 {
            // No directory has lost its state, so all of them know every draining server.
            assert!(
                !known_draining.is_empty() && known_draining.iter().all(|s| s.state > ServerState::Ready),
                "seed {seed}"
            );
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
fn late_heartbeats_change_nothing() {
    let mut directory = Directory::new(node(0, 1), HEARTBEAT_INTERVAL, Duration::ZERO);
    assert_eq!(
        directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 5), HEARTBEAT_INTERVAL).len(),
        1
    );
    assert!(
        directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Draining, 6), HEARTBEAT_INTERVAL).len()
            == 1
    );
    assert!(
        directory
            .record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 4), HEARTBEAT_INTERVAL)
            .is_empty()
    );
    assert_eq!(directory.server(&"a".into()).map(|s| s.state), Some(ServerState::Draining));
    directory.deregister(&"a".into(), HEARTBEAT_INTERVAL);
    assert!(
        directory
            .record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 7), HEARTBEAT_INTERVAL)
            .is_empty(),
        "the server has terminated"
    );
    // A late heartbeat does not restore a server that was deregistered before it was known.
    directory.deregister(&"b".into(), HEARTBEAT_INTERVAL);
    assert!(
        directory
            .record_heartbeat(heartbeat("b", "x:2", ServerState::Ready, 3), HEARTBEAT_INTERVAL)
            .is_empty()
    );
}

#[test]
fn a_server_times_out_after_missed_heartbeats_but_not_after_a_stall_of_the_monitor() {
    let mut directory = Directory::new(node(0, 1), HEARTBEAT_INTERVAL, Duration::ZERO);
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let mut at = Duration::ZERO;
    let mut updates = Vec::new();
    while updates.is_empty() && at < HEARTBEAT_INTERVAL * 20 {
        at += HEARTBEAT_INTERVAL / 4;
        updates = directory.tick(&LivenessAuthority::Monitored, at);
    }
    assert!(at > HEARTBEAT_INTERVAL * 4 && at < HEARTBEAT_INTERVAL * 7, "{at:?}");
    assert!(
        matches!(&updates[..], [Update::Server(s)] if s.has_timed_out() && s.state == ServerState::Ready)
    );
    assert_eq!(
        directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 2), at).len(),
        1,
        "the next heartbeat makes the server alive again"
    );
    // This process was stalled for longer than the time-out.
    assert!(directory.tick(&LivenessAuthority::Monitored, at + HEARTBEAT_INTERVAL * 100).is_empty());
}

#[test]
fn a_new_server_at_an_address_terminates_the_previous_one() {
    let mut directory = Directory::new(node(0, 1), HEARTBEAT_INTERVAL, Duration::ZERO);
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let updates =
        directory.record_heartbeat(heartbeat("b", "x:1", ServerState::Ready, 1), HEARTBEAT_INTERVAL);
    assert_eq!(updates.len(), 2);
    assert_eq!(directory.server(&"a".into()).map(|s| s.state), Some(ServerState::Terminated));
}

#[test]
fn a_process_marked_as_down_refutes_it() {
    let (mut local, mut remote) = (
        Directory::new(node(0, 1), HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL),
        Directory::new(node(1, 2), HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL),
    );
    remote.apply(Update::Node(local.own_node().clone()), HEARTBEAT_INTERVAL);
    let updates = remote.mark_down(&"n0".into(), HEARTBEAT_INTERVAL);
    let refutations =
        updates.into_iter().flat_map(|update| local.apply(update, HEARTBEAT_INTERVAL)).collect::<Vec<_>>();
    for update in refutations {
        remote.apply(update, HEARTBEAT_INTERVAL);
    }
    assert!(remote.node(&"n0".into()).is_some_and(|n| !n.is_down && n.generation == 2));
}

/// Guards against peer sets that leave processes unconnected or grow with the number of processes.
#[test]
fn peer_sets_are_small_cover_the_processes_and_change_little() {
    let nodes: Vec<Node> = (0..60).map(|n| node(n, n as u64)).collect();
    let peers_of = |own: &Node, nodes: &[Node]| -> BTreeSet<NodeName> {
        select_peers(own, nodes.iter(), 2, |_| true).into_iter().map(|n| n.name.clone()).collect()
    };
    let (mut selected, mut moved) = (BTreeSet::new(), 0);
    let remaining: Vec<Node> = nodes.iter().filter(|n| n.name != "n17").cloned().collect();
    for own in &nodes {
        let peers = peers_of(own, &nodes);
        assert!(peers.len() <= 5 && !peers.contains(&own.name));
        if own.role() == Role::Gateway {
            let control_nodes: Vec<&Node> =
                nodes.iter().filter(|n| peers.contains(&n.name) && n.disk.is_some()).collect();
            let zones: BTreeSet<&Zone> = control_nodes.iter().map(|n| &n.zone).collect();
            assert!(
                control_nodes.len() == 3 && zones.len() == 3,
                "a gateway has one more control node than may fail, in different zones"
            );
        }
        moved += peers.symmetric_difference(&peers_of(own, &remaining)).filter(|n| *n != "n17").count();
        selected.extend(peers);
    }
    assert!(selected.len() > 30, "only {} processes are selected as peers", selected.len());
    assert!(moved < 10, "{moved} connections moved when one process left");
}

/// Guards against a machine that is wiped and returns before it is marked as down: both incarnations have
/// generation 1, and peers that knew the earlier one counted its old disk as live forever.
#[test]
fn of_two_incarnations_with_one_generation_the_running_one_is_known_in_the_end() {
    for (earlier, later) in [(1, 2), (2, 1)] {
        let disk = |incarnation: u64| Some(format!("disk of incarnation {incarnation}").into());
        let own = |incarnation| Node { disk: disk(incarnation), ..node(3, incarnation) };
        let mut other = Directory::new(node(0, 9), HEARTBEAT_INTERVAL, Duration::ZERO);
        other.apply(Update::Node(own(earlier)), Duration::ZERO);
        let mut restarted = Directory::new(own(later), HEARTBEAT_INTERVAL, Duration::ZERO);
        for _ in 0..3 {
            let (own_summary, other_summary) =
                (restarted.summary(BucketSet::ALL), other.summary(BucketSet::ALL));
            restarted
                .updates_missing_from(&other_summary)
                .into_iter()
                .for_each(|update| drop(other.apply(update, Duration::ZERO)));
            other
                .updates_missing_from(&own_summary)
                .into_iter()
                .for_each(|update| drop(restarted.apply(update, Duration::ZERO)));
        }
        let known = other.nodes().find(|n| n.name == "n3").expect("the process is known");
        assert_eq!((&known.disk, known.incarnation), (&disk(later), later), "{} after {}", later, earlier);
        assert_eq!(restarted.digest(1), other.digest(1));
    }
}

/// Guards against a partitioned control node that declares servers timed out because it cannot receive their
/// heartbeats.
#[test]
fn a_process_without_quorum_declares_no_time_outs_and_restarts_the_count_afterwards() {
    let mut directory = Directory::new(node(0, 1), HEARTBEAT_INTERVAL, Duration::ZERO);
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let mut at = Duration::ZERO;
    let mut tick_until_update = |authority, until| {
        while at < until {
            at += HEARTBEAT_INTERVAL / 4;
            if !directory.tick(authority, at).is_empty() {
                return Some(at);
            }
        }
        None
    };
    assert_eq!(tick_until_update(&LivenessAuthority::None, HEARTBEAT_INTERVAL * 30), None);
    let timed_out_at = tick_until_update(&LivenessAuthority::Monitored, HEARTBEAT_INTERVAL * 60)
        .expect("the server times out once the process is back in contact with a quorum");
    assert!(timed_out_at > HEARTBEAT_INTERVAL * 34, "{timed_out_at:?}");
}

/// Returns a directory with a server that is monitored by `n1`, which went down at the start.
fn directory_with_orphan(number: usize) -> Directory {
    let mut directory = Directory::new(node(number, number as u64), HEARTBEAT_INTERVAL, Duration::ZERO);
    let mut failed = Directory::new(node(1, 1), HEARTBEAT_INTERVAL, Duration::ZERO);
    let updates = failed.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 1), Duration::ZERO);
    let known = std::iter::once(Update::Node(failed.own_node().clone())).chain(updates);
    known.for_each(|update| drop(directory.apply(update, Duration::ZERO)));
    directory.mark_down(&"n1".into(), Duration::ZERO);
    directory
}

fn liveness(directory: &Directory) -> Liveness {
    directory.server(&"a".into()).expect("the server is known").liveness.clone()
}

/// Guards against an orphan monitor that does not know that its term is superseded. Processes that know the
/// later term reject its declarations, those that have stored them invalidate them, and all converge.
#[test]
fn a_declaration_under_an_earlier_term_is_rejected_and_invalidated() {
    let now = HEARTBEAT_INTERVAL * 40;
    let (mut stale, mut other, mut newer) =
        (directory_with_orphan(0), directory_with_orphan(2), directory_with_orphan(3));
    let earlier = stale.next_orphan_monitor_term().expect("the process may take the role");
    stale.apply(Update::OrphanMonitor(earlier.clone()), now);
    assert!(
        stale.tick(&LivenessAuthority::Monitored, now).is_empty(),
        "a process without the role declares nothing about orphans"
    );
    let declaration = stale.tick(&LivenessAuthority::MonitoredAndOrphans(earlier.clone()), now);
    assert_eq!(liveness(&stale), Liveness::DeclaredTimedOut(earlier.clone()));
    // One process stores the declaration, and another one knows a later term.
    declaration.iter().for_each(|update| drop(other.apply(update.clone(), now)));
    assert_eq!(liveness(&other), Liveness::DeclaredTimedOut(earlier.clone()));
    newer.apply(Update::OrphanMonitor(earlier.clone()), now);
    let later = newer.next_orphan_monitor_term().expect("the process may take the role");
    assert!(later > earlier);
    newer.apply(Update::OrphanMonitor(later.clone()), now);
    declaration.iter().for_each(|update| drop(newer.apply(update.clone(), now)));
    assert_eq!(liveness(&newer), Liveness::Alive, "a declaration under an earlier term is rejected");
    assert!(!newer.has_applied(&Update::OrphanMonitor(earlier)), "an earlier term does not count as applied");
    other.apply(Update::OrphanMonitor(later.clone()), now);
    assert_eq!(
        liveness(&other),
        Liveness::Alive,
        "a later term invalidates a declaration under an earlier one"
    );
    stale.apply(Update::OrphanMonitor(later.clone()), now);
    assert_eq!(liveness(&stale), Liveness::Alive);
    assert_eq!(
        newer.tick(&LivenessAuthority::MonitoredAndOrphans(later), now).len(),
        1,
        "the holder of the later term declares the time-out again"
    );
}

/// Guards against a declaration of the orphan monitor that outlasts the membership epoch of its term, or that
/// takes precedence over a later heartbeat.
#[test]
fn a_declaration_ends_with_its_epoch_and_with_the_next_heartbeat() {
    let now = HEARTBEAT_INTERVAL * 40;
    let mut directory = directory_with_orphan(0);
    let membership = |epoch| Update::Membership(Membership { epoch, members: Vec::new() });
    directory.apply(membership(1), now);
    let term = directory.next_orphan_monitor_term().expect("the process may take the role");
    directory.apply(Update::OrphanMonitor(term.clone()), now);
    directory.tick(&LivenessAuthority::MonitoredAndOrphans(term.clone()), now);
    assert_eq!(liveness(&directory), Liveness::DeclaredTimedOut(term.clone()));
    directory.apply(membership(2), now);
    assert_eq!(liveness(&directory), Liveness::Alive);
    assert!(
        directory.tick(&LivenessAuthority::MonitoredAndOrphans(term), now).is_empty(),
        "the term ended with its epoch"
    );
    let term = directory.next_orphan_monitor_term().expect("the process may take the role");
    directory.apply(Update::OrphanMonitor(term.clone()), now);
    directory.tick(&LivenessAuthority::MonitoredAndOrphans(term), now);
    assert!(directory.server(&"a".into()).is_some_and(|s| s.has_timed_out()));
    directory.record_heartbeat(heartbeat("a", "x:1", ServerState::Ready, 2), now);
    assert_eq!(liveness(&directory), Liveness::Alive);
}

/// Guards against a gateway that starts after many gateways failed at once, and uses the budget shares of
/// those that will return.
#[test]
fn a_gateway_that_is_down_keeps_its_budget_share_for_the_retention_time() {
    let mut other = Directory::new(node(0, 1), HEARTBEAT_INTERVAL, Duration::ZERO);
    (4..24).for_each(|n| drop(other.apply(Update::Node(node(n, n as u64)), Duration::ZERO)));
    (4..16).for_each(|n| drop(other.mark_down(&format!("n{n}").into(), Duration::ZERO)));
    // The new gateway receives all entries at once, later.
    let (now, mut started) =
        (HEARTBEAT_INTERVAL * 20, Directory::new(node(4, 99), HEARTBEAT_INTERVAL, HEARTBEAT_INTERVAL * 20));
    other
        .updates_missing_from(&started.summary(BucketSet::ALL))
        .into_iter()
        .for_each(|update| drop(started.apply(update, now)));
    assert_eq!(
        (
            started.gateways_sharing_budgets(now),
            started.gateways_sharing_budgets(now + HEARTBEAT_INTERVAL * 60)
        ),
        (20, 9)
    );
}
