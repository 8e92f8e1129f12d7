//! Thread that writes the state of a process to disk.

use std::sync::Arc;

use ashvane_gossip::Server;

use super::departure_log::DepartureLog;
use super::store::{Store, StoreError};
use super::{DiskQueue, Medium, PendingDepartures, RecoveredState, StoredState, UnreadableStore};

/// Writer of the state into two stores in turn.
pub(super) struct DiskWriter {
    stores: [Store; 2],
    departures: DepartureLog,
    medium: Arc<dyn Medium>,
    state: StoredState,
}

impl DiskWriter {
    pub(super) fn new(stores: [Store; 2], departures: DepartureLog, medium: Arc<dyn Medium>) -> Self {
        DiskWriter { stores, departures, medium, state: StoredState::default() }
    }

    /// Reads both stores and the log of departures, and continues with the newer state.
    pub(super) fn recover(&mut self) -> RecoveredState {
        let mut unreadable = Vec::new();
        for store in &mut self.stores {
            match read_or_clear(store, &*self.medium) {
                Ok(Some(state)) if state.sequence >= self.state.sequence => self.state = state,
                Ok(_) => {}
                Err(reason) => unreadable.push(reason),
            }
        }
        let departures = self.recover_departures();
        RecoveredState { unreadable, departures, ..self.state.recovered() }
    }

    fn recover_departures(&mut self) -> Vec<Server> {
        loop {
            match self.departures.recover() {
                Ok(departures) => return departures,
                Err(_) => self.medium.wait_before_retry(),
            }
        }
    }

    /// Writes queued state until the queue is closed.
    pub(super) fn run(mut self, queue: &DiskQueue) {
        while let Some(mut pending) = queue.wait() {
            if let Some(departures) = pending.take_departures() {
                self.write_departures(departures);
            }
            if pending.apply_to(&mut self.state) {
                self.write();
            }
            pending.notify_synced();
        }
    }

    /// Writes departures to their log, and retries until this succeeds.
    fn write_departures(&mut self, departures: PendingDepartures) {
        while self.departures.write(&departures.write).is_err() {
            self.medium.wait_before_retry();
        }
        departures.notify_synced();
    }

    /// Writes the state into the store whose turn it is, and retries until this succeeds. After a failure
    /// the store is cleared, because its old content may be what fills the disk; the other store still
    /// holds the last synced state.
    fn write(&mut self) {
        let store = &mut self.stores[(self.state.sequence % 2) as usize];
        let encoded = self.state.encode();
        while store.write(&encoded).is_err() {
            // If clearing the store also fails, the next write fails and is retried.
            let _ = store.clear();
            self.medium.wait_before_retry();
        }
    }
}

/// Returns the state in a store at start, or the reason why it cannot be used, after clearing the store.
/// Temporary failures of the disk are retried: sled writes while it opens a store, and an intact store must
/// not be discarded because the disk is full.
fn read_or_clear(store: &mut Store, medium: &dyn Medium) -> Result<Option<StoredState>, UnreadableStore> {
    loop {
        let reason = match store.read() {
            Ok(None) => return Ok(None),
            Ok(Some(bytes)) => match StoredState::decode(&bytes) {
                Some(state) => return Ok(Some(state)),
                None => UnreadableStore::Checksum,
            },
            Err(StoreError::Unavailable { .. }) => {
                store.drop_handle();
                medium.wait_before_retry();
                continue;
            }
            Err(reason) => reason.into(),
        };
        while store.clear().is_err() {
            medium.wait_before_retry();
        }
        return Err(reason);
    }
}
