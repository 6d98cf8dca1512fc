//! The parts and requests that are held back, and when they are probed.
//!
//! A part is held back for a while after the last crash that it caused. Then one VM, the leader,
//! may send a single request with it as a probe. Unless the probe shows that the part is sound, the
//! next one follows after a longer time. A part that was sound before is probed early, as it is
//! more likely to be held wrongly, and so are parts that explain the same crashes, of which at most
//! one is the cause. A request with several parts that are held back is no probe: its crash would
//! tell nothing. A part that nobody asks for any more is forgotten.
//!
//! A whole request is nobody else's, and each probe of one that is never well costs a part of a
//! small service. It is probed early only where the evidence leaves a doubt, then after an hour and
//! then once a day. It is remembered for a day, so that it cannot start anew by a pause.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::suspect::Suspect;

/// Time from the last crash to the first probe of a part that was sound before.
const FIRST_HOLD: Duration = Duration::from_secs(10);
/// Factor on that time for each level.
const HOLD_FACTOR: u32 = 4;
/// Level at which a part is first held that was never sound.
const NEW_PART_LEVEL: u32 = 2;
/// Longest time between two probes.
const MAX_HOLD: Duration = Duration::from_hours(2);
/// Times to the first, the second and each later probe of a request.
const REQUEST_HOLDS: [Duration; 3] = [
    Duration::from_secs(10),
    Duration::from_hours(1),
    Duration::from_hours(24),
];
/// Level at which a request is first held that is certainly the cause.
const CERTAIN_REQUEST_LEVEL: u32 = 1;
/// A part is forgotten if no VM received a request with it for this long.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);
/// A request is forgotten if no VM received it for this long.
const REQUEST_IDLE_TIMEOUT: Duration = Duration::from_hours(24);
/// Largest number of parts, and of requests, held back; those that were not asked for longest are
/// forgotten first.
const MAX_HOLDS: usize = 64;
/// Shortest delay told to a caller of something that is due for a probe at another VM.
const MIN_DELAY: Duration = Duration::from_secs(1);
/// Ages in reports differ by the time that the reports took; a smaller difference is no news.
const REPORT_SLACK: Duration = Duration::from_secs(2);

/// A part or request that is held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// What is held back.
    pub suspect: Suspect,
    /// Time of the last crash or probe.
    pub since: Instant,
    /// When a VM last received a request that is held back by it.
    pub requested: Instant,
    /// Grows with each probe, and the time to the next one with it.
    pub level: u32,
    /// Time of the last crash when it was first held back; the same for suspects that explained the
    /// same crashes.
    pub blamed: Instant,
}

impl Hold {
    /// Holds back what caused a last crash at `since`; `certain` if it alone explains the crashes and
    /// was never sound.
    pub fn open(suspect: Suspect, since: Instant, certain: bool, now: Instant) -> Self {
        Self {
            suspect,
            since,
            requested: now,
            level: if certain { certain_level(suspect) } else { 0 },
            blamed: since,
        }
    }

    /// Records that it alone is left to explain its crashes.
    pub fn on_certain(&mut self) {
        self.level = self.level.max(certain_level(self.suspect));
    }

    /// Records a request that it holds back.
    pub fn on_request(&mut self, now: Instant) {
        self.requested = self.requested.max(now);
    }

    /// Records a crash that it caused.
    pub fn on_crash(&mut self, at: Instant) {
        self.since = self.since.max(at);
    }

    /// Records that a request is sent as a probe.
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

    /// Whether a response at `at` disproves that it crashes engines.
    pub fn is_disproved(&self, at: Instant) -> bool {
        at > self.since
    }

    fn length(&self) -> Duration {
        if let Suspect::Request(_) = self.suspect {
            let level = usize::try_from(self.level).unwrap_or(usize::MAX);
            return REQUEST_HOLDS[level.min(REQUEST_HOLDS.len() - 1)];
        }
        let factor = HOLD_FACTOR.saturating_pow(self.level);
        FIRST_HOLD.saturating_mul(factor).min(MAX_HOLD)
    }

    fn is_idle(&self, now: Instant) -> bool {
        let timeout = match self.suspect {
            Suspect::Part(_) => IDLE_TIMEOUT,
            Suspect::Request(_) => REQUEST_IDLE_TIMEOUT,
        };
        now.saturating_duration_since(self.requested) >= timeout
    }

    /// Joins what another VM reports of the same suspect.
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

fn certain_level(suspect: Suspect) -> u32 {
    match suspect {
        Suspect::Part(_) => NEW_PART_LEVEL,
        Suspect::Request(_) => CERTAIN_REQUEST_LEVEL,
    }
}

/// All that is held back.
#[derive(Debug, Default)]
pub struct Holds {
    holds: BTreeMap<Suspect, Hold>,
    /// When one was last added.
    changed: Option<Instant>,
}

impl Holds {
    /// Holds something back.
    pub fn insert(&mut self, hold: Hold, now: Instant) {
        if let Some(known) = self.holds.get_mut(&hold.suspect) {
            known.join(hold);
            return;
        }
        let kind = std::mem::discriminant(&hold.suspect);
        let same = self.holds.values();
        let same = same.filter(|other| std::mem::discriminant(&other.suspect) == kind);
        let same: Vec<_> = same.collect();
        if same.len() >= MAX_HOLDS {
            let idle = same.iter().min_by_key(|other| other.requested);
            if let Some(suspect) = idle.map(|other| other.suspect) {
                self.holds.remove(&suspect);
            }
        }
        self.holds.insert(hold.suspect, hold);
        self.changed = Some(now);
    }

    /// Whether one was added within the last `time`.
    pub fn changed_within(&self, time: Duration, now: Instant) -> bool {
        self.changed
            .is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Stops to hold something back.
    pub fn remove(&mut self, suspect: Suspect) {
        self.holds.remove(&suspect);
    }

    /// Forgets what nobody asks for.
    pub fn expire(&mut self, now: Instant) {
        self.holds.retain(|_, hold| !hold.is_idle(now));
    }

    /// Whether something is held back.
    pub fn contains(&self, suspect: Suspect) -> bool {
        self.holds.contains_key(&suspect)
    }

    /// The hold on something, if there is one.
    pub fn get_mut(&mut self, suspect: Suspect) -> Option<&mut Hold> {
        self.holds.get_mut(&suspect)
    }

    /// All holds.
    pub fn iter(&self) -> impl Iterator<Item = &Hold> {
        self.holds.values()
    }
}
