//! Detects processes that no longer respond.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_identifiers::NodeName;

use super::LinkTable;

/// Time without a link after which a process that was linked counts as down.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(3000);

/// Monitors the processes to which this one has had a link. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct FailureDetector {
    /// Time since which each process has had no link; `None` while it is linked.
    unlinked_since: BTreeMap<NodeName, Option<Duration>>,
}

impl FailureDetector {
    /// Starts to monitor a process to which a link was opened.
    pub fn link_opened(&mut self, name: NodeName) {
        self.unlinked_since.insert(name, None);
    }

    /// Returns the processes that have failed since the last tick, and stops monitoring them. Without contact
    /// with a quorum, a process cannot distinguish failed processes from those on the other side of a
    /// partition, so it reports none and restarts their time-outs.
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
