//! History of the recently chosen versions.

use serde::{Deserialize, Serialize};

use crate::ContentDigest;

/// Maximum number of chosen versions in the history. A submission that is repeated after this many others can
/// be neither confirmed nor rejected. Each entry takes 24 bytes of a message before compression.
pub const MAX_CHOSEN_VERSIONS: usize = 1024;

/// A chosen version and the digest of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, ContentDigest)", into = "(u64, ContentDigest)")]
struct ChosenVersion {
    version: u64,
    digest: ContentDigest,
}

impl From<(u64, ContentDigest)> for ChosenVersion {
    fn from((version, digest): (u64, ContentDigest)) -> Self {
        ChosenVersion { version, digest }
    }
}

impl From<ChosenVersion> for (u64, ContentDigest) {
    fn from(chosen: ChosenVersion) -> Self {
        (chosen.version, chosen.digest)
    }
}

/// The newest [`MAX_CHOSEN_VERSIONS`] chosen versions, in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChosenVersions {
    #[serde(rename = "texts")]
    versions: Vec<ChosenVersion>,
    /// The highest version that was removed from the history to bound its size.
    #[serde(rename = "forgotten")]
    highest_forgotten: Option<u64>,
}

impl ChosenVersions {
    /// Returns the digest of a chosen version, or `None` if it was not chosen or is no longer in the history.
    pub(crate) fn digest_of(&self, version: u64) -> Option<ContentDigest> {
        let index = self.versions.binary_search_by_key(&version, |chosen| chosen.version).ok()?;
        Some(self.versions[index].digest)
    }

    /// Whether a version is so old that it may have been chosen and then removed from the history.
    pub(crate) fn may_have_forgotten(&self, version: u64) -> bool {
        self.highest_forgotten.is_some_and(|highest| version <= highest)
    }

    /// Adds a version. No other method adds one, so that versions are in ascending order.
    pub(crate) fn record(&mut self, version: u64, digest: ContentDigest) {
        debug_assert!(
            self.versions.last().is_none_or(|last| last.version < version),
            "versions are recorded in ascending order"
        );
        self.versions.push(ChosenVersion { version, digest });
        if self.versions.len() > MAX_CHOSEN_VERSIONS {
            let oldest = self.versions.remove(0);
            self.highest_forgotten = Some(oldest.version);
        }
    }

    /// Number of versions in the history.
    #[must_use]
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether the history is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}
