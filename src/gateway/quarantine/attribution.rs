//! Decides to which parts and requests the crashes are attributed.
//!
//! Crashes at the same moment have a common cause outside the engines more often than in one part,
//! such as the loss of a data centre. They therefore count as one moment, and crashes are attributed
//! to a part only after several moments. One of many simultaneous crashes is attributed to no part
//! that cannot have caused the others, or was sound before.
//!
//! Copies of a request end engines in quick succession, as each is sent again where the last one
//! failed. Its crashes are at different moments where a copy was sent to an engine after another
//! one had crashed: requests that only ran on engines lost together were sent before.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::ids::{PartHash, RequestDigest};

use super::crashes::Crash;
use super::soundness::SoundInputs;
use super::suspect::Suspect;

/// Crashes closer to each other than this count as one moment.
const MOMENT: Duration = Duration::from_millis(250);
/// Engines that crash by a common cause do so within this time.
const OUTAGE: Duration = Duration::from_millis(50);
/// A crash is not attributed to a part if more than this number of other crashes in the same outage
/// cannot be.
const MAX_OTHERS: usize = 3;
/// Moments after which crashes are attributed to what alone explains them and was never sound.
const MIN_MOMENTS: usize = 2;
/// Moments after which many crashes are attributed to any other part or request.
const MIN_MOMENTS_OF_SHARED: usize = 3;
/// Crashes that are attributed to a request that alone explains them and was never sound, if they
/// are of enough moments. One attempt and one retry of a sound request may both meet a failing
/// engine.
const MIN_CRASHES_OF_REQUEST: usize = 3;
/// Times in reports differ by the time that the reports took; a copy that was sent up to this much
/// before a crash counts as sent after it.
const SEND_SLACK: Duration = Duration::from_millis(20);
/// Number of crashes that are attributed to a part that alone explains them, however close they are;
/// after enough moments, also to any other part or request.
const MANY_CRASHES: usize = 5;

/// A suspect that was sound is no cause while one that never was explains this share of its crashes, in
/// quarters.
const MIN_QUARTERS: usize = 3;

/// Indices of the crashes that something is suspected of, oldest first.
type Suspicion = Vec<usize>;
/// What is suspected of crashes.
type Suspicions = BTreeMap<Suspect, Suspicion>;

/// The crashes to explain, and what is known to be sound.
#[derive(Debug)]
pub(super) struct Attribution<'a> {
    /// Crashes that nothing explains yet, oldest first.
    pub(super) crashes: Vec<&'a Crash>,
    /// Parts and requests that were sound.
    pub(super) sound: &'a SoundInputs,
    /// Current time.
    pub(super) now: Instant,
}

/// What crashes are attributed to.
#[derive(Debug)]
pub(super) struct Verdict {
    /// The cause, or several of which one is.
    pub(super) causes: Vec<Suspect>,
    /// Whether there is one cause, it was never sound, and no other engine crashed meanwhile.
    pub(super) certain: bool,
}

impl Attribution<'_> {
    /// The suspect that explains most crashes, if there is enough evidence, with those of its kind
    /// that were never sound and explain the same crashes.
    pub(super) fn verdict(&self) -> Option<Verdict> {
        let suspicions = self.suspicions();
        let named = suspicions.iter().filter(|(suspect, crashes)| {
            self.is_cause(**suspect, crashes) && !self.has_newer(**suspect, crashes, &suspicions)
        });
        let most = named.max_by_key(|(suspect, crashes)| (crashes.len(), self.is_new(**suspect)));
        let (suspect, crashes) = most?;
        let mut causes = self.alternatives(*suspect, crashes);
        causes.retain(|alternative| suspicions.get(alternative) == Some(crashes));
        let alone = causes.is_empty();
        causes.push(*suspect);
        Some(Verdict {
            causes,
            certain: alone && self.is_new(*suspect) && !self.is_doubtful(*suspect, crashes),
        })
    }

    /// Whether something is not known to have been sound.
    fn is_new(&self, suspect: Suspect) -> bool {
        self.sound.last(suspect).is_none()
    }

    /// Whether a suspect was sound, and one of its kind that never was explains nearly as many of its
    /// crashes. What all requests share is named in each crash, the cause only where its report came.
    fn has_newer(&self, suspect: Suspect, crashes: &Suspicion, all: &Suspicions) -> bool {
        let kind = std::mem::discriminant(&suspect);
        let enough = |count: usize| count * 4 >= crashes.len() * MIN_QUARTERS;
        let explains = |other: &Suspicion| {
            let shared = other.iter().filter(|index| crashes.contains(index));
            enough(other.len()) && enough(shared.count())
        };
        let mut newer = all
            .iter()
            .filter(|(other, _)| std::mem::discriminant(*other) == kind && self.is_new(**other));
        !self.is_new(suspect) && newer.any(|(_, other)| explains(other))
    }

    /// Whether other engines crashed between the crashes of a request, so that it may only have met
    /// failing engines.
    fn is_doubtful(&self, suspect: Suspect, crashes: &Suspicion) -> bool {
        let (Suspect::Request(_), [first, .., last]) = (suspect, &crashes[..]) else {
            return false;
        };
        let between = &self.crashes[*first..=*last];
        between.iter().any(|crash| !crash.names(suspect))
    }

    fn suspicions(&self) -> Suspicions {
        let mut suspicions = Suspicions::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let outage = self.outage(index);
            for suspect in crash.suspects(self.sound, self.now) {
                let new = self.is_new(suspect);
                let others = outage.iter().filter(|other| !new || !other.names(suspect));
                if others.count() <= MAX_OTHERS {
                    suspicions.entry(suspect).or_default().push(index);
                }
            }
        }
        suspicions
    }

    /// The other crashes at nearly the same time.
    fn outage(&self, index: usize) -> Vec<&Crash> {
        let at = self.crashes[index].at;
        let others = self.crashes.iter().enumerate();
        let others = others.filter(|(other, crash)| {
            let distance = at.max(crash.at) - at.min(crash.at);
            *other != index && distance < OUTAGE
        });
        others.map(|(_, crash)| *crash).collect()
    }

    fn is_cause(&self, suspect: Suspect, crashes: &Suspicion) -> bool {
        let (moments, enough) = match suspect {
            Suspect::Part(part) => {
                let begun = self.begun(part, crashes);
                let many = begun.len() >= MANY_CRASHES;
                let moments = self.moments(crashes);
                (moments, many || self.moments(&begun) >= MIN_MOMENTS)
            }
            Suspect::Request(request) => {
                let sends = self.sends(request, crashes);
                let many = crashes.len() >= MIN_CRASHES_OF_REQUEST;
                (sends, many && sends >= MIN_MOMENTS)
            }
        };
        let many = crashes.len() >= MANY_CRASHES;
        let enough_shared = many && moments >= MIN_MOMENTS_OF_SHARED;
        enough_shared
            || (enough && self.is_new(suspect) && self.alternatives(suspect, crashes).is_empty())
    }

    /// The crashes in which a response on a part had begun. A request that only waited says little
    /// of its parts.
    fn begun(&self, part: PartHash, crashes: &Suspicion) -> Suspicion {
        let begun = crashes.iter().copied();
        let begun = begun.filter(|index| self.crashes[*index].had_begun(part));
        begun.collect()
    }

    /// Number of crashes that are not at the same moment as another one.
    fn moments(&self, crashes: &Suspicion) -> usize {
        let mut last: Option<Instant> = None;
        let mut moments = 0;
        for at in crashes.iter().map(|index| self.crashes[*index].at) {
            if last.is_none_or(|last| at - last >= MOMENT) {
                moments += 1;
                last = Some(at);
            }
        }
        moments
    }

    /// Number of crashes of engines to which a copy of a request was sent after the one before.
    fn sends(&self, request: RequestDigest, crashes: &Suspicion) -> usize {
        let mut last: Option<Instant> = None;
        let mut sends = 0;
        for crash in crashes.iter().map(|index| self.crashes[*index]) {
            let sent = crash.sent(request).unwrap_or(crash.at);
            if last.is_none_or(|last| sent + SEND_SLACK >= last) {
                sends += 1;
                last = Some(crash.at);
            }
        }
        sends
    }

    /// Others of the same kind that were never sound and may have caused all these crashes.
    ///
    /// Of a part, one report may be missing, so a difference of one crash proves nothing. A request is
    /// reported by the VM that sent it, as part of its own crash.
    fn alternatives(&self, suspect: Suspect, crashes: &Suspicion) -> Vec<Suspect> {
        let mut shared: BTreeMap<Suspect, usize> = BTreeMap::new();
        for index in crashes {
            for other in self.crashes[*index].suspects(self.sound, self.now) {
                *shared.entry(other).or_default() += 1;
            }
        }
        let kind = std::mem::discriminant(&suspect);
        let enough = match suspect {
            Suspect::Part(_) => crashes.len() - 1,
            Suspect::Request(_) => crashes.len(),
        };
        let alternatives = shared.into_iter().filter(|(other, count)| {
            std::mem::discriminant(other) == kind
                && *other != suspect
                && *count >= enough
                && self.is_new(*other)
        });
        alternatives.map(|(other, _)| other).collect()
    }
}
