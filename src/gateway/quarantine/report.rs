//! What VMs tell each other of crashes, and of parts and requests that are sound or held back.
//!
//! A VM repeats its own observations in its usage reports for some seconds, because datagrams may
//! be lost. It reports what it holds back for some seconds after a change, and then in some of its
//! reports, so that a VM hears of it from a few others, however many there are. Times are sent as
//! ages, so the clocks of the VMs need not agree. Of a request only its digest is sent.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::RequestDigest;
use crate::schema::mesh::{
    BrokenSend, EngineCrash, HeldInput, QuarantineReport, SoundInput, SurvivingEngine,
};

use super::Quarantine;
use super::crashes::Written;
use super::holds::Hold;
use super::soundness::SoundInputs;
use super::suspect::{BrokenRequest, Suspect};
use super::suspected_parts::SuspectedParts;
use crate::gateway::upstream::UpstreamInstance;

/// How long an observation is repeated: four usage reports of a VM among many.
const REPEAT_TIME: Duration = Duration::from_secs(5);
/// Largest number of crashes in a report, which must fit into a datagram.
const MAX_CRASHES: usize = 32;
/// Largest number of sound parts and requests in a report.
const MAX_SOUND: usize = 64;
/// Largest number of suspected requests that are reported of a crash.
const MAX_REQUESTS: usize = 32;

#[derive(Clone, Debug)]
struct OwnCrash {
    at: Instant,
    parts: SuspectedParts,
    /// Requests, and when a copy of each was last sent to the engine.
    requests: BTreeMap<RequestDigest, Instant>,
}

impl OwnCrash {
    fn open(at: Instant) -> Self {
        Self {
            at,
            parts: SuspectedParts::default(),
            requests: BTreeMap::new(),
        }
    }

    fn add_request(&mut self, request: RequestDigest, sent: Instant) {
        if self.requests.len() >= MAX_REQUESTS && !self.requests.contains_key(&request) {
            return;
        }
        let last = self.requests.entry(request).or_insert(sent);
        *last = sent.max(*last);
    }
}

#[derive(Clone, Copy, Debug)]
struct OwnProof {
    at: Instant,
    /// Until when it is reported.
    until: Instant,
}

/// This VM's observations of the last seconds.
#[derive(Debug, Default)]
pub(super) struct Announcements {
    crashes: BTreeMap<UpstreamInstance, OwnCrash>,
    /// Engines that were taken to have crashed but had not, and until when they are reported.
    survivors: BTreeMap<UpstreamInstance, Instant>,
    sound: BTreeMap<Suspect, OwnProof>,
}

impl Announcements {
    /// Adds a request that an engine broke off when it crashed.
    pub(super) fn add_crash(
        &mut self,
        engine: &UpstreamInstance,
        request: &BrokenRequest,
        sound: &SoundInputs,
        now: Instant,
    ) {
        self.expire(now);
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(engine) {
            return;
        }
        let crash = self.crashes.entry(engine.clone());
        let crash = crash.or_insert_with(|| OwnCrash::open(now));
        crash.add_request(request.digest, request.sent);
        crash.parts.add(&request.parts, request.written, sound);
    }

    /// Adds an engine that seems not to have crashed. What it broke off stays reported, as it
    /// counts if another run of it turns out to have answered.
    pub(super) fn add_survivor(&mut self, engine: &UpstreamInstance, now: Instant) {
        self.expire(now);
        if self.survivors.len() < MAX_CRASHES {
            self.survivors.insert(engine.clone(), now + REPEAT_TIME);
        }
    }

    /// Adds a proof at `at`.
    pub(super) fn add_sound(&mut self, suspect: Suspect, at: Instant, now: Instant) {
        self.expire(now);
        if self.sound.len() < MAX_SOUND || self.sound.contains_key(&suspect) {
            let until = now + REPEAT_TIME;
            self.sound.insert(suspect, OwnProof { at, until });
        }
    }

    fn expire(&mut self, now: Instant) {
        self.crashes
            .retain(|_, crash| now.saturating_duration_since(crash.at) < REPEAT_TIME);
        self.survivors.retain(|_, until| now < *until);
        self.sound.retain(|_, proof| now < proof.until);
    }
}

impl Quarantine {
    /// What the next usage report carries; `None` if there is nothing to report. It names what is
    /// held back where `held` says so, or it has just changed.
    pub fn report(&mut self, held: bool, now: Instant) -> Option<QuarantineReport> {
        self.announcements.expire(now);
        self.holds.expire(now);
        let crashes = self.announcements.crashes.iter();
        let crashes = crashes.map(|(engine, crash)| EngineCrash {
            engine: engine.id.clone(),
            born: engine.started_ms,
            age_ms: age_ms(crash.at, now),
            unanswered: crash.parts.unanswered.iter().copied().collect(),
            unwritten: crash.parts.unwritten.iter().copied().collect(),
            written: crash.parts.written.iter().copied().collect(),
            requests: sends(crash, now),
        });
        let survivors = self.announcements.survivors.keys();
        let survivors = survivors.map(|engine| SurvivingEngine {
            engine: engine.id.clone(),
            born: engine.started_ms,
        });
        let sound = self.announcements.sound.iter();
        let sound = sound.map(|(suspect, proof)| SoundInput {
            suspect: *suspect,
            age_ms: age_ms(proof.at, now),
        });
        let held = held || self.holds.changed_within(REPEAT_TIME, now);
        let held = self.holds.iter().filter(|_| held).map(|hold| HeldInput {
            suspect: hold.suspect,
            age_ms: age_ms(hold.since, now),
            idle_ms: age_ms(hold.requested, now),
            level: hold.level,
        });
        let report = QuarantineReport {
            crashes: crashes.collect(),
            survivors: survivors.collect(),
            sound: sound.collect(),
            held: held.collect(),
        };
        (report != QuarantineReport::default()).then_some(report)
    }

    /// Applies a report of another VM. Returns what is held back since.
    pub fn on_report(&mut self, report: QuarantineReport, now: Instant) -> Vec<Suspect> {
        let evidence = !report.sound.is_empty() || !report.crashes.is_empty();
        for sound in report.sound {
            let at = time_of(sound.age_ms, now);
            self.sound.add_told(sound.suspect, at);
            self.clear(sound.suspect, at);
        }
        let mut added = Vec::new();
        for held in report.held {
            let hold = Hold {
                suspect: held.suspect,
                since: time_of(held.age_ms, now),
                requested: time_of(held.idle_ms, now),
                level: held.level,
                blamed: time_of(held.age_ms, now),
            };
            if self.adopt(hold, now) {
                added.push(held.suspect);
            }
        }
        for crash in report.crashes {
            self.on_reported_crash(crash, now);
        }
        for survivor in report.survivors {
            let engine = UpstreamInstance {
                id: survivor.engine,
                started_ms: survivor.born,
            };
            self.crashes.on_survivor(engine, now);
        }
        if evidence {
            added.extend(self.attribute_crashes(now));
        }
        added
    }

    fn on_reported_crash(&mut self, crash: EngineCrash, now: Instant) {
        let engine = UpstreamInstance {
            id: crash.engine,
            started_ms: crash.born,
        };
        let at = time_of(crash.age_ms, now);
        let kinds = [
            (crash.unanswered, Written::NoHead),
            (crash.unwritten, Written::Nothing),
            (crash.written, Written::Events),
        ];
        for (parts, written) in kinds {
            self.add_crashed_parts(engine.clone(), &parts, written, at, now);
        }
        for send in crash.requests {
            let sent = time_of(send.age_ms, now);
            self.add_crashed_request(engine.clone(), send.request, sent, at, now);
        }
    }

    /// Holds back what another VM holds back, unless it was sound since; that VM is told then.
    /// Returns whether it was not held back before.
    fn adopt(&mut self, hold: Hold, now: Instant) -> bool {
        let suspect = hold.suspect;
        let proof = self.sound.last(suspect);
        if proof.is_some_and(|at| hold.is_disproved(at)) {
            if let Some(own) = self.sound.last_own(suspect) {
                self.announcements.add_sound(suspect, own, now);
            }
            return false;
        }
        let new = !self.holds.contains(suspect);
        self.holds.insert(hold, now);
        if new {
            self.crashes.explain_by(&[suspect]);
        }
        new
    }
}

/// The requests that a crash broke off, with the time since each was sent.
fn sends(crash: &OwnCrash, now: Instant) -> Vec<BrokenSend> {
    let sends = crash.requests.iter();
    let sends = sends.map(|(request, sent)| BrokenSend {
        request: *request,
        age_ms: age_ms(*sent, now),
    });
    sends.collect()
}

fn age_ms(at: Instant, now: Instant) -> u64 {
    let age = now.saturating_duration_since(at).as_millis();
    u64::try_from(age).unwrap_or(u64::MAX)
}

/// The time that was `age_ms` before `now`, or `now` if the clock does not reach back so far.
fn time_of(age_ms: u64, now: Instant) -> Instant {
    now.checked_sub(Duration::from_millis(age_ms))
        .unwrap_or(now)
}
