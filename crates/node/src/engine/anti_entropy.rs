//! Decides when digests are sent and when a difference is repaired.

use std::time::Duration;

use super::Link;

/// Interval between the digests sent over each link.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1000);
/// Consecutive differing digests after which an update counts as missed. A single difference may be an update
/// that is still in transit.
const MIN_DIFFERING_DIGESTS: u32 = 2;
/// Minimum time between the starts of two repairs; shorter than the interval between digests. Repairs run one
/// at a time because most peers know the same missing entries: at a start, each link would otherwise transfer
/// all of them.
const MIN_REPAIR_INTERVAL: Duration = Duration::from_millis(700);

/// Inputs to the repair decision, besides the state of the link.
#[derive(Clone, Copy, Debug)]
pub struct RepairContext {
    /// Whether this process is a control node.
    pub is_control_node: bool,
    /// Whether this process has applied all entries of a control node in contact with a quorum.
    pub is_caught_up: bool,
    /// Whether this process's name is lower than the peer's. The lower one of two peers starts the repair.
    pub is_lower_name: bool,
    /// Whether the peer's disk is a member of the register's membership.
    pub is_peer_member: bool,
}

/// Times of the last digests and of the last repair, since the start of the process.
#[derive(Debug, Default)]
pub struct AntiEntropy {
    digests_sent_at: Duration,
    repair_started_at: Option<Duration>,
}

impl AntiEntropy {
    /// Whether digests must be sent over all links now. Records that they are.
    pub fn is_digest_due(&mut self, now: Duration) -> bool {
        let is_due = self.digests_sent_at + DIGEST_INTERVAL <= now;
        if is_due {
            self.digests_sent_at = now;
        }
        is_due
    }

    /// Records the start of a repair that was not triggered by a differing digest.
    pub fn repair_started(&mut self, now: Duration) {
        self.repair_started_at = Some(now);
    }

    /// Records that the digest of a peer differs, and returns whether to repair the difference over this link
    /// now.
    pub fn should_repair(&mut self, link: &mut Link, context: RepairContext, now: Duration) -> bool {
        link.differing_digests += 1;
        let is_to_control_node = link.is_to_control_node();
        let is_first_comparison = match context.is_control_node {
            true => is_to_control_node && !link.has_applied_peer_entries && context.is_lower_name,
            false => is_to_control_node && !context.is_caught_up,
        };
        // Members are not subject to the minimum interval: a process must compare its entries with a quorum
        // of them.
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
