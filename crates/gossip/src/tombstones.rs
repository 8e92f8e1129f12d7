//! Tombstones of removed servers and processes, so that late updates cannot restore them. A tombstone
//! consists of an identifier and a rank. The retention time and the number of tombstones are bounded.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Time for which a tombstone is kept. A process that was partitioned for longer may restore removed entries.
const TOMBSTONE_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of tombstones. With forty thousand restarts a day, this covers one and a half days.
const MAX_TOMBSTONES: usize = 60_000;

/// An identifier of a removed entry, with the time of its removal.
struct Tombstone<Id> {
    id: Id,
    created_at: Duration,
}

/// A set of tombstones, each with the last known rank of the removed entry.
pub(crate) struct Tombstones<Id, Rank> {
    ranks: BTreeMap<Id, Rank>,
    /// The tombstones in the order of their creation.
    insertion_order: VecDeque<Tombstone<Id>>,
}

impl<Id, Rank> Default for Tombstones<Id, Rank> {
    fn default() -> Self {
        Tombstones { ranks: BTreeMap::new(), insertion_order: VecDeque::new() }
    }
}

impl<Id: Ord + Clone, Rank: Ord> Tombstones<Id, Rank> {
    /// Adds a tombstone, and removes the oldest ones beyond the maximum number. No other method adds a
    /// tombstone.
    pub(crate) fn insert(&mut self, id: Id, rank: Rank, now: Duration) {
        if self.ranks.insert(id.clone(), rank).is_none() {
            self.insertion_order.push_back(Tombstone { id, created_at: now });
        }
        while self.insertion_order.len() > MAX_TOMBSTONES {
            self.remove_oldest();
        }
    }

    /// Whether an entry of this rank is the removed one or an older one.
    pub(crate) fn covers(&self, id: &Id, rank: &Rank) -> bool {
        self.ranks.get(id).is_some_and(|last| rank <= last)
    }

    /// Whether there is a tombstone for this identifier.
    pub(crate) fn contains(&self, id: &Id) -> bool {
        self.ranks.contains_key(id)
    }

    /// Returns the identifiers of the removed entries.
    pub(crate) fn ids(&self) -> impl Iterator<Item = &Id> {
        self.ranks.keys()
    }

    /// Returns the last known rank of a removed entry.
    pub(crate) fn rank_of(&self, id: &Id) -> Option<&Rank> {
        self.ranks.get(id)
    }

    /// Removes the tombstone of an entry that has returned with a higher rank.
    pub(crate) fn remove(&mut self, id: &Id) {
        if self.ranks.remove(id).is_some() {
            self.insertion_order.retain(|tombstone| tombstone.id != *id);
        }
    }

    /// Removes the tombstones whose retention time is over.
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

    /// Number of tombstones.
    pub(crate) fn len(&self) -> usize {
        self.ranks.len()
    }
}
