//! The singleton role that keeps the membership made up of replicas that are alive: which change is due, and whether a
//! member may shut down.
//!
//! One process has the role at a time ([`MembershipView::coordinator`]). Two that both take it for theirs do no harm: the
//! change itself is a proposal, and an epoch has one membership. The coordinator goes by what each process reports of its
//! own disk ([`ReplicaReport`]) over a connection that is alive now. Nothing here reads a clock or a socket.

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
