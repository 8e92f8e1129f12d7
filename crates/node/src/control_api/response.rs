//! Responses to control calls: JSON, and when to call again.

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};

use crate::agent::NoQuorum;
use crate::document::Faults;

/// When a call that found no quorum is best made again, in seconds.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// A response to a control call.
pub(super) type ApiResponse = Response<Body>;

pub(super) fn json_text(status: StatusCode, body: impl Into<Body>) -> ApiResponse {
    let mut response = Response::new(body.into());
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(header::RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    }
    response
}

pub(super) fn json_value(status: StatusCode, body: &Value) -> ApiResponse {
    json_text(status, body.to_string())
}

/// All that is wrong with a call's body.
pub(super) fn faults_response(status: StatusCode, faults: &Faults) -> ApiResponse {
    json_value(status, &json!({"faults": faults.lines()}))
}

/// No quorum has answered: the call may have taken effect or not.
pub(super) fn no_quorum_response() -> ApiResponse {
    json_value(StatusCode::SERVICE_UNAVAILABLE, &json!({"faults": [NoQuorum.to_string()]}))
}
