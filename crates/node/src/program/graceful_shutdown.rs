//! Graceful shutdown of a process.

use std::rc::Rc;
use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use super::shutdown_schedule::ShutdownSchedule;
use crate::agent::Agent;
use crate::front::ClientConnections;

/// Interval between checks of whether a process that shuts down may exit.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest time that the last answers are given, also where the process was suspended until its grace period
/// had nearly ended.
const MIN_LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);

/// Why a graceful shutdown ends the process.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ExitReason {
    /// No client is connected, no call of a server or an operator waits for a quorum, and the disk of the process is
    /// not needed.
    #[display("nothing is pending")]
    Idle,
    /// The last answers are sent. Connections that are still open carry no request that was read completely.
    #[display("all requests are answered")]
    Answered,
    /// The grace period is about to end, whatever is pending.
    #[display("the grace period ends")]
    GraceEnding,
}

/// State of a graceful shutdown, which goes through these steps:
///
/// 1. The process reports that it is not ready. It takes new requests as long as they can be answered before
///    step 3, and rejects all others.
/// 2. It closes idle client connections.
/// 3. It answers whatever is pending with what there is, and stops listening for clients.
/// 4. It exits.
///
/// It exits sooner once all client connections are closed, no call of a server or an operator waits for a quorum, and
/// its disk has left the membership, or is not needed there.
#[derive(Debug, Default)]
pub struct GracefulShutdown {
    began_at: Option<Instant>,
    /// Times of the steps, from the first one on.
    schedule: Option<ShutdownSchedule>,
    has_closed_idle: bool,
    /// When the last answers were begun, if they were.
    last_answers_began_at: Option<Instant>,
}

impl GracefulShutdown {
    /// Starts the shutdown; further calls have no effect.
    pub fn begin(&mut self) {
        self.began_at.get_or_insert_with(Instant::now);
    }

    /// Returns when [`GracefulShutdown::advance`] must be called next; `None` before the shutdown.
    #[must_use]
    pub fn next_step_at(&self) -> Option<Instant> {
        self.began_at?;
        let now = Instant::now();
        let check_at = now + EXIT_CHECK_INTERVAL;
        Some(match &self.schedule {
            None => now,
            Some(schedule) if !self.has_closed_idle => schedule.idle_close_at,
            Some(schedule) if self.last_answers_began_at.is_none() => check_at.min(schedule.last_answers_at),
            Some(_) => check_at,
        })
    }

    /// Performs the next steps of the shutdown that are due. Returns the reason to exit now, if there is one.
    pub fn advance(&mut self, agent: &Rc<Agent>, clients: &ClientConnections) -> Option<ExitReason> {
        let began_at = self.began_at?;
        let now = Instant::now();
        agent.shut_down();
        let schedule = match self.schedule {
            Some(schedule) => schedule,
            None => self.announce(ShutdownSchedule::new(began_at, agent.settings.grace), agent, clients),
        };
        let has_clients = agent.settings.listen.gateway.is_some();
        if !self.has_closed_idle && (!has_clients || now >= schedule.idle_close_at) {
            self.has_closed_idle = true;
            clients.close_gracefully();
        }
        if self.last_answers_began_at.is_none() && now >= schedule.last_answers_at {
            self.last_answers_began_at = Some(now);
            clients.close_gracefully();
            clients.close_listener();
        }
        self.exit_reason(schedule, agent, clients)
    }

    /// Makes the schedule known to all that it concerns.
    fn announce(
        &mut self, schedule: ShutdownSchedule, agent: &Agent, clients: &ClientConnections,
    ) -> ShutdownSchedule {
        self.schedule = Some(schedule);
        clients.shutdown_began(schedule.began_at, schedule.last_answers_at);
        if let Some(data_plane) = agent.data_plane() {
            data_plane.limit_answers(schedule.last_answers_at);
        }
        schedule
    }

    /// Returns the reason to exit now, if there is one.
    fn exit_reason(
        &self, schedule: ShutdownSchedule, agent: &Agent, clients: &ClientConnections,
    ) -> Option<ExitReason> {
        let is_idle = clients.open_count() == 0 && agent.are_calls_answered();
        if let Some(began_at) = self.last_answers_began_at {
            if is_idle && clients.is_listener_closed() {
                return Some(ExitReason::Idle);
            }
            if began_at.elapsed() < MIN_LAST_ANSWERS_TIME {
                return None;
            }
            if clients.busy_count() == 0 && clients.is_listener_closed() && agent.are_calls_answered() {
                return Some(ExitReason::Answered);
            }
            return (Instant::now() >= schedule.exit_at).then_some(ExitReason::GraceEnding);
        }
        if !self.has_closed_idle || !is_idle || !agent.may_shut_down() {
            return None;
        }
        // What the kernel has accepted for the listener is served first.
        clients.close_listener();
        clients.is_listener_closed().then_some(ExitReason::Idle)
    }
}
