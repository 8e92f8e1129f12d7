//! The engine as a whole: what events lead to which commands.

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
    Settings::parse(text, "-").expect("settings")
}

fn control_engine() -> Engine {
    let replica = Replica::empty("a".into(), membership(1, &["a", "b", "c"]));
    Engine::new(&settings(), control_node("a"), Some(replica))
}

/// What an engine wants sent over a link.
fn sent(engine: &mut Engine, link: LinkId) -> Vec<Message> {
    let to_link = |command| match command {
        Command::Send { links, message } if links.contains(&link) => Some(message),
        _ => None,
    };
    engine.take_commands().into_iter().filter_map(to_link).collect()
}

#[test]
fn a_process_that_starts_calls_its_seeds() {
    let mut engine = Engine::new(&settings(), gateway("g"), None);
    engine.tick(ms(0));
    let called = engine.take_commands().into_iter().filter_map(|command| match command {
        Command::Connect(address) => Some(address),
        _ => None,
    });
    assert_eq!(called.collect::<Vec<_>>(), [Address::from("seed:7080")]);
    engine.tick(ms(250));
    assert!(!engine.take_commands().iter().any(|command| matches!(command, Command::Connect(_))));
}

#[test]
fn a_new_control_node_is_told_what_this_one_knows_and_holds() {
    let mut engine = control_engine();
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    let messages = sent(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::Digest(_))), "{messages:?}");
    assert!(messages.iter().any(|message| matches!(message, Message::ReplicaReport(_))), "{messages:?}");
}

#[test]
fn a_numbered_update_is_answered_once_it_is_applied() {
    let mut engine = control_engine();
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    engine.take_commands();
    let updates = vec![Update::Membership(membership(2, &["a", "b"]))];
    engine.message_received(link, Message::Update { number: 9, updates }, ms(10));
    let answer = sent(&mut engine, link).into_iter().find(|m| matches!(m, Message::UpdateApplied { .. }));
    assert!(matches!(answer, Some(Message::UpdateApplied { number: 9, is_applied: true, epoch: 2 })));
}

#[test]
fn an_operation_needs_a_quorum_that_is_linked() {
    let mut engine = control_engine();
    assert!(engine.start_read(ms(0)).is_none(), "one of three");
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    engine.take_commands();
    assert!(engine.start_read(ms(0)).is_some());
    let messages = sent(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::ReplicaRequest { .. })));
    let mut gateway = Engine::new(&settings(), gateway("g"), None);
    assert!(gateway.start_read(ms(0)).is_none(), "it has no replica");
}

#[test]
fn a_newer_version_is_requested_and_a_gateway_subscribes_to_a_control_node() {
    let mut engine = Engine::new(&settings(), gateway("g"), None);
    let link = engine.link_opened(control_node("a"), Direction::Outgoing, ms(0));
    engine.tick(ms(250));
    let messages = sent(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::VerifyQuorum { .. })), "{messages:?}");
    assert!(messages.iter().any(|message| matches!(message, Message::Subscribe(true))), "{messages:?}");
    let digest = Digest { version: 4, ..Digest::default() };
    engine.message_received(link, Message::Digest(digest), ms(300));
    let messages = sent(&mut engine, link);
    assert!(messages.iter().any(|message| matches!(message, Message::RequestConfig { above: 0 })));
}

#[test]
fn a_process_that_shuts_down_says_so_once_and_ends_when_it_is_not_missed() {
    let mut engine = control_engine();
    let link = engine.link_opened(control_node("b"), Direction::Incoming, ms(0));
    engine.take_commands();
    engine.shut_down();
    let is_report =
        |message: &Message| matches!(message, Message::ReplicaReport(report) if report.is_shutting_down);
    assert!(sent(&mut engine, link).iter().any(is_report));
    engine.shut_down();
    assert!(sent(&mut engine, link).is_empty());
    assert!(engine.is_shutting_down() && !engine.may_shut_down(ms(100)), "nobody holds what it holds");
}
