//! A hash that is the same in every process and release, for it is compared between them.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Hashes these fields in their order; where one ends and the next begins makes a difference.
pub(crate) fn stable_hash(fields: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for field in fields {
        hasher.write(field);
        hasher.write_u8(0xff);
    }
    hasher.finish()
}
