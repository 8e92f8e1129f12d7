//! Contact with a quorum, readiness, the orphan monitor role, the saved server list.

use ashvane_gossip::{Liveness, LivenessAuthority, OrphanMonitorTerm, Server, ServerState, Update};
use ashvane_node::engine::{
    ClaimResult, LinkTable, OrphanMonitorRole, QuorumContact, Readiness, ServerHints, TICK_INTERVAL,
    VerificationRequest, VerificationRequests, WaitState, is_first_control_node,
};

use super::{control_node, directory, gateway, link_to, membership, ms};

#[test]
fn a_control_node_has_contact_over_live_links_and_a_gateway_through_a_control_node() {
    let mut directory_of_a = directory(control_node("a"), &[]);
    directory_of_a.apply(Update::Membership(membership(1, &["a", "b", "c"])), ms(0));
    let mut links = LinkTable::default();
    let contact =
        |links: &LinkTable, now| QuorumContact { directory: &directory_of_a, links, now: ms(now) }.exists();
    assert!(!contact(&links, 0));
    let to_b = link_to(&mut links, control_node("b"));
    assert!(
        contact(&links, 2599) && !contact(&links, 2600),
        "two of three members until the link to b times out"
    );
    links.get_mut(to_b).expect("the link is open").has_applied_peer_entries = true;
    let caught_up = QuorumContact { directory: &directory_of_a, links: &links, now: ms(0) };
    assert!(caught_up.has_caught_up());

    let directory_of_g = directory(gateway("g"), &[]);
    let contact =
        |links: &LinkTable| QuorumContact { directory: &directory_of_g, links, now: ms(0) }.exists();
    assert!(contact(&links));
    links.get_mut(to_b).expect("the link is open").lacks_quorum = true;
    assert!(!contact(&links) && !contact(&LinkTable::default()));
}

#[test]
fn a_gateway_catches_up_with_a_verified_control_node_or_its_wait_times_out() {
    let (mut readiness, mut links) = (Readiness::for_gateway(), LinkTable::default());
    let link = link_to(&mut links, control_node("a"));
    assert_eq!(readiness.links_to_verify(&links, ms(0)), [link]);
    let request = VerificationRequest { number: 1, requested_at: ms(0) };
    links.get_mut(link).expect("the link is open").verification = Some(request);
    assert!(readiness.links_to_verify(&links, ms(999)).is_empty());
    assert_eq!(
        readiness.links_to_verify(&links, ms(1000)),
        [link],
        "the request is repeated after the retry interval"
    );
    links.get_mut(link).expect("the link is open").has_applied_peer_entries = true;
    assert!(!readiness.catch_up_if_verified(&links, 4), "entries applied, but the quorum is not verified");
    links.get_mut(link).expect("the link is open").verified_version = Some(5);
    assert!(
        !readiness.catch_up_if_verified(&links, 4),
        "the configuration in force at the control node is missing"
    );
    assert!(
        readiness.catch_up_if_verified(&links, 5) && !readiness.catch_up_if_verified(&links, 5),
        "the transition is reported once"
    );
    assert!(readiness.is_current() && readiness.links_to_verify(&links, ms(9000)).is_empty());

    let mut readiness = Readiness::for_gateway();
    let ticks = ms(30_000).as_millis() / TICK_INTERVAL.as_millis();
    assert!((1..ticks).all(|_| readiness.tick() == WaitState::Unchanged) && !readiness.is_current());
    assert_eq!(readiness.tick(), WaitState::TimedOut);
    assert!(readiness.is_current() && !readiness.is_caught_up());
}

#[test]
fn one_read_answers_all_pending_requests_and_later_ones_wait_for_the_next_read() {
    let mut links = LinkTable::default();
    let [a, b] = ["a", "b"].map(|name| link_to(&mut links, gateway(name)));
    let mut requests = VerificationRequests::default();
    assert!(requests.begin().is_none());
    requests.push(a, 1);
    requests.push(a, 2);
    requests.push(b, 7);
    assert_eq!(requests.begin(), Some([(a, 2), (b, 7)].into()), "the last request over each link counts");
    requests.push(a, 3);
    assert!(requests.begin().is_none(), "a read is in progress");
    requests.end();
    assert_eq!(requests.begin(), Some([(a, 3)].into()));
}

#[test]
fn the_orphan_monitor_acts_only_under_the_highest_term_and_with_a_quorum() {
    let mut known = directory(control_node("a"), &[control_node("b")]);
    known.apply(Update::Membership(membership(1, &["a", "b", "c"])), ms(0));
    let mut links = LinkTable::default();
    assert!(!is_first_control_node(&known, &links), "this process reaches one of three members");
    link_to(&mut links, control_node("b"));
    assert!(is_first_control_node(&known, &links));

    let mut role = OrphanMonitorRole::default();
    assert_eq!(role.authority(true, &known), LivenessAuthority::Monitored);
    assert!(role.is_claimable(true, &known) && !role.is_claimable(false, &known));
    role.claim_started();
    assert!(!role.is_claimable(true, &known), "a claim is in progress");
    let term = known.next_orphan_monitor_term().expect("no later membership is known");
    known.apply(Update::OrphanMonitor(term.clone()), ms(0));
    role.claim_ended(term.clone(), ClaimResult::Acknowledged);
    assert!(role.is_held(&known) && !role.is_claimable(true, &known));
    assert_eq!(role.authority(true, &known), LivenessAuthority::MonitoredAndOrphans(term.clone()));
    assert_eq!(
        role.authority(false, &known),
        LivenessAuthority::None,
        "without contact with a quorum, this process may be partitioned"
    );
    let higher = OrphanMonitorTerm { round: term.round + 1, holder: "b".into(), ..term };
    known.apply(Update::OrphanMonitor(higher), ms(0));
    assert!(!role.is_held(&known) && role.is_claimable(true, &known));
    assert_eq!(role.authority(true, &known), LivenessAuthority::Monitored, "the role was released");
}

#[test]
fn changed_servers_are_saved_periodically_and_a_stopping_one_at_once() {
    let mut hints = ServerHints::default();
    assert!(!hints.should_save(1, ms(1999)) && hints.should_save(1, ms(2000)));
    assert!(!hints.should_save(1, ms(9000)), "the revision has not changed");
    assert!(hints.should_save(2, ms(9000)) && !hints.should_save(3, ms(9001)));
    let server = Server {
        id: "i-1".into(),
        service: "s".into(),
        address: "x:1".into(),
        zone: "z".into(),
        capacity: 1,
        state: ServerState::Draining,
        inferred_from: None,
        heartbeat_sequence: 1,
        liveness: Liveness::Alive,
        monitor: "a".into(),
    };
    hints.observe(&[Update::Server(Server { state: ServerState::Ready, ..server.clone() })]);
    assert!(!hints.should_save(4, ms(9002)));
    hints.observe(&[Update::Server(server)]);
    assert!(hints.should_save(5, ms(9003)));
}
