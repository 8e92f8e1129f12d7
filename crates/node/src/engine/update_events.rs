//! Events of updates: applied if they are newer, then disseminated to other processes.

use std::time::Duration;

use ashvane_gossip::Update;

use super::{Command, Engine, FlushTime, Link, QueuedUpdates, UnansweredUpdate, UpdateOrigin};
use crate::links::{LinkId, Message};

impl Engine {
    /// Applies updates from a peer, and acknowledges them if `number` is above 0, once the departures of servers
    /// among them are synced to the local disk.
    pub(super) fn updates_received(
        &mut self, link: LinkId, number: u64, updates: Vec<Update>, now: Duration,
    ) {
        let is_response_requested = number > 0;
        let updates_to_acknowledge = is_response_requested.then(|| updates.clone());
        self.apply_updates(updates, Some(link), now);
        if let Some(updates) = updates_to_acknowledge {
            self.answer_update_when_synced(UnansweredUpdate { link, number, updates, received_at: now });
        }
    }

    /// Applies updates that are newer, and disseminates them. A peer that sends a terminated server or a down
    /// process as running receives a refutation over the same link.
    pub(super) fn apply_updates(&mut self, updates: Vec<Update>, from: Option<LinkId>, now: Duration) {
        if let Some(link) = from {
            self.refute(link, &updates);
        }
        let changed: Vec<Update> =
            updates.into_iter().flat_map(|update| self.directory.apply(update, now)).collect();
        let is_membership_changed = changed.iter().any(|update| matches!(update, Update::Membership(_)));
        self.disseminate(changed, from, now);
        if is_membership_changed {
            self.require_quorum_of_next_membership();
        }
    }

    fn refute(&mut self, link: LinkId, updates: &[Update]) {
        let refutations: Vec<Update> =
            updates.iter().filter_map(|update| self.directory.refutation_of(update)).collect();
        if !refutations.is_empty() {
            self.send(vec![link], Message::Update { number: 0, updates: refutations });
        }
    }

    /// Passes changed entries on to other processes and to the local data plane. `from` is the link over
    /// which they were received, if any.
    pub(super) fn disseminate(&mut self, updates: Vec<Update>, from: Option<LinkId>, now: Duration) {
        self.save_departures();
        if updates.is_empty() {
            return;
        }
        if self.has_data_plane {
            let gateways = self.directory.gateways_sharing_budgets(now);
            self.commands.push(Command::UpdateDataPlane { updates: updates.clone(), gateways });
        }
        self.server_hints.observe(&updates);
        let is_from_control_node =
            from.and_then(|link| self.links.get(link)).is_some_and(Link::is_to_control_node);
        let origin = if is_from_control_node { UpdateOrigin::ControlNode } else { UpdateOrigin::Other };
        self.update_queue.push(updates, origin);
        self.flush_updates(now);
    }

    /// Sends queued updates, or requests a timer for sending them.
    pub fn flush_updates(&mut self, now: Duration) {
        match self.update_queue.flush_time(now) {
            FlushTime::NotNeeded => {}
            FlushTime::At(time) => self.commands.push(Command::FlushUpdatesAt(time)),
            FlushTime::Now => {
                let queued = self.update_queue.take(now);
                self.send_updates(queued);
            }
        }
    }

    /// Sends queued updates. A control node sends those that originate from itself, its servers or gateways
    /// to the other control nodes, and all updates to its subscribers. A gateway sends its updates to its
    /// update source. A process that misses an update detects the difference by its next digests.
    fn send_updates(&mut self, queued: QueuedUpdates) {
        let QueuedUpdates { for_all, for_subscribers } = queued;
        let links_for_all = match self.is_control_node() {
            true => self.links.to_control_nodes().map(|(id, _)| id).collect(),
            false => self.update_source.into_iter().collect(),
        };
        if !for_all.is_empty() {
            self.send(links_for_all, Message::Update { number: 0, updates: for_all.clone() });
        }
        if !self.is_control_node() {
            return;
        }
        let is_subscriber = |link: &Link| !link.is_to_control_node() && link.is_subscribed;
        let subscribers =
            self.links.iter().filter(|(_, link)| is_subscriber(link)).map(|(id, _)| id).collect();
        let updates = for_all.into_iter().chain(for_subscribers).collect();
        self.send(subscribers, Message::Update { number: 0, updates });
    }
}
