//! Which text each version was decided with.

use serde::{Deserialize, Serialize};

use crate::TextDigest;

/// How many decisions are remembered: an order that comes again after so many others is neither confirmed nor
/// refused. 24 bytes each in a message before packing.
pub const DECISIONS_REMEMBERED: usize = 1024;

/// Which text each version was decided with: the newest [`DECISIONS_REMEMBERED`], in rising order of versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Decided {
    texts: Vec<(u64, TextDigest)>,
    /// The highest version that was forgotten.
    pub(crate) forgotten: Option<u64>,
}

impl Decided {
    pub(crate) fn text_of(&self, version: u64) -> Option<TextDigest> {
        let at = self.texts.binary_search_by_key(&version, |(version, _)| *version).ok()?;
        Some(self.texts[at].1)
    }

    /// The one place where a decision is added: versions only rise.
    pub(crate) fn record(&mut self, version: u64, digest: TextDigest) {
        debug_assert!(self.texts.last().is_none_or(|(last, _)| *last < version), "versions rise");
        self.texts.push((version, digest));
        if self.texts.len() > DECISIONS_REMEMBERED {
            let (oldest, _) = self.texts.remove(0);
            self.forgotten = Some(oldest);
        }
    }

    /// How many decisions are remembered now.
    pub fn len(&self) -> usize {
        self.texts.len()
    }

    /// Whether nothing was ever decided.
    pub fn is_empty(&self) -> bool {
        self.texts.is_empty()
    }
}
