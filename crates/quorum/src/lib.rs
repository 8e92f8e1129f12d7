//! A replicated register. It stores the configuration, each version of which is chosen once, and the
//! membership: the set of replicas that store the register.
//!
//! The protocol is single-decree Paxos repeated on one register, as in CASPaxos (Rystsov, "CASPaxos:
//! Replicated State Machines without logs", 2018): a proposer prepares a proposal number at a quorum, which
//! returns the last accepted proposals, and then has a value based on the newest one accepted by a quorum
//! (Lamport, "Paxos Made Simple", 2001, phases 1 and 2). There is no log and no leader. A value is *chosen*
//! once a quorum has accepted it with the same proposal number; this crate uses no other term for that.
//!
//! The membership is fixed within an epoch. A proposal that contains the next membership seals the epoch once
//! it is chosen. Its value is then installed on a quorum of the next members. A replica votes in an epoch
//! only once the state of that epoch is on its own disk.
//!
//! | item | contents |
//! | --- | --- |
//! | [`Membership`] | the replicas that vote in an epoch |
//! | [`ProposalNumber`], [`ProposedValue`], [`AcceptedProposal`] | proposals |
//! | [`Request`], [`Response`], [`Rejection`] | messages between a proposer and replicas |
//! | [`RegisterValue`], [`VersionedConfig`], [`ChosenVersions`] | the value of the register |
//! | [`Replica`] | the acceptor, one for each disk |
//! | [`Operation`] | the proposer, which runs a write, a read or a membership change |
//! | [`RetrySchedule`] | the delays between the attempts of an operation |
//! | [`membership_manager`] | the planning of membership changes, and the graceful shutdown of members |
//!
//! This crate reads no clock, socket or file.

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
