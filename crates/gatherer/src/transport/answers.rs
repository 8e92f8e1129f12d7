//! Answers on their way to clients: room is taken before one is written and given back with its last byte.
//! Where there is none, the client stalled longest gives way.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use ashvane_memory::{Charge, Ledger, NoRoom, Purpose, Reason, Writers};
use axum::body::{Body, Bytes};
use axum::http::{Response, StatusCode};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep};

use crate::protocol::query::{self, Reply};

/// Pause between looks for room: a client that reads makes some within it.
const LOOK: Duration = Duration::from_millis(10);

/// Share of the cap that is kept free where a stalled client can make it: those that read then wait for none.
const KEPT_FREE: f64 = 0.25;

/// A client's connection, as its answers know it.
#[derive(Clone)]
pub(crate) struct Wire {
    pub number: u64,
    /// Its place is wanted.
    pub wanted: Arc<Notify>,
    cut: Arc<AtomicBool>,
}

impl Wire {
    pub(crate) fn new(number: u64) -> Wire {
        Wire { number, wanted: Arc::default(), cut: Arc::default() }
    }

    /// Ends the connection at once.
    fn cut(&self) {
        self.cut.store(true, Ordering::Relaxed);
        self.wanted.notify_one();
    }

    pub(crate) fn is_cut(&self) -> bool {
        self.cut.load(Ordering::Relaxed)
    }
}

#[derive(Default)]
struct Open {
    writers: Writers,
    /// With the number of its answers that are open: clients may ask ahead.
    wires: BTreeMap<u64, (Wire, u32)>,
}

pub(crate) struct Answers {
    ledger: Ledger,
    start: Instant,
    open: Mutex<Open>,
}

/// An answer's bytes, which hold their room until HTTP lets go of them.
struct Written {
    bytes: Vec<u8>,
    _room: Charge,
    answers: Arc<Answers>,
    number: u64,
}

impl AsRef<[u8]> for Written {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Written {
    fn drop(&mut self) {
        let mut open = self.answers.open();
        let Some((_, answers)) = open.wires.get_mut(&self.number) else { return };
        *answers -= 1;
        if *answers == 0 {
            open.writers.ends(self.number);
            open.wires.remove(&self.number);
        }
    }
}

impl Answers {
    pub(crate) fn new(ledger: Ledger) -> Answers {
        Answers { ledger, start: Instant::now(), open: Mutex::default() }
    }

    fn open(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// So many bytes of an answer have gone to a client.
    pub(crate) fn wrote(&self, number: u64, bytes: usize) {
        self.open().writers.wrote(number, bytes as u64);
    }

    /// Ends the connection of the client stalled longest; false if none is stalled.
    fn cut(&self, of: Option<usize>) -> bool {
        let mut open = self.open();
        let Some(number) = open.writers.give_way(of, self.start.elapsed()) else { return false };
        let wire = open.wires.remove(&number);
        drop(open);
        if let Some((wire, _)) = wire {
            log::warn!(client = number; "a client does not read its answer: its connection is closed");
            wire.cut();
        }
        true
    }

    /// Has a stalled client give way before those that read find no room.
    fn keep_free(&self, tenant: Option<usize>) {
        let free = self.ledger.limits().of(Purpose::Answers).cap as f64 * KEPT_FREE;
        if let Some(no_room) = self.ledger.lacks(Purpose::Answers, tenant, free as u64) {
            self.cut(tenant.filter(|_| no_room.reason == Reason::Share));
        }
    }

    /// Takes room for an answer, at the latest by the time that its client stops waiting.
    async fn room(&self, tenant: Option<usize>, bytes: u64, until: Instant) -> Result<Charge, NoRoom> {
        loop {
            let no_room = match self.ledger.take(Purpose::Answers, tenant, bytes) {
                Ok(room) => return Ok(room),
                Err(no_room) => no_room,
            };
            let of = tenant.filter(|_| no_room.reason == Reason::Share);
            let never = bytes > self.ledger.limits().of(Purpose::Answers).cap;
            if never || (!self.cut(of) && Instant::now() >= until) {
                return Err(no_room);
            }
            sleep(LOOK).await;
        }
    }

    /// Makes a reply an answer to the client at this wire. What ran and finds no room is given up with no
    /// promise: it must not be called rejected.
    pub(crate) async fn encode(
        self: &Arc<Self>, reply: Reply, wire: Option<Wire>, tenant: Option<usize>, until: Instant,
    ) -> Response<Body> {
        let Reply::Answered { complete: whole, values, charge: held } = reply else {
            return query::encode(reply);
        };
        self.keep_free(tenant);
        let room = self.room(tenant, query::estimate_body_bytes(&values) as u64, until).await;
        let (Ok(mut room), Some(wire)) = (room, wire) else { return query::encode(Reply::Aborted) };
        let Some(bytes) = query::encode_body(whole, &values) else {
            return query::text_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer");
        };
        drop((values, held));
        room.correct(bytes.capacity() as u64);
        let number = wire.number;
        let mut open = self.open();
        open.writers.begins(number, tenant, self.start.elapsed());
        open.wires.entry(number).or_insert((wire, 0)).1 += 1;
        drop(open);
        let written = Written { bytes, _room: room, answers: self.clone(), number };
        query::json_response(Body::from(Bytes::from_owner(written)))
    }
}
