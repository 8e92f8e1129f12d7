//! A configuration under its version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ContentDigest;

/// A configuration under its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// The operator's number; the highest is in force.
    pub version: u64,
    /// Of the submission as it came, before compression.
    pub digest: ContentDigest,
    /// The submission, compressed and encoded as text.
    #[serde(rename = "text")]
    pub compressed_text: Arc<str>,
}
