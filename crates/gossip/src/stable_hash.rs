//! A hash function whose results are the same in every process and release, so that they can be compared.

use std::hash::Hasher as _;

use siphasher::sip::SipHasher13;

/// Hashes the fields in order. The result depends on the boundaries between the fields.
pub(crate) fn stable_hash(fields: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for field in fields {
        hasher.write(field);
        hasher.write_u8(0xff);
    }
    hasher.finish()
}
