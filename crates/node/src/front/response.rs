//! Responses to clients.

use std::time::Duration;

use axum::http::{HeaderName, HeaderValue, Response, StatusCode, header};
use bytes::Bytes;
use http_body_util::Full;

use crate::data_plane::Reply;
use crate::pool::remove_hop_by_hop_headers;

const PART_SEALS: HeaderName = HeaderName::from_static("part-seals");
const MISSING_PARTS: HeaderName = HeaderName::from_static("missing-parts");

/// Response to a client.
pub(super) type HttpResponse = Response<Full<Bytes>>;

pub(super) fn text_response(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Returns the 503 response that promises that the request has not run and never will.
pub(super) fn rejection_response(retry_after: Option<Duration>) -> HttpResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "not run; come back\n");
    if let Some(retry_after) = retry_after {
        let seconds = format!("{:.3}", retry_after.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

pub(super) fn encode_reply(reply: Reply) -> HttpResponse {
    match reply {
        Reply::Relayed(relayed) => {
            let mut response = Response::new(Full::new(relayed.body));
            *response.status_mut() = relayed.status;
            *response.headers_mut() = relayed.headers;
            remove_hop_by_hop_headers(response.headers_mut());
            response
        }
        Reply::Gathered { seals, missing, body } => {
            let mut response = Response::new(Full::new(body));
            for seal in seals {
                response.headers_mut().append(PART_SEALS, seal);
            }
            response.headers_mut().insert(MISSING_PARTS, HeaderValue::from(missing as u64));
            response
        }
        Reply::Rejected(retry_after) => rejection_response(retry_after),
        Reply::Aborted => text_response(StatusCode::BAD_GATEWAY, "given up; it may have run\n"),
    }
}
