//! Calls of operators and servers to a control node.

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

/// Time within which a quorum must sync that a server is draining or has terminated, for the server's call
/// to be acknowledged.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_millis(800);

/// No quorum of the members answered in time. The requested operation may have taken effect, may still take
/// effect, or may never do so.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no majority of the disks answers")]
pub struct NoQuorum;

/// Result of writing an operator's configuration.
#[derive(Debug)]
pub enum PutOutcome {
    /// The configuration is chosen, or is superseded by a newer version.
    Accepted {
        /// Version in force.
        version: u64,
    },
    /// The configuration is not valid. Nothing has changed.
    Invalid(Faults),
    /// The version was already chosen with other content. This content can never be put in force under this
    /// version.
    Conflict {
        /// Version of the rejected configuration.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
    /// It is unknown whether the configuration is chosen.
    Unknown(NoQuorum),
}

impl Agent {
    /// Validates an operator's configuration, has a quorum choose it, and puts it in force.
    pub async fn put(self: &Rc<Self>, text: &[u8]) -> PutOutcome {
        let version = match Config::parse(text) {
            Ok(config) => config.version,
            Err(faults) => return PutOutcome::Invalid(faults),
        };
        let _pending = self.pending_calls.begin();
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

    /// Reads the newest chosen configuration from a quorum; `None` before the first one.
    ///
    /// # Errors
    ///
    /// If no quorum answers in time.
    pub async fn read_newest(self: &Rc<Self>) -> Result<Option<VersionedConfig>, NoQuorum> {
        let started = self.handle(|engine, now| engine.start_read(now));
        let Outcome::Read(chosen) = await_outcome(started).await? else { return Err(NoQuorum) };
        self.handle(|engine, now| engine.read_ended(&chosen, now));
        Ok(chosen.config().cloned())
    }

    /// Records the heartbeat of a server. If the server is draining, waits until a quorum of the members has
    /// applied this and synced it to disk, so that the acknowledged state survives the loss of all processes.
    ///
    /// # Errors
    ///
    /// If no quorum has synced the draining state in time. A quorum may still do so later.
    pub async fn record_heartbeat(self: &Rc<Self>, heartbeat: Heartbeat) -> Result<(), NoQuorum> {
        let (id, needs_acknowledgement) = (heartbeat.id.clone(), heartbeat.state > ServerState::Ready);
        self.handle(|engine, now| engine.record_heartbeat(heartbeat, now));
        if needs_acknowledgement { self.await_server_update(&id).await } else { Ok(()) }
    }

    /// Records that a server has terminated, and waits until a quorum of the members has applied this and
    /// synced it to disk.
    ///
    /// # Errors
    ///
    /// If no quorum has synced it in time. A quorum may still do so later.
    pub async fn deregister(self: &Rc<Self>, id: &ServerId) -> Result<(), NoQuorum> {
        self.handle(|engine, now| engine.deregister(id, now));
        self.await_server_update(id).await
    }

    /// Waits until a quorum of the members has applied and synced what is known of a server.
    async fn await_server_update(self: &Rc<Self>, id: &ServerId) -> Result<(), NoQuorum> {
        let _pending = self.pending_calls.begin();
        let server = self.engine.borrow().directory().server_or_tombstone(id);
        self.await_quorum(Update::Server(server.ok_or(NoQuorum)?)).await
    }

    /// Waits until a quorum of the members has applied an update. Fails immediately without contact with a
    /// quorum.
    pub(super) async fn await_quorum(self: &Rc<Self>, update: Update) -> Result<(), NoQuorum> {
        let pending = self.handle(|engine, now| engine.await_quorum(update, now)).ok_or(NoQuorum)?;
        let applied = timeout(ACKNOWLEDGEMENT_TIMEOUT, pending.applied).await;
        self.handle(|engine, _| engine.acknowledgement_ended(pending.number));
        if matches!(applied, Ok(Ok(()))) { Ok(()) } else { Err(NoQuorum) }
    }
}

/// Waits for the outcome of an operation that was started. The elapsed time is checked again afterwards: if
/// this process was stalled, an outcome may become available after the time-out and must not count.
async fn await_outcome(started: Option<oneshot::Receiver<Outcome>>) -> Result<Outcome, NoQuorum> {
    let began_at = Instant::now();
    let outcome = timeout(OPERATION_TIMEOUT, started.ok_or(NoQuorum)?).await;
    match outcome {
        Ok(Ok(outcome)) if began_at.elapsed() <= OPERATION_TIMEOUT => Ok(outcome),
        _ => Err(NoQuorum),
    }
}
