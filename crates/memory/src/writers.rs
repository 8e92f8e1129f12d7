//! Answers being written to clients, and the choice of the one whose client is stalled longest.

use std::collections::BTreeMap;
use std::time::Duration;

/// Lowest rate at which a client counts as reading. It is far below the rate of any network in between, and a
/// slower answer would miss its deadline anyway.
const MIN_READ_RATE_BYTES_PER_S: f64 = 256.0 * 1024.0;
/// Delay behind the minimum rate from which a client counts as stalled. A shorter delay may be a pause of
/// this machine.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Writer {
    tenant: Option<usize>,
    started_at: Duration,
    written: u64,
}

/// Answers being written, by number.
#[derive(Debug, Default)]
pub struct Writers(BTreeMap<u64, Writer>);

impl Writers {
    /// Records the start of writing an answer.
    pub fn begins(&mut self, number: u64, tenant: Option<usize>, now: Duration) {
        self.0.insert(number, Writer { tenant, started_at: now, written: 0 });
    }

    /// Records bytes that the client has accepted.
    pub fn wrote(&mut self, number: u64, bytes: u64) {
        if let Some(w) = self.0.get_mut(&number) {
            w.written += bytes;
        }
    }

    /// Removes an answer that is written completely or abandoned.
    pub fn ends(&mut self, number: u64) {
        self.0.remove(&number);
    }

    /// Returns the number of answers being written.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Removes and returns the answer that is furthest behind the minimum rate, if its client counts as
    /// stalled. With `of`, considers only the answers of that tenant.
    pub fn give_way(&mut self, of: Option<usize>, now: Duration) -> Option<u64> {
        let behind = |w: &Writer| {
            let elapsed = now.saturating_sub(w.started_at);
            elapsed
                .checked_sub(Duration::from_secs_f64(w.written as f64 / MIN_READ_RATE_BYTES_PER_S))
                .unwrap_or_default()
        };
        let open = self.0.iter().filter(|(_, w)| of.is_none() || w.tenant == of);
        let (number, behind) = open.map(|(number, w)| (*number, behind(w))).max_by_key(|(_, b)| *b)?;
        if behind < STALL_THRESHOLD {
            return None;
        }
        self.ends(number);
        Some(number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn s(seconds: u64) -> Duration {
        Duration::from_secs(seconds)
    }

    #[test]
    fn the_client_stalled_longest_is_chosen_and_a_reading_one_never() {
        let mut writers = Writers::default();
        writers.begins(1, Some(0), s(0));
        writers.begins(2, Some(1), s(1));
        writers.begins(3, Some(1), s(0));
        for at in 0..20 {
            writers.wrote(1, 256 * 1024);
            // One byte a second is far below the minimum rate.
            writers.wrote(3, 1);
            assert!(at > 0 || writers.give_way(None, s(0)).is_none());
        }
        assert_eq!(writers.give_way(Some(0), s(20)), None, "the client of tenant 0 is reading");
        assert_eq!(writers.give_way(None, s(20)), Some(3));
        assert_eq!(writers.give_way(Some(1), s(20)), Some(2));
        assert_eq!((writers.give_way(None, s(20)), writers.count()), (None, 1));
        assert_eq!(writers.give_way(None, s(30)), Some(1), "a client that stops reading becomes stalled");
    }
}
