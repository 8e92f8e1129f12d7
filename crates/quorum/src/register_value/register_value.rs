//! The value of the register.

use serde::{Deserialize, Serialize};

use crate::{ChosenVersions, ContentDigest, SubmissionStatus, VersionedConfig};

/// What the register holds after some number of choices.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RegisterValue {
    /// The configuration with the highest version.
    pub config: Option<VersionedConfig>,
    /// The content that the versions so far were chosen with.
    #[serde(rename = "decided")]
    pub chosen_versions: ChosenVersions,
}

impl RegisterValue {
    /// The highest version; none before the first configuration.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// How a submission relates to this value.
    #[must_use]
    pub fn status_of(&self, version: u64, digest: ContentDigest) -> SubmissionStatus {
        if self.version().is_none_or(|highest| highest < version) {
            return SubmissionStatus::New;
        }
        match self.chosen_versions.digest_of(version) {
            Some(chosen) if chosen == digest => SubmissionStatus::Chosen,
            Some(_) => SubmissionStatus::Conflict,
            None if self.chosen_versions.may_have_forgotten(version) => SubmissionStatus::Forgotten,
            None => SubmissionStatus::Superseded,
        }
    }

    /// The value after a submission that is [`SubmissionStatus::New`] to this one.
    #[must_use]
    pub fn with_config(&self, config: &VersionedConfig) -> RegisterValue {
        debug_assert_eq!(self.status_of(config.version, config.digest), SubmissionStatus::New);
        let mut chosen_versions = self.chosen_versions.clone();
        chosen_versions.record(config.version, config.digest);
        RegisterValue { config: Some(config.clone()), chosen_versions }
    }
}
