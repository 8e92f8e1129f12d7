//! Rehearsal scripts, and the plan made from a script and a seed: which action affects which nodes, and when.
//! Uses no I/O and no clock, so the same script and seed give the same plan.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::discovery::ListFault;
use crate::faults::Behaviour;
use crate::links::{Direction, Fault};
use crate::node::{Kind, Node};
use crate::shards::Model;

/// Maximum queries of one rehearsal.
const MAX_QUERIES: usize = 1_000_000;
/// Maximum gatherers of one rehearsal.
pub const MAX_GATHERERS: u16 = 300;
/// Maximum shard servers of one rehearsal.
pub const MAX_SERVERS: u16 = 300;
/// Verticals of every rehearsal: name, effect, share of parts needed for a whole answer, and minimum share.
pub const VERTICALS: [(&str, &str, f64, f64); 3] =
    [("history", "retryable", 0.75, 0.75), ("near", "retryable", 0.75, 0.25), ("book", "fragile", 1.0, 1.0)];
/// Index of the vertical whose parts must not run twice.
pub const BOOK_VERTICAL: u8 = 2;

/// Selects nodes of a kind. The nodes, optionally of one zone only, are shuffled by the seed; `from` and
/// `share` are the start and length of the selected range as shares of all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSelector {
    pub kind: Kind,
    #[serde(default)]
    pub from: f64,
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub zone: Option<u16>,
}

fn one() -> f64 {
    1.0
}

/// What an action does. Where an action ends by itself, `for_ms` is its duration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    /// Starts processes.
    Start { who: NodeSelector },
    /// Sends SIGTERM.
    Term { who: NodeSelector },
    /// Sends SIGKILL.
    Kill { who: NodeSelector },
    /// Sends SIGSTOP, and SIGCONT after `for_ms`.
    Stop { who: NodeSelector, for_ms: u64 },
    /// Kills processes (or sends SIGTERM if `softly`) and starts them again after `after_ms`, with the list
    /// of that time if `kept`.
    Restart {
        who: NodeSelector,
        after_ms: u64,
        #[serde(default)]
        kept: bool,
        #[serde(default)]
        softly: bool,
    },
    /// Injects a fault into links.
    Link {
        from: NodeSelector,
        to: NodeSelector,
        #[serde(default)]
        way: Direction,
        fault: Fault,
        for_ms: u64,
        /// Whether the connections are reset when the fault ends, so that bytes held back are lost.
        #[serde(default)]
        dropped: bool,
    },
    /// Changes the behaviour of shard servers, for one vertical or for all.
    Server {
        who: NodeSelector,
        #[serde(default)]
        vertical: Option<String>,
        manner: Behaviour,
        for_ms: u64,
    },
    /// Injects a fault into the list service, for some gatherers or for all.
    List {
        #[serde(default)]
        who: Option<NodeSelector>,
        trouble: ListFault,
        for_ms: u64,
    },
    /// Lists servers as draining, and removes them from the list after `for_ms`.
    Drain { who: NodeSelector, for_ms: u64 },
    /// Restarts shard servers cold.
    Cold { who: NodeSelector },
    /// Multiplies the query rate.
    Burst { times: f64, for_ms: u64 },
    /// Sends this many queries per gatherer at once.
    Rush { queries: u32 },
}

/// An action and when it takes place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledAction {
    /// Time since the start of the rehearsal.
    pub at_ms: u64,
    /// Period over which the action is spread across the selected nodes.
    #[serde(default)]
    pub spread_ms: u64,
    #[serde(rename = "do")]
    pub action: Action,
}

/// A rehearsal script.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rehearsal {
    /// Short description, printed by `ashvane-rehearse list`.
    pub about: String,
    pub gatherers: u16,
    pub servers: u16,
    #[serde(default = "Rehearsal::one")]
    pub zones: u16,
    /// Number of cells over which the servers are spread.
    pub cells: u16,
    /// Number of consecutive cells that hold a shard.
    pub span: u16,
    /// Number of shards.
    pub shards: u16,
    pub seconds: f64,
    /// Whether the clock starts once all gatherers are ready, instead of when they are started.
    #[serde(default)]
    pub warm: bool,
    /// Whether gatherers start with the current list of servers.
    #[serde(default)]
    pub kept: bool,
    /// Queries per second over the whole fleet.
    pub rate: f64,
    /// Maximum parts of a query.
    pub parts: u16,
    /// Maximum retries of a query that was rejected or whose connection failed or ended early.
    #[serde(default)]
    pub retries: u32,
    /// Time after which the front takes an unresponsive gatherer out of rotation.
    #[serde(default)]
    pub notice_ms: u64,
    /// Maximum calls per second of the list service; unlimited if absent.
    #[serde(default)]
    pub list_rate: Option<f64>,
    #[serde(default)]
    pub server: Model,
    /// Number of keepers, which store the leases: 0, 3 or 5.
    #[serde(default)]
    pub keepers: u16,
    #[serde(default = "Rehearsal::lease")]
    pub lease_ms: u64,
    /// Start of the main fault; some figures count from then on.
    #[serde(default)]
    pub mark_ms: u64,
    /// Upper bounds on figures.
    #[serde(default)]
    pub most: BTreeMap<String, f64>,
    /// Upper bounds per gatherer.
    #[serde(default)]
    pub most_each: BTreeMap<String, f64>,
    /// Lower bounds on figures.
    #[serde(default)]
    pub least: BTreeMap<String, f64>,
    /// Lower bounds per gatherer.
    #[serde(default)]
    pub least_each: BTreeMap<String, f64>,
    #[serde(default)]
    pub act: Vec<ScheduledAction>,
}

/// A step of a plan. `number` is the index of the action that it belongs to.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Starts a process, with the current list if `kept`.
    Start { number: usize, node: Node, kept: bool },
    /// Sends SIGTERM to a process.
    Term { number: usize, node: Node },
    /// Sends SIGKILL to a process.
    Kill { number: usize, node: Node },
    /// Sends SIGSTOP to a process.
    Stop { number: usize, node: Node },
    /// Sends SIGCONT to a process.
    Continue { number: usize, node: Node },
    /// Starts a fault of a link.
    InjectFault { number: usize, from: Node, to: Node, way: Direction, fault: Fault },
    /// Ends a fault of a link; with `dropped`, resets its connections.
    ClearFault { number: usize, from: Node, to: Node, dropped: bool },
    /// Sets the behaviour of a shard server, for one vertical or for all.
    SetBehaviour { number: usize, server: u16, vertical: Option<String>, manner: Behaviour },
    /// Ends the behaviour that an action set.
    ClearBehaviour { number: usize, server: u16 },
    /// Starts a fault of the list service, for all gatherers if `who` is empty.
    InjectListFault { number: usize, who: Vec<u16>, trouble: ListFault },
    /// Ends a fault of the list service.
    ClearListFault { number: usize },
    /// Lists a server as draining.
    Drain(u16),
    /// Removes a server from the list.
    Remove(u16),
    /// Restarts a shard server cold.
    Cold(u16),
}

/// A query that a client will send.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedQuery {
    /// Time since the start of the rehearsal.
    pub at: Duration,
    /// Index into [`VERTICALS`].
    pub vertical: u8,
    pub shards: Vec<u32>,
    /// Seed for the choice among the gatherers in rotation.
    pub selection_seed: u64,
}

/// Steps and queries of a rehearsal, each in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub steps: Vec<(Duration, Step)>,
    pub queries: Vec<PlannedQuery>,
}

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

impl Rehearsal {
    fn one() -> u16 {
        1
    }

    fn lease() -> u64 {
        3000
    }

    /// Parses and validates a script.
    pub fn parse(text: &str) -> Result<Rehearsal, String> {
        let rehearsal: Rehearsal = toml::from_str(text).map_err(|e| e.to_string())?;
        rehearsal.validated()
    }

    /// Validates all values and names.
    pub fn validated(self) -> Result<Rehearsal, String> {
        let check_range = |name: &str, n: f64, least: f64, most: f64| match (least..=most).contains(&n) {
            true => Ok(()),
            false => Err(format!("{name} is {n}, which is not from {least} to {most}")),
        };
        check_range("gatherers", self.gatherers.into(), 1.0, MAX_GATHERERS.into())?;
        check_range("servers", self.servers.into(), 1.0, MAX_SERVERS.into())?;
        if ![0, 3, 5].contains(&self.keepers) {
            return Err(format!("keepers is {}, which is not 0, 3 or 5", self.keepers));
        }
        check_range("lease_ms", self.lease_ms as f64, 1500.0, 60_000.0)?;
        check_range("zones", self.zones.into(), 1.0, 16.0)?;
        check_range("cells", self.cells.into(), 1.0, self.servers.into())?;
        check_range("span", self.span.into(), 1.0, self.cells.into())?;
        check_range("parts", self.parts.into(), 1.0, self.shards.into())?;
        check_range("seconds", self.seconds, 0.1, 600.0)?;
        check_range("rate", self.rate, 0.0, 20_000.0)?;
        let queries = self.rate * self.seconds;
        check_range("the number of queries (rate times seconds)", queries, 0.0, MAX_QUERIES as f64)?;
        for select in self.act.iter().flat_map(|act| act.action.selects()) {
            check_range("the share of a selection", select.share, 0.0, 1.0)?;
            check_range("the start of a selection", select.from, 0.0, 1.0)?;
        }
        let most = self.most.keys().chain(self.most_each.keys());
        for name in most.chain(self.least.keys()).chain(self.least_each.keys()) {
            if !crate::figures::NAMES.contains(&name.as_str()) {
                return Err(format!("unknown figure {name:?} in the bounds"));
            }
        }
        for act in &self.act {
            if let Action::Server { vertical: Some(name), .. } = &act.action
                && !VERTICALS.iter().any(|v| v.0 == name)
            {
                return Err(format!("unknown vertical {name:?} in an action"));
            }
        }
        Ok(self)
    }

    /// Returns the duration of the rehearsal.
    pub fn duration(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    /// Returns the start of the main fault.
    pub fn mark(&self) -> Duration {
        ms(self.mark_ms)
    }

    /// Returns the zone of the gatherer or server with this index.
    pub fn zone_of(&self, index: u16) -> u16 {
        index % self.zones
    }

    fn nodes_of_kind(&self, kind: Kind) -> Vec<Node> {
        match kind {
            Kind::Clients => vec![Node::Clients],
            Kind::List => vec![Node::List],
            Kind::Gatherers => (0..self.gatherers).map(Node::Gatherer).collect(),
            Kind::Servers => (0..self.servers).map(Node::Server).collect(),
            Kind::Keepers => (0..self.keepers).map(Node::Keeper).collect(),
            Kind::Owner => vec![Node::Owner],
        }
    }

    /// Returns the selected nodes. A seed has one order for each kind, so adjacent shares do not overlap.
    fn select(&self, select: &NodeSelector, seed: u64) -> Vec<Node> {
        let mut all = self.nodes_of_kind(select.kind);
        fastrand::Rng::with_seed(seed ^ select.kind as u64).shuffle(&mut all);
        let index = |n: &Node| match n {
            Node::Gatherer(i) | Node::Server(i) => *i,
            _ => 0,
        };
        all.retain(|n| select.zone.is_none_or(|zone| self.zone_of(index(n)) == zone));
        let at = |share: f64| ((all.len() as f64 * share).round() as usize).min(all.len());
        all[at(select.from)..at(select.from + select.share)].to_vec()
    }

    /// Makes the plan for a seed.
    pub fn plan(&self, seed: u64) -> Plan {
        let mut plan = Plan::default();
        let mut bursts: Vec<(Duration, Duration, f64)> = Vec::new();
        let mut rush_times = Vec::new();
        for (number, act) in self.act.iter().enumerate() {
            let (at, action) = (ms(act.at_ms), &act.action);
            let targets = |select: &NodeSelector| {
                let nodes = self.select(select, seed);
                let each = ms(act.spread_ms).div_f64(nodes.len().max(1) as f64);
                nodes.into_iter().enumerate().map(move |(i, n)| (at + each.mul_f64(i as f64), n))
            };
            let target_indices = |select: &NodeSelector| {
                targets(select).filter_map(|(at, node)| match node {
                    Node::Gatherer(i) | Node::Server(i) => Some((at, i)),
                    _ => None,
                })
            };
            let mut step = |at: Duration, step: Step| plan.steps.push((at, step));
            match action {
                Action::Start { who } => {
                    targets(who)
                        .for_each(|(at, node)| step(at, Step::Start { number, node, kept: self.kept }));
                }
                Action::Term { who } => {
                    targets(who).for_each(|(at, node)| step(at, Step::Term { number, node }))
                }
                Action::Kill { who } => {
                    targets(who).for_each(|(at, node)| step(at, Step::Kill { number, node }))
                }
                Action::Stop { who, for_ms } => targets(who).for_each(|(at, node)| {
                    step(at, Step::Stop { number, node });
                    step(at + ms(*for_ms), Step::Continue { number, node });
                }),
                Action::Restart { who, after_ms, kept, softly } => targets(who).for_each(|(at, node)| {
                    step(at, if *softly { Step::Term { number, node } } else { Step::Kill { number, node } });
                    step(at + ms(*after_ms), Step::Start { number, node, kept: *kept });
                }),
                Action::Link { from, to, way, fault, for_ms, dropped } => {
                    let destinations = self.select(to, seed);
                    for (at, from) in targets(from) {
                        for &to in &destinations {
                            let (way, fault, dropped) = (*way, *fault, *dropped);
                            step(at, Step::InjectFault { number, from, to, way, fault });
                            step(at + ms(*for_ms), Step::ClearFault { number, from, to, dropped });
                        }
                    }
                }
                Action::Server { who, vertical, manner, for_ms } => {
                    target_indices(who).for_each(|(at, server)| {
                        let vertical = vertical.clone();
                        step(at, Step::SetBehaviour { number, server, vertical, manner: *manner });
                        step(at + ms(*for_ms), Step::ClearBehaviour { number, server });
                    })
                }
                Action::List { who, trouble, for_ms } => {
                    let who = who.iter().flat_map(target_indices).map(|(_, i)| i).collect();
                    step(at, Step::InjectListFault { number, who, trouble: *trouble });
                    step(at + ms(*for_ms), Step::ClearListFault { number });
                }
                Action::Drain { who, for_ms } => target_indices(who).for_each(|(at, i)| {
                    step(at, Step::Drain(i));
                    step(at + ms(*for_ms), Step::Remove(i));
                }),
                Action::Cold { who } => target_indices(who).for_each(|(at, i)| step(at, Step::Cold(i))),
                Action::Burst { times, for_ms } => bursts.push((at, at + ms(*for_ms), *times)),
                Action::Rush { queries } => {
                    rush_times.extend((0..*queries * u32::from(self.gatherers)).map(|_| at));
                }
            }
        }
        plan.steps.sort_by_key(|(at, _)| *at);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut times = rush_times;
        let mut at = Duration::ZERO;
        let rate = self.rate;
        while rate > 0.0 && times.len() < MAX_QUERIES {
            let load_factor: f64 = bursts.iter().filter(|l| (l.0..l.1).contains(&at)).map(|l| l.2).product();
            // Poisson arrivals.
            at +=
                Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / (rate * load_factor.max(0.01))).min(60.0));
            if at >= self.duration() {
                break;
            }
            times.push(at);
        }
        times.sort();
        plan.queries = times.into_iter().map(|at| self.query(at, &mut rng)).collect();
        plan
    }

    fn query(&self, at: Duration, rng: &mut fastrand::Rng) -> PlannedQuery {
        let parts = rng.u16(1..=self.parts.max(1));
        let first = rng.u16(..self.shards.max(1));
        let shards = (0..parts).map(|i| u32::from((first + i) % self.shards)).collect();
        let vertical = [0, 0, 0, 0, 0, 1, 1, 1, BOOK_VERTICAL, BOOK_VERTICAL][rng.usize(..10)];
        PlannedQuery { at, vertical, shards, selection_seed: rng.u64(..) }
    }
}

impl Action {
    fn selects(&self) -> Vec<&NodeSelector> {
        match self {
            Action::Start { who } | Action::Term { who } | Action::Kill { who } | Action::Cold { who } => {
                vec![who]
            }
            Action::Stop { who, .. } | Action::Restart { who, .. } | Action::Drain { who, .. } => vec![who],
            Action::Server { who, .. } => vec![who],
            Action::Link { from, to, .. } => vec![from, to],
            Action::List { who, .. } => who.iter().collect(),
            Action::Burst { .. } | Action::Rush { .. } => Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_same_seed_makes_the_same_plan_and_another_seed_another() {
        for (name, text) in crate::rehearsals::ALL {
            let rehearsal = Rehearsal::parse(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert_eq!(rehearsal.plan(7), rehearsal.plan(7), "{name}");
            assert_ne!(rehearsal.plan(7), rehearsal.plan(8), "{name}");
            assert!(rehearsal.plan(7).steps.is_sorted_by_key(|(at, _)| *at), "{name}");
        }
    }

    #[test]
    fn shares_of_one_kind_do_not_overlap_and_zones_are_respected() {
        let text = crate::rehearsals::ALL[0].1;
        let rehearsal =
            Rehearsal { gatherers: 20, zones: 2, ..Rehearsal::parse(text).expect("the rehearsal is valid") };
        let selector = |from, share, zone| NodeSelector { kind: Kind::Gatherers, from, share, zone };
        let first = rehearsal.select(&selector(0.0, 0.7, None), 3);
        let last = rehearsal.select(&selector(0.7, 0.3, None), 3);
        assert_eq!((first.len(), last.len()), (14, 6));
        assert!(first.iter().all(|n| !last.contains(n)));
        let zone = rehearsal.select(&selector(0.0, 1.0, Some(1)), 3);
        assert_eq!(zone.len(), 10);
    }

    #[test]
    fn an_invalid_script_is_rejected_with_the_name_of_the_fault() {
        let text = crate::rehearsals::ALL[0].1;
        for (from, to, word) in [
            ("about", "abuot", "abuot"),
            ("gatherers = ", "gatherers = 9", "gatherers"),
            ("[most]", "[most]\nno_such = 1.0", "no_such"),
        ] {
            let refused = Rehearsal::parse(&text.replacen(from, to, 1)).expect_err(word);
            assert!(refused.contains(word), "{refused}");
        }
    }
}
