//! Steps of an operation.

use super::Outcome;
use crate::{Member, Request};

/// A request and its recipient.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressedRequest {
    /// The recipient.
    pub member: Member,
    /// The request.
    pub request: Request,
}

/// The next step of an operation, to be carried out by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Requests to send.
    pub requests: Vec<AddressedRequest>,
    /// The outcome, if the operation is complete.
    pub outcome: Option<Outcome>,
    /// Whether the operation contends with other proposers. The caller then calls
    /// [`Operation::retry`](super::Operation::retry) after
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
