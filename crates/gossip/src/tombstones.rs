//! What is remembered of servers and processes that are gone, so that late updates cannot bring them back: an identifier
//! and a rank each, for a time and up to a number.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time for which a tombstone is kept. A process that was partitioned off for longer may bring back what it knew before.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// How many tombstones are kept at most: of forty thousand restarts a day, those of a day and a half.
const MAX_TOMBSTONES: usize = 60_000;

struct Tombstone<Id> {
    id: Id,
    created_at: Duration,
}

/// Tombstones, each with the rank under which its entry was known last.
pub(crate) struct Tombstones<Id, Rank> {
    ranks: BTreeMap<Id, Rank>,
    /// In the order in which they came.
    insertion_order: VecDeque<Tombstone<Id>>,
}

impl<Id, Rank> Default for Tombstones<Id, Rank> {
    fn default() -> Self {
        Tombstones { ranks: BTreeMap::new(), insertion_order: VecDeque::new() }
    }
}

impl<Id: Ord + Clone, Rank: Ord> Tombstones<Id, Rank> {
    /// The one place where a tombstone is added.
    pub(crate) fn insert(&mut self, id: Id, rank: Rank, now: Duration) {
        if self.ranks.insert(id.clone(), rank).is_none() {
            self.insertion_order.push_back(Tombstone { id, created_at: now });
        }
        while self.insertion_order.len() > MAX_TOMBSTONES {
            self.remove_oldest();
        }
    }

    /// Whether an entry of this rank is the one that is gone, or older than that.
    pub(crate) fn covers(&self, id: &Id, rank: &Rank) -> bool {
        self.ranks.get(id).is_some_and(|last| rank <= last)
    }

    /// Whether there is a tombstone of this entry.
    pub(crate) fn contains(&self, id: &Id) -> bool {
        self.ranks.contains_key(id)
    }

    /// The rank under which an entry was known last.
    pub(crate) fn rank_of(&self, id: &Id) -> Option<&Rank> {
        self.ranks.get(id)
    }

    /// The entry is back, with a higher rank.
    pub(crate) fn remove(&mut self, id: &Id) {
        if self.ranks.remove(id).is_some() {
            self.insertion_order.retain(|tombstone| tombstone.id != *id);
        }
    }

    /// Removes the tombstones whose time is over.
    pub(crate) fn expire(&mut self, now: Duration) {
        while self.insertion_order.front().is_some_and(|oldest| oldest.created_at + TOMBSTONE_RETENTION < now)
        {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some(oldest) = self.insertion_order.pop_front() {
            self.ranks.remove(&oldest.id);
        }
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }
}
