//! The life of one connection: hello both ways, then messages until one side closes it or falls silent.

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

/// A peer that sends nothing for this long is taken for lost: it sends digests each second.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time for a connection to come up, and for its first message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The longest line that is read, in bytes: a configuration and some.
const MAX_LINE_BYTES: usize = 8 << 20;
/// Messages that may wait to be written: a peer that does not read is disconnected.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Buffer of the reader, in bytes: most lines are digests of less than a hundred.
const READ_BUFFER_BYTES: usize = 4096;
/// A line buffer that a long line has made larger than this, in bytes, is given back.
const MAX_KEPT_LINE_BUFFER_BYTES: usize = 64 << 10;

/// Which side connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// This process did.
    Outgoing,
    /// The peer did.
    Incoming,
}

/// Whether a connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It goes on.
    Open,
    /// It is to be closed.
    Closed,
}

/// Encoded messages on their way to a peer. The connection is closed once this is dropped.
pub type MessageQueue = mpsc::Sender<Rc<str>>;

/// What a process does with its connections.
pub trait ConnectionHandler: 'static {
    /// This process, as it presents itself.
    fn own_node(&self) -> Node;

    /// What connections are made of.
    fn transport(&self) -> &dyn Transport;

    /// The first line of a connection was no hello.
    fn handshake_failed(&self);

    /// A peer has presented itself.
    fn connection_opened(self: &Rc<Self>, peer: Node, direction: Direction, queue: MessageQueue) -> LinkId;

    /// A line has come.
    fn line_received(self: &Rc<Self>, link: LinkId, line: Result<Message, DecodeError>) -> ConnectionState;

    /// The connection has ended, whoever ended it.
    fn connection_closed(self: &Rc<Self>, link: LinkId);
}

/// How a connection, or an attempt to make one, has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The peer never presented itself.
    NeverLinked,
    /// It was linked, and is no longer.
    Unlinked,
}

/// Connects to a process and carries the connection to its end.
pub async fn connect<H: ConnectionHandler>(address: Address, handler: Rc<H>) -> ConnectionEnd {
    let connecting = handler.transport().connect(address);
    let Ok(Some((read, write))) = timeout(CONNECT_TIMEOUT, connecting).await else {
        return ConnectionEnd::NeverLinked;
    };
    run(read, write, Direction::Outgoing, handler).await
}

/// Carries a connection to its end.
pub async fn run<H: ConnectionHandler>(
    read: impl AsyncRead + Unpin, mut write: impl AsyncWrite + Unpin, direction: Direction, handler: Rc<H>,
) -> ConnectionEnd {
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, read);
    let Some(peer) = handshake(&mut reader, &mut write, &*handler).await else {
        return ConnectionEnd::NeverLinked;
    };
    let (queue, queued) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let link = handler.connection_opened(peer, direction, queue);
    // In this order, so that a simulated day is the same each time.
    tokio::select! {
        biased;
        () = receive(reader, link, &handler) => {}
        () = send(write, queued) => {}
    }
    handler.connection_closed(link);
    ConnectionEnd::Unlinked
}

/// Says hello and waits for the peer's.
async fn handshake<H: ConnectionHandler>(
    reader: &mut BufReader<impl AsyncRead + Unpin>, write: &mut (impl AsyncWrite + Unpin), handler: &H,
) -> Option<Node> {
    // Never compressed: it is read before anything is known of the peer.
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

/// Hands over what comes, until the peer closes the connection or sends nothing for [`PEER_TIMEOUT`].
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

/// Writes what is queued, as much at once as there is, until the queue is dropped or the peer is gone.
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

/// Reads a line; whether there was a complete one.
async fn read_line(reader: &mut BufReader<impl AsyncRead + Unpin>, line: &mut Vec<u8>) -> bool {
    line.clear();
    let mut limited = reader.take(MAX_LINE_BYTES as u64);
    matches!(limited.read_until(b'\n', line).await, Ok(read) if read > 0 && line.ends_with(b"\n"))
}
