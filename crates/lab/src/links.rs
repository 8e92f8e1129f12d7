//! Relays that inject network faults. All traffic between two nodes of a rehearsal passes through a relay,
//! which knows both ends and applies the faults of its link. Relays use loopback sockets only; a stand-in of
//! this process is connected by an in-memory stream.

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

/// Bytes that are forwarded at once.
const CHUNK_BYTES: usize = 8 << 10;
/// Maximum chunks buffered in one direction; further data waits in the sockets.
const MAX_CHUNKS_BUFFERED: usize = 16;
/// Maximum connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Time-out for connecting to a listener with room in its backlog, which normally takes microseconds.
const FILL_TIMEOUT: Duration = Duration::from_millis(20);
/// Maximum connections needed to fill a listener whose backlog is one.
const MAX_FILLERS: usize = 4;
/// Pause between attempts to bind the listener's port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(20);

/// Direction of a fault: from the side that opens the connection (`There`), towards it (`Back`), or both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Direction {
    #[default]
    Both,
    There,
    Back,
}

/// Fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Fault {
    /// Bytes are held back and nothing is reset. If the direction `There` is affected, new connections are
    /// not established.
    Silent,
    /// Open connections are reset; new ones are accepted.
    Reset,
    /// New connections are refused; open ones continue.
    Refused,
    /// Bytes are delayed by `ms` plus a random time of up to `spread_ms`.
    Late { ms: u64, spread_ms: u64 },
    /// Throughput is limited.
    Slow { bytes_a_second: u64 },
}

#[derive(Clone, Debug)]
struct ActiveFault {
    number: usize,
    direction: Direction,
    fault: Fault,
}

/// Faults that are active on a link.
#[derive(Clone, Debug, Default)]
struct LinkState {
    active: Vec<ActiveFault>,
    /// Number of times that all connections of the link have been reset.
    resets: u64,
}

impl LinkState {
    fn find<T>(&self, direction: Direction, select: impl Fn(Fault) -> Option<T>) -> Option<T> {
        let applies = |fault: &&ActiveFault| {
            direction == Direction::Both || fault.direction == Direction::Both || fault.direction == direction
        };
        self.active.iter().filter(applies).find_map(|fault| select(fault.fault))
    }

    fn is_silent(&self, direction: Direction) -> bool {
        self.find(direction, |f| (f == Fault::Silent).then_some(())).is_some()
    }

    fn is_refusing(&self) -> bool {
        self.find(Direction::Both, |f| (f == Fault::Refused).then_some(())).is_some()
    }

    fn delay(&self, direction: Direction) -> Duration {
        let delay = self.find(direction, |f| match f {
            Fault::Late { ms, spread_ms } => Some((ms, spread_ms)),
            _ => None,
        });
        delay.map_or(Duration::ZERO, |(ms, spread)| Duration::from_millis(ms + fastrand::u64(..=spread)))
    }

    fn transmission_time(&self, direction: Direction, bytes: usize) -> Duration {
        let rate = self.find(direction, |f| match f {
            Fault::Slow { bytes_a_second } => Some(bytes_a_second.max(1)),
            _ => None,
        });
        rate.map_or(Duration::ZERO, |rate| Duration::from_secs_f64(bytes as f64 / rate as f64))
    }
}

/// Sends new connections to a stand-in of this process, each with the node that opened it.
pub type ConnectionSender = mpsc::UnboundedSender<(Node, DuplexStream)>;

/// Destination of a link: the listen address of a process, or a stand-in within this process.
#[derive(Clone)]
pub enum Target {
    /// Listen address of a process, which may change at a restart.
    Process(Arc<Mutex<SocketAddr>>),
    /// Stand-in within this process.
    InProcess(ConnectionSender),
}

/// A relay from one node to another.
pub struct Link {
    pub from: Node,
    pub to: Node,
    /// Address to which `from` connects.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    target: Target,
    recorder: Recorder,
    listener: Mutex<Option<TcpListener>>,
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

/// Fills the backlog of a listener with own connections, so that the kernel establishes no further ones.
async fn fill_backlog(listener: &TcpListener) -> io::Result<Vec<(SocketAddr, TcpStream)>> {
    rustix::net::listen(listener, 0)?;
    let mut fillers = Vec::new();
    while fillers.len() < MAX_FILLERS {
        match timeout(FILL_TIMEOUT, TcpStream::connect(listener.local_addr()?)).await {
            Ok(Ok(stream)) => fillers.push((stream.local_addr()?, stream)),
            _ => break,
        }
    }
    Ok(fillers)
}

/// Forwards bytes in one direction until the stream ends, applying the faults of the link.
async fn forward(
    mut from: impl AsyncRead + Unpin, mut to: impl AsyncWrite + Unpin, direction: Direction,
    state: watch::Receiver<LinkState>, sent: &std::sync::atomic::AtomicU64,
) -> io::Result<()> {
    let (queue, mut chunks) = mpsc::channel::<(Instant, Bytes)>(MAX_CHUNKS_BUFFERED);
    let delay_state = state.clone();
    let reading = async move {
        loop {
            let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
            if from.read_buf(&mut chunk).await? == 0 {
                return Ok(());
            }
            let due = Instant::now() + delay_state.borrow().delay(direction);
            if queue.send((due, chunk.freeze())).await.is_err() {
                return Ok(());
            }
        }
    };
    let mut state = state;
    let writing = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            if due > Instant::now() {
                sleep_until(due).await;
            }
            wait_while_silent(&mut state, direction).await;
            to.write_all(&chunk).await?;
            to.flush().await?;
            sent.fetch_add(chunk.len() as u64, std::sync::atomic::Ordering::Relaxed);
            let transmission_time = state.borrow().transmission_time(direction, chunk.len());
            if !transmission_time.is_zero() {
                sleep(transmission_time).await;
            }
        }
        wait_while_silent(&mut state, direction).await;
        to.shutdown().await
    };
    tokio::try_join!(reading, writing).map(|_: ((), ())| ())
}

/// Waits until the fault `Silent` is not active in a direction.
async fn wait_while_silent(state: &mut watch::Receiver<LinkState>, direction: Direction) {
    let _ = state.wait_for(|state| !state.is_silent(direction)).await;
}

impl Link {
    /// Creates the relay with a listener on a free port of `from`'s address.
    pub fn new(from: Node, to: Node, target: Target, recorder: Recorder) -> io::Result<Link> {
        let listener = listen((from.address(), 0).into())?;
        let (address, state) = (listener.local_addr()?, watch::Sender::new(LinkState::default()));
        Ok(Link { from, to, address, state, target, recorder, listener: Mutex::new(Some(listener)) })
    }

    /// Starts a fault. `number` identifies it among the faults that are active at the same time.
    pub fn inject(&self, number: usize, direction: Direction, fault: Fault) {
        self.recorder.record(EventKind::Faulted { from: self.from, to: self.to });
        self.state.send_modify(|state| match fault {
            Fault::Reset => state.resets += 1,
            _ => state.active.push(ActiveFault { number, direction, fault }),
        });
    }

    /// Ends a fault. With `dropped`, the connections are reset and the bytes held back are lost.
    pub fn clear(&self, number: usize, dropped: bool) {
        self.state.send_modify(|state| {
            state.active.retain(|fault| fault.number != number);
            state.resets += u64::from(dropped);
        });
        self.recorder.record(EventKind::Mended { from: self.from, to: self.to });
    }

    /// Accepts and forwards connections for ever.
    pub async fn run(self: Arc<Self>) {
        let mut state = self.state.subscribe();
        let mut listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let mut fillers = Vec::new();
        loop {
            let (refuses, silent) = {
                let state = state.borrow_and_update();
                (state.is_refusing(), state.is_silent(Direction::There))
            };
            if refuses {
                (listener, fillers) = (None, Vec::new());
            }
            let Some(open) = &listener else {
                if refuses {
                    let _ = state.changed().await;
                } else {
                    listener = listen(self.address).ok();
                    if listener.is_none() {
                        sleep(REBIND_INTERVAL).await;
                    }
                }
                continue;
            };
            if silent && fillers.is_empty() {
                fillers = fill_backlog(open).await.unwrap_or_default();
            }
            if silent {
                let _ = state.changed().await;
                continue;
            }
            if !fillers.is_empty() {
                let _ = rustix::net::listen(open, BACKLOG);
                let own_addresses: Vec<SocketAddr> =
                    std::mem::take(&mut fillers).iter().map(|(a, _)| *a).collect();
                for _ in &own_addresses {
                    if let Ok(Ok((stream, peer))) = timeout(FILL_TIMEOUT, open.accept()).await
                        && !own_addresses.contains(&peer)
                    {
                        tokio::spawn(self.clone().carry(stream));
                    }
                }
            }
            tokio::select! {
                accept_result = open.accept() => if let Ok((stream, _)) = accept_result {
                    tokio::spawn(self.clone().carry(stream));
                },
                _ = state.changed() => {}
            }
        }
    }

    async fn carry(self: Arc<Self>, client: TcpStream) {
        self.recorder.record(EventKind::Dialled { from: self.from, to: self.to });
        let sent = std::sync::atomic::AtomicU64::new(0);
        let _ = client.set_nodelay(true);
        match &self.target {
            Target::InProcess(connections) => {
                let (client_end, server_end) = tokio::io::duplex(4 * CHUNK_BYTES);
                if connections.send((self.from, server_end)).is_ok() {
                    self.join(client, client_end, |_| {}, &sent).await;
                }
            }
            Target::Process(address) => {
                let address = *address.lock().unwrap_or_else(PoisonError::into_inner);
                let target = async {
                    let socket = TcpSocket::new_v4()?;
                    socket.bind((self.from.address(), 0).into())?;
                    socket.connect(address).await
                };
                match target.await {
                    Ok(target) => {
                        let _ = target.set_nodelay(true);
                        let reset = |target: &TcpStream| drop(target.set_zero_linger());
                        self.join(client, target, reset, &sent).await;
                    }
                    // The target does not listen: reset the connection so that the opening side notices at
                    // once.
                    Err(_) => drop(client.set_zero_linger()),
                }
            }
        }
        let bytes = sent.into_inner();
        self.recorder.record(EventKind::Hung { from: self.from, to: self.to, bytes });
    }

    /// Forwards between two streams until both directions have ended, one has failed or the link is reset.
    async fn join<F: AsyncRead + AsyncWrite + Unpin>(
        &self, mut client: TcpStream, mut target: F, reset: impl Fn(&F), sent: &std::sync::atomic::AtomicU64,
    ) {
        let mut state = self.state.subscribe();
        let resets = state.borrow().resets;
        let back = std::sync::atomic::AtomicU64::new(0);
        let ended_cleanly = {
            let (client_read, client_write) = client.split();
            let (target_read, target_write) = tokio::io::split(&mut target);
            let towards_target = forward(client_read, target_write, Direction::There, state.clone(), sent);
            let back = forward(target_read, client_write, Direction::Back, state.clone(), &back);
            tokio::select! {
                ended = async { tokio::try_join!(towards_target, back) } => ended.is_ok(),
                _ = state.wait_for(|state| state.resets > resets) => false,
            }
        };
        if !ended_cleanly {
            let _ = client.set_zero_linger();
            reset(&target);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Starts a link to an echo server within this process.
    async fn link(number: u16) -> (Arc<Link>, Recorder) {
        let recorder = Recorder::new(Instant::now());
        let (connections, mut accepted) = mpsc::unbounded_channel::<(Node, DuplexStream)>();
        tokio::spawn(async move {
            while let Some((_, stream)) = accepted.recv().await {
                tokio::spawn(async move {
                    let (mut read, mut write) = tokio::io::split(stream);
                    let _ = tokio::io::copy(&mut read, &mut write).await;
                    let _ = write.shutdown().await;
                });
            }
        });
        let link = Link::new(
            Node::Gatherer(number),
            Node::Server(0),
            Target::InProcess(connections),
            recorder.clone(),
        );
        let link = Arc::new(link.expect("a free port"));
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
    async fn a_silent_link_holds_back_bytes_and_connections_and_then_delivers_or_drops_them() {
        for (number, dropped) in [(600, false), (601, true)] {
            let (link, _) = link(number).await;
            let mut open = dial(&link).await.expect("the connection is established");
            assert!(echoes(&mut open).await);
            link.inject(1, Direction::Both, Fault::Silent);
            assert!(!echoes(&mut open).await, "bytes are held back while the link is silent");
            assert!(dial(&link).await.is_none(), "no connection is established while the link is silent");
            link.clear(1, dropped);
            let mut byte = [0];
            let held =
                timeout(Duration::from_secs(5), open.read_exact(&mut byte)).await.expect("no time-out");
            assert_eq!(held.is_ok(), !dropped, "bytes held back arrive, or their connection is reset");
            let mut reconnected = None;
            for _ in 0..20 {
                reconnected = reconnected.or(dial(&link).await);
            }
            assert!(echoes(&mut reconnected.expect("connections are established again")).await);
        }
    }

    #[tokio::test]
    async fn one_directional_silence_delay_throughput_refusal_and_reset() {
        let (link, _) = link(602).await;
        let mut open = dial(&link).await.expect("the connection is established");
        link.inject(1, Direction::Back, Fault::Silent);
        assert!(!echoes(&mut open).await, "the echo does not come back");
        assert!(
            dial(&link).await.is_some(),
            "a connection is established if only the direction back is silent"
        );
        link.clear(1, false);
        let mut byte = [0];
        open.read_exact(&mut byte).await.expect("the byte held back arrives");
        link.inject(2, Direction::There, Fault::Late { ms: 80, spread_ms: 10 });
        let began = Instant::now();
        assert!(echoes(&mut open).await && began.elapsed() >= Duration::from_millis(80));
        link.clear(2, false);
        link.inject(3, Direction::There, Fault::Slow { bytes_a_second: 10 });
        let began = Instant::now();
        assert!(echoes(&mut open).await && echoes(&mut open).await);
        assert!(began.elapsed() >= Duration::from_millis(90));
        link.clear(3, false);
        link.inject(4, Direction::Both, Fault::Refused);
        let refused = async {
            while TcpStream::connect(link.address).await.is_ok() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(Duration::from_secs(5), refused).await.expect("connections are refused in time");
        assert!(echoes(&mut open).await, "open connections continue");
        link.clear(4, false);
        link.inject(5, Direction::Both, Fault::Reset);
        let reset = timeout(Duration::from_secs(5), open.read_exact(&mut byte)).await.expect("no time-out");
        assert_eq!(reset.expect_err("the connection is reset").kind(), io::ErrorKind::ConnectionReset);
    }

    /// Guards against one side waiting for ever for the other to close, and against bytes lost when one side
    /// closes first.
    #[tokio::test]
    async fn either_side_of_a_connection_may_close_first() {
        let (link, recorder) = link(603).await;
        // The client side stops sending first: its bytes still come back, then the end of the stream.
        let mut client = dial(&link).await.expect("the connection is established");
        client.write_all(b"last words").await.expect("the bytes are sent");
        client.shutdown().await.expect("half closed");
        let mut received = Vec::new();
        timeout(Duration::from_secs(5), client.read_to_end(&mut received))
            .await
            .expect("no time-out")
            .expect("the stream is readable");
        assert_eq!(received, b"last words");
        // The target side closes first.
        let (connections, mut accepted) = mpsc::unbounded_channel::<(Node, DuplexStream)>();
        let second_link =
            Link::new(Node::Gatherer(604), Node::Server(1), Target::InProcess(connections), recorder.clone());
        let second_link = Arc::new(second_link.expect("a free port"));
        tokio::spawn(second_link.clone().run());
        let mut client = dial(&second_link).await.expect("the connection is established");
        let (_, mut target) = accepted.recv().await.expect("the relay connects");
        target.write_all(b"bye").await.expect("the bytes are sent");
        drop(target);
        received.clear();
        timeout(Duration::from_secs(5), client.read_to_end(&mut received))
            .await
            .expect("no time-out")
            .expect("the stream is readable");
        assert_eq!(received, b"bye");
        drop(client);
        let closed_count = || {
            recorder.clone().take().events.iter().filter(|e| matches!(e.kind, EventKind::Hung { .. })).count()
        };
        let mut total_closed = 0;
        for _ in 0..500 {
            total_closed += closed_count();
            if total_closed == 2 {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
        panic!("{total_closed} of 2 closed connections were recorded");
    }
}
