//! One connection to a shard server: a task that dials, writes what is queued and tells what it reads.

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

/// Bytes that a buffer keeps between frames; what a longer frame needed is given back.
const BUFFER_KEPT: usize = 4 * 1024;
/// Bytes that are read at once at least, where so many are there.
const READ_LEAST: usize = 1024;
/// What a connection takes while it is open, in bytes: both buffers, its task and its records. An estimate:
/// what it misses shows as unattributed.
pub(crate) const LANE_BYTES: u64 = 12 * 1024;
/// What the machine may hold of answers that are not read yet, in bytes: some of the longest frames.
const RECEIVE_BYTES: u32 = 256 * 1024;
/// Pause between looks for room for a frame: the decisions take up what is in meanwhile.
const LOOK: Duration = Duration::from_millis(5);

/// A part that waits for its frame to be written.
#[derive(Clone)]
pub(crate) struct Queued {
    pub id: Arc<str>,
    pub shard: u32,
    pub text: Arc<str>,
    pub until: Instant,
}

enum Out {
    Call(Vec<Queued>, Charge),
    GiveUp(Arc<str>),
}

/// What the owner and the task share. The owner bounds what is queued: parts by the connection's
/// number, each given up once.
#[derive(Default)]
pub(crate) struct Lane {
    outbox: RefCell<VecDeque<Out>>,
    /// The parts of the frame that is being written.
    writing: RefCell<Vec<Arc<str>>>,
    news: Notify,
    closing: Notify,
    frames: FrameCodec,
}

impl Lane {
    /// Queues a frame, with the room that it takes.
    pub(crate) fn call(&self, parts: Vec<Queued>, room: Charge) {
        self.outbox.borrow_mut().push_back(Out::Call(parts, room));
        self.news.notify_one();
    }

    pub(crate) fn give_up(&self, id: Arc<str>) {
        self.outbox.borrow_mut().push_back(Out::GiveUp(id));
        self.news.notify_one();
    }

    /// Ends the connection at once, even if nothing can be written; what is out on it is given up.
    pub(crate) fn close(&self) {
        self.closing.notify_one();
    }

    /// Takes a part back whose frame is not begun; false if it is.
    pub(crate) fn withdraw(&self, id: &str) -> bool {
        let mut outbox = self.outbox.borrow_mut();
        for out in outbox.iter_mut() {
            let Out::Call(parts, _) = out else { continue };
            if let Some(at) = parts.iter().position(|p| &*p.id == id) {
                parts.remove(at);
                outbox.retain(|out| !matches!(out, Out::Call(parts, _) if parts.is_empty()));
                return true;
            }
        }
        false
    }

    /// Whether the last byte of a part's frame is still to be written.
    pub(crate) fn unwritten(&self, id: &str) -> bool {
        let queued = |out: &Out| matches!(out, Out::Call(parts, _) if parts.iter().any(|p| &*p.id == id));
        self.outbox.borrow().iter().any(queued) || self.writing.borrow().iter().any(|w| &**w == id)
    }

    /// Since when a frame has begun to come that is not whole yet.
    pub(crate) fn reads_since(&self) -> Option<Instant> {
        self.frames.partial_since.get()
    }

    /// The next frame to write, and the room that it takes until it is written.
    fn next(&self) -> Option<(OutgoingFrame, Option<Charge>)> {
        let (parts, room) = match self.outbox.borrow_mut().pop_front()? {
            Out::GiveUp(id) => return Some((OutgoingFrame::Cancel(id), None)),
            Out::Call(parts, room) => (parts, room),
        };
        *self.writing.borrow_mut() = parts.iter().map(|p| p.id.clone()).collect();
        let now = Instant::now();
        let wait = |p: &Queued| (p.until.saturating_duration_since(now).as_millis() as u64).max(1);
        let part = |p: Queued| PartCall { timeout_ms: wait(&p), id: p.id, shard: p.shard, payload: p.text };
        Some((OutgoingFrame::Call(parts.into_iter().map(part).collect()), Some(room)))
    }

    /// Takes room for a frame that comes, and waits for it where there will be some. Meanwhile nothing is read,
    /// which is no fault of the server's.
    async fn room(&self, length: u64, ledger: &Ledger) -> Result<Charge, FrameError> {
        loop {
            if let Ok(room) = ledger.take(Purpose::Frames, None, length) {
                return Ok(room);
            }
            if length > ledger.limits().of(Purpose::Frames).cap {
                return Err(FrameError::MemoryLimit);
            }
            self.frames.partial_since.set(None);
            sleep(LOOK).await;
        }
    }

    async fn work(
        &self, number: u64, address: SocketAddr, dial_limit: Duration, events: &mpsc::Sender<Event>,
        ledger: &Ledger,
    ) -> Result<(), FrameError> {
        let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        socket.set_recv_buffer_size(RECEIVE_BYTES)?;
        let dialled = timeout(dial_limit, socket.connect(address)).await;
        let stream = dialled.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let _ = events.send(Event::Connected(number)).await;
        self.talk(stream, number, address, events, ledger).await
    }

    async fn talk(
        &self, stream: impl AsyncRead + AsyncWrite, number: u64, address: SocketAddr,
        events: &mpsc::Sender<Event>, ledger: &Ledger,
    ) -> Result<(), FrameError> {
        let (mut read, mut write) = tokio::io::split(stream);
        let reading = async {
            let (mut frames, mut bytes) = (self.frames.clone(), BytesMut::new());
            let mut room = None;
            loop {
                // What comes is held by others from here on, so room is taken before it is whole.
                if let (Some(length), None) = (frame::expected_frame_bytes(&bytes), &room) {
                    room = Some(self.room(length as u64, ledger).await?);
                }
                let Some(got) = frames.decode(&mut bytes)? else {
                    if bytes.capacity() - bytes.len() < READ_LEAST {
                        bytes.reserve(BUFFER_KEPT);
                    }
                    if read.read_buf(&mut bytes).await? == 0 {
                        return Ok(());
                    }
                    continue;
                };
                if bytes.is_empty() && bytes.capacity() > 2 * BUFFER_KEPT {
                    bytes = BytesMut::new();
                }
                match (got, room.take()) {
                    (IncomingFrame::Answer { id, status, value }, Some(room)) => {
                        let _ = events
                            .send(Event::CallAnswered { connection: number, id, status, value, charge: room })
                            .await;
                    }
                    (IncomingFrame::ProtocolError(words), _) => {
                        log::warn!("{address} could not use a frame: {words:?}");
                        return Err(FrameError::Malformed("frame not usable"));
                    }
                    (IncomingFrame::Answer { .. }, None) => {
                        return Err(FrameError::Malformed("an answer of no length"));
                    }
                }
            }
        };
        let writing = async {
            let (mut frames, mut bytes) = (self.frames.clone(), BytesMut::new());
            loop {
                while let Some((frame, _room)) = self.next() {
                    frames.encode(frame, &mut bytes)?;
                    write.write_all_buf(&mut bytes).await?;
                    self.writing.borrow_mut().clear();
                    if bytes.capacity() > BUFFER_KEPT {
                        bytes = BytesMut::new();
                    }
                }
                self.news.notified().await;
            }
        };
        tokio::select! {
            ended = reading => ended,
            ended = writing => ended,
            () = self.closing.notified() => Ok(()),
        }
    }

    pub(crate) async fn run(
        self: Rc<Self>, number: u64, address: SocketAddr, dial_limit: Duration, events: mpsc::Sender<Event>,
        ledger: Ledger,
    ) {
        match self.work(number, address, dial_limit, &events, &ledger).await {
            Ok(()) => {}
            Err(FrameError::Io(e)) => log::debug!("connection to {address}: {e}"),
            Err(FrameError::MemoryLimit) => {
                log::warn!("connection to {address} dropped: no room for a frame this long")
            }
            Err(FrameError::Malformed(what)) => log::warn!("connection to {address} dropped: {what}"),
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

    fn room() -> Charge {
        ledger().take(Purpose::Calls, None, 1).expect("room")
    }

    /// A connection that takes so many bytes of a frame and then breaks: is the part unwritten?
    async fn unwritten_after(bytes: usize) -> bool {
        let lane = Lane::default();
        let part = Queued { id: "a.1".into(), shard: 1, text: "c".repeat(200).into(), until: Instant::now() };
        lane.call(vec![part], room());
        let (ours, mut theirs) = tokio::io::duplex(1);
        let (events, _inbox) = mpsc::channel(1);
        let breaking = async {
            let mut taken = vec![0; bytes];
            theirs.read_exact(&mut taken).await.expect("so much is written");
            tokio::task::yield_now().await;
            drop(theirs);
            std::future::pending::<()>().await
        };
        let (address, ledger) = (([127, 0, 0, 1], 1).into(), ledger());
        tokio::select! { _ = lane.talk(ours, 1, address, &events, &ledger) => {}, () = breaking => {} }
        lane.unwritten("a.1")
    }

    /// Guards against a part that may have run and counts as never sent, and the other way round.
    #[tokio::test]
    async fn a_part_is_written_with_the_last_byte_of_its_frame_and_not_before() {
        let frame = 4 + "Sa.1 1 d=1 200\n".len() + 200;
        for bytes in [0, 1, frame - 2] {
            assert!(unwritten_after(bytes).await, "{bytes} of {frame} bytes");
        }
        assert!(!unwritten_after(frame).await);
    }

    #[test]
    fn a_part_can_be_withdrawn_until_its_frame_is_begun() {
        let lane = Lane::default();
        let part = |id: &str| Queued { id: id.into(), shard: 1, text: "c".into(), until: Instant::now() };
        lane.call(vec![part("a.1"), part("a.2")], room());
        assert!(lane.withdraw("a.1") && !lane.withdraw("a.1"));
        assert!(matches!(
            lane.next(),
            Some((OutgoingFrame::Call(parts), _)) if parts.len() == 1 && &*parts[0].id == "a.2"
        ));
        assert!(!lane.withdraw("a.2") && lane.unwritten("a.2"));
        lane.call(vec![part("a.3")], room());
        assert!(lane.withdraw("a.3") && lane.next().is_none(), "no empty frame is left");
    }
}
