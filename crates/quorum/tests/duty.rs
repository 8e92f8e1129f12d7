//! The duty over the membership, move by move: who acts, when, and what it proposes.

use std::time::Duration;

use ashvane_quorum::duty::{DiskReport, Held, Limits, LiveDisk, View, Watch, may_end};
use ashvane_quorum::{Member, Membership};

const NOW: Duration = Duration::from_secs(100);
const EPOCH: u64 = 3;
const LIMITS: Limits = Limits { catch_up: Duration::from_secs(4), losses: 1 };

fn member(disk: &str, address: &str) -> Member {
    Member { disk: disk.into(), address: address.to_owned() }
}

/// In sight, holding the state of the epoch.
fn live(disk: &str) -> LiveDisk {
    let report = DiskReport { held: Held { epoch: EPOCH, version: 7 }, leaving: false };
    LiveDisk { member: member(disk, disk), report: Some(report) }
}

fn waiting(disk: &str, address: &str) -> LiveDisk {
    LiveDisk { member: member(disk, address), report: Some(DiskReport::default()) }
}

fn leaving(disk: &str) -> LiveDisk {
    let mut live = live(disk);
    live.report.as_mut().expect("a report").leaving = true;
    live
}

/// Members a, b, c and so on.
fn first(many: usize) -> (Membership, Vec<LiveDisk>) {
    let live: Vec<LiveDisk> = ["a", "b", "c", "d", "e", "f", "g"][..many].iter().map(|d| live(d)).collect();
    (Membership::new(EPOCH, live.iter().map(|l| l.member.clone()).collect()), live)
}

/// What `me` proposes when this has been so for a while.
fn proposed(
    me: &str, membership: &Membership, live: &[LiveDisk], for_ms: u64, limits: Limits,
) -> Option<String> {
    let (view, mut watch) = (View { membership, live }, Watch::new(limits));
    watch.look(NOW, view);
    let next = watch.next(NOW + Duration::from_millis(for_ms), me, view)?;
    Some(next.iter().map(|m| &*m.disk).collect::<Vec<_>>().join(" "))
}

#[test]
fn a_wiped_disk_is_replaced_at_once_and_a_lost_one_once_it_is_given_up() {
    let (membership, mut disks) = first(5);
    disks[4] = waiting("new", "e");
    assert_eq!(proposed("a", &membership, &disks, 0, LIMITS).as_deref(), Some("a b c d new"));
    disks[4] = waiting("new", "elsewhere");
    assert_eq!(proposed("a", &membership, &disks, 1400, LIMITS), None, "it may be back");
    assert_eq!(proposed("a", &membership, &disks, 1500, LIMITS).as_deref(), Some("a b c d new"));
    disks.push(live("e"));
    assert_eq!(
        proposed("a", &membership, &disks, 0, LIMITS).as_deref(),
        Some("a b c d e new"),
        "all are there"
    );
}

#[test]
fn only_the_first_in_sight_that_stays_acts_and_only_with_a_majority() {
    let (membership, mut disks) = first(5);
    disks.push(waiting("f", "f"));
    disks[5].report = None;
    assert_eq!(proposed("a", &membership, &disks, 0, LIMITS), None, "nothing was said of it yet");
    disks[5].report = Some(DiskReport::default());
    assert_eq!(proposed("b", &membership, &disks, 0, LIMITS), None);
    assert!(proposed("a", &membership, &disks, 0, LIMITS).is_some());
    disks[0] = leaving("a");
    assert_eq!(proposed("a", &membership, &disks, 0, LIMITS), None);
    assert_eq!(proposed("b", &membership, &disks, 0, LIMITS).as_deref(), Some("b c d e f"));
    let few = [disks[1].clone(), disks[2].clone(), disks[5].clone()];
    assert_eq!(proposed("b", &membership, &few, 60_000, LIMITS), None, "two of five decide nothing");
}

#[test]
fn the_next_change_waits_until_each_member_in_sight_has_said_that_it_holds_the_epoch() {
    let (membership, mut disks) = first(5);
    disks.push(waiting("f", "f"));
    let behind = DiskReport { held: Held { epoch: EPOCH - 1, version: 7 }, leaving: false };
    for report in [Some(behind), None] {
        disks[3].report = report;
        assert_eq!(proposed("a", &membership, &disks, 3900, LIMITS), None, "{report:?}");
        assert!(proposed("a", &membership, &disks, 4000, LIMITS).is_some(), "one that hangs counts as lost");
    }
    (disks[2].report, disks[4].report) = (Some(behind), Some(behind));
    assert_eq!(proposed("a", &membership, &disks, 60_000, LIMITS), None, "no majority holds the epoch");
}

#[test]
fn one_member_too_many_is_dropped_and_an_odd_number_stays() {
    for (many, losses, dropped) in [(6, 1, true), (5, 1, false), (4, 1, true), (6, 2, true), (4, 2, false)] {
        let limits = Limits { losses, ..LIMITS };
        let (membership, disks) = first(many);
        assert_eq!(proposed("b", &membership, &disks[1..], 1400, limits), None);
        let next = proposed("b", &membership, &disks[1..], 1500, limits);
        assert_eq!(next.is_some(), dropped, "{many} members, {losses} losses");
    }
}

#[test]
fn two_that_are_gone_of_an_odd_number_are_dropped_together_where_enough_remain() {
    for (many, losses, next) in [(5, 1, Some("c d e")), (7, 2, Some("c d e f g")), (5, 2, None)] {
        let (membership, disks) = first(many);
        let limits = Limits { losses, ..LIMITS };
        assert_eq!(proposed("c", &membership, &disks[2..], 1500, limits).as_deref(), next);
        assert_eq!(proposed("b", &membership, &disks[1..], 1500, limits), None, "one takes no vote away");
    }
}

#[test]
fn a_member_leaves_where_that_takes_nothing_from_the_others() {
    let mine = Held { epoch: EPOCH, version: 7 };
    let end = |many: usize, more: &[LiveDisk]| {
        let (membership, mut disks) = first(many);
        disks[many - 1] = leaving(["c", "d", "e", "f"][many - 3]);
        disks.extend(more.iter().cloned());
        let view = View { membership: &membership, live: &disks };
        let me = disks[many - 1].member.disk.clone();
        (proposed("a", &membership, &disks, 0, LIMITS), may_end(&me, mine, view, LIMITS))
    };
    // A restart, as far as anyone knows: it stays a member and ends.
    assert_eq!(end(5, &[]), (None, true));
    assert_eq!(end(6, &[]), (Some("a b c d e".to_owned()), false));
    assert_eq!(end(5, &[waiting("new", "new")]), (Some("a b c d new".to_owned()), false));
}

#[test]
fn nobody_ends_with_what_a_majority_of_the_others_does_not_hold() {
    let (membership, mut disks) = first(5);
    let newer = Held { epoch: EPOCH, version: 8 };
    let ends = |live: &[LiveDisk]| may_end("e", newer, View { membership: &membership, live }, LIMITS);
    assert!(!ends(&disks));
    for (n, enough) in [(0, false), (1, false), (2, true)] {
        disks[n].report = Some(DiskReport { held: newer, leaving: false });
        assert_eq!(ends(&disks), enough, "{} others", n + 1);
    }
    // Out of the membership already: those that are in it have to hold the epoch that it ended with.
    let (next, mut disks) = first(4);
    let next = Membership { epoch: EPOCH + 1, ..next };
    let mine = Held { epoch: EPOCH, version: 7 };
    assert!(!may_end("e", mine, View { membership: &next, live: &disks }, LIMITS));
    for live in &mut disks[..3] {
        live.report = Some(DiskReport { held: Held { epoch: EPOCH + 1, version: 7 }, leaving: false });
    }
    let five = Membership::new(EPOCH + 1, [next.members.clone(), vec![member("z", "z")]].concat());
    assert!(may_end("e", mine, View { membership: &five, live: &disks }, LIMITS));
    assert!(
        may_end("new", Held::default(), View { membership: &five, live: &[] }, LIMITS),
        "it holds nothing"
    );
}
