//! Proposals: their numbers, their values as sent, and their stored form.

mod accepted_proposal;
mod proposal_number;
mod proposed_value;

pub use accepted_proposal::AcceptedProposal;
pub use proposal_number::ProposalNumber;
pub use proposed_value::ProposedValue;
