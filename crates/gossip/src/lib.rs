//! What all processes of the system know: each other, the servers, the membership.
//!
//! Entries spread by gossip with anti-entropy (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
//! 1987). Each entry has a rank that only rises, so that entries may arrive in any order, twice or late, and all
//! processes still agree in the end: a join semilattice. An [`Update`] is an entry that rose. What a process missed shows in
//! the [`Digest`]s that peers compare, and is repaired entry by entry by [`RankSummary`]s.
//!
//! | module | what it holds |
//! | --- | --- |
//! | [`Directory`] | the state of one process, and how updates change it |
//! | [`Node`], [`Server`] | the entries |
//! | [`Liveness`], [`LivenessAuthority`], [`OrphanMonitorTerm`] | who may say that a server has timed out |
//! | [`Digest`], [`BucketDigests`], [`RankSummary`] | what peers compare |
//! | [`select_peers`] | who connects to whom |
//!
//! Nothing here reads a clock or a socket: times are those since the start of the process, and are passed in.

mod digest;
mod directory;
mod heartbeat;
mod liveness;
mod node;
mod orphan_monitor;
mod peers;
mod server;
mod stable_hash;
mod tombstones;
mod update;

pub use digest::{BucketDigests, BucketSet, Digest, RankSummary};
pub use directory::Directory;
pub use heartbeat::Heartbeat;
pub use liveness::{Liveness, LivenessAuthority};
pub use node::{Node, NodeRank};
pub use orphan_monitor::OrphanMonitorTerm;
pub use peers::{Role, select_peers};
pub use server::{Server, ServerRank, ServerState};
pub use update::Update;
