//! Which processes do not respond any more.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_identifiers::NodeName;

use super::LinkTable;

/// A process that was linked, and is no longer, counts as down after this time.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(3000);

/// Watches the processes to which there was a link. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// Since when each is not linked; none while it is.
    unlinked_since: BTreeMap<NodeName, Option<Duration>>,
}

impl FailureDetector {
    /// A process is linked: it is watched from now on.
    pub fn link_opened(&mut self, name: NodeName) {
        self.unlinked_since.insert(name, None);
    }

    /// The processes that have failed since the last tick; they are not watched any more. A process without contact to a
    /// quorum cannot tell others that are down from those from which it is partitioned off: for it none fails.
    pub fn tick(&mut self, has_quorum_contact: bool, links: &LinkTable, now: Duration) -> Vec<NodeName> {
        for (name, since) in &mut self.unlinked_since {
            let is_linked = links.to_node(name).is_some();
            *since = match *since {
                _ if is_linked => None,
                _ if !has_quorum_contact => Some(now),
                Some(since) => Some(since),
                None => Some(now),
            };
        }
        let has_failed = |since: &Option<Duration>| since.is_some_and(|since| since + FAILURE_TIMEOUT < now);
        let failed: Vec<NodeName> = self
            .unlinked_since
            .iter()
            .filter(|(_, since)| has_failed(since))
            .map(|(name, _)| name.clone())
            .collect();
        self.unlinked_since.retain(|_, since| !has_failed(since));
        failed
    }
}
