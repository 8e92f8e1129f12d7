//! Connections between the system's own processes: lines of JSON both ways.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`Message`] | what processes send each other |
//! | [`codec`] | a message as a line, and back |
//! | [`Transport`] | what connections are made of: sockets, or a simulated network |
//! | [`ConnectionHandler`], [`run`], [`connect`] | the life of one connection |

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
