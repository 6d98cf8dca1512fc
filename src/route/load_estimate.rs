//! Estimates the load of one upstream, as a number of requests.
//!
//! A load report is old when it arrives: it gives the number of requests at some earlier time. This
//! VM knows how many of its own requests were in flight at that time, so the rest of the reported
//! number comes from other VMs. The estimate is that rest plus the requests of this VM that are in
//! flight now.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long the samples of this VM's own requests are kept.
const HISTORY: Duration = Duration::from_secs(10);
const MAX_SAMPLES: usize = 256;
/// Age of a report at which the load from other VMs counts half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Number of requests that this VM had in flight from some time on.
#[derive(Clone, Copy, Debug)]
struct Sample {
    since: Instant,
    in_flight: u32,
}

/// Load estimate for one upstream.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimate {
    /// Requests that this VM has in flight.
    in_flight: u32,
    /// History of `in_flight`, oldest first.
    samples: VecDeque<Sample>,
    /// Requests of other VMs, from the latest report.
    peer_load: u32,
    /// Time that the latest report describes.
    report_time: Option<Instant>,
}

impl LoadEstimate {
    /// Requests that this VM has in flight to the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request that this VM sends.
    pub fn on_dispatch(&mut self, now: Instant) {
        self.in_flight += 1;
        self.record_sample(now);
    }

    /// Counts the end of one of this VM's requests.
    pub fn on_finish(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_sample(now);
    }

    /// Applies a report that the upstream had `total` requests from all VMs at time `at`. A report
    /// older than the latest one is ignored.
    pub fn on_report(&mut self, total: u32, at: Instant) {
        if self.report_time.is_some_and(|latest| at < latest) {
            return;
        }
        self.peer_load = total.saturating_sub(self.in_flight_at(at));
        self.report_time = Some(at);
    }

    /// Discards the load from other VMs after a restart of the upstream. This VM's own requests
    /// stay counted until each has ended.
    pub fn on_restart(&mut self) {
        self.peer_load = 0;
        self.report_time = None;
    }

    /// Estimated number of requests that the upstream has now.
    pub fn estimate(&self, now: Instant) -> f64 {
        let age = self
            .report_time
            .map(|time| now.saturating_duration_since(time));
        let halvings = age.unwrap_or_default().as_secs_f64() / HALF_LIFE.as_secs_f64();
        f64::from(self.in_flight) + f64::from(self.peer_load) * (-halvings).exp2()
    }

    fn in_flight_at(&self, at: Instant) -> u32 {
        let sample = self.samples.iter().rev().find(|sample| sample.since <= at);
        sample.map_or(0, |sample| sample.in_flight)
    }

    fn record_sample(&mut self, now: Instant) {
        self.samples.push_back(Sample {
            since: now,
            in_flight: self.in_flight,
        });
        // One sample older than the history is kept: it gives the number at the start of the
        // history.
        while self.samples.len() > MAX_SAMPLES || self.first_is_superseded(now) {
            self.samples.pop_front();
        }
    }

    /// Whether the second sample is older than the history, so that the first is not needed.
    fn first_is_superseded(&self, now: Instant) -> bool {
        let second = self.samples.get(1);
        second.is_some_and(|sample| now.saturating_duration_since(sample.since) > HISTORY)
    }
}
