//! Schedule for saving the list of servers to disk. The list is only a hint for the next start; correctness
//! does not depend on it.

use std::time::Duration;

use ashvane_gossip::{Server, ServerState, Update};

/// Interval between saves of the list while it changes.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// State of the last save. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ServerHints {
    saved_at: Duration,
    saved_revision: u64,
    /// Whether a server has started to drain or has terminated since the last save.
    has_stopping_server: bool,
}

impl ServerHints {
    /// Records updates that are being disseminated.
    pub fn observe(&mut self, updates: &[Update]) {
        let is_stopping = |server: &Server| server.state > ServerState::Ready;
        self.has_stopping_server |=
            updates.iter().any(|update| matches!(update, Update::Server(server) if is_stopping(server)));
    }

    /// Whether to save the list now, at this revision of the directory. A server that starts to drain or
    /// terminates causes a save at once, so that a restart does not restore it.
    pub fn should_save(&mut self, revision: u64, now: Duration) -> bool {
        let is_due = self.saved_at + SAVE_INTERVAL <= now || std::mem::take(&mut self.has_stopping_server);
        if !is_due || revision == self.saved_revision {
            return false;
        }
        self.saved_at = now;
        self.saved_revision = revision;
        true
    }
}
