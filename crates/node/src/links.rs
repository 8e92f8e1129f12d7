//! Connections between the system's own processes: JSON lines both ways, each answered or compared in time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{BucketDigests, Digest, Node, RankSummary, Update};
use ashvane_identifiers::{Address, NodeName};
use ashvane_quorum::membership_manager::ReplicaReport;
use ashvane_quorum::{Request, Response, VersionedConfig};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt as _, AsyncRead, AsyncWrite, AsyncWriteExt as _, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::packed;

/// The longest line that is read, in bytes: a configuration and some.
const LINE_MOST: usize = 8 << 20;
/// Lines that may wait to be written: a peer that does not read is cut off.
const WAITING_MOST: usize = 4096;
/// A peer that says nothing for this long is taken for lost: it compares digests each second.
pub const SILENT: Duration = Duration::from_millis(2600);
/// Time for a connection to come up, and for its first line.
const DIAL: Duration = Duration::from_millis(1000);

/// What processes say to one another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The first line both ways.
    Hello(Node),
    /// Newer entries; where numbered, an answer is wanted once they are taken in.
    Update {
        number: u64,
        updates: Vec<Update>,
    },
    /// The answer: whether they are in force there, and the epoch of the membership that is known there.
    Got {
        number: u64,
        taken: bool,
        epoch: u64,
    },
    Digest(Digest),
    /// Where digests differ: those of each part.
    Buckets(BucketDigests),
    /// Whether this side is to be told what changes, as it changes.
    Feed(bool),
    Summary(RankSummary),
    /// The configuration is wanted if its version is above this.
    Want {
        above: u64,
    },
    Config(VersionedConfig),
    /// What an operation asks of this process's replica.
    Request {
        number: u64,
        request: Request,
    },
    /// The answer to the request of that number, on the link that it came on.
    Response {
        number: u64,
        response: Response,
    },
    /// A gateway that starts asks a control node to compare itself with a majority of the members.
    Verify {
        number: u64,
    },
    /// The answer, after a read of the register that began after the question: what is known there now.
    Verified {
        number: u64,
        digest: Digest,
    },
    /// What a control node says of its own disk to the others: at first and whenever it changes.
    Disk(ReplicaReport),
    /// Another line, deflated: where many entries go at once they are much alike.
    Packed(String),
}

impl Message {
    /// What it is about, for counting.
    pub fn cause(&self) -> &'static str {
        match self {
            Message::Hello(_) | Message::Feed(_) => "links",
            Message::Update { .. } | Message::Got { .. } => "updates",
            Message::Digest(_) => "digests",
            Message::Buckets(_) | Message::Summary(_) => "gaps",
            Message::Want { .. } | Message::Config(_) => "configuration",
            Message::Request { .. } | Message::Response { .. } | Message::Disk(_) => "register",
            Message::Verify { .. } | Message::Verified { .. } => "readiness",
            Message::Packed(_) => "packed",
        }
    }
}

/// Lines longer than this are packed, in bytes.
const PACKED_FROM: usize = 1200;

/// A line as it is written.
fn written(line: &Message) -> Option<Rc<str>> {
    let mut text = serde_json::to_string(line).ok()?;
    // A configuration is packed already.
    if text.len() > PACKED_FROM && !matches!(line, Message::Config(_)) {
        text = serde_json::to_string(&Message::Packed(packed::pack(text.as_bytes()))).ok()?;
    }
    Some((text + "\n").into())
}

/// A line as it was meant; none where it cannot be read.
fn meant(bytes: &[u8]) -> Option<Message> {
    match serde_json::from_slice(bytes).ok()? {
        Message::Packed(text) => serde_json::from_slice(&packed::unpack(&text)?).ok(),
        line => Some(line),
    }
}

/// One connection as its owner sees it.
pub struct Link {
    pub peer: Node,
    /// Whether this process called.
    pub ours: bool,
    pub since: Instant,
    lines: mpsc::Sender<Rc<str>>,
    pub heard: Instant,
    /// The other side is told what changes, as it changes.
    pub fed: bool,
    /// How many times in a row its digest differed.
    pub differs: u32,
    /// All that the other side knew has been taken in once, since its last answer to a question where it was asked.
    pub compared: bool,
    /// The other side has said that it is in contact with no majority of the members.
    pub alone: bool,
    /// The question whether the other side is in contact with a majority: its number, and when it was asked.
    pub verifying: Option<(u64, Instant)>,
    /// The version that was in force there when it had compared itself with a majority, after that question.
    pub verified: Option<u64>,
    /// What the process at the other end has said of its disk.
    pub disk: Option<ReplicaReport>,
    /// Configurations that were asked for here and have not come.
    wanted: u32,
}

impl Link {
    fn asked(&mut self, message: &Message) {
        self.wanted = self.wanted.saturating_add(u32::from(matches!(message, Message::Want { .. })));
    }

    /// A configuration counts only on the link that it was asked for on, and so from the life that was asked: each
    /// connection is to one life. Other answers are bound to their links by whoever asks.
    fn admits(&mut self, message: &Message) -> bool {
        if !matches!(message, Message::Config(_)) {
            return true;
        }
        let wanted = self.wanted > 0;
        self.wanted = self.wanted.saturating_sub(1);
        wanted
    }

    /// Whether something was heard of late. After a standstill a connection may still be open that is long dead.
    pub fn is_heard(&self) -> bool {
        self.heard.elapsed() < SILENT
    }
}

/// Counters of what was said.
#[derive(Default)]
pub struct Counters {
    /// Lines and bytes written, by what they are about.
    pub out: BTreeMap<&'static str, (u64, u64)>,
    pub lines_in: u64,
    pub unread: u64,
    /// Answers that nobody had asked for where they came.
    pub unasked: u64,
    pub lost: u64,
}

/// All open connections, by number.
#[derive(Default)]
pub struct Links {
    links: BTreeMap<u64, Link>,
    next: u64,
    pub counters: Counters,
}

impl Links {
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Link)> {
        self.links.iter().map(|(number, link)| (*number, link))
    }

    pub fn get(&self, number: u64) -> Option<&Link> {
        self.links.get(&number)
    }

    pub fn get_mut(&mut self, number: u64) -> Option<&mut Link> {
        self.links.get_mut(&number)
    }

    pub fn to(&self, name: &NodeName) -> Option<u64> {
        self.links.iter().find(|(_, l)| l.peer.name == *name).map(|(number, _)| *number)
    }

    pub fn at(&self, address: &Address) -> Option<u64> {
        self.links.iter().find(|(_, l)| l.peer.address == *address).map(|(number, _)| *number)
    }

    /// One number for each process that is connected.
    pub fn select_peers(&self) -> Vec<u64> {
        let mut seen = std::collections::BTreeSet::new();
        self.links.iter().filter(|(_, l)| seen.insert(&l.peer.name)).map(|(number, _)| *number).collect()
    }

    fn open(&mut self, link: Link) -> u64 {
        self.next += 1;
        self.links.insert(self.next, link);
        self.next
    }

    /// Its task ends once it sees that nobody is left to hand it lines.
    pub fn close(&mut self, number: u64) -> Option<Link> {
        self.links.remove(&number)
    }

    pub fn send(&mut self, number: u64, line: &Message) {
        self.send_all(&[number], line);
    }

    fn send_text(&mut self, number: u64, text: Rc<str>, line: &Message) {
        let Some(link) = self.links.get_mut(&number) else { return };
        let (lines, bytes) = self.counters.out.entry(line.cause()).or_default();
        (*lines, *bytes) = (*lines + 1, *bytes + text.len() as u64);
        link.asked(line);
        if link.lines.try_send(text).is_err() {
            self.close(number);
        }
    }

    /// The same to all of these.
    pub fn send_all(&mut self, numbers: &[u64], line: &Message) {
        if numbers.is_empty() {
            return;
        }
        let Some(text) = written(line) else { return };
        numbers.iter().for_each(|number| self.send_text(*number, text.clone(), line));
    }
}

/// The two directions of a connection, whatever carries it.
pub type Ways = (Box<dyn AsyncRead + Unpin>, Box<dyn AsyncWrite + Unpin>);
pub type Dialled = Pin<Box<dyn Future<Output = Option<Ways>>>>;

/// What lies between processes.
pub trait Net {
    fn dial(&self, address: Address) -> Dialled;
}

/// The network that the system's own machines are on.
pub struct Sockets;

impl Net for Sockets {
    fn dial(&self, address: Address) -> Dialled {
        Box::pin(async move {
            let (read, write) = ways(TcpStream::connect(address.as_str()).await.ok()?);
            Some((Box::new(read) as _, Box::new(write) as _))
        })
    }
}

/// A connection's two directions, set up so that a machine that is gone is noticed.
pub fn ways(stream: TcpStream) -> (OwnedReadHalf, OwnedWriteHalf) {
    let _ = stream.set_nodelay(true);
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, SILENT.as_millis() as u32);
    stream.into_split()
}

/// What a process does with what it hears.
pub trait Listener: 'static {
    fn me(&self) -> Node;
    fn net(&self) -> &dyn Net;
    fn links(&self) -> &RefCell<Links>;
    fn linked(self: &Rc<Self>, number: u64);
    fn heard(self: &Rc<Self>, number: u64, line: Message);
    fn unlinked(self: &Rc<Self>, number: u64, link: Link);
}

async fn line<T: AsyncRead + Unpin>(reader: &mut BufReader<T>, bytes: &mut Vec<u8>) -> bool {
    bytes.clear();
    let mut limited = tokio::io::AsyncReadExt::take(reader, LINE_MOST as u64);
    matches!(limited.read_until(b'\n', bytes).await, Ok(n) if n > 0 && bytes.ends_with(b"\n"))
}

/// Carries one connection to its end; says whether the other process was ever linked by it.
pub async fn run<L: Listener>(
    read: impl AsyncRead + Unpin, mut write: impl AsyncWrite + Unpin, ours: bool, listener: Rc<L>,
) -> bool {
    let mut reader = BufReader::with_capacity(4096, read);
    let mut bytes = Vec::new();
    let hello = serde_json::to_string(&Message::Hello(listener.me())).unwrap_or_default() + "\n";
    if write.write_all(hello.as_bytes()).await.is_err() {
        return false;
    }
    if !matches!(timeout(DIAL, line(&mut reader, &mut bytes)).await, Ok(true)) {
        return false;
    }
    let Ok(Message::Hello(peer)) = serde_json::from_slice(&bytes) else {
        listener.links().borrow_mut().counters.unread += 1;
        return false;
    };
    let (lines, mut waiting) = mpsc::channel::<Rc<str>>(WAITING_MOST);
    let now = Instant::now();
    let link = Link {
        peer,
        ours,
        since: now,
        lines,
        heard: now,
        fed: false,
        differs: 0,
        compared: false,
        alone: false,
        verifying: None,
        verified: None,
        disk: None,
        wanted: 0,
    };
    let number = listener.links().borrow_mut().open(link);
    listener.linked(number);
    let reading = async {
        loop {
            if !matches!(timeout(SILENT, line(&mut reader, &mut bytes)).await, Ok(true)) {
                return;
            }
            let read = meant(&bytes);
            if bytes.capacity() > 64 * 1024 {
                bytes = Vec::new();
            }
            let admitted = {
                let mut links = listener.links().borrow_mut();
                links.counters.lines_in += 1;
                links.counters.unread += u64::from(read.is_none());
                let Some(link) = links.get_mut(number) else { return };
                link.heard = Instant::now();
                let admitted = read.as_ref().is_none_or(|line| link.admits(line));
                links.counters.unasked += u64::from(!admitted);
                admitted
            };
            let Some(line) = read else { return };
            if admitted {
                listener.heard(number, line);
            }
        }
    };
    let writing = async {
        let mut batch = String::new();
        while let Some(text) = waiting.recv().await {
            batch.push_str(&text);
            while let Ok(text) = waiting.try_recv() {
                batch.push_str(&text);
            }
            if write.write_all(batch.as_bytes()).await.is_err() {
                return;
            }
            batch = String::new();
        }
    };
    // In this order: a simulated day is to be the same each time.
    tokio::select! { biased; () = reading => {}, () = writing => {} }
    let link = {
        let mut links = listener.links().borrow_mut();
        links.counters.lost += 1;
        links.close(number)
    };
    if let Some(link) = link {
        listener.unlinked(number, link);
    }
    true
}

/// Calls another process and carries the connection to its end; says whether it was ever linked by it.
pub async fn dial<L: Listener>(address: Address, listener: Rc<L>) -> bool {
    let dialled = listener.net().dial(address);
    let Ok(Some((read, write))) = timeout(DIAL, dialled).await else { return false };
    run(read, write, true, listener).await
}

#[cfg(test)]
mod tests {
    use ashvane_gossip::{Liveness, ServerRank, ServerState};

    use super::*;

    #[test]
    fn long_lines_are_packed_and_read_as_they_were() {
        let rank = |seq| ServerRank {
            state: ServerState::Ready,
            heartbeat_sequence: seq,
            liveness: Liveness::Alive,
        };
        let summary = RankSummary {
            servers: (0..100).map(|n| (format!("i-{n}").into(), rank(n))).collect(),
            ..RankSummary::default()
        };
        for (line, packed) in [(Message::Summary(summary), true), (Message::Feed(true), false)] {
            let text = written(&line).expect("written");
            assert!(text.ends_with('\n') && text.contains("packed") == packed && text.len() < PACKED_FROM);
            let again = meant(text.as_bytes()).and_then(|line| serde_json::to_string(&line).ok());
            assert_eq!(again, serde_json::to_string(&line).ok());
        }
        assert!(meant(b"{\"packed\":\"%\"}").is_none() && meant(b"nonsense").is_none());
    }
}
