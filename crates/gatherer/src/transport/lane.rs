//! The task of one connection to a shard server. It dials, writes queued frames, and reports received answers
//! as events.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_memory::{Charge, Ledger, Purpose};
use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};
use tokio::net::TcpSocket;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::protocol::event::Event;
use crate::protocol::frame::{self, FrameCodec, FrameError, IncomingFrame, OutgoingFrame, PartCall};

/// Capacity that a buffer retains between frames. The larger buffer of a longer frame is released.
const RETAINED_BUFFER_BYTES: usize = 4 * 1024;
/// Minimum free capacity of the buffer before each read.
const MIN_READ_BYTES: usize = 1024;
/// Estimated memory of an open connection: both buffers, the task and the records. The difference to the
/// actual use is reported as unattributed.
pub(crate) const SERVER_CONNECTION_BYTES: u64 = 12 * 1024;
/// Size of the socket's receive buffer, which holds answers that are not read yet: several frames of maximum
/// length.
const RECEIVE_BUFFER_BYTES: u32 = 256 * 1024;
/// Delay before memory for a frame is requested again. Meanwhile routing processes the answers received so
/// far, which releases memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A part of a frame that is queued for writing.
#[derive(Clone)]
pub(crate) struct QueuedPart {
    pub id: Arc<str>,
    pub shard: u32,
    pub payload: Arc<str>,
    pub deadline: Instant,
}

enum QueuedFrame {
    Call(Vec<QueuedPart>, Charge),
    Cancel(Arc<str>),
}

/// State shared by the connection's owner, the pool, and the task. The owner bounds the queue: it limits the
/// number of parts for each connection and cancels each part at most once.
#[derive(Default)]
pub(crate) struct ConnectionTask {
    outbox: RefCell<VecDeque<QueuedFrame>>,
    /// Ids of the parts of the frame that is being written.
    writing: RefCell<Vec<Arc<str>>>,
    frame_queued: Notify,
    close_requested: Notify,
    codec: FrameCodec,
}

impl ConnectionTask {
    /// Queues a frame, with the charge for its memory.
    pub(crate) fn queue_call(&self, parts: Vec<QueuedPart>, charge: Charge) {
        self.outbox.borrow_mut().push_back(QueuedFrame::Call(parts, charge));
        self.frame_queued.notify_one();
    }

    /// Queues a cancel frame for a part.
    pub(crate) fn cancel(&self, id: Arc<str>) {
        self.outbox.borrow_mut().push_back(QueuedFrame::Cancel(id));
        self.frame_queued.notify_one();
    }

    /// Closes the connection at once, even if nothing can be written. Its parts in flight are abandoned.
    pub(crate) fn close(&self) {
        self.close_requested.notify_one();
    }

    /// Removes a part from the queue. Returns false if its frame is already being written or has been.
    pub(crate) fn withdraw(&self, id: &str) -> bool {
        let mut outbox = self.outbox.borrow_mut();
        for frame in outbox.iter_mut() {
            let QueuedFrame::Call(parts, _) = frame else { continue };
            if let Some(at) = parts.iter().position(|p| &*p.id == id) {
                parts.remove(at);
                outbox.retain(|frame| !matches!(frame, QueuedFrame::Call(parts, _) if parts.is_empty()));
                return true;
            }
        }
        false
    }

    /// Whether the frame of a part is queued or not yet written to its last byte.
    pub(crate) fn is_unwritten(&self, id: &str) -> bool {
        let has_part = |frame: &QueuedFrame| matches!(frame, QueuedFrame::Call(parts, _) if parts.iter().any(|p| &*p.id == id));
        self.outbox.borrow().iter().any(has_part) || self.writing.borrow().iter().any(|w| &**w == id)
    }

    /// Returns the time at which the first byte of an incomplete incoming frame arrived, or `None` if no frame
    /// is incomplete.
    pub(crate) fn partial_since(&self) -> Option<Instant> {
        self.codec.partial_since.get()
    }

    /// Returns the next frame to write, with the charge to hold until it is written.
    fn next_frame(&self) -> Option<(OutgoingFrame, Option<Charge>)> {
        let (parts, charge) = match self.outbox.borrow_mut().pop_front()? {
            QueuedFrame::Cancel(id) => return Some((OutgoingFrame::Cancel(id), None)),
            QueuedFrame::Call(parts, charge) => (parts, charge),
        };
        *self.writing.borrow_mut() = parts.iter().map(|p| p.id.clone()).collect();
        let now = Instant::now();
        let wait = |p: &QueuedPart| (p.deadline.saturating_duration_since(now).as_millis() as u64).max(1);
        let part =
            |p: QueuedPart| PartCall { timeout_ms: wait(&p), id: p.id, shard: p.shard, payload: p.payload };
        Some((OutgoingFrame::Call(parts.into_iter().map(part).collect()), Some(charge)))
    }

    /// Charges the memory of an incoming frame, and waits until there is enough unless the frame exceeds the
    /// cap. Nothing is read meanwhile, so `partial_since` is reset: the server did not cause the delay.
    async fn reserve_memory(&self, length: u64, ledger: &Ledger) -> Result<Charge, FrameError> {
        loop {
            if let Ok(charge) = ledger.take(Purpose::Frames, None, length) {
                return Ok(charge);
            }
            if length > ledger.limits().of(Purpose::Frames).cap {
                return Err(FrameError::MemoryLimit);
            }
            self.codec.partial_since.set(None);
            sleep(MEMORY_RETRY_DELAY).await;
        }
    }

    /// Dials the server, reports the connection as established and serves it until it ends.
    async fn connect_and_exchange(
        &self, number: u64, address: SocketAddr, dial_timeout: Duration, events: &mpsc::Sender<Event>,
        ledger: &Ledger,
    ) -> Result<(), FrameError> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        let connected = timeout(dial_timeout, socket.connect(address)).await;
        let stream = connected.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let _ = events.send(Event::Connected(number)).await;
        self.exchange_frames(stream, number, address, events, ledger).await
    }

    /// Reads and writes frames until the connection ends or is closed.
    async fn exchange_frames(
        &self, stream: impl AsyncRead + AsyncWrite, number: u64, address: SocketAddr,
        events: &mpsc::Sender<Event>, ledger: &Ledger,
    ) -> Result<(), FrameError> {
        let (mut read, mut write) = tokio::io::split(stream);
        let reading = async {
            let (mut codec, mut bytes) = (self.codec.clone(), BytesMut::new());
            let mut charge = None;
            loop {
                // Routing holds the answer once it is decoded, so its memory is charged before the frame is
                // complete.
                if let (Some(length), None) = (frame::expected_frame_bytes(&bytes), &charge) {
                    charge = Some(self.reserve_memory(length as u64, ledger).await?);
                }
                let Some(incoming) = codec.decode(&mut bytes)? else {
                    if bytes.capacity() - bytes.len() < MIN_READ_BYTES {
                        bytes.reserve(RETAINED_BUFFER_BYTES);
                    }
                    if read.read_buf(&mut bytes).await? == 0 {
                        return Ok(());
                    }
                    continue;
                };
                if bytes.is_empty() && bytes.capacity() > 2 * RETAINED_BUFFER_BYTES {
                    bytes = BytesMut::new();
                }
                match (incoming, charge.take()) {
                    (IncomingFrame::Answer { id, status, value }, Some(charge)) => {
                        let _ = events
                            .send(Event::CallAnswered { connection: number, id, status, value, charge })
                            .await;
                    }
                    (IncomingFrame::ProtocolError(message), _) => {
                        log::warn!("server {address} reported a protocol error: {message:?}");
                        return Err(FrameError::Malformed("the server reported a protocol error"));
                    }
                    (IncomingFrame::Answer { .. }, None) => {
                        return Err(FrameError::Malformed("received an answer frame without a length"));
                    }
                }
            }
        };
        let writing = async {
            let (mut codec, mut bytes) = (self.codec.clone(), BytesMut::new());
            loop {
                while let Some((frame, _charge)) = self.next_frame() {
                    codec.encode(frame, &mut bytes)?;
                    write.write_all_buf(&mut bytes).await?;
                    self.writing.borrow_mut().clear();
                    if bytes.capacity() > RETAINED_BUFFER_BYTES {
                        bytes = BytesMut::new();
                    }
                }
                self.frame_queued.notified().await;
            }
        };
        tokio::select! {
            result = reading => result,
            result = writing => result,
            () = self.close_requested.notified() => Ok(()),
        }
    }

    /// Runs the connection until it ends, then reports its end.
    pub(crate) async fn run(
        self: Rc<Self>, number: u64, address: SocketAddr, dial_timeout: Duration,
        events: mpsc::Sender<Event>, ledger: Ledger,
    ) {
        match self.connect_and_exchange(number, address, dial_timeout, &events, &ledger).await {
            Ok(()) => {}
            Err(FrameError::Io(e)) => log::debug!("connection to server {address} failed: {e}"),
            Err(FrameError::MemoryLimit) => {
                log::warn!(
                    "connection to server {address} closed: incoming frame exceeds the memory cap for frames"
                )
            }
            Err(FrameError::Malformed(reason)) => {
                log::warn!("connection to server {address} closed: {reason}")
            }
        }
        let _ = events.send(Event::Disconnected(number)).await;
    }
}

#[cfg(test)]
mod tests {
    use tokio::io::AsyncReadExt as _;

    use ashvane_memory::Limits;

    use super::*;

    fn ledger() -> Ledger {
        Ledger::new(Limits::of_memory(32 << 20), &[])
    }

    fn reserve_memory() -> Charge {
        ledger().take(Purpose::Calls, None, 1).expect("the ledger has enough memory")
    }

    /// Whether a part counts as unwritten after the connection has accepted `bytes` bytes of its frame and
    /// then disconnected.
    async fn is_unwritten_after(bytes: usize) -> bool {
        let task = ConnectionTask::default();
        let part = QueuedPart {
            id: "a.1".into(),
            shard: 1,
            payload: "c".repeat(200).into(),
            deadline: Instant::now(),
        };
        task.queue_call(vec![part], reserve_memory());
        let (ours, mut theirs) = tokio::io::duplex(1);
        let (events, _inbox) = mpsc::channel(1);
        let disconnecting = async {
            let mut taken = vec![0; bytes];
            theirs.read_exact(&mut taken).await.expect("the task writes this many bytes");
            tokio::task::yield_now().await;
            drop(theirs);
            std::future::pending::<()>().await
        };
        let (address, ledger) = (([127, 0, 0, 1], 1).into(), ledger());
        tokio::select! {
            _ = task.exchange_frames(ours, 1, address, &events, &ledger) => {},
            () = disconnecting => {}
        }
        task.is_unwritten("a.1")
    }

    /// Guards against a part that counts as never sent although it may have run, and the reverse.
    #[tokio::test]
    async fn a_part_is_written_with_the_last_byte_of_its_frame_and_not_before() {
        let frame = 4 + "Sa.1 1 d=1 200\n".len() + 200;
        for bytes in [0, 1, frame - 2] {
            assert!(is_unwritten_after(bytes).await, "{bytes} of {frame} bytes");
        }
        assert!(!is_unwritten_after(frame).await);
    }

    #[test]
    fn a_part_can_be_withdrawn_until_its_frame_is_begun() {
        let task = ConnectionTask::default();
        let part =
            |id: &str| QueuedPart { id: id.into(), shard: 1, payload: "c".into(), deadline: Instant::now() };
        task.queue_call(vec![part("a.1"), part("a.2")], reserve_memory());
        assert!(task.withdraw("a.1") && !task.withdraw("a.1"));
        assert!(matches!(
            task.next_frame(),
            Some((OutgoingFrame::Call(parts), _)) if parts.len() == 1 && &*parts[0].id == "a.2"
        ));
        assert!(!task.withdraw("a.2") && task.is_unwritten("a.2"));
        task.queue_call(vec![part("a.3")], reserve_memory());
        assert!(task.withdraw("a.3") && task.next_frame().is_none(), "no empty frame remains in the queue");
    }
}
