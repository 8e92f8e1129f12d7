//! The membership manager: a singleton role that replaces failed members by live replicas. Plans membership
//! changes, and decides whether a member may shut down.
//!
//! One process, the coordinator, has the role at a time ([`MembershipView::coordinator`]). It is safe if two
//! processes both act as coordinator: a change is itself a proposal, and each epoch has a single membership.
//! The coordinator relies on the reports of the processes about their own replicas ([`ReplicaReport`]),
//! received over live connections. This module reads no clock and no socket.

mod membership_planner;
mod membership_policy;
mod membership_view;
mod replica_report;
mod shutdown;

pub use membership_planner::{MAX_MEMBERS, MembershipPlanner};
pub use membership_policy::MembershipPolicy;
pub use membership_view::{LIVENESS_TIMEOUT, MembershipView};
pub use replica_report::{LiveReplica, ReplicaProgress, ReplicaReport};
pub use shutdown::may_shut_down;
