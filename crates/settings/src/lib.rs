//! Decodes the settings given to a gatherer into typed values, both for the simulator's adapter and for the
//! network code. Unknown keys are ignored.

use std::time::Duration;

use ashvane::{Idempotency, RetryBudgetSettings, Settings, VerticalSettings};
use serde_json::Value;

/// Largest shortfall of sums of part weights. Clients round the weights; the rules of both wires accept sums
/// that fall 0.0001 short.
const WEIGHT_TOLERANCE: f64 = 5e-5;

/// JSON value in the settings, and its path for error messages.
struct SettingsValue<'a>(&'a Value, String);

impl<'a> SettingsValue<'a> {
    fn optional(&self, key: &str) -> Option<SettingsValue<'a>> {
        let value = self.0.get(key).filter(|v| !v.is_null())?;
        Some(SettingsValue(value, format!("{}.{key}", self.1)))
    }

    fn required(&self, key: &str) -> Result<SettingsValue<'a>, String> {
        self.optional(key).ok_or_else(|| format!("settings: {}.{key} is missing", self.1))
    }

    fn invalid(&self, kind: &str) -> String {
        format!("settings: {} is not {kind}", self.1)
    }

    fn number(&self) -> Result<f64, String> {
        self.0
            .as_f64()
            .filter(|n| n.is_finite() && *n >= 0.0)
            .ok_or_else(|| self.invalid("a non-negative number"))
    }

    fn count(&self) -> Result<u32, String> {
        Ok(self.number()?.min(f64::from(u32::MAX)) as u32)
    }

    fn micros(&self) -> Result<Duration, String> {
        let seconds = self.number()? / 1e6;
        Duration::try_from_secs_f64(seconds).map_err(|_| self.invalid("a duration in microseconds"))
    }

    fn boolean(&self) -> Result<bool, String> {
        self.0.as_bool().ok_or_else(|| self.invalid("true or false"))
    }

    fn string(&self) -> Result<&'a str, String> {
        self.0.as_str().ok_or_else(|| self.invalid("a string"))
    }

    fn items(&self) -> Result<Vec<SettingsValue<'a>>, String> {
        let items = self.0.as_array().ok_or_else(|| self.invalid("a list"))?;
        let item = |(i, v)| SettingsValue(v, format!("{}[{i}]", self.1));
        Ok(items.iter().enumerate().map(item).collect())
    }

    fn item(&self, index: usize) -> Result<SettingsValue<'a>, String> {
        self.items()?
            .into_iter()
            .nth(index)
            .ok_or_else(|| self.invalid("a list with an entry for each request class"))
    }
}

fn idempotency(class: &SettingsValue<'_>) -> Result<Idempotency, String> {
    match class.required("effect")?.string()? {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::Deduplicated(class.required("window_us")?.micros()?)),
        "fragile" => Ok(Idempotency::NonIdempotent),
        _ => Err(class.required("effect")?.invalid("a known effect")),
    }
}

fn vertical_settings(
    class: &SettingsValue<'_>, index: usize, fan_out: &SettingsValue<'_>,
) -> Result<VerticalSettings, String> {
    Ok(VerticalSettings {
        required_weight: fan_out.required("class_need")?.item(index)?.number()?,
        min_weight: fan_out.required("floor_by_class")?.item(index)?.number()?,
        follow_up_parts: fan_out.required("follow_up")?.item(index)?.count()?,
        slo: class.required("aim_us")?.micros()?,
        late_utility: class.required("late_share")?.number()?,
        idempotency: idempotency(class)?,
    })
}

/// Decodes the settings of the decision module.
///
/// # Errors
///
/// Names the key that is missing or invalid.
pub fn read(seed: u64, settings: &Value) -> Result<Settings, String> {
    let root = SettingsValue(settings, "config".into());
    let (fan_out, limits, rules) =
        (root.required("family_info")?, root.required("policy_limits")?, root.required("rules")?);
    let classes = root.required("request_classes")?.items()?;
    let verticals = classes.iter().enumerate().map(|(i, c)| vertical_settings(c, i, &fan_out));
    let tenants = root.optional("projects").map_or(Ok(Vec::new()), |t| t.items())?;
    let on_request = root.required("membership_mode")?.string()? == "on_request";
    let honors_retry_after = limits.required("retry_after")?.boolean()?;
    let retry_budget = match (rules.optional("budget_span_us"), rules.optional("extra_per_request")) {
        (Some(span), Some(share)) => Some(RetryBudgetSettings {
            window: span.micros()?,
            min_retries: rules.optional("min_extra").map_or(Ok(0.0), |n| n.number())?,
            ratio: share.number()?,
        }),
        _ => None,
    };
    Ok(Settings {
        seed,
        gatherer_count: root.required("balancers")?.count()?,
        zone: root.optional("zone").map(|z| z.count()).transpose()?,
        tick: root.required("quantum_us")?.micros()?,
        weight_tolerance: WEIGHT_TOLERANCE,
        verticals: verticals.collect::<Result<_, _>>()?,
        tenant_rates: tenants
            .iter()
            .map(|t| t.required("quota_per_s")?.number())
            .collect::<Result<_, _>>()?,
        cell_count: fan_out.required("positions")?.count()?,
        cells_per_shard: fan_out.required("span")?.count()?,
        max_parts_per_call: fan_out.required("parts_a_call")?.count()?.max(1) as usize,
        call_overhead: fan_out.optional("overhead_us").map_or(Ok(Duration::ZERO), |cost| cost.micros())?,
        max_calls_per_part: limits.required("max_attempts")?.count()?,
        allow_hedging: limits.required("second_copies")?.boolean()?,
        allow_cancel: limits.required("may_cancel")?.boolean()?,
        max_retry_after: match (honors_retry_after, limits.optional("max_retry_after_us")) {
            (true, Some(limit)) => Some(limit.micros()?),
            _ => None,
        },
        max_list_request_interval: match rules.optional("must_ask_in_us") {
            Some(interval) if on_request => Some(interval.micros()?),
            _ => None,
        },
        retry_budget,
        cold_capacity_share: rules.required("cold_from")?.number()?,
        warm_up_time: rules.required("cold_us")?.micros()?,
        overload_factor: rules.required("overload_factor")?.number()?,
        overload_window: rules.required("fall_us")?.micros()?,
    })
}

/// Settings of the network code: the names that are sent in place of numbers, and the limits of connections.
#[derive(Clone, Debug)]
pub struct Network {
    /// Names of the verticals, by number.
    pub verticals: Vec<String>,
    /// Whether a vertical is non-idempotent, so that running a part of it again does harm.
    pub runs_once: Vec<bool>,
    /// Names of the tenants, by number.
    pub tenants: Vec<String>,
    /// Names of the zones, by number.
    pub zones: Vec<String>,
    /// Number of cells.
    pub cells: u32,
    /// Number of shards.
    pub shards: u32,
    /// Maximum number of parts in one frame.
    pub parts_a_call: usize,
    /// Maximum number of pending queries and parts.
    pub most_held: usize,
    /// Maximum number of parts in flight on a connection.
    pub multiplex: usize,
    /// Time-out for opening a connection, after which the server counts as unreachable.
    pub dial_limit: Duration,
    /// Time after which a shard server closes an idle connection.
    pub idle_limit: Duration,
    /// Longest time limit of any vertical: how long its client waits, over all attempts.
    pub longest: Duration,
}

/// Decodes the settings of the network code.
///
/// # Errors
///
/// Names the key that is missing or invalid.
pub fn read_network(settings: &Value) -> Result<Network, String> {
    let root = SettingsValue(settings, "config".into());
    let (fan_out, limits) = (root.required("family_info")?, root.required("policy_limits")?);
    let classes = root.required("request_classes")?.items()?;
    let name = |entry: &SettingsValue<'_>| Ok::<_, String>(entry.required("name")?.string()?.to_owned());
    let names =
        |list: Option<Vec<SettingsValue<'_>>>| list.iter().flatten().map(name).collect::<Result<Vec<_>, _>>();
    let time_limits = classes.iter().map(|c| c.required("hard_limit_us")?.micros());
    let time_limits: Vec<Duration> = time_limits.collect::<Result<_, String>>()?;
    if fan_out.required("follow_up")?.items()?.iter().any(|n| n.count() != Ok(0)) {
        return Err(fan_out
            .required("follow_up")?
            .invalid("all 0: follow-up parts cannot be sent over sockets"));
    }
    let tenants = root.optional("projects").map(|t| t.items()).transpose()?;
    let zones = root.optional("zones").map(|z| z.items()).transpose()?.unwrap_or_default();
    let at_least_one = |value: SettingsValue<'_>| Ok::<_, String>(value.count()?.max(1));
    let is_non_idempotent =
        |c: &SettingsValue<'_>| Ok::<_, String>(idempotency(c)? == Idempotency::NonIdempotent);
    Ok(Network {
        runs_once: classes.iter().map(is_non_idempotent).collect::<Result<_, _>>()?,
        verticals: names(Some(classes))?,
        tenants: names(tenants)?,
        zones: zones.iter().map(|z| Ok(z.string()?.to_owned())).collect::<Result<_, String>>()?,
        cells: at_least_one(fan_out.required("positions")?)?,
        shards: fan_out.required("ranges")?.count()?,
        parts_a_call: at_least_one(fan_out.required("parts_a_call")?)? as usize,
        most_held: limits.required("most_held")?.count()? as usize,
        multiplex: at_least_one(limits.required("multiplex")?)? as usize,
        dial_limit: limits.required("dial_timeout_us")?.micros()?,
        idle_limit: limits.required("keepalive_us")?.micros()?,
        longest: time_limits.into_iter().max().unwrap_or_default(),
    })
}
