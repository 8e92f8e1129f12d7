//! The register's two sides in one process: the replica on its own disk, and the operations that run here.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ashvane_identifiers::Address;
use ashvane_quorum::membership_manager::ReplicaProgress;
use ashvane_quorum::{
    AddressedRequest, ChosenProposal, HandledRequest, Member, Membership, Operation, Outcome, Replica,
    ReplicaState, Request, Response, RetrySchedule, Step, VersionedConfig,
};
use tokio::sync::oneshot;

use crate::links::LinkId;

/// Time after which a call of an operator is answered that its outcome is not known: callers go on elsewhere after a second
/// without an answer.
pub const OPERATION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a membership change is given up; the coordinator begins another.
const MEMBERSHIP_CHANGE_TIMEOUT: Duration = Duration::from_millis(4000);

/// How a request was sent: a response counts only if it comes back the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestPath {
    /// To this process's own replica.
    Local,
    /// Over this link.
    Link(LinkId),
}

/// A request on its way to a member.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The member that it is for.
    pub member: Member,
    /// Names it in the response; unique within this incarnation.
    pub number: u64,
    /// What is requested.
    pub request: Request,
}

/// What is to be done next for the operations that run here.
#[derive(Debug, Default)]
pub struct RegisterCommands {
    /// What to send.
    pub requests: Vec<OutgoingRequest>,
    /// [`Register::poll`] is to be called after this delay.
    pub poll_after: Option<Duration>,
    /// The newest membership that an operation has met.
    pub membership: Option<Membership>,
}

/// An operation that was started, and where its outcome will come.
pub struct StartedOperation {
    /// What is to be done first.
    pub commands: RegisterCommands,
    /// Dropped without an outcome where the operation takes too long.
    pub outcome: oneshot::Receiver<Outcome>,
}

/// A response of the own replica. It may be used only once its state is on disk.
#[derive(Debug)]
pub struct UnsyncedResponse {
    /// The response.
    pub response: Response,
    /// What has to be on disk; none if nothing has changed, but that what was handed to the disk before has to be.
    pub state: Option<ReplicaState>,
    /// What the disk holds then.
    pub progress: ReplicaProgress,
}

struct PendingRequest {
    operation: u64,
    request: Request,
    path: Option<RequestPath>,
}

struct RunningOperation {
    operation: Operation,
    done: oneshot::Sender<Outcome>,
    retries: RetrySchedule,
    retry_at: Duration,
    deadline: Duration,
}

/// The register as one process takes part in it. Times are since the start of the process.
pub struct Register {
    /// Disk and incarnation: the first part of the ids of all operations.
    id_prefix: String,
    replica: Replica,
    /// What the disk holds for certain.
    synced: ReplicaProgress,
    operations: BTreeMap<u64, RunningOperation>,
    pending: BTreeMap<u64, PendingRequest>,
    last_number: u64,
}

impl Register {
    /// A replica as its disk has it. `incarnation` is drawn at each start of the process.
    #[must_use]
    pub fn new(replica: Replica, incarnation: u64) -> Self {
        Register {
            id_prefix: format!("{}/{incarnation:x}", replica.state().disk),
            synced: progress_of(&replica),
            replica,
            operations: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// The version that the own replica has accepted; none before the first one.
    #[must_use]
    pub fn accepted_version(&self) -> Option<u64> {
        self.replica.accepted_config().map(|config| config.version)
    }

    /// The membership whose state the own replica holds.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        &self.replica.state().membership
    }

    /// What this process's own disk holds for certain.
    #[must_use]
    pub fn synced(&self) -> ReplicaProgress {
        self.synced
    }

    /// Requests something of the own replica.
    pub fn handle(&mut self, request: &Request) -> UnsyncedResponse {
        let HandledRequest { response, state_changed } = self.replica.handle(request);
        let state = state_changed.then(|| self.replica.state().clone());
        UnsyncedResponse { response, state, progress: progress_of(&self.replica) }
    }

    /// The disk holds this for certain.
    pub fn state_synced(&mut self, progress: ReplicaProgress) {
        self.synced = self.synced.max(progress);
    }

    /// What was chosen is taken over by the own replica where it missed it.
    pub fn learn(&mut self, chosen: &ChosenProposal) -> UnsyncedResponse {
        self.handle(&Request::Learn { epoch: chosen.epoch, accepted: chosen.accepted.clone() })
    }

    /// To have a configuration chosen.
    pub fn write(
        &mut self, membership: Membership, config: VersionedConfig, now: Duration,
    ) -> StartedOperation {
        self.start(OPERATION_TIMEOUT, now, |id| Operation::write(id, membership, config))
    }

    /// To read what is chosen.
    pub fn read(&mut self, membership: Membership, now: Duration) -> StartedOperation {
        self.start(OPERATION_TIMEOUT, now, |id| Operation::read(id, membership))
    }

    /// To seal the epoch, with these members in the next one.
    pub fn change_membership(
        &mut self, membership: Membership, next: Vec<Member>, now: Duration,
    ) -> StartedOperation {
        let change = |id| Operation::change_membership(id, membership, next);
        self.start(MEMBERSHIP_CHANGE_TIMEOUT, now, change)
    }

    fn start(
        &mut self, timeout: Duration, now: Duration, operation: impl FnOnce(Arc<str>) -> Operation,
    ) -> StartedOperation {
        let (done, outcome) = oneshot::channel();
        let number = self.next_number();
        let id = format!("{}/{number:x}", self.id_prefix).into();
        let mut operation = operation(id).with_local_state(self.replica.state());
        let step = operation.start();
        let mut retries = RetrySchedule::default();
        let delay = retries.delay_after_first_send();
        let running =
            RunningOperation { operation, done, retries, retry_at: now + delay, deadline: now + timeout };
        self.operations.insert(number, running);
        let requests = self.number_requests(number, step.requests);
        let commands = RegisterCommands { requests, poll_after: Some(delay), membership: None };
        StartedOperation { commands, outcome }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn number_requests(&mut self, operation: u64, requests: Vec<AddressedRequest>) -> Vec<OutgoingRequest> {
        let numbered = requests.into_iter().map(|AddressedRequest { member, request }| {
            let number = self.next_number();
            self.pending.insert(number, PendingRequest { operation, request: request.clone(), path: None });
            OutgoingRequest { member, number, request }
        });
        numbered.collect()
    }

    /// A request has been sent: its response counts only if it comes back this way.
    pub fn request_sent(&mut self, number: u64, path: RequestPath) {
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.path = Some(path);
        }
    }

    /// A replica has responded.
    pub fn response_received(
        &mut self, number: u64, path: RequestPath, response: Response, now: Duration,
    ) -> RegisterCommands {
        let Some(PendingRequest { operation: id, request, .. }) = self.take_pending(number, path) else {
            return RegisterCommands::default();
        };
        // A response that comes too late ends nothing: this process may have been stalled since the request.
        let Some(running) = self.operations.get_mut(&id).filter(|running| running.deadline > now) else {
            return RegisterCommands::default();
        };
        let Step { requests, outcome, is_contended } = running.operation.handle(&request, response);
        let membership = Some(running.operation.membership().clone());
        let poll_after = match (is_contended, requests.is_empty()) {
            (true, _) => Some(running.retries.contention_delay(fastrand::u64(..))),
            (false, false) => Some(running.retries.delay_after_first_send()),
            (false, true) => None,
        };
        if let Some(delay) = poll_after {
            running.retry_at = now + delay;
        }
        if let Some(outcome) = outcome {
            self.end(id, outcome);
        }
        RegisterCommands { requests: self.number_requests(id, requests), poll_after, membership }
    }

    fn take_pending(&mut self, number: u64, path: RequestPath) -> Option<PendingRequest> {
        let is_expected = self.pending.get(&number).is_some_and(|pending| pending.path == Some(path));
        if is_expected { self.pending.remove(&number) } else { None }
    }

    fn end(&mut self, id: u64, outcome: Outcome) {
        if let Some(running) = self.operations.remove(&id) {
            // Whoever started it may have given up.
            let _ = running.done.send(outcome);
        }
        self.forget_ended();
    }

    /// Forgets the requests of operations that have ended.
    fn forget_ended(&mut self) {
        self.pending.retain(|_, pending| self.operations.contains_key(&pending.operation));
    }

    /// What is still to be requested of a replica that can be reached from now on. Only of that one: sending all again with
    /// each link makes the square of the links at a start.
    pub fn replica_reachable(&mut self, address: &Address) -> RegisterCommands {
        let unanswered: Vec<(u64, Vec<AddressedRequest>)> = self
            .operations
            .iter()
            .map(|(id, running)| (*id, running.operation.unanswered_requests_at(address)))
            .collect();
        let mut requests = Vec::new();
        for (id, unanswered) in unanswered {
            requests.extend(self.number_requests(id, unanswered));
        }
        RegisterCommands { requests, ..RegisterCommands::default() }
    }

    /// Sends again where responses stay out, and gives up what has taken too long or is waited for by nobody.
    pub fn poll(&mut self, now: Duration) -> RegisterCommands {
        self.operations.retain(|_, running| running.deadline > now && !running.done.is_closed());
        self.forget_ended();
        let mut commands = RegisterCommands::default();
        let due = |running: &RunningOperation| running.retry_at <= now;
        let due: Vec<u64> =
            self.operations.iter().filter(|(_, running)| due(running)).map(|(id, _)| *id).collect();
        for id in due {
            let Some(running) = self.operations.get_mut(&id) else { continue };
            let delay = running.retries.delay_after_resend();
            running.retry_at = now + delay;
            let step = running.operation.retry();
            commands.poll_after = Some(commands.poll_after.map_or(delay, |other| other.min(delay)));
            commands.requests.extend(self.number_requests(id, step.requests));
        }
        commands
    }
}

fn progress_of(replica: &Replica) -> ReplicaProgress {
    let epoch = replica.state().membership.epoch;
    ReplicaProgress { epoch, version: replica.accepted_config().map_or(0, |config| config.version) }
}
