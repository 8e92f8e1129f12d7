//! A digest of a configuration's content.

use std::hash::Hasher as _;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Tells two submissions under one version apart: SipHash-1-3 under a key of zeros.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// The digest of a submission's bytes as they came, the same in every process and release.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(content);
        ContentDigest(hasher.finish())
    }
}
