//! Reads the settings that a gatherer is given into the project's words, for the simulator's wire and for
//! sockets alike. Keys that are not named here are skipped.

#![expect(missing_docs, clippy::missing_errors_doc, reason = "not done yet: The rest reads as well")]

use std::time::Duration;

use ashvane::{Idempotency, RetryBudgetSettings, Settings, VerticalSettings};
use serde_json::Value;

/// A value somewhere in the settings, and the way to it for messages.
struct At<'a>(&'a Value, String);

impl<'a> At<'a> {
    fn maybe(&self, key: &str) -> Option<At<'a>> {
        let found = self.0.get(key).filter(|v| !v.is_null())?;
        Some(At(found, format!("{}.{key}", self.1)))
    }

    fn get(&self, key: &str) -> Result<At<'a>, String> {
        self.maybe(key).ok_or_else(|| format!("settings: {}.{key} is missing", self.1))
    }

    fn wrong(&self, kind: &str) -> String {
        format!("settings: {} is not {kind}", self.1)
    }

    fn number(&self) -> Result<f64, String> {
        self.0.as_f64().filter(|n| n.is_finite() && *n >= 0.0).ok_or_else(|| self.wrong("a number"))
    }

    fn count(&self) -> Result<u32, String> {
        Ok(self.number()?.min(f64::from(u32::MAX)) as u32)
    }

    fn micros(&self) -> Result<Duration, String> {
        let seconds = self.number()? / 1e6;
        Duration::try_from_secs_f64(seconds).map_err(|_| self.wrong("a time"))
    }

    fn flag(&self) -> Result<bool, String> {
        self.0.as_bool().ok_or_else(|| self.wrong("true or false"))
    }

    fn text(&self) -> Result<&'a str, String> {
        self.0.as_str().ok_or_else(|| self.wrong("a text"))
    }

    fn rows(&self) -> Result<Vec<At<'a>>, String> {
        let rows = self.0.as_array().ok_or_else(|| self.wrong("a list"))?;
        let row = |(i, v)| At(v, format!("{}[{i}]", self.1));
        Ok(rows.iter().enumerate().map(row).collect())
    }

    fn row(&self, index: usize) -> Result<At<'a>, String> {
        self.rows()?.into_iter().nth(index).ok_or_else(|| self.wrong("long enough"))
    }
}

fn effect(class: &At<'_>) -> Result<Idempotency, String> {
    match class.get("effect")?.text()? {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::Deduplicated(class.get("window_us")?.micros()?)),
        "fragile" => Ok(Idempotency::NonIdempotent),
        _ => Err(class.get("effect")?.wrong("a known effect")),
    }
}

fn vertical(class: &At<'_>, index: usize, fan: &At<'_>) -> Result<VerticalSettings, String> {
    Ok(VerticalSettings {
        required_weight: fan.get("class_need")?.row(index)?.number()?,
        min_weight: fan.get("floor_by_class")?.row(index)?.number()?,
        follow_up_parts: fan.get("follow_up")?.row(index)?.count()?,
        slo: class.get("aim_us")?.micros()?,
        late_utility: class.get("late_share")?.number()?,
        idempotency: effect(class)?,
    })
}

/// What the decisions start from.
pub fn read(seed: u64, settings: &Value) -> Result<Settings, String> {
    let root = At(settings, "config".into());
    let (fan, limits, rules) = (root.get("family_info")?, root.get("policy_limits")?, root.get("rules")?);
    let classes = root.get("request_classes")?.rows()?;
    let verticals = classes.iter().enumerate().map(|(i, c)| vertical(c, i, &fan));
    let tenants = root.maybe("projects").map_or(Ok(Vec::new()), |t| t.rows())?;
    let on_request = root.get("membership_mode")?.text()? == "on_request";
    let back = limits.get("retry_after")?.flag()?;
    let budget = match (rules.maybe("budget_span_us"), rules.maybe("extra_per_request")) {
        (Some(span), Some(share)) => Some(RetryBudgetSettings {
            window: span.micros()?,
            min_retries: rules.maybe("min_extra").map_or(Ok(0.0), |n| n.number())?,
            ratio: share.number()?,
        }),
        _ => None,
    };
    Ok(Settings {
        seed,
        gatherer_count: root.get("balancers")?.count()?,
        zone: root.maybe("zone").map(|z| z.count()).transpose()?,
        tick: root.get("quantum_us")?.micros()?,
        verticals: verticals.collect::<Result<_, _>>()?,
        tenant_rates: tenants.iter().map(|t| t.get("quota_per_s")?.number()).collect::<Result<_, _>>()?,
        cell_count: fan.get("positions")?.count()?,
        cells_per_shard: fan.get("span")?.count()?,
        max_parts_per_call: fan.get("parts_a_call")?.count()?.max(1) as usize,
        call_overhead: fan.maybe("overhead_us").map_or(Ok(Duration::ZERO), |cost| cost.micros())?,
        max_calls_per_part: limits.get("max_attempts")?.count()?,
        allow_hedging: limits.get("second_copies")?.flag()?,
        allow_cancel: limits.get("may_cancel")?.flag()?,
        max_retry_after: match (back, limits.maybe("max_retry_after_us")) {
            (true, Some(most)) => Some(most.micros()?),
            _ => None,
        },
        max_list_request_interval: match rules.maybe("must_ask_in_us") {
            Some(within) if on_request => Some(within.micros()?),
            _ => None,
        },
        retry_budget: budget,
        cold_capacity_share: rules.get("cold_from")?.number()?,
        warm_up_time: rules.get("cold_us")?.micros()?,
        overload_factor: rules.get("overload_factor")?.number()?,
        overload_window: rules.get("fall_us")?.micros()?,
    })
}

/// What the network code needs beside: the names that stand for numbers on the sockets, and its limits.
#[derive(Clone, Debug)]
pub struct Network {
    pub verticals: Vec<String>,
    /// Whether running a part of a vertical again does harm.
    pub runs_once: Vec<bool>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    pub cells: u32,
    pub shards: u32,
    /// The most parts in one frame.
    pub parts_a_call: usize,
    /// How many queries and parts may be held.
    pub most_held: usize,
    /// How many parts a connection carries at once.
    pub multiplex: usize,
    /// A connection that is not up by then counts as unreachable.
    pub dial_limit: Duration,
    /// A shard server closes a connection that stands idle for so long.
    pub idle_limit: Duration,
    /// The longest that any client waits, over all its tries.
    pub longest: Duration,
}

pub fn read_network(settings: &Value) -> Result<Network, String> {
    let root = At(settings, "config".into());
    let (fan, limits) = (root.get("family_info")?, root.get("policy_limits")?);
    let classes = root.get("request_classes")?.rows()?;
    let name = |row: &At<'_>| Ok::<_, String>(row.get("name")?.text()?.to_owned());
    let names = |rows: Option<Vec<At<'_>>>| rows.iter().flatten().map(name).collect::<Result<Vec<_>, _>>();
    let longest = classes.iter().map(|c| c.get("hard_limit_us")?.micros());
    let longest: Vec<Duration> = longest.collect::<Result<_, String>>()?;
    if fan.get("follow_up")?.rows()?.iter().any(|n| n.count() != Ok(0)) {
        return Err(fan.get("follow_up")?.wrong("all 0: a second step has no form on the sockets"));
    }
    let tenants = root.maybe("projects").map(|t| t.rows()).transpose()?;
    let zones = root.maybe("zones").map(|z| z.rows()).transpose()?.unwrap_or_default();
    let at_least_one = |at: At<'_>| Ok::<_, String>(at.count()?.max(1));
    let once = |c: &At<'_>| Ok::<_, String>(effect(c)? == Idempotency::NonIdempotent);
    Ok(Network {
        runs_once: classes.iter().map(once).collect::<Result<_, _>>()?,
        verticals: names(Some(classes))?,
        tenants: names(tenants)?,
        zones: zones.iter().map(|z| Ok(z.text()?.to_owned())).collect::<Result<_, String>>()?,
        cells: at_least_one(fan.get("positions")?)?,
        shards: fan.get("ranges")?.count()?,
        parts_a_call: at_least_one(fan.get("parts_a_call")?)? as usize,
        most_held: limits.get("most_held")?.count()? as usize,
        multiplex: at_least_one(limits.get("multiplex")?)? as usize,
        dial_limit: limits.get("dial_timeout_us")?.micros()?,
        idle_limit: limits.get("keepalive_us")?.micros()?,
        longest: longest.into_iter().max().unwrap_or_default(),
    })
}
