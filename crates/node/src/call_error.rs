//! How a call to a server failed, and what that says of its effect.

use std::time::Duration;

use ashvane::Outcome;
use derive_more::{Display, Error};

/// Whether a request may have run, or may run yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It has not run and never will.
    NeverRan,
    /// It ran, or may have, or may yet.
    MayHaveRun,
}

/// Why a call to a server brought no answer that counts.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection came up in time.
    #[display("no connection to {address} within {within:?}")]
    NoConnection {
        /// The server's address.
        address: String,
        /// The time.
        within: Duration,
    },
    /// This gateway's share of the server's connections is in use.
    #[display("all connections that may be open to {address} are in use")]
    PoolExhausted {
        /// The server's address.
        address: String,
    },
    /// The connection was closed before the request was sent.
    #[display("the connection was closed before the request was sent")]
    NeverSent,
    /// The server has rejected the request.
    #[display("the server says that it did not run the request: {status}")]
    Rejected {
        /// The status of its answer.
        status: u16,
    },
    /// Another server is at the address.
    #[display("another server has the address")]
    OtherServer,
    /// The server says that it failed.
    #[display("the server failed: {status}")]
    Failed {
        /// The status of its answer.
        status: u16,
    },
    /// The answer is none to this request, or not complete.
    #[display("the answer cannot be used: {what}")]
    Unusable {
        /// What is wrong with it.
        what: &'static str,
    },
    /// The connection broke before the answer was complete.
    #[display("the connection broke")]
    Broken,
    /// No answer came in time.
    #[display("no answer in time")]
    TimedOut,
}

impl CallError {
    /// Whether the request may have run.
    #[must_use]
    pub fn execution(&self) -> Execution {
        match self {
            CallError::NoConnection { .. }
            | CallError::PoolExhausted { .. }
            | CallError::NeverSent
            | CallError::Rejected { .. }
            | CallError::OtherServer => Execution::NeverRan,
            CallError::Failed { .. }
            | CallError::Unusable { .. }
            | CallError::Broken
            | CallError::TimedOut => Execution::MayHaveRun,
        }
    }

    /// Whether the request may have reached a server, be it to be rejected there.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        !matches!(
            self,
            CallError::NoConnection { .. } | CallError::PoolExhausted { .. } | CallError::NeverSent
        )
    }

    /// How the decision module takes it.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            CallError::NoConnection { .. } => Outcome::Unreachable,
            CallError::PoolExhausted { .. } | CallError::NeverSent => Outcome::NeverSent,
            CallError::Rejected { .. } | CallError::OtherServer => Outcome::Rejected,
            CallError::Failed { .. } => Outcome::Errored,
            CallError::Unusable { .. } | CallError::Broken => Outcome::ConnectionLost,
            CallError::TimedOut => Outcome::TimedOut,
        }
    }
}
