//! Links, connecting, failure detection, spreading updates, repair.

use ashvane_gossip::Update;
use ashvane_identifiers::{Address, NodeName};
use ashvane_node::engine::{
    AntiEntropy, DialContext, Dialer, FailureDetector, FlushTime, LinkTable, RepairContext, UpdateOrigin,
    UpdateQueue,
};
use ashvane_node::links::{ConnectionEnd, Direction};

use super::{control_node, directory, gateway, link_to, ms};

#[test]
fn of_two_connections_between_two_processes_both_sides_keep_the_same_one() {
    let (lower, higher): (Address, Address) = ("a:7080".into(), "b:7080".into());
    for lower_first in [true, false] {
        // The connection that the lower address opened is outgoing there and incoming at the other side.
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
fn an_address_is_called_once_at_a_time_and_another_in_place_of_one_that_cannot_be_reached() {
    let mut dialer = Dialer::default();
    let address: Address = "a:7080".into();
    assert!(dialer.begin(&address, ms(0)) && !dialer.begin(&address, ms(5000)), "the first is under way");
    dialer.connection_ended(&address, ConnectionEnd::NeverLinked, ms(5000));
    assert!(dialer.begin(&address, ms(5000)));
    dialer.connection_ended(&address, ConnectionEnd::NeverLinked, ms(5100));
    assert!(!dialer.begin(&address, ms(5199)) && dialer.begin(&address, ms(5200)));
    dialer.connection_ended(&address, ConnectionEnd::Unlinked, ms(5200));
    dialer.link_closed(&address);
    assert!(dialer.begin(&address, ms(5201)), "it may only have restarted");

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
    assert_eq!(first.len(), 1, "one more than may fail");
    dialer.connection_ended(&first[0], ConnectionEnd::NeverLinked, ms(0));
    let second = dialer.addresses_to_dial(context);
    assert!(second.len() == 1 && second != first);
    dialer.expire(ms(2500));
    assert_eq!(dialer.addresses_to_dial(context), first, "it is tried again after a while");
    let isolated = dialer.addresses_to_dial(DialContext { is_isolated: true, ..context });
    assert!(isolated.contains(&"seed:7080".into()) && isolated.contains(&"c:7080".into()), "{isolated:?}");
}

#[test]
fn a_process_fails_three_seconds_after_its_link_unless_this_one_is_partitioned_off() {
    let (mut detector, mut links) = (FailureDetector::default(), LinkTable::default());
    let link = link_to(&mut links, control_node("a"));
    detector.link_opened("a".into());
    assert!(detector.tick(true, &links, ms(10_000)).is_empty(), "it is linked");
    links.remove(link);
    assert!(detector.tick(true, &links, ms(10_000)).is_empty());
    assert!(detector.tick(false, &links, ms(14_000)).is_empty(), "counted anew");
    assert!(detector.tick(true, &links, ms(17_000)).is_empty());
    assert_eq!(detector.tick(true, &links, ms(17_001)), [NodeName::from("a")]);
    assert!(detector.tick(true, &links, ms(30_000)).is_empty(), "once");
}

#[test]
fn the_first_update_goes_at_once_and_those_that_follow_closely_together() {
    let mut queue = UpdateQueue::default();
    let update = |name| vec![Update::Node(gateway(name))];
    assert_eq!(queue.flush_time(ms(0)), FlushTime::NotNeeded);
    queue.push(update("a"), UpdateOrigin::Local);
    assert_eq!(queue.flush_time(ms(0)), FlushTime::Now);
    assert_eq!(queue.take(ms(0)).for_all, update("a"));
    queue.push(update("b"), UpdateOrigin::Local);
    assert_eq!(queue.flush_time(ms(10)), FlushTime::At(ms(50)));
    queue.push(update("c"), UpdateOrigin::ControlNode);
    assert_eq!(queue.flush_time(ms(20)), FlushTime::NotNeeded, "the timer is set");
    assert_eq!(queue.flush_time(ms(50)), FlushTime::Now);
    let queued = queue.take(ms(50));
    assert_eq!((queued.for_all, queued.for_subscribers), (update("b"), update("c")));
}

#[test]
fn a_difference_is_repaired_once_it_lasts_and_over_one_link_at_a_time() {
    let (mut anti_entropy, mut links) = (AntiEntropy::default(), LinkTable::default());
    let context = RepairContext {
        is_control_node: true,
        is_caught_up: true,
        is_lower_name: true,
        is_peer_member: false,
    };
    let ids = ["a", "b"].map(|name| link_to(&mut links, gateway(name)));
    let mut repairs = |links: &mut LinkTable, n: usize, context, now| {
        let link = links.get_mut(ids[n]).expect("a link");
        anti_entropy.should_repair(link, context, ms(now))
    };
    assert!(!repairs(&mut links, 0, context, 1000), "it may be on its way");
    assert!(repairs(&mut links, 0, context, 2000));
    assert!(
        !repairs(&mut links, 1, context, 2000) && !repairs(&mut links, 1, context, 2100),
        "one at a time"
    );
    assert!(repairs(&mut links, 1, context, 2700));
    let higher = RepairContext { is_lower_name: false, ..context };
    assert!((0..5).all(|n| !repairs(&mut links, 0, higher, 10_000 + n * 1000)), "the other side begins");
}

#[test]
fn members_are_compared_with_at_once_and_digests_are_due_each_second() {
    let (mut anti_entropy, mut links) = (AntiEntropy::default(), LinkTable::default());
    let member = RepairContext {
        is_control_node: true,
        is_caught_up: true,
        is_lower_name: true,
        is_peer_member: true,
    };
    for name in ["a", "b", "c"] {
        let link = link_to(&mut links, control_node(name));
        assert!(anti_entropy.should_repair(links.get_mut(link).expect("a link"), member, ms(0)));
    }
    assert!(!anti_entropy.is_digest_due(ms(999)) && anti_entropy.is_digest_due(ms(1000)));
    assert!(!anti_entropy.is_digest_due(ms(1999)) && anti_entropy.is_digest_due(ms(2000)));
}
