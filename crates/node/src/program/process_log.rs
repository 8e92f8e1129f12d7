//! Log lines on standard error: `LEVEL words key=value`, with the seconds since the start as `t`, for the machine's clock may
//! jump.

use std::fmt::{self, Write as _};
use std::io::Write as _;
use std::time::Instant;

use slog::{Drain, FnValue, Key, Level, Logger, Never, OwnedKVList, Record, Serializer, o};

/// Writes each record as one line.
struct LineDrain;

impl Drain for LineDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut line = LogLine(format!("{} {}", record.level().as_short_str(), record.msg()));
        // Writing into a text does not fail, and nobody is left to be told that standard error is closed.
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

/// A logger of all that is at this level or above.
pub fn logger(level: Level) -> Logger {
    let started_at = Instant::now();
    let seconds = FnValue(move |_: &Record<'_>| format!("{:.3}", started_at.elapsed().as_secs_f64()));
    Logger::root(LineDrain.filter_level(level).ignore_res(), o!("t" => seconds))
}
