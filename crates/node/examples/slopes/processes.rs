//! Whole processes without a data plane, all within this process, on a simulated network: the traffic of each
//! role in the steady state, on changes, and when all processes start.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState};
use ashvane_node::agent::{Agent, PutOutcome};
use tokio::time::{Instant, sleep, timeout};

use crate::fit::Series;
use crate::plot;
use crate::simulation::bounds::Processor;
use crate::simulation::{Machine, Simulation, configuration, ms, run_simulation};

/// Number of control nodes beside the gateways in the steady-state table.
const CONTROL_NODES: usize = 5;
/// Number of servers per gateway, as at full size.
const SERVERS_PER_GATEWAY: usize = 15;
/// Limit on the total number of servers, since every gateway stores an entry for each of them.
const MAX_SERVERS: usize = 3000;
const HEARTBEAT_INTERVAL: Duration = ms(1200);
/// Time after which a server tries another control node.
const CALL_TIMEOUT: Duration = ms(1000);
/// Duration of the measurement in the steady state, in seconds.
const STEADY_STATE_S: u64 = 10;
/// Processor time per wake-up, in nanoseconds of a core, from the benchmark with 30 and 100 machines.
const PROCESSOR_NS_PER_CHUNK: f64 = 56_000.0;
/// Processor time per byte, in nanoseconds of a core, from the same benchmark.
const PROCESSOR_NS_PER_BYTE: f64 = 30.0;

/// Number of messages and of bytes sent, by cause.
type SentTraffic = BTreeMap<&'static str, (u64, u64)>;

fn sent_traffic(machines: &[Rc<Machine>]) -> SentTraffic {
    let mut all = SentTraffic::new();
    for (cause, sent) in machines.iter().filter_map(|m| m.agent()).flat_map(|a| a.traffic()) {
        let sum = all.entry(cause).or_default();
        *sum = (sum.0 + sent.messages, sum.1 + sent.bytes);
    }
    all
}

/// Messages and bytes per second and machine between two measurements.
fn rates_since(
    before: &SentTraffic, after: &SentTraffic, machines: usize, seconds: f64,
) -> BTreeMap<&'static str, (f64, f64)> {
    let each = |(cause, (messages, bytes)): (&&'static str, &(u64, u64))| {
        let (messages_before, bytes_before) = before.get(cause).copied().unwrap_or_default();
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds / machines as f64;
        (*cause, (rate(*messages, messages_before), rate(*bytes, bytes_before)))
    };
    after.iter().map(each).collect()
}

/// Formats rates as messages and bytes by cause, without causes that are almost absent.
fn format_rates(rates: &BTreeMap<&'static str, (f64, f64)>) -> String {
    let each = rates.iter().filter(|(_, (messages, _))| *messages >= 0.05);
    let each = each.map(|(cause, (messages, bytes))| format!("{cause} {messages:.1}/{bytes:.0}"));
    each.collect::<Vec<_>>().join(", ")
}

fn bytes(rates: &BTreeMap<&'static str, (f64, f64)>) -> f64 {
    rates.values().map(|(_, bytes)| bytes).sum()
}

/// Returns the zone of a machine or server: five regions with sixteen zones in all, as at full size.
fn zone_of(n: usize) -> String {
    format!("r{}-z{}", n % 16 % 5, n % 16)
}

/// Builds a simulation. `core_shares` are the shares of a core that a control node and a gateway get;
/// without them, processors are not limited.
fn build_simulation(
    control_nodes: usize, gateways: usize, core_shares: Option<(f64, f64)>,
) -> Rc<Simulation> {
    fastrand::seed(1);
    let simulation = Simulation::with_machines(control_nodes, gateways, 2, |n, mut machine| {
        machine.zone = zone_of(n);
        machine
    });
    for machine in simulation.all_machines() {
        let Some((control, gateway)) = core_shares else { continue };
        let share = if machine.is_control_node() { control } else { gateway };
        let processor_time = |nanoseconds: f64| Duration::from_nanos((nanoseconds / share) as u64);
        let processor = Processor {
            per_chunk: processor_time(PROCESSOR_NS_PER_CHUNK),
            per_byte: processor_time(PROCESSOR_NS_PER_BYTE),
        };
        simulation.network.bounds.limit_processor(&machine.ip, processor);
    }
    simulation
}

fn heartbeat(n: usize, sequence: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        id: format!("i-{n}").into(),
        service: format!("s{}", n % 40).into(),
        address: format!("10.9.{}.{}:8080", n / 250, n % 250).into(),
        zone: zone_of(n).into(),
        capacity: 3,
        state,
        sequence,
    }
}

/// Simulates a server that sends its heartbeats to the control node that acknowledged the last one, and
/// switches to a random one if it does not acknowledge.
async fn serve(simulation: Rc<Simulation>, n: usize) {
    let control_nodes = simulation.control_nodes();
    sleep(ms(fastrand::u64(0..1200))).await;
    let mut index = fastrand::usize(..control_nodes.len());
    for sequence in 1.. {
        loop {
            let machine = control_nodes[index].clone();
            let attempt = async {
                simulation.network.bounds.pass("server", &machine.ip, 400).await;
                let record_heartbeat = move |agent: Rc<Agent>| async move {
                    agent.record_heartbeat(heartbeat(n, sequence, ServerState::Ready)).await
                };
                machine.call(CALL_TIMEOUT, record_heartbeat).await
            };
            if let Ok(Some(Ok(()))) = timeout(CALL_TIMEOUT, attempt).await {
                break;
            }
            index = fastrand::usize(..control_nodes.len());
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn put(simulation: &Simulation, version: u64) -> bool {
    let text = configuration(version, 0);
    let put = |agent: Rc<Agent>| async move { agent.put(text.as_bytes()).await };
    matches!(
        simulation.control_nodes()[0].call(CALL_TIMEOUT, put).await,
        Some(PutOutcome::Accepted { version: _ })
    )
}

/// Time in milliseconds until a condition holds on all machines, at most 20,000.
async fn propagation_time_ms(machines: &[Rc<Machine>], condition: impl Fn(&Agent) -> bool) -> f64 {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20)
        && !machines.iter().all(|m| m.agent().is_some_and(|agent| condition(&agent)))
    {
        sleep(ms(10)).await;
    }
    began.elapsed().as_secs_f64() * 1e3
}

/// Figures of the steady state: bytes per second of each role, and the time for a configuration and a drain
/// to reach all gateways.
struct SteadyState {
    /// Bytes per second sent by a control node.
    control: f64,
    /// Bytes per second sent by a gateway.
    gateway: f64,
    configuration_ms: f64,
    drain_ms: f64,
    /// Bytes that a control node sends until the steady state is reached.
    start_bytes: f64,
}

#[expect(clippy::too_many_lines, reason = "one measurement in sequence; not split yet")]
async fn measure_steady_state(gateways: usize) -> SteadyState {
    let wall_clock = std::time::Instant::now();
    let simulation = build_simulation(CONTROL_NODES, gateways, None);
    let servers = (gateways * SERVERS_PER_GATEWAY).min(MAX_SERVERS);
    for n in 0..servers {
        tokio::task::spawn_local(serve(simulation.clone(), n));
    }
    sleep(ms(12_000)).await;
    let control_nodes = simulation.control_nodes();
    let gateways: Vec<_> = simulation.all_machines().into_iter().filter(|m| !m.is_control_node()).collect();
    let start = (sent_traffic(&control_nodes), sent_traffic(&gateways));
    let traffic = simulation.network.bounds.traffic();
    sleep(Duration::from_secs(STEADY_STATE_S)).await;
    let seconds = STEADY_STATE_S as f64;
    let rates = |before: &SentTraffic, machines: &[Rc<Machine>]| {
        rates_since(before, &sent_traffic(machines), machines.len(), seconds)
    };
    let (control, gateway) = (rates(&start.0, &control_nodes), rates(&start.1, &gateways));
    let mut by_distance = [0.0; 3];
    for ((from, to), now) in &simulation.network.bounds.traffic().bytes {
        let distance = match (from == to, from[..2] == to[..2]) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        };
        let before = traffic.bytes.get(&(from.clone(), to.clone())).copied().unwrap_or_default();
        by_distance[distance] += (now - before) as f64 / seconds;
    }
    assert!(put(&simulation, 7).await, "the configuration is acknowledged");
    let configuration_ms =
        propagation_time_ms(&gateways, |a| a.config().is_some_and(|c| c.version == 7)).await;
    let drain = |agent: Rc<Agent>| async move {
        agent.record_heartbeat(heartbeat(0, 1 << 40, ServerState::Draining)).await
    };
    assert_eq!(control_nodes[0].call(CALL_TIMEOUT, drain).await, Some(Ok(())), "the drain is acknowledged");
    let drain_ms = propagation_time_ms(&gateways, |a| !a.is_server_available(&"i-0".into())).await;
    let each = |sent: &SentTraffic, machines: usize| {
        format_rates(&rates_since(&SentTraffic::new(), sent, machines, 1.0))
    };
    println!(
        "  {} gateways, {CONTROL_NODES} control nodes, {servers} servers (simulated in {:.0} s)",
        gateways.len(),
        wall_clock.elapsed().as_secs_f64()
    );
    println!(
        "    start, messages/bytes sent per machine: control {}; gateway {}",
        each(&start.0, control_nodes.len()),
        each(&start.1, gateways.len())
    );
    println!(
        "    steady state, messages/bytes per second: control {}; gateway {}",
        format_rates(&control),
        format_rates(&gateway)
    );
    println!(
        "    steady state, bytes per second within a zone {:.0}, between zones {:.0}, between regions {:.0}",
        by_distance[0], by_distance[1], by_distance[2]
    );
    println!(
        "    a configuration reaches all gateways after {configuration_ms:.0} ms, a drain after {drain_ms:.0} ms"
    );
    let start_bytes =
        start.0.values().map(|(_, bytes)| *bytes as f64).sum::<f64>() / control_nodes.len() as f64;
    SteadyState {
        control: bytes(&control),
        gateway: bytes(&gateway),
        configuration_ms,
        drain_ms,
        start_bytes,
    }
}

pub(crate) fn print_steady_state(sizes: &[usize]) {
    let figures: Vec<(f64, SteadyState)> =
        sizes.iter().map(|size| (*size as f64, run_simulation(measure_steady_state(*size)))).collect();
    let series = |name: &str, figure: fn(&SteadyState) -> f64| {
        let points = figures.iter().map(|(x, state)| (*x, figure(state))).collect();
        let series = Series { name: name.to_owned(), points };
        series.print();
        series
    };
    let control = series("sent by a control node, bytes per second, by number of gateways", |c| c.control);
    series("sent by a gateway, bytes per second", |c| c.gateway);
    series("sent by a control node during the start, bytes", |c| c.start_bytes);
    series("a configuration reaches all gateways, ms", |c| c.configuration_ms);
    series("a drain reaches all gateways, ms", |c| c.drain_ms);
    plot::draw("control-calm", "gateways beside five control nodes", &control);
}

/// Starts all machines at once as in the sweep of the benchmark: five of every fourteen machines are control
/// nodes, and processors are limited. Returns the time to the first acknowledged configuration, and the
/// messages, bytes and connection attempts.
async fn measure_start(machines: usize) -> [f64; 4] {
    let control_nodes = machines * 5 / 14;
    let simulation = build_simulation(control_nodes, machines - control_nodes, Some((0.13, 0.25)));
    for n in 0..machines * 6 {
        tokio::task::spawn_local(serve(simulation.clone(), n));
    }
    let began = Instant::now();
    sleep(ms(3000)).await;
    while !put(&simulation, 1).await && began.elapsed() < Duration::from_secs(60) {
        sleep(ms(250)).await;
    }
    let acknowledged_ms = began.elapsed().as_secs_f64() * 1e3;
    sleep(ms(10_000).saturating_sub(began.elapsed())).await;
    let sent = sent_traffic(&simulation.control_nodes());
    println!(
        "  {machines} machines, {control_nodes} control nodes: {}",
        format_rates(&rates_since(&SentTraffic::new(), &sent, control_nodes, 1.0))
    );
    let messages: u64 = sent.values().map(|(messages, _)| messages).sum();
    let bytes: u64 = sent.values().map(|(_, bytes)| bytes).sum();
    let calls = simulation.network.bounds.traffic().connection_attempts;
    [acknowledged_ms, messages as f64, bytes as f64, calls as f64]
}

pub(crate) fn print_start(sizes: &[usize]) {
    let figures: Vec<[f64; 4]> = sizes.iter().map(|size| run_simulation(measure_start(*size))).collect();
    let names = [
        "first configuration acknowledged after, ms",
        "messages sent by all control nodes",
        "bytes sent by all control nodes",
        "connection attempts",
    ];
    for (index, name) in names.iter().enumerate() {
        let points = sizes.iter().zip(&figures).map(|(size, figure)| (*size as f64, figure[index])).collect();
        let series = Series { name: (*name).to_owned(), points };
        series.print();
        if index == 2 {
            plot::draw("start", "machines", &series);
        }
    }
}
