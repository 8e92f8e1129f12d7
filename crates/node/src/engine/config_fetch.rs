//! Decides which configuration is requested, and over which link.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LinkTable;
use crate::links::LinkId;

/// Delay after which a configuration that was requested and not received may be requested over another link.
const OTHER_LINK_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay after which a configuration that was requested and not received may be requested again over the same
/// link. Until then, the transfer may still be in progress, queued behind other messages on a slow
/// connection.
const SAME_LINK_RETRY_DELAY: Duration = Duration::from_millis(2500);

/// Version of a configuration, and the link over which a peer announced it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedVersion {
    /// Announced version.
    pub version: u64,
    /// Link over which the version was announced.
    pub link: LinkId,
}

/// Outstanding requests for a configuration. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// Newest version that a peer has announced.
    newest: Option<AnnouncedVersion>,
    /// Time of the last request over each link, until a configuration is received over it.
    requested_at: BTreeMap<LinkId, Duration>,
    /// Whether a peer other than the update source was the first to announce a newer configuration.
    was_announced_elsewhere: bool,
}

impl ConfigFetch {
    /// Records that a peer announced a version above the one in force, and returns whether to request it over
    /// that link. Returns false while another request is recent or one to the same peer is outstanding, so
    /// that at most one transfer at a time runs over a slow connection and superseded versions are skipped.
    /// `update_source` is the link over which this process receives updates; its announcements have
    /// precedence.
    pub fn should_request(
        &mut self, announced: AnnouncedVersion, update_source: Option<LinkId>, links: &LinkTable,
        now: Duration,
    ) -> bool {
        self.requested_at.retain(|link, _| links.get(*link).is_some());
        if self.newest.is_none_or(|newest| newest.version < announced.version) {
            self.newest = Some(announced);
        }
        let was_just_requested = self.requested_at.values().any(|at| *at + OTHER_LINK_RETRY_DELAY > now);
        let is_on_its_way =
            self.requested_at.get(&announced.link).is_some_and(|at| *at + SAME_LINK_RETRY_DELAY > now);
        if was_just_requested || is_on_its_way {
            return false;
        }
        // The update source is usually close by: the first announcement from another peer is ignored, to give
        // the update source time to announce the version too.
        let is_elsewhere = update_source.is_some_and(|source| source != announced.link);
        if is_elsewhere && !std::mem::replace(&mut self.was_announced_elsewhere, true) {
            return false;
        }
        self.was_announced_elsewhere = false;
        self.requested_at.insert(announced.link, now);
        true
    }

    /// Records that a configuration was received over this link.
    pub fn received(&mut self, link: LinkId) {
        self.requested_at.remove(&link);
    }

    /// Returns the newest announced version if it is above the one in force. The next request for it does not
    /// wait for the update source.
    pub fn next_after(&mut self, version_in_force: u64) -> Option<AnnouncedVersion> {
        let next = self.newest.filter(|newest| newest.version > version_in_force)?;
        self.was_announced_elsewhere = true;
        Some(next)
    }
}
