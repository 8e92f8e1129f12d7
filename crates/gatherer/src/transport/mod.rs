//! Network code: connections to clients, discovery, shard servers and keepers. It makes no routing decisions.

pub(crate) mod admin;
pub(crate) mod answers;
pub(crate) mod discovery;
pub(crate) mod front;
mod head;
pub(crate) mod keepers;
pub(crate) mod lane;
