//! Which responses count towards the quorum that an acknowledgement requires.

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

/// Links 1, 2, ... to disks with one-letter names.
fn links(disks: &str) -> Vec<LinkedReplica> {
    let link = |(index, disk): (usize, char)| LinkedReplica {
        link: LinkId::from(index as u64 + 1),
        disk: disk.to_string().into(),
    };
    disks.chars().enumerate().map(link).collect()
}

fn ids(numbers: impl IntoIterator<Item = u64>) -> Vec<LinkId> {
    numbers.into_iter().map(LinkId::from).collect()
}

/// Records the response of a member over a link.
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
fn each_member_counts_once_and_only_over_a_link_used_for_the_request() {
    let (mut acknowledgement, mut applied) = begin(membership(1, "abcde"), own("a"));
    // Two links lead to b, and one to x, which is not a member.
    let sent_over = acknowledgement.links_to_send_over(&links("bbxc"));
    assert_eq!(sent_over, ids([1, 2, 4]), "the update is sent to members only");
    for link in [1, 2, 3, 9] {
        respond(&mut acknowledgement, link, true, 1);
    }
    respond(&mut acknowledgement, 4, false, 1);
    assert!(
        !is_done(&mut applied),
        "a and b are two of five: c has not applied the update, and responses without a request do not count"
    );
    respond(&mut acknowledgement, 4, true, 1);
    assert!(is_done(&mut applied));
}

#[test]
fn the_local_disk_counts_only_if_it_is_a_member() {
    let (mut acknowledgement, mut applied) = begin(membership(1, "abc"), own("x"));
    acknowledgement.links_to_send_over(&links("ab"));
    respond(&mut acknowledgement, 1, true, 1);
    assert!(!is_done(&mut applied));
    respond(&mut acknowledgement, 2, true, 1);
    assert!(is_done(&mut applied));
    let (_, mut alone) = begin(membership(1, "a"), own("a"));
    assert!(is_done(&mut alone), "a single member is a quorum");
    let (_, mut none) = begin(Membership::default(), own("a"));
    assert!(!is_done(&mut none), "an empty membership has no quorum");
}

/// Guards against acknowledgements that count the local disk before the update is on it.
#[test]
fn the_local_disk_counts_only_once_the_update_is_synced_to_it() {
    let (mut acknowledgement, mut applied) = begin(membership(1, "abc"), None);
    acknowledgement.links_to_send_over(&links("bc"));
    respond(&mut acknowledgement, 1, true, 1);
    assert!(!is_done(&mut applied), "b alone is no majority");
    acknowledgement.applied_locally(&"x".into());
    assert!(!is_done(&mut applied), "x is not a member");
    acknowledgement.applied_locally(&"a".into());
    assert!(is_done(&mut applied));
    let (mut acknowledgement, mut applied) = begin(membership(1, "abc"), None);
    acknowledgement.links_to_send_over(&links("bc"));
    respond(&mut acknowledgement, 1, true, 1);
    respond(&mut acknowledgement, 2, true, 1);
    assert!(is_done(&mut applied), "a majority without the local disk is enough");
}

#[test]
fn both_memberships_of_a_change_need_a_quorum() {
    // Links 1 and 2 lead to the other members of the old membership, links 4 to 6 to those of the new one.
    let begin_and_change = || {
        let (mut acknowledgement, applied) = begin(membership(1, "abc"), own("a"));
        assert_eq!(acknowledgement.links_to_send_over(&links("bcdefg")), ids([1, 2]));
        acknowledgement.membership_changed(membership(2, "aefg"));
        assert_eq!(
            acknowledgement.links_to_send_over(&links("bcdefg")),
            ids([4, 5, 6]),
            "the update is sent to the new members too"
        );
        (acknowledgement, applied)
    };
    let (mut acknowledgement, mut applied) = begin_and_change();
    respond(&mut acknowledgement, 1, true, 1);
    assert!(!is_done(&mut applied), "a quorum of the old membership is not enough");
    respond(&mut acknowledgement, 4, true, 2);
    assert!(!is_done(&mut applied), "a and e are two of four new members");
    respond(&mut acknowledgement, 5, true, 2);
    assert!(is_done(&mut applied));
    let (mut acknowledgement, mut applied) = begin_and_change();
    (4..=6).for_each(|link| respond(&mut acknowledgement, link, true, 2));
    assert!(!is_done(&mut applied), "all new members without a quorum of the old ones are not enough");
    respond(&mut acknowledgement, 2, true, 1);
    assert!(is_done(&mut applied));
}

#[test]
fn a_response_from_a_later_membership_counts_once_this_process_knows_it() {
    let (mut acknowledgement, mut applied) = begin(membership(1, "abc"), own("a"));
    acknowledgement.links_to_send_over(&links("b"));
    respond(&mut acknowledgement, 1, true, 2);
    assert!(!is_done(&mut applied), "the response may complete a quorum of the old membership only");
    acknowledgement.membership_changed(membership(2, "ab"));
    assert_eq!(acknowledgement.links_to_send_over(&links("b")), ids([1]), "the update is sent to b again");
    respond(&mut acknowledgement, 1, true, 2);
    assert!(is_done(&mut applied));
}
