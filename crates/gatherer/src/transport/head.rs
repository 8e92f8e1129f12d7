//! A client's bytes on their way to HTTP, which is handed no byte past a head before it has said what belongs
//! to that request. Of two headers that contradict each other on a body's length HTTP's reader keeps one and
//! serves the request; both are seen here. It also sees to it that a client can read why its request was not
//! read to the end.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Bytes of a line that are kept: as many as tell the names that matter from all others.
const LINE_KEPT: usize = 32;
/// Bytes and time for what a client still sends after its answer: unread, they would take the answer along.
const LINGER_MOST: usize = 256 * 1024;
pub(super) const LINGER: Duration = Duration::from_millis(300);

/// What the next byte belongs to.
enum Next {
    Head {
        line: Vec<u8>,
        begun: bool,
        /// How many headers state the body's length or form.
        framings: u32,
    },
    /// To what follows a head that HTTP has not spoken of yet.
    Unsaid {
        framings: u32,
    },
    Body(u64),
    /// To a body in chunks. Where it ends is not followed: no request comes after it.
    Chunks,
}

impl Default for Next {
    fn default() -> Self {
        Next::Head { line: Vec::new(), begun: false, framings: 0 }
    }
}

impl Next {
    /// How many of the bytes belong here; what follows them is the next thing's.
    fn pass(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let passed = match self {
            Next::Head { line, begun, framings } => {
                let Some(passed) = bytes.iter().position(|byte| ends_head(*byte, line, begun, framings))
                else {
                    return Ok(bytes.len());
                };
                *self = Next::Unsaid { framings: *framings };
                return Ok(passed + 1);
            }
            Next::Unsaid { .. } if !bytes.is_empty() => return Err(io::ErrorKind::InvalidData.into()),
            Next::Unsaid { .. } | Next::Chunks => return Ok(bytes.len()),
            Next::Body(left) => {
                let passed = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= passed as u64;
                passed
            }
        };
        if matches!(self, Next::Body(0)) {
            *self = Next::default();
        }
        Ok(passed)
    }
}

/// Takes a head's next byte: whether it is the last.
fn ends_head(byte: u8, line: &mut Vec<u8>, begun: &mut bool, framings: &mut u32) -> bool {
    if byte != b'\n' {
        if byte != b'\r' && line.len() < LINE_KEPT {
            line.push(byte);
        }
        return false;
    }
    if line.is_empty() {
        return *begun;
    }
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    let frames = |known: &str| name.eq_ignore_ascii_case(known.as_bytes());
    *framings += u32::from(frames("content-length") || frames("transfer-encoding"));
    (*begun, *line) = (true, Vec::new());
    false
}

/// Shared by a connection's bytes and those who serve its requests.
#[derive(Clone, Default)]
pub(super) struct Framing(Rc<RefCell<Next>>);

impl Framing {
    /// A request is served whose body has this length; none if it comes in chunks. False if its head says
    /// more than one thing about that.
    pub(super) fn sound(&self, length: Option<u64>) -> bool {
        let mut next = self.0.borrow_mut();
        let sound = matches!(*next, Next::Unsaid { framings: 0 | 1 });
        *next = match length {
            Some(0) => Next::default(),
            Some(length) => Next::Body(length),
            None => Next::Chunks,
        };
        sound
    }
}

/// A client's connection.
pub(super) struct Watched<S> {
    stream: S,
    /// Told of the bytes that went out.
    wrote: Box<dyn Fn(usize)>,
    framing: Framing,
    /// Came with bytes that belong to what was before them.
    rest: BytesMut,
    linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl<S> Watched<S> {
    pub(super) fn new(stream: S, framing: Framing, wrote: impl Fn(usize) + 'static) -> Self {
        Watched { stream, wrote: Box::new(wrote), framing, rest: BytesMut::new(), linger: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        if self.rest.is_empty() {
            ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        } else {
            let length = self.rest.len().min(out.remaining());
            out.put_slice(&self.rest.split_to(length));
        }
        let got = &out.filled()[before..];
        let passed = self.framing.0.borrow_mut().pass(got)?;
        let mut rest = BytesMut::from(&got[passed..]);
        rest.unsplit(std::mem::take(&mut self.rest));
        self.rest = rest;
        out.set_filled(before + passed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let wrote = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        (self.wrote)(wrote);
        Poll::Ready(Ok(wrote))
    }

    /// HTTP then writes from an answer's own bytes, and makes no copy of them that has no room.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let wrote = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bytes))?;
        (self.wrote)(wrote);
        Poll::Ready(Ok(wrote))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if matches!(*self.framing.0.borrow(), Next::Head { begun: false, .. }) {
            return Poll::Ready(Ok(()));
        }
        let Watched { stream, linger, .. } = &mut *self;
        let (time, left) = linger.get_or_insert_with(|| (Box::pin(sleep(LINGER)), LINGER_MOST));
        let mut bytes = [0; 4096];
        while *left > 0 && time.as_mut().poll(cx).is_pending() {
            let mut unread = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut unread)) {
                Ok(()) if !unread.filled().is_empty() => *left = left.saturating_sub(unread.filled().len()),
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck};
    use tokio::io::AsyncReadExt as _;

    use super::*;

    /// Reads as HTTP does, from bytes that come in these cuts: each head, then its body; were all sound?
    async fn heads(bytes: &[u8], cuts: &[u8], bodies: &[u64]) -> (Vec<usize>, bool) {
        let (near, mut far) = tokio::io::duplex(bytes.len().max(1));
        let writing = async {
            let mut at = 0;
            for cut in cuts.iter().map(|c| usize::from(*c)).chain([bytes.len()]) {
                let next = (at + cut).min(bytes.len());
                tokio::io::AsyncWriteExt::write_all(&mut far, &bytes[at..next]).await.expect("room");
                tokio::task::yield_now().await;
                at = next;
            }
            drop(far);
        };
        let framing = Framing::default();
        let mut watched = Watched::new(near, framing.clone(), |_| {});
        let reading = async {
            let (mut lengths, mut sound) = (Vec::new(), true);
            for body in bodies {
                let mut head = 0;
                while !matches!(*framing.0.borrow(), Next::Unsaid { .. }) {
                    head += watched.read(&mut [0; 64]).await.expect("bytes");
                }
                lengths.push(head);
                sound &= framing.sound(Some(*body));
                watched.read_exact(&mut vec![0; *body as usize]).await.expect("the body");
            }
            (lengths, sound)
        };
        tokio::join!(writing, reading).1
    }

    /// Guards against a body taken for a head or the other way round, wherever the bytes are cut.
    #[test]
    fn heads_end_where_they_end_however_their_bytes_arrive() {
        fn arrive(cuts: Vec<u8>) -> bool {
            let first = "\r\nPOST /a HTTP/1.1\r\nHost: content-length: 3\r\ncontent-LENGTH: 27\r\n\r\n";
            let body = "Transfer-Encoding: x\r\n\r\n\r\n\n";
            let second = "POST /b HTTP/1.1\nTransfer-Encoding : no\nX: y\n\n";
            let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
            let all = [first, body, second].concat();
            let got = runtime.block_on(heads(all.as_bytes(), &cuts, &[body.len() as u64, 0]));
            got == (vec![first.len(), second.len()], true)
        }
        QuickCheck::new().rng(Gen::from_size_and_seed(40, 7)).quickcheck(arrive as fn(Vec<u8>) -> bool);
    }

    /// Guards against a request hidden in the body of one that states its length twice.
    #[tokio::test]
    async fn two_headers_on_a_bodys_length_are_seen_in_any_order_and_case() {
        let (length, chunks) = ("Content-Length: 5", "transfer-encoding:chunked");
        let lines = [[length, chunks], [chunks, length], [length, "CONTENT-length:5"], [chunks, chunks]];
        for [one, two] in lines {
            let head = format!("POST /a HTTP/1.1\r\n{one}\r\nHost: x\r\n{two}\r\n\r\n");
            assert!(!heads(head.as_bytes(), &[], &[0]).await.1, "{head}");
        }
    }
}
