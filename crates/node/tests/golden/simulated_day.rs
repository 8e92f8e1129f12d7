//! One simulated day of whole processes: the exact bytes that they log, report to operators and send to each
//! other. Renames and refactorings leave them unchanged. An intended change of behaviour records them again,
//! and its commit says what has changed and why.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::rc::Rc;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::NoQuorum;
use ashvane_quorum::ContentDigest;
use tokio::time::sleep;

use super::assert_golden;
use super::simulation::{
    Direction, Machine, Recording, Simulation, configuration, finish_recording, ms, run_simulation,
    start_recording,
};

const CONTROL_NODES: usize = 5;
const GATEWAYS: usize = 4;
const SERVERS: usize = 12;
/// Time after which the caller of a control node gives up.
const CALL_TIMEOUT: std::time::Duration = ms(1000);

fn heartbeat(n: usize, state: ServerState, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: format!("i-{n}").into(),
        service: "s".to_owned().into(),
        address: format!("10.9.0.{n}:8080").into(),
        zone: format!("z{}", n % 3).into(),
        capacity: 4,
        state,
        sequence,
    }
}

async fn send_heartbeat(machine: &Rc<Machine>, heartbeat: Heartbeat) -> Option<Result<(), NoQuorum>> {
    machine.call(CALL_TIMEOUT, |agent| async move { agent.record_heartbeat(heartbeat).await }).await
}

async fn put(machine: &Rc<Machine>, version: u64, salt: u64) {
    let text = configuration(version, salt);
    machine.call(CALL_TIMEOUT, move |agent| async move { drop(agent.put(text.as_bytes()).await) }).await;
}

/// Sends a heartbeat of every server each second, spread over the running control nodes.
async fn send_heartbeats(simulation: &Simulation, seconds: u64, sequence: &mut u64) {
    for _ in 0..seconds {
        *sequence += 1;
        let running: Vec<_> =
            simulation.control_nodes().into_iter().filter(|m| m.agent().is_some()).collect();
        for n in 0..SERVERS {
            send_heartbeat(&running[n % running.len()], heartbeat(n, ServerState::Ready, *sequence)).await;
        }
        sleep(ms(1000)).await;
    }
}

async fn simulate_day() -> String {
    fastrand::seed(11);
    let simulation = Simulation::new(CONTROL_NODES, GATEWAYS, 1);
    let (mut sequence, machines) = (0, simulation.all_machines());
    sleep(ms(4000)).await;
    send_heartbeats(&simulation, 3, &mut sequence).await;
    put(&machines[0], 3, 1).await;
    // The same version with another text, an older version, and an invalid configuration.
    put(&machines[1], 3, 2).await;
    put(&machines[2], 2, 1).await;
    machines[3].call(CALL_TIMEOUT, |agent| async move { drop(agent.put(b"{}").await) }).await;
    // One server drains and deregisters, another one deregisters without draining.
    send_heartbeat(&machines[1], heartbeat(0, ServerState::Draining, sequence + 1)).await;
    machines[1].call(CALL_TIMEOUT, |agent| async move { agent.deregister(&"i-0".into()).await }).await;
    machines[2].call(CALL_TIMEOUT, |agent| async move { agent.deregister(&"i-1".into()).await }).await;
    send_heartbeats(&simulation, 4, &mut sequence).await;
    // A control node fails for good, and another machine replaces it.
    machines[4].kill(&simulation.network);
    machines[4].is_removed.set(true);
    let new = simulation.add_control_node();
    new.start(&simulation.network, false);
    send_heartbeats(&simulation, 16, &mut sequence).await;
    inject_faults(&simulation, &machines, &mut sequence).await;
    let states = simulation.all_machines().into_iter().filter_map(|machine| {
        let agent = machine.agent()?;
        Some(format!("{}\n{:#}\n", machine.name, agent.status()))
    });
    states.collect()
}

/// Injects a partition, a wiped disk, a graceful restart, a power loss everywhere, and the failure of a
/// control node together with its servers.
async fn inject_faults(simulation: &Simulation, machines: &[Rc<Machine>], sequence: &mut u64) {
    // Two machines are cut off for a while, and configurations are written on both sides.
    let isolated = [machines[0].ip.clone(), machines[7].ip.clone()];
    let partition = simulation.network.partition(Direction::Both, isolated);
    sleep(ms(3500)).await;
    put(&machines[0], 5, 1).await;
    put(&machines[1], 5, 2).await;
    sleep(ms(6000)).await;
    simulation.network.heal_partition(partition);
    send_heartbeats(simulation, 4, sequence).await;
    // One control node restarts with a wiped disk, another one shuts down gracefully and restarts, a gateway
    // is restarted.
    machines[1].kill(&simulation.network);
    machines[1].wipe();
    machines[1].start(&simulation.network, false);
    send_heartbeats(simulation, 6, sequence).await;
    machines[2].terminate(&simulation.network).await;
    sleep(ms(2000)).await;
    machines[2].start(&simulation.network, false);
    machines[6].kill(&simulation.network);
    machines[6].start(&simulation.network, false);
    put(&machines[0], 8, 4).await;
    send_heartbeats(simulation, 5, sequence).await;
    // Power fails on all machines.
    let all = simulation.all_machines();
    all.iter().for_each(|machine| machine.kill(&simulation.network));
    all.iter().for_each(|machine| machine.start(&simulation.network, false));
    sleep(ms(500)).await;
    send_heartbeats(simulation, 8, sequence).await;
    // A control node fails together with the servers that it monitors: another process reports them as
    // silent.
    machines[3].kill(&simulation.network);
    sleep(ms(22_000)).await;
}

/// Summarizes the traffic between each pair of processes: its bytes, their digest, and the number of messages
/// of each kind.
fn summarize_traffic(recording: &Recording) -> String {
    let mut text = String::new();
    for ((from, to), bytes) in &recording.traffic {
        let mut kinds: BTreeMap<String, u32> = BTreeMap::new();
        for line in bytes.split(|b| *b == b'\n').filter(|line| !line.is_empty()) {
            let value: serde_json::Value = serde_json::from_slice(line).unwrap_or_default();
            let kind = value.as_object().and_then(|o| o.keys().next().cloned());
            *kinds.entry(kind.unwrap_or_else(|| "unread".to_owned())).or_default() += 1;
        }
        let len = bytes.len();
        let digest = serde_json::to_string(&ContentDigest::of(bytes)).expect("a digest can be serialized");
        writeln!(text, "{from} > {to}: {len} bytes, {digest}, {kinds:?}")
            .expect("a string accepts every write");
    }
    text
}

#[test]
fn a_simulated_day_is_unchanged() {
    start_recording();
    let states = run_simulation(simulate_day());
    let recording = finish_recording();
    assert_golden("day-states.txt", &states);
    assert_golden("day-log.txt", &recording.log);
    assert_golden("day-traffic.txt", &summarize_traffic(&recording));
}
