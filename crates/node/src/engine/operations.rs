//! Exchange of requests and responses between local register operations and the replicas.

use std::time::Duration;

use ashvane_gossip::Update;
use ashvane_identifiers::Address;
use ashvane_quorum::{ChosenProposal, Member, Membership, Outcome, Request, Response, VersionedConfig};
use tokio::sync::oneshot;

use super::{
    AfterSync, Command, Engine, OutgoingRequest, RegisterCommands, RequestPath, StartedOperation,
    SyncedResponse, UnsyncedResponse,
};
use crate::links::{LinkId, Message};

impl Engine {
    /// Starts a write of a configuration to the register. Returns `None` if the write cannot succeed: this
    /// process is not a control node, or is not linked to a quorum of the members.
    pub fn start_write(
        &mut self, config: VersionedConfig, now: Duration,
    ) -> Option<oneshot::Receiver<Outcome>> {
        let membership = self.reachable_membership()?;
        let started = self.register.as_mut()?.write(membership, config, now);
        Some(self.start_operation(started, now))
    }

    /// Starts a read of the register. Returns `None` under the same conditions as [`Engine::start_write`].
    pub fn start_read(&mut self, now: Duration) -> Option<oneshot::Receiver<Outcome>> {
        let membership = self.reachable_membership()?;
        let started = self.register.as_mut()?.read(membership, now);
        Some(self.start_operation(started, now))
    }

    fn start_operation(&mut self, started: StartedOperation, now: Duration) -> oneshot::Receiver<Outcome> {
        self.execute_register_commands(started.commands, now);
        started.outcome
    }

    /// Returns the newest membership if a quorum of it can be reached from this process.
    fn reachable_membership(&self) -> Option<Membership> {
        let own = &self.directory.own_node().address;
        let is_reachable =
            |member: &&Member| member.address == *own || self.links.to_address(&member.address).is_some();
        let membership = self.membership()?;
        let reachable = membership.members.iter().filter(is_reachable).count();
        (reachable >= membership.quorum_size()).then_some(membership)
    }

    /// Records the result of a write.
    pub fn write_ended(&mut self, chosen: &ChosenProposal, now: Duration) {
        self.value_chosen(chosen, now);
    }

    /// Records the result of a read.
    pub fn read_ended(&mut self, chosen: &ChosenProposal, now: Duration) {
        self.register_reads.has_completed = true;
        self.value_chosen(chosen, now);
    }

    /// Puts a chosen value in force, and stores it in the local replica if that has missed it.
    fn value_chosen(&mut self, chosen: &ChosenProposal, now: Duration) {
        if let Some(register) = &mut self.register {
            let response = register.learn(chosen);
            self.commands.push(Command::SyncReplica { response, then: AfterSync::Discard });
        }
        if let Some(config) = chosen.config() {
            self.config_chosen(config.clone(), now);
        }
    }

    /// Starts a background read at the start of the process, and whenever the local replica is behind. The
    /// read brings the replica up to date even if no operator writes.
    pub(super) fn read_register_if_due(&mut self, now: Duration) {
        if !self.is_control_node() {
            return;
        }
        self.poll_operations(now);
        let is_due = !self.register_reads.has_completed || self.is_replica_behind();
        if is_due && !std::mem::replace(&mut self.register_reads.is_in_progress, true) {
            self.commands.push(Command::ReadRegister);
        }
    }

    /// Records the end of a read started by [`Command::ReadRegister`], successful or not.
    pub fn background_read_ended(&mut self) {
        self.register_reads.is_in_progress = false;
    }

    /// Whether the local disk is a member, and holds the state of an earlier epoch or a version other than
    /// the one in force: it has missed a chosen value, or holds one that may not have been chosen.
    fn is_replica_behind(&self) -> bool {
        let (Some(register), Some(disk)) = (&self.register, self.own_disk()) else { return false };
        let membership = self.membership().unwrap_or_default();
        let is_other_version = register.accepted_version().unwrap_or(0) != self.version();
        membership.contains(disk) && (register.synced_progress().epoch < membership.epoch || is_other_version)
    }

    /// Resends requests of local operations that are due for a retry, and drops operations past their
    /// deadline.
    pub fn poll_operations(&mut self, now: Duration) {
        if let Some(register) = &mut self.register {
            let commands = register.poll(now);
            self.execute_register_commands(commands, now);
        }
    }

    /// Sends pending requests to a replica that has become reachable.
    pub(super) fn replica_reachable(&mut self, address: &Address, now: Duration) {
        if let Some(register) = &mut self.register {
            let commands = register.replica_reachable(address);
            self.execute_register_commands(commands, now);
        }
    }

    /// Executes commands issued by the register.
    pub(super) fn execute_register_commands(&mut self, commands: RegisterCommands, now: Duration) {
        for outgoing in commands.requests {
            self.send_request(outgoing);
        }
        if let Some(delay) = commands.poll_after {
            self.commands.push(Command::PollOperationsAfter(delay));
        }
        if let Some(membership) = commands.membership {
            self.apply_updates(vec![Update::Membership(membership)], None, now);
        }
    }

    fn send_request(&mut self, outgoing: OutgoingRequest) {
        let Some(register) = &mut self.register else { return };
        let OutgoingRequest { member, number, request } = outgoing;
        if member.address == self.directory.own_node().address {
            register.request_sent(number, RequestPath::Local);
            let response = register.handle_request(&request);
            self.commands.push(Command::SyncReplica { response, then: AfterSync::RespondLocally(number) });
        } else if let Some(link) = self.links.to_address(&member.address) {
            register.request_sent(number, RequestPath::Link(link));
            self.send(vec![link], Message::ReplicaRequest { number, request });
        }
    }

    /// Handles a request of another process's operation to the local replica. The response is sent over the
    /// link on which the request was received.
    pub(super) fn replica_requested(&mut self, link: LinkId, number: u64, request: &Request) {
        let Some(register) = &mut self.register else { return };
        let response: UnsyncedResponse = register.handle_request(request);
        self.commands
            .push(Command::SyncReplica { response, then: AfterSync::RespondOverLink { link, number } });
    }

    /// Records that the state on which a response of the local replica depends is synced to disk, and handles
    /// the response.
    pub fn response_synced(&mut self, synced: SyncedResponse, now: Duration) {
        let SyncedResponse { then, response, progress } = synced;
        if let Some(register) = &mut self.register {
            register.state_synced(progress);
        }
        self.report_replica();
        match then {
            AfterSync::RespondLocally(number) => {
                self.replica_responded(number, RequestPath::Local, response, now);
            }
            AfterSync::RespondOverLink { link, number } => {
                self.send(vec![link], Message::ReplicaResponse { number, response });
            }
            AfterSync::Discard => {}
        }
    }

    /// Passes the response of a replica to the local operation that sent the request.
    pub(super) fn replica_responded(
        &mut self, number: u64, path: RequestPath, response: Response, now: Duration,
    ) {
        if let Some(register) = &mut self.register {
            let commands = register.response_received(number, path, response, now);
            self.execute_register_commands(commands, now);
        }
    }
}
