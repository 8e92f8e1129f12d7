//! The content that each recent version was chosen with.

use serde::{Deserialize, Serialize};

use crate::ContentDigest;

/// How many chosen versions are remembered: a submission that comes again after so many others is neither confirmed nor
/// rejected. Each takes 24 bytes in a message before compression.
pub const MAX_CHOSEN_VERSIONS: usize = 1024;

/// A version and the content that it was chosen with.
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

/// The newest [`MAX_CHOSEN_VERSIONS`] versions that were chosen, in rising order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ChosenVersions {
    #[serde(rename = "texts")]
    versions: Vec<ChosenVersion>,
    /// The highest version that was forgotten.
    #[serde(rename = "forgotten")]
    highest_forgotten: Option<u64>,
}

impl ChosenVersions {
    /// The content that a version was chosen with; none if it was not chosen or is forgotten.
    pub(crate) fn digest_of(&self, version: u64) -> Option<ContentDigest> {
        let index = self.versions.binary_search_by_key(&version, |chosen| chosen.version).ok()?;
        Some(self.versions[index].digest)
    }

    /// Whether a version is so old that it may have been chosen and forgotten.
    pub(crate) fn may_have_forgotten(&self, version: u64) -> bool {
        self.highest_forgotten.is_some_and(|highest| version <= highest)
    }

    /// The one place where a version is added: versions only rise.
    pub(crate) fn record(&mut self, version: u64, digest: ContentDigest) {
        debug_assert!(self.versions.last().is_none_or(|last| last.version < version), "versions rise");
        self.versions.push(ChosenVersion { version, digest });
        if self.versions.len() > MAX_CHOSEN_VERSIONS {
            let oldest = self.versions.remove(0);
            self.highest_forgotten = Some(oldest.version);
        }
    }

    /// How many versions are remembered now.
    #[must_use]
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether no version is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }
}
