//! Connections in memory that can be reset, and the messages on them, read as strictly as the protocol has them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, DuplexStream, ReadBuf, duplex};

/// Bytes that wait in one direction of a connection.
const WINDOW: usize = 16 << 10;

#[derive(Default)]
struct Line {
    reset: Cell<bool>,
    waiting: RefCell<Vec<Waker>>,
}

/// One end of a connection.
pub(crate) struct Wire {
    stream: DuplexStream,
    line: Rc<Line>,
    unread: Vec<u8>,
}

pub(crate) fn wires() -> (Wire, Wire) {
    let (near, far) = duplex(WINDOW);
    let line = Rc::<Line>::default();
    let end = |stream| Wire { stream, line: line.clone(), unread: Vec::new() };
    (end(near), end(far))
}

impl Wire {
    /// What either side still has to read is lost.
    pub(crate) fn reset(&self) {
        self.line.reset.set(true);
        self.line.waiting.borrow_mut().drain(..).for_each(Waker::wake);
    }

    fn check(&self, cx: &Context<'_>) -> io::Result<()> {
        if self.line.reset.get() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut waiting = self.line.waiting.borrow_mut();
        if !waiting.iter().any(|waker| waker.will_wake(cx.waker())) {
            waiting.push(cx.waker().clone());
        }
        Ok(())
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        Pin::new(&mut self.stream).poll_read(cx, bytes)
    }
}

impl AsyncWrite for Wire {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
pub(crate) enum Fault {
    /// The connection ended between messages, ...
    Ended,
    /// ... or inside one.
    Broken,
    /// What came is none.
    Nonsense(String),
}

impl Wire {
    async fn more(&mut self, inside: bool) -> Result<(), Fault> {
        let mut bytes = [0; 4096];
        match self.read(&mut bytes).await {
            Ok(0) | Err(_) if inside || !self.unread.is_empty() => Err(Fault::Broken),
            Ok(0) | Err(_) => Err(Fault::Ended),
            Ok(n) => {
                self.unread.extend_from_slice(&bytes[..n]);
                Ok(())
            }
        }
    }

    /// Waits for the first bytes of a message.
    pub(crate) async fn begins(&mut self) -> Result<(), Fault> {
        while self.unread.is_empty() {
            self.more(false).await?;
        }
        Ok(())
    }

    async fn line(&mut self, inside: bool) -> Result<String, Fault> {
        loop {
            if let Some(at) = self.unread.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..at + 2).take(at).collect();
                return String::from_utf8(line).map_err(|_| Fault::Nonsense("no text".to_owned()));
            }
            self.more(inside).await?;
        }
    }

    async fn exactly(&mut self, length: usize) -> Result<Vec<u8>, Fault> {
        while self.unread.len() < length {
            self.more(true).await?;
        }
        Ok(self.unread.drain(..length).collect())
    }

    /// The next message, whole. Its body has a length or comes in chunks, or there is none.
    pub(crate) async fn message(&mut self) -> Result<Message, Fault> {
        let mut message = Message { start_line: self.line(false).await?, ..Message::default() };
        loop {
            let line = self.line(true).await?;
            if line.is_empty() {
                break;
            }
            let Some((name, value)) = line.split_once(':') else { return Err(Fault::Nonsense(line)) };
            message.headers.entry(name.to_ascii_lowercase()).or_default().push(value.trim().to_owned());
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let line = self.line(true).await?;
                let Ok(length) = usize::from_str_radix(&line, 16) else { return Err(Fault::Nonsense(line)) };
                message.body.extend(self.exactly(length).await?);
                self.line(true).await?;
                if length == 0 {
                    return Ok(message);
                }
            }
        }
        let length = message.header("content-length").map_or(Ok(0), str::parse);
        let Ok(length) = length else { return Err(Fault::Nonsense("a length".to_owned())) };
        message.body = self.exactly(length).await?;
        Ok(message)
    }
}
