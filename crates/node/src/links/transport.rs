//! Network below the connections between processes.

use std::pin::Pin;

use ashvane_identifiers::Address;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::PEER_TIMEOUT;

/// Read half and write half of a connection.
pub type Halves = (Box<dyn AsyncRead + Unpin>, Box<dyn AsyncWrite + Unpin>);

/// Connection attempt in progress. Resolves to `None` if it fails.
pub type Connecting = Pin<Box<dyn Future<Output = Option<Halves>>>>;

/// Network between processes: sockets in production, a simulated network in tests.
pub trait Transport {
    /// Connects to a process. The caller sets the time-out.
    fn connect(&self, address: Address) -> Connecting;
}

/// Transport over TCP.
pub struct TcpTransport;

impl Transport for TcpTransport {
    fn connect(&self, address: Address) -> Connecting {
        Box::pin(async move {
            let (read, write) = split_socket(TcpStream::connect(address.as_str()).await.ok()?);
            Some((Box::new(read) as _, Box::new(write) as _))
        })
    }
}

/// Disables Nagle's algorithm on a socket, sets a time-out for unacknowledged data so that the failure of
/// the peer's machine is detected, and splits the socket. Failures to set these options are ignored:
/// without them, a failed peer is still detected by [`PEER_TIMEOUT`].
pub fn split_socket(stream: TcpStream) -> (OwnedReadHalf, OwnedWriteHalf) {
    let _ = stream.set_nodelay(true);
    let timeout_ms = PEER_TIMEOUT.as_millis() as u32;
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, timeout_ms);
    stream.into_split()
}
