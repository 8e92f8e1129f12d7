//! Responses to control calls.

use axum::body::Body;
use axum::http::{HeaderValue, Response, StatusCode, header};
use serde_json::{Value, json};

use crate::agent::NoQuorum;
use crate::document::Faults;

/// Value of the `Retry-After` header for calls that found no quorum.
const RETRY_AFTER_SECONDS: &str = "0.2";

/// Response to a control call.
pub(super) type ApiResponse = Response<Body>;

/// Creates a response with a body that is already JSON text.
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

/// Creates a response with a JSON value as its body.
pub(super) fn json_value(status: StatusCode, body: &Value) -> ApiResponse {
    json_text(status, body.to_string())
}

/// Creates a response that lists all faults of a request body.
pub(super) fn faults_response(status: StatusCode, faults: &Faults) -> ApiResponse {
    json_value(status, &json!({"faults": faults.lines()}))
}

/// Creates the response to a call for which no quorum answered in time. The call may have taken effect.
pub(super) fn no_quorum_response() -> ApiResponse {
    json_value(StatusCode::SERVICE_UNAVAILABLE, &json!({"faults": [NoQuorum.to_string()]}))
}
