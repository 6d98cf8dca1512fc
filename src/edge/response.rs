//! Responses that the gateway itself creates.

use std::time::Duration;

use bytes::Bytes;
use compact_str::ToCompactString;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use volo_http::body::Body;
use volo_http::response::Response;

use crate::ids::RequestId;
use crate::outcome::Refusal;
use crate::schema::caller::{ErrorBody, ErrorResponse};

/// Header with the id of a request, in requests and responses.
pub const REQUEST_ID: &str = "x-request-id";

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Builds the JSON body that tells a caller why its request was refused.
pub fn error_body(refusal: &Refusal, request: Option<&RequestId>) -> ErrorResponse {
    ErrorResponse {
        error: ErrorBody {
            code: refusal.reason.code(),
            message: refusal.reason.to_compact_string(),
            ran: refusal.ran,
            retry: refusal.retry.map(|wait| wait.as_millis() as u64),
            request: request.cloned(),
        },
    }
}

/// Builds the response to a refused request, with `Retry-After` if the refusal has a retry time.
pub fn refusal_response(refusal: &Refusal, request: Option<&RequestId>) -> Response {
    let mut response = json_response(status_code(refusal), &error_body(refusal, request));
    if let Some(wait) = refusal.retry {
        let seconds = ceil_seconds(wait);
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    set_request_id(&mut response, request);
    response
}

/// Builds a response with a JSON body.
pub fn json_response<T>(status: StatusCode, value: &T) -> Response
where
    T: Serialize,
{
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

/// Adds the id of the request to a response.
pub fn set_request_id(response: &mut Response, request: Option<&RequestId>) {
    let value = request.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
    if let Some(value) = value {
        response.headers_mut().insert(REQUEST_ID, value);
    }
}

fn status_code(refusal: &Refusal) -> StatusCode {
    StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Rounds up to seconds, at least 1: `Retry-After` has no fractions, and 0 would mean at once.
fn ceil_seconds(wait: Duration) -> u64 {
    wait.as_millis().div_ceil(1000).max(1) as u64
}
