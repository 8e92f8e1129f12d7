//! Leases for work that one process at a time does on behalf of a fleet.
//!
//! | item | purpose |
//! | --- | --- |
//! | [`LeaseTerms`] | duration of a lease and the drift bound of the clocks that measure it |
//! | [`LeaseRecord`], [`Command`], [`Reply`] | the replicated record, its commands and their replies |
//! | [`LeaseExpiry`] | decides on a keeper's own clock when a lease has expired |
//! | [`LeaseParticipant`] | state of one process that seeks, holds and releases a lease |
//! | [`SingletonRole`], [`Permit`], [`FencingToken`] | the work, the permission for one action, and the action's token |
//! | [`FencingGuard`] | lets receivers reject actions of superseded epochs |
//! | [`CallSchedule`] | when a gatherer calls which keeper |
//! | [`roster`] | the role that maintains the table of live gatherers |
//!
//! Callers pass in the time as a `Duration` on a monotonic clock. This crate uses no clocks, sockets or files
//! and is independent of how the record is replicated and of what gatherers do. Leases with bounded clock
//! drift are described in Gray and Cheriton, "Leases", 1989.

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
