//! What an operation wants next.

use super::Outcome;
use crate::{Member, Request};

/// What an operation wants next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// What to send to whom.
    pub requests: Vec<(Member, Request)>,
    /// The end of the operation.
    pub outcome: Option<Outcome>,
    /// Others are at work: [`Operation::again`](super::Operation::again) is to be called after a short pause, drawn anew each time.
    pub back_off: bool,
}

impl Step {
    pub(crate) fn send(requests: Vec<(Member, Request)>) -> Self {
        Step { requests, ..Step::default() }
    }

    pub(crate) fn back_off() -> Self {
        Step { back_off: true, ..Step::default() }
    }
}
