//! What is remembered of servers and processes that are gone, so that late updates cannot bring them back: a name each,
//! for a time and up to a number, and nothing else.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time for which a name is remembered. A process that was out of touch for longer may tell of what it knew before.
pub(crate) const REMEMBERED: Duration = Duration::from_secs(24 * 3600);
/// How many names are remembered at most: of forty thousand restarts a day, those of a day and a half.
const NAMES_MOST: usize = 60_000;

/// Names of what is gone, each with the rank under which it was known last.
pub(crate) struct Departed<Rank> {
    ranks: BTreeMap<String, Rank>,
    /// The names in the order in which they came, and since when.
    order: VecDeque<(Duration, String)>,
}

impl<Rank> Default for Departed<Rank> {
    fn default() -> Self {
        Departed { ranks: BTreeMap::new(), order: VecDeque::new() }
    }
}

impl<Rank: Ord> Departed<Rank> {
    /// The one place where a name is added.
    pub(crate) fn add(&mut self, name: String, rank: Rank, now: Duration) {
        if self.ranks.insert(name.clone(), rank).is_none() {
            self.order.push_back((now, name));
        }
        while self.order.len() > NAMES_MOST {
            self.forget_first();
        }
    }

    /// Whether an entry of this rank is one that has gone, or older than that.
    pub(crate) fn covers(&self, name: &str, rank: &Rank) -> bool {
        self.ranks.get(name).is_some_and(|last| rank <= last)
    }

    /// The rank under which a name was known last.
    pub(crate) fn rank(&self, name: &str) -> Option<&Rank> {
        self.ranks.get(name)
    }

    /// It is back: a later life, or a later word of its own.
    pub(crate) fn remove(&mut self, name: &str) {
        if self.ranks.remove(name).is_some() {
            self.order.retain(|(_, other)| other != name);
        }
    }

    /// Forgets the names whose time is over.
    pub(crate) fn forget(&mut self, now: Duration) {
        while self.order.front().is_some_and(|(at, _)| *at + REMEMBERED < now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, name)) = self.order.pop_front() {
            self.ranks.remove(&name);
        }
    }

    /// How many names are remembered.
    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }
}
