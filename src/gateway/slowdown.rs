//! How much longer work takes at an upstream than usual.
//!
//! Upstreams share their hosts with others, and some state in their responses how long work takes
//! at that moment. The figure changes within fractions of a second, and a VM gets few responses of
//! any one upstream, so each statement moves the estimate half way and fades. Only slowness counts:
//! a speed-up ends before requests sent because of it begin, and many VMs would send them at
//! once.
//!
//! A VM tells the others which upstreams it has itself found slow. What it has heard from them
//! counts like its own, and is not passed on.

use std::fmt;
use std::str::FromStr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time in which an estimate fades to 37% of its distance from the usual.
const FADE_TIME: Duration = Duration::from_secs(1);
/// Weight of a new statement beside the faded estimate.
const STATEMENT_WEIGHT: f64 = 0.5;
/// Greatest slowness that counts, in percent; beyond it an upstream is avoided all the same.
const MAX_PERCENT: u32 = 1000;
/// Least slowness that is reported to the other VMs, in percent.
const TOLD_PERCENT: u32 = 130;

/// Time that work takes, in percent of the usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Slowness(pub u32);

impl Slowness {
    /// The usual time.
    pub const USUAL: Self = Self(100);

    /// How many times as long as usual work takes.
    pub fn factor(self) -> f64 {
        f64::from(self.0.clamp(Self::USUAL.0, MAX_PERCENT)) / f64::from(Self::USUAL.0)
    }
}

impl fmt::Display for Slowness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Slowness {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// An estimate that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    /// Times as long as usual, less one, at `at`.
    excess: f64,
    at: Option<Instant>,
}

impl Estimate {
    fn excess(&self, now: Instant) -> f64 {
        let Some(at) = self.at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.excess * (-age / FADE_TIME.as_secs_f64()).exp()
    }

    fn apply(&mut self, slowness: Slowness, now: Instant) {
        let before = self.excess(now);
        let stated = slowness.factor() - 1.0;
        self.excess = before + (stated - before) * STATEMENT_WEIGHT;
        self.at = Some(now);
    }
}

/// What is known of the slowness of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowdown {
    /// From its responses to this VM.
    own: Estimate,
    /// From what other VMs tell.
    heard: Estimate,
}

impl Slowdown {
    /// Records what a response to this VM states.
    pub fn on_statement(&mut self, slowness: Slowness, now: Instant) {
        self.own.apply(slowness, now);
    }

    /// Records what another VM tells.
    pub fn on_report(&mut self, slowness: Slowness, now: Instant) {
        self.heard.apply(slowness, now);
    }

    /// How many times as long as usual work takes now; 1 where nothing is known.
    pub fn factor(&self, now: Instant) -> f64 {
        1.0 + self.own.excess(now).max(self.heard.excess(now))
    }

    /// What the other VMs are told; `None` where this VM has not found the upstream slow itself.
    pub fn report(&self, now: Instant) -> Option<Slowness> {
        let percent = (1.0 + self.own.excess(now)) * f64::from(Slowness::USUAL.0);
        let slowness = Slowness(percent.round() as u32);
        (slowness.0 >= TOLD_PERCENT).then_some(slowness)
    }
}
