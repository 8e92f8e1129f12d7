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
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Share of the cap that is kept free where a stalled client can make it: those that read then wait for none.
const MIN_FREE_RATIO: f64 = 0.25;

/// A client's connection, as its answers know it.
#[derive(Clone)]
pub(crate) struct ConnectionHandle {
    pub number: u64,
    /// Its place is wanted.
    pub close_requested: Arc<Notify>,
    aborted: Arc<AtomicBool>,
}

impl ConnectionHandle {
    pub(crate) fn new(number: u64) -> ConnectionHandle {
        ConnectionHandle { number, close_requested: Arc::default(), aborted: Arc::default() }
    }

    /// Ends the connection at once.
    fn abort(&self) {
        self.aborted.store(true, Ordering::Relaxed);
        self.close_requested.notify_one();
    }

    pub(crate) fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Relaxed)
    }
}

#[derive(Default)]
struct OpenAnswers {
    writers: Writers,
    /// With the number of its answers that are open: clients may ask ahead.
    connections: BTreeMap<u64, (ConnectionHandle, u32)>,
}

pub(crate) struct Answers {
    ledger: Ledger,
    start: Instant,
    open: Mutex<OpenAnswers>,
}

/// An answer's bytes, which hold their room until HTTP lets go of them.
struct AnswerBytes {
    bytes: Vec<u8>,
    _charge: Charge,
    answers: Arc<Answers>,
    number: u64,
}

impl AsRef<[u8]> for AnswerBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for AnswerBytes {
    fn drop(&mut self) {
        let mut open = self.answers.lock();
        let Some((_, answers)) = open.connections.get_mut(&self.number) else { return };
        *answers -= 1;
        if *answers == 0 {
            open.writers.ends(self.number);
            open.connections.remove(&self.number);
        }
    }
}

impl Answers {
    pub(crate) fn new(ledger: Ledger) -> Answers {
        Answers { ledger, start: Instant::now(), open: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, OpenAnswers> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// So many bytes of an answer have gone to a client.
    pub(crate) fn record_written(&self, number: u64, bytes: usize) {
        self.lock().writers.wrote(number, bytes as u64);
    }

    /// Ends the connection of the client stalled longest; false if none is stalled.
    fn close_longest_stalled(&self, only_tenant: Option<usize>) -> bool {
        let mut open = self.lock();
        let Some(number) = open.writers.give_way(only_tenant, self.start.elapsed()) else { return false };
        let handle = open.connections.remove(&number);
        drop(open);
        if let Some((handle, _)) = handle {
            log::warn!(client = number; "a client does not read its answer: its connection is closed");
            handle.abort();
        }
        true
    }

    /// Has a stalled client give way before those that read find no room.
    fn ensure_free(&self, tenant: Option<usize>) {
        let free = self.ledger.limits().of(Purpose::Answers).cap as f64 * MIN_FREE_RATIO;
        if let Some(no_memory) = self.ledger.lacks(Purpose::Answers, tenant, free as u64) {
            self.close_longest_stalled(tenant.filter(|_| no_memory.reason == Reason::Share));
        }
    }

    /// Takes room for an answer, at the latest by the time that its client stops waiting.
    async fn reserve_memory(
        &self, tenant: Option<usize>, bytes: u64, deadline: Instant,
    ) -> Result<Charge, NoRoom> {
        loop {
            let no_memory = match self.ledger.take(Purpose::Answers, tenant, bytes) {
                Ok(charge) => return Ok(charge),
                Err(no_memory) => no_memory,
            };
            let only_tenant = tenant.filter(|_| no_memory.reason == Reason::Share);
            let exceeds_cap = bytes > self.ledger.limits().of(Purpose::Answers).cap;
            if exceeds_cap || (!self.close_longest_stalled(only_tenant) && Instant::now() >= deadline) {
                return Err(no_memory);
            }
            sleep(MEMORY_RETRY_DELAY).await;
        }
    }

    /// Makes a reply an answer to the client at this wire. What ran and finds no room is given up with no
    /// promise: it must not be called rejected.
    pub(crate) async fn encode(
        self: &Arc<Self>, reply: Reply, handle: Option<ConnectionHandle>, tenant: Option<usize>,
        deadline: Instant,
    ) -> Response<Body> {
        let Reply::Answered { complete, values, charge: values_charge } = reply else {
            return query::encode(reply);
        };
        self.ensure_free(tenant);
        let charge = self.reserve_memory(tenant, query::estimate_body_bytes(&values) as u64, deadline).await;
        let (Ok(mut charge), Some(handle)) = (charge, handle) else { return query::encode(Reply::Aborted) };
        let Some(bytes) = query::encode_body(complete, &values) else {
            return query::text_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer");
        };
        drop((values, values_charge));
        charge.correct(bytes.capacity() as u64);
        let number = handle.number;
        let mut open = self.lock();
        open.writers.begins(number, tenant, self.start.elapsed());
        open.connections.entry(number).or_insert((handle, 0)).1 += 1;
        drop(open);
        let answer_bytes = AnswerBytes { bytes, _charge: charge, answers: self.clone(), number };
        query::json_response(Body::from(Bytes::from_owner(answer_bytes)))
    }
}
