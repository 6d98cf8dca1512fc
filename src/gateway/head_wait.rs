//! How long a request waits for the head of its response before another upstream is tried.
//!
//! A silent upstream may be busy. It is left, or another one is tried beside it (`hedge`),
//! only once another one takes the request and the retry budget has paid for that; otherwise the
//! request waits on, as long as its caller does. Time in which this process stood still is not held
//! against the upstream ([`super::lateness`]).

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::ids::UpstreamId;

use super::attempt_end::AttemptWatch;
use super::exchange::ResponseError;
use super::relay::AdmittedRequest;
use super::upstream::Upstream;

/// A request that may be sent to another upstream waits for the start of a response for this many
/// times the latency objective of its route.
const SILENCE_OBJECTIVES: u32 = 3;
/// Lower bound on that wait.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// Interval of the checks whether an upstream that is silent for longer can be left.
pub const LOOK_AGAIN: Duration = Duration::from_millis(300);

/// The time to wait for a head after `waited`, on a route with this objective, where the deadline
/// is `left` away; `None` if the upstream is given up. `leave` says whether it can be left for another
/// one, and is asked only after the usual wait.
pub fn next_wait<F>(goal: Duration, waited: Duration, left: Duration, leave: F) -> Option<Duration>
where
    F: FnOnce() -> bool,
{
    if left.is_zero() {
        return None;
    }
    let usual = (goal * SILENCE_OBJECTIVES).max(MIN_SILENCE);
    let usual_left = usual.saturating_sub(waited);
    if !usual_left.is_zero() {
        return Some(usual_left.min(left));
    }
    if leave() {
        return None;
    }
    Some(LOOK_AGAIN.min(left))
}

/// The wait of one request at one upstream.
#[derive(Debug)]
pub struct HeadWait<'a> {
    /// The request.
    pub request: &'a AdmittedRequest,
    /// The upstream.
    pub upstream: Upstream,
    /// Upstreams that it is not sent to again, this one included.
    pub tried: BTreeSet<UpstreamId>,
    /// When it was sent.
    pub sent: Instant,
    /// Counts the end of the attempt.
    pub watch: AttemptWatch,
}

impl HeadWait<'_> {
    /// Time to wait until the next decision. `leave` says whether the upstream can be left for
    /// another one, and is asked only after the usual wait.
    ///
    /// # Errors
    ///
    /// Why the upstream is given up now.
    pub fn decide<F>(&self, leave: F) -> Result<Duration, ResponseError>
    where
        F: FnOnce() -> bool,
    {
        let left = self.request.time_left();
        if left.is_zero() {
            return Err(ResponseError::Deadline);
        }
        let gateway = &self.request.gateway;
        let now = gateway.clock.now();
        let present = gateway.lateness().present(self.sent, now);
        let waited = present.saturating_duration_since(self.sent);
        let wait = next_wait(self.request.route.goal, waited, left, leave);
        wait.ok_or(ResponseError::Silent)
    }
}
