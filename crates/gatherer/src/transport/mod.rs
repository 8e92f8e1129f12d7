//! The sockets: clients in front, discovery and shard servers behind. Nothing here decides.

pub(crate) mod admin;
pub(crate) mod answers;
pub(crate) mod discovery;
pub(crate) mod front;
mod head;
pub(crate) mod keepers;
pub(crate) mod lane;
