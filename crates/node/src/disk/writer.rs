//! The thread that writes a disk.

use std::sync::Arc;

use super::store::{Store, StoreError};
use super::{DiskQueue, Medium, RecoveredState, StoredState, UnreadableStore};

/// Writes the state into two stores in turn.
pub(super) struct DiskWriter {
    stores: [Store; 2],
    medium: Arc<dyn Medium>,
    state: StoredState,
}

impl DiskWriter {
    pub(super) fn new(stores: [Store; 2], medium: Arc<dyn Medium>) -> Self {
        DiskWriter { stores, medium, state: StoredState::default() }
    }

    /// Reads both stores, and goes on from the newer one.
    pub(super) fn recover(&mut self) -> RecoveredState {
        let mut unreadable = Vec::new();
        for store in &mut self.stores {
            match read_or_clear(store, &*self.medium) {
                Ok(Some(state)) if state.sequence >= self.state.sequence => self.state = state,
                Ok(_) => {}
                Err(reason) => unreadable.push(reason),
            }
        }
        RecoveredState { unreadable, ..self.state.recovered() }
    }

    /// Writes what comes, until the queue is closed.
    pub(super) fn run(mut self, queue: &DiskQueue) {
        while let Some(mut pending) = queue.wait() {
            if pending.apply_to(&mut self.state) {
                self.write();
            }
            pending.notify_synced();
        }
    }

    /// Writes the state into the store whose turn it is, for as long as that takes. The other store holds what is safe so
    /// far: this one is made anew, lest what fills it keep it from being written, until it holds the new state.
    fn write(&mut self) {
        let store = &mut self.stores[(self.state.sequence % 2) as usize];
        let encoded = self.state.encode();
        while store.write(&encoded).is_err() {
            // Where that fails too, the next write says so.
            let _ = store.clear();
            self.medium.wait_before_retry();
        }
    }
}

/// What a store holds at start, or why it cannot be used; then it begins anew, empty. A disk that refuses is waited for:
/// sled writes as it opens, and a store that is intact must not be given up because the disk is full.
fn read_or_clear(store: &mut Store, medium: &dyn Medium) -> Result<Option<StoredState>, UnreadableStore> {
    loop {
        let reason = match store.read() {
            Ok(None) => return Ok(None),
            Ok(Some(bytes)) => match StoredState::decode(&bytes) {
                Some(state) => return Ok(Some(state)),
                None => UnreadableStore::Checksum,
            },
            Err(StoreError::Refused { .. }) => {
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
