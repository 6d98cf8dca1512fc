//! Which statuses end a response (RFC 9110, section 15).

use http::StatusCode;

/// Whether a status ends a response. Informational ones announce another head, but for 101, which
/// answers a request for another protocol and is never asked for; those above 599 are invalid.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
