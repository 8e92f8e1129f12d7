//! The register's two sides in one process: its own disk's cell, and the quests that run from here.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ashvane_quorum::{Ask, Cell, Filed, Outcome, Quest, Seat, Seats, Told};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::disk::Disk;

/// Time after which a quest asks again: an answer or a question is lost, or a disk is slow.
const ASK_AGAIN: Duration = Duration::from_millis(350);
/// Time after which a quest is given up. Whoever waits for it has called elsewhere by then.
const QUEST_MOST: Duration = Duration::from_millis(4000);

struct Running {
    quest: Quest,
    done: Option<oneshot::Sender<Outcome>>,
    asked: Instant,
    until: Instant,
}

/// What has to be asked of whom, under which number.
pub type Asks = Vec<(Seat, u64, Ask)>;

pub struct Register {
    name: Arc<str>,
    cell: RefCell<Cell>,
    disk: Disk,
    quests: RefCell<BTreeMap<u64, Running>>,
    asks: RefCell<BTreeMap<u64, (u64, Ask)>>,
    next: RefCell<u64>,
}

impl Register {
    pub fn new(cell: Cell, disk: Disk, life: u64) -> Self {
        let name = format!("{}/{life:x}", cell.kept().disk).into();
        let (quests, asks, next) = Default::default();
        Register { name, cell: RefCell::new(cell), disk, quests, asks, next }
    }

    pub fn filed(&self) -> Option<Filed> {
        self.cell.borrow().filed().cloned()
    }

    pub fn seats(&self) -> Seats {
        self.cell.borrow().kept().seats.clone()
    }

    pub fn disk(&self) -> &Disk {
        &self.disk
    }

    /// Asks this process's own cell. The answer comes once all that it rests on is on disk.
    pub fn ask_own(self: &Rc<Self>, ask: &Ask) -> impl Future<Output = Option<Told>> + use<> {
        let (told, changed) = self.cell.borrow_mut().asked(ask);
        let cell = self.cell.borrow();
        let kept = changed.kept.then(|| cell.kept());
        let filed = cell.filed().filter(|_| changed.filed);
        let safe = self.disk.keep(kept, filed);
        async move { safe.await.ok().map(|()| told) }
    }

    fn number(&self) -> u64 {
        let mut next = self.next.borrow_mut();
        *next += 1;
        *next
    }

    fn asks(&self, quest: u64, asks: Vec<(Seat, Ask)>) -> Asks {
        let mut known = self.asks.borrow_mut();
        let numbered = asks.into_iter().map(|(seat, ask)| {
            let number = self.number();
            known.insert(number, (quest, ask.clone()));
            (seat, number, ask)
        });
        numbered.collect()
    }

    fn start(&self, mut quest: Quest) -> (Asks, oneshot::Receiver<Outcome>) {
        let (done, outcome) = oneshot::channel();
        let (number, now) = (self.number(), Instant::now());
        let asks = self.asks(number, quest.begin());
        let running = Running { quest, done: Some(done), asked: now, until: now + QUEST_MOST };
        self.quests.borrow_mut().insert(number, running);
        (asks, outcome)
    }

    pub fn write(&self, seats: Seats, filed: Filed) -> (Asks, oneshot::Receiver<Outcome>) {
        self.start(Quest::write(self.name.clone(), seats, filed))
    }

    pub fn read(&self, seats: Seats) -> (Asks, oneshot::Receiver<Outcome>) {
        self.start(Quest::read(self.name.clone(), seats, None))
    }

    pub fn change(&self, seats: Seats, next: Vec<Seat>) -> (Asks, oneshot::Receiver<Outcome>) {
        self.start(Quest::change(self.name.clone(), seats, Some(next)))
    }

    /// An answer to a question of ours: what to ask next, and the newest set that the quest knows.
    pub fn told(&self, number: u64, told: Told) -> (Asks, Option<Seats>) {
        let Some((at, ask)) = self.asks.borrow_mut().remove(&number) else { return Default::default() };
        let mut quests = self.quests.borrow_mut();
        let Some(running) = quests.get_mut(&at) else { return Default::default() };
        let (asks, outcome) = running.quest.told(&ask, told);
        let seats = running.quest.seats().clone();
        if let Some(outcome) = outcome {
            if let Some(done) = running.done.take() {
                let _ = done.send(outcome);
            }
            quests.remove(&at);
            self.forget(&quests);
        }
        (self.asks(at, asks), Some(seats))
    }

    fn forget(&self, quests: &BTreeMap<u64, Running>) {
        self.asks.borrow_mut().retain(|_, (at, _)| quests.contains_key(at));
    }

    /// Asks again where answers stay out, or at once where somebody new can be asked, and gives up what has
    /// taken too long.
    pub fn look(&self, at_once: bool) -> Asks {
        let now = Instant::now();
        let mut quests = self.quests.borrow_mut();
        quests.retain(|_, r| r.until > now && r.done.as_ref().is_some_and(|done| !done.is_closed()));
        self.forget(&quests);
        let mut all = Vec::new();
        for (number, running) in quests.iter_mut().filter(|(_, r)| at_once || r.asked + ASK_AGAIN < now) {
            running.asked = now;
            all.push((*number, running.quest.again()));
        }
        drop(quests);
        all.into_iter().flat_map(|(number, asks)| self.asks(number, asks)).collect()
    }
}
