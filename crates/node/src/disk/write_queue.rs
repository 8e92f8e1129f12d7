//! Queue of state to be written to disk. It holds only the newest state of each kind, and notifies all
//! callers that wait for its sync.

use std::collections::VecDeque;
use std::sync::Arc;

use ashvane_gossip::Server;
use ashvane_quorum::ReplicaState;
use parking_lot::{Condvar, Mutex};
use tokio::sync::oneshot;

use super::{DepartureWrite, StoredState};

/// Change of the log of departures, and the callers that wait for its sync.
pub struct PendingDepartures {
    /// Change to write.
    pub write: DepartureWrite,
    waiters: Vec<oneshot::Sender<()>>,
}

impl PendingDepartures {
    /// Notifies all waiting callers that the change is synced.
    pub fn notify_synced(self) {
        for done in self.waiters {
            // The receiver is gone if the caller no longer waits.
            let _ = done.send(());
        }
    }
}

/// State to be written. Newer state replaces older state that is not yet written.
#[derive(Default)]
pub struct PendingWrite {
    replica: Option<ReplicaState>,
    servers: Option<Arc<Vec<Server>>>,
    departures: Option<PendingDepartures>,
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

    pub(super) fn add_departures(&mut self, write: DepartureWrite, done: oneshot::Sender<()>) {
        let (write, mut waiters) = match self.departures.take() {
            Some(earlier) => (earlier.write.followed_by(write), earlier.waiters),
            None => (write, Vec::new()),
        };
        waiters.push(done);
        self.departures = Some(PendingDepartures { write, waiters });
    }

    fn is_empty(&self) -> bool {
        self.waiters.is_empty() && self.servers.is_none() && self.departures.is_none()
    }

    /// Takes the change of the log of departures, which is to be written before the state.
    pub fn take_departures(&mut self) -> Option<PendingDepartures> {
        self.departures.take()
    }

    /// Applies this write to the state on a disk. Returns whether the state has changed and must be written.
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

    /// Notifies all waiting callers that the write is synced.
    pub fn notify_synced(self) {
        for done in self.waiters {
            // The receiver is gone if the caller no longer waits.
            let _ = done.send(());
        }
    }
}

#[derive(Default)]
struct QueueState {
    pending: PendingWrite,
    is_closed: bool,
}

/// Queue between a process and the thread that writes its disk.
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

/// Receiving side of the queue, held by the writer of the disk.
pub struct DiskQueue(Arc<SharedQueue>);

impl DiskQueue {
    pub(super) fn new(shared: Arc<SharedQueue>) -> Self {
        DiskQueue(shared)
    }

    /// Takes the state queued since the last call, or returns `None` if there is none.
    #[must_use]
    pub fn take(&self) -> Option<PendingWrite> {
        let pending = &mut self.0.state.lock().pending;
        (!pending.is_empty()).then(|| std::mem::take(pending))
    }

    /// Waits until state is queued, and takes it. Returns `None` once the queue is closed and empty.
    pub(super) fn wait(&self) -> Option<PendingWrite> {
        let mut state = self.0.state.lock();
        while state.pending.is_empty() && !state.is_closed {
            self.0.changed.wait(&mut state);
        }
        let pending = &mut state.pending;
        (!pending.is_empty()).then(|| std::mem::take(pending))
    }
}
