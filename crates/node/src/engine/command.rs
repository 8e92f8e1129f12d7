//! What the engine wants done. The agent carries commands out in their order.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ashvane_gossip::{OrphanMonitorTerm, Server, Update};
use ashvane_identifiers::Address;
use ashvane_quorum::membership_manager::ReplicaProgress;
use ashvane_quorum::{Outcome, Response};
use tokio::sync::oneshot;

use super::{LogEvent, UnsyncedResponse};
use crate::config::Config;
use crate::links::{LinkId, Message};

/// What is done with a response of the own replica once its state is on disk.
#[derive(Clone, Debug)]
pub enum AfterSync {
    /// An operation that runs here gets the response to its request of this number.
    RespondLocally(u64),
    /// The response is sent over the link on which the request came, under its number.
    RespondOverLink {
        /// The link.
        link: LinkId,
        /// The number of the request.
        number: u64,
    },
    /// Nothing: a chosen value was taken over.
    Discard,
}

/// A response of the own replica that has been synced.
#[derive(Debug)]
pub struct SyncedResponse {
    /// What is done with it.
    pub then: AfterSync,
    /// The response.
    pub response: Response,
    /// What the disk holds.
    pub progress: ReplicaProgress,
}

/// What the engine wants done.
pub enum Command {
    /// Send a message over these links.
    Send {
        /// The links, in their order.
        links: Vec<LinkId>,
        /// The message.
        message: Message,
    },
    /// Close a link, which is in the engine's table no longer.
    CloseLink(LinkId),
    /// Connect to a process.
    Connect(Address),
    /// Sync the own replica's state, then report [`Engine::response_synced`](super::Engine::response_synced).
    SyncReplica {
        /// The response that rests on it.
        response: UnsyncedResponse,
        /// What is done with it then.
        then: AfterSync,
    },
    /// Save the servers that are known, when there is time.
    SaveServers(Vec<Server>),
    /// Call [`Engine::poll_operations`](super::Engine::poll_operations) after this delay.
    PollOperationsAfter(Duration),
    /// Call [`Engine::flush_updates`](super::Engine::flush_updates) at this time since the start.
    FlushUpdatesAt(Duration),
    /// Read the register, then report [`Engine::background_read_ended`](super::Engine::background_read_ended).
    ReadRegister,
    /// Read the register, then report [`Engine::verification_ended`](super::Engine::verification_ended) with these
    /// questions.
    VerifyQuorum(BTreeMap<LinkId, u64>),
    /// Wait until a quorum has applied this term, then report
    /// [`Engine::orphan_monitor_claim_ended`](super::Engine::orphan_monitor_claim_ended).
    ClaimOrphanMonitor(OrphanMonitorTerm),
    /// Wait for the outcome, then report
    /// [`Engine::membership_change_ended`](super::Engine::membership_change_ended).
    AwaitMembershipChange(oneshot::Receiver<Outcome>),
    /// Tell the data plane that these entries have changed, and how many gateways share budgets.
    UpdateDataPlane {
        /// The entries.
        updates: Vec<Update>,
        /// How many gateways share budgets.
        gateways: usize,
    },
    /// Tell the data plane which configuration is in force.
    ConfigureDataPlane(Rc<Config>),
    /// Log an event.
    Log(LogEvent),
}
