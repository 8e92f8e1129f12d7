//! Answers that are being written to clients. The memory of an answer is charged before it is encoded and
//! released when it is written. If there is not enough, the connection that has been stalled for longest is
//! closed.

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

/// Delay before memory is requested again. Clients that read their answers release some meanwhile.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Ratio of the cap that is kept free by closing connections of stalled clients, so that answers to other
/// clients do not wait for memory.
const MIN_FREE_RATIO: f64 = 0.25;

/// Handle to a client's connection.
#[derive(Clone)]
pub(crate) struct ConnectionHandle {
    pub number: u64,
    /// Notified when the connection is to be closed after its current request.
    pub close_requested: Arc<Notify>,
    /// Whether the connection is to be closed without waiting for its current request.
    aborted: Arc<AtomicBool>,
}

impl ConnectionHandle {
    pub(crate) fn new(number: u64) -> ConnectionHandle {
        ConnectionHandle { number, close_requested: Arc::default(), aborted: Arc::default() }
    }

    /// Closes the connection at once.
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
    /// Connections with open answers, and how many each has: clients may pipeline requests.
    connections: BTreeMap<u64, (ConnectionHandle, u32)>,
}

/// All answers that are being written.
pub(crate) struct Answers {
    ledger: Ledger,
    start: Instant,
    open: Mutex<OpenAnswers>,
}

/// The bytes of an answer, with the charge for their memory. The HTTP library drops them when they are
/// written.
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

    /// Records that bytes have been written to a client.
    pub(crate) fn record_written(&self, number: u64, bytes: usize) {
        self.lock().writers.wrote(number, bytes as u64);
    }

    /// Closes the connection that has been stalled for longest, among those of `only_tenant` if it is given.
    /// Returns false if none is stalled.
    fn close_longest_stalled(&self, only_tenant: Option<usize>) -> bool {
        let mut open = self.lock();
        let Some(number) = open.writers.give_way(only_tenant, self.start.elapsed()) else { return false };
        let handle = open.connections.remove(&number);
        drop(open);
        if let Some((handle, _)) = handle {
            log::warn!(client = number; "answers are short of memory; closing a connection that reads no answer");
            handle.abort();
        }
        true
    }

    /// Closes a stalled connection if less than [`MIN_FREE_RATIO`] of the cap is free.
    fn ensure_free(&self, tenant: Option<usize>) {
        let free = self.ledger.limits().of(Purpose::Answers).cap as f64 * MIN_FREE_RATIO;
        if let Some(no_memory) = self.ledger.lacks(Purpose::Answers, tenant, free as u64) {
            self.close_longest_stalled(tenant.filter(|_| no_memory.reason == Reason::Share));
        }
    }

    /// Charges the memory of an answer. Waits for it until `deadline`, when the client stops waiting.
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

    /// Encodes a reply as an HTTP response to the client of `handle`. If there is no memory for an answer,
    /// the query is reported as aborted, not as rejected, because its parts have run.
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
