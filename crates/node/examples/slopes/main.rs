//! What it costs to know, by the numbers of machines and servers.

#[allow(dead_code)]
#[path = "../../tests/simulation/mod.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, State};
use ashvane_node::agent::{Agent, Put};
use simulation::bounds::Processor;
use simulation::{Simulation, configuration, ms, play};
use tokio::time::sleep;

type Said = BTreeMap<&'static str, (u64, u64)>;

fn said(simulation: &Simulation, control: bool) -> Said {
    let mut all = Said::new();
    for machine in simulation.all().iter().filter(|m| m.is_control_node() == control) {
        for (cause, (lines, bytes)) in machine.agent().map(|a| a.said()).unwrap_or_default() {
            let sum = all.entry(cause).or_default();
            *sum = (sum.0 + lines, sum.1 + bytes);
        }
    }
    all
}

/// A server that beats at the control node that acknowledged it last, else at another.
async fn server(simulation: Rc<Simulation>, n: usize) {
    let control = simulation.control_nodes();
    sleep(ms(fastrand::u64(0..1200))).await;
    let mut at = fastrand::usize(..control.len());
    for seq in 1.. {
        loop {
            let beat = Heartbeat {
                id: format!("i-{n}"),
                service: format!("s{}", n % 40),
                address: format!("10.9.{}.{}:8080", n / 250, n % 250),
                zone: format!("z{}", n % 3),
                capacity: 3,
                state: State::Ready,
                seq,
            };
            let machine = control[at].clone();
            let passed = simulation.network.bounds.pass("server", &machine.ip, 400);
            let asked = async {
                passed.await;
                machine.ask(ms(1000), move |agent: Rc<Agent>| async move { agent.beat(beat).await }).await
            };
            if let Ok(Some(true)) = tokio::time::timeout(ms(1000), asked).await {
                break;
            }
            at = fastrand::usize(..control.len());
        }
        sleep(ms(1200)).await;
    }
}

async fn start(control: usize, gateways: usize, servers: usize, bounded: bool) {
    fastrand::seed(1);
    let simulation = Simulation::placed(control, gateways, 1, |n, mut m| {
        m.zone = format!("z{}", n % 3);
        m
    });
    if bounded {
        for m in simulation.all() {
            // As measured on the bench: 56 us a wake-up and 30 ns a byte of a core, of which a machine has a part.
            let share = if m.is_control_node() { 0.13 } else { 0.25 };
            let part = |nanos: f64| Duration::from_nanos((nanos / share) as u64);
            let processor = Processor { per_piece: part(56_000.0), per_byte: part(30.0) };
            simulation.network.bounds.slow(&m.ip, processor);
        }
    }
    for n in 0..servers {
        tokio::task::spawn_local(server(simulation.clone(), n));
    }
    println!("-- {control} control nodes, {gateways} gateways, bounded {bounded}");
    let mut before = (Said::new(), Said::new());
    let real = std::time::Instant::now();
    let mut held = None;
    for second in 1..=20 {
        sleep(ms(1000)).await;
        let now = (said(&simulation, true), said(&simulation, false));
        let show = |now: &Said, before: &Said, n: usize| {
            let each = now.iter().map(|(cause, (l, b))| {
                let (l0, b0) = before.get(cause).copied().unwrap_or_default();
                format!(
                    "{cause} {:.0}/{:.1}k",
                    (l - l0.min(*l)) as f64 / n as f64,
                    (b - b0.min(*b)) as f64 / n as f64 / 1000.0
                )
            });
            each.collect::<Vec<_>>().join(" ")
        };
        let epochs: Vec<u64> =
            simulation.control_nodes().iter().filter_map(|m| m.agent()).map(|a| a.digest().epoch).collect();
        println!(
            "{second:3} s calls {} epoch {:?}..{:?} | control {} | gateway {}",
            simulation.network.bounds.traffic().calls,
            epochs.iter().min(),
            epochs.iter().max(),
            show(&now.0, &before.0, control),
            show(&now.1, &before.1, gateways)
        );
        before = now;
        if second >= 8 && held.is_none() {
            let text = configuration(1, 0);
            let put = |agent: Rc<Agent>| async move { agent.put(text.as_bytes()).await };
            if let Some(Put::Held(_)) = simulation.control_nodes()[0].ask(ms(1000), put).await {
                held = Some(second);
            }
        }
    }
    println!("held {held:?}, real {:.1} s", real.elapsed().as_secs_f64());
}

fn main() {
    for n in std::env::args().skip(1) {
        let n: usize = n.parse().expect("a number");
        let control = n * 5 / 14;
        play(start(control, n - control, n * 6, true));
    }
}
