//! A configuration under its version.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::TextDigest;

/// A configuration under its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The operator's number; the highest holds.
    pub version: u64,
    /// Of the order as it came.
    pub digest: TextDigest,
    /// The text, packed.
    pub text: Arc<str>,
}
