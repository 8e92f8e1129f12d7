//! The configuration by which this process goes.

use std::rc::Rc;
use std::time::Duration;

use ashvane_quorum::VersionedConfig;
use derive_more::{Display, Error, From};

use crate::compression::{self, DecompressError};
use crate::config::Config;
use crate::document::Faults;

/// Why a configuration that was chosen cannot be used here.
#[derive(Debug, Display, Error, From)]
pub enum UnusableConfig {
    /// Its text cannot be decompressed.
    Compression(DecompressError),
    /// It is none that this release can read.
    Content(Faults),
}

/// The newest configuration that is known to be chosen. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ConfigInForce {
    chosen: Option<VersionedConfig>,
    config: Option<Rc<Config>>,
    since: Option<Duration>,
}

impl ConfigInForce {
    /// Its version; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.chosen.as_ref().map_or(0, |chosen| chosen.version)
    }

    /// As it is sent to others.
    #[must_use]
    pub fn chosen(&self) -> Option<&VersionedConfig> {
        self.chosen.as_ref()
    }

    /// As it is used here.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Since when it is in force.
    #[must_use]
    pub fn since(&self) -> Option<Duration> {
        self.since
    }

    /// A configuration was chosen: from here on it is in force, unless a newer one is; none then.
    ///
    /// # Errors
    ///
    /// Where it cannot be used here; the one in force stays.
    pub fn apply(
        &mut self, chosen: VersionedConfig, now: Duration,
    ) -> Result<Option<Rc<Config>>, UnusableConfig> {
        if self.chosen.as_ref().is_some_and(|known| known.version >= chosen.version) {
            return Ok(None);
        }
        let text = compression::decompress(&chosen.compressed_text)?;
        let config = Rc::new(Config::parse(&text)?);
        self.chosen = Some(chosen);
        self.config = Some(config.clone());
        self.since = Some(now);
        Ok(Some(config))
    }
}
