//! The configuration that this process uses.

use std::rc::Rc;
use std::time::Duration;

use ashvane_quorum::VersionedConfig;
use derive_more::{Display, Error, From};

use crate::compression::{self, DecompressError};
use crate::config::Config;
use crate::document::Faults;

/// Reason why a chosen configuration cannot be used by this process.
#[derive(Debug, Display, Error, From)]
pub enum UnusableConfig {
    /// The text cannot be decompressed.
    Compression(DecompressError),
    /// The text is not a configuration that this release can parse.
    Content(Faults),
}

/// Newest configuration known to be chosen. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ConfigInForce {
    chosen: Option<VersionedConfig>,
    config: Option<Rc<Config>>,
    since: Option<Duration>,
}

impl ConfigInForce {
    /// Returns the version of the configuration in force, 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.chosen.as_ref().map_or(0, |chosen| chosen.version)
    }

    /// Returns the configuration in force as it is sent to other processes.
    #[must_use]
    pub fn chosen(&self) -> Option<&VersionedConfig> {
        self.chosen.as_ref()
    }

    /// Returns the parsed configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Returns the time at which the configuration was put in force.
    #[must_use]
    pub fn since(&self) -> Option<Duration> {
        self.since
    }

    /// Puts a chosen configuration in force and returns it. Returns `None` if the configuration in force has
    /// the same or a newer version.
    ///
    /// # Errors
    ///
    /// Fails if this process cannot use the configuration; the one in force is kept.
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
