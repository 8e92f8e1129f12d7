//! A digest of a text.

use std::hash::Hasher as _;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Tells two texts apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TextDigest(u64);

impl TextDigest {
    /// The digest of an order's bytes as they came, the same in every process and release.
    pub fn of(text: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(text);
        TextDigest(hasher.finish())
    }
}
