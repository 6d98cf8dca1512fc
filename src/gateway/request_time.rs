//! The time that a request has, which is asked for and not copied: a configuration may lengthen it
//! while the request runs.
//!
//! A request ends by its caller's own budget, and by the longest time that its route had while it ran.
//! So a route time that rises gives it more, and one that falls takes nothing back that its caller
//! and its upstream were promised. A route that is gone keeps its time.

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::clock::Clock;

use super::configuration::{Route, RouteKey};
use super::route_times::RouteTimes;

/// The time of one request.
#[derive(Debug)]
pub struct RequestTime {
    /// When its head arrived.
    pub started: Instant,
    /// Its caller's own budget; absent where it states none.
    pub budget: Option<Duration>,
    /// Its route, as it was in force when the request was admitted.
    pub route: Arc<Route>,
    /// Identifies its route in other configurations.
    pub key: RouteKey,
    /// Times of the routes in force.
    pub times: Arc<ArcSwap<RouteTimes>>,
    /// Source of the present.
    pub clock: Arc<dyn Clock>,
}

/// Time of a request with this budget of its caller, whose route had the time `admitted` when it was
/// admitted, and `longest` as its longest one since.
pub fn whole_time(budget: Option<Duration>, admitted: Duration, longest: Duration) -> Duration {
    let allowed = admitted.max(longest);
    budget.map_or(allowed, |budget| budget.min(allowed))
}

impl RequestTime {
    /// When its response must be complete, as far as is known now; never earlier later on.
    pub fn end(&self) -> Instant {
        let longest = self.times.load().longest_since(&self.key, self.started);
        self.started + whole_time(self.budget, self.route.timeout, longest)
    }

    /// Time until [`Self::end`]; zero after it.
    pub fn left(&self) -> Duration {
        self.end().saturating_duration_since(self.clock.now())
    }

    /// Whether [`Self::end`] has passed.
    pub fn is_over(&self) -> bool {
        self.left().is_zero()
    }

    /// Runs `work` until [`Self::end`], which is read again when the wait is over; `None` if it isn't
    /// done by then.
    pub async fn bound<F>(&self, work: F) -> Option<F::Output>
    where
        F: Future,
    {
        tokio::pin!(work);
        loop {
            if let Ok(done) = tokio::time::timeout(self.left(), work.as_mut()).await {
                return Some(done);
            }
            if self.is_over() {
                return None;
            }
        }
    }
}

/// The time that an upstream was told for a request, at whose end it stops work. That cannot be
/// taken back.
#[derive(Clone, Debug)]
pub struct ToldTime {
    /// The request's own time.
    pub request_time: Arc<RequestTime>,
    /// End of the time that the upstream was told.
    until: Instant,
}

impl ToldTime {
    /// The time of an upstream that is told now that `left` is left, in whole milliseconds.
    pub fn new(request_time: Arc<RequestTime>, left: Duration) -> Self {
        let until = request_time.clock.now() + Duration::from_millis(left.as_millis() as u64);
        Self {
            request_time,
            until,
        }
    }

    /// Whether it is over while the request goes on, whose route's time has risen since.
    pub fn falls_short(&self) -> bool {
        self.request_time.clock.now() >= self.until && !self.request_time.is_over()
    }
}
