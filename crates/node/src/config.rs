//! The operator's configuration: read completely, checked completely, and looked up by host and path. The names of keys are
//! those of the users' pages.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;

use crate::document::{Faults, Field};

/// What a time in a configuration may be at the most, in milliseconds: an hour.
const MAX_TIME_MS: u64 = 3_600_000;
/// The most attempts that a route may allow.
const MAX_ATTEMPTS: u64 = 16;
/// The most connections to a server, and the most records of an answer, that a configuration may ask for.
const MAX_COUNT: u64 = 1 << 20;

/// A service among those that a split route goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Rc<str>,
    /// Its share of the requests, in proportion to the other weights.
    pub weight: f64,
}

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one server of one of these services, by weight.
    One(Vec<WeightedService>),
    /// To one server of each.
    All(Vec<Rc<str>>),
}

/// What is to become of the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for operators.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The path prefix: it starts and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Time for an answer, unless a request states less.
    pub deadline: Duration,
    /// Time within which an answer has its full worth: the latency target.
    pub latency_target: Duration,
    /// Rises with the worth of the requests.
    pub priority: u64,
    /// How many servers a request may be sent to.
    pub max_attempts: u32,
    /// Where the requests go.
    pub target: Target,
    /// How many records an answer that is joined from shards has at the most.
    pub top_k: usize,
    /// The share of the shards that an answer needs.
    pub min_coverage: f64,
}

/// What holds for the servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path of its health check.
    pub health_path: String,
    /// Connections that one of its servers accepts from all gateways.
    pub max_connections: usize,
}

/// Bounds on clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for a head to come.
    pub header_timeout: Duration,
    /// Time for which a connection may be idle.
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

/// An operator's configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The operator's number; the highest is in force.
    pub version: u64,
    /// By name.
    pub services: BTreeMap<Rc<str>, Service>,
    /// Bounds on clients.
    pub limits: Limits,
    /// By host, the longest prefix first.
    routes: BTreeMap<String, Vec<Rc<Route>>>,
}

impl Config {
    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// All that is wrong with it.
    pub fn parse(text: &[u8]) -> Result<Config, Faults> {
        let document: Value = serde_json::from_slice(text).map_err(Faults::unreadable)?;
        let root = Field::root(&document);
        let services = read_services(&root.get("services"));
        let routes = read_routes(&root.get("routes"), &services);
        let limits = root.get("limits").or(Limits::default(), read_limits);
        let version = root.get("version").unsigned();
        root.finish(Config { version, services, limits, routes })
    }

    /// The route of a request: of those of its host, that with the longest prefix which begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(&without_port(host).to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }
}

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
    let mut seen = BTreeSet::new();
    for item in field.items() {
        let route = read_route(&item, services);
        if !seen.insert((route.host.clone(), route.prefix.clone())) {
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
        return read_all(&all, services);
    }
    if split.is_present() {
        return read_split(&split, services);
    }
    let service = if one.is_present() { read_service(&one, services) } else { "".into() };
    Target::One(vec![WeightedService { service, weight: 1.0 }])
}

fn read_all(field: &Field<'_>, services: &BTreeMap<Rc<str>, Service>) -> Target {
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
    let is_valid = split.iter().all(|part| part.weight.is_finite() && part.weight >= 0.0);
    if !is_valid || split.iter().map(|part| part.weight).sum::<f64>() <= 0.0 {
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
