//! Connections in memory that can be reset, and the messages on them, read as strictly as the protocol has them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, DuplexStream, ReadBuf, duplex};

/// Bytes that wait in one direction of a connection.
const BUFFER_BYTES: usize = 16 << 10;

#[derive(Default)]
struct SharedState {
    is_reset: Cell<bool>,
    wakers: RefCell<Vec<Waker>>,
}

/// One end of a connection.
pub(crate) struct ResettableStream {
    inner: DuplexStream,
    shared: Rc<SharedState>,
    unread: Vec<u8>,
}

pub(crate) fn stream_pair() -> (ResettableStream, ResettableStream) {
    let (one_end, other_end) = duplex(BUFFER_BYTES);
    let shared = Rc::<SharedState>::default();
    let end = |inner| ResettableStream { inner, shared: shared.clone(), unread: Vec::new() };
    (end(one_end), end(other_end))
}

impl ResettableStream {
    /// What either side still has to read is lost.
    pub(crate) fn reset(&self) {
        self.shared.is_reset.set(true);
        self.shared.wakers.borrow_mut().drain(..).for_each(Waker::wake);
    }

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

/// A request or an answer as it stood on the wire.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, Vec<String>>,
    pub body: Vec<u8>,
}

impl Message {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|values| values.first()).map(String::as_str)
    }

    pub(crate) fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Why no message came.
#[derive(Debug, PartialEq)]
pub(crate) enum ReadError {
    /// The connection ended between messages, ...
    Closed,
    /// ... or inside one.
    Truncated,
    /// What came is none.
    Malformed(String),
}

impl ResettableStream {
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

    /// Waits for the first bytes of a message.
    pub(crate) async fn wait_for_message(&mut self) -> Result<(), ReadError> {
        while self.unread.is_empty() {
            self.read_more(false).await?;
        }
        Ok(())
    }

    async fn read_line(&mut self, in_message: bool) -> Result<String, ReadError> {
        loop {
            if let Some(length) = self.unread.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..length + 2).take(length).collect();
                return String::from_utf8(line).map_err(|_| ReadError::Malformed("no text".to_owned()));
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

    /// The next message, whole. Its body has a length or comes in chunks, or there is none.
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
        let Ok(length) = length else { return Err(ReadError::Malformed("a length".to_owned())) };
        message.body = self.read_exactly(length).await?;
        Ok(message)
    }
}
