//! StoredState processes without a data plane, all in this one process, on a simulated network: what each role says on a calm
//! day, on changes, and at the start of all.

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

/// Control nodes beside the gateways in the calm table.
const CONTROL_NODES: usize = 5;
/// Servers to a gateway: as at full size.
const SERVERS_EACH: usize = 15;
/// At most so many servers in all: each gateway holds each of them.
const SERVERS_MOST: usize = 3000;
const BEAT: Duration = ms(1200);
/// Time after which a server calls another control node.
const PATIENCE: Duration = ms(1000);
/// The time over which calm figures are taken.
const CALM_S: u64 = 10;
/// What the bench showed at 30 and 100 machines: processor time for a wake-up and for a byte, in nanoseconds of a core.
const PER_PIECE: f64 = 56_000.0;
const PER_BYTE: f64 = 30.0;

/// Messages and bytes by cause.
type Said = BTreeMap<&'static str, (u64, u64)>;

fn said(machines: &[Rc<Machine>]) -> Said {
    let mut all = Said::new();
    for (cause, sent) in machines.iter().filter_map(|m| m.agent()).flat_map(|a| a.traffic()) {
        let sum = all.entry(cause).or_default();
        *sum = (sum.0 + sent.messages, sum.1 + sent.bytes);
    }
    all
}

/// What was said since, for one machine and second.
fn since(before: &Said, after: &Said, machines: usize, seconds: f64) -> BTreeMap<&'static str, (f64, f64)> {
    let each = |(cause, (messages, bytes)): (&&'static str, &(u64, u64))| {
        let (messages_before, bytes_before) = before.get(cause).copied().unwrap_or_default();
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / seconds / machines as f64;
        (*cause, (rate(*messages, messages_before), rate(*bytes, bytes_before)))
    };
    after.iter().map(each).collect()
}

fn text(rates: &BTreeMap<&'static str, (f64, f64)>) -> String {
    let each = rates.iter().filter(|(_, (messages, _))| *messages >= 0.05);
    let each = each.map(|(cause, (messages, bytes))| format!("{cause} {messages:.1}/{bytes:.0}"));
    each.collect::<Vec<_>>().join(", ")
}

fn bytes(rates: &BTreeMap<&'static str, (f64, f64)>) -> f64 {
    rates.values().map(|(_, bytes)| bytes).sum()
}

/// Five regions and sixteen zones, as at full size.
fn place(n: usize) -> String {
    format!("r{}-z{}", n % 16 % 5, n % 16)
}

fn world(control_nodes: usize, gateways: usize, shares: Option<(f64, f64)>) -> Rc<Simulation> {
    fastrand::seed(1);
    let simulation = Simulation::with_machines(control_nodes, gateways, 2, |n, mut machine| {
        machine.zone = place(n);
        machine
    });
    for machine in simulation.all_machines() {
        let Some((control, gateway)) = shares else { continue };
        let share = if machine.is_control_node() { control } else { gateway };
        let part = |nanoseconds: f64| Duration::from_nanos((nanoseconds / share) as u64);
        let processor = Processor { per_chunk: part(PER_PIECE), per_byte: part(PER_BYTE) };
        simulation.network.bounds.limit_processor(&machine.ip, processor);
    }
    simulation
}

fn beat(n: usize, seq: u64, state: ServerState) -> Heartbeat {
    Heartbeat {
        id: format!("i-{n}").into(),
        service: format!("s{}", n % 40).into(),
        address: format!("10.9.{}.{}:8080", n / 250, n % 250).into(),
        zone: place(n).into(),
        capacity: 3,
        state,
        sequence: seq,
    }
}

/// A server beats at the control node that acknowledged it last, else at another.
async fn serve(simulation: Rc<Simulation>, n: usize) {
    let control_nodes = simulation.control_nodes();
    sleep(ms(fastrand::u64(0..1200))).await;
    let mut at = fastrand::usize(..control_nodes.len());
    for seq in 1.. {
        loop {
            let machine = control_nodes[at].clone();
            let asked = async {
                simulation.network.bounds.pass("server", &machine.ip, 400).await;
                let heard = move |agent: Rc<Agent>| async move {
                    agent.record_heartbeat(beat(n, seq, ServerState::Ready)).await
                };
                machine.call(PATIENCE, heard).await
            };
            if let Ok(Some(Ok(()))) = timeout(PATIENCE, asked).await {
                break;
            }
            at = fastrand::usize(..control_nodes.len());
        }
        sleep(BEAT).await;
    }
}

async fn put(simulation: &Simulation, version: u64) -> bool {
    let text = configuration(version, 0);
    let put = |agent: Rc<Agent>| async move { agent.put(text.as_bytes()).await };
    matches!(
        simulation.control_nodes()[0].call(PATIENCE, put).await,
        Some(PutOutcome::Accepted { version: _ })
    )
}

/// Milliseconds until all of these know; 20,000 if some do not by then.
async fn known(machines: &[Rc<Machine>], knows: impl Fn(&Agent) -> bool) -> f64 {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20)
        && !machines.iter().all(|m| m.agent().is_some_and(|agent| knows(&agent)))
    {
        sleep(ms(10)).await;
    }
    began.elapsed().as_secs_f64() * 1e3
}

struct Calm {
    control: f64,
    gateway: f64,
    configuration_ms: f64,
    drain_ms: f64,
    links: f64,
}

#[expect(clippy::too_many_lines, reason = "not done yet: The rest reads as well")]
async fn calm(gateways: usize) -> Calm {
    let real = std::time::Instant::now();
    let simulation = world(CONTROL_NODES, gateways, None);
    let servers = (gateways * SERVERS_EACH).min(SERVERS_MOST);
    for n in 0..servers {
        tokio::task::spawn_local(serve(simulation.clone(), n));
    }
    sleep(ms(12_000)).await;
    let control_nodes = simulation.control_nodes();
    let gateways: Vec<_> = simulation.all_machines().into_iter().filter(|m| !m.is_control_node()).collect();
    let start = (said(&control_nodes), said(&gateways));
    let traffic = simulation.network.bounds.traffic();
    sleep(Duration::from_secs(CALM_S)).await;
    let seconds = CALM_S as f64;
    let rates =
        |before: &Said, machines: &[Rc<Machine>]| since(before, &said(machines), machines.len(), seconds);
    let (control, gateway) = (rates(&start.0, &control_nodes), rates(&start.1, &gateways));
    let mut between = [0.0; 3];
    for ((from, to), now) in &simulation.network.bounds.traffic().bytes {
        let kind = match (from == to, from[..2] == to[..2]) {
            (true, _) => 0,
            (_, true) => 1,
            _ => 2,
        };
        let before = traffic.bytes.get(&(from.clone(), to.clone())).copied().unwrap_or_default();
        between[kind] += (now - before) as f64 / seconds;
    }
    assert!(put(&simulation, 7).await, "the configuration is held");
    let configuration_ms = known(&gateways, |a| a.config().is_some_and(|c| c.version == 7)).await;
    let drains = |agent: Rc<Agent>| async move {
        agent.record_heartbeat(beat(0, 1 << 40, ServerState::Draining)).await
    };
    assert_eq!(control_nodes[0].call(PATIENCE, drains).await, Some(Ok(())), "the drain is acknowledged");
    let drain_ms = known(&gateways, |a| !a.is_server_available(&"i-0".into())).await;
    let each = |said: &Said, n: usize| text(&since(&Said::new(), said, n, 1.0));
    println!(
        "  {} gateways, {CONTROL_NODES} control nodes, {servers} servers ({:.0} s to play)",
        gateways.len(),
        real.elapsed().as_secs_f64()
    );
    println!(
        "    start, messages/bytes of each: control {}; gateway {}",
        each(&start.0, control_nodes.len()),
        each(&start.1, gateways.len())
    );
    println!("    calm, a second: control {}; gateway {}", text(&control), text(&gateway));
    println!(
        "    calm, bytes a second in a zone {:.0}, between zones {:.0}, between regions {:.0}",
        between[0], between[1], between[2]
    );
    println!(
        "    a configuration is known to all after {configuration_ms:.0} ms, a drain after {drain_ms:.0} ms"
    );
    let start_bytes =
        start.0.values().map(|(_, bytes)| *bytes as f64).sum::<f64>() / control_nodes.len() as f64;
    Calm {
        control: bytes(&control),
        gateway: bytes(&gateway),
        configuration_ms,
        drain_ms,
        links: start_bytes,
    }
}

pub(crate) fn print_calm(sizes: &[usize]) {
    let figures: Vec<(f64, Calm)> =
        sizes.iter().map(|size| (*size as f64, run_simulation(calm(*size)))).collect();
    let series = |name: &str, figure: fn(&Calm) -> f64| {
        let points = figures.iter().map(|(x, calm)| (*x, figure(calm))).collect();
        let series = Series { name: name.to_owned(), points };
        series.print();
        series
    };
    let control = series("a control node says, bytes a second, by gateways", |c| c.control);
    series("a gateway says, bytes a second", |c| c.gateway);
    series("a control node says while all start, bytes", |c| c.links);
    series("a configuration is known to all, ms", |c| c.configuration_ms);
    series("a drain is known to all, ms", |c| c.drain_ms);
    plot::draw("control-calm", "gateways beside five control nodes", &control);
}

/// All start at once as on the bench's sweep: five control nodes of fourteen machines, processors bounded.
async fn start(machines: usize) -> [f64; 4] {
    let control_nodes = machines * 5 / 14;
    let simulation = world(control_nodes, machines - control_nodes, Some((0.13, 0.25)));
    for n in 0..machines * 6 {
        tokio::task::spawn_local(serve(simulation.clone(), n));
    }
    let began = Instant::now();
    sleep(ms(3000)).await;
    while !put(&simulation, 1).await && began.elapsed() < Duration::from_secs(60) {
        sleep(ms(250)).await;
    }
    let held = began.elapsed().as_secs_f64() * 1e3;
    sleep(ms(10_000).saturating_sub(began.elapsed())).await;
    let said = said(&simulation.control_nodes());
    println!(
        "  {machines} machines, {control_nodes} control nodes: {}",
        text(&since(&Said::new(), &said, control_nodes, 1.0))
    );
    let messages: u64 = said.values().map(|(messages, _)| messages).sum();
    let bytes: u64 = said.values().map(|(_, bytes)| bytes).sum();
    let calls = simulation.network.bounds.traffic().connection_attempts;
    [held, messages as f64, bytes as f64, calls as f64]
}

pub(crate) fn print_start(sizes: &[usize]) {
    let figures: Vec<[f64; 4]> = sizes.iter().map(|size| run_simulation(start(*size))).collect();
    let names = [
        "the first configuration is held after, ms",
        "messages of all control nodes",
        "bytes of all control nodes",
        "connections called",
    ];
    for (at, name) in names.iter().enumerate() {
        let points = sizes.iter().zip(&figures).map(|(size, figure)| (*size as f64, figure[at])).collect();
        let series = Series { name: (*name).to_owned(), points };
        series.print();
        if at == 2 {
            plot::draw("start", "machines", &series);
        }
    }
}
