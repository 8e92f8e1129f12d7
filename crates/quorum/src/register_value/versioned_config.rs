//! A configuration and its version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ContentDigest;

/// A configuration submitted by an operator, with its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionedConfig {
    /// Version number assigned by the operator. The configuration with the highest version is in force.
    pub version: u64,
    /// Digest of the submitted bytes before compression.
    pub digest: ContentDigest,
    /// The submitted configuration, compressed and encoded as text.
    #[serde(rename = "text")]
    pub compressed_text: Arc<str>,
}
