//! What peers compare to find out whether one of them has missed updates.

use std::collections::BTreeMap;

use ashvane_identifiers::{NodeName, ServerId};
use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;
use crate::{NodeRank, OrphanMonitorTerm, ServerRank};

/// Entries fall into so many buckets by their names, so that only the entries of buckets that differ are compared one by
/// one. The same in every release, for [`BucketSet`] has a bit for each.
const BUCKET_COUNT: usize = 32;

/// Tells whether two processes know the same, in a few bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Of all entries.
    pub entries: u64,
    /// The epoch of the membership that is known.
    pub epoch: u64,
    /// The version of the configuration in force; 0 before the first one.
    pub version: u64,
    /// Whether the sender is a control node that is in contact with no quorum.
    #[serde(rename = "alone", default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_quorum: bool,
}

impl Digest {
    /// Whether both stand for the same entries and membership.
    #[must_use]
    pub fn has_same_entries(&self, other: &Digest) -> bool {
        self.entries == other.entries && self.epoch == other.epoch
    }
}

/// A digest of each bucket.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigests {
    /// In the order of the buckets.
    pub entries: Vec<u64>,
    /// The epoch of the membership that is known.
    pub epoch: u64,
}

/// A set of buckets, a bit for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketSet(u32);

impl BucketSet {
    /// All buckets.
    pub const ALL: BucketSet = BucketSet(u32::MAX);

    /// The set with these bits.
    #[must_use]
    pub fn from_bits(bits: u32) -> Self {
        BucketSet(bits)
    }

    /// Whether there is no bucket in it.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether it has the bucket into which an entry of this name falls.
    #[must_use]
    pub fn contains_bucket_of(self, name: &str) -> bool {
        self.0 & (1 << bucket_of(name)) != 0
    }
}

/// The ranks of all entries that a process knows in some buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankSummary {
    /// The buckets that it speaks of.
    #[serde(rename = "parts")]
    pub buckets: BucketSet,
    /// Processes that are not down.
    pub nodes: BTreeMap<NodeName, NodeRank>,
    /// Servers that have not terminated.
    pub servers: BTreeMap<ServerId, ServerRank>,
    /// The epoch of the membership that is known.
    pub epoch: u64,
    /// The highest term of the orphan monitor that is known.
    #[serde(rename = "hearing", default)]
    pub orphan_monitor_term: OrphanMonitorTerm,
}

/// The digests of all buckets, kept up to date entry by entry: each bucket's is the exclusive or of its entries'.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryDigests {
    buckets: [u64; BUCKET_COUNT],
}

impl EntryDigests {
    /// Adds an entry of this name, or takes it out again.
    pub(crate) fn toggle(&mut self, name: &str, digest: u64) {
        self.buckets[bucket_of(name)] ^= digest;
    }

    /// Of all entries, joined so that two buckets that differ alike do not cancel out.
    pub(crate) fn combined(&self) -> u64 {
        self.buckets.iter().fold(0, |combined: u64, bucket| combined.rotate_left(5) ^ bucket)
    }

    /// Of each bucket.
    pub(crate) fn to_vec(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// The buckets that differ from another process's; all of those that it does not name.
    pub(crate) fn differing(&self, other: &BucketDigests) -> BucketSet {
        let differs = |bucket: &usize| other.entries.get(*bucket) != Some(&self.buckets[*bucket]);
        let bits = (0..BUCKET_COUNT).filter(differs).fold(0, |bits, bucket| bits | 1 << bucket);
        BucketSet(bits)
    }
}

fn bucket_of(name: &str) -> usize {
    (stable_hash(&[name.as_bytes()]) % BUCKET_COUNT as u64) as usize
}
