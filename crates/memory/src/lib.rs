//! Memory accounting by purpose and tenant. Decides which charges are admitted and which answer to a
//! stalled client is dropped under memory pressure. Nothing here reads a clock, opens a socket or allocates
//! the memory it accounts for.
//!
//! Responsibilities: a [`Ledger`] of [`Charge`]s, each for a [`Purpose`] and optionally a tenant, which are
//! released on drop; the [`Limits`] that the ledger enforces; the [`Writers`], which find stalled clients;
//! the [`Usual`] size estimate for bytes to set aside. May depend on: bytes, purposes, tenant indexes, the
//! time passed in. Must not depend on: queries, servers, connections, protocols.

mod ledger;
mod limits;
mod purpose;
mod shares;
mod usual;
mod writers;

pub use ledger::{Charge, Ledger, NoRoom, Reason, Row, Table, TenantRow};
pub use limits::{Limit, Limits};
pub use purpose::Purpose;
pub use usual::Usual;
pub use writers::Writers;
