//! The parts that are held back, and when they are probed.
//!
//! A part is held back for a while after the last crash that it caused. Then one VM, the leader,
//! may send a single request with it as a probe. Unless the probe shows that the part is sound, the
//! next one follows after a longer time. A part that was sound before is probed early, as it is
//! more likely to be held wrongly, and so are parts that explain the same crashes, of which at most
//! one is the cause. A request with several parts that are held back is no probe: its crash would
//! tell nothing. A part that nobody asks for any more is forgotten.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::PartHash;

/// Time from the last crash to the first probe of a part that was sound before.
const FIRST_HOLD: Duration = Duration::from_secs(10);
/// Factor on that time for each level.
const HOLD_FACTOR: u32 = 4;
/// Level at which a part is first held that was never sound.
const NEW_PART_LEVEL: u32 = 2;
/// Longest time between two probes.
const MAX_HOLD: Duration = Duration::from_hours(2);
/// A part is forgotten if no VM received a request with it for this long.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);
/// Largest number of parts held back; those that were not asked for longest are forgotten first.
const MAX_HOLDS: usize = 64;
/// Shortest delay told to a caller of a part that is due for a probe at another VM.
const MIN_DELAY: Duration = Duration::from_secs(1);
/// Ages in reports differ by the time that the reports took; a smaller difference is no news.
const REPORT_SLACK: Duration = Duration::from_secs(2);

/// A part that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// Time of the last crash or probe.
    pub since: Instant,
    /// When a VM last received a request with the part.
    pub requested: Instant,
    /// Grows with each probe, and the time to the next one with it.
    pub level: u32,
    /// Time of the last crash when the part was first held back; the same for parts that explained
    /// the same crashes.
    pub blamed: Instant,
}

impl Hold {
    /// Holds a part back whose last crash was at `since`; `certain` if it alone explains the crashes
    /// and was never sound.
    pub fn open(since: Instant, certain: bool, now: Instant) -> Self {
        Self {
            since,
            requested: now,
            level: if certain { NEW_PART_LEVEL } else { 0 },
            blamed: since,
        }
    }

    /// Records that the part alone is left to explain its crashes.
    pub fn on_certain(&mut self) {
        self.level = self.level.max(NEW_PART_LEVEL);
    }

    /// Records a request with the part.
    pub fn on_request(&mut self, now: Instant) {
        self.requested = self.requested.max(now);
    }

    /// Records a crash that the part caused.
    pub fn on_crash(&mut self, at: Instant) {
        self.since = self.since.max(at);
    }

    /// Records that a request with the part is sent as a probe.
    pub fn on_probe(&mut self, now: Instant) {
        self.since = now;
        self.level += 1;
    }

    /// Time after which a request may come again; `None` if it may be sent now, as a probe.
    pub fn retry_delay(&self, probes: bool, now: Instant) -> Option<Duration> {
        let left = (self.since + self.length()).saturating_duration_since(now);
        if left.is_zero() && probes {
            return None;
        }
        Some(left.max(MIN_DELAY))
    }

    /// Whether a response at `at` disproves that the part crashes engines.
    pub fn is_disproved(&self, at: Instant) -> bool {
        at > self.since
    }

    fn length(&self) -> Duration {
        let factor = HOLD_FACTOR.saturating_pow(self.level);
        FIRST_HOLD.saturating_mul(factor).min(MAX_HOLD)
    }

    /// Joins what another VM reports of the same part.
    fn join(&mut self, other: Self) {
        self.level = self.level.max(other.level);
        if other.since > self.since + REPORT_SLACK {
            self.since = other.since;
        }
        if other.requested > self.requested + REPORT_SLACK {
            self.requested = other.requested;
        }
    }
}

/// All parts that are held back.
#[derive(Debug, Default)]
pub struct Holds {
    parts: BTreeMap<PartHash, Hold>,
    /// When a part was last added.
    changed: Option<Instant>,
}

impl Holds {
    /// Holds a part back.
    pub fn insert(&mut self, part: PartHash, hold: Hold, now: Instant) {
        if let Some(known) = self.parts.get_mut(&part) {
            known.join(hold);
            return;
        }
        if self.parts.len() >= MAX_HOLDS {
            let idle = self.parts.iter().min_by_key(|(_, hold)| hold.requested);
            if let Some(part) = idle.map(|(part, _)| *part) {
                self.parts.remove(&part);
            }
        }
        self.parts.insert(part, hold);
        self.changed = Some(now);
    }

    /// Whether a part was added within the last `time`.
    pub fn changed_within(&self, time: Duration, now: Instant) -> bool {
        self.changed
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Stops to hold a part back.
    pub fn remove(&mut self, part: PartHash) {
        self.parts.remove(&part);
    }

    /// Forgets parts that nobody asks for.
    pub fn expire(&mut self, now: Instant) {
        self.parts
            .retain(|_, hold| now.saturating_duration_since(hold.requested) < IDLE_TIMEOUT);
    }

    /// Whether a part is held back.
    pub fn contains(&self, part: PartHash) -> bool {
        self.parts.contains_key(&part)
    }

    /// The hold on a part, if there is one.
    pub fn get_mut(&mut self, part: PartHash) -> Option<&mut Hold> {
        self.parts.get_mut(&part)
    }

    /// All holds by part.
    pub fn iter(&self) -> impl Iterator<Item = (PartHash, Hold)> {
        self.parts.iter().map(|(part, hold)| (*part, *hold))
    }

    /// Number of parts held back.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is held back.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}
