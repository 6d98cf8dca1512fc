//! How late this process runs: times at which it had no processor.
//!
//! Nothing that is read from an upstream meanwhile shows how long the upstream took, so such times
//! are not held against it. A task ticks at a steady interval; where the next tick is late, the
//! process stood still.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use prometheus::{IntCounter, IntGauge};
use slog::warn;

use crate::metrics::Metrics;

use super::state::Gateway;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Lateness of a tick that is usual.
const USUAL_LATENESS: Duration = Duration::from_millis(50);
/// Least lateness that is logged.
const LOGGED_LATENESS: Duration = Duration::from_millis(500);
/// Time for which a pause is remembered; no silence is measured over a longer one.
const PAUSE_LIFETIME: Duration = Duration::from_mins(1);
/// Time back from now in which pauses tell how late the process may run now.
const RECENT: Duration = Duration::from_secs(5);
/// Most pauses that are remembered.
const MAX_PAUSES: usize = 256;

/// A time in which the process stood still.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pause {
    from: Instant,
    to: Instant,
}

impl Pause {
    /// The part of the pause after `since`.
    fn after(&self, since: Instant) -> Duration {
        self.to.saturating_duration_since(self.from.max(since))
    }
}

/// Times in which the process stood still.
#[derive(Clone, Debug, Default)]
pub struct Lateness {
    /// Last tick; absent before the first one.
    ticked: Option<Instant>,
    /// The last pauses, oldest first.
    pauses: VecDeque<Pause>,
}

impl Lateness {
    /// Records a tick; returns how late it was.
    pub fn on_tick(&mut self, now: Instant) -> Duration {
        let late = self.overdue(now);
        if let Some(pause) = late {
            self.pauses.push_back(pause);
        }
        let is_old = |pause: &Pause| now.saturating_duration_since(pause.to) > PAUSE_LIFETIME;
        while self.pauses.len() > MAX_PAUSES || self.pauses.front().is_some_and(is_old) {
            self.pauses.pop_front();
        }
        self.ticked = Some(now);
        late.map_or(Duration::ZERO, |pause| pause.after(pause.from))
    }

    /// For how long the process has stood still between `since` and `now`.
    pub fn stood_still(&self, since: Instant, now: Instant) -> Duration {
        // The process may have been woken for something else than its tick.
        let pauses = self.pauses.iter().copied().chain(self.overdue(now));
        pauses.map(|pause| pause.after(since)).sum()
    }

    /// `now` as it would be if the process had not stood still after `since`.
    pub fn present(&self, since: Instant, now: Instant) -> Instant {
        let late = self.stood_still(since, now);
        now.checked_sub(late).unwrap_or(since).max(since)
    }

    /// The longest pause of the last seconds.
    pub fn longest_pause(&self, now: Instant) -> Duration {
        let recent = |pause: &Pause| now.saturating_duration_since(pause.to) <= RECENT;
        let pauses = self.pauses.iter().copied().chain(self.overdue(now));
        let lengths = pauses.filter(recent).map(|pause| pause.after(pause.from));
        lengths.max().unwrap_or_default()
    }

    /// The pause that the next tick ends, if it came now.
    fn overdue(&self, now: Instant) -> Option<Pause> {
        let due = self.ticked? + TICK;
        let late = now.saturating_duration_since(due) > USUAL_LATENESS;
        late.then_some(Pause { from: due, to: now })
    }
}

/// Metrics of how late the process runs.
#[derive(Clone, Debug)]
pub struct LatenessMetrics {
    count: IntCounter,
    time: IntCounter,
    last: IntGauge,
}

impl LatenessMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// If a metric of the same name is registered already.
    pub fn open(metrics: &Metrics) -> Result<Self, prometheus::Error> {
        let count = IntCounter::new(
            "basilgw_pauses_total",
            "Times that the process stood still for longer than usual.",
        )?;
        let time = IntCounter::new(
            "basilgw_paused_milliseconds_total",
            "Time for which the process stood still.",
        )?;
        metrics.registry().register(Box::new(count.clone()))?;
        metrics.registry().register(Box::new(time.clone()))?;
        let last = metrics.gauge(
            "basilgw_last_pause_milliseconds",
            "Length of the last time that the process stood still.",
        )?;
        Ok(Self { count, time, last })
    }

    fn on_pause(&self, length: Duration) {
        let milliseconds = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
        self.count.inc();
        self.time.inc_by(milliseconds);
        self.last
            .set(i64::try_from(milliseconds).unwrap_or(i64::MAX));
    }
}

/// Starts the task that ticks.
pub fn spawn(gateway: &Arc<Gateway>) {
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        loop {
            tokio::time::sleep(TICK).await;
            let now = gateway.clock.now();
            let late = gateway.lateness().on_tick(now);
            if late.is_zero() {
                continue;
            }
            gateway.lateness_metrics.on_pause(late);
            if late >= LOGGED_LATENESS {
                warn!(gateway.log, "process_stood_still"; "late_ms" => late.as_millis() as u64);
            }
        }
    });
}
