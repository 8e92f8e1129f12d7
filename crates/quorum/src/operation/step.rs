//! What an operation wants done next.

use super::Outcome;
use crate::{Member, Request};

/// A request and the member that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The member that it is for.
    pub member: Member,
    /// What is requested.
    pub request: Request,
}

/// What an operation wants done next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// What to send.
    pub requests: Vec<AddressedRequest>,
    /// The end of the operation.
    pub outcome: Option<Outcome>,
    /// Other proposers are at work: [`Operation::retry`](super::Operation::retry) is to be called after
    /// [`RetrySchedule::contention_delay`](crate::RetrySchedule::contention_delay).
    pub is_contended: bool,
}

impl Step {
    pub(crate) fn send(requests: Vec<AddressedRequest>) -> Self {
        Step { requests, ..Step::default() }
    }

    pub(crate) fn contended() -> Self {
        Step { is_contended: true, ..Step::default() }
    }

    pub(crate) fn finish(outcome: Outcome) -> Self {
        Step { outcome: Some(outcome), ..Step::default() }
    }
}
