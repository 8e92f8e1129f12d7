//! Digest of a configuration's content.

use std::hash::Hasher as _;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// SipHash-1-3 digest, with an all-zero key, that distinguishes different submissions of the same version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ContentDigest(u64);

impl ContentDigest {
    /// Computes the digest of a submission's bytes. The result is the same in every process and release.
    #[must_use]
    pub fn of(content: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(content);
        ContentDigest(hasher.finish())
    }
}
