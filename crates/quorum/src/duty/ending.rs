//! Whether a member may end.

use super::{Held, Limits, View};

/// Whether a process that was told to end may do so now. `mine` is what its disk holds.
///
/// It leaves the membership first where that takes nothing from the others: where another disk waits for its place,
/// or where one member less bears as many losses. Elsewhere it stays a member and just ends, for it may be a restart.
/// Either way it waits until a majority of the members that remain has said that they hold what it holds.
pub fn may_end(me: &str, mine: Held, view: View<'_>, limits: Limits) -> bool {
    let member = view.membership.has(me);
    if !member && mine.epoch == 0 {
        // A disk that never had a place holds nothing.
        return true;
    }
    let replaceable = view.waiting().is_some() || limits.has_to_spare(view.membership, 1);
    let decided = view.sighted().count() >= view.membership.majority();
    if member && replaceable && decided && view.holder().is_some() {
        return false;
    }
    let remaining = view.membership.members.iter().filter(|m| &*m.disk != me).count();
    let others = view.sighted().filter(|live| &*live.member.disk != me);
    let hold = others.filter(|live| view.holds_epoch(live) && live.report.is_some_and(|r| r.held >= mine));
    remaining == 0 || hold.count() > remaining / 2
}
