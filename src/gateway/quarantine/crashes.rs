//! The crashes of engines and the parts that are suspected of them.
//!
//! The cause is mostly a response without an event. Others are suspected only while no such
//! response is left that could be it. An engine that broke off responses may also be alive; then
//! it had not crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::PartHash;

use crate::gateway::upstream::UpstreamInstance;

/// Largest number of crashes that are remembered; the oldest are forgotten first.
const MAX_CRASHES: usize = 128;
/// Time in which all VMs have reported what they saw of a crash, if no datagram is lost.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// The same, if one is lost.
const LOST_REPORT_TIME: Duration = Duration::from_secs(2);
/// Largest number of suspects of one crash, which callers could otherwise raise at will.
const MAX_SUSPECTS: usize = 128;
/// How long a crash is remembered.
const LIFETIME: Duration = Duration::from_mins(10);
/// An engine that answers a request sent within this time after it broke off responses has not
/// crashed; later, another run of it may answer.
const ANSWER_TIME: Duration = Duration::from_millis(1500);
/// How far an engine had come with a response when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The response had begun, but no event was complete.
    Nothing,
    /// At least one event was complete.
    Events,
}

/// A crash, as far as it was reported.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    /// Time of the first report.
    pub(super) at: Instant,
    /// Parts of responses without an event.
    unwritten: BTreeSet<PartHash>,
    /// Parts of responses with events.
    written: BTreeSet<PartHash>,
    /// Whether a quarantined part explains it, or it was none; it is held against no other part.
    explained: bool,
}

impl Crash {
    fn open(at: Instant) -> Self {
        Self {
            at,
            unwritten: BTreeSet::new(),
            written: BTreeSet::new(),
            explained: false,
        }
    }

    /// The parts that may be the cause: those of responses without an event, if there are any.
    /// `None` while the reports of other VMs may be on their way.
    pub(super) fn suspects(&self, now: Instant) -> Option<&BTreeSet<PartHash>> {
        let age = now.saturating_duration_since(self.at);
        if !self.unwritten.is_empty() {
            return (age >= REPORT_TIME).then_some(&self.unwritten);
        }
        (age >= LOST_REPORT_TIME).then_some(&self.written)
    }

    fn add(&mut self, part: PartHash, written: Written) {
        if self.unwritten.len() + self.written.len() >= MAX_SUSPECTS {
            return;
        }
        match written {
            Written::Nothing => self.unwritten.insert(part),
            Written::Events => self.written.insert(part),
        };
    }

    fn clear(&mut self, part: PartHash) {
        self.unwritten.remove(&part);
        self.written.remove(&part);
    }

    fn explain(&mut self) {
        self.explained = true;
        self.unwritten.clear();
        self.written.clear();
    }

    /// Whether a part is among the suspects, or would be if no better one were left.
    pub(super) fn names(&self, part: PartHash) -> bool {
        self.unwritten.contains(&part) || self.written.contains(&part)
    }
}

/// The crashes of the last minutes.
#[derive(Debug, Default)]
pub struct CrashLog(BTreeMap<UpstreamInstance, Crash>);

impl CrashLog {
    /// Adds suspects of a crash at `at`; reports of several VMs on one crash are joined.
    pub fn add(
        &mut self,
        engine: UpstreamInstance,
        suspects: &[PartHash],
        written: Written,
        at: Instant,
    ) {
        let crash = self.entry(engine, at);
        if crash.explained {
            return;
        }
        for part in suspects {
            crash.add(*part, written);
        }
    }

    /// Records a crash that a quarantined part explains, or that was none.
    pub fn explain(&mut self, engine: UpstreamInstance, at: Instant) {
        self.entry(engine, at).explain();
    }

    /// Records that an engine answers a request sent at `sent`. Returns whether that shows that it
    /// had not crashed.
    pub fn on_answer(&mut self, engine: &UpstreamInstance, sent: Instant) -> bool {
        let crash = self.0.get_mut(engine).filter(|crash| !crash.explained);
        let Some(crash) = crash else {
            return false;
        };
        let survived = (crash.at..crash.at + ANSWER_TIME).contains(&sent);
        if survived {
            crash.explain();
        }
        survived
    }

    /// Takes `parts` as the cause of every crash that they are suspected of, and returns the time
    /// of the last one.
    pub fn explain_by(&mut self, parts: &[PartHash]) -> Option<Instant> {
        let mut last = None;
        for crash in self.0.values_mut() {
            if parts.iter().any(|part| crash.names(*part)) {
                crash.explain();
                last = last.max(Some(crash.at));
            }
        }
        last
    }

    /// Clears a part that was sound at `at` of the crashes before.
    pub fn clear(&mut self, part: PartHash, at: Instant) {
        for crash in self.0.values_mut() {
            if crash.at <= at {
                crash.clear(part);
            }
        }
    }

    /// Whether a part is suspected of a crash.
    pub fn is_suspect(&self, part: PartHash) -> bool {
        self.0.values().any(|crash| crash.names(part))
    }

    /// Forgets old crashes.
    pub fn expire(&mut self, now: Instant) {
        self.0
            .retain(|_, crash| now.saturating_duration_since(crash.at) < LIFETIME);
    }

    /// Crashes that nothing explains yet, oldest first.
    pub(super) fn unexplained(&self) -> Vec<&Crash> {
        let crashes = self.0.values();
        let mut unexplained: Vec<_> = crashes.filter(|crash| !crash.explained).collect();
        unexplained.sort_by_key(|crash| crash.at);
        unexplained
    }

    fn entry(&mut self, engine: UpstreamInstance, at: Instant) -> &mut Crash {
        if !self.0.contains_key(&engine) && self.0.len() >= MAX_CRASHES {
            self.drop_oldest();
        }
        self.0.entry(engine).or_insert_with(|| Crash::open(at))
    }

    fn drop_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(engine) = oldest.map(|(engine, _)| engine.clone()) {
            self.0.remove(&engine);
        }
    }
}
