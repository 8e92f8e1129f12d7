//! In-memory connections that can be reset, and a strict reader of the HTTP messages on them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, DuplexStream, ReadBuf, duplex};

/// Capacity of each direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

/// State that both ends of a connection share.
#[derive(Default)]
struct SharedState {
    is_reset: Cell<bool>,
    /// Tasks to wake when the connection is reset.
    wakers: RefCell<Vec<Waker>>,
}

/// One end of an in-memory connection.
pub(crate) struct ResettableStream {
    inner: DuplexStream,
    shared: Rc<SharedState>,
    unread: Vec<u8>,
}

/// Returns both ends of a new connection.
pub(crate) fn stream_pair() -> (ResettableStream, ResettableStream) {
    let (one_end, other_end) = duplex(BUFFER_BYTES);
    let shared = Rc::<SharedState>::default();
    let end = |inner| ResettableStream { inner, shared: shared.clone(), unread: Vec::new() };
    (end(one_end), end(other_end))
}

impl ResettableStream {
    /// Resets the connection. Both ends lose the data that they have not read.
    pub(crate) fn reset(&self) {
        self.shared.is_reset.set(true);
        self.shared.wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }

    /// Fails if the connection was reset; otherwise registers the task to be woken at a reset.
    fn check_reset(&self, cx: &Context<'_>) -> io::Result<()> {
        if self.shared.is_reset.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut wakers = self.shared.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
        Ok(())
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_reset(cx)?;
        Pin::new(&mut self.inner).poll_read(cx, bytes)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check_reset(cx)?;
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// An HTTP request or response as read from a connection.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, Vec<String>>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header, given in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|values| values.first()).map(String::as_str)
    }

    /// Returns the status code of a response, or 0 if there is none.
    pub(crate) fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Why no message was read.
#[derive(Debug, PartialEq)]
pub(crate) enum ReadError {
    /// The connection ended between two messages.
    Closed,
    /// The connection ended within a message.
    Truncated,
    /// The bytes are not a valid message; holds the invalid text.
    Malformed(String),
}

impl ResettableStream {
    /// Reads more bytes. `in_message` says whether a message has begun, so that an end would truncate it.
    async fn read_more(&mut self, in_message: bool) -> Result<(), ReadError> {
        let mut bytes = [0; 4096];
        match self.read(&mut bytes).await {
            Ok(0) | Err(_) if in_message || !self.unread.is_empty() => Err(ReadError::Truncated),
            Ok(0) | Err(_) => Err(ReadError::Closed),
            Ok(n) => {
                self.unread.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }

    /// Waits until the first bytes of a message have arrived.
    pub(crate) async fn wait_for_message(&mut self) -> Result<(), ReadError> {
        while self.unread.is_empty() {
            self.read_more(false).await?;
        }
        Ok(())
    }

    /// Reads a line and returns it without its line end.
    async fn read_line(&mut self, in_message: bool) -> Result<String, ReadError> {
        loop {
            if let Some(length) = self.unread.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..length + 2).take(length).collect();
                return String::from_utf8(line)
                    .map_err(|_| ReadError::Malformed("a line that is not UTF-8".to_owned()));
            }
            self.read_more(in_message).await?;
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Result<Vec<u8>, ReadError> {
        while self.unread.len() < length {
            self.read_more(true).await?;
        }
        Ok(self.unread.drain(..length).collect())
    }

    /// Reads the next message completely. Without `Content-Length` and chunked encoding it has no body.
    pub(crate) async fn read_message(&mut self) -> Result<Message, ReadError> {
        let mut message = Message { start_line: self.read_line(false).await?, ..Message::default() };
        loop {
            let line = self.read_line(true).await?;
            if line.is_empty() {
                break;
            }
            let Some((name, value)) = line.split_once(':') else { return Err(ReadError::Malformed(line)) };
            message.headers.entry(name.to_ascii_lowercase()).or_default().push(value.trim().to_owned());
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.read_line(true).await?;
                let Ok(length) = usize::from_str_radix(&line, 16) else {
                    return Err(ReadError::Malformed(line));
                };
                message.body.extend(self.read_exactly(length).await?);
                self.read_line(true).await?;
                if length == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").map_or(Ok(0), str::parse);
        let Ok(length) = length else {
            return Err(ReadError::Malformed("an invalid Content-Length".to_owned()));
        };
        message.body = self.read_exactly(length).await?;
        Ok(message)
    }
}
