//! Holds back requests that crash engines.
//!
//! An engine may crash as soon as it begins to write a response on a certain part of a prompt,
//! whatever else the request holds, or whenever it runs a certain request. Sent on, retried,
//! resumed and repeated by their callers, such requests would end one engine after the other. No id
//! identifies them, and the responses that an engine was writing at the same time break as well.
//! Parts of prompts and whole requests are the two kinds of suspects ([`suspect`]), judged together
//! by evidence from all VMs:
//!
//! - A crash makes suspects of the requests that it broke off, and of the parts of those whose
//!   response had begun, but had not been written for long ([`crashes`]).
//! - A response that is written for longer shows that its parts crash no engine, and one that is
//!   written to its end also that its request crashes none ([`soundness`]). It clears them of the
//!   crashes before it.
//! - A suspect of several crashes that alone explains them is quarantined (`attribution`,
//!   [`holds`]). It then explains these crashes, so that they are held against no other suspect.
//!
//! Each attempt to send a request needs a clearance ([`gate`]), whether it is the first, a retry or
//! the resumption of a stream. VMs exchange what they have seen, and what they hold back, in their
//! usage reports ([`report`]). A VM that has just started, or was cut off, learns from them what
//! the others hold back.

mod attribution;
pub mod crashes;
pub mod gate;
pub mod holds;
pub mod report;
pub mod soundness;
pub mod suspect;
mod suspected_parts;

use std::time::{Duration, Instant};

use crate::gateway::upstream::UpstreamInstance;
use crate::ids::{PartHash, RequestDigest};

use attribution::Attribution;
use crashes::{CrashLog, Written};
use holds::{Hold, Holds};
use report::Announcements;
use soundness::SoundInputs;
use suspect::{BrokenRequest, Suspect};

/// Crashes after which a request is not sent again at once to another engine.
const MAX_RETRIED_CRASHES: usize = 1;

/// The parts and requests that this VM suspects, knows to be sound, or holds back.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: CrashLog,
    sound: SoundInputs,
    holds: Holds,
    announcements: Announcements,
}

impl Quarantine {
    /// Records that an engine broke off the response to a request of this VM. Returns what is
    /// quarantined since. A request that was sent to an engine which had just crashed did not run
    /// there, and says nothing.
    pub fn on_crash(
        &mut self,
        engine: UpstreamInstance,
        request: &BrokenRequest,
        now: Instant,
    ) -> Vec<Suspect> {
        if self.crashes.was_down(&engine, request.sent) {
            return Vec::new();
        }
        self.announcements
            .add_crash(&engine, request, &self.sound, now);
        self.add_crash(engine, request, now, now);
        self.attribute_crashes(now)
    }

    /// Records that an engine answers a request that this VM sent at `sent`. An engine that broke
    /// off responses before, but still answers, has not crashed.
    pub fn on_answer(&mut self, engine: &UpstreamInstance, sent: Instant, now: Instant) {
        if self.crashes.on_answer(engine, sent) {
            self.announcements.add_survivor(engine, now);
        }
    }

    /// Has crashes count again of which `is_replaced` says that another run of the engine is
    /// registered: it may be that run which answered.
    pub fn on_replaced<F>(&mut self, is_replaced: F, now: Instant)
    where
        F: Fn(&UpstreamInstance) -> bool,
    {
        self.crashes.on_replaced(is_replaced, now);
    }

    /// Records that a response showed these suspects to crash no engine. Returns those that are
    /// released by it.
    pub fn on_sound<I>(&mut self, suspects: I, now: Instant) -> Vec<Suspect>
    where
        I: IntoIterator,
        I::Item: Into<Suspect>,
    {
        let mut released = Vec::new();
        for suspect in suspects.into_iter().map(Into::into) {
            if self.crashes.count(suspect) > 0 || self.holds.contains(suspect) {
                self.announcements.add_sound(suspect, now, now);
            }
            self.sound.add_own(suspect, now);
            if self.clear(suspect, now) {
                released.push(suspect);
            }
        }
        released
    }

    /// Time after which a request with these suspects may come again, if it is held back now.
    /// `probes` says whether this VM may send a probe.
    pub fn retry_delay<I>(&mut self, suspects: I, probes: bool, now: Instant) -> Option<Duration>
    where
        I: IntoIterator,
        I::Item: Into<Suspect>,
    {
        let suspects: Vec<Suspect> = suspects.into_iter().map(Into::into).collect();
        let held = suspects.iter().filter(|s| self.holds.contains(**s)).count();
        let probes = probes && held <= 1;
        let delays = suspects.into_iter().filter_map(|suspect| {
            let known = self.holds.get_mut(suspect)?;
            known.on_request(now);
            known.retry_delay(probes, now)
        });
        delays.max()
    }

    /// Allows one attempt to send a request with these suspects to an engine. An attempt with one
    /// that is held back and due for a probe is that probe.
    ///
    /// # Errors
    ///
    /// Time after which the request may come again, if it is held back.
    pub fn try_send<I>(&mut self, suspects: I, probes: bool, now: Instant) -> Result<(), Duration>
    where
        I: IntoIterator + Clone,
        I::Item: Into<Suspect>,
    {
        if let Some(delay) = self.retry_delay(suspects.clone(), probes, now) {
            return Err(delay);
        }
        for suspect in suspects.into_iter().map(Into::into) {
            if let Some(hold) = self.holds.get_mut(suspect) {
                hold.on_probe(now);
            }
        }
        Ok(())
    }

    /// Whether one of the parts is not known to have been sound.
    pub fn has_new_part<I>(&self, parts: I) -> bool
    where
        I: IntoIterator<Item = PartHash>,
    {
        let mut parts = parts.into_iter();
        parts.any(|part| !self.sound.knows(part))
    }

    /// Whether a request has ended so many engines that it is sent to no other one at once.
    pub fn stops_retries(&self, request: RequestDigest) -> bool {
        self.crashes.count(request.into()) > MAX_RETRIED_CRASHES
    }

    /// Number of parts that are held back.
    pub fn parts_held(&self) -> usize {
        let parts = self.holds.iter();
        let parts = parts.filter(|hold| matches!(hold.suspect, Suspect::Part(_)));
        parts.count()
    }

    /// Number of requests that are held back.
    pub fn requests_held(&self) -> usize {
        let requests = self.holds.iter();
        let requests = requests.filter(|hold| matches!(hold.suspect, Suspect::Request(_)));
        requests.count()
    }

    fn add_crash(
        &mut self,
        engine: UpstreamInstance,
        request: &BrokenRequest,
        at: Instant,
        now: Instant,
    ) {
        let BrokenRequest { digest, sent, .. } = *request;
        self.add_crashed_request(engine.clone(), digest, sent, at, now);
        self.add_crashed_parts(engine, &request.parts, request.written, at, now);
    }

    fn add_crashed_parts(
        &mut self,
        engine: UpstreamInstance,
        parts: &[PartHash],
        written: Written,
        at: Instant,
        now: Instant,
    ) {
        let suspects = parts.iter().copied().map(Suspect::Part);
        if self.explain_by_hold(&engine, suspects, at) {
            return;
        }
        let mut parts = parts.to_vec();
        parts.retain(|part| self.is_suspect_at((*part).into(), at, now));
        self.crashes
            .add_parts(engine, &parts, written, at, &self.sound);
    }

    fn add_crashed_request(
        &mut self,
        engine: UpstreamInstance,
        request: RequestDigest,
        sent: Instant,
        at: Instant,
        now: Instant,
    ) {
        if self.explain_by_hold(&engine, [request.into()], at) {
            return;
        }
        if self.is_suspect_at(request.into(), at, now) {
            self.crashes.add_request(engine, request, sent, at);
        }
    }

    /// Explains a crash by one of these suspects that is held back; false if none is.
    fn explain_by_hold<I>(&mut self, engine: &UpstreamInstance, suspects: I, at: Instant) -> bool
    where
        I: IntoIterator<Item = Suspect>,
    {
        for suspect in suspects {
            if let Some(hold) = self.holds.get_mut(suspect) {
                hold.on_crash(at);
                self.crashes.explain(engine.clone(), at);
                return true;
            }
        }
        false
    }

    /// Whether nothing has shown since the crash at `at` that a suspect is sound. The other VMs are
    /// told of an older proof too, so that they do not take the suspect for a new one.
    fn is_suspect_at(&mut self, suspect: Suspect, at: Instant, now: Instant) -> bool {
        if let Some(proof) = self.sound.last_own(suspect) {
            self.announcements.add_sound(suspect, proof, now);
        }
        let proof = self.sound.last(suspect);
        proof.is_none_or(|proof| proof <= at)
    }

    /// Quarantines what explains the crashes known so far, and returns it. Called before each
    /// report, since a crash counts only once other VMs have had the time to report it.
    pub fn attribute_crashes(&mut self, now: Instant) -> Vec<Suspect> {
        let mut found = Vec::new();
        self.crashes.expire(now);
        loop {
            let attribution = Attribution {
                crashes: self.crashes.unexplained(),
                sound: &self.sound,
                now,
            };
            let Some(verdict) = attribution.verdict() else {
                return found;
            };
            let at = self.crashes.explain_by(&verdict.causes).unwrap_or(now);
            for suspect in verdict.causes {
                let hold = Hold::open(suspect, at, verdict.certain, now);
                self.holds.insert(hold, now);
                found.push(suspect);
            }
        }
    }

    /// Clears a suspect of the crashes before `at`; returns whether it was held back.
    fn clear(&mut self, suspect: Suspect, at: Instant) -> bool {
        self.crashes.clear(suspect, at);
        let Some(hold) = self.holds.get_mut(suspect).copied() else {
            return false;
        };
        if !hold.is_disproved(at) {
            return false;
        }
        self.holds.remove(suspect);
        self.convict_last(hold.blamed);
        true
    }

    /// Where one suspect is left of those that were blamed for the same crashes, and was never
    /// sound, it is the cause.
    fn convict_last(&mut self, blamed: Instant) {
        let left: Vec<_> = self
            .holds
            .iter()
            .filter(|hold| hold.blamed == blamed)
            .map(|hold| hold.suspect)
            .collect();
        if let [last] = left[..]
            && self.sound.last(last).is_none()
            && let Some(hold) = self.holds.get_mut(last)
        {
            hold.on_certain();
        }
    }
}
