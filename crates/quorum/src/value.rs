//! What the register holds: the newest configuration, and which text each recent version was decided with.

use std::hash::Hasher as _;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// How many decisions are remembered: an order that comes again after so many others is neither confirmed nor
/// refused. 24 bytes each in a message before packing.
pub const DECISIONS_REMEMBERED: usize = 1024;

/// Tells two texts apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TextDigest(u64);

impl TextDigest {
    /// The digest of an order's bytes as they came, the same in every process and release.
    pub fn of(text: &[u8]) -> Self {
        let mut hasher = SipHasher13::new();
        hasher.write(text);
        TextDigest(hasher.finish())
    }
}

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

/// Which text each version was decided with: the newest [`DECISIONS_REMEMBERED`], in rising order of versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Decided {
    texts: Vec<(u64, TextDigest)>,
    /// The highest version that was forgotten.
    forgotten: Option<u64>,
}

impl Decided {
    fn text_of(&self, version: u64) -> Option<TextDigest> {
        let at = self.texts.binary_search_by_key(&version, |(version, _)| *version).ok()?;
        Some(self.texts[at].1)
    }

    /// The one place where a decision is added: versions only rise.
    fn record(&mut self, version: u64, digest: TextDigest) {
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

/// How an order stands to what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// Its version is above all that were decided.
    New,
    /// It was decided: under this version with this text.
    Held,
    /// Its version was decided with another text.
    Conflict,
    /// Its version was never decided, and a higher one holds.
    Superseded,
    /// Its version is so old that what was decided under it is forgotten.
    Forgotten,
}

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
