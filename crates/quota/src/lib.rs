//! Budgets that all gateways share, and the share of them that each may use without asking: retries at a service,
//! connections to a server. The shares never add up to more than the budget, whoever is partitioned off from whom.
//!
//! Nothing here reads a clock or a socket: times are those since the start of the process, and are passed in.

mod connection_share;
mod gateway_count;
mod retry_budget;

pub use connection_share::connections_per_gateway;
pub use gateway_count::GatewayCount;
pub use retry_budget::{RetryAllowance, RetryBudget, RetryUsage};

/// Gateways counted at the least while few are known: a share of the budget that is too large cannot be taken back.
pub const MIN_GATEWAYS: usize = 8;
