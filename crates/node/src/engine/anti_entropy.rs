//! When digests are sent, and when a difference is repaired.

use std::time::Duration;

use super::Link;

/// How often digests are sent over each link.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1000);
/// Digests that differ in a row, after which an update has been missed: before that it may be on its way.
const MIN_DIFFERING_DIGESTS: u32 = 2;
/// Time after which a difference may be repaired over another link; shorter than the time between two digests. One at a
/// time: what is missed is mostly known to all others alike, and a start would bring all of it over every link.
const MIN_REPAIR_INTERVAL: Duration = Duration::from_millis(700);

/// What decides whether a difference is repaired over a link, beside the link.
#[derive(Clone, Copy, Debug)]
pub struct RepairContext {
    /// Whether this process is a control node.
    pub is_control_node: bool,
    /// Whether this process knows what a control node in contact with a quorum knew.
    pub is_caught_up: bool,
    /// Whether this process's name is the lower one: of two peers that one begins.
    pub is_lower_name: bool,
    /// Whether the peer's disk is a member.
    pub is_peer_member: bool,
}

/// The times of digests and repairs, since the start of the process.
#[derive(Debug, Default)]
pub struct AntiEntropy {
    digests_sent_at: Duration,
    repair_started_at: Option<Duration>,
}

impl AntiEntropy {
    /// Whether digests are to be sent over all links now.
    pub fn is_digest_due(&mut self, now: Duration) -> bool {
        let is_due = self.digests_sent_at + DIGEST_INTERVAL <= now;
        if is_due {
            self.digests_sent_at = now;
        }
        is_due
    }

    /// A repair begins for another reason than a difference.
    pub fn repair_started(&mut self, now: Duration) {
        self.repair_started_at = Some(now);
    }

    /// The digest of a peer differs. Whether the difference is to be repaired over this link now.
    pub fn should_repair(&mut self, link: &mut Link, context: RepairContext, now: Duration) -> bool {
        link.differing_digests += 1;
        let is_to_control_node = link.is_to_control_node();
        let is_first_comparison = match context.is_control_node {
            true => is_to_control_node && !link.has_applied_peer_entries && context.is_lower_name,
            false => is_to_control_node && !context.is_caught_up,
        };
        // Members are compared with at once: a quorum of them has to be.
        let is_urgent = is_first_comparison && (context.is_peer_member || !context.is_control_node);
        let has_missed_update = link.differing_digests >= MIN_DIFFERING_DIGESTS && context.is_lower_name;
        let is_free = self.repair_started_at.is_none_or(|at| at + MIN_REPAIR_INTERVAL <= now);
        if !is_urgent && !((is_first_comparison || has_missed_update) && is_free) {
            return false;
        }
        if !is_urgent {
            self.repair_started_at = Some(now);
        }
        link.differing_digests = 0;
        true
    }
}
