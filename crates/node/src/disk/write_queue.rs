//! What waits to be written: only the newest of each kind, with all who wait for it.

use std::collections::VecDeque;
use std::sync::Arc;

use ashvane_gossip::Server;
use ashvane_quorum::ReplicaState;
use parking_lot::{Condvar, Mutex};
use tokio::sync::oneshot;

use super::StoredState;

/// Content that has to be on disk; each later one replaces the one before.
#[derive(Default)]
pub struct PendingWrite {
    replica: Option<ReplicaState>,
    servers: Option<Arc<Vec<Server>>>,
    waiters: VecDeque<oneshot::Sender<()>>,
}

impl PendingWrite {
    pub(super) fn add_replica(&mut self, replica: Option<ReplicaState>, done: oneshot::Sender<()>) {
        if replica.is_some() {
            self.replica = replica;
        }
        self.waiters.push_back(done);
    }

    pub(super) fn add_servers(&mut self, servers: Vec<Server>) {
        self.servers = Some(Arc::new(servers));
    }

    fn is_empty(&self) -> bool {
        self.waiters.is_empty() && self.servers.is_none()
    }

    /// Puts it into what a disk holds. Whether that has changed, and so has to be written.
    pub fn apply_to(&mut self, state: &mut StoredState) -> bool {
        let is_changed = self.replica.is_some() || self.servers.is_some();
        state.sequence += u64::from(is_changed);
        if let Some(replica) = self.replica.take() {
            state.replica = Some(replica);
        }
        if let Some(servers) = self.servers.take() {
            state.servers = servers;
        }
        is_changed
    }

    /// It is on disk: whoever waits for it is notified.
    pub fn notify_synced(self) {
        for done in self.waiters {
            // Whoever waited may have given up.
            let _ = done.send(());
        }
    }
}

#[derive(Default)]
struct QueueState {
    pending: PendingWrite,
    is_closed: bool,
}

/// The queue between a process and the thread that writes its disk.
#[derive(Default)]
pub(super) struct SharedQueue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl SharedQueue {
    pub(super) fn update(&self, add: impl FnOnce(&mut PendingWrite)) {
        add(&mut self.state.lock().pending);
        self.changed.notify_one();
    }

    pub(super) fn close(&self) {
        self.state.lock().is_closed = true;
        self.changed.notify_one();
    }
}

/// The side of whoever writes the disk.
pub struct DiskQueue(Arc<SharedQueue>);

impl DiskQueue {
    pub(super) fn new(shared: Arc<SharedQueue>) -> Self {
        DiskQueue(shared)
    }

    /// What has come since the last call; none if nothing has.
    #[must_use]
    pub fn take(&self) -> Option<PendingWrite> {
        let pending = &mut self.0.state.lock().pending;
        (!pending.is_empty()).then(|| std::mem::take(pending))
    }

    /// Waits until something has come; none at the end.
    pub(super) fn wait(&self) -> Option<PendingWrite> {
        let mut state = self.0.state.lock();
        while state.pending.is_empty() && !state.is_closed {
            self.0.changed.wait(&mut state);
        }
        let pending = &mut state.pending;
        (!pending.is_empty()).then(|| std::mem::take(pending))
    }
}
