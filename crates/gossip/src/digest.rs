//! Digests and rank summaries, with which peers detect missed updates.

use std::collections::BTreeMap;

use ashvane_identifiers::{NodeName, ServerId};
use serde::{Deserialize, Serialize};

use crate::stable_hash::stable_hash;
use crate::{NodeRank, OrphanMonitorTerm, ServerRank};

/// Number of buckets to which entries are assigned by a hash of their names, so that only the entries of
/// differing buckets are compared one by one. It must be the same in every release, because [`BucketSet`] has
/// one bit per bucket.
const BUCKET_COUNT: usize = 32;

/// A short digest of the state of a process, for comparison with its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Digest of all entries.
    pub entries: u64,
    /// Epoch of the known membership.
    pub epoch: u64,
    /// Version of the configuration in force, or 0 before the first one.
    pub version: u64,
    /// Whether the sender is a control node that is not in contact with a quorum.
    #[serde(rename = "alone", default, skip_serializing_if = "std::ops::Not::not")]
    pub lacks_quorum: bool,
}

impl Digest {
    /// Whether both digests cover the same entries and membership epoch.
    #[must_use]
    pub fn has_same_entries(&self, other: &Digest) -> bool {
        self.entries == other.entries && self.epoch == other.epoch
    }
}

/// The digests of all buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigests {
    /// Digest of each bucket, in the order of the buckets.
    pub entries: Vec<u64>,
    /// Epoch of the known membership.
    pub epoch: u64,
}

/// A set of buckets, with one bit per bucket.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BucketSet(u32);

impl BucketSet {
    /// The set of all buckets.
    pub const ALL: BucketSet = BucketSet(u32::MAX);

    /// Creates a set from its bits.
    #[must_use]
    pub fn from_bits(bits: u32) -> Self {
        BucketSet(bits)
    }

    /// Whether the set is empty.
    #[must_use]
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the set contains the bucket of the entry with this name.
    #[must_use]
    pub fn contains_bucket_of(self, name: &str) -> bool {
        self.0 & (1 << bucket_of(name)) != 0
    }
}

/// The ranks of all entries known to a process in some of the buckets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankSummary {
    /// The buckets that the summary covers.
    #[serde(rename = "parts")]
    pub buckets: BucketSet,
    /// Ranks of the processes that are not down.
    pub nodes: BTreeMap<NodeName, NodeRank>,
    /// Ranks of the servers that have not terminated.
    pub servers: BTreeMap<ServerId, ServerRank>,
    /// Epoch of the known membership.
    pub epoch: u64,
    /// Highest known term of the orphan monitor.
    #[serde(rename = "hearing", default)]
    pub orphan_monitor_term: OrphanMonitorTerm,
}

/// The digests of all buckets, updated incrementally: the digest of a bucket is the exclusive or of the
/// digests of its entries.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryDigests {
    buckets: [u64; BUCKET_COUNT],
}

impl EntryDigests {
    /// Adds the digest of an entry to its bucket, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, name: &str, digest: u64) {
        self.buckets[bucket_of(name)] ^= digest;
    }

    /// Returns the digest of all entries. Each bucket is rotated differently, so that equal differences in
    /// two buckets do not cancel out.
    pub(crate) fn combined(&self) -> u64 {
        self.buckets.iter().fold(0, |combined: u64, bucket| combined.rotate_left(5) ^ bucket)
    }

    /// Returns the digest of each bucket.
    pub(crate) fn to_vec(&self) -> Vec<u64> {
        self.buckets.to_vec()
    }

    /// Returns the buckets whose digests differ from those of another process, including the buckets missing
    /// in `other`.
    pub(crate) fn differing_buckets(&self, other: &BucketDigests) -> BucketSet {
        let differs = |bucket: &usize| other.entries.get(*bucket) != Some(&self.buckets[*bucket]);
        let bits = (0..BUCKET_COUNT).filter(differs).fold(0, |bits, bucket| bits | 1 << bucket);
        BucketSet(bits)
    }
}

fn bucket_of(name: &str) -> usize {
    (stable_hash(&[name.as_bytes()]) % BUCKET_COUNT as u64) as usize
}
