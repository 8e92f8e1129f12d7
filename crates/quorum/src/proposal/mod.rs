//! Proposals: the number that orders them, their value as it is sent, and as a replica has accepted it.

mod accepted_proposal;
mod proposal_number;
mod proposed_value;

pub use accepted_proposal::AcceptedProposal;
pub use proposal_number::ProposalNumber;
pub use proposed_value::ProposedValue;
