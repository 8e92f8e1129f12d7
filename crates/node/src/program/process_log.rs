//! Log lines on standard error, in the form `LEVEL message key=value`. The time `t` is in seconds since the
//! start of the process, because the machine's clock may jump.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::time::Instant;

use slog::{Drain, FnValue, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Drain that writes each record as one line.
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = LogLine(format!("{} {}", record.level().as_short_str(), record.msg()));
        // Writing to a string cannot fail, and a failure of standard error cannot be reported anywhere.
        let _ = slog::KV::serialize(&record.kv(), record, &mut line);
        let _ = slog::KV::serialize(values, record, &mut line);
        line.0.push('\n');
        let _ = std::io::stderr().write_all(line.0.as_bytes());
        Ok(())
    }
}

struct LogLine(String);

impl Serializer for LogLine {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        write!(self.0, " {key}={value}").map_err(slog::Error::from)
    }
}

/// Creates a logger that writes records of this level or above.
pub fn logger(level: Level) -> Logger {
    let started_at = Instant::now();
    let seconds = FnValue(move |_: &Record<'_>| format!("{:.3}", started_at.elapsed().as_secs_f64()));
    Logger::root(LineDrain.filter_level(level).ignore_res(), o!("t" => seconds))
}
