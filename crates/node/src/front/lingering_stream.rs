//! Closing of a connection in stages (RFC 9112, section 9.6).

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _, ReadBuf};
use tokio::time::timeout;

use crate::pool::Stream;

/// Longest time for which a connection is read after its writing side was closed.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes that are read at once from a connection that closes.
const DISCARD_BYTES: usize = 4096;

/// Stream of a connection whose socket stays open when the stream is dropped. A socket that is closed while bytes
/// that it has received are unread is reset, and the peer may lose a response that it has not read yet.
pub(super) struct LingeringStream<S>(Rc<RefCell<S>>);

/// The other handle of a [`LingeringStream`], which closes it.
pub(super) struct LingeringClose<S>(Rc<RefCell<S>>);

impl<S: Stream> LingeringStream<S> {
    /// Wraps a stream.
    pub(super) fn new(stream: S) -> (Self, LingeringClose<S>) {
        let stream = Rc::new(RefCell::new(stream));
        (LingeringStream(stream.clone()), LingeringClose(stream))
    }
}

impl<S: Stream> LingeringClose<S> {
    /// Closes the writing side, then discards what the peer sends until it closes or [`LINGER_TIMEOUT`] has passed.
    /// The [`LingeringStream`] must have been dropped; otherwise it closes the stream itself.
    pub(super) async fn close(self) {
        let Ok(stream) = Rc::try_unwrap(self.0) else { return };
        let mut stream = stream.into_inner();
        if stream.shutdown().await.is_err() {
            return;
        }
        let discard = async {
            let mut bytes = [0; DISCARD_BYTES];
            while matches!(stream.read(&mut bytes).await, Ok(1..)) {}
        };
        // The connection is closed in either case.
        let _ = timeout(LINGER_TIMEOUT, discard).await;
    }
}

impl<S: Stream> AsyncRead for LingeringStream<S> {
    fn poll_read(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_read(cx, buffer)
    }
}

impl<S: Stream> AsyncWrite for LingeringStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>, cx: &mut Context<'_>, buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.0.borrow_mut()).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().is_write_vectored()
    }
}
