//! The end of a process that was told to end.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::agent::Agent;
use crate::front::ClientConnections;

/// Time in which clients are sent elsewhere before the last connections are asked to end: whoever asks for readiness does so
/// each second and goes by two answers.
const CLIENT_CLOSE_DELAY: Duration = Duration::from_millis(2500);
/// What is kept of the grace time, for the end itself.
const RESERVED_GRACE: Duration = Duration::from_millis(700);

/// The steps to the end: first the process is not ready any more, then clients are sent elsewhere, and it ends once the last
/// one has its answer and its disk has left the membership, or is not missed there.
#[derive(Debug, Default)]
pub struct GracefulShutdown {
    began_at: Option<Instant>,
    has_closed_clients: bool,
}

impl GracefulShutdown {
    /// The process was told to end.
    pub fn begin(&mut self) {
        self.began_at.get_or_insert_with(Instant::now);
    }

    /// Goes on with it. Whether the process is to end now.
    pub fn advance(&mut self, agent: &Rc<Agent>, clients: &ClientConnections) -> bool {
        let Some(began_at) = self.began_at else { return false };
        agent.shut_down();
        let has_clients = agent.settings.listen.gateway.is_some();
        let may_close_clients = !has_clients || began_at.elapsed() >= CLIENT_CLOSE_DELAY;
        if may_close_clients && !self.has_closed_clients {
            self.has_closed_clients = true;
            clients.close_gracefully();
        }
        let is_grace_ending = began_at.elapsed() + RESERVED_GRACE >= agent.settings.grace;
        self.has_closed_clients && (is_grace_ending || (clients.open_count() == 0 && agent.may_shut_down()))
    }
}
