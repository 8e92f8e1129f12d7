//! What machines can take, and what they took: the processor's time for each byte, bytes by the zones that they pass
//! between, connections that were called.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Bytes that went from one zone to another, and connections that were called.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    pub bytes: BTreeMap<(String, String), u64>,
    pub connection_attempts: u64,
}

/// What a machine's processor takes for the bytes that come in one piece, sent or received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Processor {
    pub per_chunk: Duration,
    pub per_byte: Duration,
}

/// The processors and zones of simulated machines, by host. Machines that are not named here are not bounded.
#[derive(Default)]
pub(crate) struct Bounds {
    zones: RefCell<BTreeMap<String, String>>,
    /// Each bounded processor, and until when it is at work.
    processors: RefCell<BTreeMap<String, Processor>>,
    busy_until: RefCell<BTreeMap<String, Instant>>,
    traffic: RefCell<Traffic>,
    connection_attempts: Cell<u64>,
}

impl Bounds {
    pub(crate) fn set_zone(&self, host: &str, zone: &str) {
        self.zones.borrow_mut().insert(host.to_owned(), zone.to_owned());
    }

    /// Bounds a machine's processor: it handles one piece after another.
    pub(crate) fn limit_processor(&self, host: &str, processor: Processor) {
        self.processors.borrow_mut().insert(host.to_owned(), processor);
    }

    pub(crate) fn traffic(&self) -> Traffic {
        Traffic { connection_attempts: self.connection_attempts.get(), ..self.traffic.borrow().clone() }
    }

    pub(super) fn record_connection_attempt(&self) {
        self.connection_attempts.set(self.connection_attempts.get() + 1);
    }

    /// The time at which this machine has handled so many more bytes.
    fn processing_end(&self, host: &str, bytes: usize) -> Option<Instant> {
        let processor = *self.processors.borrow().get(host)?;
        let cost = processor.per_chunk + processor.per_byte * u32::try_from(bytes).unwrap_or(u32::MAX);
        let (mut busy, now) = (self.busy_until.borrow_mut(), Instant::now());
        let until = busy.get(host).copied().unwrap_or(now).max(now) + cost;
        busy.insert(host.to_owned(), until);
        Some(until)
    }

    /// Bytes pass from one machine to another: waits until both have handled them.
    pub(crate) async fn pass(&self, from: &str, to: &str, bytes: usize) {
        let zone = |host| self.zones.borrow().get(host).cloned();
        if let Some(zones) = zone(from).zip(zone(to)) {
            *self.traffic.borrow_mut().bytes.entry(zones).or_default() += bytes as u64;
        }
        let ends = [self.processing_end(from, bytes), self.processing_end(to, bytes)];
        if let Some(until) = ends.into_iter().flatten().max() {
            sleep_until(until).await;
        }
    }
}
