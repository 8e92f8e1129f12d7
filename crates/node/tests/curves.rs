//! What it costs to know, by the numbers of machines and servers: a table, by hand. What grows faster than its cause shows.
//!
//! `cargo test --release -p ashvane-node --test curves -- --ignored --nocapture`; `CURVES=600,27,10000` plays one size.

#[allow(dead_code)]
mod simulation;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::PutOutcome;
use simulation::{Machine, Simulation, configuration, ms, play};
use tokio::time::{Instant, sleep};

const CALL_TIMEOUT: Duration = ms(2000);
const POLL_INTERVAL: Duration = ms(10);

struct Size {
    gateways: usize,
    control_nodes: usize,
    servers: usize,
}

fn heartbeat(n: usize, state: ServerState, sequence: u64) -> Heartbeat {
    Heartbeat {
        id: format!("i-{n}").into(),
        service: format!("s{}", n % 40).into(),
        address: format!("10.9.{}.{}:8080", n / 250, n % 250).into(),
        zone: "z0".to_owned().into(),
        capacity: 3,
        state,
        sequence,
    }
}

fn sent_traffic(simulation: &Simulation, control_node: bool) -> BTreeMap<&'static str, (u64, u64)> {
    let mut all: BTreeMap<&'static str, (u64, u64)> = BTreeMap::new();
    for machine in simulation.all().iter().filter(|m| m.is_control_node() == control_node) {
        for (topic, sent) in machine.agent().map(|agent| agent.traffic()).unwrap_or_default() {
            let sum = all.entry(topic).or_default();
            (sum.0, sum.1) = (sum.0 + sent.messages, sum.1 + sent.bytes);
        }
    }
    all
}

/// When each of these machines knows, in milliseconds from now: the middle one and the last.
async fn time_until_known(machines: &[Rc<Machine>], knows: impl Fn(&Machine) -> bool) -> (u128, u128) {
    let began = Instant::now();
    let mut times = vec![None; machines.len()];
    while times.iter().any(Option::is_none) && began.elapsed() < Duration::from_secs(20) {
        for (machine, time) in machines.iter().zip(&mut times) {
            if time.is_none() && knows(machine) {
                *time = Some(began.elapsed().as_millis());
            }
        }
        sleep(POLL_INTERVAL).await;
    }
    let mut times: Vec<u128> = times.into_iter().map(|t| t.unwrap_or(u128::MAX)).collect();
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

#[expect(clippy::too_many_lines, reason = "not done yet: The rest reads as well")]
async fn play_size(size: Size) {
    fastrand::seed(1);
    let max_failures = if size.control_nodes > 5 { 2 } else { 1 };
    let simulation = Simulation::new(size.control_nodes, size.gateways, max_failures);
    sleep(ms(8000)).await;
    let (control_nodes, all) = (simulation.control_nodes(), simulation.all());
    let gateways: Vec<_> = all.iter().filter(|m| !m.is_control_node()).cloned().collect();
    // Each control_node hears its part of the servers, each second.
    for (at, control_node) in control_nodes.iter().enumerate() {
        let (servers, step) = (size.servers, control_nodes.len());
        let send_heartbeats = move |agent: Rc<ashvane_node::agent::Agent>| async move {
            for sequence in 1.. {
                for n in (at..servers).step_by(step) {
                    let recorded = agent.record_heartbeat(heartbeat(n, ServerState::Ready, sequence)).await;
                    assert!(recorded.is_ok(), "a heartbeat needs no quorum");
                }
                sleep(ms(1000)).await;
            }
        };
        tokio::task::spawn_local({
            let control_node = control_node.clone();
            async move { control_node.ask(Duration::from_secs(3600), send_heartbeats).await }
        });
    }
    let last = format!("i-{}", size.servers - 1);
    let (all_servers, _) = time_until_known(&gateways, |m| {
        m.agent().is_some_and(|h| h.is_server_available(&last.as_str().into()))
    })
    .await;
    sleep(ms(10_000)).await;
    let before = (sent_traffic(&simulation, true), sent_traffic(&simulation, false));
    sleep(ms(10_000)).await;
    let after = (sent_traffic(&simulation, true), sent_traffic(&simulation, false));
    let text = configuration(7, 0);
    let put = |agent: Rc<ashvane_node::agent::Agent>| async move { agent.put(text.as_bytes()).await };
    assert!(matches!(
        control_nodes[0].ask(CALL_TIMEOUT, put).await,
        Some(PutOutcome::Accepted { version: 7 })
    ));
    let version = |m: &Machine| m.agent().and_then(|h| h.config()).is_some_and(|c| c.version == 7);
    let config = time_until_known(&gateways, version).await;
    let mut drains = Vec::new();
    for n in 0..5 {
        let (control_node, id) = (&control_nodes[n % control_nodes.len()], format!("i-{n}"));
        let send_draining = move |agent: Rc<ashvane_node::agent::Agent>| async move {
            agent.record_heartbeat(heartbeat(n, ServerState::Draining, 1_000_000)).await
        };
        assert_eq!(control_node.ask(CALL_TIMEOUT, send_draining).await, Some(Ok(())), "acknowledged");
        drains.push(
            time_until_known(&gateways, |m| {
                m.agent().is_some_and(|h| !h.is_server_available(&id.as_str().into()))
            })
            .await,
        );
    }
    let drain = (drains.iter().map(|d| d.0).max(), drains.iter().map(|d| d.1).max());
    println!(
        "{} gateways, {} control_nodes, {} servers: all servers known after {all_servers} ms; configuration {config:?} ms, drain \
         {drain:?} ms (middle and last gateway)",
        size.gateways, size.control_nodes, size.servers
    );
    for (role, before, after, n) in [
        ("control", &before.0, &after.0, size.control_nodes),
        ("gateway", &before.1, &after.1, size.gateways),
    ] {
        let describe_topic = |topic: &&'static str| {
            let (lines, bytes) = after[topic];
            let (lines_before, bytes_before) = before.get(topic).copied().unwrap_or_default();
            let rate = |now: u64, then: u64| (now - then) as f64 / 10.0 / n as f64;
            format!("{topic} {:.1}/{:.0}", rate(lines, lines_before), rate(bytes, bytes_before))
        };
        let topics: Vec<String> = after.keys().map(describe_topic).collect();
        println!("    a {role} says, lines/bytes a second in calm times: {}", topics.join(", "));
    }
}

#[test]
#[ignore = "a table, by hand: minutes"]
fn what_it_costs_to_know() {
    let number = |text: &str| text.parse().expect("three numbers");
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
        let [gateways, control_nodes, servers] = size[..] else { panic!("three numbers") };
        play(play_size(Size { gateways, control_nodes, servers }));
    }
}
