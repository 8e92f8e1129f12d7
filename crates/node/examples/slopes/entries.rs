//! The cost of directory entries and configurations without a network: memory, the time of each operation,
//! and the bytes of a complete configuration and of a difference.

use std::hint::black_box;
use std::time::{Duration, Instant};

use ashvane_gossip::{
    BucketSet, Directory, Liveness, LivenessAuthority, Node, Server, ServerState, Update, select_peers,
};
use ashvane_node::compression::compress;

use crate::fit::Series;
use crate::plot;

/// Number of gateways at full size, for the time to select peers.
const GATEWAY_COUNT: usize = 8600;

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
        inferred_from: None,
        heartbeat_sequence: n as u64 * 7919 % 86_400,
        liveness: Liveness::Alive,
        monitor: format!("control-{}", n % 38).into(),
    }
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or_default();
    pages * 4096.0
}

/// Shortest of five run times of an operation, in milliseconds.
fn min_time_ms<T>(mut run: impl FnMut() -> T) -> f64 {
    let run_once = |_| {
        let began = Instant::now();
        black_box(run());
        began.elapsed().as_secs_f64() * 1e3
    };
    (0..5).map(run_once).fold(f64::MAX, f64::min)
}

pub(crate) fn print_entries(sizes: &[usize]) {
    let names = [
        "memory per server entry, bytes",
        "apply one entry, us",
        "tick, ms",
        "digest, ms",
        "summary of one bucket of 32, ms",
        "summary of one bucket, bytes compressed",
        "compare one bucket, ms",
        "all entries as updates, bytes compressed",
        "all entries as updates, bytes",
    ];
    let mut all: Vec<Series> =
        names.iter().map(|name| Series { name: (*name).to_owned(), points: Vec::new() }).collect();
    print_node_entries();
    for &size in sizes {
        let before = resident_bytes();
        let mut directory = Directory::new(node(0), Duration::from_secs(1), Duration::ZERO);
        let began = Instant::now();
        let mut updates = Vec::new();
        for n in 0..size {
            let server = server(n);
            updates.push(Update::Server(server.clone()));
            directory.apply(Update::Server(server), Duration::ZERO);
        }
        let apply_time = began.elapsed();
        let text = serde_json::to_vec(&updates).unwrap_or_default();
        drop(updates);
        let memory = resident_bytes() - before;
        let summary = directory.summary(BucketSet::from_bits(1));
        let summary_bytes = compress(&serde_json::to_vec(&summary).unwrap_or_default()).len();
        let now = Duration::from_secs(2);
        let figures = [
            memory / size as f64,
            apply_time.as_secs_f64() * 1e6 / size as f64,
            min_time_ms(|| directory.tick(&LivenessAuthority::Monitored, now).len()),
            min_time_ms(|| directory.digest(1)),
            min_time_ms(|| directory.summary(BucketSet::from_bits(1))),
            summary_bytes as f64,
            min_time_ms(|| (directory.updates_missing_from(&summary), directory.is_behind(&summary))),
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

/// Prints the cost of the entries of processes. It runs first, since the reuse of
/// freed memory would hide the cost.
fn print_node_entries() {
    let before = resident_bytes();
    let mut directory = Directory::new(node(0), Duration::from_secs(1), Duration::ZERO);
    for n in 0..GATEWAY_COUNT * 10 {
        directory.apply(Update::Node(node(n)), Duration::ZERO);
    }
    let memory = (resident_bytes() - before) / (GATEWAY_COUNT * 10) as f64;
    let nodes: Vec<Node> = (0..GATEWAY_COUNT).map(node).collect();
    let selection_ms = min_time_ms(|| select_peers(&nodes[1], nodes.iter(), 2, |_| true).len());
    println!(
        "  selecting peers among {GATEWAY_COUNT} processes: {selection_ms:.3} ms; memory per process entry: {memory:.0} bytes"
    );
    black_box(directory);
}

/// Returns the routes of a configuration, the first `changed` of them with another latency target.
fn routes_of_configuration(version: u64, routes: usize, changed: usize) -> Vec<String> {
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
    let (mut complete, mut text) =
        (series("complete configuration, bytes compressed"), series("complete configuration as text, bytes"));
    let mut difference = series("difference of one route, bytes compressed");
    for &routes in sizes {
        let (before, after) = (routes_of_configuration(1, routes, 0), routes_of_configuration(2, routes, 1));
        let all = format!("{{\"version\":2,\"routes\":[{}]}}", after.join(","));
        let changed: Vec<&String> =
            before.iter().zip(&after).filter(|(a, b)| a != b).map(|(_, b)| b).collect();
        let parts: Vec<&str> = changed.iter().map(|route| route.as_str()).collect();
        let only = format!(
            "{{\"base\":1,\"digest\":\"0123456789abcdef\",\"version\":2,\"routes\":[{}]}}",
            parts.join(",")
        );
        text.points.push((routes as f64, all.len() as f64));
        complete.points.push((routes as f64, compress(all.as_bytes()).len() as f64));
        difference.points.push((routes as f64, compress(only.as_bytes()).len() as f64));
    }
    [&text, &complete, &difference].into_iter().for_each(Series::print);
    plot::draw("configuration", "routes", &complete);
}
