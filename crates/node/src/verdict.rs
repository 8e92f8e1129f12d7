//! How a call to a server or to another process failed, and what that says of its effect.

use std::time::Duration;

use derive_more::{Display, Error};

/// Whether a request may have run, or may run yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It has not run and never will.
    NeverRan,
    /// It ran, or may have, or may yet.
    MayHaveRun,
}

/// Why a call to a server brought no answer that counts.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CallError {
    #[display("no connection to {address} within {within:?}")]
    NoConnection { address: String, within: Duration },
    #[display("all connections that may be open to {address} are in use")]
    NoRoom { address: String },
    #[display("the connection was closed before the request was sent")]
    NeverSent,
    #[display("the server says that it did not run the request: {status}")]
    TurnedAway { status: u16 },
    #[display("another server has the address")]
    OtherServer,
    #[display("the server failed: {status}")]
    Failed { status: u16 },
    #[display("the answer cannot be used: {what}")]
    Unusable { what: &'static str },
    #[display("the connection broke")]
    Broken,
    #[display("no answer in time")]
    TimedOut,
}

impl CallError {
    pub fn verdict(&self) -> Verdict {
        use CallError::*;
        match self {
            NoConnection { .. } | NoRoom { .. } | NeverSent | TurnedAway { .. } | OtherServer => {
                Verdict::NeverRan
            }
            Failed { .. } | Unusable { .. } | Broken | TimedOut => Verdict::MayHaveRun,
        }
    }

    /// Whether it may have reached a server, be it to be turned away there.
    pub fn arrived(&self) -> bool {
        use CallError::*;
        !matches!(self, NoConnection { .. } | NoRoom { .. } | NeverSent)
    }

    pub fn outcome(&self) -> ashvane::Outcome {
        use ashvane::Outcome;
        match self {
            CallError::NoConnection { .. } => Outcome::Unreachable,
            CallError::NoRoom { .. } | CallError::NeverSent => Outcome::NeverSent,
            CallError::TurnedAway { .. } | CallError::OtherServer => Outcome::TurnedAway,
            CallError::Failed { .. } => Outcome::Errored,
            CallError::Unusable { .. } | CallError::Broken => Outcome::Broken,
            CallError::TimedOut => Outcome::TimedOut,
        }
    }
}

/// Why the program cannot start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    #[display("{file}: {why}")]
    Settings { file: String, why: String },
    #[display("{address} cannot be listened on: {why}")]
    Listen { address: String, why: std::io::Error },
    #[display("{why}")]
    Runtime { why: std::io::Error },
    #[display("{why}")]
    Usage { why: String },
}
