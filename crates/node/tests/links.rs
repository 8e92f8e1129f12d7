//! Answers between the system's own processes: an answer counts only on the link on which it was requested,
//! and thereby only from the same incarnation of the process.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::Node;
use ashvane_identifiers::Address;
use ashvane_node::engine::{LinkTable, Receipt, Register, RegisterCommands, RequestPath, StartedOperation};
use ashvane_node::links::codec::DecodeError;
use ashvane_node::links::{
    self, Connecting, ConnectionHandler, ConnectionState, Direction, LinkId, Message, MessageQueue, Transport,
};
use ashvane_quorum::{
    ContentDigest, Member, Membership, Outcome, Replica, SubmissionStatus, VersionedConfig,
};
use tokio::io::{AsyncWriteExt as _, DuplexStream, duplex, split};
use tokio::task::{LocalSet, spawn_local, yield_now};

/// Process that records the messages it accepts.
#[derive(Default)]
struct RecordingProcess {
    links: RefCell<LinkTable>,
    queues: RefCell<Vec<(LinkId, MessageQueue)>>,
    received: RefCell<Vec<(LinkId, &'static str)>>,
}

impl RecordingProcess {
    /// Records that a configuration was requested over a link.
    fn request_config(&self, link: LinkId) {
        self.links.borrow_mut().config_requested(link);
    }

    fn close(&self, link: LinkId) {
        self.links.borrow_mut().remove(link);
        self.queues.borrow_mut().retain(|(open, _)| *open != link);
    }
}

fn node(name: &str, incarnation: u64) -> Node {
    Node {
        name: name.into(),
        incarnation,
        generation: 1,
        is_down: false,
        address: format!("{name}:1").into(),
        control_address: None,
        zone: "z".into(),
        is_gateway: false,
        disk: Some(format!("disk of {name}").into()),
    }
}

impl Transport for RecordingProcess {
    fn connect(&self, _address: Address) -> Connecting {
        Box::pin(async { None })
    }
}

impl ConnectionHandler for RecordingProcess {
    fn own_node(&self) -> Node {
        node("me", 1)
    }

    fn transport(&self) -> &dyn Transport {
        self
    }

    fn handshake_failed(&self) {}

    fn connection_opened(self: &Rc<Self>, peer: Node, direction: Direction, queue: MessageQueue) -> LinkId {
        let link = self.links.borrow_mut().open(peer, direction, Duration::ZERO);
        self.queues.borrow_mut().push((link, queue));
        link
    }

    fn line_received(self: &Rc<Self>, link: LinkId, line: Result<Message, DecodeError>) -> ConnectionState {
        match self.links.borrow_mut().receive(link, line, Duration::ZERO) {
            Receipt::Accepted(message) => self.received.borrow_mut().push((link, message.topic())),
            Receipt::Ignored => {}
            Receipt::Closed => return ConnectionState::Closed,
        }
        ConnectionState::Open
    }

    fn connection_closed(self: &Rc<Self>, _link: LinkId) {}
}

/// Remote end of a link.
struct Peer(DuplexStream);

impl Peer {
    async fn send(&mut self, message: &Message) {
        let line = serde_json::to_string(message).expect("a message can be serialized") + "\n";
        self.0.write_all(line.as_bytes()).await.expect("the link is open");
        for _ in 0..20 {
            yield_now().await;
        }
    }
}

async fn link(process: &Rc<RecordingProcess>, name: &str, incarnation: u64) -> (LinkId, Peer) {
    let (near, far) = duplex(1 << 20);
    let (read, write) = split(near);
    spawn_local(links::run(read, write, Direction::Outgoing, process.clone()));
    let mut peer = Peer(far);
    peer.send(&Message::Hello(node(name, incarnation))).await;
    let link = process.links.borrow().iter().map(|(link, _)| link).max();
    (link.expect("the link is established"), peer)
}

fn config(version: u64) -> VersionedConfig {
    VersionedConfig { version, digest: ContentDigest::of(b"text"), compressed_text: "text".into() }
}

fn run_test<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime can be built"), test);
}

/// Two links lead to one peer, the first one to its previous incarnation. A configuration arrives without a
/// request, on the wrong link, and twice.
#[test]
fn an_answer_counts_once_and_only_on_the_link_of_its_request() {
    run_test(async {
        let process = Rc::new(RecordingProcess::default());
        let (first, mut previous) = link(&process, "peer", 1).await;
        let (second, mut current) = link(&process, "peer", 2).await;
        assert!(second > first);
        let answer = Message::Config(config(3));
        previous.send(&answer).await;
        current.send(&answer).await;
        assert!(process.received.borrow().is_empty(), "an answer without a request is ignored");
        process.request_config(second);
        previous.send(&answer).await;
        assert!(
            process.received.borrow().is_empty(),
            "an answer on another link than its request is ignored"
        );
        current.send(&answer).await;
        current.send(&answer).await;
        assert_eq!(*process.received.borrow(), [(second, "configuration")], "an answer counts once");
        // Messages other than answers are accepted on any link.
        previous.send(&Message::Subscribe(true)).await;
        assert_eq!(process.received.borrow().last(), Some(&(first, "links")));
    });
}

/// An answer for a link that is closed, or that led to an earlier incarnation of the peer, must not match a
/// later link.
#[test]
fn link_numbers_are_never_reused() {
    run_test(async {
        let process = Rc::new(RecordingProcess::default());
        let mut last = LinkId::from(0);
        for incarnation in 1..6 {
            let (number, peer) = link(&process, "peer", incarnation).await;
            assert!(number > last);
            process.request_config(number);
            process.close(number);
            last = number;
            drop(peer);
        }
        let (_, mut peer) = link(&process, "peer", 9).await;
        peer.send(&Message::Config(config(1))).await;
        assert!(
            process.received.borrow().is_empty(),
            "a request on another link does not count for this one"
        );
        assert_eq!(process.links.borrow().counters.unrequested_answers, 1);
    });
}

/// A response is counted for its operation only on the link of the request: not on a second link to the same
/// process, and not from the next incarnation of that process, whose link has another number.
#[test]
fn a_register_response_counts_only_on_the_link_of_its_request() {
    run_test(async {
        let member = |id: u64| Member { disk: format!("d{id}").into(), address: format!("{id}:1").into() };
        let membership = Membership::new(1, (1..=3).map(member).collect());
        let replica = |id: u64| Replica::empty(member(id).disk, membership.clone());
        let mut register = Register::new(replica(1), 1);
        let mut others = [replica(2), replica(3)];
        let now = Duration::ZERO;
        let StartedOperation { commands, mut outcome } = register.write(membership.clone(), config(1), now);
        let mut pending = vec![commands];
        let mut wrong_path_count = 0;
        while let Some(RegisterCommands { requests, .. }) = pending.pop() {
            for outgoing in requests {
                let number = outgoing.number;
                if outgoing.member == member(1) {
                    register.request_sent(number, RequestPath::Local);
                    let response = register.handle_request(&outgoing.request).response;
                    let wrong = RequestPath::Link(LinkId::from(1));
                    let ignored = register.response_received(number, wrong, response.clone(), now);
                    assert!(ignored.requests.is_empty());
                    pending.push(register.response_received(number, RequestPath::Local, response, now));
                    continue;
                }
                let index = usize::from(outgoing.member == member(3));
                let path = |first: u64| RequestPath::Link(LinkId::from(first + index as u64));
                let (request_path, other_path) = (path(10), path(20));
                register.request_sent(number, request_path);
                let response = others[index].handle(&outgoing.request).response;
                for wrong in [other_path, RequestPath::Local] {
                    let commands = register.response_received(number, wrong, response.clone(), now);
                    let is_ignored = commands.requests.is_empty() && commands.membership.is_none();
                    assert!(is_ignored, "a response on another path is ignored");
                    wrong_path_count += 1;
                }
                assert!(outcome.try_recv().is_err(), "a wrong path completes nothing");
                pending.push(register.response_received(number, request_path, response.clone(), now));
                let again = register.response_received(number, request_path, response, now);
                assert!(again.requests.is_empty() && again.membership.is_none(), "a response counts once");
                if let Ok(outcome) = outcome.try_recv() {
                    assert!(
                        matches!(outcome, Outcome::Written(SubmissionStatus::Chosen, _))
                            && wrong_path_count > 0
                    );
                    return;
                }
            }
        }
        panic!("the operation does not complete");
    });
}
