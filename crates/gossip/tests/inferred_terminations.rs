//! Servers whose termination is only inferred: another server has their address, or an entry restored from a
//! disk names one. A heartbeat received later shows that they run.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_gossip::{
    BucketSet, Directory, Heartbeat, Liveness, LivenessAuthority, Node, OrphanMonitorTerm, Server,
    ServerState, Update,
};
use ashvane_identifiers::ServerId;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
const SECOND: Duration = Duration::from_secs(1);

fn directory(name: &str, incarnation: u64, now: Duration) -> Directory {
    let own = Node {
        name: name.into(),
        incarnation,
        generation: 1,
        is_down: false,
        address: format!("{name}:7000").into(),
        control_address: None,
        zone: "z0".into(),
        is_gateway: false,
        disk: Some(format!("disk of {name}").into()),
    };
    Directory::new(own, HEARTBEAT_INTERVAL, now)
}

fn heartbeat(id: &str, address: &str, state: ServerState, sequence: u64) -> Heartbeat {
    let (service, zone) = ("v".into(), "z0".into());
    Heartbeat { id: id.into(), service, address: address.into(), zone, capacity: 2, state, sequence }
}

fn apply_all(directory: &mut Directory, updates: Vec<Update>, now: Duration) {
    updates.into_iter().for_each(|update| drop(directory.apply(update, now)));
}

/// Restores entries as a control node does that starts with the list on its disk.
fn restore(directory: &mut Directory, servers: &[Server], now: Duration) {
    let restored = |server: &Server| {
        Update::Server(Server { heartbeat_sequence: 0, liveness: Liveness::TimedOut, ..server.clone() })
    };
    apply_all(directory, servers.iter().map(restored).collect(), now);
}

/// Exchanges the missing updates in both directions, as peers do.
fn synchronize(a: &mut Directory, b: &mut Directory, now: Duration) {
    for _ in 0..2 {
        let updates = a.updates_missing_from(&b.summary(BucketSet::ALL));
        let refutations: Vec<Update> = updates.iter().filter_map(|update| b.refutation_of(update)).collect();
        apply_all(b, updates, now);
        apply_all(a, refutations, now);
        let updates = b.updates_missing_from(&a.summary(BucketSet::ALL));
        let refutations: Vec<Update> = updates.iter().filter_map(|update| a.refutation_of(update)).collect();
        apply_all(a, updates, now);
        apply_all(b, refutations, now);
    }
}

fn state(directory: &Directory, id: &str) -> Option<ServerState> {
    directory.server(&id.into()).map(|server| server.state)
}

fn is_available(directory: &Directory, id: &str) -> bool {
    directory.server(&id.into()).is_some_and(Server::is_available)
}

/// Returns the entry of a server that sent one heartbeat.
fn entry(id: &str, address: &str) -> Server {
    let mut origin = directory("origin", 1, Duration::ZERO);
    origin.record_heartbeat(heartbeat(id, address, ServerState::Ready, 1), Duration::ZERO);
    origin.server(&id.into()).cloned().expect("the server is known")
}

/// Guards against a server that is lost for ten minutes although it sends heartbeats, because a late
/// heartbeat of its predecessor made this process infer that it has terminated.
#[test]
fn the_next_heartbeat_restores_a_server_whose_termination_was_inferred() {
    let mut local = directory("a", 1, Duration::ZERO);
    local.record_heartbeat(heartbeat("new", "x:1", ServerState::Ready, 1), SECOND);
    // This process has not known the predecessor before.
    local.record_heartbeat(heartbeat("old", "x:1", ServerState::Ready, 9), SECOND);
    assert_eq!(state(&local, "new"), Some(ServerState::Terminated));
    let updates = local.record_heartbeat(heartbeat("new", "x:1", ServerState::Ready, 2), SECOND * 2);
    assert!(is_available(&local, "new"), "{updates:?}");
    // The predecessor sends no further heartbeats. Once it has timed out, the address belongs to the new one.
    for second in 3..20 {
        let now = SECOND * second;
        local.record_heartbeat(heartbeat("new", "x:1", ServerState::Ready, u64::from(second)), now);
        local.tick(&LivenessAuthority::Monitored, now);
    }
    assert_eq!(state(&local, "old"), Some(ServerState::Terminated));
    assert!(is_available(&local, "new"));
}

/// Guards against an outdated entry on the disk of one control node that terminates the running server at its
/// address, in either order of arrival.
#[test]
fn an_entry_restored_from_a_disk_does_not_terminate_the_server_at_its_address() {
    let (old, new) = (entry("old", "x:1"), entry("new", "x:1"));
    for order in [[&old, &new], [&new, &old]] {
        let mut local = directory("a", 1, Duration::ZERO);
        order.iter().for_each(|server| restore(&mut local, &[(*server).clone()], SECOND));
        assert_eq!(
            (state(&local, "old"), state(&local, "new")),
            (Some(ServerState::Ready), Some(ServerState::Ready))
        );
        local.record_heartbeat(heartbeat("new", "x:1", ServerState::Ready, 7), SECOND * 2);
        assert!(is_available(&local, "new"));
        assert_eq!(
            state(&local, "old"),
            Some(ServerState::Terminated),
            "a heartbeat shows which one is newer"
        );
    }
}

/// Guards against an inference that one process makes and that outranks a later heartbeat at another process.
#[test]
fn a_heartbeat_at_another_process_outranks_an_inferred_termination() {
    let (mut a, mut b) = (directory("a", 1, Duration::ZERO), directory("b", 1, Duration::ZERO));
    restore(&mut a, &[entry("old", "x:1")], Duration::ZERO);
    restore(&mut b, &[entry("new", "x:1")], Duration::ZERO);
    synchronize(&mut a, &mut b, SECOND);
    // A late heartbeat of the predecessor reaches one process, the next one of the running server the other.
    let inferred = a.record_heartbeat(heartbeat("old", "x:1", ServerState::Ready, 30), SECOND * 2);
    apply_all(&mut b, inferred.clone(), SECOND * 2);
    b.record_heartbeat(heartbeat("new", "x:1", ServerState::Ready, 8), SECOND * 3);
    apply_all(&mut b, inferred, SECOND * 4);
    synchronize(&mut a, &mut b, SECOND * 4);
    assert!(is_available(&a, "new") && is_available(&b, "new"));
    assert_eq!(a.digest(1), b.digest(1));
}

/// A heartbeat that was sent before the one on which the entry is based does not show that the server runs
/// after the inference.
#[test]
fn a_heartbeat_that_was_already_received_does_not_refute_an_inference() {
    let mut local = directory("a", 1, Duration::ZERO);
    for sequence in 1..=6 {
        local.record_heartbeat(heartbeat("old", "x:1", ServerState::Ready, sequence), SECOND);
    }
    local.record_heartbeat(heartbeat("new", "x:1", ServerState::Ready, 1), SECOND * 2);
    assert_eq!(state(&local, "old"), Some(ServerState::Terminated));
    for sequence in 1..=6 {
        let updates =
            local.record_heartbeat(heartbeat("old", "x:1", ServerState::Ready, sequence), SECOND * 3);
        assert!(updates.is_empty(), "heartbeat {sequence}: {updates:?}");
    }
    assert_eq!(state(&local, "old"), Some(ServerState::Terminated));
}

/// Guards against a deregistration that is acknowledged without effect because the server already counted as
/// terminated: a later heartbeat would restore it.
#[test]
fn a_deregistration_after_an_inferred_termination_is_final() {
    let mut local = directory("a", 1, Duration::ZERO);
    local.record_heartbeat(heartbeat("old", "x:1", ServerState::Ready, 1), SECOND);
    local.record_heartbeat(heartbeat("new", "x:1", ServerState::Ready, 1), SECOND);
    local.deregister(&"old".into(), SECOND * 2);
    assert!(local.record_heartbeat(heartbeat("old", "x:1", ServerState::Ready, 9), SECOND * 3).is_empty());
    assert_eq!(state(&local, "old"), Some(ServerState::Terminated));
}

/// Guards against a draining server that becomes ready again: the inference replaces the state that it has
/// reported, and an outdated entry of another process names it as ready.
#[test]
fn a_draining_server_is_not_ready_after_an_inferred_termination_is_refuted() {
    let mut local = directory("a", 1, Duration::ZERO);
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 1), SECOND);
    let ready = local.server(&"s".into()).cloned().expect("the server is known");
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Draining, 2), SECOND);
    local.record_heartbeat(heartbeat("other", "x:1", ServerState::Ready, 1), SECOND * 2);
    assert_eq!(state(&local, "s"), Some(ServerState::Terminated));
    local.apply(Update::Server(Server { heartbeat_sequence: 40, ..ready }), SECOND * 3);
    assert_ne!(state(&local, "s"), Some(ServerState::Ready));
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Draining, 3), SECOND * 4);
    assert_eq!(state(&local, "s"), Some(ServerState::Draining));
}

/// Guards against an inference that becomes final with the next term of the orphan monitor, which made the
/// server's heartbeats count as those of a server that had deregistered.
#[test]
fn an_inferred_termination_of_an_orphan_is_refuted_also_under_a_later_term() {
    let mut local = directory("a", 1, Duration::ZERO);
    let term = |round| OrphanMonitorTerm { epoch: 0, round, holder: "a".into() };
    local.apply(Update::OrphanMonitor(term(1)), SECOND);
    let orphan = Server { liveness: Liveness::DeclaredTimedOut(term(1)), ..entry("s", "x:1") };
    local.apply(Update::Server(orphan), SECOND);
    local.record_heartbeat(heartbeat("other", "x:1", ServerState::Ready, 1), SECOND * 2);
    local.tick(&LivenessAuthority::MonitoredAndOrphans(term(1)), SECOND * 2);
    assert_eq!(state(&local, "s"), Some(ServerState::Terminated));
    local.apply(Update::OrphanMonitor(term(2)), SECOND * 3);
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 5), SECOND * 4);
    assert!(is_available(&local, "s"));
}

/// Guards against an inference of an earlier release, which sends no state before the termination, that no
/// heartbeat refutes.
#[test]
fn an_inferred_termination_of_an_earlier_release_is_refuted_by_the_next_heartbeat() {
    let mut local = directory("a", 1, Duration::ZERO);
    let inferred =
        Server { state: ServerState::Terminated, liveness: Liveness::TimedOut, ..entry("s", "x:1") };
    local.apply(Update::Server(inferred), SECOND);
    assert_eq!(state(&local, "s"), Some(ServerState::Terminated));
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 2), SECOND * 2);
    assert!(is_available(&local, "s"));
}

/// Control nodes with the lists on their disks, and servers that crash and return at their addresses with a
/// new identifier.
struct Simulation {
    rng: fastrand::Rng,
    now: Duration,
    directories: Vec<Directory>,
    /// The list that each control node saved last. It may be long outdated.
    saved: Vec<Vec<Server>>,
    /// Last sequence number of the running server at each address, by its identifier.
    running: BTreeMap<u64, (ServerId, u64)>,
    server_count: u64,
    incarnation: u64,
    /// Heartbeats that were delayed on their way, some of them of servers that have crashed since.
    late: Vec<Heartbeat>,
}

const CONTROL_NODES: usize = 4;
const ADDRESSES: u64 = 6;

impl Simulation {
    fn new(seed: u64) -> Self {
        let directories =
            (0..CONTROL_NODES).map(|n| directory(&format!("n{n}"), 1, Duration::ZERO)).collect();
        Simulation {
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            directories,
            saved: vec![Vec::new(); CONTROL_NODES],
            running: BTreeMap::new(),
            server_count: 0,
            incarnation: 1,
            late: Vec::new(),
        }
    }

    fn start_server(&mut self, address: u64) {
        self.server_count += 1;
        self.running.insert(address, (format!("s{}", self.server_count).into(), 0));
        self.send_heartbeat(address);
    }

    /// Sends the next heartbeat of the server at an address to a control node, and the resulting updates to
    /// the others, as far as they are not lost. One heartbeat in eight is delayed.
    fn send_heartbeat(&mut self, address: u64) {
        let Some((id, sequence)) = self.running.get_mut(&address) else { return };
        *sequence += 1;
        let heartbeat = heartbeat(id.as_str(), &format!("x{address}:1"), ServerState::Ready, *sequence);
        if self.rng.usize(..8) == 0 {
            self.late.push(heartbeat);
        } else {
            self.deliver(heartbeat);
        }
    }

    fn deliver(&mut self, heartbeat: Heartbeat) {
        let at = self.rng.usize(..CONTROL_NODES);
        let updates = self.directories[at].record_heartbeat(heartbeat, self.now);
        for to in (0..CONTROL_NODES).filter(|to| *to != at) {
            if self.rng.usize(..4) > 0 {
                apply_all(&mut self.directories[to], updates.clone(), self.now);
            }
        }
    }

    /// Restarts a control node with the list on its disk, which is lost in one of four cases.
    fn restart(&mut self, at: usize) {
        self.incarnation += 1;
        self.directories[at] = directory(&format!("n{at}"), self.incarnation, self.now);
        if self.rng.usize(..4) > 0 {
            restore(&mut self.directories[at], &self.saved[at], self.now);
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(1..400));
        let (at, address) = (self.rng.usize(..CONTROL_NODES), self.rng.u64(..ADDRESSES));
        match self.rng.usize(..100) {
            0..8 => self.start_server(address),
            8..12 => drop(self.running.remove(&address)),
            12..50 => self.send_heartbeat(address),
            50..60 => self.saved[at] = self.directories[at].running_servers().cloned().collect(),
            60..64 => self.restart(at),
            64..66 => (0..CONTROL_NODES).for_each(|at| self.restart(at)),
            66..72 if !self.late.is_empty() => {
                let heartbeat = self.late.swap_remove(0);
                self.deliver(heartbeat);
            }
            72..90 => {
                let updates = self.directories[at].tick(&LivenessAuthority::Monitored, self.now);
                let to = self.rng.usize(..CONTROL_NODES);
                apply_all(&mut self.directories[to], updates, self.now);
            }
            _ => self.synchronize_all(),
        }
    }

    fn synchronize_all(&mut self) {
        for b in 1..CONTROL_NODES {
            let (left, right) = self.directories.split_at_mut(b);
            left.iter_mut().for_each(|a| synchronize(a, &mut right[0], self.now));
        }
    }

    /// Every running server sends a heartbeat, and the control nodes exchange what they miss.
    fn settle(&mut self) {
        self.late.clear();
        for address in 0..ADDRESSES {
            if let Some((id, sequence)) = self.running.get_mut(&address) {
                *sequence += 1;
                let heartbeat =
                    heartbeat(id.as_str(), &format!("x{address}:1"), ServerState::Ready, *sequence);
                self.deliver(heartbeat);
            }
        }
        (0..3).for_each(|_| self.synchronize_all());
    }

    fn available_servers(&self, at: usize) -> Vec<&ServerId> {
        self.directories[at]
            .servers()
            .filter(|server| server.is_available())
            .map(|server| &server.id)
            .collect()
    }

    /// Sends heartbeats on time for longer than a time-out.
    fn run_calmly(&mut self) {
        for _ in 0..10 {
            self.now += SECOND;
            self.settle();
            for at in 0..CONTROL_NODES {
                self.directories[at].tick(&LivenessAuthority::Monitored, self.now);
            }
        }
        self.synchronize_all();
    }
}

/// Guards against running servers that are lost because of outdated lists on disks, late heartbeats of their
/// predecessors or lost updates. One heartbeat of each server restores all of them at all control nodes, and
/// servers that have crashed are not available for longer than a time-out.
#[test]
fn after_one_heartbeat_every_running_server_is_available_whatever_was_restored_or_inferred() {
    for seed in 0..120 {
        let mut simulation = Simulation::new(seed);
        for step in 0..400 {
            simulation.step();
            if step % 40 != 39 {
                continue;
            }
            simulation.settle();
            for (at, directory) in simulation.directories.iter().enumerate() {
                for (id, sequence) in simulation.running.values() {
                    assert!(
                        is_available(directory, id.as_str()),
                        "seed {seed}, step {step}: {id} after heartbeat {sequence} at n{at}: {:?}",
                        directory.server(id)
                    );
                }
            }
        }
        simulation.run_calmly();
        let mut running: Vec<&ServerId> = simulation.running.values().map(|(id, _)| id).collect();
        running.sort();
        for at in 0..CONTROL_NODES {
            assert_eq!(simulation.available_servers(at), running, "seed {seed}, n{at}");
        }
    }
}
