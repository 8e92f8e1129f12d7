//! Decodes what a script says into settings: every key known and of its kind, nothing said twice, and all of
//! it in agreement. All faults are told, not the first alone.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ashvane_config::{CapSettings, Fault, FleetSettings, LogForm, Settings};
use ashvane_fleet::{MAX_DRIFT, MAX_LEASE, MIN_LEASE, keepers_faults};
use ashvane_memory::{Limits, Purpose};
use serde_json::Value as Json;

use crate::script::Said;

/// Share of the program's memory above which the purposes' total leaves too little for the program itself.
const TOTAL_SHARE_MOST: f64 = 0.85;
/// The least of a cap, in bytes: one body, frame or answer at its usual longest.
const CAP_LEAST: u64 = 64 * 1024;
/// The usual lease, clocks' drift, and time between a gatherer's calls, and the bounds of the last.
const LEASE_MS: u64 = 3000;
const DRIFT_PPM: u64 = 10_000;
const EVERY_MS: u64 = 1000;
const EVERY_LEAST_MS: u64 = 200;
/// The most lines that may be written in a second.
const LINES_MOST: u64 = 10_000;
/// Names that differ by more than this are not offered as what was meant.
const ALIKE: f64 = 0.6;

/// The name most like one that is not known.
fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let alike = |k: &&'a str| (strsim::normalized_damerau_levenshtein(name, k), *k);
    let best = known.iter().map(alike).max_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(best.1).filter(|_| best.0 >= ALIKE)
}

/// What was found in place of what would be right.
fn shown(value: &Json) -> String {
    let text = value.to_string();
    if text.chars().count() <= 40 { text } else { text.chars().take(40).chain(['…']).collect() }
}

/// One directive that is being decoded.
struct Reader<'a> {
    file: &'a str,
    text_lines: &'a [&'a str],
    said: &'a Said,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    /// The line of a key within its call: the first that names it.
    fn line(&self, key: &str) -> usize {
        let (first, last) = self.said.lines;
        let names = |line: &&str| line.contains(key);
        let lines = self.text_lines.iter().take(last).skip(first.saturating_sub(1));
        first + lines.take_while(|line| !names(line)).count().min(last - first)
    }

    fn wrong(&mut self, key: &str, words: String) {
        let line = if key.is_empty() { self.said.lines.0 } else { self.line(key) };
        let key = if key.is_empty() { self.said.name.into() } else { format!("{}.{key}", self.said.name) };
        self.faults.push(Fault { file: self.file.to_owned(), line, key, words });
    }

    /// Refuses what has no name or one that is not known.
    fn keys(&mut self, known: &[&str]) {
        if !self.said.unnamed.is_empty() {
            let words = format!("its arguments need names; it takes {}", known.join(", "));
            self.wrong("", words);
        }
        let said = self.said;
        for (key, _) in said.named.iter().filter(|(key, _)| !known.contains(&key.as_str())) {
            let words = match nearest(key, known) {
                Some(near) => format!("unknown key; {near} is the nearest known one"),
                None => format!("unknown key; it takes {}", known.join(", ")),
            };
            self.wrong(key, words);
        }
    }

    fn value(&self, key: &str) -> Option<&Json> {
        let found = self.said.named.iter().find(|(name, _)| name == key).map(|(_, value)| value);
        found.filter(|value| !value.is_null())
    }

    /// A whole number within bounds.
    fn count(&mut self, key: &str, least: u64, most: u64, unit: &str) -> Option<u64> {
        let value = self.value(key)?;
        let number = value.as_u64().filter(|n| (least..=most).contains(n));
        if number.is_none() {
            let words = format!("{} is not a whole number of {unit} from {least} to {most}", shown(value));
            self.wrong(key, words);
        }
        number
    }

    fn text(&mut self, key: &str, right: &str) -> Option<String> {
        let value = self.value(key)?;
        let text = value.as_str().map(str::to_owned);
        if text.is_none() {
            let words = format!("{} is not {right}", shown(value));
            self.wrong(key, words);
        }
        text
    }

    fn required(&mut self, key: &str) {
        if self.value(key).is_none() {
            self.wrong("", format!("{key} is missing"));
        }
    }

    fn admin(&mut self, settings: &mut Settings) {
        self.keys(&["listen"]);
        self.required("listen");
        let Some(text) = self.text("listen", "an address such as \"127.0.0.1:9300\"") else { return };
        match text.parse::<SocketAddr>() {
            Ok(address) if address.ip().is_loopback() => settings.admin = Some(address),
            Ok(address) => {
                self.wrong("listen", format!("{address} is not on loopback; 127.0.0.1:{}", address.port()));
            }
            Err(_) => {
                self.wrong("listen", format!("{text:?} is not an address such as \"127.0.0.1:9300\""));
            }
        }
    }

    fn log(&mut self, settings: &mut Settings) {
        self.keys(&["form", "lines_a_second"]);
        if let Some(form) = self.text("form", "\"text\" or \"json\"") {
            match form.as_str() {
                "text" => settings.log.form = Some(LogForm::Text),
                "json" => settings.log.form = Some(LogForm::Json),
                _ => self.wrong("form", format!("{form:?} is not \"text\" or \"json\"")),
            }
        }
        let lines = self.count("lines_a_second", 1, LINES_MOST, "lines");
        settings.log.lines_a_second = lines.map(|n| n as u32);
    }

    fn memory(&mut self, settings: &mut Settings, memory: u64) {
        self.keys(&["total"]);
        self.required("total");
        let most = (memory as f64 * TOTAL_SHARE_MOST) as u64;
        let least = CAP_LEAST * Purpose::COUNT as u64;
        settings.memory_total = self.count("total", least, most, "bytes");
    }

    fn cap(&mut self, settings: &mut Settings, memory: u64) {
        self.keys(&["purpose", "bytes", "reserve"]);
        self.required("purpose");
        let names: Vec<&str> = Purpose::ALL.iter().map(|p| p.name()).collect();
        let bytes = self.count("bytes", CAP_LEAST, memory, "bytes");
        let reserve = self.count("reserve", 0, memory, "bytes");
        let Some(purpose) = self.text("purpose", "the name of a purpose") else { return };
        if !names.contains(&purpose.as_str()) {
            let near = nearest(&purpose, &names).map(|near| format!("; {near} is the nearest known one"));
            let near = near.unwrap_or_else(|| format!("; there are {}", names.join(", ")));
            return self.wrong("purpose", format!("{purpose:?} is no purpose{near}"));
        }
        if settings.caps.iter().any(|c| c.purpose == purpose) {
            return self.wrong("purpose", format!("{purpose:?} has a cap already; state each once"));
        }
        settings.caps.push(CapSettings { purpose, bytes, reserve });
    }

    /// The keepers, as a dictionary from number to address.
    fn keepers(&mut self) -> BTreeMap<u64, SocketAddr> {
        let right = "{1: \"127.0.0.1:9401\", 2: ..., 3: ...}";
        let Some(value) = self.value("keepers").cloned() else { return BTreeMap::new() };
        let Some(members) = value.as_object() else {
            self.wrong("keepers", format!("{} is not a dictionary as {right}", shown(&value)));
            return BTreeMap::new();
        };
        let mut keepers = BTreeMap::new();
        for (number, address) in members {
            let found = number.parse().ok().zip(address.as_str().and_then(|text| text.parse().ok()));
            match found {
                Some((number, address)) => drop(keepers.insert(number, address)),
                None => self.wrong("keepers", format!("{number:?}: {} is not as in {right}", shown(address))),
            }
        }
        let named: Vec<(u64, String)> =
            keepers.iter().map(|(n, a): (&u64, &SocketAddr)| (*n, a.to_string())).collect();
        if named.len() == members.len() {
            let faults = keepers_faults(named.iter().map(|(number, address)| (*number, address.as_str())));
            faults.into_iter().for_each(|fault| self.wrong("keepers", fault.to_string()));
        }
        keepers
    }

    fn fleet(&mut self, settings: &mut Settings) {
        self.keys(&["keepers", "lease_ms", "drift_ppm", "every_ms"]);
        self.required("keepers");
        let keepers = self.keepers();
        let (least, most) = (MIN_LEASE.as_millis() as u64, MAX_LEASE.as_millis() as u64);
        let lease_ms = self.count("lease_ms", least, most, "milliseconds").unwrap_or(LEASE_MS);
        let drift_most = (MAX_DRIFT * 1e6) as u64;
        let drift_ppm = self.count("drift_ppm", 0, drift_most, "parts of a million").unwrap_or(DRIFT_PPM);
        // A candidate that calls more seldom than a lease would leave the duty without an owner for as long.
        let every_ms = self.count("every_ms", EVERY_LEAST_MS, lease_ms, "milliseconds").unwrap_or(EVERY_MS);
        settings.fleet = Some(FleetSettings { keepers, lease_ms, drift_ppm, every_ms });
    }
}

/// What the settings make of the limits must agree too.
fn agree(file: &str, settings: &Settings, said: &[Said], memory: u64, faults: &mut Vec<Fault>) {
    let of = |purpose: &str| {
        let names = |s: &&Said| s.named.iter().any(|(_, v)| v.as_str() == Some(purpose));
        said.iter().find(names).map_or(0, |s| s.lines.0)
    };
    let limits: Limits = settings.limits(memory);
    for words in limits.faults() {
        let purpose = words.split(':').next().unwrap_or_default();
        let line = of(purpose);
        faults.push(Fault { file: file.to_owned(), line, key: "cap".into(), words });
    }
}

pub(crate) fn decode(file: &str, text: &str, said: &[Said], memory: u64) -> Result<Settings, Vec<Fault>> {
    let (mut settings, mut faults) = (Settings::default(), Vec::new());
    let text_lines: Vec<&str> = text.lines().collect();
    for (at, one) in said.iter().enumerate() {
        let mut reader = Reader { file, text_lines: &text_lines, said: one, faults: &mut faults };
        let before = said[..at].iter().find(|s| s.name == one.name && one.name != "cap");
        if let Some(before) = before {
            reader.wrong("", format!("said before, on line {}; say it once", before.lines.0));
            continue;
        }
        match one.name {
            "admin" => reader.admin(&mut settings),
            "log" => reader.log(&mut settings),
            "memory" => reader.memory(&mut settings, memory),
            "fleet" => reader.fleet(&mut settings),
            _ => reader.cap(&mut settings, memory),
        }
    }
    if faults.is_empty() {
        agree(file, &settings, said, memory, &mut faults);
    }
    if faults.is_empty() { Ok(settings) } else { Err(faults) }
}
