//! Commands that the engine issues. The agent executes them in order.

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
use crate::disk::DepartureWrite;
use crate::links::{LinkId, Message};

/// Handling of a response from the local replica once the replica's state is synced to disk.
#[derive(Clone, Debug)]
pub enum AfterSync {
    /// Passes the response to the local operation that sent the request with this number.
    RespondLocally(u64),
    /// Sends the response over the link on which the request was received.
    RespondOverLink {
        /// Link on which the request was received.
        link: LinkId,
        /// Number of the request.
        number: u64,
    },
    /// Discards the response: the request only stored a chosen value in the local replica.
    Discard,
}

/// Response of the local replica whose state is synced to disk.
#[derive(Debug)]
pub struct SyncedResponse {
    /// Handling of the response.
    pub then: AfterSync,
    /// Response to the request.
    pub response: Response,
    /// Progress that is synced to disk.
    pub progress: ReplicaProgress,
}

/// Action that the engine requests from the agent.
pub enum Command {
    /// Sends a message over links.
    Send {
        /// Links, in the order in which to send.
        links: Vec<LinkId>,
        /// Message to send.
        message: Message,
    },
    /// Closes a link that has been removed from the engine's link table.
    CloseLink(LinkId),
    /// Connects to the process at this address.
    Connect(Address),
    /// Syncs the state of the local replica to disk, then calls
    /// [`Engine::response_synced`](super::Engine::response_synced).
    SyncReplica {
        /// Response that depends on this state.
        response: UnsyncedResponse,
        /// Handling of the response after the sync.
        then: AfterSync,
    },
    /// Saves the list of servers to disk when the disk writer is free; the engine does not wait for it.
    SaveServers(Vec<Server>),
    /// Writes departures of servers to disk, then calls
    /// [`Engine::departures_synced`](super::Engine::departures_synced) with this number.
    SaveDepartures {
        /// Number of the write.
        number: u64,
        /// Change of the log of departures.
        write: DepartureWrite,
    },
    /// Calls [`Engine::poll_operations`](super::Engine::poll_operations) after this delay.
    PollOperationsAfter(Duration),
    /// Calls [`Engine::flush_updates`](super::Engine::flush_updates) at this time since the start of the
    /// process.
    FlushUpdatesAt(Duration),
    /// Reads the register, then calls
    /// [`Engine::background_read_ended`](super::Engine::background_read_ended).
    ReadRegister,
    /// Reads the register, then calls [`Engine::verification_ended`](super::Engine::verification_ended) with
    /// these requests, which map links to request numbers.
    VerifyQuorum(BTreeMap<LinkId, u64>),
    /// Waits until a quorum has applied this term, then calls
    /// [`Engine::orphan_monitor_claim_ended`](super::Engine::orphan_monitor_claim_ended).
    ClaimOrphanMonitor(OrphanMonitorTerm),
    /// Waits for the outcome of a membership change, then calls
    /// [`Engine::membership_change_ended`](super::Engine::membership_change_ended).
    AwaitMembershipChange(oneshot::Receiver<Outcome>),
    /// Notifies the data plane of changed directory entries.
    UpdateDataPlane {
        /// Changed entries.
        updates: Vec<Update>,
        /// Number of gateways that share the budgets.
        gateways: usize,
    },
    /// Passes the configuration in force to the data plane.
    ConfigureDataPlane(Rc<Config>),
    /// Logs a change of state.
    Log(LogEvent),
}
