//! Events of the configuration: requests to peers that announced a newer version, and putting it in force.

use std::time::Duration;

use ashvane_quorum::VersionedConfig;

use super::{AnnouncedVersion, Command, Engine, LogEvent};
use crate::links::{LinkId, Message};

impl Engine {
    /// Sends the chosen configuration to a peer if its version is above `above`.
    pub(super) fn config_requested(&mut self, link: LinkId, above: u64) {
        let newer = self.config.chosen().filter(|chosen| chosen.version > above).cloned();
        if let Some(config) = newer {
            self.send(vec![link], Message::Config(config));
        }
    }

    /// Requests an announced configuration if it is newer than the one in force and no other transfer
    /// precludes it.
    pub(super) fn request_config_if_newer(&mut self, announced: AnnouncedVersion, now: Duration) {
        let above = self.version();
        if announced.version <= above {
            return;
        }
        if self.config_fetch.should_request(announced, self.update_source, &self.links, now) {
            self.links.config_requested(announced.link);
            self.send(vec![announced.link], Message::RequestConfig { above });
        }
    }

    /// Handles a configuration that was requested from a peer.
    pub(super) fn config_received(&mut self, link: LinkId, config: VersionedConfig, now: Duration) {
        self.config_fetch.received(link);
        self.config_chosen(config, now);
        if let Some(next) = self.config_fetch.next_after(self.version()) {
            self.request_config_if_newer(next, now);
        }
    }

    /// Puts a chosen configuration in force if it is newer than the current one.
    pub(super) fn config_chosen(&mut self, chosen: VersionedConfig, now: Duration) {
        let version = chosen.version;
        let config = match self.config.apply(chosen, now) {
            Ok(Some(config)) => config,
            Ok(None) => return,
            Err(reason) => return self.log(LogEvent::ConfigUnusable { version, reason }),
        };
        self.log(LogEvent::ConfigInForce { version });
        self.commands.push(Command::ConfigureDataPlane(config));
        self.send_digest(self.links.one_per_peer(), now);
        self.catch_up_if_verified();
    }
}
