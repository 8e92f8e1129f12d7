//! Tombstones of removed servers and processes: their number is bounded, and no late message restores an
//! entry.

use std::time::Duration;

use ashvane_gossip::{
    BucketSet, Directory, Heartbeat, LivenessAuthority, Node, OrphanMonitorTerm, Server, ServerState, Update,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// A time at which the entries of servers and gateways that departed at the start have been replaced by
/// tombstones.
const AFTER_RETENTION: Duration = Duration::from_secs(700);

fn node(name: &str, incarnation: u64, is_control_node: bool) -> Node {
    Node {
        name: name.into(),
        incarnation,
        generation: 1,
        is_down: false,
        address: format!("{name}:7000").into(),
        control_address: None,
        zone: "z0".into(),
        is_gateway: !is_control_node,
        disk: is_control_node.then(|| format!("disk of {name}").into()),
    }
}

fn directory(name: &str, now: Duration) -> Directory {
    Directory::new(node(name, 1, true), HEARTBEAT_INTERVAL, now)
}

fn heartbeat(id: &str, address: &str, state: ServerState, sequence: u64) -> Heartbeat {
    let (service, zone) = ("v".into(), "z0".into());
    Heartbeat { id: id.into(), service, address: address.into(), zone, capacity: 2, state, sequence }
}

fn apply_all(directory: &mut Directory, updates: Vec<Update>, now: Duration) {
    updates.into_iter().for_each(|update| drop(directory.apply(update, now)));
}

/// Sends the updates that `to` is missing, and applies its refutations to `from`.
fn send_missing_updates(from: &mut Directory, to: &mut Directory, now: Duration) {
    let updates = from.updates_missing_from(&to.summary(BucketSet::ALL));
    let refutations: Vec<Update> = updates.iter().filter_map(|update| to.refutation_of(update)).collect();
    apply_all(to, updates, now);
    apply_all(from, refutations, now);
}

/// Exchanges the missing updates in both directions, as peers do.
fn synchronize(a: &mut Directory, b: &mut Directory, now: Duration) {
    send_missing_updates(a, b, now);
    send_missing_updates(b, a, now);
}

/// A simulated server, with the index of the directory to which it sends its heartbeats.
struct SimulatedServer {
    id: u64,
    address: u64,
    sequence: u64,
    directory: usize,
}

/// Sends a heartbeat of each server to its directory, and the resulting updates to the other one.
fn send_heartbeats(directories: &mut [Directory; 2], servers: &mut [SimulatedServer], now: Duration) {
    for server in servers {
        server.sequence += 1;
        let heartbeat = heartbeat(
            &format!("s{}", server.id),
            &format!("x{}:1", server.address),
            ServerState::Ready,
            server.sequence,
        );
        let updates = directories[server.directory].record_heartbeat(heartbeat, now);
        apply_all(&mut directories[1 - server.directory], updates, now);
    }
}

/// Guards against directories that grow without bound. Simulates forty thousand restarts a day, some of them
/// crashes with a restart at the same address, and 230 permanently lost machines a day.
#[test]
fn entries_and_tombstones_are_bounded() {
    const LIVE_SERVERS: u64 = 100;
    let mut rng = fastrand::Rng::with_seed(1);
    let mut directories = [directory("a", Duration::ZERO), directory("b", Duration::ZERO)];
    let (mut server_count, mut now) = (LIVE_SERVERS, Duration::ZERO);
    let mut servers: Vec<SimulatedServer> = (0..LIVE_SERVERS)
        .map(|n| SimulatedServer { id: n, address: n, sequence: 0, directory: n as usize % 2 })
        .collect();
    let (mut address_count, mut maxima, mut gateway_count) = (LIVE_SERVERS, [(0, 0); 3], 0);
    for second in 0..3 * 3600u64 {
        now += SECOND;
        // One restart every 2.16 seconds.
        if second * 100 % 216 < 100 {
            let at = rng.usize(..servers.len());
            let (old, is_graceful) = (&servers[at], rng.bool());
            let id = format!("s{}", old.id);
            if is_graceful {
                let updates = directories[old.directory].deregister(&id.into(), now);
                apply_all(&mut directories[1 - old.directory], updates, now);
            }
            server_count += 1;
            // One of 174 restarts is caused by the loss of the machine.
            let has_moved = !is_graceful && rng.u32(..87) == 0;
            address_count += u64::from(has_moved);
            let address = if has_moved { address_count } else { old.address };
            servers[at] =
                SimulatedServer { id: server_count, address, sequence: 0, directory: rng.usize(..2) };
        }
        // The machine of a gateway is lost, and another gateway replaces it.
        if second % 375 == 0 {
            gateway_count += 1;
            for directory in &mut directories {
                directory.apply(
                    Update::Node(node(&format!("gateway-{gateway_count}"), gateway_count, false)),
                    now,
                );
                directory.mark_down(&format!("gateway-{}", gateway_count - 1).into(), now);
            }
        }
        send_heartbeats(&mut directories, &mut servers, now);
        for n in 0..2 {
            let updates = directories[n].tick(&LivenessAuthority::Monitored, now);
            apply_all(&mut directories[1 - n], updates, now);
        }
        let hour = (second / 3600) as usize;
        for directory in &directories {
            let (entries, tombstones) = &mut maxima[hour];
            *entries = (directory.servers().count() + directory.nodes().count()).max(*entries);
            *tombstones = directory.tombstone_count().max(*tombstones);
        }
    }
    let [a, b] = &mut directories;
    synchronize(a, b, now);
    let live_servers = |d: &Directory| {
        d.servers().filter(|s| s.state < ServerState::Terminated && !s.has_timed_out()).count()
    };
    assert_eq!(directories.each_ref().map(live_servers), [LIVE_SERVERS as usize; 2]);
    assert_eq!(directories[0].digest(1), directories[1].digest(1));
    println!("maximum numbers of entries and tombstones in each hour: {maxima:?}");
    // Running servers, servers terminated in the last ten minutes, and servers timed out with their machines.
    assert!(maxima.iter().all(|(entries, _)| *entries < 500), "{maxima:?}");
    assert!(maxima[2].1 < 3 * 3600 * 100 / 216, "more tombstones than restarts: {maxima:?}");
    assert!(directories.iter().all(|d| d.nodes().count() < 10));
}

/// Guards against late updates and heartbeats that restore a terminated server. Only its tombstone remains,
/// and a peer that still considers it running receives a refutation.
#[test]
fn no_late_message_restores_a_terminated_server() {
    let (mut local, mut remote) = (directory("a", Duration::ZERO), directory("b", Duration::ZERO));
    let updates = local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 5), SECOND);
    apply_all(&mut remote, updates, SECOND);
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Draining, 6), SECOND * 2);
    local.deregister(&"s".into(), SECOND * 3);
    let mut now = AFTER_RETENTION;
    local.tick(&LivenessAuthority::Monitored, now);
    assert!(
        local.server(&"s".into()).is_none() && local.tombstone_count() == 1,
        "only the tombstone remains"
    );
    // The other directory was partitioned in the meantime, and sends its outdated entry first.
    now += SECOND;
    let outdated: Server = remote.server(&"s".into()).cloned().expect("the remote directory has the server");
    assert!(local.apply(Update::Server(outdated.clone()), now).is_empty());
    let outdated_heartbeat = Server { heartbeat_sequence: 900, ..outdated };
    assert!(local.apply(Update::Server(outdated_heartbeat), now).is_empty());
    assert!(local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 7), now).is_empty());
    assert!(local.deregister(&"s".into(), now).is_empty());
    assert!(local.server(&"s".into()).is_none());
    synchronize(&mut remote, &mut local, now);
    assert_eq!(remote.server(&"s".into()).map(|s| s.state), Some(ServerState::Terminated));
    assert!(local.server(&"s".into()).is_none_or(|s| s.state == ServerState::Terminated));
}

/// An entry of a process that has been down for the retention time is replaced by a tombstone with its rank.
/// Late updates about the last incarnation are rejected, and a new incarnation is accepted immediately,
/// whatever its number.
#[test]
fn a_tombstone_of_a_process_rejects_its_last_incarnation_and_accepts_a_new_one() {
    for incarnation in [3, 9] {
        let mut local = directory("a", Duration::ZERO);
        let earlier = node("gateway", 5, false);
        local.apply(Update::Node(earlier.clone()), SECOND);
        local.mark_down(&"gateway".into(), SECOND);
        local.tick(&LivenessAuthority::Monitored, AFTER_RETENTION);
        assert!(local.node(&"gateway".into()).is_none() && local.tombstone_count() == 1);
        assert!(local.apply(Update::Node(earlier.clone()), AFTER_RETENTION).is_empty(), "a late message");
        assert!(local.node(&"gateway".into()).is_none());
        let mut restarted =
            Directory::new(node("gateway", incarnation, false), HEARTBEAT_INTERVAL, AFTER_RETENTION);
        synchronize(&mut restarted, &mut local, AFTER_RETENTION);
        synchronize(&mut local, &mut restarted, AFTER_RETENTION);
        assert_eq!(
            local.node(&"gateway".into()).map(|n| (n.incarnation, n.is_down)),
            Some((incarnation, false))
        );
        assert_eq!(local.digest(1), restarted.digest(1));
    }
}

/// The complete entry of a control node is kept longer than that of a gateway, because its peers keep trying
/// to connect to it.
#[test]
fn a_control_node_that_is_down_is_kept_for_a_day() {
    let mut local = directory("a", Duration::ZERO);
    local.apply(Update::Node(node("b", 2, true)), SECOND);
    local.mark_down(&"b".into(), SECOND);
    local.tick(&LivenessAuthority::Monitored, HOUR * 23);
    assert!(local.node(&"b".into()).is_some_and(|n| n.is_down));
    local.tick(&LivenessAuthority::Monitored, HOUR * 25);
    assert!(local.node(&"b".into()).is_none());
}

/// A server that crashed is marked as terminated once another server is available at its address, or after a
/// day. The control node that monitors it does so, or the orphan monitor if that control node is down.
#[test]
fn a_timed_out_server_terminates_when_its_address_is_reused_or_after_a_day() {
    let time_out = |local: &mut Directory| {
        let mut now = SECOND;
        local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 1), now);
        while !local.server(&"s".into()).is_some_and(Server::has_timed_out) {
            now += SECOND;
            assert!(now < SECOND * 20);
            local.tick(&LivenessAuthority::Monitored, now);
        }
        now
    };
    let state = |local: &Directory| local.server(&"s".into()).map(|s| s.state);
    let mut local = directory("a", Duration::ZERO);
    let now = time_out(&mut local);
    local.tick(&LivenessAuthority::Monitored, now + HOUR * 23);
    assert_eq!(state(&local), Some(ServerState::Ready));
    local.tick(&LivenessAuthority::Monitored, now + HOUR * 25);
    assert_eq!(state(&local), Some(ServerState::Terminated));
    // The server was only partitioned and still runs: its next heartbeat restores it after the retention
    // time.
    let returned_at = now + HOUR * 25 + AFTER_RETENTION;
    local.tick(&LivenessAuthority::Monitored, returned_at);
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 90_000), returned_at);
    assert_eq!(state(&local), Some(ServerState::Ready));
    // Another control node receives a heartbeat of a new server at the same address before the time-out.
    let mut local = directory("a", Duration::ZERO);
    local.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 1), SECOND);
    let remote_updates =
        directory("b", Duration::ZERO).record_heartbeat(heartbeat("t", "x:1", ServerState::Ready, 1), SECOND);
    apply_all(&mut local, remote_updates, SECOND);
    assert_eq!(state(&local), Some(ServerState::Ready), "it is not known yet which server is newer");
    let now = time_out(&mut local);
    local.tick(&LivenessAuthority::Monitored, now + SECOND);
    assert_eq!(state(&local), Some(ServerState::Terminated));
    // A server monitored by another control node is left to that one, or to the orphan monitor.
    let mut remote = directory("b", Duration::ZERO);
    let known =
        Server { monitor: "c".into(), ..local.server(&"t".into()).cloned().expect("the server t is known") };
    let timed_out = Server { liveness: ashvane_gossip::Liveness::TimedOut, ..known };
    remote.apply(Update::Server(timed_out), SECOND);
    remote.tick(&LivenessAuthority::Monitored, HOUR * 25);
    assert_eq!(remote.server(&"t".into()).map(|s| s.state), Some(ServerState::Ready));
    let term = OrphanMonitorTerm::default();
    remote.tick(&LivenessAuthority::MonitoredAndOrphans(term), HOUR * 25 + SECOND);
    assert_eq!(remote.server(&"t".into()).map(|s| s.state), Some(ServerState::Terminated));
}

/// Tombstones expire after a day. Above the maximum number, the oldest ones are removed earlier.
#[test]
fn tombstones_are_bounded_in_time_and_number() {
    let mut local = directory("a", Duration::ZERO);
    (0..61_000).for_each(|n| drop(local.deregister(&format!("s{n}").into(), SECOND)));
    local.tick(&LivenessAuthority::Monitored, AFTER_RETENTION);
    assert_eq!((local.servers().count(), local.tombstone_count()), (0, 60_000));
    local.tick(&LivenessAuthority::Monitored, AFTER_RETENTION + HOUR * 25);
    assert_eq!(local.tombstone_count(), 0);
}

/// Returns the departures that are stored when a server drains and another one deregisters.
fn stored_departures() -> Vec<Server> {
    let mut directory = directory("before", SECOND);
    for id in ["draining", "terminated", "ready"] {
        let address = format!("{id}:1");
        directory.record_heartbeat(heartbeat(id, &address, ServerState::Ready, 1), SECOND);
    }
    assert_eq!(directory.take_departures(), []);
    directory.record_heartbeat(heartbeat("draining", "draining:1", ServerState::Draining, 2), SECOND);
    directory.deregister(&"terminated".into(), SECOND);
    let departures = directory.take_departures();
    let states: Vec<_> = departures.iter().map(|server| (server.id.as_str(), server.state)).collect();
    assert_eq!(states, [("draining", ServerState::Draining), ("terminated", ServerState::Terminated)]);
    directory.record_heartbeat(heartbeat("draining", "draining:1", ServerState::Draining, 3), SECOND);
    assert_eq!(directory.take_departures(), [], "a repeated report is no new departure");
    assert_eq!(directory.departures().len(), 2);
    departures
}

/// Guards against servers that departed before a restart and are brought back after it: by a list from another
/// disk, by a late heartbeat or by an update, at any time until the tombstone expires.
#[test]
fn departures_restored_after_a_restart_outlast_what_contradicts_them() {
    for age in [SECOND, AFTER_RETENTION, 23 * HOUR] {
        let mut local = directory("after", SECOND);
        local.restore_departures(stored_departures(), SECOND);
        assert_eq!(local.take_departures(), [], "what was restored is stored already");
        assert_eq!(local.departures().len(), 2, "and belongs to the next rewrite of the log");
        let now = SECOND + age;
        for id in ["draining", "terminated"] {
            let address = format!("{id}:1");
            let late = heartbeat(id, &address, ServerState::Ready, 9);
            let mut other = directory("other", now);
            other.record_heartbeat(late.clone(), now);
            synchronize(&mut local, &mut other, now);
            local.record_heartbeat(late, now);
            for process in [&local, &other] {
                let server = process.server(&id.into());
                let is_ready = server.is_some_and(|server| server.state == ServerState::Ready);
                assert!(!is_ready, "{id} is back at {} after {age:?}", process.own_node().name);
            }
        }
        let known = local.server_or_tombstone(&"terminated".into());
        assert!(known.is_some_and(|server| server.has_reported_termination()));
    }
}

/// The records of a log are restored in any order: the furthest report of each server counts.
#[test]
fn the_last_report_of_each_server_is_restored() {
    let mut terminated = stored_departures();
    let draining = terminated.remove(0);
    let ended = Server { state: ServerState::Terminated, ..draining.clone() };
    for records in [[draining.clone(), ended.clone()], [ended, draining]] {
        let mut local = directory("after", SECOND);
        local.restore_departures(records.to_vec(), SECOND);
        assert_eq!((local.servers().count(), local.tombstone_count()), (0, 1));
    }
}

/// A repeated deregistration of a server of which only the tombstone is left is still known as ended, so that it
/// can be acknowledged.
#[test]
fn a_server_with_a_tombstone_is_known_to_have_terminated() {
    let mut local = directory("local", SECOND);
    local.record_heartbeat(heartbeat("s", "s:1", ServerState::Ready, 1), SECOND);
    local.deregister(&"s".into(), SECOND);
    local.tick(&LivenessAuthority::Monitored, AFTER_RETENTION);
    assert!(local.server(&"s".into()).is_none());
    local.deregister(&"s".into(), AFTER_RETENTION);
    let known = local.server_or_tombstone(&"s".into());
    assert!(known.is_some_and(|server| server.has_reported_termination()));
    assert!(local.server_or_tombstone(&"t".into()).is_none());
}
