//! The data centres that the operator has closed, whose upstreams get nothing new.
//!
//! They are read from the platform's store, or handed on by the VM that reads it for this one. The
//! store may come back from an older copy that lacks a closure; then the closure stays until the
//! operator has had the time to write it again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use slog::info;

use super::state::Gateway;
use crate::ids::{DataCentre, Version};

/// Time for which closures are kept that the store lacks after its return from an older copy.
const REWRITE_TIME: Duration = Duration::from_secs(2);

/// An object in the store that closes the data centre of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CentreClosure;

/// The closed data centres, as far as this VM knows.
#[derive(Debug, Default)]
pub struct ClosedCentres {
    /// The closed data centres; for those that an older copy of the store lacks, until when.
    closed: BTreeMap<DataCentre, Option<Instant>>,
    /// Version of the store that they were read at.
    version: Option<Version>,
    /// When the store last came back from an older copy.
    store_returned: Option<Instant>,
}

impl ClosedCentres {
    /// Replaces the closures by a complete list at `version`, unless a newer one is known.
    pub fn on_list(&mut self, listed: BTreeSet<DataCentre>, version: Version, now: Instant) {
        if self.version > Some(version) {
            return;
        }
        self.version = Some(version);
        let rewritten = self.store_returned.map(|at| at + REWRITE_TIME);
        let kept = rewritten.filter(|at| now < *at);
        self.closed.retain(|_, open_at| {
            *open_at = open_at.or(kept);
            open_at.is_some()
        });
        self.closed
            .extend(listed.into_iter().map(|centre| (centre, None)));
    }

    /// Applies the change of one closure at `version`, unless a newer version is known.
    pub fn on_change(&mut self, centre: DataCentre, closed: bool, version: Version) {
        if self.version > Some(version) {
            return;
        }
        if closed {
            self.closed.insert(centre, None);
        } else {
            self.closed.remove(&centre);
        }
    }

    /// Records that all changes up to `version` are applied.
    pub fn on_version(&mut self, version: Version) {
        self.version = self.version.max(Some(version));
    }

    /// Records that the store has come back from an older copy; the next list is of that copy.
    pub fn on_store_return(&mut self, now: Instant) {
        self.store_returned = Some(now);
    }

    /// Version of the store that the closures were read at; `None` before the first read.
    pub fn version(&self) -> Option<Version> {
        self.version
    }

    /// The closed data centres; drops what has expired.
    pub fn current(&mut self, now: Instant) -> BTreeSet<DataCentre> {
        self.closed
            .retain(|_, open_at| open_at.is_none_or(|at| now < at));
        self.closed.keys().cloned().collect()
    }
}

impl Gateway {
    /// Changes what is known of closed data centres, and publishes the upstreams in use if that
    /// closes or opens any.
    pub fn update_closures<F>(&self, change: F)
    where
        F: FnOnce(&mut ClosedCentres, Instant),
    {
        let now = self.clock.now();
        let mut closures = self.closures();
        change(&mut closures, now);
        let closed = closures.current(now);
        let before = self.read_fleet(|fleet| fleet.closed().clone());
        if closed == before {
            return;
        }
        for centre in closed.difference(&before) {
            info!(self.log, "centre_closed"; "centre" => %centre);
        }
        for centre in before.difference(&closed) {
            info!(self.log, "centre_opened"; "centre" => %centre);
            self.on_centre_reopened(centre);
        }
        self.gauges.set_closed(closed.len());
        self.update_fleet(|fleet, _| fleet.set_closed(closed));
        drop(closures);
        self.orders_due.notify_one();
    }
}
