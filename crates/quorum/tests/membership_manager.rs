//! Membership manager: which process coordinates a change, when a change is due, and which members it plans.

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

/// Returns a live member that has reported the state of the epoch.
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
    live.report.as_mut().expect("a live replica has a report").is_shutting_down = true;
    live
}

/// Returns a membership of `count` members with the disks a, b, c and so on, all of them live.
fn members(count: usize) -> (Membership, Vec<LiveReplica>) {
    let live: Vec<LiveReplica> =
        ["a", "b", "c", "d", "e", "f", "g"][..count].iter().map(|d| live(d)).collect();
    (Membership::new(EPOCH, live.iter().map(|l| l.member.clone()).collect()), live)
}

/// Returns the disks of the members that `own` plans if the view has been unchanged for `elapsed_ms`.
fn plan(
    own: &str, membership: &Membership, live: &[LiveReplica], elapsed_ms: u64, policy: MembershipPolicy,
) -> Option<String> {
    let (view, mut planner) = (MembershipView { membership, live }, MembershipPlanner::new(policy));
    planner.observe(NOW, view);
    let next = planner.plan_change(NOW + Duration::from_millis(elapsed_ms), &own.into(), view)?;
    Some(next.iter().map(|m| m.disk.as_str()).collect::<Vec<_>>().join(" "))
}

#[test]
fn a_wiped_disk_is_replaced_immediately_and_an_unreachable_one_after_the_time_out() {
    let (membership, mut replicas) = members(5);
    replicas[4] = standby("new", "e");
    assert_eq!(plan("a", &membership, &replicas, 0, POLICY).as_deref(), Some("a b c d new"));
    replicas[4] = standby("new", "elsewhere");
    assert_eq!(
        plan("a", &membership, &replicas, 1400, POLICY),
        None,
        "an unreachable member may return before the time-out"
    );
    assert_eq!(plan("a", &membership, &replicas, 1500, POLICY).as_deref(), Some("a b c d new"));
    replicas.push(live("e"));
    assert_eq!(
        plan("a", &membership, &replicas, 0, POLICY).as_deref(),
        Some("a b c d e new"),
        "a standby is added when all members are live"
    );
}

#[test]
fn only_the_first_live_member_that_is_not_shutting_down_coordinates_and_only_with_a_quorum() {
    let (membership, mut replicas) = members(5);
    replicas.push(standby("f", "f"));
    replicas[5].report = None;
    assert_eq!(plan("a", &membership, &replicas, 0, POLICY), None, "a standby must have sent a report");
    replicas[5].report = Some(ReplicaReport::default());
    assert_eq!(plan("b", &membership, &replicas, 0, POLICY), None);
    assert!(plan("a", &membership, &replicas, 0, POLICY).is_some());
    replicas[0] = shutting_down("a");
    assert_eq!(plan("a", &membership, &replicas, 0, POLICY), None);
    assert_eq!(plan("b", &membership, &replicas, 0, POLICY).as_deref(), Some("b c d e f"));
    let minority = [replicas[1].clone(), replicas[2].clone(), replicas[5].clone()];
    assert_eq!(
        plan("b", &membership, &minority, 60_000, POLICY),
        None,
        "two of five members are not a quorum"
    );
}

#[test]
fn the_next_change_waits_until_each_live_member_has_reported_the_state_of_the_epoch() {
    let (membership, mut replicas) = members(5);
    replicas.push(standby("f", "f"));
    let behind =
        ReplicaReport { progress: ReplicaProgress { epoch: EPOCH - 1, version: 7 }, is_shutting_down: false };
    for report in [Some(behind), None] {
        replicas[3].report = report;
        assert_eq!(plan("a", &membership, &replicas, 3900, POLICY), None, "{report:?}");
        assert!(
            plan("a", &membership, &replicas, 4000, POLICY).is_some(),
            "a member that stays behind is ignored after catch_up"
        );
    }
    (replicas[2].report, replicas[4].report) = (Some(behind), Some(behind));
    assert_eq!(
        plan("a", &membership, &replicas, 60_000, POLICY),
        None,
        "no quorum has the state of the epoch"
    );
}

#[test]
fn a_failed_member_is_removed_from_an_even_but_not_from_an_odd_number_of_members() {
    for (count, max_failures, is_removed) in
        [(6, 1, true), (5, 1, false), (4, 1, true), (6, 2, true), (4, 2, false)]
    {
        let policy = MembershipPolicy { max_failures, ..POLICY };
        let (membership, replicas) = members(count);
        assert_eq!(plan("b", &membership, &replicas[1..], 1400, policy), None);
        let next = plan("b", &membership, &replicas[1..], 1500, policy);
        assert_eq!(next.is_some(), is_removed, "{count} members, {max_failures} max_failures");
    }
}

#[test]
fn two_failed_members_of_an_odd_number_are_removed_together_if_enough_remain() {
    for (count, max_failures, next) in [(5, 1, Some("c d e")), (7, 2, Some("c d e f g")), (5, 2, None)] {
        let (membership, replicas) = members(count);
        let policy = MembershipPolicy { max_failures, ..POLICY };
        assert_eq!(plan("c", &membership, &replicas[2..], 1500, policy).as_deref(), next);
        assert_eq!(
            plan("b", &membership, &replicas[1..], 1500, policy),
            None,
            "removing one member does not make the quorum smaller"
        );
    }
}

#[test]
fn a_member_that_shuts_down_is_removed_if_that_does_not_weaken_the_membership() {
    let progress = ReplicaProgress { epoch: EPOCH, version: 7 };
    let result = |count: usize, additional: &[LiveReplica]| {
        let (membership, mut replicas) = members(count);
        replicas[count - 1] = shutting_down(["c", "d", "e", "f"][count - 3]);
        replicas.extend(additional.iter().cloned());
        let view = MembershipView { membership: &membership, live: &replicas };
        let own = replicas[count - 1].member.disk.clone();
        (plan("a", &membership, &replicas, 0, POLICY), may_shut_down(&own, progress, view, POLICY))
    };
    // The process may be restarting, so it exits as a member.
    assert_eq!(result(5, &[]), (None, true));
    assert_eq!(result(6, &[]), (Some("a b c d e".to_owned()), false));
    assert_eq!(result(5, &[standby("new", "new")]), (Some("a b c d new".to_owned()), false));
    // A process that has left the membership but not exited yet is not a standby.
    assert_eq!(result(5, &[shutting_down("out")]), (None, true));
}

#[test]
fn a_process_exits_only_when_a_majority_of_the_others_has_its_state() {
    let (membership, mut replicas) = members(5);
    let newer_progress = ReplicaProgress { epoch: EPOCH, version: 8 };
    let may_exit = |live: &[LiveReplica]| {
        may_shut_down(&"e".into(), newer_progress, MembershipView { membership: &membership, live }, POLICY)
    };
    assert!(!may_exit(&replicas));
    for (n, is_quorum) in [(0, false), (1, false), (2, true)] {
        replicas[n].report = Some(ReplicaReport { progress: newer_progress, is_shutting_down: false });
        assert_eq!(may_exit(&replicas), is_quorum, "{} other members have the state", n + 1);
    }
    // The process has left the membership: a majority of the members must have the state of the new epoch.
    let (next, mut replicas) = members(4);
    let next = Membership { epoch: EPOCH + 1, ..next };
    let progress = ReplicaProgress { epoch: EPOCH, version: 7 };
    assert!(!may_shut_down(
        &"e".into(),
        progress,
        MembershipView { membership: &next, live: &replicas },
        POLICY
    ));
    for live in &mut replicas[..3] {
        live.report = Some(ReplicaReport {
            progress: ReplicaProgress { epoch: EPOCH + 1, version: 7 },
            is_shutting_down: false,
        });
    }
    let five = Membership::new(EPOCH + 1, [next.members.clone(), vec![member("z", "z")]].concat());
    assert!(may_shut_down(
        &"e".into(),
        progress,
        MembershipView { membership: &five, live: &replicas },
        POLICY
    ));
    assert!(
        may_shut_down(
            &"new".into(),
            ReplicaProgress::default(),
            MembershipView { membership: &five, live: &[] },
            POLICY
        ),
        "an empty replica that was never a member may always exit"
    );
}
