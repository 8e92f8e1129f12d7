//! Execution of the commands that the engine issues.

use std::rc::Rc;

use ashvane_gossip::Update;
use ashvane_identifiers::Address;
use ashvane_quorum::Outcome;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use super::Agent;
use crate::disk::DepartureWrite;
use crate::engine::{
    AfterSync, ClaimResult, Command, Engine, SyncedResponse, UnsyncedResponse, VerificationRead,
};
use crate::links::{self, LinkId, Message, codec};

impl Agent {
    /// Executes commands in order.
    pub(super) fn execute(self: &Rc<Self>, commands: Vec<Command>) {
        for command in commands {
            self.execute_one(command);
        }
    }

    fn execute_one(self: &Rc<Self>, command: Command) {
        match command {
            Command::Send { links, message } => self.send(&links, &message),
            Command::CloseLink(link) => drop(self.queues.borrow_mut().remove(&link)),
            Command::Connect(address) => self.connect(address),
            Command::SyncReplica { response, then } => self.sync_replica(response, then),
            Command::SaveServers(servers) => {
                if let Some(disk) = &self.disk {
                    disk.save_servers(servers);
                }
            }
            Command::SaveDepartures { number, write } => self.save_departures(number, write),
            Command::PollOperationsAfter(delay) => self.spawn(async move |agent| {
                sleep(delay).await;
                agent.handle(Engine::poll_operations);
            }),
            Command::FlushUpdatesAt(time) => self.spawn(async move |agent| {
                sleep_until(agent.started_at + time).await;
                agent.handle(Engine::flush_updates);
            }),
            Command::ReadRegister => self.spawn(async move |agent| {
                // `read_newest` has already passed its result to the engine; a failed read is repeated later.
                let _ = agent.read_newest().await;
                agent.handle(|engine, _| engine.background_read_ended());
            }),
            Command::VerifyQuorum(questions) => self.spawn(async move |agent| {
                let read = match agent.read_newest().await {
                    Ok(_) => VerificationRead::Succeeded,
                    Err(_) => VerificationRead::Failed,
                };
                agent.handle(|engine, now| engine.verification_ended(questions, read, now));
            }),
            Command::ClaimOrphanMonitor(term) => self.spawn(async move |agent| {
                let result = match agent.await_quorum(Update::OrphanMonitor(term.clone())).await {
                    Ok(()) => ClaimResult::Acknowledged,
                    Err(_) => ClaimResult::Unacknowledged,
                };
                agent.handle(|engine, _| engine.orphan_monitor_claim_ended(term, result));
            }),
            Command::AwaitMembershipChange(outcome) => self.await_membership_change(outcome),
            Command::UpdateDataPlane { updates, gateways } => {
                if let Some(data_plane) = &self.data_plane {
                    data_plane.servers_changed(self.engine.borrow().directory(), &updates);
                    data_plane.gateways_changed(gateways);
                }
            }
            Command::ConfigureDataPlane(config) => {
                if let Some(data_plane) = &self.data_plane {
                    data_plane.config_changed(config);
                }
            }
            Command::Log(event) => self.log_event(&event),
        }
    }

    /// Spawns a task on the local set of the process, with which it ends at the latest.
    fn spawn<F: Future<Output = ()> + 'static>(self: &Rc<Self>, task: impl FnOnce(Rc<Self>) -> F) {
        spawn_local(task(self.clone()));
    }

    /// Queues a message for each of these links. Closes a link whose queue is full because the peer does not
    /// read.
    fn send(self: &Rc<Self>, links: &[LinkId], message: &Message) {
        let Ok(line) = codec::encode(message) else { return };
        for link in links {
            let Some(is_queued) =
                self.queues.borrow().get(link).map(|queue| queue.try_send(line.clone()).is_ok())
            else {
                continue;
            };
            let mut engine = self.engine.borrow_mut();
            engine.links_mut().count_sent(message, line.len());
            if !is_queued {
                self.queues.borrow_mut().remove(link);
                engine.links_mut().remove(*link);
            }
        }
    }

    /// Connects to a process and reports the end of the connection to the engine.
    fn connect(self: &Rc<Self>, address: Address) {
        self.spawn(async move |agent| {
            let end = links::connect(address.clone(), agent.clone()).await;
            agent.handle(|engine, now| engine.connection_ended(&address, end, now));
        });
    }

    /// Queues the replica's state for the disk immediately, and passes the response to the engine once the
    /// state is synced.
    fn sync_replica(self: &Rc<Self>, unsynced: UnsyncedResponse, then: AfterSync) {
        let Some(disk) = &self.disk else { return };
        let UnsyncedResponse { response, state, progress } = unsynced;
        let synced = disk.save_replica(state);
        self.spawn(async move |agent| {
            // The sender is dropped without a notification if the disk was closed first.
            if synced.await.is_ok() {
                let synced = SyncedResponse { then, response, progress };
                agent.handle(|engine, now| engine.response_synced(synced, now));
            }
        });
    }

    /// Queues departures of servers for the disk, and reports to the engine once they are synced.
    fn save_departures(self: &Rc<Self>, number: u64, write: DepartureWrite) {
        let Some(disk) = &self.disk else { return };
        let synced = disk.save_departures(write);
        self.spawn(async move |agent| {
            // The sender is dropped without a notification if the disk was closed first.
            if synced.await.is_ok() {
                agent.handle(|engine, _| engine.departures_synced(number));
            }
        });
    }

    /// Reports the outcome of a membership change to the engine once it is known.
    fn await_membership_change(self: &Rc<Self>, outcome: oneshot::Receiver<Outcome>) {
        self.spawn(async move |agent| {
            let membership = match outcome.await {
                Ok(Outcome::MembershipChanged(membership)) => Some(membership),
                _ => None,
            };
            agent.handle(|engine, now| engine.membership_change_ended(membership, now));
        });
    }
}
