//! The register's two sides in one process: its own disk's replica, and the operations that run from here.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_identifiers::Address;
use ashvane_quorum::membership_manager::ReplicaProgress;
use ashvane_quorum::{
    AddressedRequest, Chosen, Handled, Member, Membership, Operation, Outcome, Replica, Request, Response,
    RetrySchedule, Step, VersionedConfig,
};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::disk::Disk;

/// Time after which a call of an operator gets no clear answer: callers go on elsewhere after a second of silence.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time after which a change of the membership is given up; the duty begins another.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(4000);

/// Which connection a request went out on: an answer counts only if it comes back on the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// This process's own replica.
    Own,
    /// The link of this number; each connection of a process's life has its own.
    Link(u64),
}

struct Pending {
    operation: u64,
    request: Request,
    via: Option<Via>,
}

struct Running {
    operation: Operation,
    done: Option<oneshot::Sender<Outcome>>,
    pace: RetrySchedule,
    ask_again_at: Instant,
    until: Instant,
}

/// A request on its way to a member, under the number that its answer has to name.
pub struct Outgoing {
    /// Whom it is for.
    pub member: Member,
    /// Unique within this life.
    pub number: u64,
    /// What is asked.
    pub request: Request,
}

/// What is to be done next for the operations that run here.
#[derive(Default)]
pub struct Work {
    /// What to send.
    pub requests: Vec<Outgoing>,
    /// [`Register::look`] is to be called after this pause.
    pub look_after: Option<Duration>,
    /// The newest membership that an operation has met.
    pub membership: Option<Membership>,
}

fn held(replica: &Replica) -> ReplicaProgress {
    let epoch = replica.state().membership.epoch;
    ReplicaProgress { epoch, version: replica.accepted_config().map_or(0, |config| config.version) }
}

/// The register as one process takes part in it.
pub struct Register {
    /// Disk and life: the first part of the names of all operations.
    name: String,
    replica: RefCell<Replica>,
    disk: Disk,
    /// What is synced there.
    held: Cell<ReplicaProgress>,
    operations: RefCell<BTreeMap<u64, Running>>,
    pending: RefCell<BTreeMap<u64, Pending>>,
    last_number: Cell<u64>,
}

impl Register {
    /// `life` is drawn at each start of the process.
    pub fn new(replica: Replica, disk: Disk, life: u64) -> Self {
        let name = format!("{}/{life:x}", replica.state().disk);
        let (operations, pending, last_number) = Default::default();
        let held = Cell::new(held(&replica));
        Register { name, replica: RefCell::new(replica), disk, held, operations, pending, last_number }
    }

    /// The configuration that the own replica has accepted.
    pub fn stored(&self) -> Option<VersionedConfig> {
        self.replica.borrow().accepted_config().cloned()
    }

    /// The membership whose state the own replica holds.
    pub fn membership(&self) -> Membership {
        self.replica.borrow().state().membership.clone()
    }

    /// What this process's own disk holds for certain.
    pub fn held(&self) -> ReplicaProgress {
        self.held.get()
    }

    /// The own disk.
    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Asks this process's own replica. The answer comes once all that it rests on is on disk.
    pub fn handle(self: &Rc<Self>, request: &Request) -> impl Future<Output = Option<Response>> + use<> {
        let Handled { response, state_changed } = self.replica.borrow_mut().handle(request);
        let safe = self.disk.keep(state_changed.then(|| self.replica.borrow().state().clone()));
        let (held, register) = (held(&self.replica.borrow()), self.clone());
        async move {
            safe.await.ok()?;
            register.held.set(register.held.get().max(held));
            Some(response)
        }
    }

    /// What was chosen is taken over by the own replica where it missed it.
    pub fn learn(self: &Rc<Self>, chosen: &Chosen) -> impl Future<Output = Option<Response>> + use<> {
        self.handle(&Request::Learn { epoch: chosen.epoch, accepted: chosen.accepted.clone() })
    }

    fn number(&self) -> u64 {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    fn outgoing(&self, operation: u64, requests: Vec<AddressedRequest>) -> Vec<Outgoing> {
        let mut pending = self.pending.borrow_mut();
        let numbered = requests.into_iter().map(|AddressedRequest { member, request }| {
            let number = self.number();
            pending.insert(number, Pending { operation, request: request.clone(), via: None });
            Outgoing { member, number, request }
        });
        numbered.collect()
    }

    fn start(
        &self, timeout: Duration, operation: impl FnOnce(Arc<str>) -> Operation,
    ) -> (Work, oneshot::Receiver<Outcome>) {
        let (done, outcome) = oneshot::channel();
        let (number, now) = (self.number(), Instant::now());
        let name = format!("{}/{number:x}", self.name).into();
        let mut operation = operation(name).with_local_state(self.replica.borrow().state());
        let step = operation.start();
        let mut pace = RetrySchedule::default();
        let pause = pace.delay_after_first_send();
        let running =
            Running { operation, done: Some(done), pace, ask_again_at: now + pause, until: now + timeout };
        self.operations.borrow_mut().insert(number, running);
        let requests = self.outgoing(number, step.requests);
        (Work { requests, look_after: Some(pause), membership: None }, outcome)
    }

    /// Has a configuration decided.
    pub fn write(
        &self, membership: Membership, config: VersionedConfig,
    ) -> (Work, oneshot::Receiver<Outcome>) {
        self.start(CALL_TIMEOUT, |name| Operation::write(name, membership, config))
    }

    /// Reads what is chosen.
    pub fn read(&self, membership: Membership) -> (Work, oneshot::Receiver<Outcome>) {
        self.start(CALL_TIMEOUT, |name| Operation::read(name, membership))
    }

    /// Seals the epoch, for these members in the next one.
    pub fn change(&self, membership: Membership, next: Vec<Member>) -> (Work, oneshot::Receiver<Outcome>) {
        self.start(CHANGE_TIMEOUT, |name| Operation::change_membership(name, membership, next))
    }

    /// A request has been sent: its answer counts only if it comes back this way.
    pub fn sent(&self, number: u64, via: Via) {
        if let Some(pending) = self.pending.borrow_mut().get_mut(&number) {
            pending.via = Some(via);
        }
    }

    /// A replica has answered.
    pub fn responded(&self, number: u64, via: Via, response: Response) -> Work {
        let request = {
            let mut pending = self.pending.borrow_mut();
            match pending.get(&number).is_some_and(|p| p.via == Some(via)) {
                true => pending.remove(&number),
                false => None,
            }
        };
        let Some(Pending { operation: at, request, .. }) = request else { return Work::default() };
        let mut operations = self.operations.borrow_mut();
        // An answer that comes too late settles nothing: this process may have stood still since it was asked for.
        let Some(running) = operations.get_mut(&at).filter(|r| r.until > Instant::now()) else {
            return Work::default();
        };
        let Step { requests, outcome, is_contended } = running.operation.handle(&request, response);
        let membership = Some(running.operation.membership().clone());
        let look_after = match (is_contended, requests.is_empty()) {
            (true, _) => Some(running.pace.contention_delay(fastrand::u64(..))),
            (false, false) => Some(running.pace.delay_after_first_send()),
            (false, true) => None,
        };
        running.ask_again_at = look_after.map_or(running.ask_again_at, |pause| Instant::now() + pause);
        if let Some(outcome) = outcome {
            running.done.take().map(|done| done.send(outcome));
            operations.remove(&at);
            self.forget(&operations);
        }
        Work { requests: self.outgoing(at, requests), look_after, membership }
    }

    fn forget(&self, operations: &BTreeMap<u64, Running>) {
        self.pending.borrow_mut().retain(|_, pending| operations.contains_key(&pending.operation));
    }

    /// What runs here and is still to be asked of a replica that can be reached from now on. Only of that one: asking
    /// all again with each link makes the square of the links at a start.
    pub fn reached(&self, address: &Address) -> Work {
        let operations = self.operations.borrow();
        let unanswered = operations.iter().map(|(number, r)| (*number, r.operation.unanswered_at(address)));
        let requests = unanswered.flat_map(|(number, requests)| self.outgoing(number, requests));
        Work { requests: requests.collect(), ..Work::default() }
    }

    /// Asks again where answers stay out, and gives up what has taken too long or is waited for by nobody.
    pub fn look(&self) -> Work {
        let now = Instant::now();
        let mut operations = self.operations.borrow_mut();
        operations.retain(|_, r| r.until > now && r.done.as_ref().is_some_and(|done| !done.is_closed()));
        self.forget(&operations);
        let mut work = Work::default();
        for (number, running) in operations.iter_mut().filter(|(_, r)| r.ask_again_at <= now) {
            let pause = running.pace.delay_after_resend();
            running.ask_again_at = now + pause;
            work.look_after = Some(work.look_after.map_or(pause, |other| other.min(pause)));
            let step = running.operation.retry();
            work.requests.extend(self.outgoing(*number, step.requests));
        }
        work
    }
}
