//! Prints the traffic and the propagation delay of updates by the numbers of machines and servers, to show
//! costs that grow faster than these numbers. Run by hand:
//!
//! `cargo test --release -p ashvane-node --test curves -- --ignored --nocapture`; `CURVES=600,27,10000` runs
//! one size (gateways, control nodes, servers).

#[allow(dead_code)]
mod simulation;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::PutOutcome;
use simulation::{Machine, Simulation, configuration, ms, run_simulation};
use tokio::time::{Instant, sleep};

const CALL_TIMEOUT: Duration = ms(2000);
const POLL_INTERVAL: Duration = ms(10);

struct Size {
    gateways: usize,
    control_nodes: usize,
    servers: usize,
}

fn heartbeat(server: usize, state: ServerState, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: format!("i-{server}").into(),
        service: format!("s{}", server % 40).into(),
        address: format!("10.9.{}.{}:8080", server / 250, server % 250).into(),
        zone: "z0".to_owned().into(),
        capacity: 3,
        state,
        sequence,
    }
}

/// Sums the messages and bytes sent by all control nodes, or by all gateways, by topic.
fn sent_traffic(simulation: &Simulation, of_control_nodes: bool) -> BTreeMap<&'static str, (u64, u64)> {
    let mut totals: BTreeMap<&'static str, (u64, u64)> = BTreeMap::new();
    for machine in
        simulation.all_machines().iter().filter(|machine| machine.is_control_node() == of_control_nodes)
    {
        for (topic, sent) in machine.agent().map(|agent| agent.traffic()).unwrap_or_default() {
            let sum = totals.entry(topic).or_default();
            (sum.0, sum.1) = (sum.0 + sent.messages, sum.1 + sent.bytes);
        }
    }
    totals
}

/// Returns the time in milliseconds until the condition holds at the median machine and at the last one,
/// `u128::MAX` for a machine where it does not hold within 20 s.
async fn time_until_known(machines: &[Rc<Machine>], is_known: impl Fn(&Machine) -> bool) -> (u128, u128) {
    let started_at = Instant::now();
    let mut times = vec![None; machines.len()];
    while times.iter().any(Option::is_none) && started_at.elapsed() < Duration::from_secs(20) {
        for (machine, time) in machines.iter().zip(&mut times) {
            if time.is_none() && is_known(machine) {
                *time = Some(started_at.elapsed().as_millis());
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    let mut times: Vec<u128> = times.into_iter().map(|time| time.unwrap_or(u128::MAX)).collect();
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

#[expect(clippy::too_many_lines, reason = "one measurement, step after step")]
async fn measure_size(size: Size) {
    fastrand::seed(1);
    let max_failures = if size.control_nodes > 5 { 2 } else { 1 };
    let simulation = Simulation::new(size.control_nodes, size.gateways, max_failures);
    sleep(ms(8000)).await;
    let (control_nodes, all) = (simulation.control_nodes(), simulation.all_machines());
    let gateways: Vec<_> = all.iter().filter(|machine| !machine.is_control_node()).cloned().collect();
    // Each control node receives the heartbeats of its part of the servers, each second.
    for (first, control_node) in control_nodes.iter().enumerate() {
        let (servers, step) = (size.servers, control_nodes.len());
        let send_heartbeats = move |agent: Rc<ashvane_node::agent::Agent>| async move {
            for sequence in 1.. {
                for server in (first..servers).step_by(step) {
                    let recorded =
                        agent.record_heartbeat(heartbeat(server, ServerState::Ready, sequence)).await;
                    assert!(recorded.is_ok(), "a heartbeat needs no quorum");
                }
                sleep(ms(1000)).await;
            }
        };
        tokio::task::spawn_local({
            let control_node = control_node.clone();
            async move { control_node.call(Duration::from_secs(3600), send_heartbeats).await }
        });
    }
    let last = format!("i-{}", size.servers - 1);
    let (all_servers, _) = time_until_known(&gateways, |machine| {
        machine.agent().is_some_and(|agent| agent.is_server_available(&last.as_str().into()))
    })
    .await;
    sleep(ms(10_000)).await;
    let before = (sent_traffic(&simulation, true), sent_traffic(&simulation, false));
    sleep(ms(10_000)).await;
    let after = (sent_traffic(&simulation, true), sent_traffic(&simulation, false));
    let text = configuration(7, 0);
    let put = |agent: Rc<ashvane_node::agent::Agent>| async move { agent.put(text.as_bytes()).await };
    assert!(matches!(
        control_nodes[0].call(CALL_TIMEOUT, put).await,
        Some(PutOutcome::Accepted { version: 7 })
    ));
    let is_in_force = |machine: &Machine| {
        machine.agent().and_then(|agent| agent.config()).is_some_and(|config| config.version == 7)
    };
    let config = time_until_known(&gateways, is_in_force).await;
    let mut drains = Vec::new();
    for server in 0..5 {
        let (control_node, id) = (&control_nodes[server % control_nodes.len()], format!("i-{server}"));
        let send_draining = move |agent: Rc<ashvane_node::agent::Agent>| async move {
            agent.record_heartbeat(heartbeat(server, ServerState::Draining, 1_000_000)).await
        };
        assert_eq!(
            control_node.call(CALL_TIMEOUT, send_draining).await,
            Some(Ok(())),
            "the drain is acknowledged by a quorum"
        );
        drains.push(
            time_until_known(&gateways, |machine| {
                machine.agent().is_some_and(|agent| !agent.is_server_available(&id.as_str().into()))
            })
            .await,
        );
    }
    let drain = (drains.iter().map(|times| times.0).max(), drains.iter().map(|times| times.1).max());
    println!(
        "{} gateways, {} control nodes, {} servers: all servers known after {all_servers} ms; configuration {config:?} ms, drain \
         {drain:?} ms (median and last gateway)",
        size.gateways, size.control_nodes, size.servers
    );
    for (role, before, after, process_count) in [
        ("control node", &before.0, &after.0, size.control_nodes),
        ("gateway", &before.1, &after.1, size.gateways),
    ] {
        let describe_topic = |topic: &&'static str| {
            let (lines, bytes) = after[topic];
            let (lines_before, bytes_before) = before.get(topic).copied().unwrap_or_default();
            let rate = |after: u64, before: u64| (after - before) as f64 / 10.0 / process_count as f64;
            format!("{topic} {:.1}/{:.0}", rate(lines, lines_before), rate(bytes, bytes_before))
        };
        let topics: Vec<String> = after.keys().map(describe_topic).collect();
        println!("    sent by each {role}, lines/bytes per second without changes: {}", topics.join(", "));
    }
}

#[test]
#[ignore = "takes minutes and prints a table; run by hand"]
fn traffic_and_propagation_delay_by_system_size() {
    let number = |text: &str| text.parse().expect("CURVES holds three numbers");
    let sizes: Vec<Vec<usize>> = match std::env::var("CURVES") {
        Ok(size) => vec![size.split(',').map(number).collect()],
        Err(_) => vec![
            vec![9, 5, 51],
            vec![60, 9, 120],
            vec![60, 9, 1200],
            vec![200, 9, 1200],
            vec![600, 27, 10_000],
        ],
    };
    for size in sizes {
        let [gateways, control_nodes, servers] = size[..] else { panic!("a size must be three numbers") };
        run_simulation(measure_size(Size { gateways, control_nodes, servers }));
    }
}
