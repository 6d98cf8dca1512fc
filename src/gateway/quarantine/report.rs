//! What VMs tell each other of crashes, sound parts and parts that are held back.
//!
//! A VM repeats its own observations in its usage reports for some seconds, because datagrams may
//! be lost. It reports the parts that it holds back for some seconds after a change, and then in
//! some of its reports, so that a VM hears of them from a few others, however many there are. Times are sent as ages, so the clocks
//! of the VMs need not agree.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::PartHash;
use crate::schema::mesh::{EngineCrash, HeldPart, QuarantineReport, SoundPart, SurvivingEngine};

use super::Quarantine;
use super::crashes::Written;
use super::holds::Hold;
use crate::gateway::upstream::UpstreamInstance;

/// How long an observation is repeated: four usage reports of a VM among many.
const REPEAT_TIME: Duration = Duration::from_secs(5);
/// Largest number of crashes in a report, which must fit into a datagram.
const MAX_CRASHES: usize = 32;
/// Largest number of sound parts in a report.
const MAX_SOUND: usize = 64;
/// Largest number of suspects that are reported of a crash.
const MAX_SUSPECTS: usize = 128;

#[derive(Clone, Debug)]
struct OwnCrash {
    at: Instant,
    unwritten: Vec<PartHash>,
    written: Vec<PartHash>,
}

impl OwnCrash {
    fn add(&mut self, part: PartHash, written: Written) {
        let full = self.unwritten.len() + self.written.len() >= MAX_SUSPECTS;
        let parts = match written {
            Written::Nothing => &mut self.unwritten,
            Written::Events => &mut self.written,
        };
        if !full && !parts.contains(&part) {
            parts.push(part);
        }
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
    sound: BTreeMap<PartHash, OwnProof>,
}

impl Announcements {
    /// Adds suspects of a crash.
    pub(super) fn add_crash(
        &mut self,
        engine: &UpstreamInstance,
        parts: &[PartHash],
        written: Written,
        now: Instant,
    ) {
        self.expire(now);
        if self.crashes.len() >= MAX_CRASHES && !self.crashes.contains_key(engine) {
            return;
        }
        let crash = self.crashes.entry(engine.clone()).or_insert(OwnCrash {
            at: now,
            unwritten: Vec::new(),
            written: Vec::new(),
        });
        for part in parts {
            crash.add(*part, written);
        }
    }

    /// Adds an engine that had not crashed.
    pub(super) fn add_survivor(&mut self, engine: &UpstreamInstance, now: Instant) {
        self.expire(now);
        self.crashes.remove(engine);
        if self.survivors.len() < MAX_CRASHES {
            self.survivors.insert(engine.clone(), now + REPEAT_TIME);
        }
    }

    /// Adds a proof at `at`.
    pub(super) fn add_sound(&mut self, part: PartHash, at: Instant, now: Instant) {
        self.expire(now);
        if self.sound.len() < MAX_SOUND || self.sound.contains_key(&part) {
            let until = now + REPEAT_TIME;
            self.sound.insert(part, OwnProof { at, until });
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
    /// What the next usage report carries; `None` if there is nothing to report. It names the parts
    /// held back where `held` says so, or they have just changed.
    pub fn report(&mut self, held: bool, now: Instant) -> Option<QuarantineReport> {
        self.announcements.expire(now);
        self.holds.expire(now);
        let crashes = self.announcements.crashes.iter();
        let crashes = crashes.map(|(engine, crash)| EngineCrash {
            engine: engine.id.clone(),
            born: engine.started_ms,
            age_ms: age_ms(crash.at, now),
            unwritten: crash.unwritten.clone(),
            written: crash.written.clone(),
        });
        let survivors = self.announcements.survivors.keys();
        let survivors = survivors.map(|engine| SurvivingEngine {
            engine: engine.id.clone(),
            born: engine.started_ms,
        });
        let sound = self.announcements.sound.iter();
        let sound = sound.map(|(part, proof)| SoundPart {
            part: *part,
            age_ms: age_ms(proof.at, now),
        });
        let held = held || self.holds.changed_within(REPEAT_TIME, now);
        let held = self
            .holds
            .iter()
            .filter(|_| held)
            .map(|(part, hold)| HeldPart {
                part,
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

    /// Applies a report of another VM. Returns the parts that are held back since.
    pub fn on_report(&mut self, report: QuarantineReport, now: Instant) -> Vec<PartHash> {
        let evidence = !report.sound.is_empty() || !report.crashes.is_empty();
        for sound in report.sound {
            let at = time_of(sound.age_ms, now);
            self.sound.add_told(sound.part, at);
            self.clear(sound.part, at);
        }
        let mut added = Vec::new();
        for held in report.held {
            let hold = Hold {
                since: time_of(held.age_ms, now),
                requested: time_of(held.idle_ms, now),
                level: held.level,
                blamed: time_of(held.age_ms, now),
            };
            if self.adopt(held.part, hold, now) {
                added.push(held.part);
            }
        }
        for crash in report.crashes {
            let engine = UpstreamInstance {
                id: crash.engine,
                started_ms: crash.born,
            };
            let at = time_of(crash.age_ms, now);
            let kinds = [
                (crash.unwritten, Written::Nothing),
                (crash.written, Written::Events),
            ];
            for (parts, written) in kinds {
                self.add_crash(engine.clone(), &parts, written, at, now);
            }
        }
        for survivor in report.survivors {
            let engine = UpstreamInstance {
                id: survivor.engine,
                started_ms: survivor.born,
            };
            self.crashes.explain(engine, now);
        }
        if evidence {
            added.extend(self.attribute_crashes(now));
        }
        added
    }

    /// Holds a part back that another VM holds back, unless it was sound since; that VM is told
    /// then. Returns whether the part was not held back before.
    fn adopt(&mut self, part: PartHash, hold: Hold, now: Instant) -> bool {
        let proof = self.sound.last(part);
        if proof.is_some_and(|at| hold.is_disproved(at)) {
            if let Some(own) = self.sound.last_own(part) {
                self.announcements.add_sound(part, own, now);
            }
            return false;
        }
        let new = !self.holds.contains(part);
        self.holds.insert(part, hold, now);
        if new {
            self.crashes.explain_by(&[part]);
        }
        new
    }
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
