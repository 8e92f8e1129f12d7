//! Answers between the system's own processes: one counts only on the link that it was asked for on, which is also one
//! life of the process that was asked.

use std::cell::RefCell;
use std::rc::Rc;

use ashvane_gossip::Node;
use ashvane_node::disk::{Disk, Whole};
use ashvane_node::links::{self, Dialled, Link, Links, Listener, Message, Net};
use ashvane_node::register::{Register, Via, Work};
use ashvane_quorum::{
    ContentDigest, Member, Membership, Outcome, Replica, SubmissionStatus, VersionedConfig,
};
use tokio::io::{AsyncWriteExt as _, DuplexStream, duplex, split};
use tokio::task::{LocalSet, spawn_local, yield_now};

/// A process that notes what it hears.
#[derive(Default)]
struct Process {
    links: RefCell<Links>,
    heard: RefCell<Vec<(u64, &'static str)>>,
}

fn node(name: &str, life: u64) -> Node {
    let (address, disk) = (format!("{name}:1"), Some(format!("disk of {name}").into()));
    let (zone, control) = ("z".to_owned(), None);
    Node {
        name: name.to_owned().into(),
        incarnation: life,
        generation: 1,
        is_down: false,
        address: address.into(),
        control_address: control,
        zone: zone.into(),
        is_gateway: false,
        disk,
    }
}

impl Net for Process {
    fn dial(&self, _address: ashvane_identifiers::Address) -> Dialled {
        Box::pin(async { None })
    }
}

impl Listener for Process {
    fn me(&self) -> Node {
        node("me", 1)
    }

    fn net(&self) -> &dyn Net {
        self
    }

    fn links(&self) -> &RefCell<Links> {
        &self.links
    }

    fn linked(self: &Rc<Self>, _number: u64) {}

    fn heard(self: &Rc<Self>, number: u64, message: Message) {
        self.heard.borrow_mut().push((number, message.cause()));
    }

    fn unlinked(self: &Rc<Self>, _number: u64, _link: Link) {}
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

async fn link(process: &Rc<Process>, name: &str, life: u64) -> (u64, Peer) {
    let (near, far) = duplex(1 << 20);
    let (read, write) = split(near);
    spawn_local(links::run(read, write, true, process.clone()));
    let mut peer = Peer(far);
    peer.say(&Message::Hello(node(name, life))).await;
    let number = process.links.borrow().iter().map(|(number, _)| number).max();
    (number.expect("it is linked"), peer)
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
        assert!(process.heard.borrow().is_empty(), "nobody asked");
        process.links.borrow_mut().send(second, &Message::Want { above: 2 });
        before.say(&answer).await;
        assert!(process.heard.borrow().is_empty(), "another link, and another life, was asked");
        after.say(&answer).await;
        after.say(&answer).await;
        assert_eq!(*process.heard.borrow(), [(second, "configuration")], "once");
        // What is no answer is heard on any link.
        before.say(&Message::Feed(true)).await;
        assert_eq!(process.heard.borrow().last(), Some(&(first, "links")));
    });
}

/// An answer to a process that has started again, or to a link that is gone, finds no link under that number.
#[test]
fn the_number_of_a_link_is_never_given_again() {
    run(async {
        let process = Rc::new(Process::default());
        let mut last = 0;
        for life in 1..6 {
            let (number, peer) = link(&process, "peer", life).await;
            assert!(number > last);
            process.links.borrow_mut().send(number, &Message::Want { above: 0 });
            process.links.borrow_mut().close(number);
            last = number;
            drop(peer);
        }
        let (_, mut peer) = link(&process, "peer", 9).await;
        peer.say(&Message::Config(config(1))).await;
        assert!(process.heard.borrow().is_empty(), "what was asked on other links is not owed here");
        assert_eq!(process.links.borrow().counters.unasked, 1);
    });
}

fn kept_at_once() -> Disk {
    let (disk, inbox) = Disk::new();
    spawn_local(async move {
        let mut whole = Whole::default();
        loop {
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
            if let Some(mut wanted) = inbox.take() {
                wanted.onto(&mut whole);
                wanted.is_safe();
            }
        }
    });
    disk
}

/// A response settles its operation only on the link on which the request went out: not on a second link to the same
/// process, nor from that process's next life, whose link has another number.
#[test]
fn a_response_counts_on_the_link_of_its_request() {
    run(async {
        let member = |n: u64| Member { disk: format!("d{n}").into(), address: format!("{n}:1").into() };
        let membership = Membership::new(1, (1..=3).map(member).collect());
        let replica = |n: u64| Replica::empty(member(n).disk, membership.clone());
        let register = Rc::new(Register::new(replica(1), kept_at_once(), 1));
        let mut others = [replica(2), replica(3)];
        let (work, mut outcome) = register.write(membership.clone(), config(1));
        let mut todo = vec![work];
        let mut misled = 0;
        while let Some(Work { requests, .. }) = todo.pop() {
            for outgoing in requests {
                let number = outgoing.number;
                if outgoing.member == member(1) {
                    register.sent(number, Via::Own);
                    let response = register.handle(&outgoing.request).await.expect("it is on disk");
                    assert!(register.responded(number, Via::Link(1), response.clone()).requests.is_empty());
                    todo.push(register.responded(number, Via::Own, response));
                    continue;
                }
                let at = usize::from(outgoing.member == member(3));
                let (asked, other) = (Via::Link(10 + at as u64), Via::Link(20 + at as u64));
                register.sent(number, asked);
                let response = others[at].handle(&outgoing.request).response;
                for wrong in [other, Via::Own] {
                    let work = register.responded(number, wrong, response.clone());
                    assert!(work.requests.is_empty() && work.membership.is_none(), "it came another way");
                    misled += 1;
                }
                assert!(outcome.try_recv().is_err(), "nothing is settled by them");
                todo.push(register.responded(number, asked, response.clone()));
                let again = register.responded(number, asked, response);
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
