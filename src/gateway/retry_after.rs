//! The `Retry-After` of an upstream: how long it wants no further requests from this VM.
//!
//! The value is a number of seconds, which may have a fraction, or an HTTP date. Any other value,
//! and a negative number, is an error, and the response then counts as one without the header.

use std::str::FromStr;
use std::time::{Duration, SystemTime};

use thiserror::Error;

/// Upper bound on the delay, so that a wrong value does not keep an upstream out of use for good.
const MAX_DELAY: Duration = Duration::from_mins(10);

/// A value of the `Retry-After` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// Delay from the response on.
    Delay(Duration),
    /// Date before which no request is wanted.
    Date(SystemTime),
}

/// Error for a value that is neither a number of seconds nor a date.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("neither a number of seconds nor a date")]
pub struct RetryAfterError;

impl RetryAfter {
    /// Delay from a response that arrived at `wall`, at most ten minutes.
    pub fn delay(self, wall: SystemTime) -> Duration {
        let delay = match self {
            Self::Delay(delay) => delay,
            Self::Date(date) => date.duration_since(wall).unwrap_or(Duration::ZERO),
        };
        delay.min(MAX_DELAY)
    }
}

impl FromStr for RetryAfter {
    type Err = RetryAfterError;

    fn from_str(text: &str) -> Result<Self, RetryAfterError> {
        let text = text.trim();
        if let Ok(seconds) = text.parse::<f64>() {
            if seconds.is_nan() || seconds < 0.0 {
                return Err(RetryAfterError);
            }
            // Too large for a duration, and so above the bound as well.
            let delay = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DELAY);
            return Ok(Self::Delay(delay));
        }
        let date = httpdate::parse_http_date(text).map_err(|_not_a_date| RetryAfterError)?;
        Ok(Self::Date(date))
    }
}
