//! What entries cost without any network: memory, the time of each step on them, and bytes of a configuration whole
//! and by its differences.

use std::hint::black_box;
use std::time::{Duration, Instant};

use ashvane_gossip::{
    BucketSet, Directory, Liveness, LivenessAuthority, Node, Server, ServerState, Update, select_peers,
};
use ashvane_node::compression::compress;

use crate::fit::Series;
use crate::plot;

/// Gateways at full size, for the time of a rank.
const GATEWAYS: usize = 8600;

fn node(n: usize) -> Node {
    Node {
        name: format!("gateway-{n}").into(),
        incarnation: n as u64 * 0x9e37_79b9,
        generation: 1,
        is_down: false,
        address: format!("10.{}.{}.{}:7080", 1 + n / 62_500, n / 250 % 250, n % 250).into(),
        control_address: None,
        zone: format!("zone-{}", n % 16).into(),
        is_gateway: true,
        disk: n.is_multiple_of(226).then(|| format!("disk-{n}").into()),
    }
}

fn server(n: usize) -> Server {
    Server {
        id: format!("i-{n:06x}").into(),
        service: format!("service-{}", n % 550).into(),
        address: format!("10.{}.{}.{}:8080", 64 + n / 62_500, n / 250 % 250, n % 250).into(),
        zone: format!("zone-{}", n % 16).into(),
        capacity: 3,
        state: ServerState::Ready,
        heartbeat_sequence: n as u64 * 7919 % 86_400,
        liveness: Liveness::Alive,
        monitor: format!("control-{}", n % 38).into(),
    }
}

/// The memory that this process holds, in bytes.
fn held() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
    pages * 4096.0
}

/// Milliseconds that this takes, the least of five times.
fn time<T>(mut run: impl FnMut() -> T) -> f64 {
    let once = |_| {
        let began = Instant::now();
        black_box(run());
        began.elapsed().as_secs_f64() * 1e3
    };
    (0..5).map(once).fold(f64::MAX, f64::min)
}

pub(crate) fn print_entries(sizes: &[usize]) {
    let names = [
        "memory of a server's entry, bytes",
        "learn one entry, us",
        "tick, ms",
        "digest, ms",
        "ranks of one part of 32, ms",
        "ranks of one part, bytes packed",
        "merge one part, ms",
        "all entries as updates, bytes packed",
        "all entries as updates, bytes",
    ];
    let mut all: Vec<Series> =
        names.iter().map(|name| Series { name: (*name).to_owned(), points: Vec::new() }).collect();
    print_processes();
    for &size in sizes {
        let before = held();
        let mut directory = Directory::new(node(0), Duration::from_secs(1), Duration::ZERO);
        let began = Instant::now();
        let mut updates = Vec::new();
        for n in 0..size {
            let server = server(n);
            updates.push(Update::Server(server.clone()));
            directory.apply(Update::Server(server), Duration::ZERO);
        }
        let learnt = began.elapsed();
        let text = serde_json::to_vec(&updates).unwrap_or_default();
        drop(updates);
        let memory = held() - before;
        let summary = directory.summary(BucketSet::from_bits(1));
        let ranks = compress(&serde_json::to_vec(&summary).unwrap_or_default()).len();
        let now = Duration::from_secs(2);
        let figures = [
            memory / size as f64,
            learnt.as_secs_f64() * 1e6 / size as f64,
            time(|| directory.tick(&LivenessAuthority::Monitored, now).len()),
            time(|| directory.digest(1)),
            time(|| directory.summary(BucketSet::from_bits(1))),
            ranks as f64,
            time(|| (directory.updates_missing_from(&summary), directory.is_behind(&summary))),
            compress(&text).len() as f64,
            text.len() as f64,
        ];
        for (series, figure) in all.iter_mut().zip(figures) {
            series.points.push((size as f64, figure));
        }
    }
    all.iter().for_each(Series::print);
    plot::draw("tick", "servers known", &all[2]);
}

/// What the entries of processes cost: first, before memory that was given back hides it.
fn print_processes() {
    let before = held();
    let mut directory = Directory::new(node(0), Duration::from_secs(1), Duration::ZERO);
    for n in 0..GATEWAYS * 10 {
        directory.apply(Update::Node(node(n)), Duration::ZERO);
    }
    let memory = (held() - before) / (GATEWAYS * 10) as f64;
    let nodes: Vec<Node> = (0..GATEWAYS).map(node).collect();
    let rank = time(|| select_peers(&nodes[1], nodes.iter(), 2, |_| true).len());
    println!("  rank of {GATEWAYS} processes: {rank:.3} ms; a process's entry: {memory:.0} bytes of memory");
    black_box(directory);
}

/// A configuration of so many routes.
fn configuration(version: u64, routes: usize, changed: usize) -> Vec<String> {
    let _ = version;
    let route = |n: usize| {
        format!(
            "{{\"name\":\"route-{n}\",\"host\":\"h{}.example\",\"path-prefix\":\"/r{n}/\",\"kind\":\"idempotent\",\
             \"deadline-ms\":2000,\"target-ms\":{},\"priority\":{},\"service\":\"service-{}\",\"max-tries\":2}}",
            n % 97,
            if n < changed { 250 } else { 160 },
            n % 3,
            n % 550
        )
    };
    (0..routes).map(route).collect()
}

pub(crate) fn print_configuration(sizes: &[usize]) {
    let series = |name: &str| Series { name: name.to_owned(), points: Vec::new() };
    let (mut whole, mut text) = (series("whole configuration, bytes packed"), series("as text, bytes"));
    let mut difference = series("difference of one route, bytes packed");
    for &routes in sizes {
        let (before, after) = (configuration(1, routes, 0), configuration(2, routes, 1));
        let all = format!("{{\"version\":2,\"routes\":[{}]}}", after.join(","));
        let changed: Vec<&String> =
            before.iter().zip(&after).filter(|(a, b)| a != b).map(|(_, b)| b).collect();
        let parts: Vec<&str> = changed.iter().map(|route| route.as_str()).collect();
        let only = format!(
            "{{\"base\":1,\"digest\":\"0123456789abcdef\",\"version\":2,\"routes\":[{}]}}",
            parts.join(",")
        );
        text.points.push((routes as f64, all.len() as f64));
        whole.points.push((routes as f64, compress(all.as_bytes()).len() as f64));
        difference.points.push((routes as f64, compress(only.as_bytes()).len() as f64));
    }
    [&text, &whole, &difference].into_iter().for_each(Series::print);
    plot::draw("configuration", "routes", &whole);
}
