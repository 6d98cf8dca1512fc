//! Responses that the gateway itself makes, above all refusals.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use http::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::outcome::{ErrorCode, Ran, Reason, Refusal};

use super::relay::ResponseAborted;

/// Body of a response to a caller.
pub type CallerBody = UnsyncBoxBody<Bytes, ResponseAborted>;

/// Upper bound on the `Retry-After` sent to callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorCode,
    message: &'a str,
    ran: Ran,
}

/// A response body whose bytes are all known.
pub fn complete_body(bytes: Bytes) -> CallerBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// The HTTP status of a refusal.
///
/// A status that tells the caller that the request did not run, such as 503, is used only where
/// that is certain. Otherwise the status is 502 or 504.
pub fn refusal_status(refusal: &Refusal) -> StatusCode {
    let status = match (refusal.ran, refusal.reason) {
        (Ran::No, Reason::Deadline | Reason::UpstreamFailed | Reason::UpstreamSilent) => 503,
        (Ran::No, reason) => reason.status(),
        (_, Reason::Deadline | Reason::UpstreamSilent) => 504,
        (_, _) => 502,
    };
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

/// The JSON response to a request that was refused or failed.
pub fn refusal_response(refusal: &Refusal) -> Response<CallerBody> {
    let message = CompactString::from(refusal.to_string());
    let error = ErrorBody {
        error: refusal.reason.code(),
        message: &message,
        ran: refusal.ran,
    };
    // Strings and plain enums always serialize.
    let bytes = serde_json::to_vec(&error).unwrap_or_default();
    let mut response = Response::new(complete_body(Bytes::from(bytes)));
    *response.status_mut() = refusal_status(refusal);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = refusal.retry {
        let seconds = wait.min(MAX_RETRY_AFTER).as_secs_f64();
        let text = format_compact!("{seconds:.3}");
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    if refusal.reason == Reason::Malformed {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
