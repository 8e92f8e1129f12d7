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
const MAX_ID_BYTES: usize = 64;
/// How far the weights of a query's parts may be from 1 in sum: they are rounded.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
/// Bytes of an answer beside its values: for each of them, and for all.
const VALUE_OVERHEAD_BYTES: usize = 40;
const BODY_OVERHEAD_BYTES: usize = 32;
/// The longest wait that a deadline may name; far above any client's.
const MAX_TIMEOUT: Duration = Duration::from_secs(3600);

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
    #[serde(rename = "whole")]
    complete: bool,
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
    pub timeout: Duration,
    pub parts: Vec<Part>,
    /// What each part has to carry.
    pub payload: Arc<str>,
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
        complete: bool,
        values: Vec<WireValue>,
        /// What the values take until they are written down as one body.
        charge: Charge,
    },
    Rejected(Option<Duration>),
    Aborted,
    /// The query never reached the decisions.
    Error(StatusCode, &'static str),
}

pub(crate) type RequestError = (StatusCode, &'static str);

fn bad_request(reason: &'static str) -> RequestError {
    (StatusCode::BAD_REQUEST, reason)
}

/// A header's value; none where it is given twice, for then nobody can tell which one holds.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// A number and its unit: milliseconds or microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, second) = match text.strip_suffix('m') {
        Some(ms) => (ms, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let timeout = Duration::try_from_secs_f64(number.parse::<f64>().ok()? / second).ok()?;
    Some(timeout).filter(|w| !w.is_zero() && *w <= MAX_TIMEOUT)
}

/// Which vertical a path names.
pub(crate) fn find_vertical(path: &str, network: &Network) -> Result<usize, RequestError> {
    let name = path.split('/').nth(1).unwrap_or_default();
    let found = network.verticals.iter().position(|v| v == name);
    found.ok_or((StatusCode::NOT_FOUND, "no such path"))
}

/// Whose a query is; none where the settings name no tenants.
pub(crate) fn find_tenant(headers: &HeaderMap, network: &Network) -> Result<Option<usize>, RequestError> {
    if network.tenants.is_empty() {
        return Ok(None);
    }
    let name = single_header(headers, "req-owner").ok_or(bad_request("there is no one Req-Owner"))?;
    let found = network.tenants.iter().position(|t| t == name);
    Ok(Some(found.ok_or(bad_request("Req-Owner is no tenant"))?))
}

/// Reads a query of the vertical that its path names.
pub(crate) fn decode(
    vertical: usize, path: &str, headers: &HeaderMap, body: &[u8], network: &Network,
) -> Result<Query, RequestError> {
    let key = path.splitn(3, '/').nth(2).and_then(|rest| rest.rsplit('/').next());
    let id = single_header(headers, "req-id").ok_or(bad_request("there is no one Req-Id"))?;
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(plain) {
        return Err(bad_request("Req-Id is not an id"));
    }
    let tenant = find_tenant(headers, network)?;
    let timeout =
        single_header(headers, "req-deadline").ok_or(bad_request("there is no one Req-Deadline"))?;
    let timeout = parse_timeout(timeout).ok_or(bad_request("Req-Deadline is not a time"))?;
    let body: WireBody = serde_json::from_slice(body).map_err(|_| bad_request("the body is not a query"))?;
    if body.targets.is_empty() {
        return Err(bad_request("the query has no part"));
    }
    let mut shards: Vec<u32> = body.targets.iter().map(|p| p.partition).collect();
    shards.sort_unstable();
    if shards.last().is_some_and(|last| *last >= network.shards) {
        return Err(bad_request("a part's shard is out of range"));
    }
    if shards.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(bad_request("a shard is asked for twice"));
    }
    let sum: f64 = body.targets.iter().map(|p| p.share).sum();
    if body.targets.iter().any(|p| !p.share.is_finite() || p.share < 0.0)
        || (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE
    {
        return Err(bad_request("the parts' weights do not make a whole"));
    }
    let parts = body.targets.iter().map(|p| Part { shard: p.partition, weight: p.share });
    Ok(Query {
        id: id.to_owned(),
        vertical,
        tenant,
        key: key.filter(|k| !k.is_empty()).map(str::to_owned),
        timeout,
        parts: parts.collect(),
        payload: body.query.into(),
    })
}

/// A reply in a few words.
pub(crate) fn text_response(status: StatusCode, words: &'static str) -> Response<Body> {
    let mut reply = Response::new(Body::from(words));
    *reply.status_mut() = status;
    reply
}

/// About how long the body of an answer will be, a little more where no value has to be escaped.
pub(crate) fn estimate_body_bytes(values: &[WireValue]) -> usize {
    BODY_OVERHEAD_BYTES + values.iter().map(|v| VALUE_OVERHEAD_BYTES + v.value.len()).sum::<usize>()
}

/// The body of an answer.
pub(crate) fn encode_body(complete: bool, values: &[WireValue]) -> Option<Vec<u8>> {
    let mut body = Vec::with_capacity(estimate_body_bytes(values));
    serde_json::to_writer(&mut body, &WireReply { complete, results: values }).ok()?;
    Some(body)
}

/// An answer with such a body.
pub(crate) fn json_response(body: Body) -> Response<Body> {
    let mut reply = Response::new(body);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

pub(crate) fn encode(reply: Reply) -> Response<Body> {
    match reply {
        Reply::Answered { complete, values, .. } => match encode_body(complete, &values) {
            Some(body) => json_response(Body::from(body)),
            None => text_response(StatusCode::INTERNAL_SERVER_ERROR, "no answer"),
        },
        Reply::Rejected(retry_after) => {
            let mut reply = text_response(StatusCode::SERVICE_UNAVAILABLE, "not taken");
            let after = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
            if let Some(after) = after.and_then(|text| HeaderValue::try_from(text).ok()) {
                reply.headers_mut().insert(RETRY_AFTER, after);
            }
            reply
        }
        Reply::Aborted => text_response(StatusCode::BAD_GATEWAY, "given up"),
        Reply::Error(status, words) => text_response(status, words),
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
        let text = serde_json::to_string(&WireReply { complete: false, results: &values }).expect("JSON");
        assert_eq!(text, r#"{"whole":false,"results":[{"partition":3,"value":"5b\"e2"}]}"#);
    }

    #[test]
    fn deadlines_are_numbers_with_a_unit() {
        assert_eq!(parse_timeout("480m"), Some(Duration::from_millis(480)));
        assert_eq!(parse_timeout("1500.5u"), Some(Duration::from_nanos(1_500_500)));
        for invalid in ["", "m", "480", "480s", "-1m", "0m", "infm", "1e99u", "4 80m", "4000000000m"] {
            assert_eq!(parse_timeout(invalid), None, "{invalid:?}");
        }
    }
}
