//! How long the requests of each route lately took, from the last byte of the request to the last
//! one of the upstream's response.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::RouteId;

/// Requests of a route that are remembered.
const KEPT: usize = 16;
/// Least number of them that tells what requests of the route take.
const ENOUGH: usize = 4;

/// Times of the last answers of each route.
#[derive(Debug, Default)]
pub struct AnswerTimes(BTreeMap<RouteId, VecDeque<Duration>>);

/// What the last answers of a route took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRange {
    /// The shortest time.
    pub shortest: Duration,
    /// The longest time.
    pub longest: Duration,
}

impl AnswerTimes {
    /// Records that a request of this route was answered to its end.
    pub fn record(&mut self, route: &RouteId, taken: Duration) {
        let times = self.0.entry(route.clone()).or_default();
        if times.len() == KEPT {
            times.pop_front();
        }
        times.push_back(taken);
    }

    /// What the last answers took; `None` where there were few.
    pub fn range(&self, route: &RouteId) -> Option<AnswerRange> {
        let times = self.0.get(route).filter(|times| times.len() >= ENOUGH)?;
        Some(AnswerRange {
            shortest: times.iter().min().copied()?,
            longest: times.iter().max().copied()?,
        })
    }

    /// Forgets the routes that `keeps` does not name.
    pub fn retain<F>(&mut self, keeps: F)
    where
        F: Fn(&RouteId) -> bool,
    {
        self.0.retain(|route, _| keeps(route));
    }
}
