//! Readiness of a starting gateway, and the verification by control nodes that it depends on.
//!
//! A gateway sends a verification request to each linked control node. The control node answers only after a
//! read of the register that began after the request arrived, and only if it has applied all entries known to
//! a quorum of the members. The gateway may become ready once it has applied the entries that the control
//! node had when it answered.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Link, LinkTable, TICK_INTERVAL};
use crate::links::LinkId;

/// Interval between verification requests to the same control node; longer than a read of the register takes.
const VERIFICATION_RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which a starting gateway waits for the answer of a control node before it connects to all others.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a starting gateway uses the newest state it has received although no control node has
/// verified its quorum. Longer than the partition of a single machine that the system must tolerate, and than
/// a start of all control nodes takes. Counted in ticks, so that a stall of this process does not count as
/// waiting.
const MAX_QUORUM_WAIT: Duration = Duration::from_secs(30);

/// Whether the state of a process is recent enough to serve requests.
#[derive(Debug)]
pub struct Readiness {
    /// Whether this incarnation has applied all entries of a control node in contact with a quorum.
    is_caught_up: bool,
    waited: Duration,
}

/// Effect of a tick on the wait for a control node in contact with a quorum.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitState {
    /// The wait continues, or had ended before this tick.
    Unchanged,
    /// The wait has just ended without an answer from such a control node.
    TimedOut,
}

impl Readiness {
    /// Creates the state of a control node. It counts as caught up from the start: gateways catch up with
    /// control nodes, not the reverse.
    #[must_use]
    pub fn for_control_node() -> Self {
        Readiness { is_caught_up: true, waited: Duration::ZERO }
    }

    /// Creates the state of a starting gateway.
    #[must_use]
    pub fn for_gateway() -> Self {
        Readiness { is_caught_up: false, waited: Duration::ZERO }
    }

    /// Whether all entries of a control node in contact with a quorum have been applied.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Whether this process has caught up with a control node in contact with a quorum, or has stopped
    /// waiting for one.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.is_caught_up || self.has_timed_out()
    }

    fn has_timed_out(&self) -> bool {
        self.waited >= MAX_QUORUM_WAIT
    }

    /// Counts the time for which a gateway has waited. To be called on each tick.
    pub fn tick(&mut self) -> WaitState {
        if self.is_current() {
            return WaitState::Unchanged;
        }
        self.waited += TICK_INTERVAL;
        if self.has_timed_out() { WaitState::TimedOut } else { WaitState::Unchanged }
    }

    /// Marks a gateway as caught up once it has applied all entries of a linked control node that has
    /// verified its quorum, and the configuration that was in force there. This is the only place where a
    /// gateway becomes caught up; it stays so for its incarnation, even if the control nodes fail later.
    /// Returns whether it has just caught up. `version` is the version of the configuration in force at this
    /// gateway.
    pub fn catch_up_if_verified(&mut self, links: &LinkTable, version: u64) -> bool {
        let is_verified = |link: &Link| {
            link.has_applied_peer_entries && link.verified_version.is_some_and(|verified| verified <= version)
        };
        let has_just_caught_up = !self.is_caught_up && links.iter().any(|(_, link)| is_verified(link));
        self.is_caught_up |= has_just_caught_up;
        has_just_caught_up
    }

    /// Returns the links over which a gateway must send verification requests now.
    #[must_use]
    pub fn links_to_verify(&self, links: &LinkTable, now: Duration) -> Vec<LinkId> {
        if self.is_caught_up {
            return Vec::new();
        }
        let is_due = |link: &Link| {
            link.verification.is_none_or(|request| request.requested_at + VERIFICATION_RETRY_INTERVAL <= now)
        };
        links.to_control_nodes().filter(|(_, link)| is_due(link)).map(|(id, _)| id).collect()
    }

    /// Whether a link leads to a control node whose state a gateway can use. For a while after the link
    /// opens, any control node may still verify its quorum; a control node that reports no contact with a
    /// quorum is of no use.
    #[must_use]
    pub fn is_useful_to_gateway(&self, link: &Link, now: Duration) -> bool {
        let may_be_verified = self.is_caught_up
            || link.verified_version.is_some()
            || now.saturating_sub(link.opened_at) < VERIFICATION_TIMEOUT;
        link.is_to_control_node() && may_be_verified && !link.lacks_quorum
    }
}

/// Pending verification requests of gateways to this control node.
#[derive(Debug, Default)]
pub struct VerificationRequests {
    /// Number of the last request received over each link.
    pending: BTreeMap<LinkId, u64>,
    is_answering: bool,
}

impl VerificationRequests {
    /// Adds the request of a gateway.
    pub fn push(&mut self, link: LinkId, number: u64) {
        self.pending.insert(link, number);
    }

    /// Takes all pending requests, to be answered by a read of the register that begins now. Returns `None`
    /// if there are none or a read is in progress.
    pub fn begin(&mut self) -> Option<BTreeMap<LinkId, u64>> {
        if self.pending.is_empty() || self.is_answering {
            return None;
        }
        self.is_answering = true;
        Some(std::mem::take(&mut self.pending))
    }

    /// Records the end of the read.
    pub fn end(&mut self) {
        self.is_answering = false;
    }
}
