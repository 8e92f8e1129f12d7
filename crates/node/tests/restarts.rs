//! All processes are killed and start again with what is on their disks, while servers run that some of the
//! disks do not name: which servers each process uses after that. Whole processes in the simulation.

#[allow(dead_code, reason = "each test uses its part of the simulation")]
mod simulation;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::disk::StoredState;
use simulation::{Machine, Simulation, configuration, ms, run_simulation};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// `recovery-s` of the users' sites: time after the return of the machines within which servers are used
/// again.
const RECOVERY_TIME: Duration = ms(12_000);
/// Time between two heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = ms(1000);
/// Time that the caller of a control node waits for an answer.
const CALL_TIMEOUT: Duration = ms(1000);
const CONTROL_NODES: usize = 5;
const GATEWAYS: usize = 3;
const SERVERS: usize = 8;

/// What happens to the machines at the end of the day.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Index of the control node that is away while the servers are started anew.
    away: usize,
    /// Whether the gateways are killed too.
    kills_gateways: bool,
    /// Time between the start of the control node that was away and that of the others. Negative if the
    /// others start first.
    head_start_ms: i64,
    /// Whether the disks lose the lists that were written since the servers were started anew.
    loses_power: bool,
    /// Whether the servers belong to another service after they were started anew.
    changes_service: bool,
}

/// A server that sends heartbeats until it is stopped.
struct RunningServer {
    id: String,
    is_stopped: Rc<Cell<bool>>,
}

/// Starts a server, which sends its first heartbeat within 0.3 s, each one to another control node that runs.
fn start_server(simulation: &Rc<Simulation>, n: usize, start: usize, service: &'static str) -> RunningServer {
    let (id, is_stopped) = (format!("i-{n}-{start}"), Rc::new(Cell::new(false)));
    let (simulation, server_id, has_ended) = (simulation.clone(), id.clone(), is_stopped.clone());
    spawn_local(async move {
        sleep(ms(fastrand::u64(..300))).await;
        let mut target = n;
        for sequence in 1.. {
            if has_ended.get() {
                return;
            }
            let heartbeat = Heartbeat {
                id: server_id.as_str().into(),
                service: service.into(),
                address: format!("10.1.0.{n}:8080").into(),
                zone: format!("z{}", n % 3).as_str().into(),
                capacity: 3,
                state: ServerState::Ready,
                sequence,
            };
            let nodes: Vec<_> =
                simulation.control_nodes().into_iter().filter(|node| node.agent().is_some()).collect();
            if let Some(node) = nodes.get(target % nodes.len().max(1)) {
                let call = async move |agent: Rc<ashvane_node::agent::Agent>| {
                    agent.record_heartbeat(heartbeat).await
                };
                if node.call(CALL_TIMEOUT, call).await != Some(Ok(())) {
                    target += 1;
                }
            }
            sleep(HEARTBEAT_INTERVAL).await;
        }
    });
    RunningServer { id, is_stopped }
}

fn start_servers(simulation: &Rc<Simulation>, start: usize, service: &'static str) -> Vec<RunningServer> {
    (0..SERVERS).map(|n| start_server(simulation, n, start, service)).collect()
}

async fn configure(node: &Machine, version: u64) {
    let text = configuration(version, 0);
    let put = async move |agent: Rc<ashvane_node::agent::Agent>| drop(agent.put(text.as_bytes()).await);
    node.call(CALL_TIMEOUT, put).await;
}

/// Returns the servers that a process does not use although they run.
fn lost_servers(machine: &Machine, servers: &[RunningServer]) -> Vec<String> {
    let agent = machine.agent();
    let is_used = |id: &str| agent.as_ref().is_some_and(|agent| agent.is_server_available(&id.into()));
    servers.iter().filter(|server| !is_used(&server.id)).map(|server| server.id.clone()).collect()
}

/// Starts the machines that were killed in the order of the scenario.
async fn start_machines(simulation: &Simulation, scenario: Scenario) {
    let machines = simulation.all_machines();
    let start_others = || {
        let others = machines.iter().enumerate().filter(|(at, _)| *at != scenario.away);
        others.for_each(|(_, machine)| machine.start(&simulation.network, false));
    };
    let start_away = || machines[scenario.away].start(&simulation.network, false);
    let delay = ms(scenario.head_start_ms.unsigned_abs());
    if scenario.head_start_ms >= 0 {
        start_away();
        sleep(delay).await;
        start_others();
    } else {
        start_others();
        sleep(delay).await;
        start_away();
    }
}

/// Plays a day and asserts that all running servers are used again in time.
async fn play(scenario: Scenario) {
    fastrand::seed(5);
    let simulation = Simulation::new(CONTROL_NODES, GATEWAYS, 1);
    let machines = simulation.all_machines();
    sleep(ms(2000)).await;
    configure(&machines[1], 1).await;
    let before = start_servers(&simulation, 1, "s");
    sleep(ms(8000)).await;
    before.iter().for_each(|server| server.is_stopped.set(true));
    sleep(ms(1500)).await;
    machines[scenario.away].kill(&simulation.network);
    let disks: Vec<_> = machines[..CONTROL_NODES].iter().filter_map(|m| m.storage.clone()).collect();
    let outdated: Vec<StoredState> = disks.iter().map(|disk| disk.synced_state.borrow().clone()).collect();
    sleep(ms(600)).await;
    let servers = start_servers(&simulation, 2, if scenario.changes_service { "t" } else { "s" });
    sleep(ms(2100)).await;
    let killed = if scenario.kills_gateways { CONTROL_NODES + GATEWAYS } else { CONTROL_NODES };
    machines[..killed].iter().for_each(|machine| machine.kill(&simulation.network));
    if scenario.loses_power {
        for (disk, outdated) in disks.iter().zip(outdated) {
            disk.synced_state.borrow_mut().servers = outdated.servers;
        }
    }
    sleep(ms(1000)).await;
    start_machines(&simulation, scenario).await;
    sleep(RECOVERY_TIME).await;
    for machine in &machines {
        let lost = lost_servers(machine, &servers);
        assert!(lost.is_empty(), "{scenario:?}: {} does not use {lost:?}, which run", machine.name);
        let ended = before.len() - lost_servers(machine, &before).len();
        assert_eq!(ended, 0, "{scenario:?}: {} uses servers that have crashed", machine.name);
    }
}

/// Plays all scenarios in which these processes are killed: one control node is away, starts first or late,
/// with the lists of servers intact or without the last ones, and the addresses keep their service or not.
fn play_all(kills_gateways: bool, away: usize) {
    for head_start_ms in [50, -4000] {
        for (loses_power, changes_service) in [(false, false), (true, false), (false, true)] {
            let scenario = Scenario { away, kills_gateways, head_start_ms, loses_power, changes_service };
            run_simulation(play(scenario));
        }
    }
}

/// Guards against running servers that are lost after a restart: a control node that was away names their
/// predecessors, which the others take for newer. The servers' heartbeats were then ignored for ten minutes.
#[test]
fn after_a_restart_of_all_processes_every_running_server_is_used_again_within_the_recovery_time() {
    play_all(true, 0);
}

/// The same with another control node away, whose name is the highest, so that the others compare their
/// entries with it and not the reverse.
#[test]
fn after_a_restart_of_all_processes_the_order_of_their_names_does_not_matter() {
    play_all(true, 4);
}

/// The same with the gateways left running, which know the servers as they were.
#[test]
fn after_a_restart_of_the_control_nodes_every_running_server_is_used_again_within_the_recovery_time() {
    play_all(false, 0);
}

#[test]
fn after_a_restart_of_the_control_nodes_the_order_of_their_names_does_not_matter() {
    play_all(false, 4);
}
