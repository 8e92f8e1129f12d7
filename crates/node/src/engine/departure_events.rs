//! Events of departures: servers that report that they are draining or have terminated.

use super::{Command, Engine, LogEvent, UnansweredUpdate};
use crate::disk::DepartureWrite;
use crate::links::Message;

impl Engine {
    /// Passes the departures that have become known to the disk.
    pub(super) fn save_departures(&mut self) {
        let departures = self.directory.take_departures();
        if departures.is_empty() || !self.is_control_node() {
            return;
        }
        let number = self.departures.write_started(&departures);
        let write = if self.departures.should_rewrite() {
            let all = self.directory.departures();
            self.departures.rewrite_started(all.len());
            DepartureWrite::Replace(all)
        } else {
            DepartureWrite::Append(departures)
        };
        self.commands.push(Command::SaveDepartures { number, write });
    }

    /// Records that departures are synced to the local disk, and sends what waits for it.
    pub fn departures_synced(&mut self, number: u64) {
        let stored = self.departures.write_synced(number);
        if let Some(first) = stored.first() {
            self.log(LogEvent::DeparturesStored { count: stored.len(), first: first.clone() });
        }
        for unanswered in self.departures.take_synced() {
            self.answer_update(&unanswered);
        }
        let Some(own) = self.own_disk().cloned() else { return };
        for acknowledgement in self.acknowledgements.values_mut() {
            if self.departures.is_synced(acknowledgement.update()) {
                acknowledgement.applied_locally(&own);
            }
        }
    }

    /// Answers a numbered update, at once or when the departures that it reports are synced.
    pub(super) fn answer_update_when_synced(&mut self, unanswered: UnansweredUpdate) {
        match unanswered.updates.iter().all(|update| self.departures.is_synced(update)) {
            true => self.answer_update(&unanswered),
            false => self.departures.add_unanswered(unanswered),
        }
    }

    fn answer_update(&mut self, unanswered: &UnansweredUpdate) {
        let UnansweredUpdate { link, number, updates, .. } = unanswered;
        let is_applied = updates.iter().all(|update| self.directory.has_applied(update));
        let epoch = self.directory.membership().epoch;
        self.send(vec![*link], Message::UpdateApplied { number: *number, is_applied, epoch });
    }
}
