//! A replicated register: the configuration of which each version is chosen once, and the membership, the set of
//! replicas that keep it.
//!
//! The protocol is single-decree Paxos repeated on one register, as in CASPaxos (Rystsov, "CASPaxos: Replicated State
//! Machines without logs", 2018): a proposer prepares a proposal number at a quorum, which returns what was accepted
//! last, and then has the value that follows from it accepted by a quorum (Lamport, "Paxos Made Simple", 2001, phases 1
//! and 2). There is no log and no leader. A value is *chosen* once a quorum has accepted it under one number; this crate
//! uses no other word for that.
//!
//! The membership changes by epochs. A proposal that names the next membership seals the epoch if it is chosen; its value
//! is then installed on a quorum of the next members, and a replica votes in an epoch only once it holds the state of that
//! epoch on its own disk.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`Membership`] | the replicas that vote in an epoch |
//! | [`ProposalNumber`], [`ProposedValue`], [`AcceptedProposal`] | proposals |
//! | [`Request`], [`Response`], [`Rejection`] | messages between a proposer and replicas |
//! | [`RegisterValue`], [`VersionedConfig`], [`ChosenVersions`] | what the register holds |
//! | [`Replica`] | the acceptor: one disk's part |
//! | [`Operation`] | the proposer: a write, a read or a membership change |
//! | [`RetrySchedule`] | when an operation sends its requests again |
//! | [`membership_manager`] | which change of the membership is due, and whether a member may shut down |
//!
//! Nothing here reads a clock, a socket or a file.

pub mod membership_manager;

mod membership;
mod message;
mod operation;
mod proposal;
mod register_value;
mod replica;
mod retry_schedule;

pub use ashvane_identifiers::DiskId;
pub use membership::{Member, Membership};
pub use message::{KnownValue, Rejection, Request, Response};
pub use operation::{AddressedRequest, ChosenProposal, Operation, Outcome, Step};
pub use proposal::{AcceptedProposal, ProposalNumber, ProposedValue};
pub use register_value::{
    ChosenVersions, ContentDigest, MAX_CHOSEN_VERSIONS, RegisterValue, SubmissionStatus, VersionedConfig,
};
pub use replica::{HandledRequest, Replica, ReplicaState};
pub use retry_schedule::RetrySchedule;
