//! Connections between processes of the system, which exchange messages as lines of JSON.
//!
//! | item | purpose |
//! | --- | --- |
//! | [`Message`] | messages between processes |
//! | [`codec`] | encoding of messages as lines |
//! | [`Transport`] | network below the connections: sockets, or a simulated network |
//! | [`ConnectionHandler`], [`run`], [`connect`] | handshake, sending and receiving on one connection |

pub mod codec;

mod connection;
mod link_id;
mod message;
mod transport;

pub use connection::{
    ConnectionEnd, ConnectionHandler, ConnectionState, Direction, MessageQueue, PEER_TIMEOUT, connect, run,
};
pub use link_id::LinkId;
pub use message::Message;
pub use transport::{Connecting, Halves, TcpTransport, Transport, split_socket};
