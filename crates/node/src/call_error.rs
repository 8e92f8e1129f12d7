//! Ways in which a call to a server can fail, and whether the request may have run.

use std::time::Duration;

use ashvane::Outcome;
use derive_more::{Display, Error};

/// Whether a request may have run, or may run yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request has not run and never will.
    NeverRan,
    /// The request ran, may have run, or may still run.
    MayHaveRun,
}

/// Why a call to a server returned no usable response. The names of the variants are written to the log.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened in time.
    #[display("could not connect to {address} within {timeout:?}")]
    NoConnection {
        /// Address of the server.
        address: String,
        /// Time-out for connecting.
        timeout: Duration,
    },
    /// All connections to the server that this gateway may open are in use.
    #[display("connection pool of {address} is exhausted")]
    PoolExhausted {
        /// Address of the server.
        address: String,
    },
    /// The connection was closed before the request was sent.
    #[display("connection closed before the request was sent")]
    NeverSent,
    /// The server rejected the request and reported that it did not run.
    #[display("server rejected the request with status {status}")]
    Rejected {
        /// Status of the response.
        status: u16,
    },
    /// Another server has the address.
    #[display("another server has the address")]
    OtherServer,
    /// The server reported a failure.
    #[display("server failed with status {status}")]
    Failed {
        /// Status of the response.
        status: u16,
    },
    /// The response does not belong to this request, or is not valid.
    #[display("unusable response: {reason}")]
    Unusable {
        /// What is wrong with the response.
        reason: &'static str,
    },
    /// The connection broke before the response was complete.
    #[display("connection broke before the response was complete")]
    Broken,
    /// No complete response arrived before the deadline.
    #[display("no complete response before the deadline")]
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

    /// Whether the request may have reached a server, even if the server rejected it.
    #[must_use]
    pub fn may_have_arrived(&self) -> bool {
        !matches!(
            self,
            CallError::NoConnection { .. } | CallError::PoolExhausted { .. } | CallError::NeverSent
        )
    }

    /// Outcome that is reported to the gatherer.
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
