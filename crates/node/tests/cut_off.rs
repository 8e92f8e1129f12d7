//! A control node is cut off from the others for up to twenty seconds, with whole processes in the
//! simulation: which state a gateway that starts meanwhile relies on, what the isolated node reports about
//! unreachable servers and processes, and which reports count.

#[allow(dead_code)]
mod simulation;

use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::{Agent, PutOutcome};
use serde_json::Value;
use simulation::{Direction, Machine, Simulation, configuration, ms, run_simulation};
use tokio::time::{Instant, sleep};

/// Time for which a control node is cut off.
const PARTITION_TIME: Duration = ms(20_000);
/// The shortest `drain-ms` among the users' sites: an acknowledged drain reaches every gateway within this
/// time.
const DRAIN_LIMIT: Duration = ms(3000);
/// Time after which the caller of a control node gives up.
const CALL_TIMEOUT: Duration = ms(1000);
const POLL_INTERVAL: Duration = ms(50);

async fn put(node: &Machine, version: u64) -> bool {
    let text = configuration(version, 0);
    let put = async move |agent: Rc<Agent>| agent.put(text.as_bytes()).await;
    matches!(node.call(CALL_TIMEOUT, put).await, Some(PutOutcome::Accepted { version: accepted }) if accepted >= version)
}

async fn heartbeat(node: &Machine, id: &str, state: ServerState, sequence: u64) -> bool {
    let heartbeat = Heartbeat {
        id: id.to_owned().into(),
        service: "s".to_owned().into(),
        address: format!("10.1.0.{}:8080", id.len()).into(),
        zone: "z0".to_owned().into(),
        capacity: 3,
        state,
        sequence,
    };
    node.call(CALL_TIMEOUT, async move |agent| agent.record_heartbeat(heartbeat).await).await == Some(Ok(()))
}

fn config_version(node: &Machine) -> u64 {
    node.agent().and_then(|agent| agent.config()).map_or(0, |config| config.version)
}

fn is_current(node: &Machine) -> bool {
    node.agent().is_some_and(|agent| agent.is_current())
}

fn knows_available(node: &Machine, id: &str) -> bool {
    node.agent().is_some_and(|agent| agent.is_server_available(&id.into()))
}

/// Number of entries in one section of a process's status that have a given value under a key.
fn entries(node: &Machine, section: &str, key: &str, expected: &Value) -> usize {
    let state = node.agent().map(|agent| agent.status()).unwrap_or_default();
    state[section].as_array().map_or(0, |all| all.iter().filter(|entry| entry[key] == *expected).count())
}

fn is_linked(node: &Machine, other: &Machine) -> bool {
    let state = node.agent().map(|agent| agent.status()).unwrap_or_default();
    let node = |n: &Value| n["node"] == *other.name && n["state"] == "linked";
    state["nodes"].as_array().is_some_and(|nodes| nodes.iter().any(node))
}

/// Term of the orphan monitor known to a process, and whether the process holds this duty.
fn orphan_monitor(node: &Machine) -> ((u64, u64), bool) {
    let state = node.agent().map(|agent| agent.status()).unwrap_or_default();
    let duty = &state["duties"][1];
    let number = |name: &str| duty[name].as_u64().unwrap_or(0);
    // Terms are ordered by the epoch of the membership, then by their number.
    ((number("epoch"), number("term")), duty["held here"] == true)
}

/// Starts five control nodes and three gateways that have applied version 1.
async fn start_system() -> Rc<Simulation> {
    let simulation = Simulation::new(5, 3, 1);
    sleep(ms(2000)).await;
    assert!(put(&simulation.all_machines()[1], 1).await);
    sleep(ms(5000)).await;
    assert!(simulation.all_machines()[5..].iter().all(|m| is_current(m) && config_version(m) == 1));
    simulation
}

fn isolate(simulation: &Simulation, a: &Machine, b: &Machine) {
    simulation.network.block(&a.ip, &b.ip);
    simulation.network.block(&b.ip, &a.ip);
}

fn restart(simulation: &Simulation, machine: &Machine) {
    machine.kill(&simulation.network);
    machine.start(&simulation.network, false);
}

#[test]
fn a_gateway_that_reaches_only_an_isolated_control_node_does_not_become_ready() {
    run_simulation(async {
        let simulation = start_system().await;
        let (isolated, gateway) =
            (simulation.all_machines()[0].clone(), simulation.all_machines()[5].clone());
        simulation.network.partition(Direction::Both, [isolated.ip.clone(), gateway.ip.clone()]);
        sleep(ms(1000)).await;
        assert!(put(&simulation.all_machines()[1], 2).await);
        restart(&simulation, &gateway);
        let began = Instant::now();
        while began.elapsed() < PARTITION_TIME {
            sleep(POLL_INTERVAL).await;
            assert!(
                !is_current(&gateway),
                "ready with version {} after {:?}",
                config_version(&gateway),
                began.elapsed()
            );
        }
        assert_eq!(
            config_version(&gateway),
            1,
            "the gateway receives the older version from the isolated node"
        );
        simulation.network.heal_all();
        sleep(ms(4000)).await;
        assert!(is_current(&gateway) && config_version(&gateway) == 2);
    });
}

#[test]
fn a_gateway_that_reaches_the_majority_becomes_ready_with_its_state() {
    // Before the isolated node can detect the partition, and after its time-outs for all other nodes have
    // expired.
    for before in [ms(1000), ms(8000)] {
        run_simulation(async move {
            let simulation = start_system().await;
            // The first control node, a seed of all machines, is cut off from the other control nodes only.
            let control_nodes = simulation.control_nodes();
            control_nodes[1..].iter().for_each(|other| isolate(&simulation, &control_nodes[0], other));
            sleep(before).await;
            assert!(put(&simulation.all_machines()[1], 2).await);
            assert!(heartbeat(&simulation.all_machines()[1], "i-1", ServerState::Ready, 1).await);
            let gateways = simulation.all_machines().split_off(5);
            gateways.iter().for_each(|gateway| restart(&simulation, gateway));
            let began = Instant::now();
            while !gateways.iter().all(|gateway| is_current(gateway)) {
                sleep(ms(1)).await;
                assert!(
                    began.elapsed() < ms(2500),
                    "the gateways become ready with the state of the majority"
                );
                for gateway in gateways.iter().filter(|gateway| is_current(gateway)) {
                    assert_eq!(config_version(gateway), 2, "{} after {:?}", gateway.name, began.elapsed());
                    assert!(knows_available(gateway, "i-1"), "{} after {:?}", gateway.name, began.elapsed());
                }
            }
            println!("partition of {before:?}: all three gateways are ready after {:?}", began.elapsed());
        });
    }
}

/// A control node of the majority freezes at some moment while the gateway starts. The gateway must still
/// obtain the newest version that the other nodes have reported to it.
#[test]
fn a_gateway_is_ready_only_with_the_newest_version_that_a_peer_has_reported() {
    run_simulation(async {
        let simulation = start_system().await;
        let (all, control_nodes) = (simulation.all_machines(), simulation.control_nodes());
        let (isolated, gateway) = (&all[0], &all[5]);
        all[1..].iter().filter(|m| m.name != gateway.name).for_each(|m| isolate(&simulation, isolated, m));
        sleep(ms(5000)).await;
        let moments = (12..60).step_by(4).flat_map(|moment| (1..5).map(move |index| (moment, index)));
        for (newest, (moment, index)) in (2..).zip(moments) {
            gateway.kill(&simulation.network);
            let frozen = &control_nodes[index];
            let writer = &control_nodes[1 + index % 4];
            assert!(put(writer, newest).await);
            gateway.start(&simulation.network, false);
            sleep(ms(moment)).await;
            frozen.freeze(true);
            let began = Instant::now();
            while !is_current(gateway) {
                sleep(ms(1)).await;
                assert!(began.elapsed() < ms(4000));
            }
            assert_eq!(
                config_version(gateway),
                newest,
                "{} freezes {moment} ms after the start of the gateway",
                frozen.name
            );
            frozen.freeze(false);
            sleep(ms(5000)).await;
        }
    });
}

/// A gateway sends verification requests all the time. The isolated control node is reconnected to the others
/// at each moment between two of the requests.
#[test]
fn a_rejoining_control_node_confirms_the_quorum_only_once_it_has_caught_up() {
    for moment in (0..1000).step_by(50) {
        run_simulation(async move {
            let simulation = start_system().await;
            let all = simulation.all_machines();
            let (rejoining, gateway) = (&all[0], &all[5]);
            let remote: Vec<_> =
                all.iter().filter(|m| m.name != rejoining.name && m.name != gateway.name).collect();
            assert!(heartbeat(&all[1], "i-1", ServerState::Ready, 1).await);
            sleep(ms(1000)).await;
            for other in &remote {
                isolate(&simulation, rejoining, other);
                isolate(&simulation, gateway, other);
            }
            sleep(ms(3000)).await;
            assert!(heartbeat(&all[1], "i-1", ServerState::Draining, 2).await);
            restart(&simulation, gateway);
            sleep(ms(2000 + moment)).await;
            assert!(
                knows_available(gateway, "i-1"),
                "the gateway has the state of the isolated control node"
            );
            simulation.network.heal_all();
            remote.iter().for_each(|other| isolate(&simulation, gateway, other));
            let began = Instant::now();
            while !is_current(gateway) {
                sleep(ms(1)).await;
                assert!(began.elapsed() < ms(5000));
            }
            assert!(
                !knows_available(gateway, "i-1"),
                "ready after {:?} with an outdated list of servers",
                began.elapsed()
            );
        });
    }
}

#[test]
fn a_gateway_subscribes_to_a_control_node_with_a_quorum() {
    run_simulation(async {
        let simulation = start_system().await;
        let (all, control_nodes) = (simulation.all_machines(), simulation.control_nodes());
        for (n, isolated) in control_nodes.iter().enumerate() {
            let others: Vec<_> = control_nodes.iter().filter(|m| m.name != isolated.name).collect();
            let id = format!("i-{}", "1".repeat(n + 1));
            for sequence in 1..4 {
                assert!(heartbeat(others[0], &id, ServerState::Ready, sequence).await);
                sleep(ms(1000)).await;
            }
            others.iter().for_each(|other| isolate(&simulation, isolated, other));
            // The node detects that it has lost the quorum, and reports it in its next digest.
            for sequence in 4..9 {
                assert!(heartbeat(others[0], &id, ServerState::Ready, sequence).await);
                sleep(ms(1000)).await;
            }
            assert!(all[5..].iter().all(|m| knows_available(m, &id)));
            assert!(heartbeat(others[0], &id, ServerState::Draining, 9).await);
            sleep(ms(100)).await;
            let outdated = all[5..].iter().filter(|m| knows_available(m, &id)).count();
            assert_eq!(outdated, 0, "{} is isolated and still has subscribers", isolated.name);
            simulation.network.heal_all();
            sleep(ms(6000)).await;
        }
    });
}

/// Every pair of the five control nodes is tried, so that some pairs are those that the gateway selects by
/// itself.
#[test]
fn a_gateway_linked_only_to_isolated_control_nodes_connects_to_others() {
    for (a, b) in (0..5).flat_map(|a| (0..a).map(move |b| (a, b))) {
        run_simulation(async move {
            let simulation = start_system().await;
            let (gateway, control_nodes) = (simulation.all_machines()[5].clone(), simulation.control_nodes());
            let pair = [control_nodes[a].clone(), control_nodes[b].clone()];
            let others: Vec<_> =
                control_nodes.into_iter().filter(|m| pair.iter().all(|p| p.name != m.name)).collect();
            let isolate_pair = || {
                pair.iter().for_each(|p| others.iter().for_each(|other| isolate(&simulation, p, other)));
            };
            gateway.set_seed_nodes(&pair);
            restart(&simulation, &gateway);
            sleep(ms(4000)).await;
            isolate_pair();
            sleep(ms(6000)).await;
            let linked = others.iter().filter(|other| is_linked(&gateway, other)).count();
            assert!(
                linked > 0,
                "a ready gateway connects to other nodes than {} and {}",
                pair[0].name,
                pair[1].name
            );
            simulation.network.heal_all();
            sleep(ms(6000)).await;
            // The gateway starts before the pair can detect the partition.
            isolate_pair();
            assert!(put(&others[0], 2).await);
            restart(&simulation, &gateway);
            let began = Instant::now();
            while !is_current(&gateway) {
                sleep(POLL_INTERVAL).await;
                assert!(
                    began.elapsed() < ms(2400),
                    "a starting gateway connects to other nodes than {} and {}",
                    pair[0].name,
                    pair[1].name
                );
            }
            assert_eq!(config_version(&gateway), 2);
        });
    }
}

#[test]
fn without_a_quorum_a_gateway_stays_ready_and_a_new_one_becomes_ready_with_the_newest_known_version() {
    run_simulation(async {
        let simulation = start_system().await;
        let all = simulation.all_machines();
        all[..3].iter().for_each(|control_node| control_node.kill(&simulation.network));
        restart(&simulation, &all[5]);
        // The time for which a gateway is frozen does not count as waiting for a quorum.
        let frozen = all[7].clone();
        restart(&simulation, &frozen);
        sleep(ms(1000)).await;
        frozen.freeze(true);
        let began = Instant::now();
        while began.elapsed() < ms(28_000) {
            sleep(POLL_INTERVAL).await;
            assert!(is_current(&all[6]), "a ready gateway stays ready");
            assert!(!is_current(&all[5]), "ready after {:?} without a majority", began.elapsed());
        }
        sleep(ms(2000)).await;
        assert!(is_current(&all[5]) && config_version(&all[5]) == 1);
        frozen.freeze(false);
        sleep(ms(2000)).await;
        assert!(!is_current(&frozen));
    });
}

#[test]
fn an_isolated_control_node_reports_nothing_as_silent_or_down_and_acknowledges_no_drain() {
    run_simulation(async {
        let simulation = start_system().await;
        let isolated = simulation.all_machines()[0].clone();
        assert!(heartbeat(&isolated, "i-1", ServerState::Ready, 1).await);
        sleep(ms(2000)).await;
        simulation.network.partition(Direction::Both, [isolated.ip.clone()]);
        let began = Instant::now();
        assert!(
            !heartbeat(&isolated, "i-333", ServerState::Draining, 1).await,
            "no drain is acknowledged before the node has detected the partition"
        );
        let mut sequence = 2;
        while began.elapsed() < PARTITION_TIME {
            // The server continues its heartbeats at a reachable control node.
            assert!(heartbeat(&simulation.all_machines()[1], "i-1", ServerState::Ready, sequence).await);
            sequence += 1;
            sleep(ms(1000)).await;
            assert_eq!(entries(&isolated, "servers", "silent", &true.into()), 0, "{:?}", began.elapsed());
            assert_eq!(entries(&isolated, "nodes", "state", &"down".into()), 0, "{:?}", began.elapsed());
            assert!(simulation.all_machines()[1..].iter().all(|m| knows_available(m, "i-1")));
            if began.elapsed() > ms(4000) {
                let requested = Instant::now();
                assert!(!heartbeat(&isolated, "i-22", ServerState::Draining, sequence).await);
                assert!(
                    requested.elapsed() < ms(50),
                    "a drain is rejected at once after the partition is detected"
                );
            }
        }
        simulation.network.heal_all();
        let healed = Instant::now();
        while healed.elapsed() < ms(10_000) {
            assert!(heartbeat(&simulation.all_machines()[1], "i-1", ServerState::Ready, sequence).await);
            sequence += 1;
            sleep(ms(500)).await;
            assert!(simulation.all_machines()[1..].iter().all(|m| knows_available(m, "i-1")));
        }
    });
}

#[test]
fn a_control_node_without_a_membership_acknowledges_no_drain() {
    run_simulation(async {
        let simulation = start_system().await;
        let wiped = simulation.all_machines()[4].clone();
        simulation.network.partition(Direction::Both, [wiped.ip.clone()]);
        wiped.wipe();
        restart(&simulation, &wiped);
        sleep(ms(1000)).await;
        assert!(!heartbeat(&wiped, "i-1", ServerState::Draining, 1).await);
    });
}

#[test]
fn the_orphan_monitor_moves_to_another_node_and_its_former_holder_follows() {
    run_simulation(async {
        let simulation = start_system().await;
        let all = simulation.all_machines();
        // A server and the control node that monitors it fail together.
        assert!(heartbeat(&all[3], "i-1", ServerState::Ready, 1).await);
        sleep(ms(1000)).await;
        all[3].kill(&simulation.network);
        sleep(ms(25_000)).await;
        assert!(all[5..].iter().all(|m| !knows_available(m, "i-1")), "the server is reported as silent");
        let (term, is_holder) = orphan_monitor(&all[0]);
        assert!(is_holder && term.1 > 0, "the first control node is the orphan monitor");
        all[3].start(&simulation.network, false);
        sleep(ms(5000)).await;
        // The holder is cut off, and another server fails together with the control node that monitors it.
        assert!(heartbeat(&all[2], "i-22", ServerState::Ready, 1).await);
        simulation.network.partition(Direction::Both, [all[0].ip.clone()]);
        all[2].kill(&simulation.network);
        let began = Instant::now();
        while began.elapsed() < ms(28_000) {
            sleep(POLL_INTERVAL).await;
            let holders =
                all[..5].iter().filter(|m| orphan_monitor(m) == (orphan_monitor(&all[1]).0, true)).count();
            assert!(holders <= 1, "{holders} nodes hold the duty in one term");
        }
        let (next, is_holder) = orphan_monitor(&all[1]);
        assert!(is_holder && next > term, "{next:?} after {term:?}");
        assert!(!orphan_monitor(&all[0]).1, "an isolated node gives up the duty");
        assert!(all[5..].iter().all(|m| !knows_available(m, "i-22")));
        simulation.network.heal_all();
        all[2].start(&simulation.network, false);
        sleep(ms(8000)).await;
        // Returning nodes are readmitted, which starts a new epoch and with it a new term for all.
        let (last, is_holder) = orphan_monitor(&all[0]);
        assert!(
            !is_holder && last >= next && last == orphan_monitor(&all[1]).0,
            "the former holder follows the new term: {last:?}"
        );
        let known: Vec<_> = all.iter().filter_map(|m| m.agent()).map(|agent| agent.digest()).collect();
        assert!(known.iter().all(|digest| *digest == known[0]), "{known:?}");
    });
}

#[test]
fn the_orphan_monitor_is_held_only_once_a_majority_has_recorded_the_term() {
    run_simulation(async {
        let simulation = start_system().await;
        let all = simulation.all_machines();
        assert!(heartbeat(&all[3], "i-1", ServerState::Ready, 1).await);
        sleep(ms(1000)).await;
        all[3].kill(&simulation.network);
        // Shortly before the duty is taken, all other nodes freeze, which the first node cannot detect yet.
        sleep(ms(17_000)).await;
        let ((_, round), is_holder) = orphan_monitor(&all[0]);
        assert!(round == 0 && !is_holder);
        all[1..].iter().for_each(|other| other.freeze(true));
        let began = Instant::now();
        while began.elapsed() < ms(5000) {
            sleep(POLL_INTERVAL).await;
            assert!(!orphan_monitor(&all[0]).1 && knows_available(&all[0], "i-1"), "{:?}", began.elapsed());
        }
        assert!(orphan_monitor(&all[0]).0.1 > 0, "the first node has started a term");
        all[1..].iter().for_each(|other| other.freeze(false));
        sleep(ms(20_000)).await;
        assert!(all[5..].iter().all(|m| !knows_available(m, "i-1")));
    });
}

#[test]
fn a_drain_reaches_a_gateway_in_time_while_its_publisher_is_frozen() {
    run_simulation(async {
        let simulation = start_system().await;
        let all = simulation.all_machines();
        assert!(heartbeat(&all[1], "i-1", ServerState::Ready, 1).await);
        sleep(ms(2000)).await;
        let mut longest = Duration::ZERO;
        for (n, frozen) in all[..5].iter().enumerate() {
            let id = format!("i-{}", "1".repeat(n + 2));
            let writer = if n == 1 { &all[2] } else { &all[1] };
            assert!(heartbeat(writer, &id, ServerState::Ready, 1).await);
            sleep(ms(4000)).await;
            frozen.freeze(true);
            assert!(heartbeat(writer, &id, ServerState::Draining, 2).await);
            let acknowledged = Instant::now();
            while all[5..].iter().any(|m| knows_available(m, &id)) {
                sleep(POLL_INTERVAL).await;
                assert!(acknowledged.elapsed() < DRAIN_LIMIT, "{} is frozen", frozen.name);
            }
            longest = longest.max(acknowledged.elapsed());
            frozen.freeze(false);
            sleep(ms(6000)).await;
        }
        assert!(longest > Duration::ZERO, "one of the frozen nodes has a subscribed gateway");
        println!("longest time from an acknowledged drain to the last gateway: {longest:?}");
    });
}
