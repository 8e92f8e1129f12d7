//! The register as this process uses it: requests and responses between the operations that run here and the replicas.

use std::time::Duration;

use ashvane_gossip::Update;
use ashvane_identifiers::Address;
use ashvane_quorum::{ChosenProposal, Member, Membership, Outcome, Request, Response, VersionedConfig};
use tokio::sync::oneshot;

use super::{
    Command, Engine, OnceSynced, OutgoingRequest, RegisterCommands, RequestPath, StartedOperation,
    SyncedResponse, UnsyncedResponse,
};
use crate::links::{LinkId, Message};

impl Engine {
    /// Starts to have a configuration chosen. None where that cannot end: this is no control node, or no quorum of the
    /// members is linked.
    pub fn start_write(
        &mut self, config: VersionedConfig, now: Duration,
    ) -> Option<oneshot::Receiver<Outcome>> {
        let membership = self.reachable_membership()?;
        let started = self.register.as_mut()?.write(membership, config, now);
        Some(self.start_operation(started, now))
    }

    /// Starts to read what is chosen. None as for [`Engine::start_write`].
    pub fn start_read(&mut self, now: Duration) -> Option<oneshot::Receiver<Outcome>> {
        let membership = self.reachable_membership()?;
        let started = self.register.as_mut()?.read(membership, now);
        Some(self.start_operation(started, now))
    }

    fn start_operation(&mut self, started: StartedOperation, now: Duration) -> oneshot::Receiver<Outcome> {
        self.perform(started.commands, now);
        started.outcome
    }

    /// The newest membership, where a quorum of it can be asked from here.
    fn reachable_membership(&self) -> Option<Membership> {
        let own = &self.directory.own_node().address;
        let is_reachable =
            |member: &&Member| member.address == *own || self.links.to_address(&member.address).is_some();
        let membership = self.membership()?;
        let reachable = membership.members.iter().filter(is_reachable).count();
        (reachable >= membership.quorum_size()).then_some(membership)
    }

    /// A write has ended.
    pub fn write_ended(&mut self, chosen: &ChosenProposal, now: Duration) {
        self.value_chosen(chosen, now);
    }

    /// A read has ended.
    pub fn read_ended(&mut self, chosen: &ChosenProposal, now: Duration) {
        self.register_reads.has_read = true;
        self.value_chosen(chosen, now);
    }

    /// A chosen value is in force here, and on the own disk where that missed it.
    fn value_chosen(&mut self, chosen: &ChosenProposal, now: Duration) {
        if let Some(register) = &mut self.register {
            let response = register.learn(chosen);
            self.commands.push(Command::SyncReplica { response, then: OnceSynced::Nothing });
        }
        if let Some(config) = chosen.config() {
            self.config_chosen(config.clone(), now);
        }
    }

    /// Reads the register at start, and where the own disk is behind: that brings it up, whether or not anybody writes.
    pub(super) fn refresh_register(&mut self, now: Duration) {
        if !self.is_control_node() {
            return;
        }
        self.poll_operations(now);
        let is_due = !self.register_reads.has_read || self.is_replica_behind();
        if is_due && !std::mem::replace(&mut self.register_reads.is_reading, true) {
            self.commands.push(Command::ReadRegister);
        }
    }

    /// A read that [`Command::ReadRegister`] asked for has ended, whatever it found.
    pub fn background_read_ended(&mut self) {
        self.register_reads.is_reading = false;
    }

    /// Whether this process's disk is a member and holds the state of an earlier epoch, or another version than the one in
    /// force: it has missed a choice, or holds what may not have been chosen.
    fn is_replica_behind(&self) -> bool {
        let (Some(register), Some(disk)) = (&self.register, self.own_disk()) else { return false };
        let membership = self.membership().unwrap_or_default();
        let is_other_version = register.accepted_version().unwrap_or(0) != self.version();
        membership.contains(disk) && (register.synced().epoch < membership.epoch || is_other_version)
    }

    /// Sends again what operations have no response to.
    pub fn poll_operations(&mut self, now: Duration) {
        if let Some(register) = &mut self.register {
            let commands = register.poll(now);
            self.perform(commands, now);
        }
    }

    /// A replica can be reached from now on: it is sent what is open for it.
    pub(super) fn replica_reachable(&mut self, address: &Address, now: Duration) {
        if let Some(register) = &mut self.register {
            let commands = register.replica_reachable(address);
            self.perform(commands, now);
        }
    }

    /// Does what operations want.
    pub(super) fn perform(&mut self, commands: RegisterCommands, now: Duration) {
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
            let response = register.handle(&request);
            self.commands.push(Command::SyncReplica { response, then: OnceSynced::RespondHere(number) });
        } else if let Some(link) = self.links.to_address(&member.address) {
            register.request_sent(number, RequestPath::Link(link));
            self.send(vec![link], Message::ReplicaRequest { number, request });
        }
    }

    /// Another process's operation requests something of this process's replica. The response goes back on the link on
    /// which the request came.
    pub(super) fn replica_requested(&mut self, link: LinkId, number: u64, request: &Request) {
        let Some(register) = &mut self.register else { return };
        let response: UnsyncedResponse = register.handle(request);
        self.commands.push(Command::SyncReplica { response, then: OnceSynced::Respond { link, number } });
    }

    /// The state that a response of the own replica rests on is on disk.
    pub fn response_synced(&mut self, synced: SyncedResponse, now: Duration) {
        let SyncedResponse { then, response, progress } = synced;
        if let Some(register) = &mut self.register {
            register.state_synced(progress);
        }
        self.report_replica();
        match then {
            OnceSynced::RespondHere(number) => {
                self.replica_responded(number, RequestPath::Local, response, now);
            }
            OnceSynced::Respond { link, number } => {
                self.send(vec![link], Message::ReplicaResponse { number, response });
            }
            OnceSynced::Nothing => {}
        }
    }

    /// A replica has responded to a request of an operation that runs here.
    pub(super) fn replica_responded(
        &mut self, number: u64, path: RequestPath, response: Response, now: Duration,
    ) {
        if let Some(register) = &mut self.register {
            let commands = register.response_received(number, path, response, now);
            self.perform(commands, now);
        }
    }
}
