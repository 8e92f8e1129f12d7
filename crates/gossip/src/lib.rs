//! The shared directory of the system: the processes, the servers, and the membership.
//!
//! Entries spread by gossip with anti-entropy (Demers et al., "Epidemic Algorithms for Replicated Database
//! Maintenance", 1987). Each entry has a rank that only increases, so that entries may arrive late, more than
//! once and in any order, and all processes still converge: the entries form a join semilattice. An
//! [`Update`] is an entry whose rank has increased. Peers compare [`Digest`]s to detect missed updates, and
//! exchange [`RankSummary`]s to repair the differing entries.
//!
//! | item | contents |
//! | --- | --- |
//! | [`Directory`] | the directory of one process, and the application of updates |
//! | [`Node`], [`Server`] | the entries |
//! | [`Liveness`], [`LivenessAuthority`], [`OrphanMonitorTerm`] | who may declare servers timed out |
//! | [`InferredTermination`], [`InferenceCounters`] | what is inferred about servers that did not report their end |
//! | [`Digest`], [`BucketDigests`], [`RankSummary`] | the data that peers compare |
//! | [`select_peers`] | the selection of the peers of a process |
//!
//! This crate reads no clock and no socket: times are passed in, relative to the start of the process.

mod digest;
mod directory;
mod heartbeat;
mod inference;
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
pub use inference::{InferenceCounters, InferredTermination, TerminationEvidence};
pub use liveness::{Liveness, LivenessAuthority};
pub use node::{Node, NodeRank};
pub use orphan_monitor::OrphanMonitorTerm;
pub use peers::{Role, select_peers};
pub use server::{Server, ServerRank, ServerState};
pub use update::Update;
