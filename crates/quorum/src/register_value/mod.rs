//! The value of the register: the newest configuration, and the digests of the recently chosen versions.

mod chosen_versions;
mod content_digest;
#[allow(clippy::module_inception, reason = "each file defines one type and is named after it")]
mod register_value;
mod submission_status;
mod versioned_config;

pub use chosen_versions::{ChosenVersions, MAX_CHOSEN_VERSIONS};
pub use content_digest::ContentDigest;
pub use register_value::RegisterValue;
pub use submission_status::SubmissionStatus;
pub use versioned_config::VersionedConfig;
