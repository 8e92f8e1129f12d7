//! All machines start at once, with processors that are slow to read messages. The traffic must not grow into
//! a storm that sustains itself.

#[allow(dead_code)]
mod simulation;

use std::rc::Rc;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::{Agent, PutOutcome};
use ashvane_quorum::membership_manager::MAX_MEMBERS;
use simulation::bounds::Processor;
use simulation::{Direction, Simulation, ms, run_simulation};
use tokio::time::sleep;

const CONTROL_NODES: usize = 24;
const GATEWAYS: usize = 40;
const SERVERS: usize = 960;

fn start_all(per_chunk_ms: u64) -> Rc<Simulation> {
    fastrand::seed(1);
    let simulation = Simulation::new(CONTROL_NODES, GATEWAYS, 1);
    slow_down(&simulation, per_chunk_ms);
    simulation
}

fn first_heartbeat(server: usize) -> Heartbeat {
    Heartbeat {
        id: format!("i-{server}").into(),
        service: "s".to_owned().into(),
        address: format!("10.9.{}.{}:8080", server / 250, server % 250).into(),
        zone: "z0".to_owned().into(),
        capacity: 1,
        state: ServerState::Ready,
        sequence: 1,
    }
}

fn slow_down(simulation: &Simulation, per_chunk_ms: u64) {
    for machine in simulation.all_machines() {
        let processor = Processor { per_chunk: ms(per_chunk_ms), per_byte: ms(0) };
        simulation.network.bounds.limit_processor(&machine.ip, processor);
    }
}

/// Number of messages and of bytes that all control nodes have sent for a cause.
fn sent(simulation: &Simulation, cause: &str) -> (u64, u64) {
    let agents = simulation.control_nodes().into_iter().filter_map(|m| m.agent());
    let each = agents.filter_map(|agent| agent.traffic().get(cause).copied());
    each.fold((0, 0), |sum, sent| (sum.0 + sent.messages, sum.1 + sent.bytes))
}

#[test]
fn a_slow_process_gets_one_connection_attempt_at_a_time() {
    run_simulation(async {
        let simulation = start_all(0);
        sleep(ms(3000)).await;
        let before = simulation.network.bounds.traffic().connection_attempts;
        // The hello of each connection waits in a queue of about fifty messages, for longer than a tick.
        slow_down(&simulation, 30);
        simulation.all_machines().iter().for_each(|m| simulation.network.break_connections(&m.ip));
        sleep(ms(3000)).await;
        let calls = simulation.network.bounds.traffic().connection_attempts - before;
        // Opening another connection at each tick while one is pending takes 6,943 attempts.
        assert!(calls < 3500, "{calls} connections opened");
    });
}

#[test]
fn a_new_link_triggers_requests_to_its_member_only() {
    run_simulation(async {
        let simulation = start_all(3);
        sleep(ms(3000)).await;
        // Each control node reads the register at its start, and a few membership changes follow. Asking only
        // the member on the new link takes 2,052 messages, most of them for membership changes; asking all
        // members again at each new link takes 3,832.
        let (messages, _) = sent(&simulation, "register");
        assert!(messages < 3000, "{messages} messages for the register");
    });
}

#[test]
fn first_heartbeats_of_many_servers_are_sent_in_batches() {
    run_simulation(async {
        let simulation = start_all(0);
        sleep(ms(4000)).await;
        let (before, _) = sent(&simulation, "updates");
        let control_nodes = simulation.control_nodes();
        for n in 0..SERVERS {
            let heartbeat = first_heartbeat(n);
            let record = |agent: Rc<Agent>| async move { agent.record_heartbeat(heartbeat).await };
            assert_eq!(control_nodes[n % CONTROL_NODES].call(ms(1000), record).await, Some(Ok(())));
            if n % CONTROL_NODES == 0 {
                sleep(ms(10)).await;
            }
        }
        sleep(ms(1000)).await;
        for machine in simulation.all_machines() {
            let agent = machine.agent().expect("the process runs");
            let known = (0..SERVERS).filter(|n| agent.is_server_available(&format!("i-{n}").into())).count();
            assert_eq!(known, SERVERS, "on {}", machine.name);
        }
        // One message per server to each control node and each subscribed gateway takes 60,858 messages.
        let (after, _) = sent(&simulation, "updates");
        assert!(after - before < 8_000, "{} messages for updates", after - before);
    });
}

#[test]
fn a_gap_seen_by_all_peers_is_repaired_over_one_link_at_a_time() {
    run_simulation(async {
        let simulation = start_all(0);
        sleep(ms(4000)).await;
        let (_, before) = sent(&simulation, "gaps");
        let control_nodes = simulation.control_nodes();
        // A control node that was cut off while many servers started lacks all of them, so that it differs
        // from each peer.
        let isolated = control_nodes[CONTROL_NODES - 1].clone();
        let cut = simulation.network.partition(Direction::Both, [isolated.ip.clone()]);
        sleep(ms(4000)).await;
        for n in 0..SERVERS {
            let heartbeat = first_heartbeat(n);
            let record = |agent: Rc<Agent>| async move { agent.record_heartbeat(heartbeat).await };
            assert_eq!(control_nodes[n % 8].call(ms(1000), record).await, Some(Ok(())));
        }
        simulation.network.heal_partition(cut);
        // The wait is shorter than five heartbeat intervals, after which servers with a single heartbeat
        // would time out.
        sleep(ms(4500)).await;
        let agent = isolated.agent().expect("the process runs");
        let known = (0..SERVERS).filter(|n| agent.is_server_available(&format!("i-{n}").into())).count();
        assert_eq!(known, SERVERS);
        let (_, after) = sent(&simulation, "gaps");
        // A comparison over each link takes 66,484 bytes.
        assert!(after - before < 45_000, "{} bytes for gaps", after - before);
    });
}

#[test]
fn with_many_control_nodes_eleven_are_members_and_all_accept_configurations() {
    run_simulation(async {
        let simulation = start_all(0);
        sleep(ms(10_000)).await;
        for (version, machine) in (1..).zip(simulation.control_nodes()) {
            let text = simulation::configuration(version, 0);
            let put = |agent: Rc<Agent>| async move { agent.put(text.as_bytes()).await };
            let put = machine.call(ms(1000), put).await;
            assert!(
                matches!(put, Some(PutOutcome::Accepted { version: held }) if held == version),
                "on {}",
                machine.name
            );
            sleep(ms(100)).await;
        }
        let (before, _) = sent(&simulation, "register");
        sleep(ms(5000)).await;
        for machine in simulation.control_nodes() {
            let state = machine.agent().expect("the process runs").status();
            assert_eq!(state["disks"].as_array().map(Vec::len), Some(MAX_MEMBERS), "on {}", machine.name);
        }
        let (after, _) = sent(&simulation, "register");
        assert_eq!(after, before, "an idle system does not read the register");
    });
}
