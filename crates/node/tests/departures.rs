//! Servers report that they are draining or have terminated, and are acknowledged; then processes are killed, or
//! disks lost. No process may list such a server as ready again, although it never repeats its report. Whole
//! processes in the simulation, where a kill also loses everything that is not synced.

#[allow(dead_code, reason = "each test uses its part of the simulation")]
mod simulation;

use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::{Agent, PutOutcome};
use simulation::{Machine, Simulation, configuration, ms, run_simulation};
use tokio::time::sleep;

/// Twice `contact-ms` of the users' sites: time after the return of the machines from which they are in touch,
/// if the core was lost.
const IN_TOUCH_AFTER: Duration = ms(10_000);
/// Time that the caller of a control node waits for an answer.
const CALL_TIMEOUT: Duration = ms(1000);
/// Time between a server's first heartbeats and its departure: the servers are on all disks by then.
const TIME_TO_SAVE: Duration = ms(3000);
/// Time after which only the tombstone of a terminated server is left.
const ENTRY_RETENTION: Duration = ms(610_000);
const CONTROL_NODES: usize = 5;
const GATEWAYS: usize = 3;

/// Report by which a server departs.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// A heartbeat with the state `draining`.
    Draining,
    /// `DELETE`, without `draining` before it.
    Deregistration,
}

const DEPARTURES: [Departure; 2] = [Departure::Draining, Departure::Deregistration];

fn heartbeat(id: &str, address: &str, state: ServerState, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: id.into(),
        service: "s".into(),
        address: address.into(),
        zone: "z1".into(),
        capacity: 3,
        state,
        sequence,
    }
}

/// Sends a heartbeat to a control node. Returns whether it was acknowledged.
async fn send_heartbeat(node: &Machine, heartbeat: Heartbeat) -> bool {
    let call = async move |agent: Rc<Agent>| agent.record_heartbeat(heartbeat).await;
    node.call(CALL_TIMEOUT, call).await == Some(Ok(()))
}

/// Sends the report of a server to a control node. Returns whether it was acknowledged.
async fn report(node: &Machine, id: &str, departure: Departure) -> bool {
    let id = id.to_owned();
    match departure {
        Departure::Draining => {
            send_heartbeat(node, heartbeat(&id, &address_of(&id), ServerState::Draining, 9)).await
        }
        Departure::Deregistration => {
            let call = async move |agent: Rc<Agent>| agent.deregister(&id.as_str().into()).await;
            node.call(CALL_TIMEOUT, call).await == Some(Ok(()))
        }
    }
}

fn address_of(id: &str) -> String {
    format!("10.1.0.{}:8080", id.trim_start_matches("i-"))
}

/// Starts a system with a configuration and servers that have sent one heartbeat each.
async fn start_system(ids: &[&str]) -> Rc<Simulation> {
    fastrand::seed(7);
    let simulation = Simulation::new(CONTROL_NODES, GATEWAYS, 2);
    sleep(ms(2000)).await;
    let machines = simulation.all_machines();
    let text = configuration(1, 0);
    machines[0]
        .call(CALL_TIMEOUT, async move |agent: Rc<Agent>| drop(agent.put(text.as_bytes()).await))
        .await;
    for (n, id) in ids.iter().enumerate() {
        let first = heartbeat(id, &address_of(id), ServerState::Ready, 1);
        assert!(send_heartbeat(&machines[n % CONTROL_NODES], first).await, "{id} is acknowledged");
    }
    sleep(TIME_TO_SAVE).await;
    simulation
}

fn kill(simulation: &Simulation, machines: &[Rc<Machine>]) {
    machines.iter().for_each(|machine| machine.kill(&simulation.network));
}

fn start(simulation: &Simulation, machines: &[Rc<Machine>]) {
    machines.iter().for_each(|machine| machine.start(&simulation.network, false));
}

/// Kills machines and starts them again, and waits until they are in touch.
async fn restart(simulation: &Simulation, machines: &[Rc<Machine>]) {
    kill(simulation, machines);
    sleep(ms(1200)).await;
    start(simulation, machines);
    sleep(IN_TOUCH_AFTER).await;
}

/// Whether a process lists a server as ready, timed out or not. Gateways use timed-out servers where they are
/// most of their service.
fn is_listed_as_ready(machine: &Machine, id: &str) -> bool {
    let status = machine.agent().expect("the process runs").status();
    let servers = status["servers"].as_array().expect("the status lists the servers");
    servers.iter().any(|server| server["server"] == id && server["state"] == "ready")
}

fn assert_departed(simulation: &Simulation, id: &str, scenario: &str) {
    for machine in simulation.all_machines() {
        let is_ready = machine.agent().is_some() && is_listed_as_ready(&machine, id);
        assert!(!is_ready, "{scenario}: {} lists {id} as ready", machine.name);
    }
}

/// Plays a day for each kind of departure: a server departs and is acknowledged, the fault follows at once, and
/// after it no process may list the server as ready.
fn assert_departure_survives(scenario: &str, fault: impl AsyncFn(&Simulation, &[Rc<Machine>])) {
    for departure in DEPARTURES {
        run_simulation(async {
            let simulation = start_system(&["i-1"]).await;
            let machines = simulation.all_machines();
            assert!(report(&machines[0], "i-1", departure).await);
            fault(&simulation, &machines).await;
            assert_departed(&simulation, "i-1", &format!("{departure:?}, {scenario}"));
        });
    }
}

/// Guards against departures that only the memory of a majority holds: all processes are killed right after
/// the acknowledgement, and the lists on the disks still name the server as ready.
#[test]
fn an_acknowledged_departure_survives_the_kill_of_all_processes() {
    assert_departure_survives("all processes killed", async |simulation, machines| {
        restart(simulation, machines).await;
    });
}

/// The same with the gateways left running, which know of the departure.
#[test]
fn an_acknowledged_departure_survives_the_kill_of_the_control_nodes() {
    assert_departure_survives("control nodes killed", async |simulation, machines| {
        restart(simulation, &machines[..CONTROL_NODES]).await;
    });
}

/// Guards against departures that too few disks hold: as many disks as may be lost are wiped while all other
/// machines lose power.
#[test]
fn an_acknowledged_departure_survives_the_loss_of_a_minority_of_the_disks() {
    for wiped in [[0, 1], [1, 2], [3, 4], [0, 4]] {
        assert_departure_survives(&format!("disks {wiped:?} wiped"), async |simulation, machines| {
            kill(simulation, machines);
            wiped.iter().for_each(|at: &usize| machines[*at].wipe());
            restart(simulation, machines).await;
        });
    }
}

/// Guards against an older list: a control node is away when the server departs, returns first after all
/// were killed, and still names the server as ready.
#[test]
fn a_control_node_that_returns_with_an_older_list_does_not_bring_a_departed_server_back() {
    for departure in DEPARTURES {
        for away in [0, CONTROL_NODES - 1] {
            run_simulation(async move {
                let simulation = start_system(&["i-1"]).await;
                let machines = simulation.all_machines();
                machines[away].kill(&simulation.network);
                sleep(ms(4000)).await;
                assert!(report(&machines[2], "i-1", departure).await);
                kill(&simulation, &machines);
                machines[away].start(&simulation.network, false);
                sleep(ms(300)).await;
                restart(&simulation, &machines).await;
                assert_departed(&simulation, "i-1", &format!("{departure:?}, {away} was away"));
            });
        }
    }
}

/// Guards against departures that are lost with the disks that confirmed them: control nodes that were away
/// learn them afterwards, and then all others lose their disks, two at a time.
#[test]
fn a_departure_is_also_stored_by_control_nodes_that_learn_it_later() {
    for departure in DEPARTURES {
        run_simulation(async move {
            let simulation = start_system(&["i-1"]).await;
            let machines = simulation.all_machines();
            kill(&simulation, &machines[3..CONTROL_NODES]);
            sleep(ms(4000)).await;
            assert!(report(&machines[0], "i-1", departure).await);
            start(&simulation, &machines[3..CONTROL_NODES]);
            sleep(IN_TOUCH_AFTER).await;
            for wiped in [0..2, 2..3] {
                kill(&simulation, &machines[wiped.clone()]);
                machines[wiped.clone()].iter().for_each(|machine| machine.wipe());
                sleep(ms(1000)).await;
                start(&simulation, &machines[wiped]);
                sleep(IN_TOUCH_AFTER).await;
            }
            restart(&simulation, &machines).await;
            assert_departed(&simulation, "i-1", &format!("{departure:?}, all first disks wiped"));
        });
    }
}

/// Control nodes are replaced, one after another, by others with empty disks at other addresses.
#[test]
fn an_acknowledged_departure_survives_the_replacement_of_control_nodes() {
    assert_departure_survives("two control nodes replaced", async |simulation, machines| {
        for old in &machines[..2] {
            old.kill(&simulation.network);
            old.is_removed.set(true);
            sleep(ms(1000)).await;
            simulation.add_control_node().start(&simulation.network, false);
            sleep(IN_TOUCH_AFTER).await;
        }
        restart(simulation, &simulation.all_machines()).await;
    });
}

/// Four servers depart at the same moment, at three control nodes, and all processes are killed as soon as all
/// are acknowledged.
#[test]
fn departures_at_the_same_moment_all_survive() {
    run_simulation(async move {
        let ids = ["i-1", "i-2", "i-3", "i-4"];
        let simulation = start_system(&ids).await;
        let machines = simulation.all_machines();
        let (first, second, third, fourth) = tokio::join!(
            report(&machines[0], ids[0], Departure::Deregistration),
            report(&machines[1], ids[1], Departure::Draining),
            report(&machines[1], ids[2], Departure::Deregistration),
            report(&machines[4], ids[3], Departure::Draining),
        );
        assert!(first && second && third && fourth);
        restart(&simulation, &machines).await;
        ids.iter().for_each(|id| assert_departed(&simulation, id, "four departures at once"));
    });
}

/// A majority of the disks hangs: the report must not be acknowledged, because it would not survive. With a
/// minority that hangs it is acknowledged in time.
#[test]
fn a_departure_is_acknowledged_only_while_a_majority_of_the_disks_syncs() {
    for departure in DEPARTURES {
        for (hanging, is_acknowledged) in [(0..3, false), (2..5, false), (0..2, true), (3..5, true)] {
            run_simulation(async move {
                let simulation = start_system(&["i-1"]).await;
                let machines = simulation.all_machines();
                for machine in &machines[hanging.clone()] {
                    let storage = machine.storage.as_ref().expect("a control node has a disk");
                    storage.sync_time.set(ms(5000));
                }
                let result = report(&machines[0], "i-1", departure).await;
                assert_eq!(result, is_acknowledged, "{departure:?}, disks {hanging:?} hang");
            });
        }
    }
}

/// After all processes were killed, the server repeats a report whose acknowledgement it did not get, and the
/// address has a new server.
#[test]
fn after_a_restart_a_report_is_acknowledged_again_and_the_address_can_have_a_new_server() {
    for departure in DEPARTURES {
        run_simulation(async move {
            let simulation = start_system(&["i-1"]).await;
            let machines = simulation.all_machines();
            assert!(report(&machines[0], "i-1", departure).await);
            kill(&simulation, &machines);
            sleep(ms(1200)).await;
            start(&simulation, &machines);
            sleep(ms(3000)).await;
            assert!(report(&machines[3], "i-1", departure).await, "{departure:?} is acknowledged again");
            for sequence in 1..=8 {
                let successor = heartbeat("i-9", &address_of("i-1"), ServerState::Ready, sequence);
                assert!(send_heartbeat(&machines[2], successor).await);
                sleep(ms(1000)).await;
            }
            assert_departed(&simulation, "i-1", &format!("{departure:?}, address reused"));
            for machine in &machines {
                let agent = machine.agent().expect("the process runs");
                assert!(agent.is_server_available(&"i-9".into()), "{} uses the successor", machine.name);
            }
        });
    }
}

/// A heartbeat that was sent before the departure arrives after all processes were killed.
#[test]
fn after_a_restart_a_late_heartbeat_does_not_bring_a_departed_server_back() {
    assert_departure_survives("late heartbeat", async |simulation, machines| {
        kill(simulation, machines);
        sleep(ms(1200)).await;
        start(simulation, machines);
        sleep(ms(2000)).await;
        send_heartbeat(&machines[4], heartbeat("i-1", &address_of("i-1"), ServerState::Ready, 8)).await;
        sleep(ms(3000)).await;
    });
}

/// A gateway that starts after the others learns of the departure, or of no such server.
#[test]
fn a_gateway_that_starts_later_does_not_use_a_departed_server() {
    assert_departure_survives("a gateway started later", async |simulation, machines| {
        let late = &machines[CONTROL_NODES];
        late.kill(&simulation.network);
        let others: Vec<_> = machines.iter().filter(|machine| machine.name != late.name).cloned().collect();
        restart(simulation, &others).await;
        late.start(&simulation.network, false);
        sleep(ms(5000)).await;
    });
}

/// Heartbeats cost no sync, neither those of ready servers nor those that repeat `draining`.
#[test]
fn heartbeats_cost_no_sync() {
    run_simulation(async move {
        let simulation = start_system(&["i-1", "i-2"]).await;
        let machines = simulation.all_machines();
        assert!(report(&machines[0], "i-1", Departure::Draining).await);
        let sync_count = || -> u64 {
            machines.iter().filter_map(|machine| machine.storage.as_ref()).map(|s| s.sync_count.get()).sum()
        };
        let mut before = 0;
        for sequence in 10..50 {
            if sequence == 20 {
                before = sync_count();
            }
            let draining = heartbeat("i-1", &address_of("i-1"), ServerState::Draining, sequence);
            assert!(send_heartbeat(&machines[0], draining).await);
            assert!(
                send_heartbeat(
                    &machines[1],
                    heartbeat("i-2", &address_of("i-2"), ServerState::Ready, sequence)
                )
                .await
            );
            sleep(ms(1000)).await;
        }
        assert_eq!(sync_count() - before, 0, "syncs during 60 heartbeats");
    });
}

/// The log holds few records beyond those that are needed, however many servers have departed, and all
/// departures survive its rewrites.
#[test]
fn the_log_of_departures_is_bounded() {
    run_simulation(async move {
        let simulation = start_system(&[]).await;
        let machines = simulation.all_machines();
        let ids: Vec<String> = (1..=400).map(|n| format!("i-{n}")).collect();
        for departure in DEPARTURES {
            for id in &ids {
                assert!(report(&machines[0], id, departure).await);
            }
        }
        for machine in &machines[..CONTROL_NODES] {
            let storage = machine.storage.as_ref().expect("a control node has a disk");
            let records = storage.departures.borrow().len();
            assert!(records < 800, "{} has {records} records of 400 servers", machine.name);
        }
        restart(&simulation, &machines).await;
        for id in &ids {
            assert_departed(&simulation, id, "after rewrites of the log");
        }
    });
}

/// Guards against a repeated `DELETE` that is refused because only the tombstone of its server is left.
#[test]
fn a_deregistration_is_acknowledged_again_after_its_entry_has_expired() {
    run_simulation(async move {
        let simulation = Simulation::new(3, 0, 1);
        let machines = simulation.all_machines();
        sleep(ms(2000)).await;
        assert!(report(&machines[0], "i-1", Departure::Deregistration).await);
        sleep(ENTRY_RETENTION).await;
        for machine in &machines {
            assert!(report(machine, "i-1", Departure::Deregistration).await, "{} refuses", machine.name);
        }
    });
}

/// Guards against a control node that exits while a server or an operator waits for the disks of a majority: the caller
/// would not learn that its call has taken effect.
#[test]
fn calls_that_wait_for_disks_are_answered_before_their_control_node_exits() {
    run_simulation(async {
        let simulation = start_system(&["i-1", "i-2"]).await;
        let nodes = simulation.control_nodes();
        for node in &nodes {
            node.storage.as_ref().expect("a control node has a disk").sync_time.set(ms(100));
        }
        let leaving = nodes[4].clone();
        let text = configuration(2, 0);
        let calls = spawn_calls(&leaving, text);
        sleep(ms(10)).await;
        let exited_after = leaving.terminate(&simulation.network).await;
        assert!(exited_after.is_some_and(|time| time < ms(3000)), "{exited_after:?}");
        assert_eq!(calls.await.expect("the calls do not panic"), (true, true, true));
    });
}

/// Lets two servers depart and an operator put a configuration at the same moment. Returns which of them were answered.
fn spawn_calls(node: &Rc<Machine>, text: String) -> tokio::task::JoinHandle<(bool, bool, bool)> {
    let node = node.clone();
    tokio::task::spawn_local(async move {
        let put = node.call(CALL_TIMEOUT, async move |agent: Rc<Agent>| {
            matches!(agent.put(text.as_bytes()).await, PutOutcome::Accepted { version: 2 })
        });
        let (draining, gone, put) = tokio::join!(
            report(&node, "i-1", Departure::Draining),
            report(&node, "i-2", Departure::Deregistration),
            put
        );
        (draining, gone, put == Some(true))
    })
}
