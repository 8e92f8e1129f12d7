//! Proposals: the number that orders them, their value as it is sent, and as a replica has accepted it.

mod accepted;
mod ballot;
mod proposed_value;

pub use accepted::Accepted;
pub use ballot::Ballot;
pub use proposed_value::Proposal;
