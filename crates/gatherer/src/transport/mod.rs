//! The sockets: clients in front, discovery and shard servers behind. Nothing here decides.

pub mod admin;
pub mod answers;
pub mod discovery;
pub mod front;
mod head;
pub mod keepers;
pub mod lane;
