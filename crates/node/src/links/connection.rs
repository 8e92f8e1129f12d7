//! Connection to a peer: a handshake in which both sides send `Hello`, then messages until one side closes
//! the connection or times out.

use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::Node;
use ashvane_identifiers::Address;
use tokio::io::{
    AsyncBufReadExt as _, AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, BufReader,
};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::codec::{self, DecodeError};
use super::{LinkId, Message, Transport};

/// Time without a message from a peer after which its connection is closed. Peers send a digest every second.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time limit for establishing a connection, and for receiving the first message on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest line that is read: larger than any configuration.
const MAX_LINE_BYTES: usize = 8 << 20;
/// Largest number of messages queued for a peer. A full queue means that the peer does not read; the
/// connection is then closed.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Size of the read buffer. Most lines are digests of less than 100 bytes.
const READ_BUFFER_BYTES: usize = 4096;
/// Largest line buffer that is kept for the next line. A buffer that a long line has grown beyond this is
/// freed.
const MAX_KEPT_LINE_BUFFER_BYTES: usize = 64 << 10;

/// Which side opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// This process opened the connection.
    Outgoing,
    /// The peer opened the connection.
    Incoming,
}

/// Whether a connection is kept open after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// The connection is kept open.
    Open,
    /// The connection must be closed.
    Closed,
}

/// Queue of encoded messages to a peer. Dropping it closes the connection.
pub type MessageQueue = mpsc::Sender<Rc<str>>;

/// Receiver of the events of connections.
pub trait ConnectionHandler: 'static {
    /// Returns the entry of this process that is sent in the handshake.
    fn own_node(&self) -> Node;

    /// Returns the network over which connections are opened.
    fn transport(&self) -> &dyn Transport;

    /// Records that the first line on a connection was not a valid `Hello`.
    fn handshake_failed(&self);

    /// Registers a connection after its handshake, and returns the identifier of its link.
    fn connection_opened(self: &Rc<Self>, peer: Node, direction: Direction, queue: MessageQueue) -> LinkId;

    /// Handles a line received over a link, and returns whether to keep the connection open.
    fn line_received(self: &Rc<Self>, link: LinkId, line: Result<Message, DecodeError>) -> ConnectionState;

    /// Records that a connection was closed by either side.
    fn connection_closed(self: &Rc<Self>, link: LinkId);
}

/// How a connection, or an attempt to open one, has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The connection failed before the handshake was complete.
    NeverLinked,
    /// The connection completed the handshake, and was closed later.
    Unlinked,
}

/// Connects to a process and runs the connection until it is closed.
pub async fn connect<H: ConnectionHandler>(address: Address, handler: Rc<H>) -> ConnectionEnd {
    let connecting = handler.transport().connect(address);
    let Ok(Some((read, write))) = timeout(CONNECT_TIMEOUT, connecting).await else {
        return ConnectionEnd::NeverLinked;
    };
    run(read, write, Direction::Outgoing, handler).await
}

/// Runs an established connection until it is closed.
pub async fn run<H: ConnectionHandler>(
    read: impl AsyncRead + Unpin, mut write: impl AsyncWrite + Unpin, direction: Direction, handler: Rc<H>,
) -> ConnectionEnd {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, read);
    let Some(peer) = handshake(&mut reader, &mut write, &*handler).await else {
        return ConnectionEnd::NeverLinked;
    };
    let (queue, queued) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let link = handler.connection_opened(peer, direction, queue);
    // Polled in a fixed order, so that simulations are deterministic.
    tokio::select! {
        biased;
        () = receive(reader, link, &handler) => {}
        () = send(write, queued) => {}
    }
    handler.connection_closed(link);
    ConnectionEnd::Unlinked
}

/// Sends `Hello` and waits for that of the peer. Returns `None` if the handshake fails.
async fn handshake<H: ConnectionHandler>(
    reader: &mut BufReader<impl AsyncRead + Unpin>, write: &mut (impl AsyncWrite + Unpin), handler: &H,
) -> Option<Node> {
    // `Hello` is never compressed, because peers parse the first line as plain JSON.
    let hello = serde_json::to_string(&Message::Hello(handler.own_node())).ok()? + "\n";
    write.write_all(hello.as_bytes()).await.ok()?;
    let mut line = Vec::new();
    let is_read = timeout(CONNECT_TIMEOUT, read_line(reader, &mut line)).await;
    if !matches!(is_read, Ok(true)) {
        return None;
    }
    let Ok(Message::Hello(peer)) = serde_json::from_slice(&line) else {
        handler.handshake_failed();
        return None;
    };
    Some(peer)
}

/// Passes received lines to the handler, until the handler or the peer closes the connection or the peer
/// sends nothing for [`PEER_TIMEOUT`].
async fn receive<H: ConnectionHandler>(
    mut reader: BufReader<impl AsyncRead + Unpin>, link: LinkId, handler: &Rc<H>,
) {
    let mut line = Vec::new();
    while matches!(timeout(PEER_TIMEOUT, read_line(&mut reader, &mut line)).await, Ok(true)) {
        let message = codec::decode(&line);
        if line.capacity() > MAX_KEPT_LINE_BUFFER_BYTES {
            line = Vec::new();
        }
        if handler.line_received(link, message) == ConnectionState::Closed {
            return;
        }
    }
}

/// Writes queued messages, all that are available in one batch, until the queue is dropped or a write fails.
async fn send(mut write: impl AsyncWrite + Unpin, mut queued: mpsc::Receiver<Rc<str>>) {
    while let Some(first) = queued.recv().await {
        let mut batch = String::from(&*first);
        while let Ok(next) = queued.try_recv() {
            batch.push_str(&next);
        }
        if write.write_all(batch.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a line into the buffer. Returns whether a complete line was read.
async fn read_line(reader: &mut BufReader<impl AsyncRead + Unpin>, line: &mut Vec<u8>) -> bool {
    line.clear();
    let mut limited = reader.take(MAX_LINE_BYTES as u64);
    matches!(limited.read_until(b'\n', line).await, Ok(read) if read > 0 && line.ends_with(b"\n"))
}
