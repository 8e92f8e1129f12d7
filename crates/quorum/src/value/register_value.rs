//! What the register holds.

use serde::{Deserialize, Serialize};

use crate::{Decided, Standing, StoredConfig, TextDigest};

/// What the register holds after some number of decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Value {
    /// The configuration with the highest version.
    pub config: Option<StoredConfig>,
    /// Which texts the versions so far were decided with.
    pub decided: Decided,
}

impl Value {
    /// The version that holds; none before the first configuration.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// How an order stands to this value.
    pub fn standing(&self, version: u64, digest: TextDigest) -> Standing {
        if self.version().is_none_or(|held| held < version) {
            return Standing::New;
        }
        match self.decided.text_of(version) {
            Some(text) if text == digest => Standing::Held,
            Some(_) => Standing::Conflict,
            None if self.decided.forgotten.is_some_and(|last| version <= last) => Standing::Forgotten,
            None => Standing::Superseded,
        }
    }

    /// The value after an order that is new here.
    pub fn with(&self, config: &StoredConfig) -> Value {
        debug_assert_eq!(self.standing(config.version, config.digest), Standing::New);
        let mut decided = self.decided.clone();
        decided.record(config.version, config.digest);
        Value { config: Some(config.clone()), decided }
    }
}
