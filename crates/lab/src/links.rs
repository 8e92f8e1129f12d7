//! Relays: whatever goes between two nodes of a rehearsal passes one, which knows both ends and breaks what goes
//! through it by rule. Loopback sockets only; a stand-in of this process is joined without a socket.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::history::{EventKind, Recorder};
use crate::node::Node;

/// Bytes that are passed on at once, and how many such pieces a direction holds: the rest waits in the sockets.
const PIECE: usize = 8 << 10;
const PIECES_HELD: usize = 16;
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Time in which a connection to a listener that has room is up: it is a matter of microseconds.
const FILLS_IN: Duration = Duration::from_millis(20);
/// Most connections needed to fill a listener that lets one wait.
const FILLERS_MOST: usize = 4;
/// Pause before a listener's own port is asked for again.
const PORT_PAUSE: Duration = Duration::from_millis(20);

/// Which direction is hit: from the one who dials, to it, or both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    #[default]
    Both,
    There,
    Back,
}

/// What a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Fault {
    /// Bytes are held, nothing is reset; new connections never come up where what is said there is held.
    Silent,
    /// Open connections are reset; new ones are served.
    Reset,
    /// New connections are refused; open ones go on.
    Refused,
    /// Bytes come so much later, and up to `spread_ms` more.
    Late { ms: u64, spread_ms: u64 },
    /// So many bytes a second at the most.
    Slow { bytes_a_second: u64 },
}

#[derive(Clone, Debug)]
struct Hit {
    number: usize,
    way: Direction,
    fault: Fault,
}

/// What holds on a link for the moment.
#[derive(Clone, Debug, Default)]
struct Rules {
    hits: Vec<Hit>,
    /// How often its connections have been reset.
    cuts: u64,
}

impl Rules {
    fn find<T>(&self, way: Direction, which: impl Fn(Fault) -> Option<T>) -> Option<T> {
        let meets = |hit: &&Hit| way == Direction::Both || hit.way == Direction::Both || hit.way == way;
        self.hits.iter().filter(meets).find_map(|hit| which(hit.fault))
    }

    fn silent(&self, way: Direction) -> bool {
        self.find(way, |f| (f == Fault::Silent).then_some(())).is_some()
    }

    fn refuses(&self) -> bool {
        self.find(Direction::Both, |f| (f == Fault::Refused).then_some(())).is_some()
    }

    fn late(&self, way: Direction) -> Duration {
        let late = self.find(way, |f| match f {
            Fault::Late { ms, spread_ms } => Some((ms, spread_ms)),
            _ => None,
        });
        late.map_or(Duration::ZERO, |(ms, spread)| Duration::from_millis(ms + fastrand::u64(..=spread)))
    }

    fn takes(&self, way: Direction, bytes: usize) -> Duration {
        let rate = self.find(way, |f| match f {
            Fault::Slow { bytes_a_second } => Some(bytes_a_second.max(1)),
            _ => None,
        });
        rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes as f64 / rate as f64))
    }
}

/// Connections for a stand-in of this process: who dialled, and the stream.
pub type ConnectionSender = mpsc::UnboundedSender<(Node, DuplexStream)>;

/// Where a link leads.
#[derive(Clone)]
pub enum Target {
    Process(Arc<Mutex<SocketAddr>>),
    Within(ConnectionSender),
}

/// One node's way to another.
pub struct Link {
    pub from: Node,
    pub to: Node,
    /// Where `from` dials.
    pub address: SocketAddr,
    rules: watch::Sender<Rules>,
    far: Target,
    recorder: Recorder,
    listener: Mutex<Option<TcpListener>>,
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

/// Fills a listener with connections of its own, so that the machine lets no further one come up.
async fn starve(listener: &TcpListener) -> io::Result<Vec<(SocketAddr, TcpStream)>> {
    rustix::net::listen(listener, 0)?;
    let mut fillers = Vec::new();
    while fillers.len() < FILLERS_MOST {
        match timeout(FILLS_IN, TcpStream::connect(listener.local_addr()?)).await {
            Ok(Ok(stream)) => fillers.push((stream.local_addr()?, stream)),
            _ => break,
        }
    }
    Ok(fillers)
}

/// Passes on what comes one way, until it ends.
async fn pump(
    mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, way: Direction,
    rules: watch::Receiver<Rules>, sent: &std::sync::atomic::AtomicU64,
) -> io::Result<()> {
    let (queue, mut held) = mpsc::channel::<(Instant, Bytes)>(PIECES_HELD);
    let now_rules = rules.clone();
    let reading = async move {
        loop {
            let mut piece = BytesMut::with_capacity(PIECE);
            if from.read_buf(&mut piece).await? == 0 {
                return Ok(());
            }
            let due = Instant::now() + now_rules.borrow().late(way);
            if queue.send((due, piece.freeze())).await.is_err() {
                return Ok(());
            }
        }
    };
    let mut rules = rules;
    let writing = async move {
        while let Some((due, piece)) = held.recv().await {
            if due > Instant::now() {
                sleep_until(due).await;
            }
            heard(&mut rules, way).await;
            to.write_all(&piece).await?;
            to.flush().await?;
            sent.fetch_add(piece.len() as u64, std::sync::atomic::Ordering::Relaxed);
            let takes = rules.borrow().takes(way, piece.len());
            if !takes.is_zero() {
                sleep(takes).await;
            }
        }
        heard(&mut rules, way).await;
        to.shutdown().await
    };
    tokio::try_join!(reading, writing).map(|_: ((), ())| ())
}

/// Waits until a direction is not silent.
async fn heard(rules: &mut watch::Receiver<Rules>, way: Direction) {
    let _ = rules.wait_for(|rules| !rules.silent(way)).await;
}

impl Link {
    /// A way from one to another, on a port of `from`'s own address that is asked for.
    pub fn new(from: Node, to: Node, far: Target, recorder: Recorder) -> io::Result<Link> {
        let listener = listen((from.address(), 0).into())?;
        let (address, rules) = (listener.local_addr()?, watch::Sender::new(Rules::default()));
        Ok(Link { from, to, address, rules, far, recorder, listener: Mutex::new(Some(listener)) })
    }

    /// A fault begins. `number` tells it from others that hold at the same time.
    pub fn hit(&self, number: usize, way: Direction, fault: Fault) {
        self.recorder.record(EventKind::Faulted { from: self.from, to: self.to });
        self.rules.send_modify(|rules| match fault {
            Fault::Reset => rules.cuts += 1,
            _ => rules.hits.push(Hit { number, way, fault }),
        });
    }

    /// It ends; with `dropped`, what was held goes with its connections.
    pub fn mend(&self, number: usize, dropped: bool) {
        self.rules.send_modify(|rules| {
            rules.hits.retain(|hit| hit.number != number);
            rules.cuts += u64::from(dropped);
        });
        self.recorder.record(EventKind::Mended { from: self.from, to: self.to });
    }

    /// Serves for good.
    pub async fn run(self: Arc<Self>) {
        let mut rules = self.rules.subscribe();
        let mut listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let mut fillers = Vec::new();
        loop {
            let (refuses, silent) = {
                let rules = rules.borrow_and_update();
                (rules.refuses(), rules.silent(Direction::There))
            };
            if refuses {
                (listener, fillers) = (None, Vec::new());
            }
            let Some(open) = &listener else {
                if refuses {
                    let _ = rules.changed().await;
                } else {
                    listener = listen(self.address).ok();
                    if listener.is_none() {
                        sleep(PORT_PAUSE).await;
                    }
                }
                continue;
            };
            if silent && fillers.is_empty() {
                fillers = starve(open).await.unwrap_or_default();
            }
            if silent {
                let _ = rules.changed().await;
                continue;
            }
            if !fillers.is_empty() {
                let _ = rustix::net::listen(open, BACKLOG);
                let ours: Vec<SocketAddr> = std::mem::take(&mut fillers).iter().map(|(a, _)| *a).collect();
                for _ in &ours {
                    if let Ok(Ok((stream, peer))) = timeout(FILLS_IN, open.accept()).await
                        && !ours.contains(&peer)
                    {
                        tokio::spawn(self.clone().carry(stream));
                    }
                }
            }
            tokio::select! {
                taken = open.accept() => if let Ok((stream, _)) = taken {
                    tokio::spawn(self.clone().carry(stream));
                },
                _ = rules.changed() => {}
            }
        }
    }

    async fn carry(self: Arc<Self>, near: TcpStream) {
        self.recorder.record(EventKind::Dialled { from: self.from, to: self.to });
        let sent = std::sync::atomic::AtomicU64::new(0);
        let _ = near.set_nodelay(true);
        match &self.far {
            Target::Within(dials) => {
                let (ours, theirs) = tokio::io::duplex(4 * PIECE);
                if dials.send((self.from, theirs)).is_ok() {
                    self.join(near, ours, |_| {}, &sent).await;
                }
            }
            Target::Process(address) => {
                let address = *address.lock().unwrap_or_else(PoisonError::into_inner);
                let far = async {
                    let socket = TcpSocket::new_v4()?;
                    socket.bind((self.from.address(), 0).into())?;
                    socket.connect(address).await
                };
                match far.await {
                    Ok(far) => {
                        let _ = far.set_nodelay(true);
                        let reset = |far: &TcpStream| drop(far.set_zero_linger());
                        self.join(near, far, reset, &sent).await;
                    }
                    // Nobody listens there: the one who dials finds it out at once.
                    Err(_) => drop(near.set_zero_linger()),
                }
            }
        }
        let bytes = sent.into_inner();
        self.recorder.record(EventKind::Hung { from: self.from, to: self.to, bytes });
    }

    /// Joins two streams until both directions have ended, one is broken or the rules cut them.
    async fn join<F: AsyncRead + AsyncWrite + Unpin>(
        &self, mut near: TcpStream, mut far: F, reset: impl Fn(&F), sent: &std::sync::atomic::AtomicU64,
    ) {
        let mut rules = self.rules.subscribe();
        let cuts = rules.borrow().cuts;
        let back = std::sync::atomic::AtomicU64::new(0);
        let well = {
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = tokio::io::split(&mut far);
            let there = pump(near_read, far_write, Direction::There, rules.clone(), sent);
            let back = pump(far_read, near_write, Direction::Back, rules.clone(), &back);
            tokio::select! {
                ended = async { tokio::try_join!(there, back) } => ended.is_ok(),
                _ = rules.wait_for(|rules| rules.cuts > cuts) => false,
            }
        };
        if !well {
            let _ = near.set_zero_linger();
            reset(&far);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A link to an echo of this process.
    async fn link(number: u16) -> (Arc<Link>, Recorder) {
        let recorder = Recorder::new(Instant::now());
        let (dials, mut dialled) = mpsc::unbounded_channel::<(Node, DuplexStream)>();
        tokio::spawn(async move {
            while let Some((_, stream)) = dialled.recv().await {
                tokio::spawn(async move {
                    let (mut read, mut write) = tokio::io::split(stream);
                    let _ = tokio::io::copy(&mut read, &mut write).await;
                    let _ = write.shutdown().await;
                });
            }
        });
        let link =
            Link::new(Node::Gatherer(number), Node::Server(0), Target::Within(dials), recorder.clone());
        let link = Arc::new(link.expect("a port"));
        tokio::spawn(link.clone().run());
        (link, recorder)
    }

    async fn echoes(stream: &mut TcpStream) -> bool {
        let mut byte = [0];
        let echo = async {
            stream.write_all(&[7]).await?;
            stream.read_exact(&mut byte).await
        };
        matches!(timeout(Duration::from_millis(300), echo).await, Ok(Ok(_)))
    }

    async fn dial(link: &Link) -> Option<TcpStream> {
        timeout(Duration::from_millis(300), TcpStream::connect(link.address)).await.ok()?.ok()
    }

    #[tokio::test]
    async fn silence_holds_bytes_and_dials_and_then_lets_them_through_or_drops_them() {
        for (number, dropped) in [(600, false), (601, true)] {
            let (link, _) = link(number).await;
            let mut open = dial(&link).await.expect("up");
            assert!(echoes(&mut open).await);
            link.hit(1, Direction::Both, Fault::Silent);
            assert!(!echoes(&mut open).await, "bytes are held");
            assert!(dial(&link).await.is_none(), "no connection comes up");
            link.mend(1, dropped);
            let mut byte = [0];
            let held = timeout(Duration::from_secs(5), open.read_exact(&mut byte)).await.expect("an end");
            assert_eq!(held.is_ok(), !dropped, "what was held comes, or its connection is reset");
            let mut again = None;
            for _ in 0..20 {
                again = again.or(dial(&link).await);
            }
            assert!(echoes(&mut again.expect("it comes up again")).await);
        }
    }

    #[tokio::test]
    async fn one_way_reset_refused_late_and_slow() {
        let (link, _) = link(602).await;
        let mut open = dial(&link).await.expect("up");
        link.hit(1, Direction::Back, Fault::Silent);
        assert!(!echoes(&mut open).await, "there, but not back");
        assert!(dial(&link).await.is_some(), "what is said there is heard");
        link.mend(1, false);
        let mut byte = [0];
        open.read_exact(&mut byte).await.expect("what was held");
        link.hit(2, Direction::There, Fault::Late { ms: 80, spread_ms: 10 });
        let began = Instant::now();
        assert!(echoes(&mut open).await && began.elapsed() >= Duration::from_millis(80));
        link.mend(2, false);
        link.hit(3, Direction::There, Fault::Slow { bytes_a_second: 10 });
        let began = Instant::now();
        assert!(echoes(&mut open).await && echoes(&mut open).await);
        assert!(began.elapsed() >= Duration::from_millis(90));
        link.mend(3, false);
        link.hit(4, Direction::Both, Fault::Refused);
        let refused = async {
            while TcpStream::connect(link.address).await.is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(5), refused).await.expect("refused");
        assert!(echoes(&mut open).await, "what is open goes on");
        link.mend(4, false);
        link.hit(5, Direction::Both, Fault::Reset);
        let reset = timeout(Duration::from_secs(5), open.read_exact(&mut byte)).await.expect("an end");
        assert_eq!(reset.expect_err("reset").kind(), io::ErrorKind::ConnectionReset);
    }

    /// Guards against a side that waits for ever for the other, and against bytes lost by who closes first.
    #[tokio::test]
    async fn its_two_sides_may_close_in_either_order() {
        let (link, recorder) = link(603).await;
        // The near side stops sending first: what it sent still comes back, then the end.
        let mut near = dial(&link).await.expect("up");
        near.write_all(b"last words").await.expect("sent");
        near.shutdown().await.expect("half closed");
        let mut words = Vec::new();
        timeout(Duration::from_secs(5), near.read_to_end(&mut words)).await.expect("an end").expect("whole");
        assert_eq!(words, b"last words");
        // The far side ends first.
        let (dials, mut dialled) = mpsc::unbounded_channel::<(Node, DuplexStream)>();
        let second = Link::new(Node::Gatherer(604), Node::Server(1), Target::Within(dials), recorder.clone());
        let second = Arc::new(second.expect("a port"));
        tokio::spawn(second.clone().run());
        let mut near = dial(&second).await.expect("up");
        let (_, mut far) = dialled.recv().await.expect("dialled");
        far.write_all(b"bye").await.expect("sent");
        drop(far);
        words.clear();
        timeout(Duration::from_secs(5), near.read_to_end(&mut words)).await.expect("an end").expect("whole");
        assert_eq!(words, b"bye");
        drop(near);
        let hung = || {
            recorder.clone().take().events.iter().filter(|e| matches!(e.kind, EventKind::Hung { .. })).count()
        };
        let mut seen = 0;
        for _ in 0..500 {
            seen += hung();
            if seen == 2 {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("{seen} of 2 connections have ended");
    }
}
