//! Adapter between the simulator and the decision module. Each input line becomes a call into the module, and
//! each call that the module makes becomes an output line.

#![expect(clippy::too_many_lines, reason = "one arm for each event of the wire")]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, Write as _};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use ashvane::{Gatherer, Health, Host, Outcome};

/// Output lines of the current batch, shared by all hosts.
#[derive(Default)]
struct Reply {
    text: String,
    context: Option<u64>,
}

/// Host of one gatherer instance; writes its calls to the shared reply.
struct WireHost {
    instance: u64,
    reply: Rc<RefCell<Reply>>,
}

impl WireHost {
    fn write_line(&self, line: std::fmt::Arguments<'_>) {
        let reply = &mut *self.reply.borrow_mut();
        if reply.context != Some(self.instance) {
            reply.context = Some(self.instance);
            let _ = writeln!(reply.text, "context\t{}", self.instance);
        }
        let _ = reply.text.write_fmt(line);
        reply.text.push('\n');
    }
}

impl Host for WireHost {
    fn start_call(&mut self, part: u64, server: &str, timeout: Duration) {
        // On the wire, 0 means no time-out, and a negative value expires immediately.
        let us = if timeout.is_zero() { -1 } else { timeout.as_micros() as i64 };
        self.write_line(format_args!("attempt\t{part}\t{us}\t{server}"));
    }

    fn cancel_call(&mut self, part: u64, call: u32) {
        self.write_line(format_args!("retract\t{part}\t{call}"));
    }

    fn answer(&mut self, query: u64, complete: bool) {
        self.write_line(format_args!("respond\t{query}\t{}", u8::from(complete)));
    }

    fn reject(&mut self, query: u64, retry_after: Option<Duration>) {
        match retry_after {
            Some(after) => self.write_line(format_args!("bounce\t{query}\t{}", after.as_micros())),
            None => self.write_line(format_args!("bounce\t{query}\t-")),
        }
    }

    fn abort(&mut self, query: u64) {
        self.write_line(format_args!("finish_error\t{query}"));
    }

    fn set_timer(&mut self, token: u64, delay: Duration) {
        self.write_line(format_args!("arm\t{token}\t{}", delay.as_micros()));
    }

    fn watch_server_list(&mut self) {
        self.write_line(format_args!("track\t1"));
    }
}

/// Tab-separated fields of a line, read in order.
struct LineFields<'a>(std::str::Split<'a, char>);

impl<'a> LineFields<'a> {
    /// Returns the next field, or an error that names it.
    fn required(&mut self, name: &str) -> Result<&'a str, String> {
        self.0.next().ok_or_else(|| format!("{name} is missing"))
    }

    /// Returns the next field, or `None` if it is given as "-".
    fn optional(&mut self, name: &str) -> Result<Option<&'a str>, String> {
        Ok(Some(self.required(name)?).filter(|text| *text != "-"))
    }

    fn parse_required<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        self.parse_optional(name)?.ok_or_else(|| format!("{name} is required but given as \"-\""))
    }

    fn parse_optional<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        let Some(text) = self.optional(name)? else { return Ok(None) };
        text.parse().map(Some).map_err(|_| format!("{name} cannot be parsed: {text:?}"))
    }

    /// Reads a field of the wire type "number" that must be an integer. It may be written with a decimal
    /// point.
    fn integer(&mut self, name: &str) -> Result<i64, String> {
        let number: f64 = self.parse_required(name)?;
        if number.fract() != 0.0 || number.abs() > 9e15 {
            return Err(format!("{name} is not an integer of magnitude up to 9e15: {number}"));
        }
        Ok(number as i64)
    }

    fn micros(&mut self, name: &str) -> Result<Option<Duration>, String> {
        let us: Option<i64> = self.parse_optional(name)?;
        Ok(us.map(|us| Duration::from_micros(us.max(0) as u64)))
    }
}

/// Row of a server list: name, health, cell, zone and start time.
type ServerRow = (String, Health, u32, Option<u32>, Option<Duration>);

#[derive(Default)]
struct Adapter {
    reply: Rc<RefCell<Reply>>,
    gatherers: BTreeMap<u64, Gatherer<WireHost>>,
    lists: BTreeMap<u8, Vec<ServerRow>>,
    open_list: Option<(u8, usize)>,
    instance: Option<u64>,
    now: Duration,
    in_batch: bool,
}

impl Adapter {
    /// Handles an input line. Returns true if the line ends a batch.
    fn handle_line(&mut self, line: &str) -> Result<bool, String> {
        let mut fields = LineFields(line.split('\t'));
        let name = fields.required("name")?;
        if self.open_list.is_some() && name != "row" {
            return Err("server list has fewer rows than declared".into());
        }
        match name {
            "tick" if self.in_batch => return Err("tick within a batch; expected go first".into()),
            "tick" => {
                self.now = Duration::from_micros(fields.parse_required("time_us")?);
                self.in_batch = true;
                return Ok(false);
            }
            _ if !self.in_batch => return Err(format!("{name:?} outside a batch")),
            "go" => {
                self.in_batch = false;
                self.instance = None;
                return Ok(true);
            }
            "target_instance" => {
                let instance = fields.parse_required("gatherer_id")?;
                self.instance = Some(instance);
                self.gatherers.get_mut(&instance).iter_mut().for_each(|g| g.advance_to(self.now));
                return Ok(false);
            }
            "list" => return self.begin_list(&mut fields).map(|()| false),
            "row" => return self.add_row(&mut fields).map(|()| false),
            _ => {}
        }
        let instance = self.instance.ok_or_else(|| format!("{name:?} names no instance"))?;
        match name {
            "configure" => {
                let seed: u64 = fields.parse_required("nonce64")?;
                let json = fields.required("config")?;
                let json =
                    serde_json::from_str(json).map_err(|e| format!("settings are not valid JSON: {e}"))?;
                let settings = ashvane_settings::read(seed, &json)?;
                let host = WireHost { instance, reply: self.reply.clone() };
                self.gatherers.insert(instance, Gatherer::new(host, &settings, self.now));
            }
            "retire" => {
                self.gatherers.remove(&instance);
            }
            _ => self.dispatch_event(instance, name, &mut fields)?,
        }
        Ok(false)
    }

    fn begin_list(&mut self, fields: &mut LineFields<'_>) -> Result<(), String> {
        let number = fields.parse_required("list")?;
        let rows = fields.parse_required("hosts")?;
        self.lists.insert(number, Vec::new());
        self.open_list = Some((number, rows)).filter(|(_, rows)| *rows > 0);
        Ok(())
    }

    fn add_row(&mut self, fields: &mut LineFields<'_>) -> Result<(), String> {
        let (number, remaining) =
            self.open_list.ok_or("row without a preceding list, or beyond its declared rows")?;
        let started = fields.micros("online_since_us")?.filter(|t| !t.is_zero());
        let _weight: Option<f64> = fields.parse_optional("weight")?;
        let zone = fields.parse_optional("failure_domain")?;
        let _kind: Option<u32> = fields.parse_optional("kind")?;
        let health = match fields.required("health")? {
            "ready" => Health::Ready,
            "draining" => Health::Draining,
            "gone" => Health::Gone,
            other => return Err(format!("unknown health {other:?}")),
        };
        let server = fields.required("server")?.to_owned();
        let cell = fields.parse_optional("cell")?.unwrap_or(0);
        self.lists.entry(number).or_default().push((server, health, cell, zone, started));
        self.open_list = Some((number, remaining - 1)).filter(|(_, remaining)| *remaining > 0);
        Ok(())
    }

    fn dispatch_event(
        &mut self, instance: u64, name: &str, fields: &mut LineFields<'_>,
    ) -> Result<(), String> {
        let mut gatherer = self.gatherers.get_mut(&instance);
        match name {
            "sync" => {
                let number: Option<u8> = fields.parse_optional("list")?;
                let _version: Option<u64> = fields.parse_optional("version")?;
                let scope = fields.required("scope")?;
                let is_full_list = match scope {
                    "C" | "F" => true,
                    "D" => false,
                    "X" => {
                        gatherer.iter_mut().for_each(|g| g.server_list_failed());
                        return Ok(());
                    }
                    other => return Err(format!("unknown scope {other:?}")),
                };
                let rows =
                    number.and_then(|n| self.lists.get(&n)).ok_or("sync with an absent or unknown list")?;
                let Some(g) = gatherer else { return Ok(()) };
                g.begin_server_list(is_full_list);
                for (server, health, cell, zone, started) in rows {
                    g.update_server(server, *health, *cell, *zone, *started);
                }
            }
            "ask" => {
                let id = fields.parse_required("msg_id")?;
                let vertical = fields.parse_required("type")?;
                let tenant = fields.parse_optional("billing")?;
                let partition_key = fields.optional("partition_key")?;
                let deadline = fields
                    .micros("valid_until_us")?
                    .ok_or("valid_until_us is required but given as \"-\"")?;
                let _effort = fields.micros("effort_us")?;
                let number = fields.integer("job_no")? as u64;
                let shard = fields.integer("segment_no")?;
                let weight: f64 = fields.parse_required("heft")?;
                let _state_bits: u64 = fields.parse_required("state_bits")?;
                let Some(g) = gatherer else { return Ok(()) };
                if shard < 0 {
                    g.query_arrived(
                        id,
                        number,
                        vertical,
                        tenant,
                        partition_key,
                        deadline,
                        weight.max(0.0) as usize,
                    );
                } else {
                    g.part_arrived(id, number, shard as u32, weight);
                }
            }
            "ring" => {
                let token = fields.parse_required("ctx")?;
                gatherer.iter_mut().for_each(|g| g.timer_fired(token));
            }
            "settled" => {
                let id = fields.parse_required("msg_id")?;
                let call = fields.parse_required("attempt")?;
                let outcome = match fields.required("result")? {
                    "completed" => Outcome::Completed,
                    "errored" => Outcome::Errored,
                    "saturated" => Outcome::Rejected,
                    "overdue" => Outcome::TimedOut,
                    "refused_conn" => Outcome::Unreachable,
                    "severed" => Outcome::ConnectionLost,
                    "recalled" => Outcome::Cancelled,
                    "superseded" => Outcome::NeverSent,
                    other => return Err(format!("unknown result {other:?}")),
                };
                let server = fields.required("server")?;
                let _latency: Option<i64> = fields.parse_optional("latency_us")?;
                let is_final: u8 = fields.parse_optional("no_more")?.unwrap_or(0);
                gatherer.iter_mut().for_each(|g| g.call_ended(id, call, outcome, server, is_final == 1));
            }
            "abandoned" => {
                let id = fields.parse_required("msg_id")?;
                gatherer.iter_mut().for_each(|g| g.query_abandoned(id));
            }
            // Sent only for streamed verticals, peers and probes, which gatherers here do not use.
            "started" | "inbox" | "probe_done" => {}
            other => return Err(format!("unknown event {other:?}")),
        }
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut adapter = Adapter::default();
    let mut out = io::stdout().lock();
    let mut number = 0;
    for line in io::stdin().lock().lines() {
        number += 1;
        let at_line = |reason: String| format!("line {number}: {reason}");
        let line = line.map_err(|e| at_line(e.to_string()))?;
        if line.is_empty() && !adapter.in_batch {
            continue;
        }
        if adapter.handle_line(&line).map_err(at_line)? {
            let mut reply = adapter.reply.borrow_mut();
            reply.text.push_str("yield\n");
            let written = out.write_all(reply.text.as_bytes()).and_then(|()| out.flush());
            written.map_err(|e| at_line(e.to_string()))?;
            reply.text.clear();
            reply.context = None;
        }
    }
    if adapter.in_batch {
        return Err(format!("line {number}: input ends within a batch"));
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("ashvane-drill: {reason}");
            ExitCode::FAILURE
        }
    }
}
