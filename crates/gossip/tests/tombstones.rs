//! What is remembered of servers and processes that are gone: it is bounded, and no late message brings one back.

use std::time::Duration;

use ashvane_gossip::{
    BucketSet, Directory, Heartbeat, LivenessAuthority, Node, OrphanMonitorTerm, Server, ServerState, Update,
};

const BEAT: Duration = Duration::from_millis(1000);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);
/// Longer than entries of what is gone are told to others.
const A_WHILE: Duration = Duration::from_secs(700);

fn node(name: &str, incarnation: u64, disk: bool) -> Node {
    Node {
        name: name.into(),
        incarnation,
        generation: 1,
        is_down: false,
        address: format!("{name}:7000").into(),
        control_address: None,
        zone: "z0".into(),
        is_gateway: !disk,
        disk: disk.then(|| format!("disk of {name}").into()),
    }
}

fn directory(name: &str, now: Duration) -> Directory {
    Directory::new(node(name, 1, true), BEAT, now)
}

fn heartbeat(id: &str, address: &str, state: ServerState, sequence: u64) -> Heartbeat {
    let (service, zone) = ("v".into(), "z0".into());
    Heartbeat { id: id.into(), service, address: address.into(), zone, capacity: 2, state, sequence }
}

fn learn(directory: &mut Directory, updates: Vec<Update>, now: Duration) {
    updates.into_iter().for_each(|update| drop(directory.apply(update, now)));
}

/// One tells another what that one's summary lacks, and is told what is said against it.
fn tell(from: &mut Directory, to: &mut Directory, now: Duration) {
    let told = from.updates_missing_from(&to.summary(BucketSet::ALL));
    let against: Vec<Update> = told.iter().filter_map(|update| to.refutation_of(update)).collect();
    learn(to, told, now);
    learn(from, against, now);
}

/// Both compare all that they know, as neighbours do.
fn compare(a: &mut Directory, b: &mut Directory, now: Duration) {
    tell(a, b, now);
    tell(b, a, now);
}

/// A server of the played days, and at which of the two directories it beats.
struct Played {
    id: u64,
    address: u64,
    seq: u64,
    at: usize,
}

/// Each server says that it is there; both directories hear of it.
fn send_heartbeats(directories: &mut [Directory; 2], servers: &mut [Played], now: Duration) {
    for server in servers {
        server.seq += 1;
        let heartbeat = heartbeat(
            &format!("s{}", server.id),
            &format!("x{}:1", server.address),
            ServerState::Ready,
            server.seq,
        );
        let told = directories[server.at].record_heartbeat(heartbeat, now);
        learn(&mut directories[1 - server.at], told, now);
    }
}

/// Forty thousand restarts a day, some of them of servers that crash and come back at their address, 230 machines a day
/// lost for good: what both directories hold does not grow from one hour to the next.
#[test]
fn what_is_kept_of_what_is_gone_is_bounded() {
    const LIVE: u64 = 100;
    let mut rng = fastrand::Rng::with_seed(1);
    let mut directories = [directory("a", Duration::ZERO), directory("b", Duration::ZERO)];
    let (mut born, mut now) = (LIVE, Duration::ZERO);
    let mut servers: Vec<Played> =
        (0..LIVE).map(|n| Played { id: n, address: n, seq: 0, at: n as usize % 2 }).collect();
    let (mut addresses, mut most, mut nodes) = (LIVE, [(0, 0); 3], 0);
    for second in 0..3 * 3600u64 {
        now += SECOND;
        // A restart each 2.16 seconds.
        if second * 100 % 216 < 100 {
            let at = rng.usize(..servers.len());
            let (old, in_order) = (&servers[at], rng.bool());
            let id = format!("s{}", old.id);
            if in_order {
                let told = directories[old.at].deregister(&id.into(), now);
                learn(&mut directories[1 - old.at], told, now);
            }
            born += 1;
            // One of 174 crashes with its machine.
            let moved = !in_order && rng.u32(..87) == 0;
            addresses += u64::from(moved);
            let address = if moved { addresses } else { old.address };
            servers[at] = Played { id: born, address, seq: 0, at: rng.usize(..2) };
        }
        // A gateway's machine goes for good, and another takes its place.
        if second % 375 == 0 {
            nodes += 1;
            for directory in &mut directories {
                directory.apply(Update::Node(node(&format!("gateway-{nodes}"), nodes, false)), now);
                directory.mark_down(&format!("gateway-{}", nodes - 1).into(), now);
            }
        }
        send_heartbeats(&mut directories, &mut servers, now);
        for n in 0..2 {
            let told = directories[n].tick(&LivenessAuthority::Monitored, now);
            learn(&mut directories[1 - n], told, now);
        }
        let hour = (second / 3600) as usize;
        for directory in &directories {
            let (entries, names) = &mut most[hour];
            *entries = (directory.servers().count() + directory.nodes().count()).max(*entries);
            *names = directory.tombstone_count().max(*names);
        }
    }
    let [a, b] = &mut directories;
    compare(a, b, now);
    let live = |d: &Directory| {
        d.servers().filter(|s| s.state < ServerState::Terminated && !s.has_timed_out()).count()
    };
    assert_eq!(directories.each_ref().map(live), [LIVE as usize; 2]);
    assert_eq!(directories[0].digest(1), directories[1].digest(1));
    println!("entries and names at most in each hour: {most:?}");
    // The servers that live, those that ended in the last ten minutes, and what fell silent with its machine.
    assert!(most.iter().all(|(entries, _)| *entries < 500), "{most:?}");
    assert!(most[2].1 < 3 * 3600 * 100 / 216, "no more names than restarts: {most:?}");
    assert!(directories.iter().all(|d| d.nodes().count() < 10));
}

/// Of a server that has ended only the name is left; whatever arrives late of it, from wherever, changes nothing, and whoever
/// still tells of it as running is told.
#[test]
fn no_late_message_brings_a_server_back() {
    let (mut here, mut away) = (directory("a", Duration::ZERO), directory("b", Duration::ZERO));
    let told = here.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 5), SECOND);
    learn(&mut away, told, SECOND);
    here.record_heartbeat(heartbeat("s", "x:1", ServerState::Draining, 6), SECOND * 2);
    here.deregister(&"s".into(), SECOND * 3);
    let mut now = A_WHILE;
    here.tick(&LivenessAuthority::Monitored, now);
    assert!(here.server(&"s".into()).is_none() && here.tombstone_count() == 1, "only its name is left");
    // The other one was cut off all the while, and compares first.
    now += SECOND;
    let late: Server = away.server(&"s".into()).cloned().expect("known there");
    assert!(here.apply(Update::Server(late.clone()), now).is_empty());
    let later = Server { heartbeat_sequence: 900, ..late };
    assert!(here.apply(Update::Server(later), now).is_empty());
    assert!(here.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 7), now).is_empty());
    assert!(here.deregister(&"s".into(), now).is_empty());
    assert!(here.server(&"s".into()).is_none());
    compare(&mut away, &mut here, now);
    assert_eq!(away.server(&"s".into()).map(|s| s.state), Some(ServerState::Terminated));
    assert!(here.server(&"s".into()).is_none_or(|s| s.state == ServerState::Terminated));
}

/// A process that is down for a while is forgotten but for its name and life. What is told of that life later is refused;
/// the next life is known as soon as it comes, whatever its number.
#[test]
fn of_a_process_that_is_gone_only_a_later_life_counts() {
    for life in [3, 9] {
        let mut here = directory("a", Duration::ZERO);
        let before = node("gateway", 5, false);
        here.apply(Update::Node(before.clone()), SECOND);
        here.mark_down(&"gateway".into(), SECOND);
        here.tick(&LivenessAuthority::Monitored, A_WHILE);
        assert!(here.node(&"gateway".into()).is_none() && here.tombstone_count() == 1);
        assert!(here.apply(Update::Node(before.clone()), A_WHILE).is_empty(), "a late message");
        assert!(here.node(&"gateway".into()).is_none());
        let mut back = Directory::new(node("gateway", life, false), BEAT, A_WHILE);
        compare(&mut back, &mut here, A_WHILE);
        compare(&mut here, &mut back, A_WHILE);
        assert_eq!(here.node(&"gateway".into()).map(|n| (n.incarnation, n.is_down)), Some((life, false)));
        assert_eq!(here.digest(1), back.digest(1));
    }
}

/// A control node that is down is looked for much longer.
#[test]
fn a_control_node_that_is_down_is_kept_for_a_day() {
    let mut here = directory("a", Duration::ZERO);
    here.apply(Update::Node(node("b", 2, true)), SECOND);
    here.mark_down(&"b".into(), SECOND);
    here.tick(&LivenessAuthority::Monitored, HOUR * 23);
    assert!(here.node(&"b".into()).is_some_and(|n| n.is_down));
    here.tick(&LivenessAuthority::Monitored, HOUR * 25);
    assert!(here.node(&"b".into()).is_none());
}

/// A server that crashed is ended once another is heard at its address, or after a day; by its keeper, or by the holder of
/// the duty of hearing where the keeper is gone.
#[test]
fn a_silent_server_ends_with_its_address_or_after_a_day() {
    let silent = |here: &mut Directory| {
        let mut now = SECOND;
        here.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 1), now);
        while !here.server(&"s".into()).is_some_and(Server::has_timed_out) {
            now += SECOND;
            assert!(now < SECOND * 20);
            here.tick(&LivenessAuthority::Monitored, now);
        }
        now
    };
    let state = |here: &Directory| here.server(&"s".into()).map(|s| s.state);
    let mut here = directory("a", Duration::ZERO);
    let now = silent(&mut here);
    here.tick(&LivenessAuthority::Monitored, now + HOUR * 23);
    assert_eq!(state(&here), Some(ServerState::Ready));
    here.tick(&LivenessAuthority::Monitored, now + HOUR * 25);
    assert_eq!(state(&here), Some(ServerState::Terminated));
    // It was cut off, and runs: it counts again after a while.
    let back = now + HOUR * 25 + A_WHILE;
    here.tick(&LivenessAuthority::Monitored, back);
    here.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 90_000), back);
    assert_eq!(state(&here), Some(ServerState::Ready));
    // Another at its address was heard elsewhere before this one was missed.
    let mut here = directory("a", Duration::ZERO);
    here.record_heartbeat(heartbeat("s", "x:1", ServerState::Ready, 1), SECOND);
    let other =
        directory("b", Duration::ZERO).record_heartbeat(heartbeat("t", "x:1", ServerState::Ready, 1), SECOND);
    learn(&mut here, other, SECOND);
    assert_eq!(state(&here), Some(ServerState::Ready), "which one is the later is not known yet");
    let now = silent(&mut here);
    here.tick(&LivenessAuthority::Monitored, now + SECOND);
    assert_eq!(state(&here), Some(ServerState::Terminated));
    // One that another heard is left to that one, or to the holder of the duty.
    let mut there = directory("b", Duration::ZERO);
    let told = Server { monitor: "c".into(), ..here.server(&"t".into()).cloned().expect("t") };
    let claimed = Server { liveness: ashvane_gossip::Liveness::TimedOut, ..told };
    there.apply(Update::Server(claimed), SECOND);
    there.tick(&LivenessAuthority::Monitored, HOUR * 25);
    assert_eq!(there.server(&"t".into()).map(|s| s.state), Some(ServerState::Ready));
    let term = OrphanMonitorTerm::default();
    there.tick(&LivenessAuthority::MonitoredAndOrphans(term), HOUR * 25 + SECOND);
    assert_eq!(there.server(&"t".into()).map(|s| s.state), Some(ServerState::Terminated));
}

/// Names are forgotten after a day, and the oldest ones before that where there are too many.
#[test]
fn names_are_bounded_in_time_and_number() {
    let mut here = directory("a", Duration::ZERO);
    (0..61_000).for_each(|n| drop(here.deregister(&format!("s{n}").into(), SECOND)));
    here.tick(&LivenessAuthority::Monitored, A_WHILE);
    assert_eq!((here.servers().count(), here.tombstone_count()), (0, 60_000));
    here.tick(&LivenessAuthority::Monitored, A_WHILE + HOUR * 25);
    assert_eq!(here.tombstone_count(), 0);
}
