//! Which answers make up the majority that an acknowledgement waits for.

use ashvane_gossip::{OrphanMonitorTerm, Update};
use ashvane_node::confirmation::Confirmation;
use ashvane_quorum::{DiskId, Member, Membership};
use tokio::sync::oneshot::{self, Receiver};

fn membership(epoch: u64, disks: &str) -> Membership {
    let member = |disk: char| Member { disk: disk.to_string().into(), address: disk.to_string().into() };
    Membership::new(epoch, disks.chars().map(member).collect())
}

fn own(disk: &str) -> Option<DiskId> {
    Some(disk.into())
}

/// Links 1, 2, ... to the disks named.
fn links(disks: &str) -> Vec<(u64, DiskId)> {
    disks.chars().enumerate().map(|(n, disk)| (n as u64 + 1, disk.to_string().into())).collect()
}

fn begin(membership: Membership, own: Option<DiskId>) -> (Confirmation, Receiver<()>) {
    let (done, confirmed) = oneshot::channel();
    (Confirmation::new(Update::OrphanMonitor(OrphanMonitorTerm::default()), membership, own, done), confirmed)
}

fn is_done(confirmed: &mut Receiver<()>) -> bool {
    confirmed.try_recv().is_ok()
}

#[test]
fn only_members_count_each_once_and_over_the_link_that_was_asked() {
    let (mut confirmation, mut confirmed) = begin(membership(1, "abcde"), own("a"));
    // Two links to b, one to somebody who is no member.
    let asked = confirmation.ask(&links("bbxc"));
    assert_eq!(asked, [1, 2, 4], "who is no member is not asked");
    for link in [1, 2, 3, 9] {
        confirmation.answered(link, true, 1);
    }
    confirmation.answered(4, false, 1);
    assert!(
        !is_done(&mut confirmed),
        "a and b are two of five; c refuses, and what was not asked counts for nothing"
    );
    confirmation.answered(4, true, 1);
    assert!(is_done(&mut confirmed));
}

#[test]
fn who_asks_counts_only_where_it_is_a_member() {
    let (mut confirmation, mut confirmed) = begin(membership(1, "abc"), own("x"));
    confirmation.ask(&links("ab"));
    confirmation.answered(1, true, 1);
    assert!(!is_done(&mut confirmed));
    confirmation.answered(2, true, 1);
    assert!(is_done(&mut confirmed));
    let (_, mut alone) = begin(membership(1, "a"), own("a"));
    assert!(is_done(&mut alone), "the only member is a majority");
    let (_, mut none) = begin(Membership::default(), own("a"));
    assert!(!is_done(&mut none), "of no members there is no majority");
}

#[test]
fn across_a_change_both_memberships_need_their_majority() {
    // Links 1 and 2 reach the other members of the old one, 4 to 6 those of the new one.
    let begun = || {
        let (mut confirmation, confirmed) = begin(membership(1, "abc"), own("a"));
        assert_eq!(confirmation.ask(&links("bcdefg")), [1, 2]);
        confirmation.membership_changed(membership(2, "aefg"));
        assert_eq!(confirmation.ask(&links("bcdefg")), [4, 5, 6], "the new members are asked as well");
        (confirmation, confirmed)
    };
    let (mut confirmation, mut confirmed) = begun();
    confirmation.answered(1, true, 1);
    assert!(!is_done(&mut confirmed), "a majority of the old one is not enough");
    confirmation.answered(4, true, 2);
    assert!(!is_done(&mut confirmed), "a and e are two of four");
    confirmation.answered(5, true, 2);
    assert!(is_done(&mut confirmed));
    let (mut confirmation, mut confirmed) = begun();
    (4..=6).for_each(|link| confirmation.answered(link, true, 2));
    assert!(!is_done(&mut confirmed), "all of the new one are not enough");
    confirmation.answered(2, true, 1);
    assert!(is_done(&mut confirmed));
}

#[test]
fn an_answer_from_a_later_membership_counts_once_that_is_known_here() {
    let (mut confirmation, mut confirmed) = begin(membership(1, "abc"), own("a"));
    confirmation.ask(&links("b"));
    confirmation.answered(1, true, 2);
    assert!(!is_done(&mut confirmed), "it may be the last of the old ones that says yes");
    confirmation.membership_changed(membership(2, "ab"));
    assert_eq!(confirmation.ask(&links("b")), [1], "it is asked again");
    confirmation.answered(1, true, 2);
    assert!(is_done(&mut confirmed));
}
