//! Budgets shared by all gateways: retries to a service and connections to a server. Each gateway may use its
//! share without coordination. The shares never add up to more than the budget, even during a network
//! partition.
//!
//! This crate reads no clock and no socket: times are passed in, relative to the start of the process.

mod connection_share;
mod gateway_count;
mod retry_budget;

pub use connection_share::connections_per_gateway;
pub use gateway_count::GatewayCount;
pub use retry_budget::{RetryAllowance, RetryBudget, RetryUsage};

/// Minimum number of gateways among which a budget is divided. When a gateway knows only few others, it would
/// otherwise use too large a share, which cannot be revoked later.
pub const MIN_GATEWAYS: usize = 8;
