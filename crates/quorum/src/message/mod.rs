//! Messages between a proposer and the replicas.

mod refusal;
mod request;
mod response;

pub use refusal::Refusal;
pub use request::Request;
pub use response::Response;
