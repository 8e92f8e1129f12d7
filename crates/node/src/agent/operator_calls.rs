//! Calls of operators and servers, each from its request to its answer.

use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{Heartbeat, ServerState, Update};
use ashvane_identifiers::ServerId;
use ashvane_quorum::{ContentDigest, Outcome, SubmissionStatus, VersionedConfig};
use derive_more::{Display, Error};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use super::Agent;
use crate::compression;
use crate::config::Config;
use crate::document::Faults;
use crate::engine::OPERATION_TIMEOUT;

/// Time in which a quorum must have applied that a server leaves, for its call to be acknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);

/// No quorum of the members has answered in time. What was called for may have taken effect, may yet, or may not.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no majority of the disks answers")]
pub struct NoQuorum;

/// What becomes of an operator's configuration.
#[derive(Debug)]
pub enum PutOutcome {
    /// It is chosen, or superseded by a newer version: the one that is in force.
    Accepted {
        /// The version in force.
        version: u64,
    },
    /// It is none that could be used. Nothing has changed.
    Invalid(Faults),
    /// Its version was chosen with other content: it is not in force and never will be under this version.
    Conflict {
        /// Its version.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// Whether it is chosen is not known.
    Unknown(NoQuorum),
}

impl Agent {
    /// An operator's configuration: checked completely, then chosen by a quorum, then in force.
    pub async fn put(self: &Rc<Self>, text: &[u8]) -> PutOutcome {
        let version = match Config::parse(text) {
            Ok(config) => config.version,
            Err(faults) => return PutOutcome::Invalid(faults),
        };
        let submission = VersionedConfig {
            version,
            digest: ContentDigest::of(text),
            compressed_text: compression::compress(text).into(),
        };
        let started = self.handle(|engine, now| engine.start_write(submission, now));
        let Ok(Outcome::Written(status, chosen)) = await_outcome(started).await else {
            return PutOutcome::Unknown(NoQuorum);
        };
        self.handle(|engine, now| engine.write_ended(&chosen, now));
        let in_force = chosen.config().map_or(0, |config| config.version);
        match status {
            SubmissionStatus::Chosen | SubmissionStatus::Superseded => {
                PutOutcome::Accepted { version: in_force }
            }
            SubmissionStatus::Conflict => PutOutcome::Conflict { version, in_force },
            SubmissionStatus::Forgotten | SubmissionStatus::New => PutOutcome::Unknown(NoQuorum),
        }
    }

    /// The newest configuration that is chosen; none before the first one.
    ///
    /// # Errors
    ///
    /// Where no quorum answers.
    pub async fn read_newest(self: &Rc<Self>) -> Result<Option<VersionedConfig>, NoQuorum> {
        let started = self.handle(|engine, now| engine.start_read(now));
        let Outcome::Read(chosen) = await_outcome(started).await? else { return Err(NoQuorum) };
        self.handle(|engine, now| engine.read_ended(&chosen, now));
        Ok(chosen.config().cloned())
    }

    /// A server has sent a heartbeat. One that is draining is acknowledged only once a quorum of the members knows it, so
    /// that it does not depend on this process.
    ///
    /// # Errors
    ///
    /// Where no quorum has applied in time that the server drains. It may know all the same.
    pub async fn record_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) -> Result<(), NoQuorum> {
        let (id, needs_acknowledgement) = (heartbeat.id.clone(), heartbeat.state > ServerState::Ready);
        self.handle(|engine, now| engine.record_heartbeat(heartbeat, now));
        if needs_acknowledgement { self.await_server_update(&id).await } else { Ok(()) }
    }

    /// A server has said that it ends.
    ///
    /// # Errors
    ///
    /// Where no quorum has applied that in time. It may know all the same.
    pub async fn deregister(self: &Rc<Self>, id: &ServerId) -> Result<(), NoQuorum> {
        self.handle(|engine, now| engine.deregister(id, now));
        self.await_server_update(id).await
    }

    async fn await_server_update(self: &Rc<Self>, id: &ServerId) -> Result<(), NoQuorum> {
        let server = self.engine.borrow().directory().server(id).cloned();
        self.await_quorum(Update::Server(server.ok_or(NoQuorum)?)).await
    }

    /// Waits until a quorum of the members has applied an update. Where none is in contact the answer comes at once.
    pub(super) async fn await_quorum(self: &Rc<Self>, update: Update) -> Result<(), NoQuorum> {
        let pending = self.handle(|engine, now| engine.await_quorum(update, now)).ok_or(NoQuorum)?;
        let applied = timeout(ACKNOWLEDGEMENT_TIMEOUT, pending.applied).await;
        self.handle(|engine, _| engine.acknowledgement_ended(pending.number));
        if matches!(applied, Ok(Ok(()))) { Ok(()) } else { Err(NoQuorum) }
    }
}

/// The outcome of an operation, if it was started and ends in time. What ends after that, since this process was stalled, is
/// no outcome either.
async fn await_outcome(started: Option<oneshot::Receiver<Outcome>>) -> Result<Outcome, NoQuorum> {
    let began_at = Instant::now();
    let outcome = timeout(OPERATION_TIMEOUT, started.ok_or(NoQuorum)?).await;
    match outcome {
        Ok(Ok(outcome)) if began_at.elapsed() <= OPERATION_TIMEOUT => Ok(outcome),
        _ => Err(NoQuorum),
    }
}
