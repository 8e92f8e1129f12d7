//! The operator's configuration. It is parsed and validated as a whole, and routes are looked up by host and
//! path. The keys are those of the user documentation.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;

use crate::document::{Faults, Field};

/// Longest time in a configuration: one hour. Longer ones are reduced to it.
const MAX_TIME_MS: u64 = 3_600_000;
/// Largest number of attempts that a route may allow. Larger ones are reduced to it.
const MAX_ATTEMPTS: u64 = 16;
/// Largest number of connections to a server, and of records in a response. Larger ones are reduced to it.
const MAX_COUNT: u64 = 1 << 20;

/// One of the services of a split route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Rc<str>,
    /// Weight of the service: its share of the requests relative to the other weights.
    pub weight: f64,
}

/// Destination of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One server of one of these services, which is picked at random by weight.
    One(Vec<WeightedService>),
    /// One server of each of these services.
    All(Vec<Rc<str>>),
}

/// Handling of the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for operators.
    pub name: String,
    /// Host in lower case.
    pub host: String,
    /// Path prefix, which starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Time within which a response is due, unless the request states a shorter one.
    pub deadline: Duration,
    /// Latency target: a later response has less than its full utility.
    pub latency_target: Duration,
    /// Priority of the requests; higher is more important.
    pub priority: u64,
    /// Largest number of servers that a request may be sent to.
    pub max_attempts: u32,
    /// Destination of the requests.
    pub target: Target,
    /// Largest number of records in a response that is merged from several shards.
    pub top_k: usize,
    /// Share of the shards that must answer, from 0 to 1.
    pub min_coverage: f64,
}

impl Route {
    /// Returns the smallest number of answered shards, out of all shards of a query, whose share is not below
    /// the minimal coverage. It is compared as a client does that divides the two numbers. At least one shard is
    /// needed, whatever the coverage.
    #[must_use]
    pub fn required_shards(&self, shard_count: usize) -> usize {
        let is_enough = |answered: &usize| *answered as f64 / shard_count as f64 >= self.min_coverage;
        (1..shard_count).find(is_enough).unwrap_or(shard_count)
    }
}

/// Properties of the servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one server accepts from all gateways together.
    pub max_connections: usize,
}

/// Limits on the requests and connections of clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Longest head of a request.
    pub header_bytes: usize,
    /// Longest body of a request.
    pub body_bytes: usize,
    /// Time within which the head of a request must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle. The body of a request must also arrive within it.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Configuration of an operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version that the operator chose. The highest one is in force.
    pub version: u64,
    /// Services by name.
    pub services: BTreeMap<Rc<str>, Service>,
    /// Limits on clients.
    pub limits: Limits,
    /// Routes by host, the longest prefix first.
    routes: BTreeMap<String, Vec<Rc<Route>>>,
}

impl Config {
    /// Parses and validates a configuration.
    ///
    /// # Errors
    ///
    /// If the text is not JSON or not a valid configuration: all of its faults.
    pub fn parse(text: &[u8]) -> Result<Config, Faults> {
        let document: Value = serde_json::from_slice(text).map_err(Faults::unreadable)?;
        let root = Field::root(&document);
        let services = read_services(&root.get("services"));
        let routes = read_routes(&root.get("routes"), &services);
        let limits = root.get("limits").or(Limits::default(), read_limits);
        let version = root.get("version").unsigned();
        root.finish(Config { version, services, limits, routes })
    }

    /// Returns the route of a request: the one with the longest matching path prefix among those of its host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(&without_port(host).to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }
}

/// Returns the host without its port, if it has one.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn read_services(field: &Field<'_>) -> BTreeMap<Rc<str>, Service> {
    let mut services = BTreeMap::new();
    for item in field.items() {
        let max_connections = item.get("max-conns").or(64, Field::unsigned).clamp(1, MAX_COUNT) as usize;
        let health_path = item.get("health-path").or("/health".to_owned(), Field::name);
        let name = item.get("name").name().into();
        if services.insert(name, Service { health_path, max_connections }).is_some() {
            item.report("another service has this name");
        }
    }
    services
}

fn read_routes(field: &Field<'_>, services: &BTreeMap<Rc<str>, Service>) -> BTreeMap<String, Vec<Rc<Route>>> {
    let mut routes: BTreeMap<String, Vec<Rc<Route>>> = BTreeMap::new();
    let mut places = BTreeSet::new();
    for item in field.items() {
        let route = read_route(&item, services);
        if !places.insert((route.host.clone(), route.prefix.clone())) {
            item.report("another route has this host and prefix");
        }
        routes.entry(route.host.clone()).or_default().push(Rc::new(route));
    }
    for routes in routes.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    routes
}

fn read_route(field: &Field<'_>, services: &BTreeMap<Rc<str>, Service>) -> Route {
    let prefix = read_prefix(&field.get("path-prefix"));
    let kind = field.get("kind");
    if !matches!(kind.text(), "idempotent" | "non_idempotent") {
        kind.report("idempotent or non_idempotent is needed here");
    }
    let deadline = field.get("deadline-ms");
    if deadline.unsigned() == 0 && deadline.is_present() {
        deadline.report("a time above 0 is needed here");
    }
    let min_coverage = read_coverage(&field.get("min-coverage"));
    let target = read_target(field, services);
    if matches!(target, Target::All(_)) && kind.text() == "non_idempotent" {
        kind.report("what goes to all shards is idempotent");
    }
    Route {
        name: field.get("name").name(),
        host: field.get("host").name().to_ascii_lowercase(),
        prefix,
        is_idempotent: kind.text() == "idempotent",
        deadline: read_time(&deadline),
        latency_target: read_time(&field.get("target-ms")),
        priority: field.get("priority").or(0, Field::unsigned),
        max_attempts: field.get("max-tries").or(1, Field::unsigned).clamp(1, MAX_ATTEMPTS) as u32,
        target,
        top_k: field.get("top-k").or(0, Field::unsigned).min(MAX_COUNT) as usize,
        min_coverage,
    }
}

fn read_prefix(field: &Field<'_>) -> String {
    let prefix = field.text();
    if field.is_present() && !(prefix.starts_with('/') && prefix.ends_with('/')) {
        field.report("a prefix starts and ends with a slash");
    }
    prefix.to_owned()
}

fn read_coverage(field: &Field<'_>) -> f64 {
    let coverage = field.or(1.0, Field::number);
    if !(0.0..=1.0).contains(&coverage) {
        field.report("a share from 0 to 1 is needed here");
    }
    coverage
}

fn read_time(field: &Field<'_>) -> Duration {
    Duration::from_millis(field.unsigned().min(MAX_TIME_MS))
}

fn read_target(route: &Field<'_>, services: &BTreeMap<Rc<str>, Service>) -> Target {
    let (one, split, all) = (route.get("service"), route.get("split"), route.get("fan-out"));
    if [&one, &split, &all].iter().filter(|field| field.is_present()).count() != 1 {
        route.report("one of service, split and fan-out is needed here");
    }
    if all.is_present() {
        return read_fan_out(&all, services);
    }
    if split.is_present() {
        return read_split(&split, services);
    }
    let service = if one.is_present() { read_service(&one, services) } else { "".into() };
    Target::One(vec![WeightedService { service, weight: 1.0 }])
}

fn read_fan_out(field: &Field<'_>, services: &BTreeMap<Rc<str>, Service>) -> Target {
    let named: Vec<Rc<str>> = field.items().iter().map(|item| read_service(item, services)).collect();
    let distinct: BTreeSet<&Rc<str>> = named.iter().collect();
    if named.is_empty() || distinct.len() < named.len() {
        field.report("services are needed here, each once");
    }
    Target::All(named)
}

fn read_split(field: &Field<'_>, services: &BTreeMap<Rc<str>, Service>) -> Target {
    let weighted = |item: &Field<'_>| WeightedService {
        service: read_service(&item.get("service"), services),
        weight: item.get("weight").number(),
    };
    let split: Vec<WeightedService> = field.items().iter().map(weighted).collect();
    let is_valid = split.iter().all(|entry| entry.weight.is_finite() && entry.weight >= 0.0);
    if !is_valid || split.iter().map(|entry| entry.weight).sum::<f64>() <= 0.0 {
        field.report("weights are needed that are not negative and not all 0");
    }
    Target::One(split)
}

fn read_service(field: &Field<'_>, services: &BTreeMap<Rc<str>, Service>) -> Rc<str> {
    let name: Rc<str> = field.text().into();
    if field.is_present() && !services.contains_key(&name) {
        field.report(&format!("there is no service {name:?}"));
    }
    name
}

fn read_limits(field: &Field<'_>) -> Limits {
    let default = Limits::default();
    let bytes = |key: &str, default: usize| field.get(key).or(default as u64, Field::unsigned) as usize;
    Limits {
        header_bytes: bytes("max-header-bytes", default.header_bytes),
        body_bytes: bytes("max-body-bytes", default.body_bytes),
        header_timeout: field.get("header-timeout-ms").or(default.header_timeout, read_time),
        idle_timeout: field.get("idle-timeout-ms").or(default.idle_timeout, read_time),
    }
}
