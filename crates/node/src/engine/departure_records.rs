//! Departures of servers on their way to the local disk, and the responses that wait for them.
//!
//! Invariant: this process confirms a server's report that it is draining or has terminated, to other control
//! nodes and to the server itself, only after the report is synced to the local disk.

use std::collections::BTreeMap;
use std::time::Duration;

use ashvane_gossip::{Server, Update};
use ashvane_identifiers::ServerId;

use crate::links::LinkId;

/// Records that are appended at least before the log is rewritten.
const MIN_APPENDED_RECORDS: usize = 512;
/// Time after which a response is not sent any more. The other control node has stopped waiting by then.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Update of a control node that is not answered yet.
#[derive(Debug)]
pub struct UnansweredUpdate {
    /// Link over which the update was received.
    pub link: LinkId,
    /// Number of the update.
    pub number: u64,
    /// Entries of the update.
    pub updates: Vec<Update>,
    /// Time since the start of the process.
    pub received_at: Duration,
}

/// Departures that are not known to be on the local disk. Empty at a process without a disk.
#[derive(Debug, Default)]
pub struct DepartureRecords {
    /// Servers whose last report is not known to be synced, each with the last write that contains it.
    unsynced: BTreeMap<ServerId, u64>,
    last_write: u64,
    /// Records in the log when it was last rewritten.
    rewritten_records: usize,
    /// Records that were appended since.
    appended_records: usize,
    unanswered: Vec<UnansweredUpdate>,
}

impl DepartureRecords {
    /// Records how many records the log had at the start of the process.
    pub fn restored(&mut self, records: usize) {
        self.appended_records = records;
    }

    /// Records that new departures are passed to the disk. Returns the number of the write.
    pub fn write_started(&mut self, departures: &[Server]) -> u64 {
        self.last_write += 1;
        self.appended_records += departures.len();
        self.unsynced.extend(departures.iter().map(|server| (server.id.clone(), self.last_write)));
        self.last_write
    }

    /// Whether most records of the log are outdated, so that the next write should replace all records.
    #[must_use]
    pub fn should_rewrite(&self) -> bool {
        self.appended_records > self.rewritten_records + MIN_APPENDED_RECORDS
    }

    /// Records that the last write replaces the log by this number of records.
    pub fn rewrite_started(&mut self, records: usize) {
        (self.rewritten_records, self.appended_records) = (records, 0);
    }

    /// Records that a write, and with it all earlier ones, is synced. Returns the servers of which no report is
    /// unsynced any more.
    pub fn write_synced(&mut self, number: u64) -> Vec<ServerId> {
        self.unsynced.extract_if(.., |_, write| *write <= number).map(|(id, _)| id).collect()
    }

    /// Whether nothing that an update reports still has to be synced.
    #[must_use]
    pub fn is_synced(&self, update: &Update) -> bool {
        match update {
            Update::Server(server) => !self.unsynced.contains_key(&server.id),
            _ => true,
        }
    }

    /// Adds an update that must not be answered before it is synced.
    pub fn add_unanswered(&mut self, update: UnansweredUpdate) {
        self.unanswered.push(update);
    }

    /// Returns the unanswered updates that are synced.
    pub fn take_synced(&mut self) -> Vec<UnansweredUpdate> {
        let (synced, waiting) = std::mem::take(&mut self.unanswered)
            .into_iter()
            .partition(|unanswered| unanswered.updates.iter().all(|update| self.is_synced(update)));
        self.unanswered = waiting;
        synced
    }

    /// Drops updates whose sender has stopped waiting, which happens while the disk hangs.
    pub fn expire(&mut self, now: Duration) {
        self.unanswered.retain(|unanswered| unanswered.received_at + RESPONSE_TIMEOUT > now);
    }

    /// Number of departures that are not known to be synced.
    #[must_use]
    pub fn unsynced_count(&self) -> usize {
        self.unsynced.len()
    }
}
