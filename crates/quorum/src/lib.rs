//! A register on a majority of disks: the configuration, of which each version has one text that is decided once,
//! and the membership, the set of disks that keep it.
//!
//! Within one epoch of the membership the register is changed by compare-and-set under ballots, without a log and
//! without a leader: a proposer prepares a ballot at a majority, which brings what was accepted last, and has the
//! value that follows from it accepted by a majority. An accept that names the next membership seals the epoch: what
//! it holds is installed on a majority of the next members, and a replica votes in an epoch only once it holds the
//! state of that epoch on its own disk.
//!
//! Nothing here reads a clock, a socket or a file: [`Replica`] is one disk's part, [`Operation`] that of a proposer.

pub mod duty;
mod membership;
mod message;
mod operation;
mod pace;
mod proposal;
mod replica;
mod value;

pub use duty::Watch;
pub use membership::{DiskId, Member, Membership};
pub use message::{Refusal, Request, Response};
pub use operation::{Chosen, Operation, Outcome, Step};
pub use pace::Pace;
pub use proposal::{Accepted, Ballot, Proposal};
pub use replica::{Replica, ReplicaState};
pub use value::{DECISIONS_REMEMBERED, Decided, Standing, StoredConfig, TextDigest, Value};
