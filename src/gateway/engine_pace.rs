//! The pace of an engine, as the streams of this VM and its own reports of load show it.
//!
//! An engine that is busy is late with a response and sound all the same. What it does for other
//! requests tells whether it works, and whether a silent request has to wait for its turn.

use std::time::{Duration, Instant};

use super::platform_api::EngineLoad;

/// How long a report of load counts.
const LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// An engine that wrote no event for so long doesn't work for the moment.
const WORK_TIME: Duration = Duration::from_secs(1);
/// Length of a period; the longest silence is that of the present and the last one.
const PERIOD: Duration = Duration::from_secs(5);

/// What is known of a request from which nothing comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing shows that its engine works.
    Stalled,
    /// Its engine reports that it is full, and may have it waiting.
    Queued,
    /// Its engine writes for other requests, and has begun with none that was sent later.
    InTurn,
    /// Its engine has free places and writes for other requests: some that were sent later, or it
    /// had begun with this one.
    Overtaken,
}

/// A request from which nothing comes.
#[derive(Clone, Copy, Debug)]
pub struct Silent {
    /// When it was sent to the engine.
    pub sent: Instant,
    /// Whether an event of it has come.
    pub begun: bool,
    /// Since when nothing has come.
    pub since: Instant,
}

/// The pace of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct EnginePace {
    /// When an event of any stream last came.
    last_event: Option<Instant>,
    /// When the newest request was sent that has an event.
    newest_begun: Option<Instant>,
    /// Load that the engine reported last, and when.
    load: Option<(EngineLoad, Instant)>,
    /// Start of the present period.
    period: Option<Instant>,
    /// Longest silence before an event in the present period and in the last one.
    longest: [Duration; 2],
}

impl EnginePace {
    /// Records an event that came after `silence`, of a request that was sent at `sent`.
    pub fn on_event(&mut self, sent: Instant, silence: Duration, now: Instant) {
        self.last_event = self.last_event.max(Some(now));
        self.newest_begun = self.newest_begun.max(Some(sent));
        self.start_period(now);
        self.longest[0] = self.longest[0].max(silence);
    }

    /// Records the load that the engine reports.
    pub fn on_load(&mut self, load: EngineLoad, now: Instant) {
        self.load = Some((load, now));
    }

    /// The standing of a silent request.
    pub fn standing(&self, silent: Silent, now: Instant) -> Standing {
        let works = self
            .last_event
            .is_some_and(|at| at > silent.since && now.saturating_duration_since(at) < WORK_TIME);
        let later = self.newest_begun.is_some_and(|sent| sent > silent.sent);
        if works && !later && !silent.begun {
            return Standing::InTurn;
        }
        if self.is_full(now) {
            return Standing::Queued;
        }
        if works {
            return Standing::Overtaken;
        }
        Standing::Stalled
    }

    /// Longest silence that lately ended with an event.
    pub fn longest_silence(&mut self, now: Instant) -> Duration {
        self.start_period(now);
        self.longest[0].max(self.longest[1])
    }

    fn is_full(&self, now: Instant) -> bool {
        let load = self.load.as_ref();
        load.is_some_and(|(load, at)| {
            now.saturating_duration_since(*at) < LOAD_LIFETIME && !load.has_free_slot()
        })
    }

    fn start_period(&mut self, now: Instant) {
        let age = now.saturating_duration_since(*self.period.get_or_insert(now));
        if age < PERIOD {
            return;
        }
        let last = if age < PERIOD * 2 {
            self.longest[0]
        } else {
            Duration::ZERO
        };
        self.longest = [Duration::ZERO, last];
        self.period = Some(now);
    }
}
