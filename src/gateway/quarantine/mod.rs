//! Holds back requests whose prompt contains a part that crashes engines.
//!
//! An engine may crash as soon as it begins to write a response on a certain part of a prompt,
//! whatever else the request holds. Sent on, retried and resumed, such requests would end one
//! engine after the other. Neither a request, its client account nor its route identifies them, and
//! the responses that an engine was writing at the same time break as well. A part is therefore
//! judged by evidence from all VMs:
//!
//! - A crash makes suspects of the parts of those requests whose response had begun, but had not
//!   been written for long ([`crashes`]).
//! - A response that is written for longer, or to its end, shows that its parts crash no engine
//!   ([`soundness`]). It clears them of the crashes before it.
//! - A part that is suspected at several crashes, and that alone explains them, is quarantined
//!   (`attribution`, [`holds`]). It then explains these crashes, so that they are held against no other part.
//!
//! Each attempt to send a request needs a clearance ([`gate`]), whether it is the first, a retry or
//! the resumption of a stream. VMs exchange what they have seen, and what they hold back, in their
//! usage reports ([`report`]). A VM that has just started, or was cut off, learns from them what the
//! others hold back.

mod attribution;
pub mod crashes;
pub mod gate;
pub mod holds;
pub mod report;
pub mod soundness;

use std::time::{Duration, Instant};

use crate::gateway::upstream::UpstreamInstance;
use crate::ids::PartHash;

use attribution::Attribution;
use crashes::{CrashLog, Written};
use holds::{Hold, Holds};
use report::Announcements;
use soundness::SoundParts;

/// The parts that this VM suspects, knows to be sound, or holds back.
#[derive(Debug, Default)]
pub struct Quarantine {
    crashes: CrashLog,
    sound: SoundParts,
    holds: Holds,
    announcements: Announcements,
}

impl Quarantine {
    /// Records that an engine broke off an early response to a request of this VM with these shared
    /// parts. Returns the parts that are quarantined since.
    pub fn on_crash<I>(
        &mut self,
        engine: UpstreamInstance,
        parts: I,
        written: Written,
        now: Instant,
    ) -> Vec<PartHash>
    where
        I: IntoIterator<Item = PartHash>,
    {
        let parts: Vec<_> = parts.into_iter().collect();
        self.announcements.add_crash(&engine, &parts, written, now);
        self.add_crash(engine, &parts, written, now, now);
        self.attribute_crashes(now)
    }

    /// Records that an engine answers a request that this VM sent at `sent`. An engine that broke
    /// off responses before, but still answers, has not crashed.
    pub fn on_answer(&mut self, engine: &UpstreamInstance, sent: Instant, now: Instant) {
        if self.crashes.on_answer(engine, sent) {
            self.announcements.add_survivor(engine, now);
        }
    }

    /// Records that a response showed these parts to crash no engine. Returns the parts that are
    /// released by it.
    pub fn on_sound<I>(&mut self, parts: I, now: Instant) -> Vec<PartHash>
    where
        I: IntoIterator<Item = PartHash>,
    {
        let mut released = Vec::new();
        for part in parts {
            if self.crashes.is_suspect(part) || self.holds.contains(part) {
                self.announcements.add_sound(part, now, now);
            }
            self.sound.add_own(part, now);
            if self.clear(part, now) {
                released.push(part);
            }
        }
        released
    }

    /// Time after which a request with these parts may come again, if it is held back now. `probes`
    /// says whether this VM may send a probe.
    pub fn retry_delay<I>(&mut self, parts: I, probes: bool, now: Instant) -> Option<Duration>
    where
        I: IntoIterator<Item = PartHash>,
    {
        let parts: Vec<_> = parts.into_iter().collect();
        let count = parts
            .iter()
            .filter(|part| self.holds.contains(**part))
            .count();
        let probes = probes && count <= 1;
        let delays = parts.into_iter().filter_map(|part| {
            let hold = self.holds.get_mut(part)?;
            hold.on_request(now);
            hold.retry_delay(probes, now)
        });
        delays.max()
    }

    /// Allows one attempt to send a request with these parts to an engine. An attempt with a part
    /// that is held back and due for a probe is that probe.
    ///
    /// # Errors
    ///
    /// Time after which the request may come again, if it is held back.
    pub fn try_send<I>(&mut self, parts: I, probes: bool, now: Instant) -> Result<(), Duration>
    where
        I: IntoIterator<Item = PartHash> + Clone,
    {
        if let Some(delay) = self.retry_delay(parts.clone(), probes, now) {
            return Err(delay);
        }
        for part in parts {
            if let Some(hold) = self.holds.get_mut(part) {
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
        parts.any(|part| self.sound.last(part).is_none())
    }

    /// Number of parts that are held back.
    pub fn held(&self) -> usize {
        self.holds.len()
    }

    fn add_crash(
        &mut self,
        engine: UpstreamInstance,
        parts: &[PartHash],
        written: Written,
        at: Instant,
        now: Instant,
    ) {
        for part in parts {
            if let Some(hold) = self.holds.get_mut(*part) {
                hold.on_crash(at);
                self.crashes.explain(engine, at);
                return;
            }
        }
        let mut suspects = Vec::new();
        for part in parts {
            if let Some(proof) = self.sound.last_own(*part) {
                // Also an older proof tells the other VMs that the part is not new.
                self.announcements.add_sound(*part, proof, now);
            }
            let proof = self.sound.last(*part);
            if proof.is_none_or(|proof| proof <= at) {
                suspects.push(*part);
            }
        }
        self.crashes.add(engine, &suspects, written, at);
    }

    /// Quarantines the parts that explain the crashes known so far, and returns them. Called before
    /// each report, since a crash counts only once other VMs have had the time to report it.
    pub fn attribute_crashes(&mut self, now: Instant) -> Vec<PartHash> {
        let mut found = Vec::new();
        self.crashes.expire(now);
        loop {
            let attribution = Attribution {
                crashes: self.crashes.unexplained(),
                sound: &self.sound,
                now,
            };
            let causes = attribution.causes();
            if causes.is_empty() {
                return found;
            }
            let at = self.crashes.explain_by(&causes).unwrap_or(now);
            let alone = causes.len() == 1;
            for part in causes {
                let certain = alone && self.sound.last(part).is_none();
                self.holds.insert(part, Hold::open(at, certain, now), now);
                found.push(part);
            }
        }
    }

    /// Clears a part of the crashes before `at`; returns whether it was held back.
    fn clear(&mut self, part: PartHash, at: Instant) -> bool {
        self.crashes.clear(part, at);
        let Some(hold) = self.holds.get_mut(part).copied() else {
            return false;
        };
        if !hold.is_disproved(at) {
            return false;
        }
        self.holds.remove(part);
        self.convict_last(hold.blamed);
        true
    }

    /// Where one part is left of those that were blamed for the same crashes, and was never sound,
    /// it is the cause.
    fn convict_last(&mut self, blamed: Instant) {
        let left: Vec<_> = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.blamed == blamed)
            .map(|(part, _)| part)
            .collect();
        if let [last] = left[..]
            && self.sound.last(last).is_none()
            && let Some(hold) = self.holds.get_mut(last)
        {
            hold.on_certain();
        }
    }
}
