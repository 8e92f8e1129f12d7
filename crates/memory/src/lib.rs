//! Memory by purpose. Decides who may take how much memory for what, and who gives way when there is no room:
//! nothing here reads a clock, opens a socket or allocates what it accounts for.
//!
//! Job: a [`Ledger`] of [`Charge`]s, each for a [`Purpose`] and perhaps a tenant, that give themselves back
//! when they are dropped; the [`Limits`] it holds them to; the [`Writers`] whose clients may be stalled; the
//! [`Usual`] weight of what a query brings. May know: bytes, purposes, tenants by number, the time it is
//! told. Must not know: queries, servers, connections, protocols.

#![expect(missing_docs, clippy::missing_errors_doc, reason = "not done yet: The rest reads as well")]

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
