//! What a gateway that starts waits for before it calls itself ready, and how control nodes help it.
//!
//! A gateway asks each control node that it is linked to. That one answers only after a read of the register that began
//! after the question, and only if it has compared its directory with a quorum of the members. The gateway is ready once it
//! has applied what that control node knew then.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Link, LinkTable, TICK_INTERVAL};
use crate::links::LinkId;

/// Time after which a gateway asks a control node again whether it is in contact with a quorum: a read of the register takes
/// less.
const VERIFICATION_RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// Time for which a gateway that starts waits for one control node before it calls all others.
const VERIFICATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a gateway that starts goes by the newest that it has heard, if no control node has found a quorum:
/// longer than a partition of a single machine has to be borne, and than a core takes that starts whole. Counted in ticks,
/// so that a stall is no wait.
const MAX_QUORUM_WAIT: Duration = Duration::from_secs(30);

/// Whether what a process knows is the newest that could be had.
#[derive(Debug)]
pub struct Readiness {
    /// A control node in contact with a quorum has told all that it knows, once in this incarnation.
    is_caught_up: bool,
    waited: Duration,
}

/// The result of a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitState {
    /// It goes on, or was over before.
    Unchanged,
    /// It is over from now on: no control node has found a quorum.
    TimedOut,
}

impl Readiness {
    /// A control node knows what it knows: gateways compare with it, not it with them.
    #[must_use]
    pub fn for_control_node() -> Self {
        Readiness { is_caught_up: true, waited: Duration::ZERO }
    }

    /// A gateway that starts.
    #[must_use]
    pub fn for_gateway() -> Self {
        Readiness { is_caught_up: false, waited: Duration::ZERO }
    }

    /// Whether a control node in contact with a quorum has told all that it knows.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.is_caught_up
    }

    /// Whether what is known is that of a control node in contact with a quorum, or the newest that could be had.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.is_caught_up || self.has_timed_out()
    }

    fn has_timed_out(&self) -> bool {
        self.waited >= MAX_QUORUM_WAIT
    }

    /// Counts the time for which a gateway waits.
    pub fn tick(&mut self) -> WaitState {
        if self.is_current() {
            return WaitState::Unchanged;
        }
        self.waited += TICK_INTERVAL;
        if self.has_timed_out() { WaitState::TimedOut } else { WaitState::Unchanged }
    }

    /// The one place where a gateway becomes one that may be ready; it stays so for its incarnation, whatever becomes of the
    /// core. Whether it has just become so. `version` is that of the configuration in force here.
    pub fn catch_up_if_verified(&mut self, links: &LinkTable, version: u64) -> bool {
        let is_verified = |link: &Link| {
            link.has_applied_peer_entries && link.verified_version.is_some_and(|verified| verified <= version)
        };
        let has_just_caught_up = !self.is_caught_up && links.iter().any(|(_, link)| is_verified(link));
        self.is_caught_up |= has_just_caught_up;
        has_just_caught_up
    }

    /// The control nodes that a gateway is to ask now whether they are in contact with a quorum.
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

    /// Whether a gateway can go by what it hears over this link: for a while every control node may yet prove to be in
    /// contact with a quorum, and one that says that it is not is no use.
    #[must_use]
    pub fn is_useful_to_gateway(&self, link: &Link, now: Duration) -> bool {
        let may_be_verified = self.is_caught_up
            || link.verified_version.is_some()
            || now.saturating_sub(link.opened_at) < VERIFICATION_TIMEOUT;
        link.is_to_control_node() && may_be_verified && !link.lacks_quorum
    }
}

/// The questions of gateways whether this control node is in contact with a quorum.
#[derive(Debug, Default)]
pub struct VerificationRequests {
    /// The last question over each link.
    pending: BTreeMap<LinkId, u64>,
    is_answering: bool,
}

impl VerificationRequests {
    /// A gateway asks.
    pub fn push(&mut self, link: LinkId, number: u64) {
        self.pending.insert(link, number);
    }

    /// The questions to answer now: a read of the register that begins now serves all that have come. None while one is
    /// under way.
    pub fn begin(&mut self) -> Option<BTreeMap<LinkId, u64>> {
        if self.pending.is_empty() || self.is_answering {
            return None;
        }
        self.is_answering = true;
        Some(std::mem::take(&mut self.pending))
    }

    /// The read has ended.
    pub fn end(&mut self) {
        self.is_answering = false;
    }
}
