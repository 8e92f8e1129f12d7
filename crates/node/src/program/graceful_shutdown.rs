//! Graceful shutdown of a process.

use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::agent::Agent;
use crate::front::ClientConnections;

/// Time for which the process reports that it is not ready before it closes client connections. Load
/// balancers poll the readiness every second and act on two consecutive answers.
const CLIENT_CLOSE_DELAY: Duration = Duration::from_millis(2500);
/// Part of the grace period that is reserved for the exit itself.
const RESERVED_GRACE: Duration = Duration::from_millis(700);

/// Why a graceful shutdown ends the process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitReason {
    /// No client is connected, and the disk of the process is not needed.
    #[display("nothing is pending")]
    Idle,
    /// The grace period is about to end, whatever is pending.
    #[display("the grace period ends")]
    GraceEnding,
}

/// State of a graceful shutdown. First the process reports that it is not ready, then it closes client
/// connections after their current response. It exits once all connections are closed and its disk has left
/// the membership, or is not needed there, or at the latest shortly before the grace period ends.
#[derive(Debug, Default)]
pub struct GracefulShutdown {
    began_at: Option<Instant>,
    has_closed_clients: bool,
}

impl GracefulShutdown {
    /// Starts the shutdown; further calls have no effect.
    pub fn begin(&mut self) {
        self.began_at.get_or_insert_with(Instant::now);
    }

    /// Performs the next steps of the shutdown that are due. Returns the reason to exit now, if there is one.
    pub fn advance(&mut self, agent: &Rc<Agent>, clients: &ClientConnections) -> Option<ExitReason> {
        let began_at = self.began_at?;
        agent.shut_down();
        clients.shutdown_began(began_at);
        let has_clients = agent.settings.listen.gateway.is_some();
        let may_close_clients = !has_clients || began_at.elapsed() >= CLIENT_CLOSE_DELAY;
        if may_close_clients && !self.has_closed_clients {
            self.has_closed_clients = true;
            clients.close_gracefully();
        }
        if !self.has_closed_clients {
            return None;
        }
        if began_at.elapsed() + RESERVED_GRACE >= agent.settings.grace {
            return Some(ExitReason::GraceEnding);
        }
        (clients.open_count() == 0 && agent.may_shut_down()).then_some(ExitReason::Idle)
    }
}
