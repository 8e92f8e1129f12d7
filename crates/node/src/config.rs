//! The operator's configuration: read whole, checked whole, and looked up by host and path.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;

use crate::reader::At;

/// Where a route's requests go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one server of one of these services, by weight.
    One(Vec<(Rc<str>, f64)>),
    /// To one server of each.
    All(Vec<Rc<str>>),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub host: String,
    pub prefix: String,
    pub repeatable: bool,
    pub deadline: Duration,
    pub target_time: Duration,
    pub priority: u64,
    pub max_tries: u32,
    pub target: Target,
    pub top_k: usize,
    pub min_coverage: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub health_path: String,
    pub max_conns: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub header_bytes: usize,
    pub body_bytes: usize,
    pub header_timeout: Duration,
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

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    pub version: u64,
    pub services: BTreeMap<Rc<str>, Service>,
    pub limits: Limits,
    /// By host, the longest prefix first.
    routes: BTreeMap<String, Vec<Rc<Route>>>,
}

/// What a target in a configuration may be at the most, in milliseconds: an hour.
const TIME_MOST: u64 = 3_600_000;

fn time(at: &At<'_>) -> Duration {
    Duration::from_millis(at.whole().min(TIME_MOST))
}

struct Names<'a> {
    services: &'a BTreeMap<Rc<str>, Service>,
}

impl Names<'_> {
    fn service(&self, at: &At<'_>) -> Rc<str> {
        let name: Rc<str> = at.text().into();
        if at.is_there() && !self.services.contains_key(&name) {
            at.fault(&format!("there is no service {name:?}"));
        }
        name
    }

    fn target(&self, at: &At<'_>) -> Target {
        let (one, split, all) = (at.get("service"), at.get("split"), at.get("fan-out"));
        if [&one, &split, &all].iter().filter(|at| at.is_there()).count() != 1 {
            at.fault("one of service, split and fan-out is needed here");
        }
        if all.is_there() {
            let services: Vec<_> = all.list().iter().map(|at| self.service(at)).collect();
            let distinct: BTreeSet<_> = services.iter().collect();
            if services.is_empty() || distinct.len() < services.len() {
                all.fault("services are needed here, each once");
            }
            return Target::All(services);
        }
        if !split.is_there() {
            return Target::One(vec![(if one.is_there() { self.service(&one) } else { "".into() }, 1.0)]);
        }
        let weighted = |at: &At<'_>| (self.service(&at.get("service")), at.get("weight").number());
        let services: Vec<_> = split.list().iter().map(weighted).collect();
        let sound = services.iter().all(|(_, weight)| weight.is_finite() && *weight >= 0.0);
        if !sound || services.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
            split.fault("weights are needed that are not negative and not all 0");
        }
        Target::One(services)
    }

    fn route(&self, at: &At<'_>) -> Route {
        let (kind, prefix, deadline) = (at.get("kind"), at.get("path-prefix"), at.get("deadline-ms"));
        let path = prefix.text();
        if prefix.is_there() && !(path.starts_with('/') && path.ends_with('/')) {
            prefix.fault("a prefix starts and ends with a slash");
        }
        if !matches!(kind.text(), "idempotent" | "non_idempotent") {
            kind.fault("idempotent or non_idempotent is needed here");
        }
        if deadline.whole() == 0 && deadline.is_there() {
            deadline.fault("a time above 0 is needed here");
        }
        let coverage = at.get("min-coverage");
        let min_coverage = coverage.or(1.0, At::number);
        if !(0.0..=1.0).contains(&min_coverage) {
            coverage.fault("a share from 0 to 1 is needed here");
        }
        let target = self.target(at);
        if matches!(target, Target::All(_)) && kind.text() == "non_idempotent" {
            kind.fault("what goes to all shards is idempotent");
        }
        Route {
            name: at.get("name").name(),
            host: at.get("host").name().to_ascii_lowercase(),
            prefix: path.to_owned(),
            repeatable: kind.text() == "idempotent",
            deadline: time(&deadline),
            target_time: time(&at.get("target-ms")),
            priority: at.get("priority").or(0, At::whole),
            max_tries: at.get("max-tries").or(1, At::whole).clamp(1, 16) as u32,
            target,
            top_k: at.get("top-k").or(0, At::whole).min(1 << 20) as usize,
            min_coverage,
        }
    }
}

fn service(at: &At<'_>) -> (Rc<str>, Service) {
    let most = at.get("max-conns").or(64, At::whole).clamp(1, 1 << 20) as usize;
    let health_path = at.get("health-path").or("/health".to_owned(), At::name);
    (at.get("name").name().into(), Service { health_path, max_conns: most })
}

fn limits(at: &At<'_>) -> Limits {
    let otherwise = Limits::default();
    Limits {
        header_bytes: at.get("max-header-bytes").or(otherwise.header_bytes as u64, At::whole) as usize,
        body_bytes: at.get("max-body-bytes").or(otherwise.body_bytes as u64, At::whole) as usize,
        header_timeout: at.get("header-timeout-ms").or(otherwise.header_timeout, time),
        idle_timeout: at.get("idle-timeout-ms").or(otherwise.idle_timeout, time),
    }
}

impl Config {
    /// Reads a configuration, or tells all that is wrong with it.
    pub fn parse(text: &[u8]) -> Result<Config, Vec<String>> {
        let value: Value = serde_json::from_slice(text).map_err(|e| vec![format!("the whole: {e}")])?;
        let at = At::root(&value);
        let mut services = BTreeMap::new();
        for item in at.get("services").list() {
            let (name, service) = service(&item);
            if services.insert(name, service).is_some() {
                item.fault("another service has this name");
            }
        }
        let names = Names { services: &services };
        let mut routes: BTreeMap<String, Vec<Rc<Route>>> = BTreeMap::new();
        let mut places = BTreeSet::new();
        for item in at.get("routes").list() {
            let route = names.route(&item);
            if !places.insert((route.host.clone(), route.prefix.clone())) {
                item.fault("another route has this host and prefix");
            }
            routes.entry(route.host.clone()).or_default().push(Rc::new(route));
        }
        routes.values_mut().for_each(|routes| routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len())));
        let limits = at.get("limits").or(Limits::default(), limits);
        let version = at.get("version").whole();
        let faults = at.faults();
        if faults.is_empty() { Ok(Config { version, services, limits, routes }) } else { Err(faults) }
    }

    /// The route of a request: of those of its host, that with the longest prefix which begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = host
            .rsplit_once(':')
            .map_or(host, |(name, port)| if port.bytes().all(|b| b.is_ascii_digit()) { name } else { host });
        let routes = self.routes.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|r| path.starts_with(&r.prefix))
    }

    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.routes.values().flatten()
    }
}
