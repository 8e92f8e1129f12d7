//! A call on its way to the agent.

use std::rc::Rc;

use ashvane_gossip::Heartbeat;
use ashvane_identifiers::{Address, ServerId};
use ashvane_quorum::VersionedConfig;
use axum::body::Bytes;
use serde_json::Value;
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::agent::{Agent, NoQuorum, PutOutcome};

/// A call, and where its answer goes.
pub(super) enum ControlCall {
    /// Where control calls are answered, if not here.
    Redirect(oneshot::Sender<Option<Address>>),
    /// A server says that it is there, or that it drains.
    Heartbeat(Heartbeat, oneshot::Sender<Result<(), NoQuorum>>),
    /// A server says that it ends.
    Deregister(ServerId, oneshot::Sender<Result<(), NoQuorum>>),
    /// An operator sends a configuration.
    PutConfig(Bytes, oneshot::Sender<PutOutcome>),
    /// An operator reads the newest one.
    GetConfig(oneshot::Sender<Result<Option<VersionedConfig>, NoQuorum>>),
    /// An operator asks for all that the process knows.
    Status(oneshot::Sender<Value>),
}

impl ControlCall {
    /// Has the agent answer the call. A caller that has left gets no answer.
    pub(super) async fn answer(self, agent: Rc<Agent>) {
        match self {
            ControlCall::Redirect(reply) => {
                let _ = reply.send(agent.control_redirect());
            }
            ControlCall::Heartbeat(heartbeat, reply) => {
                let _ = reply.send(agent.record_heartbeat(heartbeat).await);
            }
            ControlCall::Deregister(id, reply) => {
                let _ = reply.send(agent.deregister(&id).await);
            }
            ControlCall::PutConfig(text, reply) => {
                let outcome = agent.put(&text).await;
                log_put_outcome(&agent.log, &outcome);
                let _ = reply.send(outcome);
            }
            ControlCall::GetConfig(reply) => {
                let _ = reply.send(agent.read_newest().await);
            }
            ControlCall::Status(reply) => {
                let _ = reply.send(agent.status());
            }
        }
    }
}

fn log_put_outcome(log: &Logger, outcome: &PutOutcome) {
    match outcome {
        PutOutcome::Accepted { version } => info!(log, "configuration accepted"; "version" => version),
        PutOutcome::Invalid(faults) => {
            warn!(log, "configuration rejected: it is not valid"; "faults" => faults.to_string());
        }
        PutOutcome::Conflict { version, in_force } => {
            warn!(log, "configuration rejected: its version was chosen with other content";
                "version" => version, "held" => in_force);
        }
        PutOutcome::Unknown(_) => warn!(log, "no quorum answered; the configuration may have been chosen"),
    }
}
