//! The duty over the membership, move by move: who acts, when, and what it proposes.

use std::time::Duration;

use ashvane_quorum::membership_manager::{
    LiveReplica, MembershipPlanner, MembershipPolicy, MembershipView, ReplicaProgress, ReplicaReport,
    may_shut_down,
};
use ashvane_quorum::{Member, Membership};

const NOW: Duration = Duration::from_secs(100);
const EPOCH: u64 = 3;
const POLICY: MembershipPolicy = MembershipPolicy { catch_up: Duration::from_secs(4), max_failures: 1 };

fn member(disk: &str, address: &str) -> Member {
    Member { disk: disk.into(), address: address.into() }
}

/// In sight, holding the state of the epoch.
fn live(disk: &str) -> LiveReplica {
    let report =
        ReplicaReport { progress: ReplicaProgress { epoch: EPOCH, version: 7 }, is_shutting_down: false };
    LiveReplica { member: member(disk, disk), report: Some(report) }
}

fn standby(disk: &str, address: &str) -> LiveReplica {
    LiveReplica { member: member(disk, address), report: Some(ReplicaReport::default()) }
}

fn shutting_down(disk: &str) -> LiveReplica {
    let mut live = live(disk);
    live.report.as_mut().expect("a report").is_shutting_down = true;
    live
}

/// Members a, b, c and so on.
fn first(count: usize) -> (Membership, Vec<LiveReplica>) {
    let live: Vec<LiveReplica> =
        ["a", "b", "c", "d", "e", "f", "g"][..count].iter().map(|d| live(d)).collect();
    (Membership::new(EPOCH, live.iter().map(|l| l.member.clone()).collect()), live)
}

/// What `me` proposes when this has been so for a while.
fn proposed(
    me: &str, membership: &Membership, live: &[LiveReplica], for_ms: u64, policy: MembershipPolicy,
) -> Option<String> {
    let (view, mut planner) = (MembershipView { membership, live }, MembershipPlanner::new(policy));
    planner.observe(NOW, view);
    let next = planner.plan_change(NOW + Duration::from_millis(for_ms), &me.into(), view)?;
    Some(next.iter().map(|m| m.disk.as_str()).collect::<Vec<_>>().join(" "))
}

#[test]
fn a_wiped_disk_is_replaced_at_once_and_a_lost_one_once_it_is_given_up() {
    let (membership, mut disks) = first(5);
    disks[4] = standby("new", "e");
    assert_eq!(proposed("a", &membership, &disks, 0, POLICY).as_deref(), Some("a b c d new"));
    disks[4] = standby("new", "elsewhere");
    assert_eq!(proposed("a", &membership, &disks, 1400, POLICY), None, "it may be back");
    assert_eq!(proposed("a", &membership, &disks, 1500, POLICY).as_deref(), Some("a b c d new"));
    disks.push(live("e"));
    assert_eq!(
        proposed("a", &membership, &disks, 0, POLICY).as_deref(),
        Some("a b c d e new"),
        "all are there"
    );
}

#[test]
fn only_the_first_in_sight_that_stays_acts_and_only_with_a_majority() {
    let (membership, mut disks) = first(5);
    disks.push(standby("f", "f"));
    disks[5].report = None;
    assert_eq!(proposed("a", &membership, &disks, 0, POLICY), None, "nothing was said of it yet");
    disks[5].report = Some(ReplicaReport::default());
    assert_eq!(proposed("b", &membership, &disks, 0, POLICY), None);
    assert!(proposed("a", &membership, &disks, 0, POLICY).is_some());
    disks[0] = shutting_down("a");
    assert_eq!(proposed("a", &membership, &disks, 0, POLICY), None);
    assert_eq!(proposed("b", &membership, &disks, 0, POLICY).as_deref(), Some("b c d e f"));
    let few = [disks[1].clone(), disks[2].clone(), disks[5].clone()];
    assert_eq!(proposed("b", &membership, &few, 60_000, POLICY), None, "two of five decide nothing");
}

#[test]
fn the_next_change_waits_until_each_member_in_sight_has_said_that_it_holds_the_epoch() {
    let (membership, mut disks) = first(5);
    disks.push(standby("f", "f"));
    let behind =
        ReplicaReport { progress: ReplicaProgress { epoch: EPOCH - 1, version: 7 }, is_shutting_down: false };
    for report in [Some(behind), None] {
        disks[3].report = report;
        assert_eq!(proposed("a", &membership, &disks, 3900, POLICY), None, "{report:?}");
        assert!(proposed("a", &membership, &disks, 4000, POLICY).is_some(), "one that hangs counts as lost");
    }
    (disks[2].report, disks[4].report) = (Some(behind), Some(behind));
    assert_eq!(proposed("a", &membership, &disks, 60_000, POLICY), None, "no majority holds the epoch");
}

#[test]
fn one_member_too_many_is_dropped_and_an_odd_number_stays() {
    for (count, max_failures, dropped) in
        [(6, 1, true), (5, 1, false), (4, 1, true), (6, 2, true), (4, 2, false)]
    {
        let policy = MembershipPolicy { max_failures, ..POLICY };
        let (membership, disks) = first(count);
        assert_eq!(proposed("b", &membership, &disks[1..], 1400, policy), None);
        let next = proposed("b", &membership, &disks[1..], 1500, policy);
        assert_eq!(next.is_some(), dropped, "{count} members, {max_failures} max_failures");
    }
}

#[test]
fn two_that_are_gone_of_an_odd_number_are_dropped_together_where_enough_remain() {
    for (count, max_failures, next) in [(5, 1, Some("c d e")), (7, 2, Some("c d e f g")), (5, 2, None)] {
        let (membership, disks) = first(count);
        let policy = MembershipPolicy { max_failures, ..POLICY };
        assert_eq!(proposed("c", &membership, &disks[2..], 1500, policy).as_deref(), next);
        assert_eq!(proposed("b", &membership, &disks[1..], 1500, policy), None, "one takes no vote away");
    }
}

#[test]
fn a_member_leaves_where_that_takes_nothing_from_the_others() {
    let mine = ReplicaProgress { epoch: EPOCH, version: 7 };
    let end = |count: usize, more: &[LiveReplica]| {
        let (membership, mut disks) = first(count);
        disks[count - 1] = shutting_down(["c", "d", "e", "f"][count - 3]);
        disks.extend(more.iter().cloned());
        let view = MembershipView { membership: &membership, live: &disks };
        let me = disks[count - 1].member.disk.clone();
        (proposed("a", &membership, &disks, 0, POLICY), may_shut_down(&me, mine, view, POLICY))
    };
    // A restart, as far as anyone knows: it stays a member and ends.
    assert_eq!(end(5, &[]), (None, true));
    assert_eq!(end(6, &[]), (Some("a b c d e".to_owned()), false));
    assert_eq!(end(5, &[standby("new", "new")]), (Some("a b c d new".to_owned()), false));
    // One that is out already and has not ended yet is not let in again.
    assert_eq!(end(5, &[shutting_down("out")]), (None, true));
}

#[test]
fn nobody_ends_with_what_a_majority_of_the_others_does_not_hold() {
    let (membership, mut disks) = first(5);
    let newer = ReplicaProgress { epoch: EPOCH, version: 8 };
    let ends = |live: &[LiveReplica]| {
        may_shut_down(&"e".into(), newer, MembershipView { membership: &membership, live }, POLICY)
    };
    assert!(!ends(&disks));
    for (n, enough) in [(0, false), (1, false), (2, true)] {
        disks[n].report = Some(ReplicaReport { progress: newer, is_shutting_down: false });
        assert_eq!(ends(&disks), enough, "{} others", n + 1);
    }
    // Out of the membership already: those that are in it have to hold the epoch that it ended with.
    let (next, mut disks) = first(4);
    let next = Membership { epoch: EPOCH + 1, ..next };
    let mine = ReplicaProgress { epoch: EPOCH, version: 7 };
    assert!(!may_shut_down(&"e".into(), mine, MembershipView { membership: &next, live: &disks }, POLICY));
    for live in &mut disks[..3] {
        live.report = Some(ReplicaReport {
            progress: ReplicaProgress { epoch: EPOCH + 1, version: 7 },
            is_shutting_down: false,
        });
    }
    let five = Membership::new(EPOCH + 1, [next.members.clone(), vec![member("z", "z")]].concat());
    assert!(may_shut_down(&"e".into(), mine, MembershipView { membership: &five, live: &disks }, POLICY));
    assert!(
        may_shut_down(
            &"new".into(),
            ReplicaProgress::default(),
            MembershipView { membership: &five, live: &[] },
            POLICY
        ),
        "it holds nothing"
    );
}
