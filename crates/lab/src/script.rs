//! A rehearsal as it is written down, and the plan that it makes with a seed: which act hits whom, and when.
//! No I/O and no clock: the same script and seed make the same plan.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::discovery::ListFault;
use crate::faults::Behaviour;
use crate::links::{Direction, Fault};
use crate::node::{Kind, Node};
use crate::shards::Model;

/// Queries of one rehearsal at the most.
const MAX_QUERIES: usize = 1_000_000;
/// Gatherers and servers of one rehearsal at the most.
pub const MAX_GATHERERS: u16 = 300;
pub const MAX_SERVERS: u16 = 300;
/// The verticals of every rehearsal: name, effect, need and floor.
pub const VERTICALS: [(&str, &str, f64, f64); 3] =
    [("history", "retryable", 0.75, 0.75), ("near", "retryable", 0.75, 0.25), ("book", "fragile", 1.0, 1.0)];
/// The one whose parts must not run twice.
pub const BOOK_VERTICAL: u8 = 2;

/// Some nodes of a kind: in an order drawn by the seed, a share of them from a place on, perhaps of one zone.
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

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Action {
    Start {
        who: NodeSelector,
    },
    Term {
        who: NodeSelector,
    },
    Kill {
        who: NodeSelector,
    },
    /// Stopped, and woken after so long.
    Stop {
        who: NodeSelector,
        for_ms: u64,
    },
    /// Killed or told to end, and started again after so long: from nothing, or from the list as it is then.
    Restart {
        who: NodeSelector,
        after_ms: u64,
        #[serde(default)]
        kept: bool,
        #[serde(default)]
        softly: bool,
    },
    Link {
        from: NodeSelector,
        to: NodeSelector,
        #[serde(default)]
        way: Direction,
        fault: Fault,
        for_ms: u64,
        /// What is held when it ends is dropped with its connections.
        #[serde(default)]
        dropped: bool,
    },
    Server {
        who: NodeSelector,
        #[serde(default)]
        vertical: Option<String>,
        manner: Behaviour,
        for_ms: u64,
    },
    List {
        #[serde(default)]
        who: Option<NodeSelector>,
        trouble: ListFault,
        for_ms: u64,
    },
    /// Leaves the list as draining, and is gone from it after so long.
    Drain {
        who: NodeSelector,
        for_ms: u64,
    },
    /// Servers restart, cold, at once.
    Cold {
        who: NodeSelector,
    },
    /// So many times the load.
    Burst {
        times: f64,
        for_ms: u64,
    },
    /// So many queries for each gatherer at one moment.
    Rush {
        queries: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScheduledAction {
    pub at_ms: u64,
    /// Over how long the nodes are hit one after the other.
    #[serde(default)]
    pub spread_ms: u64,
    #[serde(rename = "do")]
    pub action: Action,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rehearsal {
    pub about: String,
    pub gatherers: u16,
    pub servers: u16,
    #[serde(default = "Rehearsal::one")]
    pub zones: u16,
    /// Cells that the servers are spread over, and how many in a row hold a shard.
    pub cells: u16,
    pub span: u16,
    pub shards: u16,
    pub seconds: f64,
    /// The clock starts once all gatherers are ready; else when they are started.
    #[serde(default)]
    pub warm: bool,
    /// Whether gatherers start with the list as it is.
    #[serde(default)]
    pub kept: bool,
    /// Queries a second over the whole fleet, parts of each at the most, and how often one that is sent back comes
    /// again.
    pub rate: f64,
    pub parts: u16,
    #[serde(default)]
    pub retries: u32,
    /// A front notices so late that a gatherer has died.
    #[serde(default)]
    pub notice_ms: u64,
    /// Calls a second that the list service can do.
    #[serde(default)]
    pub list_rate: Option<f64>,
    #[serde(default)]
    pub server: Model,
    /// Keepers of who owns what: none, three or five; the lease, and how far a clock's rate may be off.
    #[serde(default)]
    pub keepers: u16,
    #[serde(default = "Rehearsal::lease")]
    pub lease_ms: u64,
    /// When the main trouble begins: some figures count from then on.
    #[serde(default)]
    pub mark_ms: u64,
    /// Bounds on figures; those of `most_each` and `least_each` are for each gatherer.
    #[serde(default)]
    pub most: BTreeMap<String, f64>,
    #[serde(default)]
    pub most_each: BTreeMap<String, f64>,
    #[serde(default)]
    pub least: BTreeMap<String, f64>,
    #[serde(default)]
    pub least_each: BTreeMap<String, f64>,
    #[serde(default)]
    pub act: Vec<ScheduledAction>,
}

/// One thing that is done at a moment.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    Start { number: usize, node: Node, kept: bool },
    Term { number: usize, node: Node },
    Kill { number: usize, node: Node },
    Stop { number: usize, node: Node },
    Wake { number: usize, node: Node },
    Hit { number: usize, from: Node, to: Node, way: Direction, fault: Fault },
    Mend { number: usize, from: Node, to: Node, dropped: bool },
    Behave { number: usize, server: u16, vertical: Option<String>, manner: Behaviour },
    Recover { number: usize, server: u16 },
    Trouble { number: usize, who: Vec<u16>, trouble: ListFault },
    Untrouble { number: usize },
    Drain(u16),
    Gone(u16),
    Cold(u16),
}

/// One query that a client is to ask.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedQuery {
    pub at: Duration,
    pub vertical: u8,
    pub shards: Vec<u32>,
    /// By which the front chooses among the gatherers that it takes for alive.
    pub lot: u64,
}

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

    pub fn read(text: &str) -> Result<Rehearsal, String> {
        let rehearsal: Rehearsal = toml::from_str(text).map_err(|e| e.to_string())?;
        rehearsal.checked()
    }

    pub fn checked(self) -> Result<Rehearsal, String> {
        let within = |name: &str, n: f64, least: f64, most: f64| match (least..=most).contains(&n) {
            true => Ok(()),
            false => Err(format!("{name} is {n}, not from {least} to {most}")),
        };
        within("gatherers", self.gatherers.into(), 1.0, MAX_GATHERERS.into())?;
        within("servers", self.servers.into(), 1.0, MAX_SERVERS.into())?;
        if ![0, 3, 5].contains(&self.keepers) {
            return Err(format!("keepers is {}, not 0, 3 or 5", self.keepers));
        }
        within("lease_ms", self.lease_ms as f64, 1500.0, 60_000.0)?;
        within("zones", self.zones.into(), 1.0, 16.0)?;
        within("cells", self.cells.into(), 1.0, self.servers.into())?;
        within("span", self.span.into(), 1.0, self.cells.into())?;
        within("parts", self.parts.into(), 1.0, self.shards.into())?;
        within("seconds", self.seconds, 0.1, 600.0)?;
        within("rate", self.rate, 0.0, 20_000.0)?;
        let queries = self.rate * self.seconds;
        within("the number of queries", queries, 0.0, MAX_QUERIES as f64)?;
        for select in self.act.iter().flat_map(|act| act.action.selects()) {
            within("a share", select.share, 0.0, 1.0)?;
            within("a place", select.from, 0.0, 1.0)?;
        }
        let most = self.most.keys().chain(self.most_each.keys());
        for name in most.chain(self.least.keys()).chain(self.least_each.keys()) {
            if !crate::figures::NAMES.contains(&name.as_str()) {
                return Err(format!("there is no figure {name:?}"));
            }
        }
        for act in &self.act {
            if let Action::Server { vertical: Some(name), .. } = &act.action
                && !VERTICALS.iter().any(|v| v.0 == name)
            {
                return Err(format!("there is no vertical {name:?}"));
            }
        }
        Ok(self)
    }

    pub fn length(&self) -> Duration {
        Duration::from_secs_f64(self.seconds)
    }

    pub fn mark(&self) -> Duration {
        ms(self.mark_ms)
    }

    pub fn zone_of(&self, index: u16) -> u16 {
        index % self.zones
    }

    fn all(&self, kind: Kind) -> Vec<Node> {
        match kind {
            Kind::Clients => vec![Node::Clients],
            Kind::List => vec![Node::List],
            Kind::Gatherers => (0..self.gatherers).map(Node::Gatherer).collect(),
            Kind::Servers => (0..self.servers).map(Node::Server).collect(),
            Kind::Keepers => (0..self.keepers).map(Node::Keeper).collect(),
            Kind::Owner => vec![Node::Owner],
        }
    }

    /// The nodes that are meant. One seed has one order of each kind, so that shares of it do not overlap.
    fn select(&self, select: &NodeSelector, seed: u64) -> Vec<Node> {
        let mut all = self.all(select.kind);
        fastrand::Rng::with_seed(seed ^ select.kind as u64).shuffle(&mut all);
        let index = |n: &Node| match n {
            Node::Gatherer(i) | Node::Server(i) => *i,
            _ => 0,
        };
        all.retain(|n| select.zone.is_none_or(|zone| self.zone_of(index(n)) == zone));
        let at = |share: f64| ((all.len() as f64 * share).round() as usize).min(all.len());
        all[at(select.from)..at(select.from + select.share)].to_vec()
    }

    pub fn plan(&self, seed: u64) -> Plan {
        let mut plan = Plan::default();
        let mut load: Vec<(Duration, Duration, f64)> = Vec::new();
        let mut rushes = Vec::new();
        for (number, act) in self.act.iter().enumerate() {
            let (at, action) = (ms(act.at_ms), &act.action);
            let whom = |select: &NodeSelector| {
                let nodes = self.select(select, seed);
                let each = ms(act.spread_ms).div_f64(nodes.len().max(1) as f64);
                nodes.into_iter().enumerate().map(move |(i, n)| (at + each.mul_f64(i as f64), n))
            };
            let indices = |select: &NodeSelector| {
                whom(select).filter_map(|(at, node)| match node {
                    Node::Gatherer(i) | Node::Server(i) => Some((at, i)),
                    _ => None,
                })
            };
            let mut step = |at: Duration, step: Step| plan.steps.push((at, step));
            match action {
                Action::Start { who } => {
                    whom(who).for_each(|(at, node)| step(at, Step::Start { number, node, kept: self.kept }));
                }
                Action::Term { who } => {
                    whom(who).for_each(|(at, node)| step(at, Step::Term { number, node }))
                }
                Action::Kill { who } => {
                    whom(who).for_each(|(at, node)| step(at, Step::Kill { number, node }))
                }
                Action::Stop { who, for_ms } => whom(who).for_each(|(at, node)| {
                    step(at, Step::Stop { number, node });
                    step(at + ms(*for_ms), Step::Wake { number, node });
                }),
                Action::Restart { who, after_ms, kept, softly } => whom(who).for_each(|(at, node)| {
                    step(at, if *softly { Step::Term { number, node } } else { Step::Kill { number, node } });
                    step(at + ms(*after_ms), Step::Start { number, node, kept: *kept });
                }),
                Action::Link { from, to, way, fault, for_ms, dropped } => {
                    let far = self.select(to, seed);
                    for (at, from) in whom(from) {
                        for &to in &far {
                            let (way, fault, dropped) = (*way, *fault, *dropped);
                            step(at, Step::Hit { number, from, to, way, fault });
                            step(at + ms(*for_ms), Step::Mend { number, from, to, dropped });
                        }
                    }
                }
                Action::Server { who, vertical, manner, for_ms } => indices(who).for_each(|(at, server)| {
                    let vertical = vertical.clone();
                    step(at, Step::Behave { number, server, vertical, manner: *manner });
                    step(at + ms(*for_ms), Step::Recover { number, server });
                }),
                Action::List { who, trouble, for_ms } => {
                    let who = who.iter().flat_map(indices).map(|(_, i)| i).collect();
                    step(at, Step::Trouble { number, who, trouble: *trouble });
                    step(at + ms(*for_ms), Step::Untrouble { number });
                }
                Action::Drain { who, for_ms } => indices(who).for_each(|(at, i)| {
                    step(at, Step::Drain(i));
                    step(at + ms(*for_ms), Step::Gone(i));
                }),
                Action::Cold { who } => indices(who).for_each(|(at, i)| step(at, Step::Cold(i))),
                Action::Burst { times, for_ms } => load.push((at, at + ms(*for_ms), *times)),
                Action::Rush { queries } => {
                    rushes.extend((0..*queries * u32::from(self.gatherers)).map(|_| at));
                }
            }
        }
        plan.steps.sort_by_key(|(at, _)| *at);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut times = rushes;
        let mut at = Duration::ZERO;
        let rate = self.rate;
        while rate > 0.0 && times.len() < MAX_QUERIES {
            let now: f64 = load.iter().filter(|l| (l.0..l.1).contains(&at)).map(|l| l.2).product();
            // Poisson arrivals.
            at += Duration::from_secs_f64((-(1.0 - rng.f64()).ln() / (rate * now.max(0.01))).min(60.0));
            if at >= self.length() {
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
        PlannedQuery { at, vertical, shards, lot: rng.u64(..) }
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
    fn one_seed_makes_one_plan_and_another_seed_another() {
        for (name, text) in crate::rehearsals::ALL {
            let rehearsal = Rehearsal::read(text).unwrap_or_else(|e| panic!("{name}: {e}"));
            assert_eq!(rehearsal.plan(7), rehearsal.plan(7), "{name}");
            assert_ne!(rehearsal.plan(7), rehearsal.plan(8), "{name}");
            assert!(rehearsal.plan(7).steps.is_sorted_by_key(|(at, _)| *at), "{name}");
        }
    }

    #[test]
    fn shares_of_one_kind_do_not_overlap_and_zones_bind() {
        let text = crate::rehearsals::ALL[0].1;
        let rehearsal = Rehearsal { gatherers: 20, zones: 2, ..Rehearsal::read(text).expect("it") };
        let some = |from, share, zone| NodeSelector { kind: Kind::Gatherers, from, share, zone };
        let first = rehearsal.select(&some(0.0, 0.7, None), 3);
        let rest = rehearsal.select(&some(0.7, 0.3, None), 3);
        assert_eq!((first.len(), rest.len()), (14, 6));
        assert!(first.iter().all(|n| !rest.contains(n)));
        let zone = rehearsal.select(&some(0.0, 1.0, Some(1)), 3);
        assert_eq!(zone.len(), 10);
    }

    #[test]
    fn what_cannot_be_played_is_refused_with_its_name() {
        let text = crate::rehearsals::ALL[0].1;
        for (from, to, word) in [
            ("about", "abuot", "abuot"),
            ("gatherers = ", "gatherers = 9", "gatherers"),
            ("[most]", "[most]\nno_such = 1.0", "no_such"),
        ] {
            let refused = Rehearsal::read(&text.replacen(from, to, 1)).expect_err(word);
            assert!(refused.contains(word), "{refused}");
        }
    }
}
