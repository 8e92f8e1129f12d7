//! Which configuration is to be requested, and of whom.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LinkTable;
use crate::links::LinkId;

/// Time after which a configuration that was requested and has not come is requested of another process.
const OTHER_LINK_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time after which it is requested again over the same link: until then it is on its way, behind others on a narrow link.
const SAME_LINK_RETRY_DELAY: Duration = Duration::from_millis(2500);

/// A version and the link over which it was announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedVersion {
    /// The version.
    pub version: u64,
    /// The link.
    pub link: LinkId,
}

/// The requests for a configuration. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ConfigFetch {
    /// The newest version that another process has announced.
    newest: Option<AnnouncedVersion>,
    /// The links over which one was requested and has not come, and since when.
    requested_at: BTreeMap<LinkId, Duration>,
    /// Another process than the one that sends updates has announced a newer configuration first.
    was_announced_elsewhere: bool,
}

impl ConfigFetch {
    /// A process has announced a version above the one that is in force here. Whether to request it over that link, of a
    /// process that has not been asked before it has answered: so no more than one transfer is on its way over a narrow
    /// link, and whatever is overtaken meanwhile is skipped. `update_source` is the link over which updates come.
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
        // The process that sends updates is near: it is waited for a moment where another one is first.
        let is_elsewhere = update_source.is_some_and(|source| source != announced.link);
        if is_elsewhere && !std::mem::replace(&mut self.was_announced_elsewhere, true) {
            return false;
        }
        self.was_announced_elsewhere = false;
        self.requested_at.insert(announced.link, now);
        true
    }

    /// A configuration has come that was requested over this link.
    pub fn received(&mut self, link: LinkId) {
        self.requested_at.remove(&link);
    }

    /// The newest version that was announced, if it is above the one in force: it is requested without waiting.
    pub fn next_after(&mut self, version_in_force: u64) -> Option<AnnouncedVersion> {
        let next = self.newest.filter(|newest| newest.version > version_in_force)?;
        self.was_announced_elsewhere = true;
        Some(next)
    }
}
