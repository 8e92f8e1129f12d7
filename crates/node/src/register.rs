//! The register's two sides in one process: its own disk's replica, and the operations that run from here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_quorum::{Ask, Member, Membership, Operation, Outcome, Replica, StoredConfig, Told};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::disk::Disk;

/// Time after which a operation asks again: an answer or a question is lost, or a disk is slow.
const RESEND_AFTER: Duration = Duration::from_millis(350);
/// Time after which a operation is given up. Whoever waits for it has called elsewhere by then.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(4000);

struct Running {
    operation: Operation,
    done: Option<oneshot::Sender<Outcome>>,
    asked: Instant,
    until: Instant,
}

/// What has to be asked of whom, under which number.
pub type Asks = Vec<(Member, u64, Ask)>;

pub struct Register {
    name: Arc<str>,
    replica: RefCell<Replica>,
    disk: Disk,
    operations: RefCell<BTreeMap<u64, Running>>,
    asks: RefCell<BTreeMap<u64, (u64, Ask)>>,
    next: RefCell<u64>,
}

impl Register {
    pub fn new(replica: Replica, disk: Disk, life: u64) -> Self {
        let name = format!("{}/{life:x}", replica.kept().disk).into();
        let (operations, asks, next) = Default::default();
        Register { name, replica: RefCell::new(replica), disk, operations, asks, next }
    }

    pub fn stored(&self) -> Option<StoredConfig> {
        self.replica.borrow().stored().cloned()
    }

    pub fn membership(&self) -> Membership {
        self.replica.borrow().kept().membership.clone()
    }

    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Asks this process's own replica. The answer comes once all that it rests on is on disk.
    pub fn ask_own(self: &Rc<Self>, ask: &Ask) -> impl Future<Output = Option<Told>> + use<> {
        let (told, changed) = self.replica.borrow_mut().asked(ask);
        let replica = self.replica.borrow();
        let kept = changed.kept.then(|| replica.kept());
        let stored = replica.stored().filter(|_| changed.stored);
        let safe = self.disk.keep(kept, stored);
        async move { safe.await.ok().map(|()| told) }
    }

    fn number(&self) -> u64 {
        let mut next = self.next.borrow_mut();
        *next += 1;
        *next
    }

    fn asks(&self, operation: u64, asks: Vec<(Member, Ask)>) -> Asks {
        let mut known = self.asks.borrow_mut();
        let numbered = asks.into_iter().map(|(member, ask)| {
            let number = self.number();
            known.insert(number, (operation, ask.clone()));
            (member, number, ask)
        });
        numbered.collect()
    }

    fn start(&self, mut operation: Operation) -> (Asks, oneshot::Receiver<Outcome>) {
        let (done, outcome) = oneshot::channel();
        let (number, now) = (self.number(), Instant::now());
        let asks = self.asks(number, operation.begin());
        let running = Running { operation, done: Some(done), asked: now, until: now + OPERATION_TIMEOUT };
        self.operations.borrow_mut().insert(number, running);
        (asks, outcome)
    }

    pub fn write(&self, membership: Membership, stored: StoredConfig) -> (Asks, oneshot::Receiver<Outcome>) {
        self.start(Operation::write(self.name.clone(), membership, stored))
    }

    pub fn read(&self, membership: Membership) -> (Asks, oneshot::Receiver<Outcome>) {
        self.start(Operation::read(self.name.clone(), membership, None))
    }

    pub fn change(&self, membership: Membership, next: Vec<Member>) -> (Asks, oneshot::Receiver<Outcome>) {
        self.start(Operation::change(self.name.clone(), membership, Some(next)))
    }

    /// An answer to a question of ours: what to ask next, and the newest set that the operation knows.
    pub fn told(&self, number: u64, told: Told) -> (Asks, Option<Membership>) {
        let Some((at, ask)) = self.asks.borrow_mut().remove(&number) else { return Default::default() };
        let mut operations = self.operations.borrow_mut();
        let Some(running) = operations.get_mut(&at) else { return Default::default() };
        let (asks, outcome) = running.operation.told(&ask, told);
        let membership = running.operation.membership().clone();
        if let Some(outcome) = outcome {
            if let Some(done) = running.done.take() {
                let _ = done.send(outcome);
            }
            operations.remove(&at);
            self.forget(&operations);
        }
        (self.asks(at, asks), Some(membership))
    }

    fn forget(&self, operations: &BTreeMap<u64, Running>) {
        self.asks.borrow_mut().retain(|_, (at, _)| operations.contains_key(at));
    }

    /// What runs here and is still to be asked of a replica that can be reached from now on. Only of that one: asking
    /// all again with each link makes the square of the links at a start.
    pub fn reached(&self, address: &str) -> Asks {
        let unanswered: Vec<_> = self
            .operations
            .borrow()
            .iter()
            .map(|(number, running)| (*number, running.operation.unanswered(address)))
            .collect();
        unanswered.into_iter().flat_map(|(number, asks)| self.asks(number, asks)).collect()
    }

    /// Asks again where answers stay out, and gives up what has taken too long.
    pub fn look(&self) -> Asks {
        let now = Instant::now();
        let mut operations = self.operations.borrow_mut();
        operations.retain(|_, r| r.until > now && r.done.as_ref().is_some_and(|done| !done.is_closed()));
        self.forget(&operations);
        let mut all = Vec::new();
        for (number, running) in operations.iter_mut().filter(|(_, r)| r.asked + RESEND_AFTER < now) {
            running.asked = now;
            all.push((*number, running.operation.again()));
        }
        drop(operations);
        all.into_iter().flat_map(|(number, asks)| self.asks(number, asks)).collect()
    }
}
