//! A client's query and the answer to it.

use std::sync::Arc;
use std::time::Duration;

use ashvane_memory::Charge;
use ashvane_settings::Network;
use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// The longest id of a query: longer ones would only make frames long.
const ID_MOST: usize = 64;
/// How far the weights of a query's parts may be from 1 in sum: they are rounded.
const WEIGHT_SLACK: f64 = 0.01;
/// Bytes of an answer beside its values: for each of them, and for all.
const VALUE_FRAME: usize = 40;
const ANSWER_FRAME: usize = 32;
/// The longest wait that a deadline may name; far above any client's.
const WAIT_MOST: Duration = Duration::from_secs(3600);

#[derive(Deserialize)]
struct WireBody {
    targets: Vec<WirePart>,
    query: String,
}

#[derive(Deserialize)]
struct WirePart {
    partition: u32,
    share: f64,
}

#[derive(Serialize)]
struct WireReply<'a> {
    whole: bool,
    results: &'a [WireValue],
}

/// A part's value, as a shard server gave it.
#[derive(Debug, Serialize)]
pub(crate) struct WireValue {
    #[serde(rename = "partition")]
    pub shard: u32,
    pub value: String,
}

#[derive(Debug, PartialEq)]
pub(crate) struct Query {
    pub id: String,
    pub vertical: usize,
    pub tenant: Option<usize>,
    pub key: Option<String>,
    /// How long the client waits, from when it sent the query.
    pub wait: Duration,
    pub parts: Vec<Part>,
    /// What each part has to carry.
    pub text: Arc<str>,
}

#[derive(Debug, PartialEq)]
pub(crate) struct Part {
    pub shard: u32,
    pub weight: f64,
}

/// The final answer to a query.
#[derive(Debug)]
pub(crate) enum Reply {
    Answered {
        whole: bool,
        values: Vec<WireValue>,
        /// What the values take until they are written down as one body.
        room: Charge,
    },
    Rejected(Option<Duration>),
    Aborted,
    /// The query never reached the decisions.
    Unheld(StatusCode, &'static str),
}

pub(crate) type Refusal = (StatusCode, &'static str);

fn bad(reason: &'static str) -> Refusal {
    (StatusCode::BAD_REQUEST, reason)
}

/// A header's value; none where it is given twice, for then nobody can tell which one holds.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// A number and its unit: milliseconds or microseconds.
fn deadline(text: &str) -> Option<Duration> {
    let (number, second) = match text.strip_suffix('m') {
        Some(ms) => (ms, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let wait = Duration::try_from_secs_f64(number.parse::<f64>().ok()? / second).ok()?;
    Some(wait).filter(|w| !w.is_zero() && *w <= WAIT_MOST)
}

/// Which vertical a path names.
pub(crate) fn vertical(path: &str, network: &Network) -> Result<usize, Refusal> {
    let name = path.split('/').nth(1).unwrap_or_default();
    let found = network.verticals.iter().position(|v| v == name);
    found.ok_or((StatusCode::NOT_FOUND, "no such path"))
}

/// Whose a query is; none where the settings name no tenants.
pub(crate) fn tenant(headers: &HeaderMap, network: &Network) -> Result<Option<usize>, Refusal> {
    if network.tenants.is_empty() {
        return Ok(None);
    }
    let name = header(headers, "req-owner").ok_or(bad("there is no one Req-Owner"))?;
    let found = network.tenants.iter().position(|t| t == name);
    Ok(Some(found.ok_or(bad("Req-Owner is no tenant"))?))
}

/// Reads a query of the vertical that its path names.
pub(crate) fn decode(
    vertical: usize, path: &str, headers: &HeaderMap, body: &[u8], network: &Network,
) -> Result<Query, Refusal> {
    let key = path.splitn(3, '/').nth(2).and_then(|rest| rest.rsplit('/').next());
    let id = header(headers, "req-id").ok_or(bad("there is no one Req-Id"))?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if id.is_empty() || id.len() > ID_MOST || !id.bytes().all(plain) {
        return Err(bad("Req-Id is not an id"));
    }
    let tenant = tenant(headers, network)?;
    let wait = header(headers, "req-deadline").ok_or(bad("there is no one Req-Deadline"))?;
    let wait = deadline(wait).ok_or(bad("Req-Deadline is not a time"))?;
    let body: WireBody = serde_json::from_slice(body).map_err(|_| bad("the body is not a query"))?;
    if body.targets.is_empty() {
        return Err(bad("the query has no part"));
    }
    let mut shards: Vec<u32> = body.targets.iter().map(|p| p.partition).collect();
    shards.sort_unstable();
    if shards.last().is_some_and(|last| *last >= network.shards) {
        return Err(bad("a part's shard is out of range"));
    }
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(bad("a shard is asked for twice"));
    }
    let sum: f64 = body.targets.iter().map(|p| p.share).sum();
    if body.targets.iter().any(|p| !p.share.is_finite() || p.share < 0.0) || (sum - 1.0).abs() > WEIGHT_SLACK
    {
        return Err(bad("the parts' weights do not make a whole"));
    }
    let parts = body.targets.iter().map(|p| Part { shard: p.partition, weight: p.share });
    Ok(Query {
        id: id.to_owned(),
        vertical,
        tenant,
        key: key.filter(|k| !k.is_empty()).map(str::to_owned),
        wait,
        parts: parts.collect(),
        text: body.query.into(),
    })
}

/// A reply in a few words.
pub(crate) fn say(status: StatusCode, words: &'static str) -> Response<Body> {
    let mut reply = Response::new(Body::from(words));
    *reply.status_mut() = status;
    reply
}

/// About how long the body of an answer will be, a little more where no value has to be escaped.
pub(crate) fn length(values: &[WireValue]) -> usize {
    ANSWER_FRAME + values.iter().map(|v| VALUE_FRAME + v.value.len()).sum::<usize>()
}

/// The body of an answer.
pub(crate) fn body(whole: bool, values: &[WireValue]) -> Option<Vec<u8>> {
    let mut body = Vec::with_capacity(length(values));
    serde_json::to_writer(&mut body, &WireReply { whole, results: values }).ok()?;
    Some(body)
}

/// An answer with such a body.
pub(crate) fn answered(body: Body) -> Response<Body> {
    let mut reply = Response::new(body);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

pub(crate) fn encode(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Answered { whole, values, .. } => match body(whole, &values) {
            Some(body) => answered(Body::from(body)),
            None => say(StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
        },
        Reply::Rejected(back_after) => {
            let mut reply = say(StatusCode::SERVICE_UNAVAILABLE, "not taken");
            let after = back_after.map(|after| format!("{:.3}", after.as_secs_f64()));
            if let Some(after) = after.and_then(|text| HeaderValue::try_from(text).ok()) {
                reply.headers_mut().insert(RETRY_AFTER, after);
            }
            reply
        }
        Reply::Aborted => say(StatusCode::BAD_GATEWAY, "given up"),
        Reply::Unheld(status, words) => say(status, words),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_time_to_come_back_is_told_in_seconds_and_a_value_as_it_came() {
        let reply = encode(Reply::Rejected(Some(Duration::from_millis(250))));
        assert_eq!(reply.headers()[RETRY_AFTER], "0.250");
        assert!(!encode(Reply::Rejected(None)).headers().contains_key(RETRY_AFTER));
        let values = vec![WireValue { shard: 3, value: "5b\"e2".into() }];
        let text = serde_json::to_string(&WireReply { whole: false, results: &values }).expect("JSON");
        assert_eq!(text, r#"{"whole":false,"results":[{"partition":3,"value":"5b\"e2"}]}"#);
    }

    #[test]
    fn deadlines_are_numbers_with_a_unit() {
        assert_eq!(deadline("480m"), Some(Duration::from_millis(480)));
        assert_eq!(deadline("1500.5u"), Some(Duration::from_nanos(1_500_500)));
        for bad in ["", "m", "480", "480s", "-1m", "0m", "infm", "1e99u", "4 80m", "4000000000m"] {
            assert_eq!(deadline(bad), None, "{bad:?}");
        }
    }
}
