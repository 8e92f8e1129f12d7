//! Links, outgoing connections, failure detection, dissemination of updates, repair of differences.

use ashvane_gossip::Update;
use ashvane_identifiers::{Address, NodeName};
use ashvane_node::engine::{
    AntiEntropy, DialContext, Dialer, FailureDetector, FlushTime, LinkTable, RepairContext, UpdateOrigin,
    UpdateQueue,
};
use ashvane_node::links::{ConnectionEnd, Direction};

use super::{control_node, directory, gateway, link_to, ms};

#[test]
fn both_sides_keep_the_same_one_of_two_connections() {
    let (lower, higher): (Address, Address) = ("a:7080".into(), "b:7080".into());
    for lower_first in [true, false] {
        // The process with the lower address opened the kept connection: outgoing for itself, incoming for
        // the peer.
        let kept = |own: &Address, peer, kept_direction: Direction, other_direction| {
            let mut links = LinkTable::default();
            let (first, second) = if lower_first {
                (kept_direction, other_direction)
            } else {
                (other_direction, kept_direction)
            };
            links.open(control_node(peer), first, ms(0));
            let new = links.open(control_node(peer), second, ms(0));
            for closed in links.redundant_with(new, own) {
                links.remove(closed);
            }
            links.iter().map(|(_, link)| link.direction).collect::<Vec<_>>()
        };
        assert_eq!(kept(&lower, "b", Direction::Outgoing, Direction::Incoming), [Direction::Outgoing]);
        assert_eq!(kept(&higher, "a", Direction::Incoming, Direction::Outgoing), [Direction::Incoming]);
    }
}

#[test]
fn an_address_is_dialed_once_at_a_time_and_an_unreachable_one_is_replaced_by_another() {
    let mut dialer = Dialer::default();
    let address: Address = "a:7080".into();
    assert!(
        dialer.begin(&address, ms(0)) && !dialer.begin(&address, ms(5000)),
        "the first attempt is in progress"
    );
    dialer.connection_ended(&address, ConnectionEnd::NeverLinked, ms(5000));
    assert!(dialer.begin(&address, ms(5000)));
    dialer.connection_ended(&address, ConnectionEnd::NeverLinked, ms(5100));
    assert!(!dialer.begin(&address, ms(5199)) && dialer.begin(&address, ms(5200)));
    dialer.connection_ended(&address, ConnectionEnd::Unlinked, ms(5200));
    dialer.link_closed(&address);
    assert!(
        dialer.begin(&address, ms(5201)),
        "a peer whose link closed may have restarted and is dialed at once"
    );

    let others = [control_node("a"), control_node("b"), control_node("c")];
    let (directory, links) = (directory(gateway("g"), &others), LinkTable::default());
    let context = DialContext {
        directory: &directory,
        links: &links,
        max_failures: 0,
        seeds: &["seed:7080".into()],
        is_isolated: false,
    };
    let mut dialer = Dialer::default();
    let first = dialer.addresses_to_dial(context);
    assert_eq!(first.len(), 1, "one control node more than may fail");
    dialer.connection_ended(&first[0], ConnectionEnd::NeverLinked, ms(0));
    let second = dialer.addresses_to_dial(context);
    assert!(second.len() == 1 && second != first);
    dialer.expire(ms(2500));
    assert_eq!(dialer.addresses_to_dial(context), first, "the unreachable period is over");
    let isolated = dialer.addresses_to_dial(DialContext { is_isolated: true, ..context });
    assert!(isolated.contains(&"seed:7080".into()) && isolated.contains(&"c:7080".into()), "{isolated:?}");
}

#[test]
fn a_process_fails_three_seconds_after_its_link_closed_unless_this_one_lacks_a_quorum() {
    let (mut detector, mut links) = (FailureDetector::default(), LinkTable::default());
    let link = link_to(&mut links, control_node("a"));
    detector.link_opened("a".into());
    assert!(detector.tick(true, &links, ms(10_000)).is_empty(), "the process is linked");
    links.remove(link);
    assert!(detector.tick(true, &links, ms(10_000)).is_empty());
    assert!(
        detector.tick(false, &links, ms(14_000)).is_empty(),
        "the time-out restarts without contact with a quorum"
    );
    assert!(detector.tick(true, &links, ms(17_000)).is_empty());
    assert_eq!(detector.tick(true, &links, ms(17_001)), [NodeName::from("a")]);
    assert!(detector.tick(true, &links, ms(30_000)).is_empty(), "a failure is reported once");
}

#[test]
fn the_first_update_is_sent_at_once_and_closely_following_ones_are_batched() {
    let mut queue = UpdateQueue::default();
    let update = |name| vec![Update::Node(gateway(name))];
    assert_eq!(queue.flush_time(ms(0)), FlushTime::NotNeeded);
    queue.push(update("a"), UpdateOrigin::Other);
    assert_eq!(queue.flush_time(ms(0)), FlushTime::Now);
    assert_eq!(queue.take(ms(0)).for_all, update("a"));
    queue.push(update("b"), UpdateOrigin::Other);
    assert_eq!(queue.flush_time(ms(10)), FlushTime::At(ms(50)));
    queue.push(update("c"), UpdateOrigin::ControlNode);
    assert_eq!(queue.flush_time(ms(20)), FlushTime::NotNeeded, "the timer is already set");
    assert_eq!(queue.flush_time(ms(50)), FlushTime::Now);
    let queued = queue.take(ms(50));
    assert_eq!((queued.for_all, queued.for_subscribers), (update("b"), update("c")));
}

#[test]
fn a_lasting_difference_is_repaired_over_one_link_at_a_time() {
    let (mut anti_entropy, mut links) = (AntiEntropy::default(), LinkTable::default());
    let context = RepairContext {
        is_control_node: true,
        is_caught_up: true,
        is_lower_name: true,
        is_peer_member: false,
    };
    let ids = ["a", "b"].map(|name| link_to(&mut links, gateway(name)));
    let mut should_repair = |links: &mut LinkTable, index: usize, context, now| {
        let link = links.get_mut(ids[index]).expect("the link is open");
        anti_entropy.should_repair(link, context, ms(now))
    };
    assert!(!should_repair(&mut links, 0, context, 1000), "the update may be in transit");
    assert!(should_repair(&mut links, 0, context, 2000));
    assert!(
        !should_repair(&mut links, 1, context, 2000) && !should_repair(&mut links, 1, context, 2100),
        "another repair started less than 700 ms ago"
    );
    assert!(should_repair(&mut links, 1, context, 2700));
    let higher_name = RepairContext { is_lower_name: false, ..context };
    assert!(
        (0..5).all(|n| !should_repair(&mut links, 0, higher_name, 10_000 + n * 1000)),
        "the peer with the lower name starts the repair"
    );
}

#[test]
fn members_are_compared_at_once_and_digests_are_due_each_second() {
    let (mut anti_entropy, mut links) = (AntiEntropy::default(), LinkTable::default());
    let member = RepairContext {
        is_control_node: true,
        is_caught_up: true,
        is_lower_name: true,
        is_peer_member: true,
    };
    for name in ["a", "b", "c"] {
        let link = link_to(&mut links, control_node(name));
        assert!(anti_entropy.should_repair(links.get_mut(link).expect("the link is open"), member, ms(0)));
    }
    assert!(!anti_entropy.is_digest_due(ms(999)) && anti_entropy.is_digest_due(ms(1000)));
    assert!(!anti_entropy.is_digest_due(ms(1999)) && anti_entropy.is_digest_due(ms(2000)));
}
