//! Messages between a proposer and the replicas.

mod rejection;
mod request;
mod response;

pub use rejection::Rejection;
pub use request::{KnownValue, Request};
pub use response::Response;
