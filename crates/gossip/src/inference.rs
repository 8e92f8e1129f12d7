//! What a directory has inferred about servers that did not report their own end, for operators.

use ashvane_identifiers::ServerId;

/// Reason why a server is inferred to have terminated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TerminationEvidence {
    /// This process received a heartbeat of another server at the same address.
    Heartbeat(ServerId),
    /// An update names another server at the same address.
    Update(ServerId),
    /// The server has timed out, and another server is available at the same address.
    AddressInUse,
    /// The server has been timed out for longer than any partition lasts.
    TimedOut,
}

/// A server that was inferred to have terminated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InferredTermination {
    /// The server.
    pub server: ServerId,
    /// Reason for the inference.
    pub evidence: TerminationEvidence,
}

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InferenceCounters {
    /// Servers that this process has inferred to have terminated.
    pub inferred_terminations: u64,
    /// Heartbeats that changed nothing because their server is marked as terminated.
    pub ignored_heartbeats: u64,
}

/// The inferences of one process: counters, and the terminations that have not been reported yet.
#[derive(Debug, Default)]
pub(crate) struct InferenceLog {
    counters: InferenceCounters,
    unreported: Vec<InferredTermination>,
}

impl InferenceLog {
    pub(crate) fn counters(&self) -> InferenceCounters {
        self.counters
    }

    pub(crate) fn termination_inferred(&mut self, server: &ServerId, evidence: TerminationEvidence) {
        self.counters.inferred_terminations += 1;
        self.unreported.push(InferredTermination { server: server.clone(), evidence });
    }

    pub(crate) fn heartbeat_ignored(&mut self) {
        self.counters.ignored_heartbeats += 1;
    }

    /// Returns the terminations inferred since the last call.
    pub(crate) fn take_unreported(&mut self) -> Vec<InferredTermination> {
        std::mem::take(&mut self.unreported)
    }
}
