//! A client's byte stream between the socket and the HTTP library. It passes on no byte after a request head
//! until the library has stated the length of that request's body. It also rejects requests with more than
//! one header about the length of the body: the HTTP library would use one of them and serve the request.
//! Before a connection is closed, the stream reads the rest of the request, so that the client can read the
//! answer.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Number of bytes of each line that are stored: enough to recognize the names of the headers checked here.
const MAX_LINE_PREFIX_BYTES: usize = 32;
/// Maximum number of bytes that are read after the answer and before the close. If unread bytes remain at the
/// close, the kernel resets the connection and the client may lose the answer.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// Maximum time for reading those bytes.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// The part of a request that the next byte belongs to.
enum ReadState {
    /// A request head.
    Head {
        /// The first bytes of the current line.
        line: Vec<u8>,
        /// Whether a line that is not empty has ended. Empty lines before it do not end the head.
        started: bool,
        /// Number of headers that state the length or the transfer coding of the body.
        length_headers: u32,
    },
    /// The byte after a head whose body length the HTTP library has not stated yet.
    HeadEnd { length_headers: u32 },
    /// A body, with the number of its bytes that are still to come.
    Body(u64),
    /// A chunked body. Its end is not detected, because the connection is closed after the request.
    ChunkedBody,
}

impl Default for ReadState {
    fn default() -> Self {
        ReadState::Head { line: Vec::new(), started: false, length_headers: 0 }
    }
}

impl ReadState {
    /// Consumes bytes up to the end of the current part of the request. Returns how many were consumed; the
    /// rest belongs to the next part. Fails if bytes follow a head whose body length is not stated yet.
    fn consume(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let consumed = match self {
            ReadState::Head { line, started, length_headers } => {
                let Some(consumed) =
                    bytes.iter().position(|byte| consume_head_byte(*byte, line, started, length_headers))
                else {
                    return Ok(bytes.len());
                };
                *self = ReadState::HeadEnd { length_headers: *length_headers };
                return Ok(consumed + 1);
            }
            ReadState::HeadEnd { .. } if !bytes.is_empty() => return Err(io::ErrorKind::InvalidData.into()),
            ReadState::HeadEnd { .. } | ReadState::ChunkedBody => return Ok(bytes.len()),
            ReadState::Body(remaining_bytes) => {
                let consumed = bytes.len().min(usize::try_from(*remaining_bytes).unwrap_or(usize::MAX));
                *remaining_bytes -= consumed as u64;
                consumed
            }
        };
        if matches!(self, ReadState::Body(0)) {
            *self = ReadState::default();
        }
        Ok(consumed)
    }
}

/// Consumes the next byte of a head. Returns whether it is the last one.
fn consume_head_byte(byte: u8, line: &mut Vec<u8>, started: &mut bool, length_headers: &mut u32) -> bool {
    if byte != b'\n' {
        if byte != b'\r' && line.len() < MAX_LINE_PREFIX_BYTES {
            line.push(byte);
        }
        return false;
    }
    if line.is_empty() {
        return *started;
    }
    let name = line.split(|b| *b == b':').next().unwrap_or_default();
    let is_name = |expected: &str| name.eq_ignore_ascii_case(expected.as_bytes());
    *length_headers += u32::from(is_name("content-length") || is_name("transfer-encoding"));
    (*started, *line) = (true, Vec::new());
    false
}

/// The read state of a connection, shared by its [`ClientStream`] and the service for its requests.
#[derive(Clone, Default)]
pub(super) struct Framing(Rc<RefCell<ReadState>>);

impl Framing {
    /// Records the length of the body that begins, or `None` if it is chunked. Returns false if the head has
    /// more than one header about the length of the body.
    pub(super) fn begin_body(&self, length: Option<u64>) -> bool {
        let mut state = self.0.borrow_mut();
        let is_valid = matches!(*state, ReadState::HeadEnd { length_headers: 0 | 1 });
        *state = match length {
            Some(0) => ReadState::default(),
            Some(length) => ReadState::Body(length),
            None => ReadState::ChunkedBody,
        };
        is_valid
    }
}

/// The byte stream of a client's connection.
pub(super) struct ClientStream<S> {
    stream: S,
    /// Called with the number of bytes after each write.
    on_written: Box<dyn Fn(usize)>,
    framing: Framing,
    /// Bytes received together with the end of the previous part of a request.
    unconsumed: BytesMut,
    /// Remaining time and number of bytes for reading before the close.
    linger: Option<(Pin<Box<Sleep>>, usize)>,
}

impl<S> ClientStream<S> {
    pub(super) fn new(stream: S, framing: Framing, on_written: impl Fn(usize) + 'static) -> Self {
        ClientStream {
            stream,
            on_written: Box::new(on_written),
            framing,
            unconsumed: BytesMut::new(),
            linger: None,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = out.filled().len();
        if self.unconsumed.is_empty() {
            ready!(Pin::new(&mut self.stream).poll_read(cx, out))?;
        } else {
            let length = self.unconsumed.len().min(out.remaining());
            out.put_slice(&self.unconsumed.split_to(length));
        }
        let received = &out.filled()[before..];
        let consumed = self.framing.0.borrow_mut().consume(received)?;
        let mut unconsumed = BytesMut::from(&received[consumed..]);
        unconsumed.unsplit(std::mem::take(&mut self.unconsumed));
        self.unconsumed = unconsumed;
        out.set_filled(before + consumed);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        (self.on_written)(written);
        Poll::Ready(Ok(written))
    }

    /// With vectored writes, the HTTP library writes directly from the bytes of an answer instead of making a
    /// copy whose memory is not charged.
    fn poll_write_vectored(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, bytes))?;
        (self.on_written)(written);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if matches!(*self.framing.0.borrow(), ReadState::Head { started: false, .. }) {
            return Poll::Ready(Ok(()));
        }
        let ClientStream { stream, linger, .. } = &mut *self;
        let (timer, remaining_bytes) =
            linger.get_or_insert_with(|| (Box::pin(sleep(LINGER_TIMEOUT)), MAX_LINGER_BYTES));
        let mut bytes = [0; 4096];
        while *remaining_bytes > 0 && timer.as_mut().poll(cx).is_pending() {
            let mut unread = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut unread)) {
                Ok(()) if !unread.filled().is_empty() => {
                    *remaining_bytes = remaining_bytes.saturating_sub(unread.filled().len())
                }
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

    /// Reads requests as the HTTP library does, from bytes that arrive in pieces of the lengths `cuts`.
    /// Returns the lengths of the heads, and whether every head had at most one header about the length of
    /// its body.
    async fn read_requests(bytes: &[u8], cuts: &[u8], bodies: &[u64]) -> (Vec<usize>, bool) {
        let (server_end, mut client_end) = tokio::io::duplex(bytes.len().max(1));
        let writing = async {
            let mut at = 0;
            for cut in cuts.iter().map(|c| usize::from(*c)).chain([bytes.len()]) {
                let next = (at + cut).min(bytes.len());
                tokio::io::AsyncWriteExt::write_all(&mut client_end, &bytes[at..next])
                    .await
                    .expect("the pipe holds all bytes");
                tokio::task::yield_now().await;
                at = next;
            }
            drop(client_end);
        };
        let framing = Framing::default();
        let mut client_stream = ClientStream::new(server_end, framing.clone(), |_| {});
        let reading = async {
            let (mut head_lengths, mut all_valid) = (Vec::new(), true);
            for body in bodies {
                let mut head = 0;
                while !matches!(*framing.0.borrow(), ReadState::HeadEnd { .. }) {
                    head += client_stream.read(&mut [0; 64]).await.expect("the bytes are sent");
                }
                head_lengths.push(head);
                all_valid &= framing.begin_body(Some(*body));
                client_stream.read_exact(&mut vec![0; *body as usize]).await.expect("the body is sent");
            }
            (head_lengths, all_valid)
        };
        tokio::join!(writing, reading).1
    }

    /// Guards against a body read as a head, or the reverse, however the bytes are split.
    #[test]
    fn heads_end_where_they_end_however_their_bytes_arrive() {
        fn arrive(cuts: Vec<u8>) -> bool {
            let first = "\r\nPOST /a HTTP/1.1\r\nHost: content-length: 3\r\ncontent-LENGTH: 27\r\n\r\n";
            let body = "Transfer-Encoding: x\r\n\r\n\r\n\n";
            let second = "POST /b HTTP/1.1\nTransfer-Encoding : no\nX: y\n\n";
            let runtime = tokio::runtime::Builder::new_current_thread().build().expect("the runtime starts");
            let all = [first, body, second].concat();
            let received = runtime.block_on(read_requests(all.as_bytes(), &cuts, &[body.len() as u64, 0]));
            received == (vec![first.len(), second.len()], true)
        }
        QuickCheck::new().rng(Gen::from_size_and_seed(40, 7)).quickcheck(arrive as fn(Vec<u8>) -> bool);
    }

    /// Guards against request smuggling: a request hidden in the body of one that states its length twice.
    #[tokio::test]
    async fn two_headers_on_a_bodys_length_are_seen_in_any_order_and_case() {
        let (length, chunks) = ("Content-Length: 5", "transfer-encoding:chunked");
        let lines = [[length, chunks], [chunks, length], [length, "CONTENT-length:5"], [chunks, chunks]];
        for [one, two] in lines {
            let head = format!("POST /a HTTP/1.1\r\n{one}\r\nHost: x\r\n{two}\r\n\r\n");
            assert!(!read_requests(head.as_bytes(), &[], &[0]).await.1, "{head}");
        }
    }
}
