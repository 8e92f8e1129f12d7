//! Leases for work that one process at a time does on behalf of a fleet.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`LeaseTerms`] | what a lease is worth, by whose clock |
//! | [`LeaseRecord`], [`Command`], [`Reply`] | the record that keepers replicate |
//! | [`LeaseExpiry`] | when a keeper takes a lease for expired, by its own clock |
//! | [`LeaseParticipant`] | one process's way to a lease and out of it |
//! | [`SingletonRole`], [`Permit`], [`FencingToken`] | the work, leave for one act of it, and what the act carries |
//! | [`FencingGuard`] | at receivers: nothing of an epoch takes effect after something of a later one |
//! | [`CallSchedule`] | when whom to call |
//! | [`roster`] | the first role: who is alive |
//!
//! Time is what has passed on a clock that is handed in. Nothing here knows clocks, sockets, files, how the record is
//! replicated, or what gatherers do. Leases with a bound on clocks' rates: Gray and Cheriton, "Leases", 1989.

pub mod roster;

mod call_schedule;
mod command;
mod fencing_guard;
mod lease_expiry;
mod lease_participant;
mod lease_record;
mod lease_terms;
mod permit;
mod reply;

pub use call_schedule::{CallSchedule, NextCall};
pub use command::Command;
pub use fencing_guard::FencingGuard;
pub use lease_expiry::LeaseExpiry;
pub use lease_participant::{LeaseParticipant, ParticipantState, Transition};
pub use lease_record::{Lease, LeaseRecord, MAX_NAME_LENGTH, MAX_ROLES, MAX_TABLE_LENGTH, Table};
pub use lease_terms::{
    KeepersFault, LeaseTerms, MAX_DRIFT, MAX_LEASE, MIN_LEASE, TermsFault, keepers_faults,
};
pub use permit::{FencingToken, Permit, SingletonRole};
pub use reply::Reply;
