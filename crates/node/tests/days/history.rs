//! What callers were told and what processes went by, and what may never be told or gone by after that.

use std::collections::{BTreeMap, BTreeSet};

use ashvane_node::config::Config;

/// One text of an operator's configuration: two orders under one version differ in their salt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Order {
    pub version: u64,
    pub salt: u64,
}

impl Order {
    /// The order that a configuration in force stems from.
    pub(super) fn of(config: &Config) -> Option<Order> {
        let salt = config.routes().next()?.name.strip_prefix('r')?.parse().ok()?;
        Some(Order { version: config.version, salt })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// And this version holds.
    Acknowledged {
        held: u64,
    },
    Refused,
    Unclear,
}

/// All that was said of orders, to whomever, and all that was in force, wherever.
#[derive(Default)]
pub(super) struct History {
    sent: BTreeSet<Order>,
    acknowledged: BTreeSet<Order>,
    refused: BTreeSet<Order>,
    /// The text of each version that was acknowledged as the one that holds, read or in force.
    texts: BTreeMap<u64, u64>,
    /// The newest version that was acknowledged, read or in force.
    newest: u64,
    broken: Vec<String>,
}

impl History {
    /// Nothing that must not be has been seen so far.
    pub(super) fn check(&self) {
        let first = self.broken.iter().take(2).cloned().collect::<Vec<_>>();
        assert!(first.is_empty(), "{}", first.join("; "));
    }

    pub(super) fn fault(&mut self, what: String) {
        self.broken.push(what);
    }

    pub(super) fn sent(&mut self, order: Order) {
        self.sent.insert(order);
    }

    pub(super) fn acknowledged(&self) -> impl Iterator<Item = Order> {
        self.acknowledged.iter().copied()
    }

    pub(super) fn refused(&self) -> impl Iterator<Item = Order> {
        self.refused.iter().copied()
    }

    /// What a read that begins now must at least find.
    pub(super) fn floor(&self) -> u64 {
        self.newest
    }

    /// Some caller or process takes this for what stands under its number.
    fn stands(&mut self, order: Order, whose: &str) {
        let text = *self.texts.entry(order.version).or_insert(order.salt);
        if text != order.salt {
            self.fault(format!("{whose}: {order:?}, another was told {text} under this number"));
        }
        // Acknowledged below a higher version: either this is its version's text, or its version has none.
        let same = Order { version: order.version, salt: 0 }..Order { version: order.version + 1, salt: 0 };
        if let Some(other) = self.acknowledged.range(same).find(|other| **other != order) {
            self.fault(format!("{whose}: {order:?}, though {other:?} was acknowledged"));
        }
        if self.refused.contains(&order) {
            self.fault(format!("{whose}: {order:?}, which was refused"));
        }
        if !self.sent.contains(&order) {
            self.fault(format!("{whose}: {order:?}, which nobody sent"));
        }
        self.newest = self.newest.max(order.version);
    }

    pub(super) fn answered(&mut self, order: Order, answer: Answer, by: &str) {
        match answer {
            Answer::Unclear => {}
            Answer::Acknowledged { held } => {
                let by = format!("acknowledged by {by}");
                self.acknowledged.insert(order);
                self.newest = self.newest.max(held);
                match self.texts.get(&order.version) {
                    Some(_) => self.stands(order, &by),
                    None if held == order.version => self.stands(order, &by),
                    None if self.refused.contains(&order) => {
                        self.fault(format!("{by}: {order:?}, which was refused"));
                    }
                    None => {}
                }
            }
            Answer::Refused => {
                let stands = self.texts.get(&order.version) == Some(&order.salt);
                if stands || self.acknowledged.contains(&order) {
                    self.fault(format!("{by} refuses {order:?}, which was acknowledged, read or in force"));
                }
                self.refused.insert(order);
            }
        }
    }

    /// A read that began at this floor has found this; zero stands for nothing.
    pub(super) fn read(&mut self, floor: u64, found: Option<Order>, by: &str) {
        let version = found.map_or(0, |order| order.version);
        if version < floor {
            self.fault(format!("{by} answers {version} to a read that began after {floor}"));
        }
        if let Some(order) = found {
            self.stands(order, &format!("read at {by}"));
        }
    }

    pub(super) fn in_force(&mut self, order: Order, at: &str) {
        self.stands(order, &format!("in force at {at}"));
    }
}
