//! Processor limits of simulated machines, and measurement of their traffic: bytes by pair of zones, and
//! connection attempts.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// Traffic since the start of the simulation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic {
    /// Bytes by sending and receiving zone.
    pub bytes: BTreeMap<(String, String), u64>,
    pub connection_attempts: u64,
}

/// Processor time that a machine needs to send or receive one chunk of data.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Processor {
    pub per_chunk: Duration,
    pub per_byte: Duration,
}

/// Processors and zones of simulated machines, by host. A machine without an entry has an unlimited
/// processor.
#[derive(Default)]
pub(crate) struct Bounds {
    zones: RefCell<BTreeMap<String, String>>,
    processors: RefCell<BTreeMap<String, Processor>>,
    /// Time at which each limited processor will have handled all chunks so far.
    busy_until: RefCell<BTreeMap<String, Instant>>,
    traffic: RefCell<Traffic>,
    connection_attempts: Cell<u64>,
}

impl Bounds {
    pub(crate) fn set_zone(&self, host: &str, zone: &str) {
        self.zones.borrow_mut().insert(host.to_owned(), zone.to_owned());
    }

    /// Limits a machine's processor, which handles one chunk after another.
    pub(crate) fn limit_processor(&self, host: &str, processor: Processor) {
        self.processors.borrow_mut().insert(host.to_owned(), processor);
    }

    pub(crate) fn traffic(&self) -> Traffic {
        Traffic { connection_attempts: self.connection_attempts.get(), ..self.traffic.borrow().clone() }
    }

    pub(super) fn record_connection_attempt(&self) {
        self.connection_attempts.set(self.connection_attempts.get() + 1);
    }

    /// Adds a chunk of this size to the machine's work. Returns when it will have been handled, or `None` if
    /// the processor is unlimited.
    fn processing_end(&self, host: &str, bytes: usize) -> Option<Instant> {
        let processor = *self.processors.borrow().get(host)?;
        let cost = processor.per_chunk + processor.per_byte * u32::try_from(bytes).unwrap_or(u32::MAX);
        let (mut busy, now) = (self.busy_until.borrow_mut(), Instant::now());
        let until = busy.get(host).copied().unwrap_or(now).max(now) + cost;
        busy.insert(host.to_owned(), until);
        Some(until)
    }

    /// Counts a chunk sent from one machine to another, and waits until the processors of both have handled
    /// it.
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
