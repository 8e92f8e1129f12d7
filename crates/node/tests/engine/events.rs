//! The engine as a whole: which events lead to which commands.

use ashvane_gossip::{Digest, Update};
use ashvane_identifiers::Address;
use ashvane_node::engine::{Command, Engine};
use ashvane_node::links::{Direction, LinkId, Message};
use ashvane_node::settings::Settings;
use ashvane_quorum::Replica;

use super::{control_node, gateway, membership, ms};

fn settings() -> Settings {
    let text = "node = \"a\"\nip = \"a\"\nzone = \"z\"\ninternal-ports = [7080, 7095]\nbootstrap = false\n\
                seed-nodes = [\"seed:8047\"]\nbeat-interval-ms = 1000\n[listen]\n";
    Settings::parse(text, "-").expect("the settings are valid")
}

fn control_engine() -> Engine {
    let replica = Replica::empty("a".into(), membership(1, &["a", "b", "c"]));
    Engine::new(&settings(), control_node("a"), Some(replica))
}

/// Takes the engine's commands and returns the messages to send over a link.
fn take_messages(engine: &mut Engine, link: LinkId) -> Vec<Message> {
    let to_link = |command| match command {
        Command::Send { links, message } if links.contains(&link) => Some(message),
        _ => None,
    };
    engine.take_commands().into_iter().filter_map(to_link).collect()
}

#[test]
fn a_starting_process_connects_to_its_seeds() {
    let mut engine = Engine::new(&settings(), gateway("g"), None);
    engine.tick(ms(0));
    let dialed = engine.take_commands().into_iter().filter_map(|command| match command {
        Command::Connect(address) => Some(address),
        _ => None,
    });
    assert_eq!(dialed.collect::<Vec<_>>(), [Address::from("seed:7080")]);
    engine.tick(ms(250));
    assert!(!engine.take_commands().iter().any(|command| matches!(command, Command::Connect(_))));
}

#[test]
fn a_newly_linked_control_node_receives_a_digest_and_a_replica_report() {
    let mut engine = control_engine();
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    let messages = take_messages(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::Digest(_))), "{messages:?}");
    assert!(messages.iter().any(|message| matches!(message, Message::ReplicaReport(_))), "{messages:?}");
}

#[test]
fn an_applied_numbered_update_is_acknowledged() {
    let mut engine = control_engine();
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    engine.take_commands();
    let updates = vec![Update::Membership(membership(2, &["a", "b"]))];
    engine.message_received(link, Message::Update { number: 9, updates }, ms(10));
    let acknowledgement = take_messages(&mut engine, link)
        .into_iter()
        .find(|message| matches!(message, Message::UpdateApplied { .. }));
    assert!(matches!(
        acknowledgement,
        Some(Message::UpdateApplied { number: 9, is_applied: true, epoch: 2 })
    ));
}

#[test]
fn an_operation_requires_links_to_a_quorum() {
    let mut engine = control_engine();
    assert!(engine.start_read(ms(0)).is_none(), "this process reaches one of three members");
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    engine.take_commands();
    assert!(engine.start_read(ms(0)).is_some());
    let messages = take_messages(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::ReplicaRequest { .. })));
    let mut gateway = Engine::new(&settings(), gateway("g"), None);
    assert!(gateway.start_read(ms(0)).is_none(), "a gateway has no replica");
}

#[test]
fn a_gateway_subscribes_to_a_control_node_and_requests_a_newer_version() {
    let mut engine = Engine::new(&settings(), gateway("g"), None);
    let link = engine.link_opened(control_node("a"), Direction::Outgoing, ms(0));
    engine.tick(ms(250));
    let messages = take_messages(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::VerifyQuorum { .. })), "{messages:?}");
    assert!(messages.iter().any(|message| matches!(message, Message::Subscribe(true))), "{messages:?}");
    let digest = Digest { version: 4, ..Digest::default() };
    engine.message_received(link, Message::Digest(digest), ms(300));
    let messages = take_messages(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::RequestConfig { above: 0 })));
}

#[test]
fn shutdown_is_reported_once_and_waits_until_a_quorum_holds_the_state() {
    let mut engine = control_engine();
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    engine.take_commands();
    engine.shut_down();
    let is_report =
        |message: &Message| matches!(message, Message::ReplicaReport(report) if report.is_shutting_down);
    assert!(take_messages(&mut engine, link).iter().any(is_report));
    engine.shut_down();
    assert!(take_messages(&mut engine, link).is_empty());
    assert!(engine.is_shutting_down() && !engine.may_shut_down(ms(100)), "no quorum has reported this state");
}
