//! Structured log lines on standard error, as text or JSON. Their rate is limited, so that external input
//! cannot flood the log, and so is the memory of queued lines. A line is written only if that does not block,
//! so that a stalled reader delays no query. There is no separate writer thread, because system calls are
//! slower in a process with more than one thread.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ashvane_config::{LogForm, LogSettings};
use ashvane_memory::{Charge, Ledger, Purpose};
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Maximum number of lines per second unless the settings state another. Dropped lines are counted.
const DEFAULT_LINES_PER_SECOND: u32 = 50;
/// Maximum length of a line's message and of each value. Longer ones, which may be external input, are
/// truncated.
const MAX_TEXT_CHARS: usize = 400;
/// Maximum length of a line: the number of bytes that a pipe accepts without blocking if it is writable.
/// Longer lines are dropped.
const MAX_LINE_BYTES: usize = 4096;
/// Interval between attempts to write queued lines.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum time that the exit waits for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval between attempts to write queued lines at the exit.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The number of lines in the current second, for the rate limit.
struct RateWindow {
    started_at: Instant,
    written: u32,
}

struct Logger {
    name: String,
    ledger: Ledger,
    rate_window: Mutex<RateWindow>,
    dropped: AtomicU64,
    max_lines_per_second: AtomicU32,
    as_json: AtomicBool,
    queue: Mutex<VecDeque<(String, Charge)>>,
}

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Formats the keys and values of a record, as text or as members of a JSON object.
struct Pairs<'a> {
    out: &'a mut String,
    as_json: bool,
}

fn truncate(text: &str) -> String {
    text.chars().take(MAX_TEXT_CHARS).collect()
}

fn quote(text: &str) -> String {
    serde_json::Value::from(truncate(text)).to_string()
}

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        let unquoted = value.to_u64().is_some() || value.to_i64().is_some() || value.to_bool().is_some();
        let unquoted =
            unquoted || (!self.as_json && !text.contains([' ', '"', '=', '\n']) && !text.is_empty());
        let text = if unquoted { truncate(&text) } else { quote(&text) };
        match self.as_json {
            true => self.out.push_str(&format!(",{}:{text}", quote(key.as_str()))),
            false => self.out.push_str(&format!(" {}={text}", key.as_str())),
        }
        Ok(())
    }
}

impl Logger {
    /// Queues the line of a record. If lines were dropped before it, another line states how many.
    fn log_record(&self, record: &Record<'_>) {
        let as_json = self.as_json.load(Ordering::Relaxed);
        if !self.within_rate_limit() || !self.enqueue(self.line(record, as_json)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let (args, count) =
                (format_args!("lines dropped: rate or memory limit reached"), [("lines", dropped)]);
            let mut record = Record::builder();
            let record = record.level(log::Level::Warn).args(args).key_values(&count).build();
            if !self.enqueue(self.line(&record, as_json)) {
                self.dropped.fetch_add(dropped, Ordering::Relaxed);
            }
        }
    }

    /// Formats a record as one line. Line breaks in its message and values are escaped.
    fn line(&self, record: &Record<'_>, as_json: bool) -> String {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let message = truncate(&record.args().to_string());
        let (name, level) = (&self.name, record.level());
        let mut out = match as_json {
            true => {
                let (name, message) = (quote(name), quote(&message));
                format!("{{\"at_ms\":{at},\"name\":{name},\"level\":\"{level}\",\"words\":{message}")
            }
            false => format!("{at} {name} {level} {}", message.replace('\n', "\\n")),
        };
        let _ = record.key_values().visit(&mut Pairs { out: &mut out, as_json });
        out.push_str(if as_json { "}\n" } else { "\n" });
        out
    }

    /// Counts a line, and returns whether the rate limit allows it.
    fn within_rate_limit(&self) -> bool {
        let mut rate_window = self.rate_window.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if (now - rate_window.started_at).as_secs() >= 1 {
            *rate_window = RateWindow { started_at: now, written: 0 };
        }
        rate_window.written += 1;
        rate_window.written <= self.max_lines_per_second.load(Ordering::Relaxed)
    }

    fn lock_queue(&self) -> MutexGuard<'_, VecDeque<(String, Charge)>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a line. Returns false if it is too long or there is no memory for it.
    fn enqueue(&self, line: String) -> bool {
        let Ok(charge) = self.ledger.take(Purpose::Logs, None, line.capacity() as u64) else { return false };
        let fits = line.len() <= MAX_LINE_BYTES;
        fits.then(|| self.lock_queue().push_back((line, charge)));
        fits
    }

    /// Writes queued lines for as long as that does not block.
    fn write_queued(&self, is_writable: impl Fn() -> bool, out: &mut impl std::io::Write) {
        let mut queue = self.lock_queue();
        while !queue.is_empty() && is_writable() {
            let line = queue.pop_front();
            let _ = line.map(|(line, _charge)| out.write_all(line.as_bytes()));
        }
    }
}

/// Whether a write to standard error does not block.
fn is_writable() -> bool {
    let err = std::io::stderr();
    let mut polled = [PollFd::new(&err, PollFlags::OUT)];
    let ready = poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
    ready.is_ok_and(|ready| ready > 0)
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("ashvane")
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            self.log_record(record);
            self.write_queued(is_writable, &mut std::io::stderr());
        }
    }

    fn flush(&self) {
        let end = Instant::now() + FLUSH_TIMEOUT;
        loop {
            self.write_queued(is_writable, &mut std::io::stderr());
            if self.lock_queue().is_empty() || Instant::now() >= end {
                return;
            }
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Installs the logger. Earlier log lines are discarded.
pub(crate) fn start(name: &str, level: LevelFilter, settings: &LogSettings, ledger: Ledger) {
    let rate_window = Mutex::new(RateWindow { started_at: Instant::now(), written: 0 });
    let name = name.to_owned();
    let (dropped, max_lines_per_second, as_json, queue) = Default::default();
    let logger = Logger { name, ledger, rate_window, dropped, max_lines_per_second, as_json, queue };
    if log::set_logger(LOGGER.get_or_init(|| logger)).is_ok() {
        log::set_max_level(level);
        apply_settings(settings);
    }
}

/// Writes queued lines for as long as that does not block.
pub(crate) fn write_queued_lines() {
    if let Some(logger) = LOGGER.get() {
        logger.write_queued(is_writable, &mut std::io::stderr());
    }
}

/// Applies settings, at start and at each reload.
pub(crate) fn apply_settings(settings: &LogSettings) {
    let Some(logger) = LOGGER.get() else { return };
    logger.as_json.store(settings.form.unwrap_or_default() == LogForm::Json, Ordering::Relaxed);
    let lines = settings.lines_a_second.unwrap_or(DEFAULT_LINES_PER_SECOND);
    logger.max_lines_per_second.store(lines, Ordering::Relaxed);
}

#[cfg(test)]
mod tests {
    use ashvane_memory::Limits;

    use super::*;

    fn logger(max_lines_per_second: u32, as_json: bool) -> Logger {
        Logger {
            name: "n".into(),
            ledger: Ledger::new(Limits::of_memory(32 << 20), &[]),
            rate_window: Mutex::new(RateWindow { started_at: Instant::now(), written: 0 }),
            dropped: AtomicU64::new(0),
            max_lines_per_second: max_lines_per_second.into(),
            as_json: as_json.into(),
            queue: Mutex::default(),
        }
    }

    /// Returns what the logger writes while standard error accepts `lines` lines.
    fn write_lines(logger: &Logger, lines: usize) -> Vec<String> {
        let (remaining, mut out) = (std::cell::Cell::new(lines), Vec::new());
        let is_writable = || remaining.replace(remaining.get().saturating_sub(1)) > 0;
        logger.write_queued(is_writable, &mut out);
        let text = String::from_utf8(out).expect("log lines are UTF-8");
        text.split_inclusive('\n').map(str::to_owned).collect()
    }

    fn log_message(logger: &Logger, message: &str) {
        let kvs = [("server", message), ("count", "3")];
        let mut record = Record::builder();
        logger.log_record(
            &record
                .level(log::Level::Warn)
                .target("ashvane")
                .args(format_args!("{message}"))
                .key_values(&kvs)
                .build(),
        );
    }

    /// Guards against memory growth from a flood of log lines that nobody reads.
    #[test]
    fn a_hundred_thousand_lines_in_a_row_stay_within_their_cap_and_are_counted() {
        let logger = logger(u32::MAX, false);
        let cap = logger.ledger.limits().of(Purpose::Logs).cap;
        for _ in 0..100_000 {
            log_message(&logger, "an external request failed");
        }
        let queued_bytes = logger.ledger.open(Purpose::Logs);
        assert!(queued_bytes <= cap && queued_bytes > cap / 2, "{queued_bytes} of {cap}");
        assert_eq!(write_lines(&logger, 1).len(), 1, "only the accepted lines are written");
        let kept = 1 + write_lines(&logger, usize::MAX).len() as u64;
        assert_eq!(kept + logger.dropped.load(Ordering::Relaxed), 100_000);
        assert_eq!(logger.ledger.open(Purpose::Logs), 0, "the memory of written lines is released");
        log_message(&logger, "the next");
        let next = write_lines(&logger, 2);
        assert!(next[0].contains("the next") && next[1].contains(&format!("lines={}", 100_000 - kept)));
    }

    #[test]
    fn lines_are_bounded_in_rate_and_length_and_what_comes_from_outside_stays_on_its_line() {
        let text = logger(10, false);
        (0..100).for_each(|_| log_message(&text, "a\nb=\"c\""));
        let all = write_lines(&text, 100);
        assert_eq!(all.len(), 10);
        assert!(all[0].ends_with("n WARN a\\nb=\"c\" server=\"a\\nb=\\\"c\\\"\" count=3\n"), "{}", all[0]);
        let json = logger(10, true);
        log_message(&json, &"x\ny".repeat(1000));
        let line = write_lines(&json, 1).remove(0);
        let read: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
        assert!(line.len() < 3000 && line.ends_with("}\n") && line.lines().count() == 1);
        assert!(read["server"].as_str().is_some_and(|v| v.starts_with("x\ny")) && read["level"] == "WARN");
    }
}
