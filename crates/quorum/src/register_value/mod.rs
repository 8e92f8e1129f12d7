//! What the register holds: the newest configuration, and the content that each recent version was chosen with.

mod chosen_versions;
mod content_digest;
#[allow(clippy::module_inception, reason = "a type a file, named after it")]
mod register_value;
mod submission_status;
mod versioned_config;

pub use chosen_versions::{ChosenVersions, MAX_CHOSEN_VERSIONS};
pub use content_digest::ContentDigest;
pub use register_value::RegisterValue;
pub use submission_status::SubmissionStatus;
pub use versioned_config::VersionedConfig;
