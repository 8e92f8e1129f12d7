//! Log lines on standard error, bounded in rate so that nothing from outside can flood it.

use std::io::Write as _;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

/// Lines a second at the most; what is left out is counted.
const LINES_A_SECOND: u32 = 50;
/// Characters of a line's words at the most: some come from outside.
const LINE_MOST: usize = 400;

struct Lines {
    second: Instant,
    written: u32,
    left_out: u32,
}

struct Logger {
    name: String,
    lines: Mutex<Lines>,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level() && metadata.target().starts_with("ashvane")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut lines) = self.lines.lock() else { return };
        let now = Instant::now();
        if (now - lines.second).as_secs() >= 1 {
            (lines.second, lines.written) = (now, 0);
        }
        if lines.written >= LINES_A_SECOND {
            lines.left_out += 1;
            return;
        }
        lines.written += 1;
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let mut err = std::io::stderr().lock();
        let left_out = std::mem::take(&mut lines.left_out);
        if left_out > 0 {
            let _ = writeln!(err, "{at} {} WARN {left_out} lines were left out", self.name);
        }
        let words: String = record.args().to_string().chars().take(LINE_MOST).collect();
        let _ = writeln!(err, "{at} {} {} {words}", self.name, record.level());
    }

    fn flush(&self) {}
}

pub fn start(name: &str, level: LevelFilter) {
    let lines = Mutex::new(Lines { second: Instant::now(), written: 0, left_out: 0 });
    let logger = Logger { name: name.to_owned(), lines };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
}
