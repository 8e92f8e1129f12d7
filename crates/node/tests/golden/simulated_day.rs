//! One simulated day of whole processes: what they log, what they tell operators and what they say to each other, to the
//! byte. A change of names or of shape leaves it as it is; a change of behaviour on purpose records it anew, and its
//! commit says what has changed and why.

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
/// How long a caller waits for its answer.
const PATIENCE: std::time::Duration = ms(1000);

fn heartbeat(n: usize, state: ServerState, seq: u64) -> Heartbeat {
    Heartbeat {
        id: format!("i-{n}").into(),
        service: "s".to_owned().into(),
        address: format!("10.9.0.{n}:8080").into(),
        zone: format!("z{}", n % 3).into(),
        capacity: 4,
        state,
        sequence: seq,
    }
}

async fn beat(machine: &Rc<Machine>, heartbeat: Heartbeat) -> Option<Result<(), NoQuorum>> {
    machine.call(PATIENCE, |agent| async move { agent.record_heartbeat(heartbeat).await }).await
}

async fn put(machine: &Rc<Machine>, version: u64, salt: u64) {
    let text = configuration(version, salt);
    machine.call(PATIENCE, move |agent| async move { drop(agent.put(text.as_bytes()).await) }).await;
}

/// All servers say each second that they are there, at the control nodes that are up.
async fn beats(simulation: &Simulation, seconds: u64, seq: &mut u64) {
    for _ in 0..seconds {
        *seq += 1;
        let up: Vec<_> = simulation.control_nodes().into_iter().filter(|m| m.agent().is_some()).collect();
        for n in 0..SERVERS {
            beat(&up[n % up.len()], heartbeat(n, ServerState::Ready, *seq)).await;
        }
        sleep(ms(1000)).await;
    }
}

async fn day() -> String {
    fastrand::seed(11);
    let simulation = Simulation::new(CONTROL_NODES, GATEWAYS, 1);
    let (mut seq, machines) = (0, simulation.all_machines());
    sleep(ms(4000)).await;
    beats(&simulation, 3, &mut seq).await;
    put(&machines[0], 3, 1).await;
    // The same number with another text, an older one, and one that is no configuration.
    put(&machines[1], 3, 2).await;
    put(&machines[2], 2, 1).await;
    machines[3].call(PATIENCE, |agent| async move { drop(agent.put(b"{}").await) }).await;
    // A server drains and ends, another ends without a word.
    beat(&machines[1], heartbeat(0, ServerState::Draining, seq + 1)).await;
    machines[1].call(PATIENCE, |agent| async move { agent.deregister(&"i-0".into()).await }).await;
    machines[2].call(PATIENCE, |agent| async move { agent.deregister(&"i-1".into()).await }).await;
    beats(&simulation, 4, &mut seq).await;
    // A control node is lost for good, and another machine takes its place.
    machines[4].kill(&simulation.network);
    machines[4].is_removed.set(true);
    let new = simulation.add_control_node();
    new.start(&simulation.network, false);
    beats(&simulation, 16, &mut seq).await;
    faults(&simulation, &machines, &mut seq).await;
    let states = simulation.all_machines().into_iter().filter_map(|machine| {
        let agent = machine.agent()?;
        Some(format!("{}\n{:#}\n", machine.name, agent.status()))
    });
    states.collect()
}

/// A cut, a wiped disk, an orderly restart, a loss of all power, and a control node that goes with its servers.
async fn faults(simulation: &Simulation, machines: &[Rc<Machine>], seq: &mut u64) {
    // Two that are cut off for a while, and orders at both sides.
    let far = [machines[0].ip.clone(), machines[7].ip.clone()];
    let cut = simulation.network.partition(Direction::Both, far);
    sleep(ms(3500)).await;
    put(&machines[0], 5, 1).await;
    put(&machines[1], 5, 2).await;
    sleep(ms(6000)).await;
    simulation.network.heal_partition(cut);
    beats(simulation, 4, seq).await;
    // One is wiped and back, one is told to end and comes back, a gateway starts anew.
    machines[1].kill(&simulation.network);
    machines[1].wipe();
    machines[1].start(&simulation.network, false);
    beats(simulation, 6, seq).await;
    machines[2].terminate(&simulation.network).await;
    sleep(ms(2000)).await;
    machines[2].start(&simulation.network, false);
    machines[6].kill(&simulation.network);
    machines[6].start(&simulation.network, false);
    put(&machines[0], 8, 4).await;
    beats(simulation, 5, seq).await;
    // Power fails everywhere.
    let all = simulation.all_machines();
    all.iter().for_each(|machine| machine.kill(&simulation.network));
    all.iter().for_each(|machine| machine.start(&simulation.network, false));
    sleep(ms(500)).await;
    beats(simulation, 8, seq).await;
    // A control node goes with the servers that it heard: another process says that those are silent.
    machines[3].kill(&simulation.network);
    sleep(ms(22_000)).await;
}

/// What passed, by way: lines, bytes, their digest, and how many of each kind.
fn traffic(recording: &Recording) -> String {
    let mut text = String::new();
    for ((from, to), bytes) in &recording.traffic {
        let mut kinds: BTreeMap<String, u32> = BTreeMap::new();
        for line in bytes.split(|b| *b == b'\n').filter(|line| !line.is_empty()) {
            let value: serde_json::Value = serde_json::from_slice(line).unwrap_or_default();
            let kind = value.as_object().and_then(|o| o.keys().next().cloned());
            *kinds.entry(kind.unwrap_or_else(|| "unread".to_owned())).or_default() += 1;
        }
        let len = bytes.len();
        let digest = serde_json::to_string(&ContentDigest::of(bytes)).expect("a number");
        writeln!(text, "{from} > {to}: {len} bytes, {digest}, {kinds:?}").expect("a line");
    }
    text
}

#[test]
fn a_simulated_day_is_as_it_was() {
    start_recording();
    let states = run_simulation(day());
    let recording = finish_recording();
    assert_golden("day-states.txt", &states);
    assert_golden("day-log.txt", &recording.log);
    assert_golden("day-traffic.txt", &traffic(&recording));
}
