//! What connections are made of.

use std::pin::Pin;

use ashvane_identifiers::Address;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::PEER_TIMEOUT;

/// The two halves of a connection, whatever carries it.
pub type Halves = (Box<dyn AsyncRead + Unpin>, Box<dyn AsyncWrite + Unpin>);

/// A connection that is coming up; none where it could not.
pub type Connecting = Pin<Box<dyn Future<Output = Option<Halves>>>>;

/// What lies between processes: sockets in service, a simulated network in tests.
pub trait Transport {
    /// Connects to a process. The caller bounds the time.
    fn connect(&self, address: Address) -> Connecting;
}

/// The network that the system's own machines are on.
pub struct TcpTransport;

impl Transport for TcpTransport {
    fn connect(&self, address: Address) -> Connecting {
        Box::pin(async move {
            let (read, write) = split_socket(TcpStream::connect(address.as_str()).await.ok()?);
            Some((Box::new(read) as _, Box::new(write) as _))
        })
    }
}

/// The halves of a socket, set up so that a machine that is gone is noticed. A socket that refuses these options still
/// works: the peer then times out by its own messages.
pub fn split_socket(stream: TcpStream) -> (OwnedReadHalf, OwnedWriteHalf) {
    let _ = stream.set_nodelay(true);
    let timeout_ms = PEER_TIMEOUT.as_millis() as u32;
    let _ = rustix::net::sockopt::set_tcp_user_timeout(&stream, timeout_ms);
    stream.into_split()
}
