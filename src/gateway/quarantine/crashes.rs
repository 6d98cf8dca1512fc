//! The crashes of engines, and the parts and whole requests that are suspected of them.
//!
//! Of the parts, the cause is mostly in a response without an event. Others are suspected only
//! while no such response is left that could be it: first those whose response had not begun, as
//! their requests may have been waiting. Where all parts of responses without an event were sound
//! before, new ones of waiting requests are suspected beside them. Of the requests, each that ran is
//! suspected. An engine that broke off responses may also be alive; then it had not crashed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::ids::{PartHash, RequestDigest};

use super::soundness::SoundInputs;
use super::suspect::Suspect;
use super::suspected_parts::SuspectedParts;
use crate::gateway::upstream::UpstreamInstance;

/// Largest number of crashes that are remembered; the oldest are forgotten first.
const MAX_CRASHES: usize = 128;
/// Time in which all VMs have reported what they saw of a crash, if no datagram is lost.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// The same, if one is lost.
const LOST_REPORT_TIME: Duration = Duration::from_secs(2);
/// Largest number of requests that are suspected of one crash. Callers could otherwise raise it at
/// will.
const MAX_REQUESTS: usize = 128;
/// How long a crash is remembered that does not count.
const EXPLAINED_LIFETIME: Duration = Duration::from_mins(10);
/// How long a crash is remembered that counts; a request that comes again rarely crashes as many
/// engines in the end.
const LIFETIME: Duration = Duration::from_hours(24);
/// An engine that answers a request sent within this time after it broke off responses has not
/// crashed; later, another run of it may answer.
const ANSWER_TIME: Duration = Duration::from_millis(1500);
/// An engine of which another run is registered within this time after it broke off responses has
/// crashed, whatever answered in between.
const RESTART_TIME: Duration = Duration::from_secs(10);
/// A request sent to an engine within this time after it crashed did not reach a run of it, unless
/// it was sent within [`SEEN_SLACK`] of the crash.
const DOWN_TIME: Duration = Duration::from_millis(1500);
/// Times in reports differ by the time that the reports took.
const SEEN_SLACK: Duration = Duration::from_millis(50);

/// In place of parts that are not suspected.
static NO_PARTS: BTreeSet<PartHash> = BTreeSet::new();

/// How far an engine had come with a response when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The response had not begun; the request may have been waiting.
    NoHead,
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
    /// Parts, by how far the responses on them had come.
    parts: SuspectedParts,
    /// Whole requests, and when a copy of each was last sent to the engine.
    requests: BTreeMap<RequestDigest, Instant>,
    /// Whether a suspect that is held back explains it; it is held against no other suspect.
    explained: bool,
    /// Whether the engine seems to have answered since, so that it was none.
    survived: bool,
}

impl Crash {
    fn open(at: Instant) -> Self {
        Self {
            at,
            parts: SuspectedParts::default(),
            requests: BTreeMap::new(),
            explained: false,
            survived: false,
        }
    }

    /// Whether a request that was sent at `sent` met no run of the engine, as that had crashed.
    fn was_down(&self, sent: Instant) -> bool {
        !self.survived && (self.at + SEEN_SLACK..self.at + DOWN_TIME).contains(&sent)
    }

    /// Whether it is held against its suspects.
    fn counts(&self) -> bool {
        !self.explained && !self.survived
    }

    /// What may be the cause. Empty while the reports of other VMs may be on their way.
    pub(super) fn suspects(
        &self,
        sound: &SoundInputs,
        now: Instant,
    ) -> impl Iterator<Item = Suspect> {
        let [first, more] = self.suspected_parts(sound, now);
        let parts = first.iter().chain(more.difference(first));
        let age = now.saturating_duration_since(self.at);
        let requests = self.requests.keys().filter(move |_| age >= REPORT_TIME);
        let parts = parts.copied().map(Suspect::Part);
        parts.chain(requests.copied().map(Suspect::Request))
    }

    /// The parts that may be the cause: those of responses without an event, if there are any. While
    /// all of them were sound before, a part that never was is the likelier cause where a response had
    /// not begun, and is suspected with them.
    fn suspected_parts(&self, sound: &SoundInputs, now: Instant) -> [&BTreeSet<PartHash>; 2] {
        let parts = &self.parts;
        let age = now.saturating_duration_since(self.at);
        let has_new = |parts| SuspectedParts::has_new(parts, sound);
        if age >= REPORT_TIME && has_new(&parts.unwritten) {
            return [&parts.unwritten, &NO_PARTS];
        }
        if age < LOST_REPORT_TIME {
            return [&NO_PARTS, &NO_PARTS];
        }
        match (parts.unwritten.is_empty(), parts.unanswered.is_empty()) {
            (true, true) => [&parts.written, &NO_PARTS],
            (true, false) => [&parts.unanswered, &NO_PARTS],
            (false, _) if has_new(&parts.unanswered) => [&parts.unwritten, &parts.unanswered],
            (false, _) => [&parts.unwritten, &NO_PARTS],
        }
    }

    /// Whether a response on a part had begun.
    pub(super) fn had_begun(&self, part: PartHash) -> bool {
        self.parts.unwritten.contains(&part) || self.parts.written.contains(&part)
    }

    /// When a copy of a request was last sent to the engine.
    pub(super) fn sent(&self, request: RequestDigest) -> Option<Instant> {
        self.requests.get(&request).copied()
    }

    fn add_request(&mut self, request: RequestDigest, sent: Instant) {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            return;
        }
        let last = self.requests.entry(request).or_insert(sent);
        *last = sent.max(*last);
    }

    fn clear(&mut self, suspect: Suspect) {
        match suspect {
            Suspect::Part(part) => self.parts.remove(part),
            Suspect::Request(request) => {
                self.requests.remove(&request);
            }
        }
    }

    fn explain(&mut self) {
        self.explained = true;
        self.parts = SuspectedParts::default();
        self.requests.clear();
    }

    /// Whether something is among the suspects, or would be if no better one were left.
    pub(super) fn names(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Part(part) => self.parts.contains(part),
            Suspect::Request(request) => self.requests.contains_key(&request),
        }
    }
}

/// The crashes of the last day.
#[derive(Debug, Default)]
pub struct CrashLog(BTreeMap<UpstreamInstance, Crash>);

impl CrashLog {
    /// Adds parts that are suspected of a crash at `at`; reports of several VMs on one crash are
    /// joined.
    pub fn add_parts(
        &mut self,
        engine: UpstreamInstance,
        parts: &[PartHash],
        written: Written,
        at: Instant,
        sound: &SoundInputs,
    ) {
        let crash = self.entry(engine, at);
        if !crash.explained {
            crash.parts.add(parts, written, sound);
        }
    }

    /// Adds a request that was sent at `sent` and is suspected of a crash at `at`.
    pub fn add_request(
        &mut self,
        engine: UpstreamInstance,
        request: RequestDigest,
        sent: Instant,
        at: Instant,
    ) {
        let crash = self.entry(engine, at);
        if !crash.explained && !crash.was_down(sent) {
            crash.add_request(request, sent);
        }
    }

    /// Whether a request that was sent to an engine at `sent` met no run of it.
    pub fn was_down(&self, engine: &UpstreamInstance, sent: Instant) -> bool {
        self.0.get(engine).is_some_and(|crash| crash.was_down(sent))
    }

    /// Records a crash that something held back explains.
    pub fn explain(&mut self, engine: UpstreamInstance, at: Instant) {
        self.entry(engine, at).explain();
    }

    /// Records that an engine answers a request sent at `sent`. Returns whether that shows that it
    /// had not crashed.
    pub fn on_answer(&mut self, engine: &UpstreamInstance, sent: Instant) -> bool {
        let crash = self.0.get_mut(engine).filter(|crash| crash.counts());
        let Some(crash) = crash else {
            return false;
        };
        crash.survived = (crash.at..crash.at + ANSWER_TIME).contains(&sent);
        crash.survived
    }

    /// Records that an engine which broke off responses has answered another VM.
    pub fn on_survivor(&mut self, engine: UpstreamInstance, now: Instant) {
        self.entry(engine, now).survived = true;
    }

    /// Has those crashes count of which `is_replaced` says that another run of the engine is
    /// registered, also where the engine seems to have answered.
    pub fn on_replaced<F>(&mut self, is_replaced: F, now: Instant)
    where
        F: Fn(&UpstreamInstance) -> bool,
    {
        for (engine, crash) in &mut self.0 {
            let recent = now.saturating_duration_since(crash.at) < RESTART_TIME;
            if crash.survived && recent && is_replaced(engine) {
                crash.survived = false;
            }
        }
    }

    /// Takes `causes` as the cause of every crash that they are suspected of, and returns the time
    /// of the last one.
    pub fn explain_by(&mut self, causes: &[Suspect]) -> Option<Instant> {
        let mut last = None;
        for crash in self.0.values_mut().filter(|crash| crash.counts()) {
            if causes.iter().any(|suspect| crash.names(*suspect)) {
                crash.explain();
                last = last.max(Some(crash.at));
            }
        }
        last
    }

    /// Clears what was sound at `at` of the crashes before.
    pub fn clear(&mut self, suspect: Suspect, at: Instant) {
        for crash in self.0.values_mut() {
            if crash.at <= at {
                crash.clear(suspect);
            }
        }
    }

    /// Number of crashes that something is suspected of.
    pub fn count(&self, suspect: Suspect) -> usize {
        let crashes = self.0.values();
        let counted = crashes.filter(|crash| crash.counts() && crash.names(suspect));
        counted.count()
    }

    /// Forgets old crashes.
    pub fn expire(&mut self, now: Instant) {
        self.0.retain(|_, crash| {
            let lifetime = if crash.counts() {
                LIFETIME
            } else {
                EXPLAINED_LIFETIME
            };
            now.saturating_duration_since(crash.at) < lifetime
        });
    }

    /// Crashes that nothing explains yet, oldest first.
    pub(super) fn unexplained(&self) -> Vec<&Crash> {
        let crashes = self.0.values();
        let mut unexplained: Vec<_> = crashes.filter(|crash| crash.counts()).collect();
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
        let crashes = self.0.iter();
        let oldest = crashes.min_by_key(|(_, crash)| (crash.counts(), crash.at));
        if let Some(engine) = oldest.map(|(engine, _)| engine.clone()) {
            self.0.remove(&engine);
        }
    }
}
