//! When the servers that are known are saved on disk: a hint for the next start, on which nothing rests.

use std::time::Duration;

use ashvane_gossip::{Server, ServerState, Update};

/// How often the servers that are known are saved, where they change.
const SAVE_INTERVAL: Duration = Duration::from_secs(2);

/// When the servers were last saved. Times are since the start of the process.
#[derive(Debug, Default)]
pub struct ServerHints {
    saved_at: Duration,
    saved_revision: u64,
    /// A server has begun to drain, or has ended, since.
    has_stopping_server: bool,
}

impl ServerHints {
    /// These updates are disseminate.
    pub fn observe(&mut self, updates: &[Update]) {
        let is_stopping = |server: &Server| server.state > ServerState::Ready;
        self.has_stopping_server |=
            updates.iter().any(|update| matches!(update, Update::Server(server) if is_stopping(server)));
    }

    /// Whether to save the servers now, at this revision of the directory. One that left is struck out at once, lest a
    /// restart bring it back.
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
