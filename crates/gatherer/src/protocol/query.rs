//! Clients' queries and the replies to them.

use std::sync::Arc;
use std::time::Duration;

use ashvane_memory::Charge;
use ashvane_settings::Network;
use axum::body::Body;
use axum::http::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use axum::http::{HeaderValue, Response, StatusCode};
use serde::{Deserialize, Serialize};

/// Maximum length of a query id. Each frame repeats the id for every part.
const MAX_ID_BYTES: usize = 64;
/// Maximum difference of the sum of a query's part weights from 1. Clients send rounded weights.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
/// Estimated JSON overhead of each value in the body of an answer.
const VALUE_OVERHEAD_BYTES: usize = 40;
/// Estimated JSON overhead of the body as a whole.
const BODY_OVERHEAD_BYTES: usize = 32;
/// Maximum time that a Req-Deadline header may state; far above what clients use.
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

/// The value of a part, as the shard server sent it.
#[derive(Debug, Serialize)]
pub(crate) struct WireValue {
    #[serde(rename = "partition")]
    pub shard: u32,
    pub value: String,
}

/// A decoded and validated query.
#[derive(Debug, PartialEq)]
pub(crate) struct Query {
    pub id: String,
    /// Index of the vertical in the settings.
    pub vertical: usize,
    /// Index of the tenant in the settings, or `None` if the settings name no tenants.
    pub tenant: Option<usize>,
    /// Last segment of the path, if there is one after the vertical.
    pub key: Option<String>,
    /// How long the client waits for the answer, counted from when it sent the query.
    pub timeout: Duration,
    pub parts: Vec<Part>,
    /// Query text that is sent to the shard server with each part.
    pub payload: Arc<str>,
}

/// One part of a query.
#[derive(Debug, PartialEq)]
pub(crate) struct Part {
    pub shard: u32,
    /// Share of this part in the complete answer; all weights of a query add up to 1.
    pub weight: f64,
}

/// The final answer to a query.
#[derive(Debug)]
pub(crate) enum Reply {
    Answered {
        complete: bool,
        values: Vec<WireValue>,
        /// Memory of the values; released once they are encoded as one body.
        charge: Charge,
    },
    /// The query was rejected and may be retried, best after this time if one is given.
    Rejected(Option<Duration>),
    /// The query was aborted; its parts may have run.
    Aborted,
    /// The query was answered with an error before it reached the decision module.
    Error(StatusCode, &'static str),
}

/// Status and body of the answer to an invalid request.
pub(crate) type RequestError = (StatusCode, &'static str);

fn bad_request(reason: &'static str) -> RequestError {
    (StatusCode::BAD_REQUEST, reason)
}

/// Returns the value of a header. A header that is present more than once is ambiguous and counts as missing.
fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    values.next().filter(|_| values.next().is_none())?.to_str().ok()
}

/// Parses a number followed by its unit: `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, units_per_second) = match text.strip_suffix('m') {
        Some(number) => (number, 1e3),
        None => (text.strip_suffix('u')?, 1e6),
    };
    let timeout = Duration::try_from_secs_f64(number.parse::<f64>().ok()? / units_per_second).ok()?;
    Some(timeout).filter(|timeout| !timeout.is_zero() && *timeout <= MAX_TIMEOUT)
}

/// Returns the index of the vertical that the first segment of a path names.
pub(crate) fn find_vertical(path: &str, network: &Network) -> Result<usize, RequestError> {
    let name = path.split('/').nth(1).unwrap_or_default();
    let found = network.verticals.iter().position(|v| v == name);
    found.ok_or((StatusCode::NOT_FOUND, "no such path"))
}

/// Returns the index of the tenant that sent a request, or `None` if the settings name no tenants.
pub(crate) fn find_tenant(headers: &HeaderMap, network: &Network) -> Result<Option<usize>, RequestError> {
    if network.tenants.is_empty() {
        return Ok(None);
    }
    let name = single_header(headers, "req-owner").ok_or(bad_request("there is no one Req-Owner"))?;
    let found = network.tenants.iter().position(|t| t == name);
    Ok(Some(found.ok_or(bad_request("Req-Owner is no tenant"))?))
}

/// Decodes and validates a query. `vertical` is the index that [`find_vertical`] returned for `path`.
pub(crate) fn decode(
    vertical: usize, path: &str, headers: &HeaderMap, body: &[u8], network: &Network,
) -> Result<Query, RequestError> {
    let key = path.splitn(3, '/').nth(2).and_then(|rest| rest.rsplit('/').next());
    let id = single_header(headers, "req-id").ok_or(bad_request("there is no one Req-Id"))?;
    let is_valid = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    if id.is_empty() || id.len() > MAX_ID_BYTES || !id.bytes().all(is_valid) {
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

/// Returns a response with a short plain text as its body.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut reply = Response::new(Body::from(text));
    *reply.status_mut() = status;
    reply
}

/// Estimates the length of the body of an answer. It is a slight overestimate if no value needs JSON escapes.
pub(crate) fn estimate_body_bytes(values: &[WireValue]) -> usize {
    BODY_OVERHEAD_BYTES + values.iter().map(|v| VALUE_OVERHEAD_BYTES + v.value.len()).sum::<usize>()
}

/// Encodes the body of an answer as JSON.
pub(crate) fn encode_body(complete: bool, values: &[WireValue]) -> Option<Vec<u8>> {
    let mut body = Vec::with_capacity(estimate_body_bytes(values));
    serde_json::to_writer(&mut body, &WireReply { complete, results: values }).ok()?;
    Some(body)
}

/// Returns a successful response with a JSON body.
pub(crate) fn json_response(body: Body) -> Response<Body> {
    let mut reply = Response::new(body);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    reply
}

/// Converts a reply into an HTTP response.
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
        Reply::Error(status, text) => text_response(status, text),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn retry_after_is_in_seconds_and_values_are_passed_on_unchanged() {
        let reply = encode(Reply::Rejected(Some(Duration::from_millis(250))));
        assert_eq!(reply.headers()[RETRY_AFTER], "0.250");
        assert!(!encode(Reply::Rejected(None)).headers().contains_key(RETRY_AFTER));
        let values = vec![WireValue { shard: 3, value: "5b\"e2".into() }];
        let text = serde_json::to_string(&WireReply { complete: false, results: &values })
            .expect("the reply encodes as JSON");
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
