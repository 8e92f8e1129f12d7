//! One owner at a time for work on behalf of a fleet.
//!
//! Job: what a lease is worth by whose clock ([`Terms`]), the record of leases, epochs and tables that keepers
//! replicate ([`record`]), the way of one process to ownership and out of it ([`Seat`]), what it may do meanwhile
//! ([`Permit`], [`Duty`]), the fence at receivers ([`Fence`]), when whom to call ([`Pace`]), and the first duty, the
//! [`roster`]. May know: time as what has passed on a clock that is handed in. Must not know: clocks, sockets,
//! files, how the record is replicated, what gatherers do.

#![expect(
    missing_docs,
    clippy::missing_errors_doc,
    reason = "not done yet: The control and state code reads as well as it works"
)]

pub mod fence;
pub mod pace;
pub mod record;
pub mod roster;
pub mod seat;
pub mod terms;

pub use fence::Fence;
pub use pace::Pace;
pub use record::{Command, Judge, Record, Reply};
pub use seat::{Duty, Permit, Seat, Stamp};
pub use terms::Terms;
