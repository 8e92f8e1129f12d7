//! Which answers make up the majority that an acknowledgement waits for.

use ashvane_gossip::{OrphanMonitorTerm, Update};
use ashvane_node::engine::{LinkedReplica, QuorumAcknowledgement, UpdateResponse};
use ashvane_node::links::LinkId;
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
fn links(disks: &str) -> Vec<LinkedReplica> {
    let link = |(n, disk): (usize, char)| LinkedReplica {
        link: LinkId::from(n as u64 + 1),
        disk: disk.to_string().into(),
    };
    disks.chars().enumerate().map(link).collect()
}

fn ids(numbers: impl IntoIterator<Item = u64>) -> Vec<LinkId> {
    numbers.into_iter().map(LinkId::from).collect()
}

/// A member answers over a link.
fn respond(acknowledgement: &mut QuorumAcknowledgement, link: u64, is_applied: bool, epoch: u64) {
    acknowledgement.response_received(link.into(), UpdateResponse { is_applied, epoch });
}

fn begin(membership: Membership, own: Option<DiskId>) -> (QuorumAcknowledgement, Receiver<()>) {
    let (done, applied) = oneshot::channel();
    (
        QuorumAcknowledgement::new(
            Update::OrphanMonitor(OrphanMonitorTerm::default()),
            membership,
            own,
            done,
        ),
        applied,
    )
}

fn is_done(applied: &mut Receiver<()>) -> bool {
    applied.try_recv().is_ok()
}

#[test]
fn only_members_count_each_once_and_over_the_link_that_was_asked() {
    let (mut acknowledgement, mut applied) = begin(membership(1, "abcde"), own("a"));
    // Two links to b, one to somebody who is no member.
    let sent_over = acknowledgement.links_to_send_over(&links("bbxc"));
    assert_eq!(sent_over, ids([1, 2, 4]), "who is no member is not asked");
    for link in [1, 2, 3, 9] {
        respond(&mut acknowledgement, link, true, 1);
    }
    respond(&mut acknowledgement, 4, false, 1);
    assert!(
        !is_done(&mut applied),
        "a and b are two of five; c refuses, and what was not asked counts for nothing"
    );
    respond(&mut acknowledgement, 4, true, 1);
    assert!(is_done(&mut applied));
}

#[test]
fn who_asks_counts_only_where_it_is_a_member() {
    let (mut acknowledgement, mut applied) = begin(membership(1, "abc"), own("x"));
    acknowledgement.links_to_send_over(&links("ab"));
    respond(&mut acknowledgement, 1, true, 1);
    assert!(!is_done(&mut applied));
    respond(&mut acknowledgement, 2, true, 1);
    assert!(is_done(&mut applied));
    let (_, mut alone) = begin(membership(1, "a"), own("a"));
    assert!(is_done(&mut alone), "the only member is a majority");
    let (_, mut none) = begin(Membership::default(), own("a"));
    assert!(!is_done(&mut none), "of no members there is no majority");
}

#[test]
fn across_a_change_both_memberships_need_their_majority() {
    // Links 1 and 2 reach the other members of the old one, 4 to 6 those of the new one.
    let begun = || {
        let (mut acknowledgement, applied) = begin(membership(1, "abc"), own("a"));
        assert_eq!(acknowledgement.links_to_send_over(&links("bcdefg")), ids([1, 2]));
        acknowledgement.membership_changed(membership(2, "aefg"));
        assert_eq!(
            acknowledgement.links_to_send_over(&links("bcdefg")),
            ids([4, 5, 6]),
            "the new members are asked as well"
        );
        (acknowledgement, applied)
    };
    let (mut acknowledgement, mut applied) = begun();
    respond(&mut acknowledgement, 1, true, 1);
    assert!(!is_done(&mut applied), "a majority of the old one is not enough");
    respond(&mut acknowledgement, 4, true, 2);
    assert!(!is_done(&mut applied), "a and e are two of four");
    respond(&mut acknowledgement, 5, true, 2);
    assert!(is_done(&mut applied));
    let (mut acknowledgement, mut applied) = begun();
    (4..=6).for_each(|link| respond(&mut acknowledgement, link, true, 2));
    assert!(!is_done(&mut applied), "all of the new one are not enough");
    respond(&mut acknowledgement, 2, true, 1);
    assert!(is_done(&mut applied));
}

#[test]
fn an_answer_from_a_later_membership_counts_once_that_is_known_here() {
    let (mut acknowledgement, mut applied) = begin(membership(1, "abc"), own("a"));
    acknowledgement.links_to_send_over(&links("b"));
    respond(&mut acknowledgement, 1, true, 2);
    assert!(!is_done(&mut applied), "it may be the last of the old ones that says yes");
    acknowledgement.membership_changed(membership(2, "ab"));
    assert_eq!(acknowledgement.links_to_send_over(&links("b")), ids([1]), "it is asked again");
    respond(&mut acknowledgement, 1, true, 2);
    assert!(is_done(&mut applied));
}
