//! Calls that the handlers pass to the agent.

use std::rc::Rc;

use ashvane_gossip::Heartbeat;
use ashvane_identifiers::{Address, ServerId};
use ashvane_quorum::VersionedConfig;
use axum::body::Bytes;
use serde_json::Value;
use slog::{Logger, info, warn};
use tokio::sync::oneshot;

use crate::agent::{Agent, NoQuorum, PutOutcome};

/// Call to the agent, with the channel for its answer.
pub(super) enum ControlCall {
    /// Request for the control address to which calls are redirected; the answer is `None` if this process
    /// answers them, or knows no control node that does.
    Redirect(oneshot::Sender<Option<Address>>),
    /// Heartbeat of a server, which is ready or draining.
    Heartbeat(Heartbeat, oneshot::Sender<Result<(), NoQuorum>>),
    /// Deregistration of a server that is terminating.
    Deregister(ServerId, oneshot::Sender<Result<(), NoQuorum>>),
    /// Write of an operator's configuration.
    PutConfig(Bytes, oneshot::Sender<PutOutcome>),
    /// Read of the newest chosen configuration.
    GetConfig(oneshot::Sender<Result<Option<VersionedConfig>, NoQuorum>>),
    /// Request for the status report.
    Status(oneshot::Sender<Value>),
}

impl ControlCall {
    /// Executes the call and sends the answer. The answer is dropped if the caller no longer waits for it.
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
