//! The times of the routes in force, and those that they replaced while requests ran under them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::configuration::{Configuration, RouteKey};
use super::time_history::TimeHistory;

/// The times of all routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteTimes(BTreeMap<RouteKey, TimeHistory>);

impl RouteTimes {
    /// Puts the times of a configuration into force. A route that it does not have has no time from
    /// now on.
    pub fn replace(&mut self, configuration: &Configuration, now: Instant) {
        let mut times = BTreeMap::new();
        for (host, routes) in &configuration.routes {
            for route in routes {
                let key = RouteKey {
                    host: host.clone(),
                    prefix: route.prefix.clone(),
                };
                times.insert(key, route.timeout);
            }
        }
        for (key, history) in &mut self.0 {
            history.replace(times.remove(key).unwrap_or_default(), now);
            history.forget_over(now);
        }
        self.0.retain(|_, history| !history.is_empty());
        let added = times.into_iter();
        self.0
            .extend(added.map(|(key, time)| (key, TimeHistory::new(time))));
    }

    /// The longest time that the route had at any moment from `since` on; zero where it had none.
    pub fn longest_since(&self, key: &RouteKey, since: Instant) -> Duration {
        let history = self.0.get(key);
        history.map_or(Duration::ZERO, |history| history.longest_since(since))
    }
}
