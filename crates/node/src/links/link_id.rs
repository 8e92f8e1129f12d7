//! Identifier of a link.

use std::fmt;

/// Identifier of a link, which is one connection to one incarnation of a peer. Never reused within an
/// incarnation of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(u64);

impl From<u64> for LinkId {
    fn from(number: u64) -> Self {
        LinkId(number)
    }
}

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
