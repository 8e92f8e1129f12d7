//! Structured log lines on standard error, as text or JSON. They are bounded in rate, so that nothing from
//! outside can flood it, and in the memory that waiting lines take. A line is written only where that takes no
//! waiting, so that a reader that stands still holds up no query. No thread is kept for it: with a second one
//! every call to the machine costs more.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ashvane_config::{LogForm, LogSettings};
use ashvane_memory::{Charge, Ledger, Purpose};
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// Lines a second at the most, unless the settings say otherwise; what is left out is counted.
const LINES_A_SECOND: u32 = 50;
/// Characters of a line's words, and of each value, at the most: some come from outside.
const LINE_MOST: usize = 400;
/// Bytes that a pipe takes at once where it takes any: longer lines are left out.
const AT_ONCE: usize = 4096;
/// How often lines that wait are looked at again.
pub(crate) const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// How long the program's end waits for lines that are still to be written.
const LAST_LINES: Duration = Duration::from_millis(200);
/// Pause between looks for that.
const LOOK: Duration = Duration::from_millis(2);

struct Second {
    began: Instant,
    written: u32,
}

struct Logger {
    name: String,
    ledger: Ledger,
    second: Mutex<Second>,
    left_out: AtomicU64,
    lines_a_second: AtomicU32,
    as_json: AtomicBool,
    waiting: Mutex<VecDeque<(String, Charge)>>,
}

static LOGGER: OnceLock<Logger> = OnceLock::new();

/// Keys and values of a record, as text or as members of a JSON object.
struct Pairs<'a> {
    out: &'a mut String,
    as_json: bool,
}

fn cut(text: &str) -> String {
    text.chars().take(LINE_MOST).collect()
}

fn quoted(text: &str) -> String {
    serde_json::Value::from(cut(text)).to_string()
}

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let text = value.to_string();
        let plain = value.to_u64().is_some() || value.to_i64().is_some() || value.to_bool().is_some();
        let plain = plain || (!self.as_json && !text.contains([' ', '"', '=', '\n']) && !text.is_empty());
        let text = if plain { cut(&text) } else { quoted(&text) };
        match self.as_json {
            true => self.out.push_str(&format!(",{}:{text}", quoted(key.as_str()))),
            false => self.out.push_str(&format!(" {}={text}", key.as_str())),
        }
        Ok(())
    }
}

impl Logger {
    /// Lets a record's line wait to be written, with a line on those left out before it.
    fn note(&self, record: &Record<'_>) {
        let as_json = self.as_json.load(Ordering::Relaxed);
        if !self.in_rate() || !self.queue(self.line(record, as_json)) {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let left_out = self.left_out.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let (args, count) = (format_args!("lines were left out"), [("lines", left_out)]);
            let mut record = Record::builder();
            let record = record.level(log::Level::Warn).args(args).key_values(&count).build();
            if !self.queue(self.line(&record, as_json)) {
                self.left_out.fetch_add(left_out, Ordering::Relaxed);
            }
        }
    }

    /// A record as a line. What is in it from outside stays on its line.
    fn line(&self, record: &Record<'_>, as_json: bool) -> String {
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let words = cut(&record.args().to_string());
        let (name, level) = (&self.name, record.level());
        let mut out = match as_json {
            true => {
                let (name, words) = (quoted(name), quoted(&words));
                format!("{{\"at_ms\":{at},\"name\":{name},\"level\":\"{level}\",\"words\":{words}")
            }
            false => format!("{at} {name} {level} {}", words.replace('\n', "\\n")),
        };
        let _ = record.key_values().visit(&mut Pairs { out: &mut out, as_json });
        out.push_str(if as_json { "}\n" } else { "\n" });
        out
    }

    /// Whether one more line may be written in this second.
    fn in_rate(&self) -> bool {
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if (now - second.began).as_secs() >= 1 {
            *second = Second { began: now, written: 0 };
        }
        second.written += 1;
        second.written <= self.lines_a_second.load(Ordering::Relaxed)
    }

    fn waiting(&self) -> MutexGuard<'_, VecDeque<(String, Charge)>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lets a line wait to be written; false if there is no room for it.
    fn queue(&self, line: String) -> bool {
        let Ok(room) = self.ledger.take(Purpose::Logs, None, line.capacity() as u64) else { return false };
        let fits = line.len() <= AT_ONCE;
        fits.then(|| self.waiting().push_back((line, room)));
        fits
    }

    /// Writes what waits, as far as that is taken at once.
    fn write(&self, takes: impl Fn() -> bool, out: &mut impl std::io::Write) {
        let mut waiting = self.waiting();
        while !waiting.is_empty() && takes() {
            let line = waiting.pop_front();
            let _ = line.map(|(line, _room)| out.write_all(line.as_bytes()));
        }
    }
}

/// Whether standard error takes a line without waiting.
fn takes() -> bool {
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
            self.note(record);
            self.write(takes, &mut std::io::stderr());
        }
    }

    fn flush(&self) {
        let end = Instant::now() + LAST_LINES;
        loop {
            self.write(takes, &mut std::io::stderr());
            if self.waiting().is_empty() || Instant::now() >= end {
                return;
            }
            std::thread::sleep(LOOK);
        }
    }
}

/// Starts writing. Before it nothing is written.
pub(crate) fn start(name: &str, level: LevelFilter, settings: &LogSettings, ledger: Ledger) {
    let second = Mutex::new(Second { began: Instant::now(), written: 0 });
    let name = name.to_owned();
    let (left_out, lines_a_second, as_json, waiting) = Default::default();
    let logger = Logger { name, ledger, second, left_out, lines_a_second, as_json, waiting };
    if log::set_logger(LOGGER.get_or_init(|| logger)).is_ok() {
        log::set_max_level(level);
        adopt(settings);
    }
}

/// Writes lines that had to wait, as far as that is taken now.
pub(crate) fn write_waiting() {
    if let Some(logger) = LOGGER.get() {
        logger.write(takes, &mut std::io::stderr());
    }
}

/// Takes over settings, at the start and at a reload.
pub(crate) fn adopt(settings: &LogSettings) {
    let Some(logger) = LOGGER.get() else { return };
    logger.as_json.store(settings.form.unwrap_or_default() == LogForm::Json, Ordering::Relaxed);
    let lines = settings.lines_a_second.unwrap_or(LINES_A_SECOND);
    logger.lines_a_second.store(lines, Ordering::Relaxed);
}

#[cfg(test)]
mod tests {
    use ashvane_memory::Limits;

    use super::*;

    fn logger(lines_a_second: u32, as_json: bool) -> Logger {
        Logger {
            name: "n".into(),
            ledger: Ledger::new(Limits::of_memory(32 << 20), &[]),
            second: Mutex::new(Second { began: Instant::now(), written: 0 }),
            left_out: AtomicU64::new(0),
            lines_a_second: lines_a_second.into(),
            as_json: as_json.into(),
            waiting: Mutex::default(),
        }
    }

    /// What is written once so many lines are taken.
    fn written(logger: &Logger, lines: usize) -> Vec<String> {
        let (left, mut out) = (std::cell::Cell::new(lines), Vec::new());
        let takes = || left.replace(left.get().saturating_sub(1)) > 0;
        logger.write(takes, &mut out);
        let text = String::from_utf8(out).expect("text");
        text.split_inclusive('\n').map(str::to_owned).collect()
    }

    fn told(logger: &Logger, words: &str) {
        let kvs = [("server", words), ("count", "3")];
        let mut record = Record::builder();
        logger.note(
            &record
                .level(log::Level::Warn)
                .target("ashvane")
                .args(format_args!("{words}"))
                .key_values(&kvs)
                .build(),
        );
    }

    /// Guards against a flood of faults that takes memory while nobody reads the lines.
    #[test]
    fn a_hundred_thousand_lines_in_a_row_stay_within_their_cap_and_are_counted() {
        let logger = logger(u32::MAX, false);
        let cap = logger.ledger.limits().of(Purpose::Logs).cap;
        for _ in 0..100_000 {
            told(&logger, "something from outside went wrong once more");
        }
        let waiting = logger.ledger.open(Purpose::Logs);
        assert!(waiting <= cap && waiting > cap / 2, "{waiting} of {cap}");
        assert_eq!(written(&logger, 1).len(), 1, "no more is written than is taken");
        let kept = 1 + written(&logger, usize::MAX).len() as u64;
        assert_eq!(kept + logger.left_out.load(Ordering::Relaxed), 100_000);
        assert_eq!(logger.ledger.open(Purpose::Logs), 0, "what is written is given back");
        told(&logger, "the next");
        let next = written(&logger, 2);
        assert!(next[0].contains("the next") && next[1].contains(&format!("lines={}", 100_000 - kept)));
    }

    #[test]
    fn lines_are_bounded_in_rate_and_length_and_what_comes_from_outside_stays_on_its_line() {
        let plain = logger(10, false);
        (0..100).for_each(|_| told(&plain, "a\nb=\"c\""));
        let all = written(&plain, 100);
        assert_eq!(all.len(), 10);
        assert!(all[0].ends_with("n WARN a\\nb=\"c\" server=\"a\\nb=\\\"c\\\"\" count=3\n"), "{}", all[0]);
        let json = logger(10, true);
        told(&json, &"x\ny".repeat(1000));
        let line = written(&json, 1).remove(0);
        let read: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        assert!(line.len() < 3000 && line.ends_with("}\n") && line.lines().count() == 1);
        assert!(read["server"].as_str().is_some_and(|v| v.starts_with("x\ny")) && read["level"] == "WARN");
    }
}
