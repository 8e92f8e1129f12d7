//! Answers between the system's own processes: one counts only on the link that it was asked for on, which is also one
//! life of the process that was asked.

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

/// A process that notes what it receives.
#[derive(Default)]
struct Process {
    links: RefCell<LinkTable>,
    queues: RefCell<Vec<(LinkId, MessageQueue)>>,
    received: RefCell<Vec<(LinkId, &'static str)>>,
}

impl Process {
    /// A configuration is requested over a link.
    fn request_config(&self, link: LinkId) {
        self.links.borrow_mut().config_requested(link);
    }

    fn close(&self, link: LinkId) {
        self.links.borrow_mut().remove(link);
        self.queues.borrow_mut().retain(|(other, _)| *other != link);
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

impl Transport for Process {
    fn connect(&self, _address: Address) -> Connecting {
        Box::pin(async { None })
    }
}

impl ConnectionHandler for Process {
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

/// The far side of a link.
struct Peer(DuplexStream);

impl Peer {
    async fn say(&mut self, message: &Message) {
        let line = serde_json::to_string(message).expect("a line") + "\n";
        self.0.write_all(line.as_bytes()).await.expect("the link is open");
        for _ in 0..20 {
            yield_now().await;
        }
    }
}

async fn link(process: &Rc<Process>, name: &str, incarnation: u64) -> (LinkId, Peer) {
    let (near, far) = duplex(1 << 20);
    let (read, write) = split(near);
    spawn_local(links::run(read, write, Direction::Outgoing, process.clone()));
    let mut peer = Peer(far);
    peer.say(&Message::Hello(node(name, incarnation))).await;
    let link = process.links.borrow().iter().map(|(link, _)| link).max();
    (link.expect("it is linked"), peer)
}

fn config(version: u64) -> VersionedConfig {
    VersionedConfig { version, digest: ContentDigest::of(b"text"), compressed_text: "text".into() }
}

fn run<F: Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test);
}

/// Two links to one peer, one of them to the life before; a configuration on the wrong one, unasked, and twice.
#[test]
fn an_answer_counts_once_and_on_the_link_that_was_asked() {
    run(async {
        let process = Rc::new(Process::default());
        let (first, mut before) = link(&process, "peer", 1).await;
        let (second, mut after) = link(&process, "peer", 2).await;
        assert!(second > first);
        let answer = Message::Config(config(3));
        before.say(&answer).await;
        after.say(&answer).await;
        assert!(process.received.borrow().is_empty(), "nobody asked");
        process.request_config(second);
        before.say(&answer).await;
        assert!(process.received.borrow().is_empty(), "another link, and another life, was asked");
        after.say(&answer).await;
        after.say(&answer).await;
        assert_eq!(*process.received.borrow(), [(second, "configuration")], "once");
        // What is no answer is heard on any link.
        before.say(&Message::Subscribe(true)).await;
        assert_eq!(process.received.borrow().last(), Some(&(first, "links")));
    });
}

/// An answer to a process that has started again, or to a link that is gone, finds no link under that number.
#[test]
fn the_number_of_a_link_is_never_given_again() {
    run(async {
        let process = Rc::new(Process::default());
        let mut last = LinkId::from(0);
        for life in 1..6 {
            let (number, peer) = link(&process, "peer", life).await;
            assert!(number > last);
            process.request_config(number);
            process.close(number);
            last = number;
            drop(peer);
        }
        let (_, mut peer) = link(&process, "peer", 9).await;
        peer.say(&Message::Config(config(1))).await;
        assert!(process.received.borrow().is_empty(), "what was asked on other links is not owed here");
        assert_eq!(process.links.borrow().counters.unrequested_answers, 1);
    });
}

/// A response settles its operation only on the link on which the request went out: not on a second link to the same
/// process, nor from that process's next life, whose link has another number.
#[test]
fn a_response_counts_on_the_link_of_its_request() {
    run(async {
        let member = |n: u64| Member { disk: format!("d{n}").into(), address: format!("{n}:1").into() };
        let membership = Membership::new(1, (1..=3).map(member).collect());
        let replica = |n: u64| Replica::empty(member(n).disk, membership.clone());
        let mut register = Register::new(replica(1), 1);
        let mut others = [replica(2), replica(3)];
        let now = Duration::ZERO;
        let StartedOperation { commands, mut outcome } = register.write(membership.clone(), config(1), now);
        let mut todo = vec![commands];
        let mut misled = 0;
        while let Some(RegisterCommands { requests, .. }) = todo.pop() {
            for outgoing in requests {
                let number = outgoing.number;
                if outgoing.member == member(1) {
                    register.request_sent(number, RequestPath::Local);
                    let response = register.handle_request(&outgoing.request).response;
                    let wrong = RequestPath::Link(LinkId::from(1));
                    let misled = register.response_received(number, wrong, response.clone(), now);
                    assert!(misled.requests.is_empty());
                    todo.push(register.response_received(number, RequestPath::Local, response, now));
                    continue;
                }
                let at = usize::from(outgoing.member == member(3));
                let path = |first: u64| RequestPath::Link(LinkId::from(first + at as u64));
                let (asked, other) = (path(10), path(20));
                register.request_sent(number, asked);
                let response = others[at].handle(&outgoing.request).response;
                for wrong in [other, RequestPath::Local] {
                    let commands = register.response_received(number, wrong, response.clone(), now);
                    let is_ignored = commands.requests.is_empty() && commands.membership.is_none();
                    assert!(is_ignored, "it came another way");
                    misled += 1;
                }
                assert!(outcome.try_recv().is_err(), "nothing is settled by them");
                todo.push(register.response_received(number, asked, response.clone(), now));
                let again = register.response_received(number, asked, response, now);
                assert!(again.requests.is_empty() && again.membership.is_none(), "it counts once");
                if let Ok(outcome) = outcome.try_recv() {
                    assert!(matches!(outcome, Outcome::Written(SubmissionStatus::Chosen, _)) && misled > 0);
                    return;
                }
            }
        }
        panic!("it is never settled");
    });
}
