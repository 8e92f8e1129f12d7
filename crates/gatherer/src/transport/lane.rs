//! One connection to a shard server: a task that dials, writes what is queued and tells what it reads.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt as _, StreamExt as _};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};
use tokio_util::codec::{FramedRead, FramedWrite};

use crate::protocol::frame::{Fault, Frames, Got, PartCall, Sent};
use crate::routing::Event;

/// A part that waits for its frame to be written.
#[derive(Clone)]
pub struct Queued {
    pub id: Arc<str>,
    pub shard: u32,
    pub text: Arc<str>,
    pub until: Instant,
}

enum Out {
    Call(Vec<Queued>),
    GiveUp(Arc<str>),
}

/// What the owner and the task share. The owner bounds what is queued: parts by the connection's
/// number, each given up once.
#[derive(Default)]
pub struct Lane {
    outbox: RefCell<VecDeque<Out>>,
    /// The parts of the frame that is being written.
    writing: RefCell<Vec<Arc<str>>>,
    news: Notify,
    closing: Notify,
    frames: Frames,
}

impl Lane {
    pub fn call(&self, parts: Vec<Queued>) {
        self.outbox.borrow_mut().push_back(Out::Call(parts));
        self.news.notify_one();
    }

    pub fn give_up(&self, id: Arc<str>) {
        self.outbox.borrow_mut().push_back(Out::GiveUp(id));
        self.news.notify_one();
    }

    /// Ends the connection at once, even if nothing can be written; what is out on it is given up.
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Takes a part back whose frame is not begun; false if it is.
    pub fn withdraw(&self, id: &str) -> bool {
        let mut outbox = self.outbox.borrow_mut();
        for out in outbox.iter_mut() {
            let Out::Call(parts) = out else { continue };
            if let Some(at) = parts.iter().position(|p| &*p.id == id) {
                parts.remove(at);
                outbox.retain(|out| !matches!(out, Out::Call(parts) if parts.is_empty()));
                return true;
            }
        }
        false
    }

    /// Whether the last byte of a part's frame is still to be written.
    pub fn unwritten(&self, id: &str) -> bool {
        let queued = |out: &Out| matches!(out, Out::Call(parts) if parts.iter().any(|p| &*p.id == id));
        self.outbox.borrow().iter().any(queued) || self.writing.borrow().iter().any(|w| &**w == id)
    }

    /// Since when a frame has begun to come that is not whole yet.
    pub fn reads_since(&self) -> Option<Instant> {
        self.frames.begun.get()
    }

    fn next(&self) -> Option<Sent> {
        let parts = match self.outbox.borrow_mut().pop_front()? {
            Out::GiveUp(id) => return Some(Sent::GiveUp(id)),
            Out::Call(parts) => parts,
        };
        *self.writing.borrow_mut() = parts.iter().map(|p| p.id.clone()).collect();
        let now = Instant::now();
        let wait = |p: &Queued| (p.until.saturating_duration_since(now).as_millis() as u64).max(1);
        let part = |p: Queued| PartCall { wait_ms: wait(&p), id: p.id, shard: p.shard, text: p.text };
        Some(Sent::Call(parts.into_iter().map(part).collect()))
    }

    async fn work(
        &self, number: u64, address: SocketAddr, dial_limit: Duration, events: &mpsc::Sender<Event>,
    ) -> Result<(), Fault> {
        let dialled = timeout(dial_limit, TcpStream::connect(address)).await;
        let stream = dialled.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let _ = events.send(Event::Up(number)).await;
        self.talk(stream, number, address, events).await
    }

    async fn talk(
        &self, stream: impl AsyncRead + AsyncWrite, number: u64, address: SocketAddr,
        events: &mpsc::Sender<Event>,
    ) -> Result<(), Fault> {
        let (read, write) = tokio::io::split(stream);
        let (mut read, mut write) =
            (FramedRead::new(read, self.frames.clone()), FramedWrite::new(write, self.frames.clone()));
        let reading = async {
            while let Some(got) = read.next().await {
                match got? {
                    Got::Answer { id, end, value } => {
                        let _ = events.send(Event::Answered { lane: number, id, end, value }).await;
                    }
                    Got::Unusable(words) => {
                        log::warn!("{address} could not use a frame: {words:?}");
                        return Err(Fault::Malformed("frame not usable"));
                    }
                }
            }
            Ok(())
        };
        let writing = async {
            loop {
                while let Some(frame) = self.next() {
                    write.send(frame).await?;
                    self.writing.borrow_mut().clear();
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

    pub async fn run(
        self: Rc<Self>, number: u64, address: SocketAddr, dial_limit: Duration, events: mpsc::Sender<Event>,
    ) {
        match self.work(number, address, dial_limit, &events).await {
            Ok(()) => {}
            Err(Fault::Broken(e)) => log::debug!("connection to {address}: {e}"),
            Err(Fault::Malformed(what)) => log::warn!("connection to {address} dropped: {what}"),
        }
        let _ = events.send(Event::Down(number)).await;
    }
}

#[cfg(test)]
mod tests {
    use tokio::io::AsyncReadExt as _;

    use super::*;

    /// A connection that takes so many bytes of a frame and then breaks: is the part unwritten?
    async fn unwritten_after(bytes: usize) -> bool {
        let lane = Lane::default();
        let part = Queued { id: "a.1".into(), shard: 1, text: "c".repeat(200).into(), until: Instant::now() };
        lane.call(vec![part]);
        let (ours, mut theirs) = tokio::io::duplex(1);
        let (events, _inbox) = mpsc::channel(1);
        let breaking = async {
            let mut taken = vec![0; bytes];
            theirs.read_exact(&mut taken).await.expect("so much is written");
            tokio::task::yield_now().await;
            drop(theirs);
            std::future::pending::<()>().await
        };
        let address = ([127, 0, 0, 1], 1).into();
        tokio::select! { _ = lane.talk(ours, 1, address, &events) => {}, () = breaking => {} }
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
        lane.call(vec![part("a.1"), part("a.2")]);
        assert!(lane.withdraw("a.1") && !lane.withdraw("a.1"));
        assert!(matches!(lane.next(), Some(Sent::Call(parts)) if parts.len() == 1 && &*parts[0].id == "a.2"));
        assert!(!lane.withdraw("a.2") && lane.unwritten("a.2"));
        lane.call(vec![part("a.3")]);
        assert!(lane.withdraw("a.3") && lane.next().is_none(), "no empty frame is left");
    }
}
