//! Decodes the directives of a script into settings. Checks that every key is known and of its type, that no
//! directive is repeated, and that the limits are consistent. Reports all faults, not only the first.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ashvane_config::{CapSettings, Fault, FleetSettings, LogForm, Settings};
use ashvane_fleet::{MAX_DRIFT, MAX_LEASE, MIN_LEASE, keepers_faults};
use ashvane_memory::{Limits, Purpose};
use serde_json::Value as Json;

use crate::script::Directive;

/// Maximum fraction of the program's memory for the total of all purposes. A higher total leaves too little
/// for the program itself.
const MAX_TOTAL_RATIO: f64 = 0.85;
/// Minimum of a cap: the usual maximum of one body, frame or answer.
const MIN_CAP_BYTES: u64 = 64 * 1024;
const DEFAULT_LEASE_MS: u64 = 3000;
/// Default bound of the drift of clocks.
const DEFAULT_DRIFT_PPM: u64 = 10_000;
/// Default interval between the calls of a gatherer to a keeper.
const DEFAULT_CALL_INTERVAL_MS: u64 = 1000;
const MIN_CALL_INTERVAL_MS: u64 = 200;
const MAX_LOG_LINES_PER_S: u64 = 10_000;
/// Minimum similarity of a known name to an unknown one for offering it as a suggestion.
const MIN_NAME_SIMILARITY: f64 = 0.6;

/// Returns the known name that is most similar to an unknown one, if it is similar enough.
fn nearest_name<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let similarity = |k: &&'a str| (strsim::normalized_damerau_levenshtein(name, k), *k);
    let best = known.iter().map(similarity).max_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(best.1).filter(|_| best.0 >= MIN_NAME_SIMILARITY)
}

/// Formats a value for an error message, truncated to 40 characters.
fn abbreviated(value: &Json) -> String {
    let text = value.to_string();
    if text.chars().count() <= 40 { text } else { text.chars().take(40).chain(['…']).collect() }
}

/// Decoder of one directive.
struct DirectiveDecoder<'a> {
    file: &'a str,
    script_lines: &'a [&'a str],
    directive: &'a Directive,
    faults: &'a mut Vec<Fault>,
}

impl DirectiveDecoder<'_> {
    /// Returns the line of a key: the first line of the call that contains it.
    fn line_of_key(&self, key: &str) -> usize {
        let (first, last) = self.directive.lines;
        let matches = |line: &&str| line.contains(key);
        let lines = self.script_lines.iter().take(last).skip(first.saturating_sub(1));
        first + lines.take_while(|line| !matches(line)).count().min(last - first)
    }

    fn report(&mut self, key: &str, words: String) {
        let line = if key.is_empty() { self.directive.lines.0 } else { self.line_of_key(key) };
        let key = if key.is_empty() {
            self.directive.name.into()
        } else {
            format!("{}.{key}", self.directive.name)
        };
        self.faults.push(Fault { file: self.file.to_owned(), line, key, words });
    }

    /// Reports arguments without a name and unknown keys.
    fn check_keys(&mut self, known: &[&str]) {
        if !self.directive.positional.is_empty() {
            let words = format!("its arguments need names; it takes {}", known.join(", "));
            self.report("", words);
        }
        let directive = self.directive;
        for (key, _) in directive.named.iter().filter(|(key, _)| !known.contains(&key.as_str())) {
            let words = match nearest_name(key, known) {
                Some(suggestion) => format!("unknown key; {suggestion} is the nearest known one"),
                None => format!("unknown key; it takes {}", known.join(", ")),
            };
            self.report(key, words);
        }
    }

    fn value(&self, key: &str) -> Option<&Json> {
        let found = self.directive.named.iter().find(|(name, _)| name == key).map(|(_, value)| value);
        found.filter(|value| !value.is_null())
    }

    /// Returns an integer from `min` to `max`, or reports a fault.
    fn integer(&mut self, key: &str, min: u64, max: u64, unit: &str) -> Option<u64> {
        let value = self.value(key)?;
        let number = value.as_u64().filter(|n| (min..=max).contains(n));
        if number.is_none() {
            let words = format!("{} is not a whole number of {unit} from {min} to {max}", abbreviated(value));
            self.report(key, words);
        }
        number
    }

    fn string(&mut self, key: &str, expected: &str) -> Option<String> {
        let value = self.value(key)?;
        let text = value.as_str().map(str::to_owned);
        if text.is_none() {
            let words = format!("{} is not {expected}", abbreviated(value));
            self.report(key, words);
        }
        text
    }

    fn require(&mut self, key: &str) {
        if self.value(key).is_none() {
            self.report("", format!("{key} is missing"));
        }
    }

    fn admin(&mut self, settings: &mut Settings) {
        self.check_keys(&["listen"]);
        self.require("listen");
        let Some(text) = self.string("listen", "an address such as \"127.0.0.1:9300\"") else { return };
        match text.parse::<SocketAddr>() {
            Ok(address) if address.ip().is_loopback() => settings.admin = Some(address),
            Ok(address) => {
                self.report("listen", format!("{address} is not on loopback; 127.0.0.1:{}", address.port()));
            }
            Err(_) => {
                self.report("listen", format!("{text:?} is not an address such as \"127.0.0.1:9300\""));
            }
        }
    }

    fn log(&mut self, settings: &mut Settings) {
        self.check_keys(&["form", "lines_a_second"]);
        if let Some(form) = self.string("form", "\"text\" or \"json\"") {
            match form.as_str() {
                "text" => settings.log.form = Some(LogForm::Text),
                "json" => settings.log.form = Some(LogForm::Json),
                _ => self.report("form", format!("{form:?} is not \"text\" or \"json\"")),
            }
        }
        let lines = self.integer("lines_a_second", 1, MAX_LOG_LINES_PER_S, "lines");
        settings.log.lines_a_second = lines.map(|n| n as u32);
    }

    fn memory(&mut self, settings: &mut Settings, memory: u64) {
        self.check_keys(&["total"]);
        self.require("total");
        let max = (memory as f64 * MAX_TOTAL_RATIO) as u64;
        let min = MIN_CAP_BYTES * Purpose::COUNT as u64;
        settings.memory_total = self.integer("total", min, max, "bytes");
    }

    fn cap(&mut self, settings: &mut Settings, memory: u64) {
        self.check_keys(&["purpose", "bytes", "reserve"]);
        self.require("purpose");
        let names: Vec<&str> = Purpose::ALL.iter().map(|p| p.name()).collect();
        let bytes = self.integer("bytes", MIN_CAP_BYTES, memory, "bytes");
        let reserve = self.integer("reserve", 0, memory, "bytes");
        let Some(purpose) = self.string("purpose", "the name of a purpose") else { return };
        if !names.contains(&purpose.as_str()) {
            let suggestion = nearest_name(&purpose, &names)
                .map(|suggestion| format!("; {suggestion} is the nearest known one"));
            let suggestion = suggestion.unwrap_or_else(|| format!("; the purposes are {}", names.join(", ")));
            return self.report("purpose", format!("{purpose:?} is no purpose{suggestion}"));
        }
        if settings.caps.iter().any(|c| c.purpose == purpose) {
            return self.report("purpose", format!("{purpose:?} has a cap already; state each once"));
        }
        settings.caps.push(CapSettings { purpose, bytes, reserve });
    }

    /// Decodes the keepers, a dictionary from number to address.
    fn keepers(&mut self) -> BTreeMap<u64, SocketAddr> {
        let expected = "{1: \"127.0.0.1:9401\", 2: ..., 3: ...}";
        let Some(value) = self.value("keepers").cloned() else { return BTreeMap::new() };
        let Some(entries) = value.as_object() else {
            self.report("keepers", format!("{} is not a dictionary as {expected}", abbreviated(&value)));
            return BTreeMap::new();
        };
        let mut keepers = BTreeMap::new();
        for (number, address) in entries {
            let found = number.parse().ok().zip(address.as_str().and_then(|text| text.parse().ok()));
            match found {
                Some((number, address)) => drop(keepers.insert(number, address)),
                None => self.report(
                    "keepers",
                    format!("{number:?}: {} is not as in {expected}", abbreviated(address)),
                ),
            }
        }
        let by_number: Vec<(u64, String)> =
            keepers.iter().map(|(n, a): (&u64, &SocketAddr)| (*n, a.to_string())).collect();
        if by_number.len() == entries.len() {
            let faults =
                keepers_faults(by_number.iter().map(|(number, address)| (*number, address.as_str())));
            faults.into_iter().for_each(|fault| self.report("keepers", fault.to_string()));
        }
        keepers
    }

    fn fleet(&mut self, settings: &mut Settings) {
        self.check_keys(&["keepers", "lease_ms", "drift_ppm", "every_ms"]);
        self.require("keepers");
        let keepers = self.keepers();
        let (min, max) = (MIN_LEASE.as_millis() as u64, MAX_LEASE.as_millis() as u64);
        let lease_ms = self.integer("lease_ms", min, max, "milliseconds").unwrap_or(DEFAULT_LEASE_MS);
        let max_drift_ppm = (MAX_DRIFT * 1e6) as u64;
        let drift_ppm =
            self.integer("drift_ppm", 0, max_drift_ppm, "parts of a million").unwrap_or(DEFAULT_DRIFT_PPM);
        // A candidate that calls less often than once per lease could leave the duty without an owner for that
        // long.
        let every_ms = self
            .integer("every_ms", MIN_CALL_INTERVAL_MS, lease_ms, "milliseconds")
            .unwrap_or(DEFAULT_CALL_INTERVAL_MS);
        settings.fleet = Some(FleetSettings { keepers, lease_ms, drift_ppm, every_ms });
    }
}

/// Reports contradictions between the limits that result from the settings.
fn check_limits(
    file: &str, settings: &Settings, directives: &[Directive], memory: u64, faults: &mut Vec<Fault>,
) {
    let line_of = |purpose: &str| {
        let matches = |s: &&Directive| s.named.iter().any(|(_, v)| v.as_str() == Some(purpose));
        directives.iter().find(matches).map_or(0, |s| s.lines.0)
    };
    let limits: Limits = settings.limits(memory);
    for words in limits.faults() {
        let purpose = words.split(':').next().unwrap_or_default();
        let line = line_of(purpose);
        faults.push(Fault { file: file.to_owned(), line, key: "cap".into(), words });
    }
}

/// Decodes the directives of a script into settings, or returns all faults.
pub(crate) fn decode(
    file: &str, text: &str, directives: &[Directive], memory: u64,
) -> Result<Settings, Vec<Fault>> {
    let (mut settings, mut faults) = (Settings::default(), Vec::new());
    let script_lines: Vec<&str> = text.lines().collect();
    for (index, directive) in directives.iter().enumerate() {
        let mut decoder =
            DirectiveDecoder { file, script_lines: &script_lines, directive, faults: &mut faults };
        let previous =
            directives[..index].iter().find(|s| s.name == directive.name && directive.name != "cap");
        if let Some(previous) = previous {
            decoder.report("", format!("said before, on line {}; say it once", previous.lines.0));
            continue;
        }
        match directive.name {
            "admin" => decoder.admin(&mut settings),
            "log" => decoder.log(&mut settings),
            "memory" => decoder.memory(&mut settings, memory),
            "fleet" => decoder.fleet(&mut settings),
            _ => decoder.cap(&mut settings, memory),
        }
    }
    if faults.is_empty() {
        check_limits(file, &settings, directives, memory, &mut faults);
    }
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}
